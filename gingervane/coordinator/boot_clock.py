"""A clock that wall-clock steps do not affect and that continues across restarts of this process.

`CLOCK_BOOTTIME` counts from the boot of the machine, suspended time included, and is the same for all processes. A
time stored on disk can be compared with the present one while the boot id is unchanged; after a reboot the time
between the two is unknown.
"""

from __future__ import annotations

import time
from functools import cache
from pathlib import Path
from typing import NamedTuple

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class Moment(NamedTuple):
    """A time in seconds since a boot. Moments of different boots cannot be compared."""

    boot: str
    seconds: float


@cache
def boot_id() -> str:
    """Return the id of this boot; empty if the system provides none, so that no stored moment is of this boot."""
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        return ""


def seconds() -> float:
    """Return the seconds since this boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def moment() -> Moment:
    """Return the current moment."""
    return Moment(boot_id(), seconds())


def since(stored: Moment) -> float | None:
    """Return the seconds since a stored moment; None if it is of another boot."""
    if not stored.boot or stored.boot != boot_id():
        return None
    return max(seconds() - stored.seconds, 0.0)
