"""Threads that serve active client connections, started on demand and reused until idle for some time."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

from gingervane.fronts.client_connection import ClientConnection

_IDLE_THREAD_TIMEOUT = 5.0  # seconds that a thread waits for its next connection


class ConnectionWorkers:
    """Calls `serve` with each submitted connection, on a thread that serves no other one meanwhile."""

    def __init__(self, serve: Callable[[ClientConnection], None], lock: threading.Lock) -> None:
        self._serve = serve
        self._lock = lock
        self._queue: SimpleQueue[ClientConnection] = SimpleQueue()
        self._idle_threads = 0  # waiting threads, minus the connections in the queue

    def submit(self, connection: ClientConnection) -> bool:
        """Serve a connection; return False if no thread can be started. The caller must not hold the lock."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            self._idle_threads -= has_idle_thread
        if has_idle_thread:
            self._queue.put(connection)
            return True
        try:
            threading.Thread(target=self._run, args=(connection,), name="client", daemon=True).start()
        except RuntimeError:  # the system's limit on threads is reached
            return False
        return True

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
                return self._queue.get(timeout=_IDLE_THREAD_TIMEOUT)
            with self._lock:
                if self._idle_threads > 0:
                    self._idle_threads -= 1
                    return None
            # `submit` has reserved this thread and is about to queue a connection.
