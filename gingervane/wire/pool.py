"""Blocking client connections and a pool of idle ones for each address.

Ownership: a connection belongs to the thread that acquired it from the pool until it is released or closed. A
`Lease` is the only object that two threads share: the thread that uses the connection and the one that may
cancel the exchange. The thread that pops the lease's only item owns the connection. No lock is held during
I/O.
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
    """A TCP connection with an HTTP reader. `deadline` (monotonic clock) bounds every read and write."""

    def __init__(self, sock: socket.socket, limits: Limits) -> None:
        self.sock = sock
        self.deadline = 0.0
        self.local_port = sock.getsockname()[1]
        self.remote_port = sock.getpeername()[1]
        self.reader = Reader(self._receive, limits)

    def _receive(self, max_bytes: int) -> bytes:
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("time is up")
        self.sock.settimeout(remaining)
        return self.sock.recv(max_bytes)

    def write(self, data: bytes) -> None:
        """Write all of `data`. Raises WriteError, which holds the number of bytes sent."""
        view = memoryview(data)
        sent = 0
        SOCKET_RECORDER.record("call", self.local_port, self.remote_port, data)
        try:
            while sent < len(data):
                remaining = self.deadline - time.monotonic()
                if remaining <= 0:
                    raise TimeoutError("time is up")
                self.sock.settimeout(remaining)
                sent += self.sock.send(view[sent:])
        except OSError as error:
            raise WriteError(sent, error) from error

    def is_stale(self) -> bool:
        """Return whether the peer has closed this idle connection or sent unsolicited bytes on it."""
        if self.reader.has_buffered:
            return True
        try:
            self.sock.setblocking(False)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def shutdown(self) -> None:
        """Shut the socket down, which wakes a thread that waits on it. Thread-safe and non-blocking."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class WriteError(OSError):
    """Writing failed after `bytes_written` bytes."""

    def __init__(self, bytes_written: int, cause: OSError) -> None:
        super().__init__(str(cause))
        self.bytes_written = bytes_written
        self.cause = cause


class Lease:
    """Gives a connection to exactly one of two threads: its user on release, or the thread that cancels."""

    def __init__(self) -> None:
        self._connection = deque[Connection]()
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the exchange has been cancelled."""
        return self._cancelled

    def acquire(self, connection: Connection) -> bool:
        """Register the connection in use. Return False if the exchange has already been cancelled."""
        self._connection.append(connection)
        return not self._cancelled

    def release(self) -> bool:
        """End the use of the connection. Return False if a cancellation has shut it down."""
        try:
            self._connection.pop()
        except IndexError:
            return False
        return True

    def cancel(self) -> None:
        """Shut down the connection in use, if there is one, and make later calls of `acquire` fail."""
        self._cancelled = True
        try:
            connection = self._connection.pop()
        except IndexError:
            return
        connection.shutdown()


class Pool:
    """Idle connections by address, newest first: at most `max_idle` each, up to `max_age` seconds old."""

    def __init__(self, limits: Limits, max_idle: int, max_age: float) -> None:
        self._limits = limits
        self._max_idle = max_idle
        self._max_age = max_age
        self._lock = Lock()
        self._idle: dict[tuple[str, int], deque[tuple[float, Connection]]] = {}

    def acquire_idle(self, address: tuple[str, int]) -> Connection | None:
        """Return an idle connection that is still open, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                idle_since, connection = idle.pop()
            if time.monotonic() - idle_since < self._max_age and not connection.is_stale():
                return connection
            connection.close()

    def connect(self, address: tuple[str, int], timeout: float) -> Connection:
        """Open a new connection. Raises OSError."""
        sock = socket.create_connection(address, timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, self._limits)

    def release(self, address: tuple[str, int], connection: Connection) -> None:
        """Return a connection to the pool after a complete exchange."""
        surplus_connection: Connection | None = None
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append((time.monotonic(), connection))
            if len(idle) > self._max_idle:
                _, surplus_connection = idle.popleft()
        if surplus_connection:
            surplus_connection.close()

    def close_idle(self, address: tuple[str, int]) -> int:
        """Close all idle connections to an address and return their number."""
        with self._lock:
            idle = self._idle.pop(address, deque())
        for _, connection in idle:
            connection.close()
        return len(idle)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            addresses = list(self._idle)
        for address in addresses:
            self.close_idle(address)


def exchange(
    pool: Pool, address: tuple[str, int], data: bytes, deadline: float
) -> tuple[int, Headers, bytes]:
    """Send one request over an idle or new connection; return the status, headers and body of the response.

    Raises OSError, ConnectionClosedError, HttpError.
    """
    connection = pool.acquire_idle(address) or pool.connect(address, max(deadline - time.monotonic(), 0.001))
    try:
        connection.deadline = deadline
        connection.write(data)
        reply = connection.reader.response()
        body = connection.reader.body(reply.headers, is_response=True)
    except BaseException:
        connection.close()
        raise
    if reply.keep_alive:
        pool.release(address, connection)
    else:
        connection.close()
    return reply.status, reply.headers, body
