"""Logs, counters and metrics of the daemon and the node."""
