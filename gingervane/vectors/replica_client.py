"""How vector nodes are asked for marks of a shard, and points brought from one to another."""

from __future__ import annotations

import time
from typing import Any

import orjson

from gingervane.coordinator import types as t
from gingervane.writes.missed_writes import ShardKey
from gingervane.writes.repair_plan import PointState
from gingervane.writes.shard_placement import ShardReplica
from gingervane.vectors.codec import encode_request, decode_result
from gingervane.wire.http1 import Closed, HttpError
from gingervane.wire.pool import Pool, exchange

_PATIENCE = 5.0  # seconds for one call


class VectorReplicaClient:
    """Over the daemon's pool; on the repairer's thread."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    def point_states(self, holder: ShardReplica, place: ShardKey) -> dict[str, PointState] | None:
        found = self._call(holder, "GET", place, "marks", None)
        try:
            return (
                None
                if found is None
                else {str(n): PointState(int(v), int(ops), int(d)) for n, (v, ops, d) in found.items()}
            )
        except (ValueError, TypeError, AttributeError):
            return None

    def copy_points(
        self, place: ShardKey, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]
    ) -> int:
        found = self._call(source, "POST", place, "fetch", {"points": points})
        if not isinstance(found, list) or not found:
            return 0
        return len(found) if self._call(target, "POST", place, "put", {"points": found}) is not None else 0

    def _call(self, holder: ShardReplica, method: str, place: ShardKey, verb: str, content: Any) -> Any:
        """A reply's result; None if there was none, or none that makes sense."""
        target = f"/collections/{place.collection}/shards/{place.shard}/{verb}"
        body = b"" if content is None else orjson.dumps(content)
        try:
            data = encode_request(method, target, holder.address, body, _PATIENCE)
            status, headers, reply = exchange(self._pool, holder.address, data, time.monotonic() + _PATIENCE)
            return decode_result(status, headers.get, reply)
        except (OSError, Closed, HttpError, t.InvalidReply, ValueError):
            return None
