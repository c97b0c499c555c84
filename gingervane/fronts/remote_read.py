"""The Prometheus remote read front: bytes to a plan of parts, and a final answer back to bytes.

A client that knows nothing of marks can never take a short answer for a whole one: answers that are not whole go
only to those who ask with `partial_response=true`, and then say what is missing in headers. For everybody else the
query runs in a strict twin of its class, in which the module does not settle for less.
"""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable, Sequence
from threading import Lock
from typing import NamedTuple
from urllib.parse import parse_qsl

from gingervane.coordinator import types as t
from gingervane.coordinator.core import QueryCoordinator, Rejected
from gingervane.coordinator.dispatch import QueryDispatcher, QueryRequest
from gingervane.fronts import http_server, subtree_codec
from gingervane.fronts.http_server import Reply, plain
from gingervane.fronts.leaf_codec import (
    CONTENT_TYPE,
    PATH,
    PATH_HEADER,
    VERSION,
    VERSION_HEADER,
    LeafContent,
    LeafQuery,
    RemoteReadCodec,
)
from gingervane.fronts.routing import (
    BEGAN_HEADER,
    FrontQueryClass,
    Route,
    bounded_header_value,
    coverage_fields,
    duration,
    flag,
    rejection,
)
from gingervane.fronts.shard_matching import PatternError, ShardIndex
from gingervane.interface import RetrySafety
from gingervane.limits.concurrency_limit import Gate
from gingervane.limits.fair_queue import QueueFull
from gingervane.merge import series as merging
from gingervane.tree import coverage, plan
from gingervane.tree.cost import CostModels
from gingervane.tree.subquery_context import LeafSubquery, SubqueryContext
from gingervane.tree.wide_query import CompletionRules as WideRules
from gingervane.tree.wide_query import WideQuery
from gingervane.tree.wide_query_runner import RunnerConfig, WideQueryRunner, leaf_results
from gingervane.wire import remote_read, snappy
from gingervane.wire.http1 import HttpError, Request
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read import Accepts, Match, Matcher, Query, Series

NAME = "remote_read"
_NO_TREE = plan.TreeLimits(1 << 30, 16, 1, 1, 16)
_NO_PEERS = plan.PeerCoordinators({}, frozenset())


class TreeConfig(NamedTuple):
    """What a co-ordinator that may cut queries has besides. `peers`: all others, as the list has them now."""

    subtree_coordinator: QueryCoordinator
    coordinator_name: str
    limits: plan.TreeLimits
    peers: Callable[[], plan.PeerCoordinators]


class FrontLimits(NamedTuple):
    """`message` bounds what is decompressed, in bytes."""

    message: int
    queries: int
    matchers: int


class _Work(NamedTuple):
    """A request that has been read."""

    params: _Params
    orders: SubqueryContext | None
    queries: Sequence[Query]
    parts: list[t.PartPlan]
    names: tuple[str, ...]  # of the parts' shards
    arrived: float
    until: float


class _Result(NamedTuple):
    """What a request came to, by whichever way. `held`: series by shard and number of the query."""

    status: t.QueryStatus
    held: dict[str, dict[int, list[Series]]]
    share: float
    retry_after: float
    why: str
    path: list[t.AttemptRecord]
    used: int
    done: Callable[[], None]


class RemoteReadFront:
    """Handles POST /api/v1/read."""

    def __init__(
        self,
        core: QueryCoordinator,
        shards: ShardIndex,
        classes: dict[str, FrontQueryClass],
        default_class: str,
        limits: FrontLimits,
        reply_bytes: int,
        keep_label: bool,
        gate: Gate,
        tree: TreeConfig | None = None,
    ) -> None:
        self._gate, self._longest = gate, max(kind.deadline for kind in classes.values())
        self._core, self._shards, self._classes, self._default = core, shards, classes, default_class
        self._limits, self._keep_label, self._tree = limits, keep_label, tree
        self._exchange = RemoteReadCodec(shards.label, reply_bytes)
        self._branch_exchange = subtree_codec.SubtreeCodec(shards.label, reply_bytes)
        self._desk, self._lock = QueryDispatcher(core, classes), Lock()
        self._costs = {name: CostModels() for name in classes}
        self._spin = itertools.count(random.SystemRandom().randrange(1 << 16))
        self.queries_split = 0  # queries that were cut into subtrees

    def routes(self) -> list[Route]:
        return [Route("POST", PATH, self.handle)]

    def handle(
        self,
        request: Request,
        body: bytes,
        arrived: float,
        client: http_server.Exchange,
        words: dict[str, str],
    ) -> Reply:
        """One request from its bytes to its reply."""
        latest = arrived + self._longest
        try:
            with self._gate.work(NAME, latest):
                work = self._read_work(request, body, arrived)
        except QueueFull as error:
            return rejection(error.retry_after, str(error), latest, proof=True)
        except HttpError as error:
            return plain(error.status, error.what)
        except PatternError as error:
            return plain(400, f"matchers: {error}")
        if not work.parts:
            return self._answer(work, _Result(t.QueryStatus.COMPLETE, {}, 1.0, 0.0, "", [], 0, lambda: None))
        reserve = self._desk.reserve(work.params.name, len(work.parts), work.until - work.arrived)
        task = self._task(work, work.until - reserve - time.monotonic())
        limits = self._tree.limits if self._tree else _NO_TREE
        name = self._tree.coordinator_name if self._tree else ""
        costs = self._costs[work.params.name]
        try:
            with self._lock:
                plan.admit(task, name, limits, costs)
                peers = self._tree.peers() if self._tree else _NO_PEERS
                free = plan.available_positions(peers, task.trail, limits)
                cut = plan.plan_query(task, free, next(self._spin), limits, costs)
        except plan.TaskRejectedError as error:
            if error.is_loop:
                return plain(508, str(error), fields=((BEGAN_HEADER, "no"),))
            return rejection(0.0, str(error), work.until, proof=True)
        try:
            if cut.subtrees and self._tree:
                result = self._ask_tree(work, task, cut, self._tree, client)
            else:
                result = self._ask_leaves(work, task, work.until - reserve, client)
        except Rejected as error:
            return rejection(error.retry_after, str(error), work.until, proof=True)
        try:
            with self._gate.work(NAME, work.until, must=True):
                return self._reply(work, result)
        except BaseException:
            result.done()
            raise

    def _read_work(self, request: Request, body: bytes, arrived: float) -> _Work:
        params = self._params(request.target)
        orders = subtree_codec.read_context(request.headers)
        queries = self._read(request, body)
        parts = self._parts(queries, [self._shards.matching_shards(query.matchers) for query in queries])
        deadline = self._classes[params.name].deadline
        until = arrived + min(params.timeout or deadline, deadline)
        names = tuple(part.content.leaf for part in parts)
        return _Work(params, orders, queries, parts, names, arrived, until)

    def _task(self, work: _Work, left: float) -> plan.QueryTask:
        if work.orders is not None:
            orders = work.orders
            return plan.QueryTask(
                work.names, left, orders.levels_left, orders.attempts_per_leaf, orders.trail
            )
        limits = self._tree.limits if self._tree else _NO_TREE
        return plan.QueryTask(work.names, left, limits.levels, limits.leaf_attempts)

    def _ask_leaves(
        self, work: _Work, task: plan.QueryTask, deadline: float, client: http_server.Exchange
    ) -> _Result:
        """Ask the leaves directly: the module decides all of it. Raises Refused."""
        kind = self._classes[work.params.name]
        if work.orders is None:
            number, parts = kind.partial_class if work.params.partial else kind.strict_class, work.parts
        else:
            number, parts = (
                kind.collecting_class,
                [part._replace(max_executions=task.attempts) for part in work.parts],
            )
        question = QueryRequest(work.params.name, number, parts, self._exchange, work.arrived, work.until)
        settled = self._desk.dispatch(question, client, deadline)
        final = settled.result
        if final.status is t.QueryStatus.COMPLETE:
            with self._lock:
                self._costs[work.params.name].flat.record(len(parts), settled.seconds)
        held, used = leaf_results(parts, final, _leaf_content)
        return _Result(
            final.status,
            held,
            final.coverage,
            final.retry_after,
            final.detail,
            final.attempts,
            used,
            settled.release,
        )

    def _ask_tree(
        self,
        work: _Work,
        task: plan.QueryTask,
        cut: plan.SubtreePlan,
        tree: TreeConfig,
        client: http_server.Exchange,
    ) -> _Result:
        """Ask through child co-ordinators, and around those that fail."""
        kind, name = self._classes[work.params.name], work.params.name
        self.queries_split += 1
        least = kind.required_share if work.params.partial else 1.0
        rules = WideRules(kind.retry_safety, least, accepts_any_share=work.orders is not None)
        query = WideQuery(task, rules, tree.limits, self._costs[name], cut)
        setting = RunnerConfig(
            self._core,
            tree.subtree_coordinator,
            self._exchange,
            self._branch_exchange,
            tree.coordinator_name,
            name,
            kind.collecting_class,
            kind.subtree_class,
        )
        by_name = dict(zip(work.names, work.parts, strict=True))
        asked = [
            (
                q,
                frozenset(
                    n for n, part in by_name.items() if any(a.query_index == i for a in part.content.queries)
                ),
            )
            for i, q in enumerate(work.queries)
        ]
        run = WideQueryRunner(query, setting, asked, by_name.__getitem__, _leaf_content)
        client.watch(run.client_disconnected)
        outcome = run.run()
        settled, finish = time.monotonic(), outcome.result
        return _Result(
            finish.status,
            outcome.results_by_leaf,
            finish.share,
            finish.retry_after,
            outcome.detail,
            outcome.attempts,
            finish.attempts_used,
            lambda: self._desk.learn(name, len(work.parts), settled),
        )

    def _params(self, target: str) -> _Params:
        values = dict(parse_qsl(target.partition("?")[2], keep_blank_values=True))
        name = values.get("class", self._default)
        if name not in self._classes:
            raise HttpError(400, f"parameter class: {name!r} is not one of {', '.join(self._classes)}", True)
        timeout = duration(values["timeout"], "parameter timeout") if "timeout" in values else None
        partial, path = (
            flag(values.get(key, "0"), f"parameter {key}") for key in ("partial_response", "path")
        )
        return _Params(name, timeout, partial, path)

    def _read(self, request: Request, body: bytes) -> Sequence[Query]:
        headers = request.headers
        kind = headers.get("content-type", CONTENT_TYPE).partition(";")[0].strip().lower()
        if kind != CONTENT_TYPE:
            raise HttpError(415, f"header Content-Type: {kind!r} is not {CONTENT_TYPE}", True)
        if headers.get("content-encoding", "snappy").lower() != "snappy":
            raise HttpError(415, "header Content-Encoding: only snappy is spoken here", True)
        version = headers.get(VERSION_HEADER.lower(), VERSION)
        if not version.startswith("0.1."):
            raise HttpError(400, f"header {VERSION_HEADER}: {version!r} is not 0.1.x", True)
        try:
            read = remote_read.read_request(
                snappy.decompress(body, self._limits.message), self._limits.queries, self._limits.matchers
            )
        except snappy.SnappyError as error:
            raise HttpError(400, f"body: snappy: {error}", True) from None
        except ProtobufError as error:
            raise HttpError(400, f"body: {error}", True) from None
        if read.accepts and Accepts.SAMPLES not in read.accepts:
            raise HttpError(406, "accepted_response_types: only SAMPLES can be sent", True)
        return read.queries

    def _parts(self, queries: Sequence[Query], touched: list[list[int]]) -> list[t.PartPlan]:
        """A part for each shard that any query touches, holding all queries that do."""
        by_shard: dict[int, list[LeafQuery]] = {}
        label = self._shards.label
        for index, (query, shards) in enumerate(zip(queries, touched, strict=True)):
            others = tuple(m for m in query.matchers if m.name != label)
            for shard in shards:
                # The shard's name satisfies every matcher on its label: one that names it stands for them all.
                mine = Matcher(Match.EQUAL, label, self._shards.names[shard])
                body = remote_read.write_query(query._replace(matchers=(*others, mine)))
                by_shard.setdefault(shard, []).append(LeafQuery(index, body, query.start_ms, query.end_ms))
        weight = 1.0 / max(len(by_shard), 1)
        return [
            t.PartPlan(shard, weight, LeafContent(self._shards.names[shard], tuple(asked)))
            for shard, asked in sorted(by_shard.items())
        ]

    def _reply(self, work: _Work, result: _Result) -> Reply:
        match result.status:
            case t.QueryStatus.COMPLETE:
                return self._answer(work, result)
            case t.QueryStatus.PARTIAL if work.params.partial:
                return self._answer(work, result)
            case t.QueryStatus.REJECTED:
                # A class that is not safe to repeat is refused only on proof that nothing of it ran.
                proof = self._classes[work.params.name].retry_safety is not RetrySafety.IDEMPOTENT
                return rejection(result.retry_after, result.why or "refused", work.until, result.done, proof)
            case _:
                why = f"failed: {result.why or 'no answer in time'}"
                return plain(502, why)._replace(until=work.until, done=result.done)

    def _answer(self, work: _Work, result: _Result) -> Reply:
        by_query: list[list[list[Series]]] = [[] for _ in work.queries]
        for by_number in result.held.values():
            for number, found in by_number.items():
                by_query[number].append(found)
        if not self._keep_label and work.orders is None:
            strip = self._shards.label
            by_query = [[[merging.without_label(s, strip) for s in p] for p in q] for q in by_query]
        body = snappy.compress(remote_read.write_response(merging.merge(found) for found in by_query))
        whole = result.status is t.QueryStatus.COMPLETE
        fields = [
            ("Content-Type", CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            *coverage_fields(whole, result.share, (name for name in work.names if name not in result.held)),
        ]
        if work.orders is not None:
            counts = {
                name: sum(len(found) for found in by_number.values())
                for name, by_number in result.held.items()
            }
            bitmap, runs = coverage.encode(sorted(work.names), counts)
            fields += [
                (subtree_codec.LEAVES, bitmap),
                (subtree_codec.COUNTS, runs),
                (subtree_codec.USED, str(result.used)),
            ]
        if work.params.path:
            fields.append((PATH_HEADER, bounded_header_value([self._step(note) for note in result.path])))
        return Reply(200, fields, body, until=work.until, done=result.done)

    def _step(self, note: t.AttemptRecord) -> str:
        names = self._shards.names
        name = names[note.shard] if note.shard < len(names) else str(note.shard)
        return f"{name}/{note.attempt}/{note.replica}/{note.outcome}/{note.seconds * 1000:.1f}"


class _Params(NamedTuple):
    name: str
    timeout: float | None
    partial: bool
    path: bool


def _leaf_content(tile: LeafContent) -> LeafSubquery:
    return LeafSubquery(tile.leaf, tuple(asked.query_index for asked in tile.queries))
