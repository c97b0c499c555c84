"""Writes of points: decoded, sent to all replicas of their shards, and answered after a quorum of executions.

Status of replies: 200, the write has completed; 503, no part of it was executed, and a retry is safe; 502,
the outcome is unknown; 409, the write may have been executed, and the window of its key has passed; 422, the
key was used with different content.
"""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Callable, Mapping

import orjson

from gingervane.fronts.http_server import Reply
from gingervane.fronts.routing import flag
from gingervane.vectors.codec import IDEMPOTENCY_KEY_HEADER, ShardWrite, WriteCodec
from gingervane.vectors.points import Collection, RequestError
from gingervane.vectors.replies import error_reply, failure_reply, rejection_reply, result_reply
from gingervane.vectors.request_context import (
    Execution,
    ExecutionParameters,
    VectorFrontSettings,
    VectorRequest,
)
from gingervane.vectors.requests import PointWrite, read_delete, read_payload, read_upsert
from gingervane.writes.idempotency import KeyAction, WriteState
from gingervane.writes.quorum_writes import QuorumWrites
from gingervane.writes.write_replication import ReplicatedWrite, WriteOutcome

REPLICATED_SHARE_HEADER = "Gingervane-Holders-Done"
REPLAYED_HEADER = "Gingervane-Repeat"

_MAX_KEY_LENGTH = 200  # characters
_DIGEST_BYTES = 16
_OVER_CAPACITY_RETRY_AFTER = 1.0  # seconds


class WriteHandler:
    """Reads and executes writes."""

    def __init__(self, writes: QuorumWrites, settings: VectorFrontSettings) -> None:
        self._writes = writes
        self._settings = settings

    def keyed_class(self, _url_parameters: Mapping[str, str]) -> str:
        """Return the class of a write that names none and whose repeats replicas drop."""
        return self._settings.upsert_class

    def payload_class(self, url_parameters: Mapping[str, str]) -> str:
        """Return the class of a change of payload that names none. Raises HttpError."""
        return self._settings.add_class if _is_increment(url_parameters) else self._settings.upsert_class

    def read_upsert(self, request: VectorRequest, parameters: ExecutionParameters) -> Execution:
        """Read points to insert or to replace."""
        settings = self._settings
        write = read_upsert(request.body, request.collection, settings.request_limits, settings.shard_count)
        return self._with_key(request, write, parameters)

    def read_delete(self, request: VectorRequest, parameters: ExecutionParameters) -> Execution:
        """Read points to delete."""
        write = read_delete(request.body, self._settings.request_limits, self._settings.shard_count)
        return self._with_key(request, write, parameters)

    def read_payload(self, request: VectorRequest, parameters: ExecutionParameters) -> Execution:
        """Read a payload to set or to increment.

        Replicas do not drop repeats of increments, so an increment is retried only on proof that it was not
        executed.
        """
        increment = _is_increment(request.url_parameters)
        write = read_payload(
            request.body, self._settings.request_limits, self._settings.shard_count, increment
        )
        if not increment:
            return self._with_key(request, write, parameters)
        replicated = _replicated_write(request.collection, write, parameters)
        return lambda _client: _reply(
            self._writes.write_without_key(replicated), request.arrived, parameters.deadline
        )

    def _with_key(
        self, request: VectorRequest, write: PointWrite, parameters: ExecutionParameters
    ) -> Execution:
        key = request.http.headers.get(IDEMPOTENCY_KEY_HEADER.lower())
        if len(key) > _MAX_KEY_LENGTH or not key.isascii():
            raise RequestError(
                f"header {IDEMPOTENCY_KEY_HEADER}: more than {_MAX_KEY_LENGTH} characters, or not ASCII"
            )
        digest = _digest(write)
        scoped_key = f"{request.collection.name}/{key or uuid.uuid4().hex}"
        replicated = _replicated_write(request.collection, write, parameters)
        return lambda _client: _reply(
            self._writes.write_with_key(scoped_key, digest, replicated),
            request.arrived,
            parameters.deadline,
        )


def _is_increment(url_parameters: Mapping[str, str]) -> bool:
    """Whether a change of payload adds to numbers; raises HttpError."""
    return flag(url_parameters.get("increment", "0"), "parameter increment")


def _digest(write: PointWrite) -> str:
    content = orjson.dumps([write.operation, sorted(write.by_shard.items())], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def _replicated_write(
    collection: Collection, write: PointWrite, parameters: ExecutionParameters
) -> ReplicatedWrite:
    content_by_shard = {
        shard: lambda replica, shard=shard, body=body: ShardWrite(shard, write.operation, body, replica)
        for shard, body in write.by_shard.items()
    }

    def make_codec(key: str, version: int, on_acknowledged: Callable[[int, int], None]) -> WriteCodec:
        return WriteCodec(collection, key, version, on_acknowledged)

    return ReplicatedWrite(
        collection.name,
        content_by_shard,
        make_codec,
        parameters.class_name,
        parameters.query_class.partial_class,
        parameters.deadline,
    )


def _reply(outcome: WriteOutcome, arrived: float, deadline: float) -> Reply:
    match outcome.action:
        case KeyAction.WINDOW_EXPIRED:
            detail = "may have run, and replicas no longer know its key: look before you write again"
            return error_reply(409, f"failed: {detail}")
        case KeyAction.KEY_REUSED:
            detail = f"header {IDEMPOTENCY_KEY_HEADER}: was used for another content"
            return error_reply(422, detail)
        case KeyAction.OVER_CAPACITY:
            return rejection_reply("too many keys are in their window", _OVER_CAPACITY_RETRY_AFTER)
    match outcome.state:
        case WriteState.COMPLETED:
            fields = [(REPLICATED_SHARE_HEADER, f"{outcome.replicated_share:.3f}")]
            if outcome.replayed:
                fields.append((REPLAYED_HEADER, "yes"))
            result = {"operation_id": outcome.version, "status": "completed"}
            return result_reply(result, arrived, fields)._replace(result_expires_at=deadline)
        case WriteState.NOT_EXECUTED:
            return rejection_reply(outcome.detail, outcome.retry_after)
        case _:
            return failure_reply(outcome.detail)
