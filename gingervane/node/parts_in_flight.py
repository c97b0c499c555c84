"""The parts that are in flight on one connection to a replica, and those abandoned there.

Changed under the connection's lock only, by the decision thread and the reader. The decision thread may read sizes
without the lock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gingervane.coordinator import types as t

_MAX_EXPIRED = 1024  # ids that are remembered


class PartInFlight(NamedTuple):
    """A part that was sent or waits to be sent, with the batch that it belongs to."""

    request: t.AttemptRequest
    batch: t.BatchRequest


class PartsInFlight:
    """Parts by id. An abandoned part keeps its stream until its time is over, as its replica may still run it."""

    def __init__(self, now: float) -> None:
        self.last_used = now  # when a batch was last added, or a reply last read
        self.by_id: dict[str, PartInFlight] = {}
        self._abandoned: dict[str, float] = {}  # id -> when its replica surely answers it no more
        self._expired = deque[str](maxlen=_MAX_EXPIRED)  # abandoned, and past that time

    @property
    def abandoned_count(self) -> int:
        """Number of abandoned parts that still take a stream."""
        return len(self._abandoned)

    @property
    def streams_used(self) -> int:
        """Number of streams that are taken."""
        return len(self.by_id) + len(self._abandoned)

    def add(self, batch: t.BatchRequest, now: float) -> None:
        """Add all parts of a batch."""
        for request in batch.attempts:
            self.by_id[request.content.id] = PartInFlight(request, batch)
        self.last_used = now

    def holds(self, request: t.AttemptRequest) -> bool:
        """Whether this very attempt is in flight, and not another of the same id."""
        part = self.by_id.get(request.content.id)
        return part is not None and part.request is request

    def remove_unsendable(self, batch: t.BatchRequest, sendable: set[str]) -> None:
        """Remove the parts of a batch that are not among the sendable ids."""
        for request in batch.attempts:
            if self.holds(request) and request.content.id not in sendable:
                del self.by_id[request.content.id]

    def abandon(self, part_id: str) -> None:
        """Stop waiting for a part."""
        part = self.by_id.pop(part_id)
        self._abandoned[part_id] = part.batch.expires_at

    def expire(self, now: float) -> None:
        """Free the streams of abandoned parts whose time is over.

        Guards against an answer that arrives later still and would pass for a protocol error: all that is in flight
        here would end with it.
        """
        self._expired.extend(part for part, until in self._abandoned.items() if until <= now)
        self._abandoned = {part: until for part, until in self._abandoned.items() if until > now}

    def pop_answered(self, part_id: str) -> tuple[PartInFlight | None, bool]:
        """Remove an answered part. Return it if it was in flight, and whether its id was known at all."""
        part = self.by_id.pop(part_id, None)
        is_known = bool(part) or self._abandoned.pop(part_id, None) is not None or part_id in self._expired
        return part, is_known

    def take_all(self) -> dict[str, PartInFlight]:
        """Return all parts in flight, and forget them."""
        parts = self.by_id
        self.by_id = {}
        return parts
