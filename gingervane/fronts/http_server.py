"""An HTTP/1.1 server with bounded resources, on threads with small stacks.

`connections.py` manages the phases of connections and reads their requests. A thread calls the handler with a
complete request. The handler returns the reply, or `REPLY_LATER` if it calls `reply_later` once the reply can be
made; then no thread waits for it. Requests of one connection are answered in order. A client that shuts down its
sending side counts as disconnected, as in Go's server.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol

from gingervane.coordinator import process_pause
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.fronts.client_connection import ClientConnection, ClosedConnection, ConnectionLimits
from gingervane.fronts.connection_output import NextStep, ReplyEnd
from gingervane.fronts.connection_table import ServerHooks
from gingervane.fronts.connections import ConnectionManager
from gingervane.fronts.timed_socket import send_all
from gingervane.limits.memory_budget import MemoryBudget
from gingervane.wire import http1
from gingervane.wire.http1 import HttpError, Limits, Request
from gingervane.wire.http1_parser import ReceivedRequest
from gingervane.wire.local_failures import retry_local_failures, start_thread
from gingervane.wire.socket_recorder import SOCKET_RECORDER

_BACKLOG = 512  # connections that the system queues until they are accepted
_FIRST_ERROR_STATUS = 400
_UNAVAILABLE = 503


class ServerLimits(NamedTuple):
    """Limits on clients. Times are in seconds.

    `idle_timeout`: between requests; `head_timeout`, `body_timeout`: to read a request; `write_timeout`: to
    write a reply; `first_byte_timeout`: until a client's first byte (None: `idle_timeout` applies). When more
    than `eviction_threshold` connections are open, those that have been idle for `min_idle` may be closed.
    `memory_bytes`: of requests and unwritten replies, where the server has no budget in common with others.
    `handler_waits`: the handler may wait, so that it is called on a thread of its own.
    """

    max_connections: int = 2000
    idle_timeout: float = 60.0
    head_timeout: float = 5.0
    body_timeout: float = 10.0
    write_timeout: float = 10.0
    message_limits: Limits = Limits()
    thread_stack_bytes: int = 256 * 1024
    first_byte_timeout: float | None = None
    eviction_threshold: int = 1 << 30
    min_idle: float = 2.0
    memory_bytes: int = 256 << 20
    handler_waits: bool = True

    def for_connections(self) -> ConnectionLimits:
        """Return the limits that the connection manager enforces."""
        return ConnectionLimits(
            self.max_connections,
            self.idle_timeout,
            self.first_byte_timeout,
            self.eviction_threshold,
            self.min_idle,
            _BACKLOG,
            self.head_timeout,
            self.body_timeout,
            self.message_limits,
            self.handler_waits,
        )


def _nothing_to_release() -> None:
    """Do nothing."""


def _ignore_closed(_closed: ClosedConnection) -> None:
    """Do nothing."""


def _ignore_failure(_error: BaseException) -> None:
    """Do nothing."""


class Reply(NamedTuple):
    """A reply to a client."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes
    close: bool = False
    result_expires_at: float | None = (
        None  # when a result is of no use to the client any more: it gets a failure
    )
    done: Callable[[], None] = _nothing_to_release  # called once the reply is written or has failed


class ReplyLater(Enum):
    """Returned by a handler that replies by `Exchange.reply_later`."""

    REPLY_LATER = 0


REPLY_LATER = ReplyLater.REPLY_LATER


class Exchange(Protocol):
    """A handler's access to the client of its request."""

    @property
    def peer(self) -> int:
        """The client's port."""

    @property
    def is_pipelined(self) -> bool:
        """Whether the request arrived before the reply to the one before it."""

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once if the client disconnects before the reply."""

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected."""

    def is_unsupervised(self) -> bool:
        """Whether so much input waits that the server cannot notice if the client disconnects."""

    def reply_later(self, make_reply: Callable[[], Reply]) -> None:
        """Send the reply that `make_reply` returns, which the thread of all connections calls. Does not block."""

    def send_raw(self, data: bytes) -> None:
        """Write raw bytes instead of a reply; the handler's reply must then be a result that has expired.

        For fake servers.
        """


class Handler(Protocol):
    """Answers one request, whose first byte arrived at `arrived`."""

    def __call__(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply | ReplyLater:
        """Return the reply. Called on a thread of its own, or on that of all connections if it never waits."""


class _ActiveConnection:
    """The `Exchange` of a request on an active connection."""

    def __init__(self, connection: ClientConnection, connections: ConnectionManager, timeout: float) -> None:
        self._connection = connection
        self._connections = connections
        self._number = connection.request_number
        self._timeout = timeout

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        self._connections.watch(self._connection, self._number, on_disconnect)

    def is_disconnected(self) -> bool:
        return self._connections.has_disconnected(self._connection)

    def is_unsupervised(self) -> bool:
        return self._connection.is_unsupervised

    def reply_later(self, make_reply: Callable[[], Reply]) -> None:
        if not self._connections.resume(self._connection, self._number, make_reply):
            make_reply().done()

    @property
    def peer(self) -> int:
        return _ports(self._connection.sock)[1]

    @property
    def is_pipelined(self) -> bool:
        return self._connection.is_pipelined

    def send_raw(self, data: bytes) -> None:
        sock = self._connection.sock
        send_all(sock, data, time.monotonic() + self._timeout)
        sock.setblocking(False)


class HttpServer:
    """Serves `handler` on a listening socket until `stop`."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: ServerLimits,
        budget: MemoryBudget | None = None,
    ) -> None:
        """`budget`: for requests and unwritten replies; None: one of its own, of `limits.memory_bytes`."""
        self._handler = handler
        self._limits = limits
        self.budget = budget or MemoryBudget(limits.memory_bytes)
        listener = retry_local_failures(lambda: socket.create_server((host, port), backlog=_BACKLOG))
        self.address: tuple[str, int] = listener.getsockname()[:2]
        fields = [("Retry-After", "1"), ("Connection", "close"), ("Content-Type", "text/plain")]
        rejection = http1.encode_response(503, fields, b"too many connections\n")
        hooks = ServerHooks(
            self._serve, _encode_error, rejection, self._report_failure, lambda closed: self.on_closed(closed)
        )
        self._connections = ConnectionManager(listener, limits.for_connections(), hooks, self.budget)
        self._stop = threading.Event()
        self._pauses = ProcessPauseDetector(time.monotonic())
        self.begin_shutdown = self._connections.begin_shutdown
        self.stop_accepting = self._connections.stop_accepting
        self.handler_failures = 0  # requests whose handler raised
        self.on_handler_failure: Callable[[BaseException], None] = _ignore_failure
        self.on_closed: Callable[[ClosedConnection], None] = _ignore_closed

    def start(self) -> None:
        """Start to accept connections and to serve requests."""
        threading.stack_size(self._limits.thread_stack_bytes)
        self._connections.start()
        start_thread(self._tick, "ticker")

    def stop(self, grace: float) -> None:
        """Stop accepting and close idle connections.

        The other connections have `grace` seconds to write their replies and to be closed.
        """
        self._connections.stop(grace)
        self._stop.set()

    def _tick(self) -> None:
        while not self._stop.wait(process_pause.TICK_INTERVAL):
            self._pauses.tick(time.monotonic())

    @property
    def process_pauses(self) -> int:
        """Number of process pauses detected."""
        return self._pauses.count

    @property
    def connections(self) -> int:
        """Number of connections that are not closing."""
        return len(self._connections)

    @property
    def close_reasons(self) -> Mapping[str, int]:
        """Number of closed connections, by the value of `CloseReason`."""
        return self._connections.close_reasons

    @property
    def failures(self) -> Mapping[str, int]:
        """System calls that failed for lack of resources on this host, by call and error."""
        return self._connections.failures

    def phase_counts(self) -> Mapping[str, int]:
        """Return the number of connections by phase."""
        return self._connections.phase_counts()

    @property
    def rejected(self) -> int:
        """Number of connections rejected over the limit or because no thread was available."""
        return self._connections.rejected

    def _serve(self, connection: ClientConnection) -> NextStep:
        """Serve the request of a connection, or send the reply that was awaited."""
        work, connection.work = connection.work, None
        assert work is not None, "a connection is served only with work"
        if not isinstance(work, ReceivedRequest):
            return self._reply(connection, self._call_handler(connection, work))
        arrived = self._pauses.arrival_time(connection.request_started, connection.last_reply)
        connection.keeps_alive = work.head.keep_alive
        connection.discards_input = not work.head.keep_alive
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record("request", *_ports(connection.sock))
        if connection.waited_too_long:
            return self._reply(connection, _OVERLOADED)
        client = _ActiveConnection(connection, self._connections, self._limits.write_timeout)
        reply = self._call_handler(connection, lambda: self._handler(work.head, work.body, arrived, client))
        return self._reply(connection, reply)

    def _call_handler(self, connection: ClientConnection, work: Callable[[], Any]) -> Reply | ReplyLater:
        """Return what a handler, or the maker of its reply, returns.

        A request that has been read must be answered even if its handler has a bug or finds no memory.
        """
        try:
            reply: Reply | ReplyLater = work()
        except Exception as error:  # noqa: BLE001
            self._report_failure(error)
            connection.keeps_alive = False
            return plain(500, "failed: internal error", close=True)
        return reply

    def _report_failure(self, error: BaseException) -> None:
        self.handler_failures += 1
        self.on_handler_failure(error)

    def _reply(self, connection: ClientConnection, reply: Reply | ReplyLater) -> NextStep:
        """Send a reply, or a failure instead of a result if the client's deadline has passed."""
        if isinstance(reply, ReplyLater):
            return NextStep.REPLY_LATER
        is_late = reply.result_expires_at is not None and time.monotonic() >= reply.result_expires_at
        # Failures and rejections are sent unchanged. A request that has been read must be answered, also late.
        if is_late and reply.status < _FIRST_ERROR_STATUS:
            reply = expired_reply(reply.done)
        close = reply.close or not connection.keeps_alive or self._connections.shutting_down
        return self._write(connection, reply._replace(close=close))

    def _write(self, connection: ClientConnection, reply: Reply) -> NextStep:
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record("reply", *_ports(connection.sock), status=reply.status)
        end = ReplyEnd(NextStep.CLOSE if reply.close else NextStep.KEEP_ALIVE, reply.done)
        deadline = time.monotonic() + self._limits.write_timeout
        try:
            return self._connections.send(connection, _encode(reply), deadline, end)
        except BaseException:
            reply.done()
            raise


def _encode(reply: Reply) -> bytes:
    fields = [*reply.fields, ("Connection", "close")] if reply.close else reply.fields
    return http1.encode_response(reply.status, fields, reply.body)


def _encode_error(error: HttpError) -> bytes:
    """Return the reply to a request that could not be read."""
    fields = (("Retry-After", "1"),) if error.status == _UNAVAILABLE else ()
    return _encode(plain(error.status, error.detail, close=True, fields=fields))


def _ports(sock: socket.socket) -> tuple[int, int]:
    return sock.getsockname()[1], sock.getpeername()[1]


def plain(status: int, text: str, close: bool = False, fields: tuple[tuple[str, str], ...] = ()) -> Reply:
    """Return a reply whose body is one line of text."""
    content_type = ("Content-Type", "text/plain; charset=utf-8")
    return Reply(status, [content_type, *fields], text.encode() + b"\n", close)


def expired_reply(done: Callable[[], None]) -> Reply:
    """Return the reply in place of a result that is too late. It does not promise that nothing was executed."""
    return plain(504, "failed: its time is up", close=True)._replace(done=done)


_OVERLOADED = plain(
    503, "refused: too many large or pipelined requests are open", fields=(("Retry-After", "1"),)
)
