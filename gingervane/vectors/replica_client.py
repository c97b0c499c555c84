"""Client for the repair of vector nodes: requests the states of points, and copies points between nodes."""

from __future__ import annotations

import time
from typing import Any

import orjson

from gingervane.coordinator import types as t
from gingervane.vectors.codec import decode_result, encode_request
from gingervane.wire.http1 import ConnectionClosedError, HttpError
from gingervane.wire.pool import Pool, exchange
from gingervane.writes.missed_writes import ShardKey
from gingervane.writes.repair_plan import PointState
from gingervane.writes.shard_placement import ShardReplica

_REQUEST_TIMEOUT = 5.0  # seconds


class VectorReplicaClient:
    """A `ShardReplicaClient` over the daemon's connection pool, for the repairer's thread."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    def point_states(self, replica: ShardReplica, shard: ShardKey) -> dict[str, PointState] | None:
        """Return the states of a shard's points on a replica, by id as text; None without a valid reply."""
        states = self._request(replica, "GET", shard, "marks", None)
        if states is None:
            return None
        try:
            return {
                str(point): PointState(int(version), int(additions), int(digest))
                for point, (version, additions, digest) in states.items()
            }
        except (ValueError, TypeError, AttributeError):
            return None

    def copy_points(
        self, shard: ShardKey, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]
    ) -> int:
        """Copy points from one replica to another; return the number of points copied."""
        contents = self._request(source, "POST", shard, "fetch", {"points": points})
        if not isinstance(contents, list) or not contents:
            return 0
        stored = self._request(target, "POST", shard, "put", {"points": contents})
        return 0 if stored is None else len(contents)

    def _request(
        self, replica: ShardReplica, method: str, shard: ShardKey, operation: str, content: Any
    ) -> Any:
        """Return the result of a request, or None without a valid reply."""
        target = f"/collections/{shard.collection}/shards/{shard.shard}/{operation}"
        body = b"" if content is None else orjson.dumps(content)
        try:
            data = encode_request(method, target, replica.address, body, _REQUEST_TIMEOUT)
            deadline = time.monotonic() + _REQUEST_TIMEOUT
            status, headers, reply = exchange(self._pool, replica.address, data, deadline)
            return decode_result(status, headers.get, reply)
        except (OSError, ConnectionClosedError, HttpError, t.InvalidReply, ValueError):
            return None
