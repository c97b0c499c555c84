"""The input of one client connection: bytes are received without waiting, charged to the memory budget, and parsed.

Its owner is the connection manager's polling thread while a request is being read. While a request is served, the
manager's lock guards it: what arrives then is kept for the next request, so that the end of the stream behind it is
noticed.
"""

from __future__ import annotations

import socket
from enum import Enum

from gingervane.limits.memory_budget import SMALL_REQUEST_BYTES, MemoryBudget, MemoryHolding, MemoryOwner
from gingervane.wire.http1_messages import HttpError, Limits
from gingervane.wire.http1_parser import ReceivedRequest, RequestParser
from gingervane.wire.local_failures import is_transient

_OVERHEAD_BYTES = 1536  # of a request in progress, in addition to its bytes
_FIELD_BYTES = 180  # of a header field as strings


class NoRoomError(HttpError):
    """The memory budget has no room for a request."""

    def __init__(self) -> None:
        super().__init__(503, "refused: no memory for this request")


class Received(Enum):
    """What became of an attempt to receive."""

    BYTES = 0
    NOTHING_YET = 1
    END = 2  # of the stream, or the connection is broken
    NO_ROOM = 3  # the budget has no room for more bytes; nothing was received


class ConnectionInput:
    """What a client has sent and what is not answered yet, within the limits of one request."""

    __slots__ = ("_holding", "_limits", "_parser", "_request_bytes")

    def __init__(self, limits: Limits, budget: MemoryBudget) -> None:
        self._limits = limits
        self._parser: RequestParser | None = None  # none while there are no bytes
        self._holding = MemoryHolding(budget, MemoryOwner.REQUESTS)
        self._request_bytes = 0  # of the request that is being served

    @property
    def held_bytes(self) -> int:
        """Bytes that are charged to the budget."""
        return self._holding.size

    @property
    def is_large(self) -> bool:
        """Whether the request in progress is larger than a small one."""
        return self._holding.size > SMALL_REQUEST_BYTES + _OVERHEAD_BYTES

    @property
    def has_buffered(self) -> bool:
        """Whether bytes of a further request have been received."""
        return self._parser is not None and self._parser.has_buffered

    @property
    def is_full(self) -> bool:
        """Whether the input behind the request that is being served has reached the size of one request."""
        buffered = len(self._parser.buffer) if self._parser else 0
        return buffered >= self._limits.head + self._limits.body

    @property
    def has_head(self) -> bool:
        """Whether the head of a request is complete, and its body is not."""
        return self._parser is not None and self._parser.head is not None

    def take_continue(self) -> bool:
        """Whether the client waits to be told to send its body; true once."""
        if self._parser is None or not self._parser.awaits_continue:
            return False
        self._parser.awaits_continue = False
        return True

    def receive(self, sock: socket.socket, scratch: memoryview, is_small: bool) -> Received:
        """Receive once, at most the size of `scratch`; `parse` charges what has arrived.

        `is_small`: see `MemoryHolding.resize`.
        """
        if self._parser is None:
            self._parser = RequestParser(self._limits)
        most = self._reserve(len(scratch), is_small)
        # Without room it matters all the same whether anything has arrived.
        flags = 0 if most else socket.MSG_PEEK
        try:
            count = sock.recv_into(scratch, most or 1, flags)
        except OSError as error:
            self._fit()
            return Received.NOTHING_YET if is_transient(error) else Received.END
        if count and not most:
            return Received.NO_ROOM
        self._parser.buffer += scratch[:count]
        return Received.BYTES if count else Received.END

    def _reserve(self, most: int, is_small: bool) -> int:
        """Reserve room for up to `most` bytes, fewer if the request stays small with them; return for how many."""
        size = self._size
        fewer = min(SMALL_REQUEST_BYTES + _OVERHEAD_BYTES - size, most)
        if self._holding.resize(size + most, is_small and fewer == most):
            return most
        if fewer > 0 and self._holding.resize(size + fewer, is_small):
            return fewer
        return 0

    def parse(self) -> ReceivedRequest | None:
        """Return the next request if it is complete. Raises HttpError, `NoRoomError` among them."""
        if self._parser is None:
            return None
        request = self._parser.advance()
        if request is not None:
            fields = len(request.head.headers.pairs)
            self._request_bytes = _OVERHEAD_BYTES + fields * _FIELD_BYTES + len(request.body)
        if not self._holding.resize(self._size):
            raise NoRoomError
        return request

    def release_request(self) -> None:
        """Release the request that has been served; bytes behind it stay."""
        self._request_bytes = 0
        if self._parser is not None and not self._parser.has_buffered:
            self._parser = None
        self._fit()

    def close(self) -> None:
        """Release everything."""
        if self._parser is not None:
            self._parser.close()
        self._parser = None
        self._request_bytes = 0
        self._holding.release()

    @property
    def _size(self) -> int:
        if self._parser is None:
            return self._request_bytes
        fields = len(self._parser.head.headers.pairs) if self._parser.head else 0
        return _OVERHEAD_BYTES + fields * _FIELD_BYTES + self._parser.held_bytes + self._request_bytes

    def _fit(self) -> None:
        """Charge what is held, which is no more than what is reserved."""
        self._holding.resize(min(self._size, self._holding.size))
