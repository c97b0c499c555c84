"""The state of one client connection: its phase, its timestamps, and why it was closed.

`connections.py` makes every transition between phases. `has_unread_data` and `is_disconnected` examine a
socket without consuming its data.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from enum import Enum
from itertools import takewhile
from math import inf
from typing import NamedTuple

from gingervane.fronts.connection_input import ConnectionInput
from gingervane.fronts.connection_output import NextStep, UnsentReply
from gingervane.wire.http1_messages import Limits
from gingervane.wire.http1_parser import ReceivedRequest
from gingervane.wire.local_failures import is_transient

# What a thread serves next: a request, or the function that makes the reply to the one before.
Work = ReceivedRequest | Callable[[], object]
_MAX_SEND_ATTEMPTS = 20  # to send a rejection while the system is short of memory


class ConnectionLimits(NamedTuple):
    """Limits on the number of client connections and on their idle time. Times are in seconds.

    `max_connections` bounds the connections that are not closing. A connection is idle for at most
    `idle_timeout`, and may take `first_byte_timeout` to send its first byte (None: `idle_timeout` applies).
    When more than `eviction_threshold` connections are open, those that have been idle for `min_idle` may be
    closed. The system queues up to `backlog` connections until they are accepted. The head of a request may take
    `head_timeout` from its first byte on, its body `body_timeout` from then on, both within `message_limits`.
    `serving_waits`: each request is served on a thread of its own, as that may wait.
    """

    max_connections: int
    idle_timeout: float
    first_byte_timeout: float | None
    eviction_threshold: int
    min_idle: float
    backlog: int
    head_timeout: float
    body_timeout: float
    message_limits: Limits
    serving_waits: bool

    @property
    def effective_first_byte_timeout(self) -> float:
        """Seconds that a connection may take to send its first byte."""
        return self.first_byte_timeout or self.idle_timeout


class CloseReason(Enum):
    """Why a client connection was closed, by the server or by the client. The values are metric labels."""

    IDLE_TIMEOUT = "idle"
    FIRST_BYTE_TIMEOUT = "no first byte"
    OVER_EVICTION_THRESHOLD = "crowded"
    EVICTED = "made room"
    OVER_LIMIT = "over the limit"
    NO_THREAD = "no thread"
    INVALID_REQUEST = "invalid request"
    REQUEST_TIMEOUT = "request not complete in time"
    OUT_OF_MEMORY = "no memory for its request"
    REPLY_UNREAD = "reply not read"
    INTERNAL_ERROR = "internal error"
    AFTER_REPLY = "after its reply"
    SHUTDOWN = "shutdown"
    CLIENT_DISCONNECTED = "client left"
    FAILED_WHILE_ACTIVE = "broken at work"


class Phase(Enum):
    """The phase of a connection; see `connections.py`."""

    IDLE = 0
    READING = 1
    ACTIVE = 2
    WRITING = 3
    CLOSING = 4
    CLOSED = 5


def ignore_disconnect() -> None:
    """Do nothing. The callback of a connection whose disconnect is not watched."""


class ClientConnection:
    """A client connection.

    The thread that serves it may use `sock`, `request_started`, `last_reply`, `keeps_alive`, `is_pipelined`,
    `is_unsupervised`, `request_number` and `work`. The input belongs to the polling thread while the connection is
    being read. The other attributes belong to the connection manager and are guarded by its lock.
    """

    __slots__ = (
        "awaits_reply",
        "close_deadline",
        "connected_since",
        "descriptor",
        "discarded_bytes",
        "discards_input",
        "has_unparsed",
        "idle_since",
        "input",
        "is_pipelined",
        "is_unsupervised",
        "keeps_alive",
        "last_reply",
        "next_step",
        "on_disconnect",
        "output",
        "phase",
        "read_deadline",
        "reads",
        "registered",
        "request_number",
        "request_started",
        "sock",
        "waited_too_long",
        "waiting_for_thread_since",
        "work",
    )

    def __init__(
        self, sock: socket.socket, now: float, connected_since: float, input_: ConnectionInput
    ) -> None:
        self.sock = sock
        self.input = input_
        self.output: UnsentReply | None = None
        self.connected_since = connected_since  # earliest time at which the client may have connected
        self.descriptor = sock.fileno()
        self.idle_since = now  # when it was accepted, or its previous request was finished
        self.request_number = 0  # of requests served on this connection so far
        self.request_started = now  # earliest time at which the first byte of the current request arrived
        self.read_deadline = inf  # for the rest of the head or of the body that is being read
        self.reads = 0  # of the request that is being read
        self.last_reply = -inf  # when the previous request was finished; -inf before the first request
        self.work: Work | None = None  # for the next thread that serves the connection
        self.awaits_reply = False  # a request is complete, and no byte of its reply has been sent
        self.next_step = NextStep.KEEP_ALIVE  # once the client has taken the reply
        self.has_unparsed = False  # bytes were received that were not parsed yet
        self.is_pipelined = False  # the current request arrived before the reply to the one before it
        self.keeps_alive = True  # the current request asks for that
        self.discards_input = False  # what follows the current request is not read as a request
        self.is_unsupervised = False  # too much input waits to see whether the client has disconnected
        self.registered = False  # with the poller
        self.waiting_for_thread_since = 0.0  # start of a request for which no thread was available; 0: none
        self.waited_too_long = False  # so that the request is refused
        self.phase = Phase.IDLE
        self.on_disconnect: Callable[[], None] = ignore_disconnect
        self.close_deadline = inf
        self.discarded_bytes = 0  # received while closing

    def send_rejection(self, rejection: bytes, on_failure: Callable[[OSError], None]) -> None:
        """Try to send a reply to a request that was not read.

        `on_failure` is called with each failure that is transient on this host; the send is then retried.
        """
        for _ in range(_MAX_SEND_ATTEMPTS):
            try:
                self.sock.send(rejection)  # one call is enough, as the send buffer is still empty
                break
            except OSError as error:
                if not is_transient(error):
                    break
                on_failure(error)


REPORTED_REASONS = frozenset(
    {
        CloseReason.EVICTED,
        CloseReason.OVER_LIMIT,
        CloseReason.NO_THREAD,
        CloseReason.REQUEST_TIMEOUT,
        CloseReason.OUT_OF_MEMORY,
        CloseReason.REPLY_UNREAD,
        CloseReason.INTERNAL_ERROR,
    }
)


class ClosedConnection(NamedTuple):
    """A closed connection, for the log. `held_bytes`: of its request; `seconds`: since that began.

    `port`: the client's, 0 if unknown; `requests`: how many were served on the connection.
    """

    reason: CloseReason
    phase: Phase
    port: int
    requests: int
    held_bytes: int
    seconds: float

    @classmethod
    def of(cls, connection: ClientConnection, reason: CloseReason, now: float) -> ClosedConnection:
        """Describe a connection that is about to be closed."""
        try:
            port = connection.sock.getpeername()[1]
        except OSError:
            port = 0
        seconds = now - connection.request_started
        held_bytes = connection.input.held_bytes
        return cls(reason, connection.phase, port, connection.request_number, held_bytes, seconds)


def has_unread_data(sock: socket.socket) -> bool | None:
    """Whether a non-blocking socket has data to read.

    None if there is none yet, or the call fails for lack of resources on this host: the caller polls the
    socket again. False at end of stream or on another error.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError as error:
        return None if is_transient(error) else False


def is_disconnected(sock: socket.socket) -> bool:
    """Whether the peer has closed its side or shut down sending, even if unread data precedes that."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP | select.POLLHUP)
    except ValueError:  # the socket is already closed on this side
        return True
    try:
        return bool(poll.poll(0))
    except OSError:  # a local failure says nothing about the client
        return False


def oldest(group: dict[ClientConnection, None], count: int = 1) -> list[ClientConnection]:
    """Return the first `count` connections of a group, which is ordered from the oldest on."""
    return [connection for connection, _ in zip(group, range(count), strict=False)]


def expired(group: dict[ClientConnection, None], timeout: float, now: float) -> list[ClientConnection]:
    """Return the connections of a group that have been idle for `timeout` seconds."""
    return list(takewhile(lambda connection: connection.idle_since + timeout <= now, group))


def past_read_deadline(group: dict[ClientConnection, None], now: float) -> list[ClientConnection]:
    """Return the connections at the head of a group whose time to send their request has passed."""
    return list(takewhile(lambda connection: connection.read_deadline <= now, group))
