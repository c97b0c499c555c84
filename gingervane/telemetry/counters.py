"""Counters by name and reason."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from threading import Lock


class Counters:
    """Totals by name and reason since the process started. Thread-safe and exact."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._totals = Counter[tuple[str, str]]()

    def add(self, name: str, reason: Enum | str, count: int = 1) -> None:
        """Add to one total."""
        with self._lock:
            self._totals[_key(name, reason)] += count

    def get(self, name: str, reason: Enum | str) -> int:
        """Return one total; 0 if nothing has been added to it."""
        with self._lock:
            return self._totals[_key(name, reason)]

    def snapshot(self) -> dict[tuple[str, str], int]:
        """Return a copy of all totals, by name and reason."""
        with self._lock:
            return dict(self._totals)


def _key(name: str, reason: Enum | str) -> tuple[str, str]:
    return name, str(reason.value) if isinstance(reason, Enum) else reason
