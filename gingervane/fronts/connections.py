"""The life cycle of client connections: idle between requests, active, closing. Independent of HTTP.

Only the manager changes the phase of a connection, and only under its lock. So two racing events (a request
arrives while its connection is closed, a client disconnects while its reply is written, a reply ends while
the server shuts down) are handled one after the other, and the second sees the phase that the first has set.
The lock is held only during calls that do not block, on sockets that are not active.

- *Idle*: no byte of a request has been read. Only in this phase is a connection closed because it is unused
  or because capacity is short, and only while it has no unread data.
- *Active*: a request has begun; one worker thread owns the socket. No other thread reads, writes or shuts it
  down.
- *Closing*: the server's sending side is shut down. Input is discarded, never read as a request, within
  bounds on time, bytes and number of such connections. This keeps a reset from destroying the last reply, as
  happens when a socket is closed with unread data.

One thread (`_run`) polls all connections; worker threads are started on demand.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from math import inf

from gingervane.fronts.backlog_age import BacklogAge
from gingervane.fronts.client_connection import (
    ClientConnection,
    CloseReason,
    ConnectionLimits,
    NextStep,
    Phase,
    expired,
    has_unread_data,
    ignore_disconnect,
    is_disconnected,
    oldest,
)
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connection_workers import ConnectionWorkers
from gingervane.wire.local_failures import is_transient, start_thread

CLOSE_TIMEOUT = 0.5  # seconds that a connection may be closing
MAX_DISCARDED_BYTES = 1 << 20  # bytes read from a closing connection before it is closed
MAX_CLOSING = 16  # closing connections, which do not count towards `max_connections`
_RETRY_PAUSE = 0.05  # seconds before a system call is retried that failed for lack of resources
_THREAD_WAIT_TIMEOUT = 0.3  # seconds that a request waits for a thread before it is rejected
_MIN_POLL_TIMEOUT = 0.001  # seconds
_MAX_POLL_TIMEOUT = 0.5  # seconds; bounds the delay until a timeout that another thread has set is noticed
_RECEIVE_BYTES = 65536
_EVICTIONS_PER_ACCEPT = 2  # more than one, so that the number of connections shrinks
_ACCEPTS_PER_TURN = 16  # of the polling thread, before it looks at the open connections again
_EVICTION_CANDIDATES = 16  # silent connections that are examined to make room for a new one


class ConnectionManager:
    """All client connections of a listener.

    `serve` is called on a worker thread with a connection on which a request has begun, and returns what the
    manager does with it next. `rejection` is the encoded reply to a connection that is over the limit.
    """

    def __init__(
        self,
        listener: socket.socket,
        limits: ConnectionLimits,
        serve: Callable[[ClientConnection], NextStep],
        rejection: bytes,
    ) -> None:
        self._listener = listener
        self._limits = limits
        self._serve_requests = serve
        self._rejection = rejection
        listener.setblocking(False)
        self._lock = threading.Lock()
        self._all_closed = threading.Condition(self._lock)
        self._listener_descriptor = listener.fileno()
        self._poller = ConnectionPoller(self._listener_descriptor)
        self._workers = ConnectionWorkers(self._serve, self._lock)
        self._open: dict[int, ClientConnection] = {}
        # Each of these groups is ordered from its oldest connection on.
        self._awaiting_first_byte = dict[ClientConnection, None]()
        self._idle = dict[ClientConnection, None]()
        self._closing = dict[ClientConnection, None]()
        self._accept_paused_until = 0.0
        self._backlog = BacklogAge(limits.backlog)
        self._accepting = True
        self._shutting_down = False
        self._stopped = threading.Event()
        self.rejected = 0  # connections over the limit, or for which no thread was available
        self.close_reasons: Counter[str] = Counter()  # by `CloseReason`; changed under the lock

    @property
    def failures(self) -> Counter[str]:
        """System calls that failed for lack of resources on this host; changed under the lock."""
        return self._poller.failures

    @property
    def shutting_down(self) -> bool:
        """Whether shutdown has begun, so that every reply closes its connection."""
        return self._shutting_down

    def __len__(self) -> int:
        """Return the number of connections that are not closing."""
        return len(self._open) - len(self._closing)

    def start(self) -> None:
        """Start to accept connections."""
        self._poller.start()
        start_thread(self._run, "connections")

    def begin_shutdown(self) -> None:
        """Close idle connections, and close each other one after its next reply; new ones are still accepted.

        A request that has already arrived on an idle connection is served; one that arrives later is
        discarded.
        """
        with self._lock:
            self._shutting_down = True
            for connection in [*self._awaiting_first_byte, *self._idle]:
                self._close_unless_requested(connection, CloseReason.SHUTDOWN)

    def stop_accepting(self) -> None:
        """Begin shutdown, and close the listener after accepting the connections in its backlog.

        Connections that arrive while it is emptied may be reset: without a bound, clients that come again at once
        would postpone the shutdown for as long as they do.
        """
        with self._lock:
            if not self._accepting:
                return
            # Closing the listener resets the connections in its backlog, and requests on them would be lost.
            self._accept_pending(self._limits.backlog)
            self._accepting = False
            self._poller.remove_listener()
            self._listener.close()
        self.begin_shutdown()

    def stop(self, grace: float) -> None:
        """Stop accepting, and wait up to `grace` seconds for active and closing connections to close."""
        self.stop_accepting()
        with self._lock:
            self._all_closed.wait_for(lambda: not self._open, grace)
        self._stopped.set()

    def watch(self, connection: ClientConnection, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once if the client disconnects while the connection is active."""
        with self._lock:
            connection.on_disconnect = on_disconnect
            self._poller.arm(connection)

    # ---- the polling thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            for descriptor, _ in self._poller.wait(self._poll_timeout):
                if descriptor == self._listener_descriptor and descriptor not in self._open:
                    with self._lock:
                        self._accept_pending(_ACCEPTS_PER_TURN)
                else:
                    self._handle_event(descriptor)
            self._handle_timeouts()
        with self._lock:
            for connection in [*self._awaiting_first_byte, *self._idle, *self._closing]:
                self._close(connection)
            if self._accepting:
                self._accepting = False
                self._listener.close()

    def _poll_timeout(self) -> float:
        """Return the seconds until the next timeout is due."""
        limits = self._limits
        with self._lock:
            due = [
                connection.idle_since + limits.effective_first_byte_timeout
                for connection in oldest(self._awaiting_first_byte)
            ]
            due += [connection.idle_since + limits.idle_timeout for connection in oldest(self._idle)]
            due += [connection.close_deadline for connection in oldest(self._closing)]
            due += [self._accept_paused_until] if self._accept_paused_until else []
            due += [time.monotonic() + _RETRY_PAUSE] if self._poller.has_unarmed else []
        seconds = min(due, default=inf) - time.monotonic()
        return min(max(seconds, _MIN_POLL_TIMEOUT), _MAX_POLL_TIMEOUT)

    def _handle_event(self, descriptor: int) -> None:
        """Handle an event of the connection with this file descriptor.

        The descriptor may belong to a newer connection by now, so the state of the socket itself is checked.
        """
        on_disconnect = ignore_disconnect
        requested = None
        with self._lock:
            connection = self._open.get(descriptor)
            if connection is None:
                return
            if connection.phase is Phase.IDLE:
                requested = connection if self._begin_request(connection) else None
            elif connection.phase is Phase.CLOSING:
                self._discard_input(connection)
            elif not is_disconnected(connection.sock):
                self._poller.arm(connection)
            else:
                on_disconnect = connection.on_disconnect
                connection.on_disconnect = ignore_disconnect
        on_disconnect()
        if requested and not self._workers.submit(requested):
            with self._lock:
                self._retry_or_reject(requested)

    def _handle_timeouts(self) -> None:
        """Close connections whose timeout has passed, and retry to request events where that had failed."""
        limits = self._limits
        now = time.monotonic()
        with self._lock:
            for connection in [closing for closing in self._closing if closing.close_deadline <= now]:
                self._close(connection)
            for connection in expired(self._awaiting_first_byte, limits.effective_first_byte_timeout, now):
                self._close_unless_requested(connection, CloseReason.FIRST_BYTE_TIMEOUT)
            for connection in expired(self._idle, limits.idle_timeout, now):
                self._close_unless_requested(connection, CloseReason.IDLE_TIMEOUT)
            for connection in self._poller.take_unarmed():
                if self._open.get(connection.descriptor) is connection:
                    self._poller.arm(connection)
            if self._accepting and self._accept_paused_until and self._accept_paused_until <= now:
                self._arm_listener()

    # ---- accepting; under the lock

    def _accept_pending(self, most: int) -> None:
        """Accept up to `most` connections in the backlog, and request an event for the next one."""
        self._backlog.begin_turn(self._poller.events_since)
        for _ in range(most if self._accepting else 0):
            if len(self._closing) >= MAX_CLOSING:  # frees a descriptor for the next connection
                self._close_oldest()
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                self._backlog.mark_empty()
                self._arm_listener()
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:  # for instance, no descriptors until other connections close
                self._poller.count_failure("accept", error)
                self._accept_paused_until = time.monotonic() + _RETRY_PAUSE
                return
            self._add(sock)
        if self._accepting:
            self._arm_listener()

    def _arm_listener(self) -> None:
        """Request an event for the next incoming connection; retried after a pause if that fails."""
        if self._poller.arm_listener():
            self._accept_paused_until = 0.0
        else:
            self._accept_paused_until = time.monotonic() + _RETRY_PAUSE

    def _add(self, sock: socket.socket) -> None:
        """Add an accepted connection, or reject it if there are too many."""
        now = time.monotonic()
        connection = ClientConnection(sock, now, self._backlog.record_accept(now))
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        is_full = len(self) >= self._limits.max_connections and not self._evict_silent()
        self._open[connection.descriptor] = connection
        if is_full:
            self._reject(connection, CloseReason.OVER_LIMIT)
            return
        self._awaiting_first_byte[connection] = None
        self._poller.arm(connection)
        if len(self) > self._limits.eviction_threshold:
            self._evict_long_idle()

    def _evict_long_idle(self) -> None:
        """Close the connections that have been idle for the longest time, if that is at least `min_idle`."""
        idle_before = time.monotonic() - self._limits.min_idle
        candidates = oldest(self._idle, _EVICTIONS_PER_ACCEPT)
        for connection in [candidate for candidate in candidates if candidate.idle_since < idle_before]:
            self._close_unless_requested(connection, CloseReason.OVER_EVICTION_THRESHOLD)

    def _evict_silent(self) -> bool:
        """Close one of the oldest connections that has sent nothing, as hundreds of those would use up the limit."""
        if self._limits.first_byte_timeout is None:  # clients may connect before they have a request
            return False
        silent = oldest(self._awaiting_first_byte, _EVICTION_CANDIDATES)
        return any(self._close_unless_requested(connection, CloseReason.EVICTED) for connection in silent)

    def _reject(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Reject a connection's request without reading it, and close the connection."""
        self.rejected += 1
        connection.send_rejection(self._rejection, partial(self._poller.count_failure, "send"))
        self._begin_close(connection, reason)

    # ---- phases; under the lock

    def _begin_request(self, connection: ClientConnection) -> bool:
        """Make an idle connection active if it has unread data; return whether it does."""
        has_data = has_unread_data(connection.sock)
        if has_data is None:
            self._poller.arm(connection)
        elif not has_data:
            self._close_disconnected(connection)
        else:
            earliest = max(self._poller.events_since, connection.idle_since)
            if connection in self._awaiting_first_byte and self._poller.events_since <= connection.idle_since:
                earliest = connection.connected_since  # its data may have waited in the backlog with it
            self._awaiting_first_byte.pop(connection, None)
            self._idle.pop(connection, None)
            connection.phase = Phase.ACTIVE
            connection.request_started = connection.waiting_for_thread_since or earliest
        return bool(has_data)

    def _close_unless_requested(self, connection: ClientConnection, reason: CloseReason) -> bool:
        """Close an idle connection unless a request has arrived on it; return whether it is closed."""
        has_data = has_unread_data(connection.sock)
        if has_data is None:
            self._begin_close(connection, reason)
        elif not has_data:
            self._close_disconnected(connection)
        return not has_data

    def _close_disconnected(self, connection: ClientConnection) -> None:
        self.close_reasons[CloseReason.CLIENT_DISCONNECTED.value] += 1
        self._close(connection)

    def _begin_close(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Shut down the sending side, and discard input until the client closes or `CLOSE_TIMEOUT` passes."""
        self.close_reasons[reason.value] += 1
        self._awaiting_first_byte.pop(connection, None)
        self._idle.pop(connection, None)
        connection.phase = Phase.CLOSING
        connection.close_deadline = time.monotonic() + CLOSE_TIMEOUT
        self._closing[connection] = None
        try:
            connection.sock.setblocking(False)
            connection.sock.shutdown(socket.SHUT_WR)
            self._poller.arm(connection)
        except OSError:
            self._close(connection)
        if self._stopped.is_set() and connection in self._closing:  # the polling thread has ended
            self._close(connection)
        if len(self._closing) > MAX_CLOSING:
            self._close_oldest()

    def _close_oldest(self) -> None:
        """Close at once the connection that has been closing for the longest time."""
        for connection in oldest(self._closing):
            self._close(connection)

    def _discard_input(self, connection: ClientConnection) -> None:
        """Discard input of a closing connection; close it at end of stream or past the bound on bytes."""
        try:
            data = connection.sock.recv(_RECEIVE_BYTES)
        except OSError as error:
            if is_transient(error):
                self._poller.arm(connection)
                return
            data = b""
        connection.discarded_bytes += len(data)
        if data and connection.discarded_bytes <= MAX_DISCARDED_BYTES:
            self._poller.arm(connection)
        else:
            self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        """Close the socket and remove the connection."""
        for group in (self._awaiting_first_byte, self._idle, self._closing):
            group.pop(connection, None)
        del self._open[connection.descriptor]
        if connection.phase is Phase.CLOSING:
            with contextlib.suppress(OSError):  # closing a socket with unread data would reset the connection
                connection.sock.recv(_RECEIVE_BYTES)
        connection.sock.close()  # also removes it from the poller
        if not self._open:
            self._all_closed.notify_all()

    def _retry_or_reject(self, connection: ClientConnection) -> None:
        """Retry a request for which no thread could be started; reject it after `_THREAD_WAIT_TIMEOUT`."""
        self._poller.failures["thread"] += 1
        connection.waiting_for_thread_since = (
            connection.waiting_for_thread_since or connection.request_started
        )
        if time.monotonic() - connection.waiting_for_thread_since >= _THREAD_WAIT_TIMEOUT:
            self._reject(connection, CloseReason.NO_THREAD)
            return
        connection.phase = Phase.IDLE
        self._idle[connection] = None
        self._poller.arm_later(connection)

    # ---- worker threads

    def _serve(self, connection: ClientConnection) -> None:
        """Serve the requests of an active connection, on a worker thread."""
        next_step = NextStep.DISCONNECTED
        try:
            next_step = self._serve_requests(connection)
        finally:
            self._finish_request(connection, next_step)

    def _finish_request(self, connection: ClientConnection, next_step: NextStep) -> None:
        """End the active phase of a connection: keep it open or close it."""
        with self._lock:
            connection.on_disconnect = ignore_disconnect
            connection.waiting_for_thread_since = 0.0
            connection.idle_since = connection.last_reply = time.monotonic()
            if next_step is NextStep.DISCONNECTED:
                self.close_reasons[CloseReason.FAILED_WHILE_ACTIVE.value] += 1
                self._close(connection)
            elif next_step is NextStep.CLOSE:
                self._begin_close(connection, CloseReason.AFTER_REPLY)
            elif self._shutting_down:  # also if shutdown began after the reply was written
                self._begin_close(connection, CloseReason.SHUTDOWN)
            else:
                connection.phase = Phase.IDLE
                connection.sock.setblocking(False)
                self._idle[connection] = None
                self._poller.arm(connection)
