"""The vector front: Qdrant's REST API for search and point writes, over replicated shards.

Searches ask one holder of each shard, through a core of their own; writes ask every holder of each shard they touch,
through another, in which each holder is a part for itself. A search is answered whole or, to clients that ask with
`partial_response=true`, short, with its coverage. A write is acknowledged once `quorum` holders of each of its
shards have done it; the others are heard out, and what they then owe is repaired in the background and shows in
metrics.

Replies to writes: 200 done; 503 nothing of it ran, and asking again is harmless; 502 no promise; 409 the key may have
run and its window is over; 422 the key was used for another content.
"""

from __future__ import annotations

import hashlib
import threading
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import orjson

from gingervane.coordinator import types as t
from gingervane.coordinator.core import Rejected
from gingervane.writes.missed_writes import Place
from gingervane.coordinator.dispatch import QueryDispatcher, QueryRequest, DispatchResult
from gingervane.writes.idempotency import Do, State
from gingervane.writes.quorum_writes import Outcome, Work, QuorumWrites
from gingervane.fronts.routing import ClassOf, Route, coverage_fields, duration, flag, refusal_fields
from gingervane.fronts.http_server import Exchange, Reply
from gingervane.limits.fair_queue import QueueFull
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.vectors import points as reading
from gingervane.vectors.points import Bounds, Collection, RequestError, Search, Write
from gingervane.vectors.topk import merge
from gingervane.vectors.codec import KEY_HEADER, Hits, SearchExchange, ShardSearch, ShardWrite, WriteExchange
from gingervane.wire.http1 import HttpError, Request

NAME = "vectors"
_MOST_KEY = 200
DONE_HEADER, STALE_HEADER = "Gingervane-Holders-Done", "Gingervane-Stale-Shards"


class VectorSetting(NamedTuple):
    """What the front stands on. `quorum`: holders of a shard that must have done a write, of `width`."""

    collections: Mapping[str, Collection]
    shards: int
    width: int
    quorum: int
    search_class: str
    upsert_class: str
    add_class: str
    bounds: Bounds


_Then = Callable[[Exchange], Reply]  # what is left to do with a request that has been read


class _Ask(NamedTuple):
    """A request's parameters."""

    name: str  # of the class
    kind: ClassOf
    until: float
    partial: bool


class VectorFront:
    """Routes of the vector API."""

    def __init__(
        self,
        search: QueryDispatcher,
        writes: QuorumWrites,
        setting: VectorSetting,
        classes: dict[str, ClassOf],
        gate: ConcurrencyLimit,
    ) -> None:
        self._gate, self._longest = gate, max(kind.deadline for kind in classes.values())
        self._desk, self._writes, self._set, self._classes = search, writes, setting, classes
        self._exchanges = {c.name: SearchExchange(c, setting.shards) for c in setting.collections.values()}
        self._lock = threading.Lock()
        self._stale_shards = 0

    @property
    def counts(self) -> dict[str, int]:
        return {**self._writes.counts, "stale_shards": self._stale_shards}

    def routes(self) -> list[Route]:
        base = "/collections/{name}"
        return [
            Route("GET", base, self._describe),
            Route("POST", base + "/points/search", self._guard(self._search)),
            Route("POST", base + "/points/query", self._guard(self._query)),
            Route("POST", base + "/points/search/batch", self._guard(self._search_batch)),
            Route("POST", base + "/points/query/batch", self._guard(self._query_batch)),
            Route("PUT", base + "/points", self._guard(self._upsert)),
            Route("POST", base + "/points/payload", self._guard(self._payload)),
            Route("POST", base + "/points/delete", self._guard(self._delete)),
        ]

    # ---- requests

    def _guard(
        self,
        read: Callable[[Collection, dict[str, Any], Request, float], _Then],
    ) -> Callable[[Request, bytes, float, Exchange, dict[str, str]], Reply]:
        """Read in this front's turn, then do it; errors as the API says them."""

        def handle(
            request: Request, body: bytes, arrived: float, client: Exchange, words: dict[str, str]
        ) -> Reply:
            collection = self._set.collections.get(words["name"])
            if collection is None:
                return _error(404, f"Not found: Collection `{words['name']}` doesn't exist!")
            latest = arrived + self._longest
            try:
                with self._gate.slot(NAME, latest):
                    then = read(collection, reading.decode(body), request, arrived)
                return then(client)
            except QueueFull as error:
                return _refused(str(error), error.retry_after, latest)
            except RequestError as error:
                return _error(400, f"Wrong input: {error}")
            except HttpError as error:
                return _error(error.status, error.what)

        return handle

    def _ask_of(self, request: Request, arrived: float, default: str) -> _Ask:
        values = dict(parse_qsl(request.target.partition("?")[2], keep_blank_values=True))
        name = values.get("class", default)
        kind = self._classes.get(name)
        if kind is None or kind.semantics is not self._classes[default].semantics:
            raise HttpError(400, f"parameter class: {name!r} is no class for this", True)
        timeout = duration(values["timeout"], "parameter timeout") if "timeout" in values else kind.deadline
        partial = flag(values.get("partial_response", "0"), "parameter partial_response")
        return _Ask(name, kind, arrived + min(timeout, kind.deadline), partial)

    def _describe(
        self,
        request: Request,
        body: bytes,
        arrived: float,
        client: Exchange,
        words: dict[str, str],
    ) -> Reply:
        collection = self._set.collections.get(words["name"])
        if collection is None:
            return _error(404, f"Not found: Collection `{words['name']}` doesn't exist!")
        return _result(
            {
                "status": "green",
                "optimizer_status": "ok",
                "segments_count": self._set.shards,
                "payload_schema": {},
                "config": {
                    "params": {
                        "vectors": {"size": collection.dims, "distance": collection.distance},
                        "shard_number": self._set.shards,
                        "replication_factor": self._set.width,
                        "write_consistency_factor": self._set.quorum,
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
            },
            arrived,
        )

    # ---- search

    def _search(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        one = reading.read_search(body, collection, self._set.bounds)
        return self._find(collection, [one], request, arrived, lambda found: found[0])

    def _query(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        one = reading.read_search(body, collection, self._set.bounds)
        return self._find(collection, [one], request, arrived, lambda found: {"points": found[0]})

    def _search_batch(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        asked = reading.read_searches(body, collection, self._set.bounds)
        return self._find(collection, asked, request, arrived, lambda found: found)

    def _query_batch(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        asked = reading.read_searches(body, collection, self._set.bounds)
        return self._find(
            collection, asked, request, arrived, lambda found: [{"points": one} for one in found]
        )

    def _find(
        self,
        collection: Collection,
        asked: list[Search],
        request: Request,
        arrived: float,
        shape: Callable[[list[Any]], Any],
    ) -> _Then:
        """Ask every shard, and merge."""
        ask, shards = self._ask_of(request, arrived, self._set.search_class), self._set.shards
        bodies = tuple(one.body for one in asked)
        parts = [t.PartPlan(s, 1.0 / shards, ShardSearch(s, bodies)) for s in range(shards)]
        number = ask.kind.lenient if ask.partial else ask.kind.strict
        question = QueryRequest(ask.name, number, parts, self._exchanges[collection.name], arrived, ask.until)

        def then(client: Exchange) -> Reply:
            try:
                settled = self._desk.dispatch(question, client)
            except Rejected as error:
                return _refused(str(error), error.retry_after, ask.until)
            with self._gate.slot(NAME, ask.until, admit_always=True):
                return self._found(collection, asked, ask, settled, arrived, shape)

        return then

    def _found(
        self,
        collection: Collection,
        asked: list[Search],
        ask: _Ask,
        settled: DispatchResult,
        arrived: float,
        shape: Callable[[list[Any]], Any],
    ) -> Reply:
        """The reply to searches that have come to their end."""
        final, shards = settled.result, self._set.shards
        whole = final.status is t.QueryStatus.COMPLETE and len(final.results) == shards
        if final.status not in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL) or not (whole or ask.partial):
            reply = _not_answered(final, ask.until, proof=False)
            return reply._replace(done=settled.release)
        hits: dict[int, Hits] = final.results
        found = [
            merge((h.lists[i] for h in hits.values()), one.offset, one.limit, collection.greater_is_nearer)
            for i, one in enumerate(asked)
        ]
        missing = [f"s{s}" for s in range(shards) if s not in hits]
        fields = coverage_fields(whole, final.coverage, missing)
        if stale := self._stale(collection, hits):
            fields.append((STALE_HEADER, ",".join(f"s{s}" for s in stale)))
        return _result(shape(found), arrived, fields)._replace(until=ask.until, done=settled.release)

    def _stale(self, collection: Collection, hits: dict[int, Hits]) -> list[int]:
        """Shards whose answer came from a holder that lacks a write which this co-ordinator has acknowledged."""
        stale = [
            s for s, h in sorted(hits.items()) if h.freshness < self._writes.acked(Place(collection.name, s))
        ]
        with self._lock:
            self._stale_shards += len(stale)
        return stale

    # ---- writes

    def _upsert(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        write = reading.read_upsert(body, collection, self._set.bounds, self._set.shards)
        return self._keyed(collection, write, request, arrived)

    def _delete(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        return self._keyed(
            collection, reading.read_delete(body, self._set.bounds, self._set.shards), request, arrived
        )

    def _payload(
        self,
        collection: Collection,
        body: dict[str, Any],
        request: Request,
        arrived: float,
    ) -> _Then:
        values = dict(parse_qsl(request.target.partition("?")[2], keep_blank_values=True))
        add = flag(values.get("increment", "0"), "parameter increment")
        write = reading.read_payload(body, self._set.bounds, self._set.shards, add)
        if not add:
            return self._keyed(collection, write, request, arrived)
        # Additions have no key that replicas would know: each is sent again only on proof that it did not run.
        ask = self._ask_of(request, arrived, self._set.add_class)
        work = self._work(collection, write, ask)
        return lambda client: self._reply(self._writes.unkeyed(work), arrived, ask.until)

    def _keyed(self, collection: Collection, write: Write, request: Request, arrived: float) -> _Then:
        """A write that replicas know by its key."""
        ask = self._ask_of(request, arrived, self._set.upsert_class)
        key = request.headers.get(KEY_HEADER.lower())
        if len(key) > _MOST_KEY or not key.isascii():
            raise RequestError(f"header {KEY_HEADER}: more than {_MOST_KEY} characters, or not ASCII")
        digest = hashlib.blake2b(
            orjson.dumps([write.kind, sorted(write.by_shard.items())], option=orjson.OPT_SORT_KEYS),
            digest_size=16,
        ).hexdigest()
        name = f"{collection.name}/{key or uuid.uuid4().hex}"
        work = self._work(collection, write, ask)
        return lambda client: self._reply(self._writes.keyed(name, digest, work), arrived, ask.until)

    def _work(self, collection: Collection, write: Write, ask: _Ask) -> Work:
        contents = {
            shard: lambda holder, s=shard, b=body: ShardWrite(s, write.kind, b, holder)
            for shard, body in write.by_shard.items()
        }

        def exchange(key: str, version: int, acked: Callable[[int, int], None]) -> WriteExchange:
            return WriteExchange(collection, key, version, acked)

        return Work(collection.name, contents, exchange, ask.name, ask.kind.lenient, ask.until)

    def _reply(self, outcome: Outcome, arrived: float, until: float) -> Reply:
        match outcome.do:
            case Do.TOO_LATE:
                what = "may have run, and replicas no longer know its key: look before you write again"
                return _error(409, f"failed: {what}")._replace(until=until)
            case Do.MISMATCH:
                return _error(422, f"header {KEY_HEADER}: was used for another content")._replace(until=until)
            case Do.FULL:
                return _refused("too many keys are in their window", 1.0, until)
        match outcome.state:
            case State.DONE:
                fields = [(DONE_HEADER, f"{outcome.share:.3f}")]
                fields += [("Gingervane-Repeat", "yes")] if outcome.repeat else []
                result = {"operation_id": outcome.version, "status": "completed"}
                return _result(result, arrived, fields)._replace(until=until)
            case State.IDLE:
                return _refused(outcome.why, outcome.wait, until)
            case _:
                return _error(502, f"failed: {outcome.why}")._replace(until=until)


def _json(status: int, content: Any, fields: list[tuple[str, str]]) -> Reply:
    return Reply(status, [("Content-Type", "application/json"), *fields], orjson.dumps(content))


def _result(result: Any, arrived: float, fields: list[tuple[str, str]] | None = None) -> Reply:
    taken = round(time.monotonic() - arrived, 6)
    return _json(200, {"result": result, "status": "ok", "time": taken}, fields or [])


def _error(status: int, what: str, fields: tuple[tuple[str, str], ...] = ()) -> Reply:
    return _json(status, {"status": {"error": what}, "time": 0.0, "result": None}, list(fields))


def _refused(why: str, wait: float, until: float, proof: bool = True) -> Reply:
    return _error(503, f"refused: {why or 'refused'}", refusal_fields(wait, proof))._replace(until=until)


def _not_answered(final: t.QueryResult, until: float, proof: bool) -> Reply:
    if final.status is t.QueryStatus.REJECTED:
        return _refused(final.detail, final.retry_after, until, proof)
    return _error(502, f"failed: {final.detail or 'no answer in time'}")._replace(until=until)
