"""Failures of system calls that say nothing of the other side: this machine is short of something for a moment.

Linux documents them for sockets, connections, epoll and threads (errors 12, 23, 24, 28, 99, 100, 101, 105 and an
interrupted call). What fails so is tried again, or given up as never begun; it is never held against a peer.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

START_PATIENCE = 5.0  # seconds for which a start goes on in the face of such failures
RETRY_PAUSE = 0.02  # seconds

# The call did nothing and may be made again at once.
PASSING = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
# A socket, a descriptor, a port or a route is missing here.
LOCAL = PASSING | {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}


def is_passing(error: OSError) -> bool:
    """Whether the call that failed may be made again as it was. A time-out of Python's own is not such a failure."""
    return error.errno in PASSING


def is_local(code: int | None) -> bool:
    """Whether an error number is this machine's alone."""
    return code in LOCAL


def patiently(make: Callable[[], T]) -> T:
    """What `make` returns, tried again for `START_PATIENCE` seconds while it fails for want of something here."""
    until = time.monotonic() + START_PATIENCE
    while True:
        try:
            return make()
        except OSError as error:
            if not is_local(error.errno) or time.monotonic() >= until:
                raise
        time.sleep(RETRY_PAUSE)


def start_thread(target: Callable[[], object], name: str) -> threading.Thread:
    """A daemon thread that runs, tried again for `START_PATIENCE` seconds. Raises RuntimeError if none can be had."""
    until = time.monotonic() + START_PATIENCE
    while True:
        thread = threading.Thread(target=target, name=name, daemon=True)
        try:
            thread.start()
            return thread
        except RuntimeError:  # of the system's limits on threads or memory
            if time.monotonic() >= until:
                raise
        time.sleep(RETRY_PAUSE)
