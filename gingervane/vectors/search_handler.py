"""Searches: a search is sent to every shard, and the points that the shards return are merged.

The answer is complete or, for a client that sets `partial_response=true`, partial and marked with its
coverage.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.dispatch import DispatchResult, QueryDispatcher, QueryRequest
from gingervane.fronts.http_server import Exchange, Reply, expired_reply
from gingervane.fronts.routing import coverage_fields
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.limits.fair_queue import SlotRefused
from gingervane.vectors.codec import SearchCodec, ShardHits, ShardSearch
from gingervane.vectors.points import Collection
from gingervane.vectors.replies import rejection_reply, result_reply, unsuccessful_search_reply
from gingervane.vectors.request_context import (
    NAME,
    Execution,
    ExecutionParameters,
    VectorFrontSettings,
    VectorRequest,
)
from gingervane.vectors.requests import SearchRequest, read_search, read_searches
from gingervane.vectors.topk import merge_hits
from gingervane.writes.missed_writes import ShardKey
from gingervane.writes.quorum_writes import QuorumWrites

STALE_HEADER = "Gingervane-Stale-Shards"


class _SearchExecution(NamedTuple):
    """Searches of one request, and the format of their results."""

    searches: list[SearchRequest]
    collection: Collection
    parameters: ExecutionParameters
    arrived: float
    batch: bool  # return a list of results instead of one result
    in_object: bool  # return the points of a search as a field of an object instead of a list

    def format(self, results: list[list[dict[str, Any]]]) -> Any:
        """Return the results of all searches in the format that the client expects."""
        formatted: list[Any] = [{"points": points} for points in results] if self.in_object else results
        return formatted if self.batch else formatted[0]


class SearchHandler:
    """Reads and executes searches. `_lock` guards `stale_shard_count`."""

    def __init__(
        self,
        dispatcher: QueryDispatcher,
        writes: QuorumWrites,
        settings: VectorFrontSettings,
        gate: ConcurrencyLimit,
    ) -> None:
        """`writes` gives the acknowledged versions by which stale shards are detected."""
        self._dispatcher = dispatcher
        self._writes = writes
        self._settings = settings
        self._gate = gate
        self._codecs = {
            collection.name: SearchCodec(collection, settings.shard_count)
            for collection in settings.collections.values()
        }
        self._lock = threading.Lock()
        self.stale_shard_count = 0

    def default_class(self, _url_parameters: Mapping[str, str]) -> str:
        """Return the class of a search that names none."""
        return self._settings.search_class

    def read(
        self, request: VectorRequest, parameters: ExecutionParameters, batch: bool, in_object: bool
    ) -> Execution:
        """Read one search or a batch. `in_object`: return the points as a field of an object."""
        collection = request.collection
        limits = self._settings.request_limits
        if batch:
            searches = read_searches(request.body, collection, limits)
        else:
            searches = [read_search(request.body, collection, limits)]
        execution = _SearchExecution(searches, collection, parameters, request.arrived, batch, in_object)
        query = self._query(execution)

        def execute(client: Exchange) -> Reply:
            try:
                dispatched = self._dispatcher.dispatch(query, client)
            except Rejected as error:
                return rejection_reply(str(error), error.retry_after)
            if not self._has_answer(execution, dispatched.result):
                return unsuccessful_search_reply(dispatched.result)._replace(done=dispatched.release)
            try:
                with self._gate.slot(NAME, parameters.deadline, admit_always=True):
                    return self._answer(execution, dispatched)
            except SlotRefused:
                return expired_reply(dispatched.release)

        return execute

    def _query(self, execution: _SearchExecution) -> QueryRequest:
        shards = self._settings.shard_count
        bodies = tuple(search.body for search in execution.searches)
        parts = [t.PartPlan(shard, 1.0 / shards, ShardSearch(shard, bodies)) for shard in range(shards)]
        parameters = execution.parameters
        query_class = parameters.query_class
        return QueryRequest(
            parameters.class_name,
            query_class.partial_class if parameters.partial_allowed else query_class.strict_class,
            parts,
            self._codecs[execution.collection.name],
            execution.arrived,
            parameters.deadline,
        )

    def _has_answer(self, execution: _SearchExecution, result: t.QueryResult) -> bool:
        """Whether the result is an answer that the client accepts."""
        if result.status not in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL):
            return False
        return self._is_complete(result) or execution.parameters.partial_allowed

    def _is_complete(self, result: t.QueryResult) -> bool:
        """Whether the result has the hits of every shard."""
        shards = self._settings.shard_count
        return result.status is t.QueryStatus.COMPLETE and len(result.results) == shards

    def _answer(self, execution: _SearchExecution, dispatched: DispatchResult) -> Reply:
        """Return the reply with a complete or partial answer."""
        result = dispatched.result
        shards = self._settings.shard_count
        complete = self._is_complete(result)
        hits: dict[int, ShardHits] = result.results
        merged = [
            merge_hits(
                (shard_hits.lists[index] for shard_hits in hits.values()),
                search.offset,
                search.limit,
                execution.collection.greater_is_nearer,
            )
            for index, search in enumerate(execution.searches)
        ]
        missing = [f"s{shard}" for shard in range(shards) if shard not in hits]
        fields = coverage_fields(complete, result.coverage, missing)
        if stale := self._stale_shards(execution.collection, hits):
            fields.append((STALE_HEADER, ",".join(f"s{shard}" for shard in stale)))
        reply = result_reply(execution.format(merged), execution.arrived, fields)
        return reply._replace(result_expires_at=execution.parameters.deadline, done=dispatched.release)

    def _stale_shards(self, collection: Collection, hits: dict[int, ShardHits]) -> list[int]:
        """Return the shards whose replica lacks a write that this coordinator has acknowledged."""
        stale = [
            shard
            for shard, shard_hits in sorted(hits.items())
            if shard_hits.freshness < self._writes.acknowledged_version(ShardKey(collection.name, shard))
        ]
        with self._lock:
            self.stale_shard_count += len(stale)
        return stale
