"""Measures the processor time that the host took from this machine (steal), and stalls of the rig's process."""

from __future__ import annotations

import threading
import time
from pathlib import Path

_STALL_INTERVAL_SECONDS = 0.002  # between two readings of the clock


def processor_times() -> tuple[int, int]:
    """Return the ticks for which the processors were busy, and those that the host took from them (`steal`)."""
    words = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    user, nice, system, _, _, interrupts, soft, steal = (int(word) for word in words[:8])
    return user + nice + system + interrupts + soft, steal


def stolen_share(before: tuple[int, int], after: tuple[int, int]) -> float:
    """Return the share of the requested processor time that the host took between two readings."""
    worked, stolen = after[0] - before[0], after[1] - before[1]
    return stolen / max(worked + stolen, 1)


class StallMeter:
    """Measures the longest delay with which a sleeping thread of this process runs again."""

    def __init__(self) -> None:
        self.longest = 0.0  # seconds
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> StallMeter:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            due = time.monotonic() + _STALL_INTERVAL_SECONDS
            time.sleep(_STALL_INTERVAL_SECONDS)
            self.longest = max(self.longest, time.monotonic() - due)
