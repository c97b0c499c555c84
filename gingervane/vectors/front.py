"""The vector front: Qdrant's REST API for search and point writes, over replicated shards.

Searches (`search_handler`) are sent to one replica of each shard, through a coordinator of their own. Writes
(`write_handler`) are sent to every replica of each of their shards, through a second coordinator, with one
part per replica. Missed writes are repaired in the background and counted in metrics.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple

from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.fronts.http_server import Exchange, Reply
from gingervane.fronts.routing import FrontQueryClass, Route
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.limits.fair_queue import SlotRefused
from gingervane.vectors.points import Collection, RequestError
from gingervane.vectors.replies import collection_not_found, error_reply, rejection_reply, result_reply
from gingervane.vectors.request_context import (
    NAME,
    Execution,
    ExecutionParameters,
    VectorFrontSettings,
    VectorRequest,
    read_parameters,
    read_url_parameters,
)
from gingervane.vectors.requests import decode
from gingervane.vectors.search_handler import SearchHandler
from gingervane.vectors.write_handler import WriteHandler
from gingervane.wire.http1 import HttpError, Request
from gingervane.writes.quorum_writes import QuorumWrites

__all__ = ["NAME", "VectorFront"]


class _Operation(NamedTuple):
    """An operation on the points of a collection."""

    method: str
    path: str  # below that of the collection
    read: Callable[[VectorRequest, ExecutionParameters], Execution]
    default_class: Callable[[Mapping[str, str]], str]  # for these URL parameters; may raise HttpError


class VectorFront:
    """Routes of the vector API."""

    def __init__(
        self,
        dispatcher: QueryDispatcher,
        writes: QuorumWrites,
        settings: VectorFrontSettings,
        classes: dict[str, FrontQueryClass],
        gate: ConcurrencyLimit,
    ) -> None:
        """`dispatcher` is that of the coordinator of searches."""
        self._writes = writes
        self._settings = settings
        self._gate = gate
        self._classes = classes
        self._search_handler = SearchHandler(dispatcher, writes, settings, gate)
        self._write_handler = WriteHandler(writes, settings)

    @property
    def counts(self) -> dict[str, int]:
        """Counts by metric name."""
        return {**self._writes.counts, "stale_shards": self._search_handler.stale_shard_count}

    def routes(self) -> list[Route]:
        """Return the routes that this front serves."""
        base = "/collections/{name}"
        search = self._search_handler.read
        writes = self._write_handler
        search_class = self._search_handler.default_class
        operations = [
            _Operation("POST", "/points/search", partial(search, batch=False, in_object=False), search_class),
            _Operation("POST", "/points/query", partial(search, batch=False, in_object=True), search_class),
            _Operation(
                "POST", "/points/search/batch", partial(search, batch=True, in_object=False), search_class
            ),
            _Operation(
                "POST", "/points/query/batch", partial(search, batch=True, in_object=True), search_class
            ),
            _Operation("PUT", "/points", writes.read_upsert, writes.keyed_class),
            _Operation("POST", "/points/payload", writes.read_payload, writes.payload_class),
            _Operation("POST", "/points/delete", writes.read_delete, writes.keyed_class),
        ]
        return [
            Route("GET", base, self._describe),
            *(
                Route(operation.method, base + operation.path, self._handler(operation))
                for operation in operations
            ),
        ]

    def _handler(
        self, operation: _Operation
    ) -> Callable[[Request, bytes, float, Exchange, dict[str, str]], Reply]:
        """Return a handler that decodes a request in a slot of `gate`, executes it, and replies to errors."""

        def handle(
            request: Request, body: bytes, arrived: float, client: Exchange, path_parameters: dict[str, str]
        ) -> Reply:
            collection = self._settings.collections.get(path_parameters["name"])
            if collection is None:
                return collection_not_found(path_parameters["name"])
            try:
                # Known before the wait for a slot, which ends with the caller's time.
                values = read_url_parameters(request)
                default_class = operation.default_class(values)
                parameters = read_parameters(values, arrived, self._classes, default_class)
                with self._gate.slot(NAME, parameters.deadline):
                    vector_request = VectorRequest(collection, decode(body), request, values, arrived)
                    execute = operation.read(vector_request, parameters)
                return execute(client)
            except SlotRefused as error:
                return rejection_reply(str(error), error.retry_after)
            except RequestError as error:
                return error_reply(400, f"Wrong input: {error}")
            except HttpError as error:
                return error_reply(error.status, error.detail)

        return handle

    def _describe(
        self,
        _request: Request,
        _body: bytes,
        arrived: float,
        _client: Exchange,
        path_parameters: dict[str, str],
    ) -> Reply:
        collection = self._settings.collections.get(path_parameters["name"])
        if collection is None:
            return collection_not_found(path_parameters["name"])
        return result_reply(_description(collection, self._settings), arrived)


def _description(collection: Collection, settings: VectorFrontSettings) -> dict[str, Any]:
    """Return the API's description of a collection, with Qdrant's values in fields without a meaning here."""
    return {
        "status": "green",
        "optimizer_status": "ok",
        "segments_count": settings.shard_count,
        "payload_schema": {},
        "config": {
            "params": {
                "vectors": {"size": collection.dims, "distance": collection.distance},
                "shard_number": settings.shard_count,
                "replication_factor": settings.replication_factor,
                "write_consistency_factor": settings.write_quorum,
                "on_disk_payload": False,
            },
            "hnsw_config": {"m": 0, "ef_construct": 100, "full_scan_threshold": 10000},
            "optimizer_config": {
                "deleted_threshold": 0.2,
                "vacuum_min_vector_number": 1000,
                "default_segment_number": 0,
                "flush_interval_sec": 5,
            },
            "wal_config": {"wal_capacity_mb": 32, "wal_segments_ahead": 0},
        },
    }
