"""Points and collections: point ids, the shard of a point, and the order of equal scores. Free of I/O."""

from __future__ import annotations

import uuid
import zlib
from typing import Any, NamedTuple

PointId = int | str  # an integer from 0 to 2**64 - 1, or a UUID in canonical form


class RequestError(ValueError):
    """A request is malformed or unsupported. The message names the place in the request and the error."""


class Collection(NamedTuple):
    """A collection of points with vectors of `dims` numbers."""

    name: str
    dims: int
    distance: str  # Cosine, Dot or Euclid

    @property
    def greater_is_nearer(self) -> bool:
        """Whether a greater score means a nearer point, as for Cosine and Dot."""
        return self.distance != "Euclid"


def shard_of(point: PointId, shards: int) -> int:
    """Return the shard of a point. All coordinators and all releases must agree on it."""
    text = f"{point:020d}" if isinstance(point, int) else point
    return zlib.crc32(text.encode()) % shards


def read_id(value: Any, where: str) -> PointId:
    """Return a point id in its canonical form. Raises RequestError if it is invalid."""
    if type(value) is int and 0 <= value < 1 << 64:
        return value
    if isinstance(value, str):
        try:
            return str(uuid.UUID(value))
        except ValueError:
            pass
    raise RequestError(f"{where}: {value!r:.60} is neither a whole number from 0 nor a UUID")


def order_of(point: PointId) -> tuple[bool, PointId]:
    """Return the sort key of points with equal scores: integers come before UUIDs."""
    return isinstance(point, str), point
