"""One client connection as its manager sees it: its phase, its timestamps, and why it was closed.

Nothing here decides anything; `connections.py` owns every transition. The probes at the end look at a socket without
consuming any of its data.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple

from gingervane.wire.local_failures import is_transient

_MAX_SEND_ATTEMPTS = 20  # of a rejection, where memory is short


class ConnectionLimits(NamedTuple):
    """How many client connections are kept, and for how long. Times are in seconds.

    `max_connections` bounds those that are not closing. A connection is idle for at most `idle_timeout`, and may take
    `first_byte_timeout` to send its first byte (None: `idle_timeout` applies). With more than `crowd_threshold` open,
    those that have been idle for `min_idle` may be closed.
    """

    max_connections: int
    idle_timeout: float
    first_byte_timeout: float | None
    crowd_threshold: int
    min_idle: float

    @property
    def effective_first_byte_timeout(self) -> float:
        """Seconds that a connection may take to send its first byte."""
        return self.first_byte_timeout or self.idle_timeout


class CloseReason(Enum):
    """Why a client connection was closed from this side, or found closed. The values are metric labels."""

    IDLE_TIMEOUT = "idle"
    FIRST_BYTE_TIMEOUT = "no first byte"
    OVER_CROWD_THRESHOLD = "crowded"
    EVICTED = "made room"
    OVER_LIMIT = "over the limit"
    NO_THREAD = "no thread"
    AFTER_REPLY = "after its reply"
    SHUTDOWN = "shutdown"
    CLIENT_DISCONNECTED = "client left"
    FAILED_WHILE_ACTIVE = "broken at work"


class NextStep(Enum):
    """What becomes of a connection once its requests have been served."""

    KEEP_ALIVE = 0
    CLOSE = 1
    DISCONNECTED = 2  # there is no client left to close it with


class Phase(Enum):
    """The phase of a connection."""

    IDLE = 0
    ACTIVE = 1
    CLOSING = 2


def ignore_disconnect() -> None:
    """Do nothing: nobody asked to be notified when the client disconnects."""


class ClientConnection:
    """A client connection.

    A worker that serves it may use `sock`, `request_started`, `last_reply` and `worker_state`. The other attributes
    belong to the connection manager and are guarded by its lock.
    """

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.number = sock.fileno()
        self.idle_since = now  # when it was accepted, or its previous request was finished
        self.request_started = now  # when the first byte of the present request was seen
        self.last_reply = -inf  # when the previous request was finished; never, for the first
        self.worker_state: object = None  # what its worker keeps between requests
        self.registered = False  # with the poller
        self.waiting_for_thread_since = (
            0.0  # when a request began that no thread could be had for; 0: none waits
        )
        self.phase = Phase.IDLE
        self.on_disconnect: Callable[[], None] = ignore_disconnect
        self.close_deadline = inf
        self.discarded_bytes = 0  # received while closing

    def send_rejection(self, rejection: bytes, on_failure: Callable[[OSError], None]) -> None:
        """Send a reply to a request that was not read, as far as that succeeds.

        `on_failure` gets each failure of this machine, after which sending is tried again.
        """
        for _ in range(_MAX_SEND_ATTEMPTS):
            try:
                self.sock.send(rejection)  # complete in one call: nothing was written there before
                break
            except OSError as error:
                if not is_transient(error):
                    break
                on_failure(error)


def has_unread_data(sock: socket.socket) -> bool | None:
    """Whether a non-blocking socket has data to read: None for nothing yet, False for its end.

    Where the call fails for want of this machine's resources it is None too: the caller looks again for what is to
    come.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError as error:
        return None if is_transient(error) else False


def is_disconnected(sock: socket.socket) -> bool:
    """Whether the other side has closed, or shut down its sending side, even behind unread data."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP | select.POLLHUP)
    except ValueError:  # the socket is closed here
        return True
    try:
        return bool(poll.poll(0))
    except OSError:  # of this machine: nothing is known of the client
        return False


def oldest(group: dict[ClientConnection, None], count: int = 1) -> list[ClientConnection]:
    """Return the first connections of a group, oldest first."""
    return [connection for connection, _ in zip(group, range(count), strict=False)]


def expired(group: dict[ClientConnection, None], timeout: float, now: float) -> list[ClientConnection]:
    """Return the connections of a group that have been idle for `timeout` seconds."""
    return [connection for connection in group if connection.idle_since + timeout <= now]
