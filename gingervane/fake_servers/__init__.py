"""Fake servers with injected faults, for tests, demonstrations and scenario runs."""
