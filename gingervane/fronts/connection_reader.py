"""Reads the requests of client connections: bounded bytes of each in a turn, without waiting.

The polling thread calls, and takes the manager's lock to change a phase; `begin_request`, `begin_reading` and
`read_ahead` are called under the lock.
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections import deque
from collections.abc import Callable
from itertools import chain

from gingervane.fronts.client_connection import (
    ClientConnection,
    CloseReason,
    ConnectionLimits,
    Phase,
    has_unread_data,
)
from gingervane.fronts.connection_input import NoRoomError, Received
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connection_table import MAX_DISCARDED_BYTES, ConnectionTable
from gingervane.wire.http1_messages import HttpError
from gingervane.wire.local_failures import is_transient

_PROMPT_READS = 2  # of a request, before it waits behind those that have had fewer: its head, and its body
_PROMPT_READ_BYTES = 2048  # of each of those; most requests are smaller
_READ_BYTES = 16384  # of a request in each further read
_FURTHER_READS_PER_TURN = 4
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionReader:
    """Reads connections; `on_request` is called with one whose request is complete."""

    def __init__(
        self,
        limits: ConnectionLimits,
        table: ConnectionTable,
        poller: ConnectionPoller,
        lock: threading.Lock,
        on_request: Callable[[ClientConnection], None],
    ) -> None:
        self._limits = limits
        self._table = table
        self._poller = poller
        self._lock = lock
        self._on_request = on_request
        self._scratch = memoryview(bytearray(_READ_BYTES))  # of the polling thread
        self._locked_scratch = memoryview(bytearray(_PROMPT_READ_BYTES))  # for reading ahead
        self._further_reads = deque[ClientConnection]()  # readable, and read several times already

    @property
    def has_further_reads(self) -> bool:
        """Whether a connection waits for its next turn."""
        return bool(self._further_reads)

    def read_soon(self, connection: ClientConnection) -> None:
        """Read a connection that is readable: at once, or in a later turn if it has been read several times."""
        if connection.reads < _PROMPT_READS:
            self._read(connection, _PROMPT_READ_BYTES)
        else:
            self._further_reads.append(connection)

    def take_further_reads(self) -> list[ClientConnection]:
        """Remove and return the connections that are read in this turn."""
        return [
            self._further_reads.popleft()
            for _ in range(min(len(self._further_reads), _FURTHER_READS_PER_TURN))
        ]

    def read_further(self, connection: ClientConnection) -> None:
        """Read more of a request, unless its connection was closed meanwhile."""
        if connection.phase is Phase.READING:
            self._read(connection, _READ_BYTES)

    def begin_request(self, connection: ClientConnection) -> bool:
        """Begin to read an idle connection if it has unread data; return whether it does. Under the lock."""
        has_data = has_unread_data(connection.sock)
        if has_data is None:
            self._poller.arm(connection)
        elif not has_data:
            self._table.close_disconnected(connection)
        else:
            earliest = max(self._poller.events_since, connection.idle_since)
            if (
                connection in self._table.awaiting_first_byte
                and self._poller.events_since <= connection.idle_since
            ):
                earliest = connection.connected_since  # its data may have waited in the backlog with it
            connection.is_pipelined = False
            self.begin_reading(connection, earliest)
        return bool(has_data)

    def begin_reading(self, connection: ClientConnection, started: float) -> None:
        """Change the phase. `started`: earliest time at which the first byte may have arrived. Under the lock."""
        self._table.forget_groups(connection)
        connection.phase = Phase.READING
        connection.request_started = started
        connection.reads = 0
        connection.read_deadline = started + self._limits.head_timeout
        self._table.reading_head[connection] = None

    def _read(self, connection: ClientConnection, most: int) -> None:
        """Receive once up to `most` bytes on a connection that is being read, and parse what has arrived."""
        received = Received.BYTES
        connection.reads += 1
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
                self._table.close_disconnected(connection)

    def _parse(self, connection: ClientConnection) -> None:
        """Parse what has arrived; submit the request if it is complete, otherwise wait for more."""
        try:
            request = connection.input.parse()
        except HttpError as error:
            lacks_room = isinstance(error, NoRoomError)
            reason = CloseReason.OUT_OF_MEMORY if lacks_room else CloseReason.INVALID_REQUEST
            with self._lock:
                self._table.refuse(connection, error, reason)
            return
        if request is None:
            self._await_more(connection)
            return
        with self._lock:
            self._table.forget_groups(connection)
            connection.phase = Phase.ACTIVE
            connection.request_number += 1
            connection.awaits_reply = True
            connection.work = request
        self._on_request(connection)

    def _await_more(self, connection: ClientConnection) -> None:
        """Wait for more bytes of an incomplete request."""
        if connection.input.take_continue():
            # If it fails, the client sends the body all the same, or leaves.
            with contextlib.suppress(OSError):
                connection.sock.send(_CONTINUE)
        with self._lock:
            if connection.input.has_head and connection in self._table.reading_head:
                del self._table.reading_head[connection]
                self._table.reading_body[connection] = None
                connection.read_deadline = time.monotonic() + self._limits.body_timeout
            if connection.input.is_large:
                self._table.large[connection] = None
            self._poller.arm(connection)

    def _make_room(self, connection: ClientConnection) -> None:
        """Refuse the incomplete request that was begun first, of the large ones if there are any."""
        with self._lock:
            victim = next(
                chain(self._table.large, self._table.reading_body, self._table.reading_head), connection
            )
            self._table.refuse(victim, NoRoomError(), CloseReason.OUT_OF_MEMORY)
        if victim is not connection:
            self._further_reads.append(connection)

    def read_ahead(self, connection: ClientConnection) -> Received:
        """Receive what has arrived on an active connection, as far as it may be kept. Under the lock.

        Where it may not be kept, nobody can see any more whether the client has disconnected.
        """
        while not connection.is_unsupervised:
            if connection.discards_input:
                received = self._discard_once(connection)
            elif connection.input.is_full:
                received = Received.NO_ROOM
            else:
                received = connection.input.receive(connection.sock, self._locked_scratch, is_small=False)
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
