"""Checks the six service rules against the records of a scenario run."""
