"""Load, rehearsals and experiments."""
