"""Limits that prevent one traffic class from using another's share of the process."""
