"""Sending on a socket up to a deadline.

Calls that fail because this host is short of memory are retried.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from gingervane.wire.local_failures import RETRY_PAUSE, is_transient

T = TypeVar("T")


def send_all(sock: socket.socket, data: bytes, deadline: float) -> None:
    """Send all of `data`. Raises OSError if the peer has disconnected, TimeoutError at `deadline`."""
    view = memoryview(data)
    while view:
        view = view[_call_until(sock, deadline, partial(sock.send, view)) :]


def _call_until(sock: socket.socket, deadline: float, call: Callable[[], T]) -> T:
    """Return the result of a call on a socket, which is retried while this host is short of memory.

    Otherwise a request that has been accepted could go unanswered. Raises TimeoutError at `deadline`, or
    OSError.
    """
    while True:
        seconds_left = deadline - time.monotonic()
        if seconds_left <= 0:
            raise TimeoutError
        sock.settimeout(seconds_left)
        try:
            return call()
        except OSError as error:
            if not is_transient(error):
                raise
        time.sleep(RETRY_PAUSE)
