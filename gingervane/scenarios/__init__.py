"""What is known of a rehearsal before it is played: its scenario, its clients' demands and its fixed data."""
