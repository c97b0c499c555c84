"""A bounded HTTP/1.1 server on threads with small stacks.

Owners: `connections.py` says what each connection does next; while a request is open on one, a thread of its own
reads the request, waits for its reply and writes it, so pipelined requests are answered in order. A client that shuts
its sending side counts as gone, as in Go's server.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import NamedTuple, Protocol, TypeVar

from gingervane.coordinator import process_pause
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.fronts.client_connection import ClientConnection, ConnectionLimits, NextStep, is_disconnected
from gingervane.fronts.connections import ConnectionManager
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, HttpError, Limits, Request
from gingervane.wire.local_failures import RETRY_PAUSE, is_passing, patiently, start_thread
from gingervane.wire.socket_recorder import SOCKET_RECORDER


T = TypeVar("T")


class ServerLimits(NamedTuple):
    """Bounds on clients; seconds. `idle`: between messages; `head`, `body`: to read one; `write`: a reply.

    `silent`: to send a first byte, where that is not `idle`. With more than `crowd` connections open, those quiet for
    `quiet` may go.
    """

    max_connections: int = 2000
    idle_timeout: float = 60.0
    head_timeout: float = 5.0
    body_timeout: float = 10.0
    write_timeout: float = 10.0
    message_limits: Limits = Limits()
    thread_stack_bytes: int = 256 * 1024
    first_byte_timeout: float | None = None
    crowd_threshold: int = 1 << 30
    min_idle: float = 2.0


class Reply(NamedTuple):
    status: int
    fields: list[tuple[str, str]]
    body: bytes
    close: bool = False
    until: float | None = None  # the client's time: after it a failure takes this reply's place
    done: Callable[[], None] = lambda: None  # called once the reply is written, or cannot be


class Exchange(Protocol):
    """What a handler may use while it works. `peer`: the client's port."""

    @property
    def peer(self) -> int: ...

    def watch(self, gone: Callable[[], None]) -> None:
        """Have `gone` called, once, if the client leaves before the reply."""

    def is_disconnected(self) -> bool:
        """Whether the client has left by now."""

    def send_raw(self, data: bytes) -> None:
        """Write bytes as they are, in place of a reply (whose `until` must then be past); for stand-ins."""


class Handler(Protocol):
    def __call__(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply: ...


class _Client:
    """One connection at work, for the handler's use."""

    def __init__(self, one: ClientConnection, connections: ConnectionManager) -> None:
        self._one, self._connections = one, connections

    def watch(self, gone: Callable[[], None]) -> None:
        self._connections.watch(self._one, gone)

    def is_disconnected(self) -> bool:
        return is_disconnected(self._one.sock)

    @property
    def peer(self) -> int:
        return _ports(self._one.sock)[1]

    def send_raw(self, data: bytes) -> None:
        self._one.sock.sendall(data)


class _Timed:
    """Receives from one connection, each time no later than `until`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self.until = sock, 0.0

    def receive(self, most: int) -> bytes:
        return _within(self._sock, self.until, lambda: self._sock.recv(most))


class _Reading(NamedTuple):
    """What is read off one connection. Guards memory: nothing in it refers back, or each connection that is gone
    would hold its buffers until the collector of cycles comes by."""

    timed: _Timed
    reader: http1.Reader


class HttpServer:
    """Serves `handler` on a listening socket until `stop`."""

    def __init__(self, host: str, port: int, handler: Handler, limits: ServerLimits) -> None:
        self._handler, self._limits = handler, limits
        listener = patiently(lambda: socket.create_server((host, port), backlog=512))
        self.address: tuple[str, int] = listener.getsockname()[:2]
        fields = [("Retry-After", "1"), ("Connection", "close"), ("Content-Type", "text/plain")]
        self._connections = ConnectionManager(
            listener,
            ConnectionLimits(
                limits.max_connections,
                limits.idle_timeout,
                limits.first_byte_timeout,
                limits.crowd_threshold,
                limits.min_idle,
            ),
            self._work,
            http1.response(503, fields, b"too many connections\n"),
        )
        self._stop, self._still = threading.Event(), ProcessPauseDetector(time.monotonic())
        self.begin_shutdown = self._connections.begin_shutdown
        self.stop_accepting = self._connections.stop_accepting

        self.handler_failures = 0  # requests whose handler broke
        self.on_handler_failure: Callable[[BaseException], None] = lambda error: None

    def start(self) -> None:
        threading.stack_size(self._limits.thread_stack_bytes)
        self._connections.start()
        start_thread(self._tick, "ticker")

    def stop(self, grace: float) -> None:
        """Accept no more, end resting connections, and give the others `grace` seconds to write their replies and to
        have them read."""
        self._connections.stop(grace)
        self._stop.set()

    def _tick(self) -> None:
        while not self._stop.wait(process_pause.EVERY):
            self._still.tick(time.monotonic())

    @property
    def process_pauses(self) -> int:
        """Times that this process stood still."""
        return self._still.count

    @property
    def connections(self) -> int:
        """Those that are not at their end."""
        return len(self._connections)

    @property
    def close_reasons(self) -> Mapping[str, int]:
        """Connections ended, by `CloseReason`."""
        return self._connections.close_reasons

    @property
    def failures(self) -> Mapping[str, int]:
        """System calls that failed for want of something on this machine, by call and error."""
        return self._connections.failures

    @property
    def rejected(self) -> int:
        """Connections past the bound."""
        return self._connections.rejected

    def _work(self, one: ClientConnection) -> NextStep:
        """A request has begun on a connection: serve it, and those that came behind it."""
        if not isinstance(one.worker_state, _Reading):
            timed = _Timed(one.sock)
            one.worker_state = _Reading(timed, http1.Reader(timed.receive, self._limits.message_limits))
        reading, began, replied = one.worker_state, one.request_started, one.last_reply
        try:
            while (
                after := self._exchange(one, reading, began, replied)
            ) is NextStep.KEEP_ALIVE and reading.reader.waiting:
                began = replied = time.monotonic()
            return after
        except (OSError, Closed):
            return NextStep.DISCONNECTED

    def _exchange(self, one: ClientConnection, reading: _Reading, began: float, replied: float) -> NextStep:
        """One request and its reply. `began`: its first byte came; `replied`: the one before it was done with."""
        sock, reader = one.sock, reading.reader
        arrived = self._still.came(began, replied)
        reading.timed.until = (
            began + self._limits.head_timeout
        )  # the time for a head runs from its first byte
        what = "request head"
        try:
            request = reader.request()
            if request.headers.get("expect"):
                if request.headers.words("expect") != ["100-continue"]:
                    raise HttpError(417, "request headers: Expect is not 100-continue")
                if not reader.waiting:
                    sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            reading.timed.until, what = time.monotonic() + self._limits.body_timeout, "request body"
            body = reader.body(request.headers)
        except HttpError as error:
            self._write(sock, plain(error.status, error.what, close=True))
            return NextStep.CLOSE
        except TimeoutError:
            self._write(sock, plain(408, f"{what}: not complete in time", close=True))
            return NextStep.CLOSE
        if SOCKET_RECORDER.on:
            SOCKET_RECORDER.put("request", *_ports(sock))
        try:
            reply = self._handler(request, body, arrived, _Client(one, self._connections))
        except Exception as error:  # a bug must not leave a request that has been read without an answer
            self.handler_failures += 1
            self.on_handler_failure(error)
            self._write(sock, plain(500, "failed: internal error", close=True))
            return NextStep.CLOSE
        try:
            late = reply.until is not None and time.monotonic() >= reply.until
            if late and reply.status < 400:  # a failure or a refusal is said as its front has it
                # What was to be said comes too late to count; a request that has been read is answered all the same,
                # with a failure that promises nothing.
                reply = plain(504, "failed: its time is up", close=True)._replace(done=reply.done)
            close = reply.close or not request.keep_alive or self._connections.shutting_down
            self._write(sock, reply._replace(close=close))
            return NextStep.CLOSE if close else NextStep.KEEP_ALIVE
        finally:
            reply.done()

    def _write(self, sock: socket.socket, reply: Reply) -> None:
        fields = [*reply.fields, ("Connection", "close")] if reply.close else reply.fields
        data = http1.response(reply.status, fields, reply.body)
        if SOCKET_RECORDER.on:
            SOCKET_RECORDER.put("reply", *_ports(sock), status=reply.status)
        _send_all(sock, data, time.monotonic() + self._limits.write_timeout)


def _within(sock: socket.socket, until: float, call: Callable[[], T]) -> T:
    """What a call on a socket returns, made again where it fails for want of memory here: what a client has been
    promised is not lost for that. Raises TimeoutError at `until`, or OSError."""
    while True:
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError
        sock.settimeout(left)
        try:
            return call()
        except OSError as error:
            if not is_passing(error):
                raise
        time.sleep(RETRY_PAUSE)


def _send_all(sock: socket.socket, data: bytes, until: float) -> None:
    """Write all of it. Raises OSError if the other side is gone, or has not taken it by `until`."""
    view = memoryview(data)
    while view:
        view = view[_within(sock, until, partial(sock.send, view)) :]


def _ports(sock: socket.socket) -> tuple[int, int]:
    return sock.getsockname()[1], sock.getpeername()[1]


def plain(status: int, text: str, close: bool = False, fields: tuple[tuple[str, str], ...] = ()) -> Reply:
    """A reply of one line of text."""
    kind = ("Content-Type", "text/plain; charset=utf-8")
    return Reply(status, [kind, *fields], text.encode() + b"\n", close)
