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
from math import inf

from gingervane.fronts.client_connection import (
    ClientConnection,
    ClosedConnection,
    CloseReason,
    ConnectionLimits,
    Phase,
    Work,
    expired,
    ignore_disconnect,
    is_disconnected,
    oldest,
    past_read_deadline,
)
from gingervane.fronts.connection_acceptor import RETRY_PAUSE, ConnectionAcceptor
from gingervane.fronts.connection_input import Received
from gingervane.fronts.connection_output import NextStep, ReplyEnd, Sent, UnsentReply
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connection_reader import ConnectionReader
from gingervane.fronts.connection_table import ConnectionTable, ServerHooks
from gingervane.fronts.connection_workers import ConnectionWorkers
from gingervane.fronts.request_turns import RequestTurns
from gingervane.limits.memory_budget import MemoryBudget, MemoryHolding, MemoryOwner
from gingervane.wire.http1_messages import HttpError
from gingervane.wire.local_failures import start_thread

_THREAD_WAIT_TIMEOUT = 0.3  # seconds that a request waits for a thread before it is rejected
_MIN_POLL_TIMEOUT = 0.001  # seconds
_MAX_POLL_TIMEOUT = 0.5  # seconds; bounds the delay until a timeout that another thread has set is noticed


class ConnectionManager:
    """All client connections of a listener."""

    def __init__(
        self,
        listener: socket.socket,
        limits: ConnectionLimits,
        hooks: ServerHooks,
        budget: MemoryBudget,
    ) -> None:
        self._limits = limits
        self._hooks = hooks
        self._budget = budget
        self._lock = threading.Lock()
        self._listener_descriptor = listener.fileno()
        self._poller = ConnectionPoller(self._listener_descriptor)
        self.table = ConnectionTable(self._lock, self._poller, hooks)  # for the lock's holders
        self._workers = ConnectionWorkers(self._serve, self._lock) if limits.serving_waits else None
        self._acceptor = ConnectionAcceptor(listener, limits, budget, self.table, self._poller)
        self._reader = ConnectionReader(limits, self.table, self._poller, self._lock, self._submit)
        self._turns = RequestTurns()
        self._replies = deque[ClientConnection]()  # whose reply can be made
        self._handled: ClientConnection | None = None  # the connection that the polling thread handles
        self._shutting_down = False
        self._stopped = threading.Event()

    @property
    def close_reasons(self) -> Counter[str]:
        """Closed connections by `CloseReason`; changed under the lock."""
        return self.table.close_reasons

    @property
    def failures(self) -> Counter[str]:
        """System calls that failed for lack of resources on this host; changed under the lock."""
        return self._poller.failures

    @property
    def rejected(self) -> int:
        """Number of connections over the limit, or for which no thread was available."""
        return self.table.rejected

    @property
    def shutting_down(self) -> bool:
        """Whether shutdown has begun, so that every reply closes its connection."""
        return self._shutting_down

    def __len__(self) -> int:
        """Return the number of connections that are not closing."""
        return len(self.table)

    def phase_counts(self) -> dict[str, int]:
        """Return the number of connections by phase."""
        with self._lock:
            return Counter(connection.phase.name.lower() for connection in self.table.open.values())

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
            for connection in [*self.table.awaiting_first_byte, *self.table.idle]:
                self.table.close_unless_requested(connection, CloseReason.SHUTDOWN)

    def stop_accepting(self) -> None:
        """Begin shutdown, and close the listener after accepting the connections in its backlog.

        Connections that arrive while it is emptied may be reset: without a bound, clients that come again at once
        would postpone the shutdown for as long as they do.
        """
        with self._lock:
            if not self._acceptor.is_accepting:
                return
            self._acceptor.close()
        self.begin_shutdown()

    def stop(self, grace: float) -> None:
        """Stop accepting, and wait up to `grace` seconds for the open connections to close."""
        self.stop_accepting()
        with self._lock:
            self.table.all_closed.wait_for(lambda: not self.table.open, grace)
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
        with self._lock:
            received = self._reader.read_ahead(connection)
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
            self._replies.append(connection)
            self._poller.arm(connection)  # the event comes at once, and ends a wait of the polling thread
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
                self.table.writing[connection] = None
                self._poller.arm(connection)
            return NextStep.WRITING
        unsent.release()
        return reply.next_step if sent is Sent.ALL else NextStep.DISCONNECTED

    # ---- the polling thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self._attempt(self._turn):
                self._stopped.wait(RETRY_PAUSE)
        self._close_all()

    def _turn(self) -> None:
        """Wait for events, and do a bounded amount of work."""
        for descriptor, _ in self._poller.wait(self._poll_timeout):
            self._send_replies()
            if descriptor == self._listener_descriptor and descriptor not in self.table.open:
                self._attempt(self._accept)
            else:
                self._attempt(self._handle_event, descriptor)
        self._send_replies()
        self._attempt(self._serve_further)
        self._attempt(self._handle_timeouts)

    def _send_replies(self) -> None:
        """Send the replies that have been made since the last call, before anything else is read."""
        while self._replies:
            connection = self._replies.popleft()
            if connection.phase is Phase.ACTIVE and callable(connection.work):
                self._attempt(self._serve, connection)

    def _attempt(self, action: Callable[..., None], *arguments: object) -> bool:
        """Call an action of the polling thread, which must go on whatever fails, as nothing else accepts or reads.

        Return whether it succeeded. If not, the connection that it handled is closed.
        """
        self._handled = arguments[0] if arguments and isinstance(arguments[0], ClientConnection) else None
        try:
            action(*arguments)
        except Exception as error:  # noqa: BLE001 - also if there is no memory for what it does
            self._recover(error, self._handled)
            return False
        finally:
            self._handled = None
        return True

    def _recover(self, error: Exception, handled: ClientConnection | None) -> None:
        with contextlib.suppress(Exception):  # the failure may leave no memory for its report
            self._hooks.on_failure(error)
        with self._lock:
            self._acceptor.pause()
            if handled is None or handled.phase is Phase.CLOSED:
                return
            self._turns.finish(handled)
            try:
                self.table.close_failed(handled)
            except Exception:  # noqa: BLE001 - for instance, no memory for the reply
                self.table.close(handled)

    def _close_all(self) -> None:
        """Close all connections, at the end of the polling thread, but those whose reply a worker makes."""
        for connection in list(self.table.open.values()):
            if connection.phase is Phase.WRITING:
                self._end_reply(connection, NextStep.DISCONNECTED)
            elif connection.phase is Phase.ACTIVE and callable(connection.work):
                self._serve(connection)
        with self._lock:
            self.table.polling_ended = True
            for connection in [c for c in self.table.open.values() if c.phase is not Phase.ACTIVE]:
                self.table.close(connection)
            self._acceptor.close_at_once()

    def _poll_timeout(self) -> float:
        """Return the seconds until the next timeout is due, 0 if there is more to read."""
        if self._reader.has_further_reads or self._turns.has_due:
            return 0.0
        if self._turns.has_waiting:
            return _MIN_POLL_TIMEOUT
        limits = self._limits
        with self._lock:
            due = [
                connection.idle_since + limits.effective_first_byte_timeout
                for connection in oldest(self.table.awaiting_first_byte)
            ]
            due += [connection.idle_since + limits.idle_timeout for connection in oldest(self.table.idle)]
            due += [connection.read_deadline for connection in oldest(self.table.reading_head)]
            due += [connection.read_deadline for connection in oldest(self.table.reading_body)]
            due += [
                connection.output.deadline for connection in oldest(self.table.writing) if connection.output
            ]
            due += [connection.close_deadline for connection in oldest(self.table.closing)]
            due += [self._acceptor.paused_until] if self._acceptor.paused_until else []
            due += (
                [time.monotonic() + RETRY_PAUSE]
                if self._poller.has_unarmed or self.table.awaiting_thread
                else []
            )
        seconds = min(due, default=inf) - time.monotonic()
        return min(max(seconds, _MIN_POLL_TIMEOUT), _MAX_POLL_TIMEOUT)

    def _handle_event(self, descriptor: int) -> None:
        """Handle an event of the connection with this file descriptor.

        The descriptor may belong to a newer connection by now, so the state of the socket itself is checked.
        """
        on_disconnect = ignore_disconnect
        with self._lock:
            connection = self._handled = self.table.open.get(descriptor)
            if connection is None:
                return
            phase = connection.phase
            if phase is Phase.IDLE:
                begins = self._reader.begin_request(connection)
            elif phase is Phase.CLOSING:
                self.table.discard_input(connection)
            elif phase is Phase.ACTIVE and connection.work is None:
                on_disconnect = self._check_active(connection)
        if phase is Phase.READING or (phase is Phase.IDLE and begins):
            self._reader.read_soon(connection)
        elif phase is Phase.WRITING:
            self._continue_reply(connection)
        on_disconnect()

    def _check_active(self, connection: ClientConnection) -> Callable[[], None]:
        """Read ahead on an active connection; return what to call: nothing, unless its client has disconnected."""
        if connection.on_disconnect is ignore_disconnect:
            return ignore_disconnect
        self._reader.read_ahead(connection)
        if not is_disconnected(connection.sock) and not connection.is_unsupervised:
            self._poller.arm(connection)
            return ignore_disconnect
        on_disconnect = connection.on_disconnect
        connection.on_disconnect = ignore_disconnect
        return on_disconnect

    def _accept(self) -> None:
        with self._lock:
            self._acceptor.accept_turn()

    def _serve_further(self) -> None:
        """Read and serve some of the connections whose request is large or was pipelined."""
        for connection in self._reader.take_further_reads():
            self._attempt(self._reader.read_further, connection)
        for connection in self._turns.take(time.monotonic()):
            self._attempt(self._serve, connection)

    def _handle_timeouts(self) -> None:
        """Close connections whose timeout has passed, and retry what had failed for lack of resources."""
        limits = self._limits
        now = time.monotonic()
        with self._lock:
            for connection in [closing for closing in self.table.closing if closing.close_deadline <= now]:
                self.table.close(connection)
            for connection in expired(
                self.table.awaiting_first_byte, limits.effective_first_byte_timeout, now
            ):
                self.table.close_unless_requested(connection, CloseReason.FIRST_BYTE_TIMEOUT)
            for connection in expired(self.table.idle, limits.idle_timeout, now):
                self.table.close_unless_requested(connection, CloseReason.IDLE_TIMEOUT)
            for part, group in (("head", self.table.reading_head), ("body", self.table.reading_body)):
                for connection in past_read_deadline(group, now):
                    error = HttpError(408, f"request {part}: not complete in time")
                    self.table.refuse(connection, error, CloseReason.REQUEST_TIMEOUT)
            unwritten = [c for c in oldest(self.table.writing) if c.output and c.output.deadline <= now]
            for connection in unwritten:
                self._hooks.on_closed(ClosedConnection.of(connection, CloseReason.REPLY_UNREAD, now))
            for connection in self._poller.take_unarmed():
                if self.table.open.get(connection.descriptor) is connection:
                    self._poller.arm(connection)
            self._acceptor.resume_after_pause(now)
            waiting = list(self.table.awaiting_thread)
            self.table.awaiting_thread.clear()
        for connection in unwritten:
            self._end_reply(connection, NextStep.DISCONNECTED)
        for connection in waiting:
            self._submit(connection)

    # ---- serving; on a worker thread, or on the polling thread

    def _submit(self, connection: ClientConnection) -> None:
        """Serve the request of a connection, or have a worker serve it. On the polling thread."""
        if self._workers is None:
            if not self._turns.add(connection, time.monotonic()):
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
            self.table.reject(connection, CloseReason.NO_THREAD)
        else:
            self.table.awaiting_thread[connection] = None

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
            self.table.writing.pop(connection, None)
            connection.phase = Phase.ACTIVE
            output, connection.output = connection.output, None
        if output:
            output.release()
        self._finish_request(connection, next_step)

    def _finish_request(self, connection: ClientConnection, next_step: NextStep) -> None:
        """End the active phase of a connection: keep it open or close it."""
        with self._lock:
            self._turns.finish(connection)
            connection.is_unsupervised = False
            connection.on_disconnect = ignore_disconnect
            connection.waiting_for_thread_since = 0.0
            connection.idle_since = connection.last_reply = time.monotonic()
            connection.input.release_request()
            if next_step is NextStep.DISCONNECTED:
                self.close_reasons[CloseReason.FAILED_WHILE_ACTIVE.value] += 1
                self.table.close(connection)
            elif next_step is NextStep.CLOSE:
                self.table.begin_close(connection, CloseReason.AFTER_REPLY)
            elif self._shutting_down:  # also if shutdown began after the reply was written
                self.table.begin_close(connection, CloseReason.SHUTDOWN)
            else:
                self._await_next_request(connection)

    def _await_next_request(self, connection: ClientConnection) -> None:
        """Wait for the next request, of which bytes may be there already. Under the lock."""
        if connection.input.has_buffered:
            connection.is_pipelined = connection.has_unparsed = True
            self._reader.begin_reading(connection, connection.last_reply)
        else:
            connection.phase = Phase.IDLE
            self.table.idle[connection] = None
        self._poller.arm(connection)
