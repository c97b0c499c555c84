"""Accepts client connections, and makes room for them: a bounded number in each turn.

Every call is made under the lock of the connection manager.
"""

from __future__ import annotations

import contextlib
import socket
import time

from gingervane.fronts.backlog_age import BacklogAge
from gingervane.fronts.client_connection import ClientConnection, CloseReason, ConnectionLimits, oldest
from gingervane.fronts.connection_input import ConnectionInput
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connection_table import MAX_CLOSING, ConnectionTable
from gingervane.limits.memory_budget import MemoryBudget

RETRY_PAUSE = 0.05  # seconds before a system call is retried that failed for lack of resources
_ACCEPTS_PER_TURN = 16  # of the polling thread, before it looks at the open connections again
_EVICTIONS_PER_ACCEPT = 2  # more than one, so that the number of connections shrinks
_EVICTION_CANDIDATES = 16  # silent connections that are examined to make room for a new one


class ConnectionAcceptor:
    """The listener, and the limits on the number of connections."""

    def __init__(
        self,
        listener: socket.socket,
        limits: ConnectionLimits,
        budget: MemoryBudget,
        table: ConnectionTable,
        poller: ConnectionPoller,
    ) -> None:
        listener.setblocking(False)
        self.listener = listener
        self._limits = limits
        self._budget = budget
        self._table = table
        self._poller = poller
        self._backlog = BacklogAge(limits.backlog)
        self.is_accepting = True
        self.paused_until = 0.0  # after a failure; 0: not paused

    def accept_turn(self) -> None:
        """Accept the connections of one turn of the polling thread."""
        self.accept_pending(_ACCEPTS_PER_TURN)

    def close(self) -> None:
        """Accept all connections in the backlog, and close the listener."""
        # Closing the listener resets the connections in its backlog, and requests on them would be lost.
        self.accept_pending(self._limits.backlog)
        self.is_accepting = False
        self._poller.remove_listener()
        self.listener.close()

    def close_at_once(self) -> None:
        """Close the listener, if that has not happened yet."""
        if self.is_accepting:
            self.is_accepting = False
            self.listener.close()

    def pause(self) -> None:
        """Request the next event of the listener after a pause."""
        self.paused_until = self.paused_until or time.monotonic() + RETRY_PAUSE

    def resume_after_pause(self, now: float) -> None:
        """Request the next event of the listener if a pause is over."""
        if self.is_accepting and self.paused_until and self.paused_until <= now:
            self.arm()

    def accept_pending(self, most: int) -> None:
        """Accept up to `most` connections in the backlog, and request an event for the next one."""
        self._backlog.begin_turn(self._poller.events_since)
        for _ in range(most if self.is_accepting else 0):
            if len(self._table.closing) >= MAX_CLOSING:  # frees a descriptor for the next connection
                self._table.close_oldest()
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self._backlog.mark_empty()
                self.arm()
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:  # for instance, no descriptors until other connections close
                self._poller.count_failure("accept", error)
                self.paused_until = time.monotonic() + RETRY_PAUSE
                return
            self._add(sock)
        if self.is_accepting:
            self.arm()

    def arm(self) -> None:
        """Request an event for the next incoming connection; retried after a pause if that fails."""
        if self._poller.arm_listener():
            self.paused_until = 0.0
        else:
            self.paused_until = time.monotonic() + RETRY_PAUSE

    def _add(self, sock: socket.socket) -> None:
        """Add an accepted connection, or reject it if there are too many."""
        now = time.monotonic()
        input_ = ConnectionInput(self._limits.message_limits, self._budget)
        connection = ClientConnection(sock, now, self._backlog.record_accept(now), input_)
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        is_full = len(self._table) >= self._limits.max_connections and not self._evict_silent()
        self._table.open[connection.descriptor] = connection
        if is_full:
            self._table.reject(connection, CloseReason.OVER_LIMIT)
            return
        self._table.awaiting_first_byte[connection] = None
        self._poller.arm(connection)
        if len(self._table) > self._limits.eviction_threshold:
            self._evict_long_idle()

    def _evict_long_idle(self) -> None:
        """Close the connections that have been idle for the longest time, if that is at least `min_idle`."""
        idle_before = time.monotonic() - self._limits.min_idle
        candidates = oldest(self._table.idle, _EVICTIONS_PER_ACCEPT)
        for connection in [candidate for candidate in candidates if candidate.idle_since < idle_before]:
            self._table.close_unless_requested(connection, CloseReason.OVER_EVICTION_THRESHOLD)

    def _evict_silent(self) -> bool:
        """Close one of the oldest connections that has sent nothing, as hundreds of those would use up the limit."""
        if self._limits.first_byte_timeout is None:  # clients may connect before they have a request
            return False
        silent = oldest(self._table.awaiting_first_byte, _EVICTION_CANDIDATES)
        return any(
            self._table.close_unless_requested(connection, CloseReason.EVICTED) for connection in silent
        )
