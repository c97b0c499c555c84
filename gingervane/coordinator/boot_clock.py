"""Real time that a stepped wall clock does not touch, and that goes on across restarts of this process.

`CLOCK_BOOTTIME` runs on from the machine's start, sleep included, and is the same for all processes until the machine
starts anew. So a time that was kept on disk means something as long as the boot's id is the same; else nothing is
known of how long ago it was.
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
    """The id of this boot; empty if the system does not tell, and then no kept moment is of this boot."""
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        return ""


def seconds() -> float:
    """Seconds since this boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def moment() -> Moment:
    """Now."""
    return Moment(boot_id(), seconds())


def since(kept: Moment) -> float | None:
    """Seconds since a moment that was kept; None if it was before another boot."""
    if not kept.boot or kept.boot != boot_id():
        return None
    return max(seconds() - kept.seconds, 0.0)
