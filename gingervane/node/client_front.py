"""The platform's client protocol: turns an HTTP request into a query plan, and the query's result into the reply.

Parsing is strict: an invalid request is answered with a 4xx status and reaches no replica. Called by the HTTP
server's threads, which share the ids of requests. Every decision about an admitted query is made by the decision
engine.
"""

from __future__ import annotations

import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import orjson

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.pending_queries import CompletedQuery
from gingervane.fronts.http_server import REPLY_LATER, Exchange, Reply, ReplyLater, plain
from gingervane.limits.memory_budget import SMALL_REQUEST_BYTES, MemoryBudget, MemoryHolding, MemoryOwner
from gingervane.node.replica_connection_types import FrameCodec, PartResult
from gingervane.node.request_ids import IdState, RequestIds
from gingervane.wire.frames import SubqueryRequest
from gingervane.wire.http1 import HttpError, Request

_ID = re.compile(r"[0-9A-Za-z_-]{1,64}\Z")
_MILLISECONDS = re.compile(r"[0-9]{1,9}\Z")
_TOKEN = re.compile(r"[0-9A-Fa-f]{16}\Z")
_WEIGHT_SLACK = 0.002  # tolerated deviation of a sum of rounded weights from 1
_MAX_GUESS_MICROSECONDS = 1e12
_HTTP_STATUS = {
    t.QueryStatus.REJECTED: 503,
    t.QueryStatus.FAILED: 500,
    t.QueryStatus.CLIENT_DISCONNECTED: 500,
}
_QUERY_BYTES = 4096  # of an open query in memory, in addition to its parts
_PART_BYTES = 1792  # of a part of an open query, with its attempts and its result
_JSON = ("Content-Type", "application/json")
_HEALTH_PATHS = ("/ready", "/health")
_ID_REFUSALS = {
    IdState.OPEN: "a request with this id is open",
    IdState.HELD: "a request with this id may have run",
    IdState.NO_ROOM: "too many requests of this class may still be running",
}

SecondStep = Callable[[dict[int, PartResult], bool], tuple[t.PartPlan, ...]]


class ClientFront:
    """Handles `POST /CLASS` and `GET /ready`. A class may have any name, also that of a health path."""

    def __init__(
        self, core: QueryCoordinator, class_names: tuple[str, ...], shards: int, budget: MemoryBudget
    ) -> None:
        """`budget`: to which open queries are charged."""
        self._core = core
        self._budget = budget
        self._shards = shards
        self._classes = {name: class_index for class_index, name in enumerate(class_names)}
        self._codec = FrameCodec()
        self._ids = RequestIds()
        self.refusals = Counter[str]()  # requests that were refused before admission, by reason
        self.ready = False

    def handle(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply | ReplyLater:
        """Answer a request; the reply to a query in it comes later."""
        path = request.target.partition("?")[0]
        class_name = path[1:].partition("/")[0]
        if class_name not in self._classes:  # the name may be percent-encoded or not
            class_name = unquote(class_name)
        if path in _HEALTH_PATHS and (request.method != "POST" or class_name not in self._classes):
            return self._health(request)
        try:
            query_id, plan = self._read_query(request, class_name, body, arrived)
        except HttpError as error:
            return plain(error.status, error.detail)
        if client.is_disconnected():  # a client may disconnect before its request is read
            self.refusals["client left"] += 1
            return plain(500, "its client has left", close=True)
        if client.is_unsupervised():
            self.refusals["too much behind it"] += 1
            return _rejection("too much was sent behind this request", self._core.max_retry_after)
        state = self._ids.begin(query_id, self._is_repeatable(plan), time.monotonic())
        if state is not IdState.NEW:
            self.refusals[state.value] += 1
            return self._id_refusal(state)
        return self._run_query(query_id, plan, len(body), client)

    def _is_repeatable(self, plan: t.QueryPlan) -> bool:
        query_class = self._core.settings.query_classes[plan.query_class]
        return query_class.retry_safety is api.RetrySafety.IDEMPOTENT

    def _id_refusal(self, state: IdState) -> Reply:
        if state is IdState.NO_ROOM:
            return _rejection(_ID_REFUSALS[state], self._core.max_retry_after)
        return plain(409, f"X-Request-ID: {_ID_REFUSALS[state]}")

    def _health(self, request: Request) -> Reply:
        if request.method not in ("GET", "HEAD"):
            return plain(405, "only GET here", fields=(("Allow", "GET"),))
        return plain(200, "ready") if self.ready else plain(503, "not ready")

    def _run_query(
        self, query_id: str, plan: t.QueryPlan, body_bytes: int, client: Exchange
    ) -> Reply | ReplyLater:
        """Submit a query; its result makes the reply."""
        query = _OpenQuery(self, query_id, plan, client, MemoryHolding(self._budget, MemoryOwner.QUERIES))
        if not query.reserve_memory(body_bytes <= SMALL_REQUEST_BYTES and not client.is_pipelined):
            query.release(may_have_run=False)
            self.refusals["no memory"] += 1
            return _rejection("no memory for this query", self._core.max_retry_after)
        try:
            pending = self._core.submit(plan, query)
        except Rejected as error:
            query.release(may_have_run=False)
            return _rejection(str(error), error.retry_after)
        except BaseException:
            query.release(may_have_run=False)
            raise
        client.watch(pending.abandon)
        return REPLY_LATER

    def end(self, query_id: str, plan: t.QueryPlan, may_have_run: bool) -> None:
        """Close the id of a query that has ended."""
        # An attempt is told at most the time up to the query's deadline, so that it runs no longer.
        self._ids.end(query_id, may_have_run, plan.deadline)

    def reply(self, result: t.QueryResult) -> Reply:
        """Return the reply to a query with this result."""
        if result.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL):
            parts: list[PartResult] = list(result.results.values())
            full = result.status is t.QueryStatus.COMPLETE or result.marked_complete
            pieces = [{"tablet": part.shard, "cell": part.cell} for part in parts]
            return Reply(200, [_JSON], orjson.dumps({"full": full, "pieces": pieces}))
        if result.status is t.QueryStatus.REJECTED:
            return _rejection(result.detail or "refused", result.retry_after)
        return plain(_HTTP_STATUS[result.status], result.detail or "failed")

    # ---- reading a query

    def _read_query(
        self, request: Request, class_name: str, body: bytes, arrived: float
    ) -> tuple[str, t.QueryPlan]:
        """Read a query; return its id and its plan. Raises HttpError."""
        class_index = self._classes.get(class_name)
        if class_index is None:
            raise HttpError(404, "path: no class of that name")
        if request.method != "POST":
            raise HttpError(405, "only POST here")
        query_id = _single_header(request, "x-request-id", _ID)
        timeout_ms = int(_single_header(request, "x-timeout-ms", _MILLISECONDS))
        if timeout_ms == 0:
            raise HttpError(400, "X-Timeout-Ms: no time at all")
        retried = request.headers.get_all("x-retried")
        if retried not in ([], ["0"], ["1"]):
            raise HttpError(400, "X-Retried: not 1")
        tablets, statement = _read_body(body)
        parts, cost = self._read_parts(query_id, tablets, statement)
        query_class = self._core.settings.query_classes[class_index]
        deadline = arrived + min(timeout_ms / 1000, query_class.deadline)
        second_step = _second_step(query_id, statement, query_class.second_step_parts)
        is_client_retry = retried == ["1"]
        plan = t.QueryPlan(
            class_index, deadline, parts, self._codec, query_id, is_client_retry, cost, second_step
        )
        return query_id, plan

    def _read_parts(
        self, query_id: str, tablets: list[Any], statement: bytes
    ) -> tuple[tuple[t.PartPlan, ...], float]:
        """Return the parts and their estimated total work in seconds. Raises HttpError."""
        if not 1 <= len(tablets) <= self._shards:
            raise HttpError(400, f"tablets: {len(tablets)} of them; there are {self._shards} shards")
        parts = []
        shards = set[int]()
        cost = 0.0
        for index, tablet in enumerate(tablets):
            shard, weight, guess = self._read_tablet(tablet, f"tablets.{index}", shards)
            shards.add(shard)
            cost += guess / 1e6
            parts.append(
                t.PartPlan(shard, float(weight), SubqueryRequest(f"{query_id}.{shard}", shard, "", statement))
            )
        if abs(sum(part.weight for part in parts) - 1.0) > _WEIGHT_SLACK:
            raise HttpError(400, "tablets: their fractions do not add up to 1")
        return tuple(parts), cost

    def _read_tablet(self, tablet: Any, path: str, shards: set[int]) -> tuple[int, float, float]:
        """Return a tablet's shard, weight and estimated work in microseconds. Raises HttpError.

        `shards`: the shards of the tablets before it, which it may not repeat.
        """
        if not isinstance(tablet, dict):
            raise HttpError(400, f"{path}: no object")
        shard: Any = tablet.get("tablet")
        weight: Any = tablet.get("fraction")
        guess: Any = tablet.get("guess", 0)
        token = tablet.get("token")
        if not isinstance(shard, int) or isinstance(shard, bool) or not 0 <= shard < self._shards:
            raise HttpError(400, f"{path}.tablet: no shard")
        if shard in shards:
            raise HttpError(400, f"{path}.tablet: shard {shard} stands there twice")
        if not _is_number(weight) or not 0 < weight <= 1:
            raise HttpError(400, f"{path}.fraction: not above 0 and up to 1")
        if not _is_number(guess) or not 0 <= guess < _MAX_GUESS_MICROSECONDS:
            raise HttpError(400, f"{path}.guess: no number of microseconds")
        if token is not None and not (isinstance(token, str) and _TOKEN.match(token)):
            raise HttpError(400, f"{path}.token: not 16 hex digits")
        return shard, weight, guess


class _OpenQuery:
    """A query from its admission to the end of its reply. Receives its result, and has the reply sent."""

    def __init__(
        self, front: ClientFront, query_id: str, plan: t.QueryPlan, client: Exchange, holding: MemoryHolding
    ) -> None:
        self._front = front
        self._id = query_id
        self._plan = plan
        self._client = client
        self._holding = holding

    def reserve_memory(self, is_small: bool) -> bool:
        """Charge the query to the memory budget; return whether it has room. `is_small`: see `MemoryHolding`."""
        parts = self._plan.parts
        statement = len(parts[0].content.text)  # held once for all parts
        return self._holding.resize(_QUERY_BYTES + len(parts) * _PART_BYTES + statement, is_small)

    def put(self, item: CompletedQuery) -> None:
        """Take the result. Called on the decision thread."""
        self._client.reply_later(lambda: self._make_reply(item))

    def release(self, may_have_run: bool) -> None:
        """Release what the query holds."""
        self._front.end(self._id, self._plan, may_have_run)
        self._holding.release()

    def _make_reply(self, completed: CompletedQuery) -> Reply:
        query, result = completed

        def release() -> None:
            self.release(result.may_have_run)
            query.release()

        try:
            return self._front.reply(result)._replace(done=release)
        except BaseException:
            release()
            raise


def _read_body(body: bytes) -> tuple[list[Any], bytes]:
    """Return the tablets of a query's body and the text of its statement. Raises HttpError."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"body: {error}") from None
    if not isinstance(data, dict) or not isinstance(data.get("tablets"), list):
        raise HttpError(400, "body: no object with tablets")
    statement = data.get("statement")
    if not isinstance(statement, str):
        raise HttpError(400, "body: statement is no string")
    return data["tablets"], statement.encode()


def _second_step(query_id: str, statement: bytes, max_parts: int) -> SecondStep | None:
    """Return the function that plans a query's second step, or None if it has none.

    The second step queries the shards with the highest scores in the first step, at most `max_parts` of them.
    """
    if not max_parts:
        return None

    def plan(results: dict[int, PartResult], complete: bool) -> tuple[t.PartPlan, ...]:
        ranked = sorted(results.values(), key=lambda result: (-result.score, result.shard))
        chosen = ranked[:max_parts]
        sources = "+".join(str(result.shard) for result in sorted(ranked, key=lambda result: result.shard))
        options = f",from={sources},whole={complete:d}"
        return tuple(
            t.PartPlan(
                selected.shard,
                1 / len(chosen),
                SubqueryRequest(f"{query_id}.{selected.shard}.b", selected.shard, options, statement),
            )
            for selected in chosen
        )

    return plan


def _single_header(request: Request, name: str, pattern: re.Pattern[str]) -> str:
    values = request.headers.get_all(name)
    if len(values) != 1 or not pattern.match(values[0]):
        raise HttpError(400, f"{name}: must stand there once, as the protocol has it")
    return values[0]


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _rejection(detail: str, retry_after: float) -> Reply:
    fields = (("Retry-After", f"{retry_after:.3f}"),) if retry_after > 0 else ()
    return plain(503, detail, fields=fields)
