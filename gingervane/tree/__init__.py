"""Wide queries: splitting into subtrees, attempts and deadlines at each level, coverage of leaves."""
