"""Replicated writes: idempotency records and their log, quorum, missed writes and repair."""
