"""All connections to replicas; the transport of the node's query coordinator.

Only the decision thread sends batches, opens and closes connections. One reader thread serves all connections: it
completes or fails connecting, reads replies, and detects when a full socket becomes writable again. It queues
writable connections for the decision thread, which writes to them at its next turn: no other thread starts a frame,
so none is started after its query has completed.
"""

from __future__ import annotations

import contextlib
import select
import time
from collections import deque

from gingervane.coordinator import types as t
from gingervane.node.replica_connection import ReplicaConnection
from gingervane.node.replica_connection_types import (
    DecodeCell,
    OnConnectionClosed,
    ReplicaCloseReason,
    ReplicaConnectionClosed,
    ReplicaConnectionLimits,
    ReportAttempts,
    hex_cell,
)
from gingervane.wire.local_failures import retry_local_failures, start_thread

SPARE_DESCRIPTORS = 8  # for closing connections, beyond the limit on the others
_SWEEP_INTERVAL = 1.0  # seconds
_MIN_POLL_TIMEOUT = 0.001  # seconds


def _ignore_connection_closed(_closed: ReplicaConnectionClosed) -> None:
    """Do nothing."""


class ReplicaConnections:
    """All connections to replicas.

    The reader thread runs `_run` and `_queue_for_writing`; the decision thread runs all other methods.
    """

    def __init__(
        self,
        limits: ReplicaConnectionLimits,
        report: ReportAttempts,
        decode_cell: DecodeCell = hex_cell,
        on_closed: OnConnectionClosed = _ignore_connection_closed,
    ) -> None:
        self._limits = limits
        self._report = report
        self._decode_cell = decode_cell
        self._on_closed = on_closed
        self._by_address: dict[tuple[str, int], list[ReplicaConnection]] = {}
        self._last_sweep = time.monotonic()
        self._writable: deque[ReplicaConnection] = deque()
        self._poll = retry_local_failures(select.epoll)
        # By descriptor number. The decision thread adds connections, and removes them when it closes them.
        self._by_number: dict[int, ReplicaConnection] = {}
        self._connecting: deque[ReplicaConnection] = deque()  # earliest deadline first
        self._closed = False
        start_thread(self._run, "links")

    @property
    def in_flight(self) -> int:
        """Number of parts in flight on all connections."""
        by_address = list(self._by_address.values())
        return sum(
            len(connection.in_flight) for connections in by_address for connection in list(connections)
        )

    @property
    def count(self) -> int:
        """Number of connections that hold a descriptor."""
        return len(self._by_number)

    # ---- the reader

    def _run(self) -> None:
        """Serve all connections: one thread each would make tens of thousands on a machine that hosts a fleet."""
        while not self._closed:
            timeout = self._check_connecting(time.monotonic())
            finished: list[t.AttemptFinished] = []
            for number, events in self._wait(max(timeout, _MIN_POLL_TIMEOUT)):
                if connection := self._by_number.get(number):
                    connection.handle_event(events, finished)
            if finished:
                self._report(finished)

    def _check_connecting(self, now: float) -> float:
        """Fail connections that are not established in time; return the seconds until the next check."""
        connecting = self._connecting
        while connecting and (connecting[0].connect_deadline <= now or not connecting[0].is_connecting):
            connecting.popleft().check_connect_timeout(now)
        # A new connection does not wake the reader: half the timeout bounds how late its failure is noticed.
        timeout = self._limits.connect_timeout / 2
        if connecting:
            timeout = min(timeout, connecting[0].connect_deadline - now)
        return timeout

    def _wait(self, timeout: float) -> list[tuple[int, int]]:
        """Wait up to `timeout` seconds for events; return each as a descriptor number and its event mask."""
        try:
            return self._poll.poll(timeout)
        except OSError:  # must not end the reader, as no reply would be read any more
            return []

    def _queue_for_writing(self, connection: ReplicaConnection) -> None:
        """Have the decision thread write to a connection. An empty report wakes it."""
        self._writable.append(connection)
        self._report([])

    # ---- the decision thread

    def start(self, batch: t.BatchRequest) -> bool:
        """Send a batch on an existing connection with room or on a new one; return False if none may be opened."""
        now = time.monotonic()
        if now - self._last_sweep >= _SWEEP_INTERVAL:
            self._sweep(now)
        for connection in self._by_address.get(batch.address, ()):
            if connection.can_take(len(batch.attempts), now) and connection.send_batch(batch, now):
                return True
        if self.count >= self._limits.max_connections and not self._ensure_capacity(now):
            return False
        try:
            connection = ReplicaConnection(
                batch.address,
                self._limits,
                self._report,
                self._decode_cell,
                self._queue_for_writing,
                self._poll,
                self._on_closed,
            )
        except OSError:  # out of descriptors; must not end the decision thread
            return False
        self._by_address.setdefault(batch.address, []).append(connection)
        self._by_number[connection.number] = connection
        connection.send_batch(batch, now)
        connection.connect()
        self._connecting.append(connection)
        return True

    def _ensure_capacity(self, now: float) -> bool:
        """Whether one more connection may be opened; at the limit the least recently used idle one is closed.

        Otherwise, with more replicas than connections allowed, a part would fail although idle connections exist.
        """
        self._sweep(now)
        live = [connection for connection in self._by_number.values() if not connection.broken]
        if len(live) >= self._limits.max_connections:
            idle = (connection for connection in live if not connection.in_flight)
            oldest = min(idle, key=lambda connection: connection.last_used, default=None)
            if oldest is None:
                return False
            oldest.fail(ReplicaCloseReason.EVICTED)
        return self.count < self._limits.max_connections + SPARE_DESCRIPTORS

    def maintain(self) -> None:
        """Write to the connections that have become writable."""
        while self._writable:
            self._writable.popleft().flush()

    def cancel(self, batch: t.BatchRequest) -> None:
        """Do nothing: each attempt of a batch is abandoned individually."""

    def abandon(
        self, batch: t.BatchRequest, attempt: t.AttemptRequest, notify_replica: bool, expired: bool
    ) -> None:
        """Stop waiting for an attempt. `notify_replica`: its replica is to cancel it; `expired`: it has expired."""
        if isinstance(batch.transport_token, ReplicaConnection):
            batch.transport_token.abandon(attempt, notify_replica, expired)

    def close_idle(self, address: tuple[str, int]) -> None:
        """Retire all connections to an address, also those with parts in flight: the next batch opens a new one."""
        for connection in self._by_address.get(address, ()):
            connection.retired = True
            if not connection.in_flight:
                connection.fail(ReplicaCloseReason.RETIRED)

    def close(self) -> None:
        """Shut down all connections."""
        self._closed = True
        for connection in self._by_number.values():
            connection.shut_down()

    def _sweep(self, now: float) -> None:
        """Close connections that are broken, retired or idle for too long."""
        self._last_sweep = now
        for address, connections in list(self._by_address.items()):
            remaining = [
                connection for connection in connections if not self._close_if_unused(connection, now)
            ]
            if remaining:
                self._by_address[address] = remaining
            else:
                del self._by_address[address]

    def _close_if_unused(self, connection: ReplicaConnection, now: float) -> bool:
        """Fail a retired or idle connection; close its socket, and return True, once no thread uses it."""
        idle_timeout = self._limits.idle_timeout
        if not connection.in_flight and (connection.retired or now - connection.last_used >= idle_timeout):
            connection.fail(ReplicaCloseReason.IDLE_TIMEOUT)
        if not connection.can_close_socket:
            return False
        del self._by_number[connection.number]
        with contextlib.suppress(OSError):
            connection.sock.close()
        return True
