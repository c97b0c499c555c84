"""Sources of server lists, and their reconciliation into the state of each replica."""
