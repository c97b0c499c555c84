"""Scenario runs on sockets, experiments over several runs, and reports of their results."""
