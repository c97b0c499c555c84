"""A bounded HTTP/1.1 server on threads with small stacks.

Owners: one thread accepts; each connection has a thread of its own that reads a request, waits for its reply and
writes it, so pipelined requests are answered in order. One more thread watches, for connections whose query is
out, whether the client is still there; it reads nothing and only says that a client has gone. A client that shuts
its sending side counts as gone, as in Go's server.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from gingervane.coordinator import standstill
from gingervane.coordinator.standstill import Standstill
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, HttpError, Limits, Request
from gingervane.wire.tap import TAP


_MOST_ENDING = 16  # connections over the bound, while those that make room for them are on their way out


class ServerLimits(NamedTuple):
    """Bounds on clients; seconds. `idle`: between messages; `head`, `body`: to read one; `write`: a reply.

    `silent`: to send a first byte, where that is not `idle`. With more than `crowd` connections open, those quiet for
    `quiet` may go.
    """

    connections: int = 2000
    idle: float = 60.0
    head: float = 5.0
    body: float = 10.0
    write: float = 10.0
    message: Limits = Limits()
    stack: int = 256 * 1024
    silent: float | None = None
    crowd: int = 1 << 30
    quiet: float = 2.0


class Reply(NamedTuple):
    status: int
    fields: list[tuple[str, str]]
    body: bytes
    close: bool = False
    until: float | None = None  # the client's time: after it nothing may be written
    done: Callable[[], None] = lambda: None  # called once the reply is written, or cannot be


class Exchange(Protocol):
    """What a handler may use while it works. `peer`: the client's port."""

    @property
    def peer(self) -> int: ...

    def watch(self, gone: Callable[[], None]) -> None:
        """Have `gone` called, once, if the client leaves before the reply."""

    def send_raw(self, data: bytes) -> None:
        """Write bytes as they are, in place of a reply (whose `until` must then be past); for stand-ins."""


class Handler(Protocol):
    def __call__(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply: ...


class _Gone:
    """Watches sockets for the other side's leaving."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._calls: dict[int, tuple[socket.socket, Callable[[], None]]] = {}

    def add(self, sock: socket.socket, gone: Callable[[], None]) -> None:
        with self._lock:
            self._calls[sock.fileno()] = sock, gone
        self._poll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLONESHOT)

    def remove(self, sock: socket.socket) -> None:
        with self._lock:
            self._calls.pop(sock.fileno(), None)
        with contextlib.suppress(OSError):
            self._poll.unregister(sock.fileno())

    def run(self, stop: threading.Event) -> None:
        while not stop.is_set():
            for number, _ in self._poll.poll(0.5):
                with self._lock:
                    sock, gone = self._calls.get(number, (None, None))
                # The number may be a newer connection's by now: ask that one itself.
                if sock is not None and gone is not None and _left(sock):
                    with self._lock:
                        mine = self._calls.get(number, (None,))[0] is sock and self._calls.pop(number)
                    if mine:
                        gone()


def _left(sock: socket.socket) -> bool:
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP | select.POLLHUP)
    except (OSError, ValueError):
        return False
    return bool(poll.poll(0))


class _Client:
    """One connection, for the handler's use."""

    def __init__(self, sock: socket.socket, watch: _Gone) -> None:
        self.sock, self._watch, self._watched = sock, watch, False

    def watch(self, gone: Callable[[], None]) -> None:
        self._watched = True
        self._watch.add(self.sock, gone)

    @property
    def peer(self) -> int:
        return _ports(self.sock)[1]

    def send_raw(self, data: bytes) -> None:
        self.sock.sendall(data)

    def unwatch(self) -> None:
        if self._watched:
            self._watched = False
            self._watch.remove(self.sock)


class _State:
    """Of one connection: a request is being worked on; no byte has come; it was told to end for want of room;
    since when nothing has been asked."""

    __slots__ = ("busy", "silent", "ending", "since")

    def __init__(self) -> None:
        self.busy, self.silent, self.ending, self.since = False, True, False, time.monotonic()


class HttpServer:
    """Serves `handler` on a listening socket until `stop`."""

    def __init__(self, host: str, port: int, handler: Handler, limits: ServerLimits) -> None:
        self._handler, self._limits = handler, limits
        self._listener = socket.create_server((host, port), backlog=512)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._stop, self._gone = threading.Event(), _Gone()
        self._winding_down = False  # every reply now ends its connection
        self._still = Standstill(time.monotonic())
        self._lock = threading.Lock()
        self._open: dict[socket.socket, _State] = {}  # oldest first
        self._ending = 0  # silent connections that were told to end and have not yet
        self._threads: set[threading.Thread] = set()
        self.refused = 0  # connections past the bound

    def start(self) -> None:
        threading.stack_size(self._limits.stack)
        works = (("accept", self._accept), ("watch", lambda: self._gone.run(self._stop)), ("ticker", self._tick))
        for name, work in works:
            threading.Thread(target=work, name=name, daemon=True).start()

    def _tick(self) -> None:
        while not self._stop.wait(standstill.EVERY):
            self._still.tick(time.monotonic())

    @property
    def standstills(self) -> int:
        """Times that this process stood still."""
        return self._still.count

    @property
    def connections(self) -> int:
        return len(self._open)

    def wind_down(self) -> None:
        """Go on accepting and serving, but end each connection after its reply, and idle ones now."""
        self._winding_down = True
        self._end_idle()

    def stop_accepting(self) -> None:
        """Take no new connection; what is read on those that are open is served."""
        self.wind_down()
        self._stop.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _end_idle(self) -> None:
        """Read no more where no request is open: one that has come already is still served, then comes the end."""
        with self._lock:
            idle = [sock for sock, state in self._open.items() if not state.busy]
        for sock in idle:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)

    def stop(self, grace: float) -> None:
        """Accept no more, shut idle connections, and give those at work `grace` seconds to write their replies."""
        self.stop_accepting()
        with self._lock:
            threads = list(self._threads)
        until = time.monotonic() + grace
        for thread in threads:
            thread.join(max(until - time.monotonic(), 0.0))

    def _accept(self) -> None:
        while not self._stop.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._stop.is_set():
                    return
                time.sleep(0.05)  # out of descriptors: those in use must end first
                continue
            with self._lock:
                full = len(self._open) - self._ending >= self._limits.connections and not self._make_room()
                if not full:
                    self._open[sock] = _State()
                if len(self._open) - self._ending > self._limits.crowd:
                    self._thin_out()
            if full:
                self._turn_away(sock)
                continue
            thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
            with self._lock:
                self._threads.add(thread)
            try:
                thread.start()
            except RuntimeError:  # no more threads
                self._forget(sock, thread)
                self._turn_away(sock)

    def _make_room(self) -> bool:
        """End the oldest connection that has said nothing. Guards against hundreds of those keeping all out."""
        if self._limits.silent is None:  # here a connection may be quiet before it speaks
            return False
        silent = ((sock, state) for sock, state in self._open.items() if state.silent and not state.ending)
        sock, state = next(silent, (None, None))
        if sock is None or state is None or self._ending >= _MOST_ENDING:
            return False
        self._tell_to_end(sock, state)
        return True

    def _thin_out(self) -> None:
        """End the two quietest connections that may go: more than come, so that a crowd shrinks."""
        before = time.monotonic() - self._limits.quiet
        quiet = [
            (sock, state) for sock, state in self._open.items()
            if not (state.busy or state.ending or state.silent) and state.since < before
        ]
        for sock, state in sorted(quiet, key=lambda pair: pair[1].since)[:2]:
            self._tell_to_end(sock, state)

    def _tell_to_end(self, sock: socket.socket, state: _State) -> None:
        """Under the lock. Read no more: a request that has come already is still served."""
        state.ending = True
        self._ending += 1
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)

    def _turn_away(self, sock: socket.socket) -> None:
        self.refused += 1
        fields = [("Retry-After", "1"), ("Connection", "close"), ("Content-Type", "text/plain")]
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            sock.send(http1.response(503, fields, b"too many connections\n"))
        sock.close()

    def _forget(self, sock: socket.socket, thread: threading.Thread) -> None:
        with self._lock:
            state = self._open.pop(sock, None)
            self._ending -= state is not None and state.ending
            self._threads.discard(thread)

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._talk(sock)
        except (OSError, Closed):
            pass
        finally:
            self._forget(sock, threading.current_thread())
            sock.close()

    def _talk(self, sock: socket.socket) -> None:
        until, replied, state = 0.0, time.monotonic(), self._open[sock]

        def receive(most: int) -> bytes:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sock.settimeout(left)
            return sock.recv(most)

        reader = http1.Reader(receive, self._limits.message)
        while True:
            if not reader.waiting:  # the time for a head runs from its first byte
                never_spoke = state.silent and self._limits.silent is not None
                sock.settimeout(self._limits.silent if never_spoke else self._limits.idle)
                try:
                    if not sock.recv(1, socket.MSG_PEEK):
                        return
                except TimeoutError:
                    return
            state.silent = False
            read = time.monotonic()
            arrived = self._still.came(read, replied)
            until = read + self._limits.head
            what = "request head"
            try:
                request = reader.request()
                if request.headers.get("expect"):
                    if request.headers.words("expect") != ["100-continue"]:
                        raise HttpError(417, "request headers: Expect is not 100-continue")
                    if not reader.waiting:
                        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
                until, what = time.monotonic() + self._limits.body, "request body"
                body = reader.body(request.headers)
            except HttpError as error:
                self._write(sock, plain(error.status, error.what, close=True))
                self._linger(sock)
                return
            except TimeoutError:
                self._write(sock, plain(408, f"{what}: not complete in time", close=True))
                return
            if TAP.on:
                TAP.put("request", *_ports(sock))
            state.busy = True
            client = _Client(sock, self._gone)
            try:
                reply = self._handler(request, body, arrived, client)
            finally:
                client.unwatch()
            try:
                if reply.until is not None and time.monotonic() >= reply.until:
                    return  # the client's time is up: the close tells it; an answer now would be a second one
                close = reply.close or not request.keep_alive or self._winding_down
                self._write(sock, reply._replace(close=close))
            finally:
                reply.done()
                state.since = replied = time.monotonic()
                state.busy = False
            if close:
                return

    def _write(self, sock: socket.socket, reply: Reply) -> None:
        fields = [*reply.fields, ("Connection", "close")] if reply.close else reply.fields
        data = http1.response(reply.status, fields, reply.body)
        sock.settimeout(self._limits.write)
        if TAP.on:
            TAP.put("reply", *_ports(sock), status=reply.status)
        sock.sendall(data)

    def _linger(self, sock: socket.socket) -> None:
        """Read a little of what still comes, so that the client gets to see the error and not a reset."""
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
            until = time.monotonic() + 0.5
            while (left := until - time.monotonic()) > 0:
                sock.settimeout(left)
                if not sock.recv(65536):
                    return


def _ports(sock: socket.socket) -> tuple[int, int]:
    return sock.getsockname()[1], sock.getpeername()[1]


def plain(status: int, text: str, close: bool = False, fields: tuple[tuple[str, str], ...] = ()) -> Reply:
    """A reply of one line of text."""
    kind = ("Content-Type", "text/plain; charset=utf-8")
    return Reply(status, [kind, *fields], text.encode() + b"\n", close)
