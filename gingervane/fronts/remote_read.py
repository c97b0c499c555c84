"""The Prometheus remote read front: plans a request, queries its leaves or children, and replies.

A client that does not know the coverage headers must not take a partial answer for a complete one. So partial
answers go only to clients that send `partial_response=true`, with headers that name what is missing. For all
other clients the query runs in a strict variant of its class, for which the decision engine requires all
parts.
"""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.dispatch import QueryDispatcher, QueryRequest
from gingervane.fronts import http_server
from gingervane.fronts.http_server import Reply, expired_reply, plain
from gingervane.fronts.leaf_codec import PATH, LeafContent, RemoteReadCodec
from gingervane.fronts.read_reply import ReadReplyEncoder, ReadResult, has_answer, unsuccessful_reply
from gingervane.fronts.read_request import FrontLimits, ReadRequest, ReadRequestParser
from gingervane.fronts.routing import BEGAN_HEADER, FrontQueryClass, Route, rejection
from gingervane.fronts.shard_matching import PatternError, ShardIndex
from gingervane.fronts.subtree_codec import SubtreeCodec
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.limits.fair_queue import SlotRefused
from gingervane.tree import plan
from gingervane.tree.cost import CostModels
from gingervane.tree.subquery_context import LeafSubquery
from gingervane.tree.wide_query import CompletionRules, WideQuery
from gingervane.tree.wide_query_runner import RunnerConfig, WideQueryRunner, leaf_results
from gingervane.wire.http1 import HttpError, Request

NAME = "remote_read"
_NO_TREE = plan.TreeLimits(fan_out=1 << 30, levels=16, ring_size=1, placement_width=1, leaf_attempts=16)
_NO_PEERS = plan.PeerCoordinators({}, frozenset())


class TreeConfig(NamedTuple):
    """What a co-ordinator needs in addition to split queries into subtrees."""

    subtree_coordinator: QueryCoordinator
    coordinator_name: str
    limits: plan.TreeLimits
    peers: Callable[[], plan.PeerCoordinators]  # returns all others in the current endpoint list


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
        gate: ConcurrencyLimit,
        tree: TreeConfig | None = None,
    ) -> None:
        self._core = core
        self._classes = classes
        self._gate = gate
        self._tree = tree
        self._tree_limits = tree.limits if tree else _NO_TREE
        self._parser = ReadRequestParser(shards, classes, default_class, limits)
        self._reply_encoder = ReadReplyEncoder(shards, keep_label)
        self._leaf_codec = RemoteReadCodec(shards.label, reply_bytes)
        self._subtree_codec = SubtreeCodec(shards.label, reply_bytes)
        self._dispatcher = QueryDispatcher(core, classes)
        self._lock = Lock()  # guards the cost models and the planning
        self._costs = {name: CostModels() for name in classes}
        self._rotation = itertools.count(random.SystemRandom().randrange(1 << 16))
        self.queries_split = 0  # queries that were split into subtrees

    def routes(self) -> list[Route]:
        """Return the routes of this front."""
        return [Route("POST", PATH, self.handle)]

    def handle(
        self,
        request: Request,
        body: bytes,
        arrived: float,
        client: http_server.Exchange,
        path_parameters: dict[str, str],  # noqa: ARG002 - required by Route.handle
    ) -> Reply:
        """Parse and run one request, and return its reply."""
        try:
            # Known before the wait for a slot, which ends with the caller's time.
            parameters = self._parser.read_parameters(request.target)
            with self._gate.slot(NAME, self._parser.deadline(parameters, arrived)):
                read_request = self._parser.parse(request, body, arrived, parameters)
        except SlotRefused as error:
            return rejection(error.retry_after, str(error), proof=True)
        except HttpError as error:
            return plain(error.status, error.detail)
        except PatternError as error:
            return plain(400, f"matchers: {error}")
        if not read_request.parts:
            empty_result = ReadResult(t.QueryStatus.COMPLETE, {}, 1.0, 0.0, "", [], 0, lambda: None)
            return self._reply_encoder.answer(read_request, empty_result)
        return self._run(read_request, client)

    def _run(self, request: ReadRequest, client: http_server.Exchange) -> Reply:
        """Plan the query, run it, and encode its result."""
        name = request.parameters.query_class
        reserve = self._dispatcher.reserve(name, len(request.parts), request.deadline - request.arrived)
        task = self._task(request, request.deadline - reserve - time.monotonic())
        try:
            subtree_plan = self._plan(task, self._costs[name])
        except plan.TaskRejectedError as error:
            if error.is_loop:
                return plain(508, str(error), fields=((BEGAN_HEADER, "no"),))
            return rejection(0.0, str(error), proof=True)
        try:
            if subtree_plan.subtrees and self._tree:
                result = self._query_subtrees(request, task, subtree_plan, self._tree, client)
            else:
                result = self._query_leaves(request, task, request.deadline - reserve, client)
        except Rejected as error:
            return rejection(error.retry_after, str(error), proof=True)
        if not has_answer(request, result):
            return unsuccessful_reply(result, self._classes[name].retry_safety)
        try:
            with self._gate.slot(NAME, request.deadline, admit_always=True):
                return self._reply_encoder.answer(request, result)
        except SlotRefused:
            return expired_reply(result.release)
        except BaseException:
            result.release()
            raise

    def _task(self, request: ReadRequest, seconds_left: float) -> plan.QueryTask:
        context = request.context
        if context is not None:
            return plan.QueryTask(
                request.leaves, seconds_left, context.levels_left, context.attempts_per_leaf, context.trail
            )
        limits = self._tree_limits
        return plan.QueryTask(request.leaves, seconds_left, limits.levels, limits.leaf_attempts)

    def _plan(self, task: plan.QueryTask, costs: CostModels) -> plan.SubtreePlan:
        """Admit a task and plan it. Raises TaskRejectedError."""
        name = self._tree.coordinator_name if self._tree else ""
        limits = self._tree_limits
        with self._lock:
            plan.admit(task, name, limits, costs)
            peers = self._tree.peers() if self._tree else _NO_PEERS
            positions = plan.available_positions(peers, task.trail, limits)
            return plan.plan_query(task, positions, next(self._rotation), limits, costs)

    def _query_leaves(
        self, request: ReadRequest, task: plan.QueryTask, deadline: float, client: http_server.Exchange
    ) -> ReadResult:
        """Query the leaves directly through the decision engine. Raises Rejected."""
        name = request.parameters.query_class
        query_class = self._classes[name]
        parts = request.parts
        if request.context is not None:
            class_index = query_class.collecting_class
            parts = [part._replace(max_executions=task.attempts) for part in parts]
        elif request.parameters.partial_allowed:
            class_index = query_class.partial_class
        else:
            class_index = query_class.strict_class
        query = QueryRequest(name, class_index, parts, self._leaf_codec, request.arrived, request.deadline)
        dispatched = self._dispatcher.dispatch(query, client, deadline)
        result = dispatched.result
        if result.status is t.QueryStatus.COMPLETE:
            with self._lock:
                self._costs[name].flat.record(len(parts), dispatched.seconds)
        leaves = leaf_results(parts, result, _leaf_subquery)
        return ReadResult(
            result.status,
            leaves.results_by_leaf,
            result.coverage,
            result.retry_after,
            result.detail,
            result.attempts,
            leaves.attempts_used,
            dispatched.release,
        )

    def _query_subtrees(
        self,
        request: ReadRequest,
        task: plan.QueryTask,
        subtree_plan: plan.SubtreePlan,
        tree: TreeConfig,
        client: http_server.Exchange,
    ) -> ReadResult:
        """Query child co-ordinators, and directly the leaves that they do not return."""
        name = request.parameters.query_class
        self.queries_split += 1
        wide_query = WideQuery(
            task, self._completion_rules(request), tree.limits, self._costs[name], subtree_plan
        )
        part_by_leaf = dict(zip(request.leaves, request.parts, strict=True))
        runner = WideQueryRunner(
            wide_query,
            self._runner_config(tree, name),
            [(query, _leaves_of_query(index, request.parts)) for index, query in enumerate(request.queries)],
            part_by_leaf.__getitem__,
            _leaf_subquery,
        )
        client.watch(runner.client_disconnected)
        outcome = runner.run()
        finished_at = time.monotonic()
        result = outcome.result
        return ReadResult(
            result.status,
            outcome.results_by_leaf,
            result.share,
            result.retry_after,
            outcome.detail,
            outcome.attempts,
            result.attempts_used,
            lambda: self._dispatcher.learn(name, len(request.parts), finished_at),
        )

    def _completion_rules(self, request: ReadRequest) -> CompletionRules:
        query_class = self._classes[request.parameters.query_class]
        required_share = query_class.required_share if request.parameters.partial_allowed else 1.0
        return CompletionRules(
            query_class.retry_safety, required_share, accepts_any_share=request.context is not None
        )

    def _runner_config(self, tree: TreeConfig, name: str) -> RunnerConfig:
        query_class = self._classes[name]
        return RunnerConfig(
            self._core,
            tree.subtree_coordinator,
            self._leaf_codec,
            self._subtree_codec,
            tree.coordinator_name,
            name,
            query_class.collecting_class,
            query_class.subtree_class,
        )


def _leaves_of_query(index: int, parts: list[t.PartPlan]) -> frozenset[str]:
    """Return the leaves that one query of a request touches."""
    return frozenset(
        part.content.leaf
        for part in parts
        if any(query.query_index == index for query in part.content.queries)
    )


def _leaf_subquery(content: LeafContent) -> LeafSubquery:
    return LeafSubquery(content.leaf, tuple(query.query_index for query in content.queries))
