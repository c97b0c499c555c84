"""The ids of requests that are open, and of those that must not be executed again. Free of I/O.

The id of a request whose effect may not be repeated is held after the request has ended, unless it is proved that
no attempt of it ran: its client may have left and send it again while an attempt is still running. Held ids are
bounded in number. The oldest gives way once no attempt of it can be running any more; until then, further requests of
that kind are refused.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from threading import Lock

MAX_HELD_IDS = 4096  # about 150 bytes each


class IdState(Enum):
    """What is known of the id of a request that arrives. The values are labels of a counter."""

    NEW = "new"
    OPEN = "id is open"
    HELD = "id may have run"
    NO_ROOM = "held ids are full"  # for another id of a request whose effect may not be repeated


class RequestIds:
    """Open and held ids; any thread may call. Times are seconds on the monotonic clock."""

    def __init__(self, max_held: int = MAX_HELD_IDS) -> None:
        self._max_held = max_held
        self._lock = Lock()
        self._open = dict[str, bool]()  # id -> whether it is held if an attempt may have run
        self._held = OrderedDict[str, float]()  # id -> when its last attempt has ended at the latest
        self._reserved = 0  # open ids that may become held

    @property
    def held_count(self) -> int:
        """Number of held ids."""
        return len(self._held)

    def begin(self, request_id: str, repeatable: bool, now: float) -> IdState:
        """Open an id if it is new. `repeatable`: the request may be executed twice."""
        with self._lock:
            if request_id in self._open:
                return IdState.OPEN
            if request_id in self._held:
                return IdState.HELD
            if not repeatable and not self._reserve(now):
                return IdState.NO_ROOM
            self._open[request_id] = not repeatable
        return IdState.NEW

    def end(self, request_id: str, may_have_run: bool, runs_until: float) -> None:
        """Close an open id. `runs_until`: when no attempt of the request can be running any more."""
        with self._lock:
            if not self._open.pop(request_id, False):
                return
            self._reserved -= 1
            if may_have_run:
                self._held[request_id] = runs_until

    def _reserve(self, now: float) -> bool:
        """Reserve room for an id that may become held; return whether there is any."""
        if len(self._held) + self._reserved >= self._max_held:
            oldest = next(iter(self._held), None)
            if oldest is None or self._held[oldest] > now:
                return False
            del self._held[oldest]
        self._reserved += 1
        return True
