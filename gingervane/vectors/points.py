"""Points and collections: ids, the shard that a point lives in, and the order that breaks ties. Free of I/O."""

from __future__ import annotations

import uuid
import zlib
from typing import Any, NamedTuple

PointId = int | str  # a whole number from 0, or a UUID


class RequestError(ValueError):
    """What is wrong with a request, and where."""


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
    """Return the shard that a point lives in: the same on every coordinator, and forever."""
    text = f"{point:020d}" if isinstance(point, int) else point
    return zlib.crc32(text.encode()) % shards


def read_id(value: Any, where: str) -> PointId:
    """Check an id, and return it in its canonical form. Raises RequestError."""
    if type(value) is int and 0 <= value < 1 << 64:
        return value
    if isinstance(value, str):
        try:
            return str(uuid.UUID(value))
        except ValueError:
            pass
    raise RequestError(f"{where}: {value!r:.60} is neither a whole number from 0 nor a UUID")


def order_of(point: PointId) -> tuple[bool, PointId]:
    """Return the sort key that breaks ties of score: numbers before UUIDs."""
    return isinstance(point, str), point
