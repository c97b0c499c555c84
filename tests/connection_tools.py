"""Hooks and helpers for tests in which two events on a client connection race."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest
from platform_fakes import (
    WAIT_TIMEOUT_SECONDS,
    Platform,
    connections_of,
    wait_until,
)

from gingervane.fronts.client_connection import has_unread_data


class BlockableMethod:
    """Patches a method of the node so that, between `block` and `unblock`, its callers block.

    They block before the method runs, or after it if `after` is set. `entered`: a caller has been blocked.
    """

    def __init__(self, patch: pytest.MonkeyPatch, owner: type, name: str, after: bool = False) -> None:
        self.entered, self.unblocked = threading.Event(), threading.Event()
        self.blocking = False
        function: Callable[..., Any] = getattr(owner, name)

        def blocked(*args: Any, **kwargs: Any) -> Any:
            result = function(*args, **kwargs) if after else None
            if self.blocking:
                self.entered.set()
                self.unblocked.wait(WAIT_TIMEOUT_SECONDS)
            return result if after else function(*args, **kwargs)

        patch.setattr(owner, name, blocked)

    def block(self) -> None:
        self.blocking = True

    def unblock(self) -> None:
        self.blocking = False
        self.unblocked.set()


def has_unread_request(platform: Platform) -> bool:
    """Return whether an idle connection has unread data."""
    connections = connections_of(platform)
    with connections._lock:
        return any(
            has_unread_data(connection.sock)
            for connection in [*connections.table.idle, *connections.table.awaiting_first_byte]
        )


def idle_client(platform: Platform) -> socket.socket:
    """Return a client connection that is idle after one request."""
    sock = platform.client()
    assert platform.ask("first", {0: 1.0}, sock=sock)[0] == 200
    wait_until(lambda: len(connections_of(platform).table.idle) == 1, "its connection is idle")
    return sock


def received_part_ids(platform: Platform) -> list[str]:
    """Return the ids of the parts that the replicas received."""
    return [part.id for replica in platform.replicas for part in replica.parts.items]


def assert_closed_cleanly(sock: socket.socket) -> None:
    """Check that the connection ends without a reset, which could have discarded an answer."""
    sock.settimeout(WAIT_TIMEOUT_SECONDS)
    assert sock.recv(1) == b""


def in_background(function: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=function)
    thread.start()
    return thread
