"""Failures of system calls that the peer did not cause: this machine temporarily lacks a resource.

Linux documents them for sockets, connections, epoll and threads (errors 12, 23, 24, 28, 99, 100, 101, 105 and
an interrupted call). Such a call is retried, or reported as never started. It does not count as a failure of
the peer.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

START_RETRY_SECONDS = 5.0  # time for which an operation at start-up is retried
RETRY_PAUSE = 0.02  # seconds between two attempts

# Errors after which the call had no effect and may be repeated at once.
TRANSIENT_ERRNOS = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
# The above, and errors of a machine without free sockets, descriptors or ports, or without a route.
LOCAL_ERRNOS = TRANSIENT_ERRNOS | {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}


def is_transient(error: OSError) -> bool:
    """Return whether the failed call may be repeated. False for a TimeoutError raised by Python itself."""
    return error.errno in TRANSIENT_ERRNOS


def is_local_failure(error_number: int | None) -> bool:
    """Return whether an errno value means a failure of this machine and not of the peer."""
    return error_number in LOCAL_ERRNOS


def retry_local_failures(operation: Callable[[], T]) -> T:
    """Return the result of `operation`, which is retried on local failures for `START_RETRY_SECONDS`."""
    retry_deadline = time.monotonic() + START_RETRY_SECONDS
    while True:
        try:
            return operation()
        except OSError as error:
            if not is_local_failure(error.errno) or time.monotonic() >= retry_deadline:
                raise
        time.sleep(RETRY_PAUSE)


def start_thread(target: Callable[[], object], name: str) -> threading.Thread:
    """Start a daemon thread, retrying for `START_RETRY_SECONDS`. Raises RuntimeError if that fails."""
    retry_deadline = time.monotonic() + START_RETRY_SECONDS
    while True:
        thread = threading.Thread(target=target, name=name, daemon=True)
        try:
            thread.start()
        except RuntimeError:  # the system's limit of threads or memory is reached
            if time.monotonic() >= retry_deadline:
                raise
        else:
            return thread
        time.sleep(RETRY_PAUSE)
