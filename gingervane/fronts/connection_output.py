"""The reply of one client connection, as far as the client's connection has not taken it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gingervane.limits.memory_budget import MemoryHolding
from gingervane.wire.local_failures import is_transient


class NextStep(Enum):
    """What the manager does with a connection once its request has been served."""

    KEEP_ALIVE = 0
    CLOSE = 1  # shut down the sending side first, so that the client reads its last reply
    DISCONNECTED = 2  # close at once, as reading or writing failed
    REPLY_LATER = 3  # the reply comes from another thread, which calls `resume`
    WRITING = 4  # the client has not taken all of the reply yet


class Sent(Enum):
    """What became of an attempt to send."""

    ALL = 0
    PARTLY = 1
    FAILED = 2  # the connection is broken


class ReplyEnd(NamedTuple):
    """What follows a reply: the next step of its connection, and what is called once it is written or has failed."""

    next_step: NextStep
    done: Callable[[], None]


class UnsentReply:
    """The rest of a reply. Released once, by whoever takes the connection out of its phase."""

    __slots__ = ("_data", "_holding", "deadline", "done")

    def __init__(
        self, data: bytes, deadline: float, holding: MemoryHolding, done: Callable[[], None]
    ) -> None:
        """`deadline`: by which the client has to take it; `done`: called once it is written or has failed."""
        self._data = memoryview(data)
        self._holding = holding
        self.deadline = deadline
        self.done = done

    def send(self, sock: socket.socket) -> Sent:
        """Send as much as the connection takes without waiting."""
        while self._data:
            try:
                self._data = self._data[sock.send(self._data) :]
            except OSError as error:
                return Sent.PARTLY if is_transient(error) else Sent.FAILED
        return Sent.ALL

    def reserve(self) -> bool:
        """Charge the rest to the memory budget; return whether it has room."""
        return self._holding.resize(len(self._data), is_small=False)

    def release(self) -> None:
        """Give up the rest, and report that the reply is over."""
        self._data = memoryview(b"")
        self._holding.release()
        done, self.done = self.done, _ignore
        done()


def _ignore() -> None:
    """Do nothing."""
