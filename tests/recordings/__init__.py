"""Recorded inputs and outputs that pin behaviour across refactorings."""
