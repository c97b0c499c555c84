"""Stand-in servers with injected faults, for tests, demos and rehearsals."""
