"""Real time that a step of the wall clock does not touch, and that goes on across restarts of this process.

`CLOCK_BOOTTIME` runs on from the machine's start, sleep included, and is the same for all processes until the machine
boots again. So a time that was stored on disk means something as long as the id of the boot is the same; else it is
not known how long ago it was.
"""

from __future__ import annotations

import time
from functools import cache
from pathlib import Path
from typing import NamedTuple

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class Moment(NamedTuple):
    """Seconds since a boot. Moments of different boots cannot be compared."""

    boot: str
    seconds: float


@cache
def boot_id() -> str:
    """Return the id of this boot; empty if the system gives none, and then no stored moment is of this boot."""
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        return ""


def seconds() -> float:
    """Return the seconds since this boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def moment() -> Moment:
    """Return the present moment."""
    return Moment(boot_id(), seconds())


def since(stored: Moment) -> float | None:
    """Return the seconds since a stored moment; None if it was before another boot."""
    if not stored.boot or stored.boot != boot_id():
        return None
    return max(seconds() - stored.seconds, 0.0)
