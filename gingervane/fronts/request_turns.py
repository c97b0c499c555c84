"""The order in which complete requests are served: small new ones first. Free of I/O.

A client that sends large requests, or many without waiting for its replies, could otherwise delay all others by the
work that it asks for.
"""

from __future__ import annotations

from collections import deque

from gingervane.fronts.client_connection import ClientConnection

_PER_TURN = 2  # requests of each queue that are served in one turn
_MAX_PIPELINED = 32  # pipelined requests that are served at once
_MAX_LARGE_BYTES = 1 << 20  # of the large requests that are served at once
_WAIT_TIMEOUT = 0.1  # seconds that a request waits for its turn before it is refused


class _Queue:
    """Requests of one kind: those that wait, and what those that are served take of a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiting = deque[tuple[ClientConnection, int, float]]()  # with the size, and since when
        self._served = dict[ClientConnection, int]()  # size
        self._in_use = 0

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits."""
        return bool(self._waiting)

    @property
    def has_due(self) -> bool:
        """Whether a request waits that may be served now."""
        return bool(self._waiting) and self._in_use < self._limit

    def add(self, connection: ClientConnection, size: int, now: float) -> None:
        """Have a request wait that takes `size` of the limit."""
        self._waiting.append((connection, size, now))

    def take(self, now: float) -> list[ClientConnection]:
        """Remove and return the requests of this turn; those with `waited_too_long` are to be refused."""
        taken: list[ClientConnection] = []
        while self._waiting and len(taken) < _PER_TURN:
            connection, size, since = self._waiting[0]
            has_room = self._in_use < self._limit
            connection.waited_too_long = not has_room and now - since >= _WAIT_TIMEOUT
            if not has_room and not connection.waited_too_long:
                break
            self._waiting.popleft()
            self._served[connection] = size
            self._in_use += size
            taken.append(connection)
        return taken

    def finish(self, connection: ClientConnection) -> None:
        """Record that a request has been served, if it was taken from here."""
        self._in_use -= self._served.pop(connection, 0)


class RequestTurns:
    """The large and the pipelined requests that wait for their turn."""

    def __init__(self) -> None:
        self._large = _Queue(_MAX_LARGE_BYTES)
        self._pipelined = _Queue(_MAX_PIPELINED)

    @property
    def has_due(self) -> bool:
        """Whether a request may be served now."""
        return self._large.has_due or self._pipelined.has_due

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits."""
        return self._large.has_waiting or self._pipelined.has_waiting

    def add(self, connection: ClientConnection, now: float) -> bool:
        """Have a complete request wait if it is large or pipelined; return False if it need not."""
        connection.waited_too_long = False
        if connection.is_pipelined:
            self._pipelined.add(connection, 1, now)
        elif connection.input.is_large:
            self._large.add(connection, connection.input.held_bytes, now)
        else:
            return False
        return True

    def take(self, now: float) -> list[ClientConnection]:
        """Remove and return the connections whose requests are served, or refused, in this turn."""
        return self._large.take(now) + self._pipelined.take(now)

    def finish(self, connection: ClientConnection) -> None:
        """Record that a connection's request has been served, or that the connection is closed."""
        self._large.finish(connection)
        self._pipelined.finish(connection)
