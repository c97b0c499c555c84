"""Receiving and sending on a socket up to a deadline.

Calls that fail for want of memory on this machine are retried.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from gingervane.wire.local_failures import RETRY_PAUSE, is_transient

T = TypeVar("T")


class TimedReceiver:
    """Receives from one connection, each time no later than `deadline`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.deadline = 0.0

    def receive(self, max_bytes: int) -> bytes:
        """Receive some bytes; none at the end. Raises TimeoutError at the deadline, or OSError."""
        return _call_until(self._sock, self.deadline, lambda: self._sock.recv(max_bytes))


def send_all(sock: socket.socket, data: bytes, deadline: float) -> None:
    """Write all of it. Raises OSError if the other side is gone, or has not taken it by `deadline`."""
    view = memoryview(data)
    while view:
        view = view[_call_until(sock, deadline, partial(sock.send, view)) :]


def _call_until(sock: socket.socket, deadline: float, call: Callable[[], T]) -> T:
    """Return what a call on a socket returns, retried where it fails for want of memory on this machine.

    What a client has been promised is not lost for that. Raises TimeoutError at `deadline`, or OSError.
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
