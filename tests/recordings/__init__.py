"""Recorded inputs and outputs, which detect changes of behaviour in refactorings."""
