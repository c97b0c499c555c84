"""Blocking client connections, and the idle ones kept for each address.

Owners: a connection belongs to the thread that took it out of the pool until it is put back or closed. A `Lease`
is the one thing two threads touch: the thread that uses the connection, and the one that may call it off. Whoever
pops the lease's only item owns the connection; the other gets nothing. No lock is held over I/O.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections import deque
from threading import Lock

from gingervane.wire.http1 import Headers, Limits, Reader
from gingervane.wire.socket_recorder import SOCKET_RECORDER


class Connection:
    """One TCP connection with a reader on it. `until` bounds every wait, on time.monotonic's clock."""

    def __init__(self, sock: socket.socket, limits: Limits) -> None:
        self.sock, self.until = sock, 0.0
        self.near, self.far = sock.getsockname()[1], sock.getpeername()[1]
        self.reader = Reader(self._receive, limits)

    def _receive(self, most: int) -> bytes:
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError("time is up")
        self.sock.settimeout(left)
        return self.sock.recv(most)

    def write(self, data: bytes) -> None:
        """Write all of `data`. An OSError carries, as `wrote`, how many bytes had gone out."""
        view, at = memoryview(data), 0
        SOCKET_RECORDER.put("call", self.near, self.far, data)
        try:
            while at < len(data):
                left = self.until - time.monotonic()
                if left <= 0:
                    raise TimeoutError("time is up")
                self.sock.settimeout(left)
                at += self.sock.send(view[at:])
        except OSError as error:
            raise WriteError(at, error) from error

    def stale(self) -> bool:
        """Whether an idle connection has been closed, or has bytes on it that nobody asked for."""
        if self.reader.waiting:
            return True
        try:
            self.sock.setblocking(False)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def shut(self) -> None:
        """Wake whoever waits on it; safe from any thread, does not block."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.sock.close()


class WriteError(OSError):
    """Writing failed after `wrote` bytes."""

    def __init__(self, wrote: int, cause: OSError) -> None:
        super().__init__(str(cause))
        self.wrote, self.cause = wrote, cause


class Lease:
    """Hands a connection to exactly one of: its user when done, or whoever calls the exchange off."""

    def __init__(self) -> None:
        self._held = deque[Connection]()
        self._off = False

    @property
    def off(self) -> bool:
        return self._off

    def begin(self, connection: Connection) -> bool:
        """The user starts on a connection; False if the exchange has been called off already."""
        self._held.append(connection)
        return not self._off

    def end(self) -> bool:
        """The user is done; False if the connection was shut meanwhile."""
        try:
            self._held.pop()
        except IndexError:
            return False
        return True

    def call_off(self) -> None:
        """Shut the connection if there is one, and let none begin."""
        self._off = True
        try:
            connection = self._held.pop()
        except IndexError:
            return
        connection.shut()


class Pool:
    """Idle connections by address, newest first, at most `most_idle` for each."""

    def __init__(self, limits: Limits, most_idle: int, most_age: float) -> None:
        self._limits, self._most_idle, self._most_age = limits, most_idle, most_age
        self._lock = Lock()
        self._idle: dict[tuple[str, int], deque[tuple[float, Connection]]] = {}

    def take(self, address: tuple[str, int]) -> Connection | None:
        """An idle connection that still stands, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                since, connection = idle.pop()
            if time.monotonic() - since < self._most_age and not connection.stale():
                return connection
            connection.close()

    def connect(self, address: tuple[str, int], timeout: float) -> Connection:
        """A new connection. Raises OSError."""
        sock = socket.create_connection(address, timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, self._limits)

    def put(self, address: tuple[str, int], connection: Connection) -> None:
        """Keep a connection whose last exchange is over and whole."""
        dropped: Connection | None = None
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append((time.monotonic(), connection))
            if len(idle) > self._most_idle:
                _, dropped = idle.popleft()
        if dropped:
            dropped.close()

    def drop(self, address: tuple[str, int]) -> int:
        """Close all idle connections to an address; how many there were."""
        with self._lock:
            idle = self._idle.pop(address, deque())
        for _, connection in idle:
            connection.close()
        return len(idle)

    def close(self) -> None:
        with self._lock:
            addresses = list(self._idle)
        for address in addresses:
            self.drop(address)


def exchange(pool: Pool, address: tuple[str, int], data: bytes, until: float) -> tuple[int, Headers, bytes]:
    """One request's bytes to its reply, over an idle connection or a new one. Raises OSError, Closed, HttpError."""
    connection = pool.take(address) or pool.connect(address, max(until - time.monotonic(), 0.001))
    try:
        connection.until = until
        connection.write(data)
        reply = connection.reader.response()
        body = connection.reader.body(reply.headers, is_response=True)
    except BaseException:
        connection.close()
        raise
    if reply.keep_alive:
        pool.put(address, connection)
    else:
        connection.close()
    return reply.status, reply.headers, body
