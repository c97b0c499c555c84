"""Limits that keep one kind of work from taking another's share of the process."""
