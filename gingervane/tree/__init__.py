"""Decisions about wide queries: splitting into subtrees, attempts and deadlines by level, coverage of leaves."""
