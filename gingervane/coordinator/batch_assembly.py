"""Groups the attempts of one turn into batch requests, one replica and one codec each. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping

from gingervane.coordinator import types as t
from gingervane.coordinator.driver_counts import Counts


class BatchAssembler:
    """Assembles batch requests. A batch takes attempts until it is full or the next turn begins."""

    def __init__(self, max_parts: int, addresses: Mapping[int, tuple[str, int]], counts: Counts) -> None:
        """`addresses`: of replicas, as they are when a batch is begun."""
        self._max_parts = max_parts
        self._addresses = addresses
        self._counts = counts
        self._next_id = 1
        self._batches: dict[tuple[int, int], t.BatchRequest] = {}  # by replica and identity of the codec

    def begin_turn(self) -> None:
        """Close the batches of the turn before."""
        self._batches = {}

    def add(
        self, now: float, replica: int, codec: t.Codec, request: t.AttemptRequest, effects: list[t.Effect]
    ) -> t.BatchRequest:
        """Add an attempt to the batch that it fits, or to a new one; the batch expires with its last attempt."""
        key = replica, id(codec)
        batch = self._batches.get(key)
        if batch is None or len(batch.attempts) >= self._max_parts:
            batch = self._create_batch(now, replica, codec, request.expires_at)
            self._batches[key] = batch
            effects.append(t.StartRequest(batch))
        batch.attempts.append(request)
        batch.expires_at = max(batch.expires_at, request.expires_at)
        batch.open_attempts += 1
        return batch

    def _create_batch(self, now: float, replica: int, codec: t.Codec, expires_at: float) -> t.BatchRequest:
        address = self._addresses[replica]
        batch = t.BatchRequest(self._next_id, replica, address, codec, [], expires_at, decided_at=now)
        self._next_id += 1
        self._counts.calls += 1
        return batch
