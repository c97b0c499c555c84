"""How much of the processors' time the host has taken from the machine, and how long the rig itself stood still."""

from __future__ import annotations

import threading
import time
from pathlib import Path

_STALL_INTERVAL = 0.002  # seconds between two looks at the clock


def processor_times() -> tuple[int, int]:
    """Ticks that the machine's processors have worked, and that the host took while they had work (`steal`)."""
    words = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    user, nice, system, _, _, interrupts, soft, steal = (int(word) for word in words[:8])
    return user + nice + system + interrupts + soft, steal


def stolen_share(before: tuple[int, int], after: tuple[int, int]) -> float:
    """Share of the wanted time that was taken between two readings."""
    worked, stolen = after[0] - before[0], after[1] - before[1]
    return stolen / max(worked + stolen, 1)


class StallMeter:
    """Measures the longest time for which a thread of this process that wants to run does not."""

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
            due = time.monotonic() + _STALL_INTERVAL
            time.sleep(_STALL_INTERVAL)
            self.longest = max(self.longest, time.monotonic() - due)
