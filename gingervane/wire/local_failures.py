"""Failures of system calls that are not the peer's fault: this machine lacks a resource for a moment.

Linux documents them for sockets, connections, epoll and threads (errors 12, 23, 24, 28, 99, 100, 101, 105 and an
interrupted call). A call that fails so is retried, or reported as never started; it never counts as a failure of
the peer.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

START_RETRY_SECONDS = 5.0  # seconds for which an operation at start-up is retried
RETRY_PAUSE = 0.02  # seconds between two attempts

# The call had no effect and may be repeated at once.
TRANSIENT_ERRNOS = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
# This machine has run out of sockets, descriptors or ports, or has no route.
LOCAL_ERRNOS = TRANSIENT_ERRNOS | {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}


def is_transient(error: OSError) -> bool:
    """Return whether the failed call may be repeated as it was. A TimeoutError raised by Python itself may not."""
    return error.errno in TRANSIENT_ERRNOS


def is_local_failure(error_number: int | None) -> bool:
    """Return whether an errno value tells of this machine alone, not of the peer."""
    return error_number in LOCAL_ERRNOS


def retry_local_failures(operation: Callable[[], T]) -> T:
    """Return the result of `operation`, retried for `START_RETRY_SECONDS` while it fails for local reasons."""
    until = time.monotonic() + START_RETRY_SECONDS
    while True:
        try:
            return operation()
        except OSError as error:
            if not is_local_failure(error.errno) or time.monotonic() >= until:
                raise
        time.sleep(RETRY_PAUSE)


def start_thread(target: Callable[[], object], name: str) -> threading.Thread:
    """Start a daemon thread, retried for `START_RETRY_SECONDS`. Raises RuntimeError if none can be started."""
    until = time.monotonic() + START_RETRY_SECONDS
    while True:
        thread = threading.Thread(target=target, name=name, daemon=True)
        try:
            thread.start()
        except RuntimeError:  # of the system's limits on threads or memory
            if time.monotonic() >= until:
                raise
        else:
            return thread
        time.sleep(RETRY_PAUSE)
