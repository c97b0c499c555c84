"""Logs, counters and metrics of both programs."""
