"""Groups the attempts of one turn into batch requests by replica and codec. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping

from gingervane.coordinator import types as t
from gingervane.coordinator.driver_counts import Counts


class BatchAssembler:
    """Assembles batch requests. A batch accepts attempts until it is full or the next turn begins."""

    def __init__(self, max_parts: int, addresses: Mapping[int, tuple[str, int]], counts: Counts) -> None:
        """`addresses`: of replicas by id; read whenever a batch is created."""
        self._max_parts = max_parts
        self._addresses = addresses
        self._counts = counts
        self._next_id = 1
        self._batches: dict[tuple[int, int], t.BatchRequest] = {}  # by replica and identity of the codec

    def begin_turn(self) -> None:
        """Add no further attempts to the batches of the previous turn."""
        self._batches = {}

    def add(
        self, now: float, replica: int, codec: t.Codec, request: t.AttemptRequest, effects: list[t.Effect]
    ) -> t.BatchRequest:
        """Add an attempt to the open batch for its replica and codec, or to a new one if there is none with room."""
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
