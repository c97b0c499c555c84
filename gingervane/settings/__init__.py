"""Settings of the daemon: their model, checks and loading."""
