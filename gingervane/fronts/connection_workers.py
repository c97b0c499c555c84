"""Threads that serve client connections, started on demand and reused until idle for some time."""

from __future__ import annotations

import contextlib
import threading
from collections import deque
from collections.abc import Callable
from queue import Empty, SimpleQueue

from gingervane.fronts.client_connection import ClientConnection

_IDLE_THREAD_TIMEOUT = 5.0  # seconds that a thread waits for its next connection


class ConnectionWorkers:
    """Calls `serve` with each submitted connection, on a thread that serves no other one meanwhile.

    With all of `max_threads` busy, connections wait. Those with pipelined requests wait behind all others, so that
    one client with many requests does not delay clients with one.
    """

    def __init__(
        self,
        serve: Callable[[ClientConnection], None],
        lock: threading.Lock,
        max_threads: int | None = None,
    ) -> None:
        """`max_threads`: None if `serve` may wait, so that each connection needs a thread."""
        self._serve = serve
        self._lock = lock
        self._max_threads = max_threads
        self._tokens: SimpleQueue[None] = SimpleQueue()  # one for each queued connection
        self._queue = deque[ClientConnection]()
        self._pipelined = deque[ClientConnection]()
        self._threads = 0
        self._idle_threads = 0  # waiting threads, minus the connections in the queues

    def submit(self, connection: ClientConnection) -> bool:
        """Serve a connection; return False if no thread can be started. The caller must not hold the lock."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            at_limit = self._max_threads is not None and self._threads >= self._max_threads
            starts_thread = not has_idle_thread and not at_limit
            self._idle_threads -= not starts_thread
            self._threads += starts_thread
        if not starts_thread:
            self._put(connection)
            return True
        try:
            threading.Thread(target=self._run, args=(connection,), name="client", daemon=True).start()
        except RuntimeError:  # the system's limit on threads is reached
            with self._lock:
                self._threads -= 1
            return False
        return True

    def _put(self, connection: ClientConnection) -> None:
        queue = self._pipelined if connection.is_pipelined else self._queue
        queue.append(connection)
        self._tokens.put(None)

    def _take(self) -> ClientConnection:
        """Return the next connection; there is one for each token that has been taken."""
        while True:
            for queue in (self._queue, self._pipelined):
                with contextlib.suppress(IndexError):
                    return queue.popleft()

    def _run(self, connection: ClientConnection | None) -> None:
        while connection:
            self._serve(connection)
            connection = self._next_connection()

    def _next_connection(self) -> ClientConnection | None:
        """Wait for another connection; None once the thread has been idle for `_IDLE_THREAD_TIMEOUT`."""
        with self._lock:
            self._idle_threads += 1
        while True:
            with contextlib.suppress(Empty):
                self._tokens.get(timeout=_IDLE_THREAD_TIMEOUT)
                return self._take()
            with self._lock:
                if self._idle_threads > 0:
                    self._idle_threads -= 1
                    self._threads -= 1
                    return None
            # `submit` has reserved this thread and is about to queue a connection.
