"""The life cycle of client connections: idle, being read, active, writing, closing. Independent of the handlers.

Only the manager changes the phase of a connection, and only under its lock. So two racing events (a request
arrives while its connection is closed, a client disconnects while its reply is written, a reply ends while
the server shuts down) are handled one after the other, and the second sees the phase that the first has set.
The lock is held only during calls that do not block.

- *Idle*: no byte of a request has been read. Only in this phase is a connection closed because it is unused
  or because capacity is short, and only while it has no unread data.
- *Reading*: a request has begun and is not complete. It costs its bytes and no thread. If memory is short, the
  request that is large and has been incomplete for the longest time is refused.
- *Active*: a request is complete; it is being served, or its reply is awaited. What arrives meanwhile is kept for
  the next request, up to the size of one, so that a disconnect behind it is noticed.
- *Writing*: the client has not taken all of a reply. Nothing is read meanwhile.
- *Closing*: the server's sending side is shut down. Input is discarded, never read as a request, within
  bounds on time, bytes and number of such connections. This keeps a reset from destroying the last reply, as
  happens when a socket is closed with unread data.

One thread (`_run`) polls all connections and does a bounded amount of work for each in turn. Requests that are large,
or that were pipelined behind another, wait behind those that are small and new. Where serving a request may wait, a
worker thread does it; otherwise the polling thread.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from itertools import chain
from math import inf
from typing import NamedTuple

from gingervane.fronts.backlog_age import BacklogAge
from gingervane.fronts.client_connection import (
    REPORTED_REASONS,
    ClientConnection,
    ClosedConnection,
    CloseReason,
    ConnectionLimits,
    Phase,
    Work,
    expired,
    has_unread_data,
    ignore_disconnect,
    is_disconnected,
    oldest,
    past_read_deadline,
)
from gingervane.fronts.connection_input import NO_ROOM, ConnectionInput, Received
from gingervane.fronts.connection_output import NextStep, ReplyEnd, Sent, UnsentReply
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connection_workers import ConnectionWorkers
from gingervane.limits.memory_budget import MemoryBudget, MemoryHolding, MemoryOwner
from gingervane.wire.http1_messages import HttpError
from gingervane.wire.local_failures import is_transient, start_thread

CLOSE_TIMEOUT = 0.5  # seconds that a connection may be closing
MAX_DISCARDED_BYTES = 1 << 20  # bytes read from a closing connection before it is closed
MAX_CLOSING = 16  # closing connections, which do not count towards `max_connections`
_RETRY_PAUSE = 0.05  # seconds before a system call is retried that failed for lack of resources
_THREAD_WAIT_TIMEOUT = 0.3  # seconds that a request waits for a thread before it is rejected
_MIN_POLL_TIMEOUT = 0.001  # seconds
_MAX_POLL_TIMEOUT = 0.5  # seconds; bounds the delay until a timeout that another thread has set is noticed
_RECEIVE_BYTES = 65536  # of a closing connection at once
_FIRST_READ_BYTES = 2048  # of a new request in its turn; most requests are smaller
_READ_BYTES = 16384  # of a request in each further turn
_READS_PER_TURN = 4  # of connections whose request has taken a turn already
_REQUESTS_PER_TURN = 2  # of the large ones, and of the pipelined ones
_MAX_PIPELINED_ACTIVE = 32  # pipelined requests that are served at once
_PIPELINED_WAIT_TIMEOUT = 0.1  # seconds that a pipelined request waits for its turn before it is refused
_EVICTIONS_PER_ACCEPT = 2  # more than one, so that the number of connections shrinks
_ACCEPTS_PER_TURN = 16  # of the polling thread, before it looks at the open connections again
_EVICTION_CANDIDATES = 16  # silent connections that are examined to make room for a new one
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerHooks(NamedTuple):
    """What the manager needs of the server.

    `serve` is called on a worker thread with a connection that has `work`, and returns what the manager does with the
    connection next. `encode_error` returns the reply to a request that could not be read, after which its connection
    is closed. `rejection` is the encoded reply to a connection that is over a limit. `on_failure` is called with an
    unexpected exception, after which the connection that it concerns is closed. `on_closed` is told of connections
    that were closed for what their clients did or for lack of room; it must not block.
    """

    serve: Callable[[ClientConnection], NextStep]
    encode_error: Callable[[HttpError], bytes]
    rejection: bytes
    on_failure: Callable[[BaseException], None]
    on_closed: Callable[[ClosedConnection], None]


class ConnectionManager:
    """All client connections of a listener."""

    def __init__(
        self,
        listener: socket.socket,
        limits: ConnectionLimits,
        hooks: ServerHooks,
        budget: MemoryBudget,
    ) -> None:
        self._listener = listener
        self._limits = limits
        self._hooks = hooks
        self._budget = budget
        listener.setblocking(False)
        self._lock = threading.Lock()
        self._all_closed = threading.Condition(self._lock)
        self._listener_descriptor = listener.fileno()
        self._poller = ConnectionPoller(self._listener_descriptor)
        self._workers = ConnectionWorkers(self._serve, self._lock) if limits.serving_waits else None
        self._scratch = memoryview(bytearray(_READ_BYTES))  # of the polling thread
        self._locked_scratch = memoryview(
            bytearray(_FIRST_READ_BYTES)
        )  # for input of active connections; under the lock
        self._open: dict[int, ClientConnection] = {}
        # Each of these groups is ordered from its oldest connection on.
        self._awaiting_first_byte = dict[ClientConnection, None]()
        self._idle = dict[ClientConnection, None]()
        self._reading_head = dict[ClientConnection, None]()
        self._reading_body = dict[ClientConnection, None]()
        self._large = dict[ClientConnection, None]()  # those being read whose request is large
        self._awaiting_thread = dict[ClientConnection, None]()
        self._writing = dict[ClientConnection, None]()
        self._closing = dict[ClientConnection, None]()
        self._further_reads = deque[ClientConnection]()  # readable, but their request has had a turn already
        self._large_requests = deque[ClientConnection]()  # that are complete and wait for their turn
        self._pipelined_requests = deque[ClientConnection]()  # the same
        self._pipelined_active = 0  # pipelined requests that are being served
        self._handled: ClientConnection | None = None  # the connection that the polling thread handles
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

    def phase_counts(self) -> dict[str, int]:
        """Return the number of connections by phase."""
        with self._lock:
            return Counter(connection.phase.name.lower() for connection in self._open.values())

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
        """Stop accepting, and wait up to `grace` seconds for the open connections to close."""
        self.stop_accepting()
        with self._lock:
            self._all_closed.wait_for(lambda: not self._open, grace)
        self._stopped.set()

    # ---- the thread that serves a connection

    def watch(self, connection: ClientConnection, number: int, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once if the client disconnects before the reply to its request `number`."""
        with self._lock:
            if connection.phase is Phase.ACTIVE and connection.request_number == number:
                connection.on_disconnect = on_disconnect
                self._poller.arm(connection)

    def has_disconnected(self, connection: ClientConnection) -> bool:
        """Whether the client of an active connection has disconnected, also behind bytes that were unread."""
        is_watched = connection.on_disconnect is not ignore_disconnect  # by the polling thread too
        with self._lock if is_watched else contextlib.nullcontext():
            received = self._read_ahead(connection)
        if received is Received.NO_ROOM:
            return is_disconnected(connection.sock)
        return received is Received.END

    def resume(self, connection: ClientConnection, number: int, work: Work) -> bool:
        """Have the polling thread send the reply to a connection's request `number`; return False if that is over.

        Any thread may call.
        """
        with self._lock:
            if connection.phase is not Phase.ACTIVE or connection.request_number != number:
                return False
            connection.work = work
            connection.on_disconnect = ignore_disconnect
            self._poller.arm(connection)  # the event comes at once
        return True

    def send(self, connection: ClientConnection, data: bytes, deadline: float, reply: ReplyEnd) -> NextStep:
        """Send a reply without waiting; return the next step: `WRITING` if the client must take more of it first."""
        connection.awaits_reply = False
        unsent = UnsentReply(data, deadline, MemoryHolding(self._budget, MemoryOwner.REPLIES), reply.done)
        sent = unsent.send(connection.sock)
        if sent is Sent.PARTLY and unsent.reserve():
            with self._lock:
                connection.output = unsent
                connection.phase = Phase.WRITING
                connection.next_step = reply.next_step
                self._writing[connection] = None
                self._poller.arm(connection)
            return NextStep.WRITING
        unsent.release()
        return reply.next_step if sent is Sent.ALL else NextStep.DISCONNECTED

    # ---- the polling thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            for descriptor, _ in self._poller.wait(self._poll_timeout):
                if descriptor == self._listener_descriptor and descriptor not in self._open:
                    self._attempt(self._accept_turn)
                else:
                    self._attempt(self._handle_event, descriptor)
            self._attempt(self._serve_further)
            self._attempt(self._handle_timeouts)
        self._close_all()

    def _attempt(self, action: Callable[..., None], *arguments: int) -> None:
        """Call an action of the polling thread, which must go on whatever fails, as nothing else accepts or reads."""
        self._handled = None
        try:
            action(*arguments)
        except Exception as error:  # noqa: BLE001 - also if there is no memory for what it does
            self._hooks.on_failure(error)
            with self._lock:
                if self._handled is not None and self._handled.phase is not Phase.CLOSED:
                    self._close_failed(self._handled)
                self._accept_paused_until = self._accept_paused_until or time.monotonic() + _RETRY_PAUSE

    def _close_all(self) -> None:
        """Close all connections, at the end of the polling thread, but those whose reply a worker makes."""
        for connection in list(self._open.values()):
            if connection.phase is Phase.WRITING:
                self._end_reply(connection, NextStep.DISCONNECTED)
            elif connection.phase is Phase.ACTIVE and callable(connection.work):
                self._serve(connection)
        with self._lock:
            for connection in [c for c in self._open.values() if c.phase is not Phase.ACTIVE]:
                self._close(connection)
            if self._accepting:
                self._accepting = False
                self._listener.close()

    def _poll_timeout(self) -> float:
        """Return the seconds until the next timeout is due, 0 if there is more to read."""
        if self._further_reads or self._large_requests:
            return 0.0
        if self._pipelined_requests:
            return 0.0 if self._pipelined_active < _MAX_PIPELINED_ACTIVE else _MIN_POLL_TIMEOUT
        limits = self._limits
        with self._lock:
            due = [
                connection.idle_since + limits.effective_first_byte_timeout
                for connection in oldest(self._awaiting_first_byte)
            ]
            due += [connection.idle_since + limits.idle_timeout for connection in oldest(self._idle)]
            due += [connection.read_deadline for connection in oldest(self._reading_head)]
            due += [connection.read_deadline for connection in oldest(self._reading_body)]
            due += [connection.output.deadline for connection in oldest(self._writing) if connection.output]
            due += [connection.close_deadline for connection in oldest(self._closing)]
            due += [self._accept_paused_until] if self._accept_paused_until else []
            due += (
                [time.monotonic() + _RETRY_PAUSE] if self._poller.has_unarmed or self._awaiting_thread else []
            )
        seconds = min(due, default=inf) - time.monotonic()
        return min(max(seconds, _MIN_POLL_TIMEOUT), _MAX_POLL_TIMEOUT)

    def _handle_event(self, descriptor: int) -> None:
        """Handle an event of the connection with this file descriptor.

        The descriptor may belong to a newer connection by now, so the state of the socket itself is checked.
        """
        on_disconnect = ignore_disconnect
        with self._lock:
            connection = self._handled = self._open.get(descriptor)
            if connection is None:
                return
            phase = connection.phase
            if phase is Phase.IDLE:
                begins = self._begin_request(connection)
            elif phase is Phase.CLOSING:
                self._discard_input(connection)
            elif phase is Phase.ACTIVE and connection.work is None:
                on_disconnect = self._check_active(connection)
        if phase is Phase.IDLE and begins:
            self._read(connection, _FIRST_READ_BYTES)
        elif phase is Phase.READING:
            self._further_reads.append(connection)
        elif phase is Phase.WRITING:
            self._continue_reply(connection)
        elif phase is Phase.ACTIVE and callable(connection.work):
            self._serve(connection)
        on_disconnect()

    def _check_active(self, connection: ClientConnection) -> Callable[[], None]:
        """Read ahead on an active connection; return what to call: nothing, unless its client has disconnected."""
        if connection.on_disconnect is ignore_disconnect:
            return ignore_disconnect
        self._read_ahead(connection)
        if not is_disconnected(connection.sock) and not connection.is_unsupervised:
            self._poller.arm(connection)
            return ignore_disconnect
        on_disconnect = connection.on_disconnect
        connection.on_disconnect = ignore_disconnect
        return on_disconnect

    def _serve_further(self) -> None:
        """Read and serve some of the connections whose request is large or was pipelined."""
        for _ in range(min(len(self._further_reads), _READS_PER_TURN)):
            connection = self._handled = self._further_reads.popleft()
            if connection.phase is Phase.READING:
                self._read(connection, _READ_BYTES)
        self._serve_large()
        self._serve_pipelined()

    def _serve_large(self) -> None:
        """Serve some of the large requests."""
        for _ in range(min(len(self._large_requests), _REQUESTS_PER_TURN)):
            self._handled = self._large_requests.popleft()
            self._serve(self._handled)

    def _serve_pipelined(self) -> None:
        """Serve some of the pipelined requests, as long as not too many are; have those refused that waited too long.

        A client that does not wait for its replies could otherwise delay all others by what it has sent.
        """
        refuse_before = time.monotonic() - _PIPELINED_WAIT_TIMEOUT
        for _ in range(min(len(self._pipelined_requests), _REQUESTS_PER_TURN)):
            connection = self._pipelined_requests[0]
            connection.waited_too_long = connection.waiting_since <= refuse_before
            if self._pipelined_active >= _MAX_PIPELINED_ACTIVE and not connection.waited_too_long:
                return
            self._handled = self._pipelined_requests.popleft()
            connection.counts_as_pipelined = True
            self._pipelined_active += 1
            self._serve(connection)

    def _handle_timeouts(self) -> None:
        """Close connections whose timeout has passed, and retry what had failed for lack of resources."""
        limits = self._limits
        now = time.monotonic()
        with self._lock:
            for connection in [closing for closing in self._closing if closing.close_deadline <= now]:
                self._close(connection)
            for connection in expired(self._awaiting_first_byte, limits.effective_first_byte_timeout, now):
                self._close_unless_requested(connection, CloseReason.FIRST_BYTE_TIMEOUT)
            for connection in expired(self._idle, limits.idle_timeout, now):
                self._close_unless_requested(connection, CloseReason.IDLE_TIMEOUT)
            for part, group in (("head", self._reading_head), ("body", self._reading_body)):
                for connection in past_read_deadline(group, now):
                    error = HttpError(408, f"request {part}: not complete in time")
                    self._refuse(connection, error, CloseReason.REQUEST_TIMEOUT)
            unwritten = [c for c in oldest(self._writing) if c.output and c.output.deadline <= now]
            for connection in unwritten:
                self._hooks.on_closed(ClosedConnection.of(connection, CloseReason.REPLY_UNREAD, now))
            for connection in self._poller.take_unarmed():
                if self._open.get(connection.descriptor) is connection:
                    self._poller.arm(connection)
            if self._accepting and self._accept_paused_until and self._accept_paused_until <= now:
                self._arm_listener()
            waiting = list(self._awaiting_thread)
            self._awaiting_thread.clear()
        for connection in unwritten:
            self._end_reply(connection, NextStep.DISCONNECTED)
        for connection in waiting:
            self._submit(connection)

    # ---- accepting; under the lock

    def _accept_turn(self) -> None:
        """Accept the connections of one turn. On the polling thread, without the lock."""
        with self._lock:
            self._accept_pending(_ACCEPTS_PER_TURN)

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
        input_ = ConnectionInput(self._limits.message_limits, self._budget)
        connection = ClientConnection(sock, now, self._backlog.record_accept(now), input_)
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
        """Reject a connection's request without serving it, and close the connection."""
        self.rejected += 1
        connection.send_rejection(self._hooks.rejection, partial(self._poller.count_failure, "send"))
        self._begin_close(connection, reason)

    def _refuse(self, connection: ClientConnection, error: HttpError, reason: CloseReason) -> None:
        """Answer a request that could not be read, and close its connection."""
        reply = self._hooks.encode_error(error)
        connection.send_rejection(reply, partial(self._poller.count_failure, "send"))
        self._begin_close(connection, reason)

    # ---- reading; by the polling thread, which takes the lock to change a phase

    def _begin_request(self, connection: ClientConnection) -> bool:
        """Begin to read an idle connection if it has unread data; return whether it does. Under the lock."""
        has_data = has_unread_data(connection.sock)
        if has_data is None:
            self._poller.arm(connection)
        elif not has_data:
            self._close_disconnected(connection)
        else:
            earliest = max(self._poller.events_since, connection.idle_since)
            if connection in self._awaiting_first_byte and self._poller.events_since <= connection.idle_since:
                earliest = connection.connected_since  # its data may have waited in the backlog with it
            connection.is_pipelined = False
            self._begin_reading(connection, earliest)
        return bool(has_data)

    def _begin_reading(self, connection: ClientConnection, started: float) -> None:
        """Change the phase. `started`: earliest time at which the first byte may have arrived. Under the lock."""
        self._forget_groups(connection)
        connection.phase = Phase.READING
        connection.request_started = started
        connection.read_deadline = started + self._limits.head_timeout
        self._reading_head[connection] = None

    def _read(self, connection: ClientConnection, most: int) -> None:
        """Receive once up to `most` bytes on a connection that is being read, and parse what has arrived."""
        received = Received.BYTES
        if connection.has_unparsed:
            connection.has_unparsed = False
        else:
            is_small = not connection.is_pipelined
            received = connection.input.receive(connection.sock, self._scratch[:most], is_small)
        if received is Received.BYTES:
            self._parse(connection)
        elif received is Received.NOTHING_YET:
            with self._lock:
                self._poller.arm(connection)
        elif received is Received.NO_ROOM:
            self._make_room(connection)
        else:
            with self._lock:
                self._close_disconnected(connection)

    def _parse(self, connection: ClientConnection) -> None:
        """Parse what has arrived; submit the request if it is complete, otherwise wait for more."""
        try:
            request = connection.input.parse()
        except HttpError as error:
            reason = CloseReason.OUT_OF_MEMORY if error is NO_ROOM else CloseReason.INVALID_REQUEST
            with self._lock:
                self._refuse(connection, error, reason)
            return
        if request is None:
            self._await_more(connection)
            return
        with self._lock:
            self._forget_groups(connection)
            connection.phase = Phase.ACTIVE
            connection.request_number += 1
            connection.awaits_reply = True
            connection.work = request
        self._submit(connection)

    def _await_more(self, connection: ClientConnection) -> None:
        """Wait for more bytes of an incomplete request."""
        if connection.input.take_continue():
            with contextlib.suppress(
                OSError
            ):  # if it fails, the client sends the body all the same, or leaves
                connection.sock.send(_CONTINUE)
        with self._lock:
            if connection.input.has_head and connection in self._reading_head:
                del self._reading_head[connection]
                self._reading_body[connection] = None
                connection.read_deadline = time.monotonic() + self._limits.body_timeout
            if connection.input.is_large:
                self._large[connection] = None
            self._poller.arm(connection)

    def _make_room(self, connection: ClientConnection) -> None:
        """Refuse the incomplete request that was begun first, of the large ones if there are any."""
        with self._lock:
            victim = next(chain(self._large, self._reading_body, self._reading_head), connection)
            self._refuse(victim, NO_ROOM, CloseReason.OUT_OF_MEMORY)
        if victim is not connection:
            self._further_reads.append(connection)

    def _read_ahead(self, connection: ClientConnection) -> Received:
        """Receive what has arrived on an active connection, as far as it may be kept. Under the lock.

        Where it may not be kept, nobody can see any more whether the client has disconnected.
        """
        while not connection.is_unsupervised:
            if connection.discards_input:
                received = self._discard_once(connection)
            elif connection.input.is_full:
                received = Received.NO_ROOM
            else:
                is_small = not connection.is_pipelined
                received = connection.input.receive(connection.sock, self._locked_scratch, is_small)
            if received is Received.NO_ROOM:
                connection.is_unsupervised = True
            elif received is not Received.BYTES:
                return received
        return Received.NO_ROOM

    def _discard_once(self, connection: ClientConnection) -> Received:
        """Receive bytes that will not be read as a request, within the bound on those."""
        try:
            count = connection.sock.recv_into(self._locked_scratch)
        except OSError as error:
            return Received.NOTHING_YET if is_transient(error) else Received.END
        connection.discarded_bytes += count
        if connection.discarded_bytes > MAX_DISCARDED_BYTES:
            return Received.NO_ROOM
        return Received.BYTES if count else Received.END

    # ---- closing; under the lock

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
        if reason in REPORTED_REASONS:
            self._hooks.on_closed(ClosedConnection.of(connection, reason, time.monotonic()))
        self._forget_groups(connection)
        connection.input.close()
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

    def _close_failed(self, connection: ClientConnection) -> None:
        """Close a connection after an unexpected exception; a client that waits for a reply gets an error."""
        if connection.phase is Phase.CLOSING:
            self._close(connection)
        elif connection.phase is Phase.READING or connection.awaits_reply:
            self._refuse(connection, HttpError(500, "failed: internal error"), CloseReason.INTERNAL_ERROR)
        else:
            self._begin_close(connection, CloseReason.INTERNAL_ERROR)

    def _close(self, connection: ClientConnection) -> None:
        """Close the socket and remove the connection."""
        self._forget_groups(connection)
        del self._open[connection.descriptor]
        connection.input.close()
        if connection.phase is Phase.CLOSING:
            with contextlib.suppress(OSError):  # closing a socket with unread data would reset the connection
                connection.sock.recv(_RECEIVE_BYTES)
        connection.phase = Phase.CLOSED
        connection.sock.close()  # also removes it from the poller
        if not self._open:
            self._all_closed.notify_all()

    def _forget_groups(self, connection: ClientConnection) -> None:
        """Remove a connection from the groups of its phase."""
        for group in (
            self._awaiting_first_byte,
            self._idle,
            self._reading_head,
            self._reading_body,
            self._large,
            self._awaiting_thread,
            self._writing,
            self._closing,
        ):
            group.pop(connection, None)

    # ---- serving; on a worker thread, or on the polling thread

    def _submit(self, connection: ClientConnection) -> None:
        """Serve the request of a connection, or have a worker serve it. On the polling thread."""
        if self._workers is None:
            connection.waited_too_long = False
            if connection.is_pipelined:
                connection.waiting_since = time.monotonic()
                self._pipelined_requests.append(connection)
            elif connection.input.is_large:
                self._large_requests.append(connection)
            else:
                self._serve(connection)
        elif not self._workers.submit(connection):
            with self._lock:
                self._retry_or_reject(connection)

    def _retry_or_reject(self, connection: ClientConnection) -> None:
        """Retry a request for which no thread could be started; reject it after `_THREAD_WAIT_TIMEOUT`."""
        self._poller.failures["thread"] += 1
        now = time.monotonic()
        connection.waiting_for_thread_since = connection.waiting_for_thread_since or now
        if now - connection.waiting_for_thread_since >= _THREAD_WAIT_TIMEOUT:
            self._reject(connection, CloseReason.NO_THREAD)
        else:
            self._awaiting_thread[connection] = None

    def _serve(self, connection: ClientConnection) -> None:
        """Serve the request of an active connection, or send the reply that was awaited."""
        next_step = NextStep.DISCONNECTED
        try:
            next_step = self._hooks.serve(connection)
        finally:
            if next_step not in (NextStep.REPLY_LATER, NextStep.WRITING):
                self._finish_request(connection, next_step)

    def _continue_reply(self, connection: ClientConnection) -> None:
        """Send more of a reply. On the polling thread."""
        output = connection.output
        if output is None:
            return
        sent = output.send(connection.sock)
        if sent is Sent.PARTLY:
            output.reserve()
            with self._lock:
                self._poller.arm(connection)
        else:
            self._end_reply(connection, connection.next_step if sent is Sent.ALL else NextStep.DISCONNECTED)

    def _end_reply(self, connection: ClientConnection, next_step: NextStep) -> None:
        """End the writing of a reply. On the polling thread."""
        with self._lock:
            self._writing.pop(connection, None)
            connection.phase = Phase.ACTIVE
            output, connection.output = connection.output, None
        if output:
            output.release()
        self._finish_request(connection, next_step)

    def _finish_request(self, connection: ClientConnection, next_step: NextStep) -> None:
        """End the active phase of a connection: keep it open or close it."""
        with self._lock:
            self._pipelined_active -= connection.counts_as_pipelined
            connection.counts_as_pipelined = connection.is_unsupervised = False
            connection.on_disconnect = ignore_disconnect
            connection.waiting_for_thread_since = 0.0
            connection.idle_since = connection.last_reply = time.monotonic()
            connection.input.release_request()
            if next_step is NextStep.DISCONNECTED:
                self.close_reasons[CloseReason.FAILED_WHILE_ACTIVE.value] += 1
                self._close(connection)
            elif next_step is NextStep.CLOSE:
                self._begin_close(connection, CloseReason.AFTER_REPLY)
            elif self._shutting_down:  # also if shutdown began after the reply was written
                self._begin_close(connection, CloseReason.SHUTDOWN)
            else:
                self._await_next_request(connection)

    def _await_next_request(self, connection: ClientConnection) -> None:
        """Wait for the next request, of which bytes may be there already. Under the lock."""
        if connection.input.has_buffered:
            connection.is_pipelined = connection.has_unparsed = True
            self._begin_reading(connection, connection.last_reply)
        else:
            connection.phase = Phase.IDLE
            self._idle[connection] = None
        self._poller.arm(connection)
