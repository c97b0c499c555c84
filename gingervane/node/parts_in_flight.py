"""The parts in flight on one connection to a replica, and the parts abandoned there.

Changed only under the connection's lock, by the decision thread and the reader thread. The decision thread may read
sizes without the lock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gingervane.coordinator import types as t

_MAX_EXPIRED = 1024  # ids of expired parts that are kept


class PartInFlight(NamedTuple):
    """A part that was sent or waits to be sent, with its batch."""

    request: t.AttemptRequest
    batch: t.BatchRequest


class PartsInFlight:
    """Parts by id. An abandoned part occupies its stream until it expires, as the replica may still run it."""

    def __init__(self, now: float) -> None:
        self.last_used = now  # when a batch was last added or a reply last read
        self.by_id: dict[str, PartInFlight] = {}
        self._abandoned: dict[str, float] = {}  # id -> time after which the replica no longer answers it
        self._expired = deque[str](maxlen=_MAX_EXPIRED)  # ids of abandoned parts past that time

    @property
    def abandoned_count(self) -> int:
        """Number of abandoned parts that still occupy a stream."""
        return len(self._abandoned)

    @property
    def streams_used(self) -> int:
        """Number of occupied streams."""
        return len(self.by_id) + len(self._abandoned)

    def add(self, batch: t.BatchRequest, now: float) -> None:
        """Add all parts of a batch."""
        for request in batch.attempts:
            self.by_id[request.content.id] = PartInFlight(request, batch)
        self.last_used = now

    def holds(self, request: t.AttemptRequest) -> bool:
        """Whether this attempt is in flight, rather than another attempt with the same id."""
        part = self.by_id.get(request.content.id)
        return part is not None and part.request is request

    def remove_unsendable(self, batch: t.BatchRequest, sendable: set[str]) -> None:
        """Remove the parts of a batch whose ids are not in `sendable`."""
        for request in batch.attempts:
            if self.holds(request) and request.content.id not in sendable:
                del self.by_id[request.content.id]

    def abandon(self, part_id: str) -> None:
        """Stop waiting for a part; its stream stays occupied until the batch expires."""
        part = self.by_id.pop(part_id)
        self._abandoned[part_id] = part.batch.expires_at

    def expire(self, now: float) -> None:
        """Free the streams of expired abandoned parts.

        Their ids are kept, because an even later answer with an unknown id would count as a protocol error and fail
        all parts in flight on the connection.
        """
        self._expired.extend(part for part, expires_at in self._abandoned.items() if expires_at <= now)
        self._abandoned = {
            part: expires_at for part, expires_at in self._abandoned.items() if expires_at > now
        }

    def pop_answered(self, part_id: str) -> tuple[PartInFlight | None, bool]:
        """Remove an answered part. Return it, or None if it was not in flight, and whether its id is known."""
        part = self.by_id.pop(part_id, None)
        is_known = bool(part) or self._abandoned.pop(part_id, None) is not None or part_id in self._expired
        return part, is_known

    def take_all(self) -> dict[str, PartInFlight]:
        """Remove and return all parts in flight."""
        parts = self.by_id
        self.by_id = {}
        return parts
