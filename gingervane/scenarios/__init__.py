"""Inputs of a scenario run: the scenario, its clients' demands and its fixed data."""
