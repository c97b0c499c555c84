"""A front for a toy protocol needs only the query dispatcher and the co-ordinator."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from hosts import BASE

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import AdmissionLimits
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.dispatch import QueryDispatcher, QueryRequest
from gingervane.coordinator.request_senders import RequestSenders, SenderLimits
from gingervane.daemon.observers import SubtreeObserver
from gingervane.decisions.engine import DecisionEngine
from gingervane.fronts.http_server import Handler, HttpServer, Reply, ServerLimits, plain
from gingervane.fronts.routing import Route, Router
from gingervane.telemetry.daemon_metrics import Metrics
from gingervane.wire import http1
from gingervane.wire.pool import Pool, exchange

WORD_COUNTS = {"a": 3, "b": 4}  # the count of each word that the replicas return
LOOKUP_CLASS = api.QueryClass(1.0, 3.0, api.RetrySafety.IDEMPOTENT, None, 0, 1.0, 1.0, None, 0.0, 1.0)
SETTINGS = BASE._replace(
    coordinator_count=1,
    query_classes=(LOOKUP_CLASS,),
    cell_count=2,
    cells_per_replica=2,
    max_parts_per_request=8,
    slow_start_duration=15.0,
)


class CountCodec:
    """Requests the counts of words, as plain text."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        return http1.encode_head(f"GET /count/{'+'.join(contents)} HTTP/1.1", [("Host", "x")])

    def decode(
        self,
        contents: list[Any],
        status: int,
        header: Callable[[str], str],
        body: bytes,
    ) -> list[Any]:
        if status != 200:
            raise t.InvalidReply(f"status {status}")
        return [int(word) for word in body.split()]

    def result_size(self, result: Any) -> int:
        return 8


def count_replica(request: Any, body: bytes, arrived: float, client: Any) -> Reply:
    words = request.target.removeprefix("/count/").split("+")
    return plain(200, " ".join(str(WORD_COUNTS[word]) for word in words))


def count_front(core: QueryCoordinator) -> Handler:
    """Return the handler of the toy front, which adds up the counts."""
    dispatcher = QueryDispatcher(core, ["look"])

    def total(request: Any, body: bytes, arrived: float, client: Any, words: dict[str, str]) -> Reply:
        names = words["texts"].split("+")
        parts = [t.PartPlan(i % 2, 1.0 / len(names), name) for i, name in enumerate(names)]
        query = QueryRequest("look", 0, parts, CountCodec(), arrived, arrived + 3.0)
        dispatched = dispatcher.dispatch(query, client)
        reply = plain(200, str(sum(dispatched.result.results.values())))
        return reply._replace(done=dispatched.release)

    router = Router([Route("GET", "/total/{texts}", total)])

    def front(request: Any, body: bytes, arrived: float, client: Any) -> Reply:
        match = router.find(request.method, request.target)
        if isinstance(match, Reply):
            return match
        return match[0].handle(request, body, arrived, client, match[1])

    return front


def test_a_front_of_another_protocol_needs_only_dispatcher_and_coordinator() -> None:
    """The toy protocol counts words at replicas that answer in plain text."""
    pool = Pool(http1.Limits(4096, 4096), 4, 30.0)
    core = QueryCoordinator(
        DecisionEngine(SETTINGS, 1),
        SETTINGS,
        AdmissionLimits(100, 1 << 20),
        SubtreeObserver(Metrics()),
        lambda report: RequestSenders(pool, SenderLimits(4, 4, 4, 1.0), report),
    )
    core.start()
    servers = [HttpServer("127.0.0.1", 0, count_replica, ServerLimits()) for _ in range(2)]
    rows = tuple(api.Replica(i, i, 0, 1.0, api.ReplicaState.READY, 0.0) for i in range(2))
    core.endpoints_updated(
        t.EndpointsUpdated(
            api.MembershipChanged(api.MembershipUpdateKind.FULL, rows),
            {i: server.address for i, server in enumerate(servers)},
        )
    )
    servers.append(HttpServer("127.0.0.1", 0, count_front(core), ServerLimits()))
    for server in servers:
        server.start()
    try:
        for method, path, status, expected_body in (
            ("GET", "/total/a+b", 200, b"7\n"),
            ("GET", "/total", 404, b"no such page: /total\n"),
            ("PUT", "/total/a", 405, b"/total/a: only GET is spoken here\n"),
        ):
            data = http1.encode_head(f"{method} {path} HTTP/1.1", [("Host", "x")])
            answer = exchange(pool, servers[-1].address, data, time.monotonic() + 10.0)
            assert (answer[0], answer[2]) == (status, expected_body)
    finally:
        core.stop(1.0)
        for server in servers:
            server.stop(1.0)
