"""An HTTP/1.1 server with bounded resources, on threads with small stacks.

`connections.py` manages the phases of connections. While a connection is active, one thread reads its
request, waits for the reply and writes it, so pipelined requests are answered in order. A client that shuts
down its sending side counts as disconnected, as in Go's server.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from gingervane.coordinator import process_pause
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.fronts.client_connection import ClientConnection, ConnectionLimits, NextStep, is_disconnected
from gingervane.fronts.connections import ConnectionManager
from gingervane.fronts.timed_socket import TimedReceiver, send_all
from gingervane.wire import http1
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Request
from gingervane.wire.local_failures import retry_local_failures, start_thread
from gingervane.wire.socket_recorder import SOCKET_RECORDER

_BACKLOG = 512  # connections that the system queues until they are accepted
_FIRST_ERROR_STATUS = 400
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerLimits(NamedTuple):
    """Limits on clients. Times are in seconds.

    `idle_timeout`: between requests; `head_timeout`, `body_timeout`: to read a request; `write_timeout`: to
    write a reply; `first_byte_timeout`: until a client's first byte (None: `idle_timeout` applies). When more
    than `eviction_threshold` connections are open, those that have been idle for `min_idle` may be closed.
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

    def for_connections(self) -> ConnectionLimits:
        """Return the limits that the connection manager enforces."""
        return ConnectionLimits(
            self.max_connections,
            self.idle_timeout,
            self.first_byte_timeout,
            self.eviction_threshold,
            self.min_idle,
            _BACKLOG,
        )


def _nothing_to_release() -> None:
    """Do nothing."""


def _ignore_failure(_error: BaseException) -> None:
    """Do nothing."""


class Reply(NamedTuple):
    """A reply to a client."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes
    close: bool = False
    until: float | None = None  # the client's deadline, after which a failure is sent instead of a result
    done: Callable[[], None] = _nothing_to_release  # called once the reply is written or has failed


class Exchange(Protocol):
    """A handler's access to the client of its request."""

    @property
    def peer(self) -> int:
        """The client's port."""

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once if the client disconnects before the reply."""

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected."""

    def send_raw(self, data: bytes) -> None:
        """Write raw bytes instead of a reply; the handler's reply must then have an `until` in the past.

        For fake servers.
        """


class Handler(Protocol):
    """Answers one request, whose first byte arrived at `arrived`."""

    def __call__(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        """Return the reply. Called on the thread that serves the connection."""


class _ActiveConnection:
    """The `Exchange` of a request on an active connection."""

    def __init__(self, connection: ClientConnection, connections: ConnectionManager) -> None:
        self._connection = connection
        self._connections = connections

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        self._connections.watch(self._connection, on_disconnect)

    def is_disconnected(self) -> bool:
        return is_disconnected(self._connection.sock)

    @property
    def peer(self) -> int:
        return _ports(self._connection.sock)[1]

    def send_raw(self, data: bytes) -> None:
        self._connection.sock.sendall(data)


class _RequestReader:
    """Reads the requests of one connection.

    It must not refer back to the connection: such a reference cycle would keep the buffers of each closed
    connection in memory until the garbage collector runs.
    """

    def __init__(self, sock: socket.socket, limits: ServerLimits) -> None:
        self._sock = sock
        self._limits = limits
        self._receiver = TimedReceiver(sock)
        self._reader = http1.Reader(self._receiver.receive, limits.message_limits)

    @property
    def has_input(self) -> bool:
        """Whether bytes of a further request are buffered."""
        return bool(self._reader.has_buffered)

    def read(self, started: float) -> tuple[Request, bytes]:
        """Read a request, whose first byte arrived at `started`, and its body.

        Raises HttpError, ConnectionClosedError or OSError.
        """
        self._receiver.deadline = started + self._limits.head_timeout
        try:
            request = self._read_head()
        except TimeoutError:
            raise HttpError(408, "request head: not complete in time") from None
        self._receiver.deadline = time.monotonic() + self._limits.body_timeout
        try:
            return request, self._reader.body(request.headers)
        except TimeoutError:
            raise HttpError(408, "request body: not complete in time") from None

    def _read_head(self) -> Request:
        request = self._reader.request()
        if request.headers.get("expect"):
            if request.headers.tokens("expect") != ["100-continue"]:
                raise HttpError(417, "request headers: Expect is not 100-continue")
            if not self._reader.has_buffered:
                self._sock.sendall(_CONTINUE)
        return request


class HttpServer:
    """Serves `handler` on a listening socket until `stop`."""

    def __init__(self, host: str, port: int, handler: Handler, limits: ServerLimits) -> None:
        self._handler = handler
        self._limits = limits
        listener = retry_local_failures(lambda: socket.create_server((host, port), backlog=_BACKLOG))
        self.address: tuple[str, int] = listener.getsockname()[:2]
        fields = [("Retry-After", "1"), ("Connection", "close"), ("Content-Type", "text/plain")]
        rejection = http1.encode_response(503, fields, b"too many connections\n")
        self._connections = ConnectionManager(listener, limits.for_connections(), self._serve, rejection)
        self._stop = threading.Event()
        self._pauses = ProcessPauseDetector(time.monotonic())
        self.begin_shutdown = self._connections.begin_shutdown
        self.stop_accepting = self._connections.stop_accepting
        self.handler_failures = 0  # requests whose handler raised
        self.on_handler_failure: Callable[[BaseException], None] = _ignore_failure

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

    @property
    def rejected(self) -> int:
        """Number of connections rejected over the limit or because no thread was available."""
        return self._connections.rejected

    def _serve(self, connection: ClientConnection) -> NextStep:
        """Serve the request that has begun on a connection, and those pipelined after it."""
        if not isinstance(connection.worker_state, _RequestReader):
            connection.worker_state = _RequestReader(connection.sock, self._limits)
        reader = connection.worker_state
        started = connection.request_started
        last_reply = connection.last_reply
        try:
            while True:
                next_step = self._serve_request(connection, reader, started, last_reply)
                if next_step is not NextStep.KEEP_ALIVE or not reader.has_input:
                    return next_step
                started = last_reply = time.monotonic()
        except (OSError, ConnectionClosedError):
            return NextStep.DISCONNECTED

    def _serve_request(
        self, connection: ClientConnection, reader: _RequestReader, started: float, last_reply: float
    ) -> NextStep:
        """Serve a request whose first byte arrived at `started`.

        The previous request of the connection was finished at `last_reply`.
        """
        sock = connection.sock
        arrived = self._pauses.arrival_time(started, last_reply)
        try:
            request, body = reader.read(started)
        except HttpError as error:
            self._write(sock, plain(error.status, error.detail, close=True))
            return NextStep.CLOSE
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record("request", *_ports(sock))
        try:
            reply = self._handler(request, body, arrived, _ActiveConnection(connection, self._connections))
        # A request that has been read must be answered even if its handler has a bug.
        except Exception as error:  # noqa: BLE001
            self.handler_failures += 1
            self.on_handler_failure(error)
            self._write(sock, plain(500, "failed: internal error", close=True))
            return NextStep.CLOSE
        return self._reply(sock, reply, request.keep_alive)

    def _reply(self, sock: socket.socket, reply: Reply, keep_alive: bool) -> NextStep:
        """Write a reply, or a failure instead of a result if the client's deadline has passed."""
        try:
            is_late = reply.until is not None and time.monotonic() >= reply.until
            # Failures and rejections are sent unchanged. A result is too late to be of use, but a request
            # that has been read must be answered: it gets a failure that does not promise that nothing was
            # executed.
            if is_late and reply.status < _FIRST_ERROR_STATUS:
                reply = plain(504, "failed: its time is up", close=True)._replace(done=reply.done)
            close = reply.close or not keep_alive or self._connections.shutting_down
            self._write(sock, reply._replace(close=close))
            return NextStep.CLOSE if close else NextStep.KEEP_ALIVE
        finally:
            reply.done()

    def _write(self, sock: socket.socket, reply: Reply) -> None:
        fields = [*reply.fields, ("Connection", "close")] if reply.close else reply.fields
        data = http1.encode_response(reply.status, fields, reply.body)
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record("reply", *_ports(sock), status=reply.status)
        send_all(sock, data, time.monotonic() + self._limits.write_timeout)


def _ports(sock: socket.socket) -> tuple[int, int]:
    return sock.getsockname()[1], sock.getpeername()[1]


def plain(status: int, text: str, close: bool = False, fields: tuple[tuple[str, str], ...] = ()) -> Reply:
    """Return a reply whose body is one line of text."""
    content_type = ("Content-Type", "text/plain; charset=utf-8")
    return Reply(status, [content_type, *fields], text.encode() + b"\n", close)
