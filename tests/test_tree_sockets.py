"""Trees on sockets, with children that fail, stall, send wrong replies, are older or are drained.

The executions at the leaves are counted.
"""

from __future__ import annotations

import json
import socket
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from ports import ReservedPort
from test_hard_cases import ALL, WAIT_TIMEOUT_SECONDS, ask, has_expected_series, wait_until

from gingervane.experiments.embedded import ZONES, EmbeddedFleet
from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.recorder import Recorder
from gingervane.fake_servers.server_list import list_row
from gingervane.fronts.client import Answer, Client
from gingervane.fronts.http_server import Exchange, HttpServer, Reply, ServerLimits, plain
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Request
from gingervane.wire.remote_read import Match, Matcher, Query, Series

Change = Callable[[Reply, "Child"], Reply]


class Child:
    """A child co-ordinator that forwards requests to a real one and changes its replies."""

    def __init__(
        self,
        upstream: tuple[str, int],
        change: Change,
        strip: bool = False,
        blocked_root: str = "",
    ) -> None:
        self._blocked_root = blocked_root  # a root whose requests are not answered
        self._client, self._change, self._strip = Client(upstream), change, strip
        self.request_count, self.released = 0, threading.Event()
        self.server = HttpServer("127.0.0.1", 0, self._handle, ServerLimits())
        self.server.start()

    def _handle(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        if self._blocked_root and self._blocked_root in request.headers.get("gingervane-trail").split(","):
            self.released.wait(WAIT_TIMEOUT_SECONDS)
        self.request_count += 1
        skip = ("host", "content-length")
        fields = [
            (k, v)
            for k, v in request.headers.pairs
            if k not in skip and not (self._strip and k.startswith("gingervane"))
        ]
        head = http1.encode_head(
            f"POST {request.target} HTTP/1.1", [("Host", "x"), ("Content-Length", str(len(body))), *fields]
        )
        status, headers, reply_body = self._client.exchange(head + body, WAIT_TIMEOUT_SECONDS)
        kept_fields = [(k, v) for k, v in headers.pairs if k != "content-length"]
        return self._change(Reply(status, kept_fields, reply_body), self)

    def close(self) -> None:
        self.released.set()
        self.server.stop(5.0)
        self._client.close()


def unchanged(reply: Reply, child: Child) -> Reply:
    return reply


def silent(reply: Reply, child: Child) -> Reply:
    child.released.wait(WAIT_TIMEOUT_SECONDS)
    return reply


def refuses(reply: Reply, child: Child) -> Reply:
    return plain(503, "busy", fields=(("Retry-After", "1"),))


def loops(reply: Reply, child: Child) -> Reply:
    return plain(508, "a cycle", fields=(("Gingervane-Began", "no"),))


def with_edited_series(reply: Reply, edit: Callable[[list[Series]], list[Series]], **fields: str) -> Reply:
    (series_list,) = remote_read.read_response(snappy.decompress(reply.body, 1 << 26), 1)
    body = snappy.compress(remote_read.write_response([edit(series_list)]))
    kept_fields = [(k, fields.get(k.replace("-", "_"), v)) for k, v in reply.fields]
    return reply._replace(body=body, fields=[(k, v) for k, v in kept_fields if v])


def tile(series: Series) -> str:
    return dict(series.labels)["tile"]


def lacks_a_tile(reply: Reply, child: Child) -> Reply:
    return with_edited_series(
        reply, lambda series_list: [s for s in series_list if tile(s) != tile(series_list[0])]
    )


def says_whole(reply: Reply, child: Child) -> Reply:
    """An accurate bitmap without leaves, but a coverage header that claims a complete answer."""
    return with_edited_series(reply, lambda series_list: [], gingervane_leaves="AAA=", gingervane_counts="")


def counts_twice(reply: Reply, child: Child) -> Reply:
    return with_edited_series(reply, lambda series_list: [series_list[0], *series_list])


def answers_for_others(reply: Reply, child: Child) -> Reply:
    def rename(s: Series) -> Series:
        return s._replace(labels=tuple((k, "t999" if k == "tile" else v) for k, v in s.labels), raw=None)

    return with_edited_series(reply, lambda series_list: [rename(series_list[0]), *series_list[1:]])


def short(reply: Reply, child: Child) -> Reply:
    """An older child that lost a tile without reporting it: a leaf without series does not count."""
    return with_edited_series(
        reply,
        lambda series_list: [s for s in series_list if tile(s) != tile(series_list[0])],
        gingervane_leaves="",
        gingervane_counts="",
        gingervane_used="",
    )


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EmbeddedFleet]:
    tree = {"ring": 4, "width": 4, "fan_out": 4, "levels": 1}
    embedded = EmbeddedFleet(nodes=6, tiles=12, coordinators=2, tree=tree)
    for node in embedded.grid.nodes:
        node._recorder = Recorder(tmp_path / f"{node.id}.jsonl")
    yield embedded
    for node in embedded.grid.nodes:
        node._recorder.close()
    embedded.close()


def list_children(fleet: EmbeddedFleet, *addresses: tuple[str, int]) -> None:
    """List these as the only children of the root, and the real co-ordinator behind them as gone."""
    rows = [
        list_row(10 + i, f"{host}:{port}", ZONES[i], i + 2, "ready", 1.0, "coordinator", f"x{i}")
        for i, (host, port) in enumerate(addresses)
    ]
    fleet.write_list(coordinators={1: "gone"}, extra="\n".join(rows))
    names = {f"x{i}" for i in range(len(addresses))}
    wait_until(lambda: fleet.app.peers.ready == names)


def executions_by_leaf(tmp_path: Path) -> Counter[tuple[int, str]]:
    """Count the executions of each query at each leaf, by query start time and leaf, over all nodes."""
    executions: Counter[tuple[int, str]] = Counter()
    for path in tmp_path.glob("*.jsonl"):
        for line in path.read_text().splitlines():
            record = json.loads(line)
            if record["kind"] == "taken":
                executions.update({(start, name) for name, start, _ in record["asked"]})
    return executions


def wide_query(index: int) -> Query:
    return ALL._replace(start_ms=ALL.start_ms + index)


def start_children(fleet: EmbeddedFleet, *changes: Change, strip: bool = False) -> list[Child]:
    children = [Child(fleet.apps[1].address, change, strip) for change in changes]
    list_children(fleet, *[child.server.address for child in children])
    return children


BAD_CHANGES = (silent, refuses, loops, lacks_a_tile, says_whole, counts_twice, answers_for_others, short)


@pytest.mark.parametrize("change", BAD_CHANGES, ids=lambda f: str(f.__name__))
def test_one_child_of_two_is_bad(fleet: EmbeddedFleet, tmp_path: Path, change: Change) -> None:
    children = start_children(fleet, change, unchanged)
    try:
        for index in range(4):
            answer = ask(fleet, wide_query(index), "area-report", timeout="4s")
            assert answer.status == 200 and answer.headers.get("gingervane-coverage") == "1"
            assert has_expected_series(answer, fleet.grid.tiles, wide_query(index))
        assert children[0].request_count and children[1].request_count
    finally:
        for child in children:
            child.close()
    for node in fleet.grid.nodes:
        node._recorder.close()
    executions = executions_by_leaf(tmp_path)
    assert len(executions) == 4 * 12 and max(executions.values()) <= 3, "more attempts than the root granted"


@pytest.mark.parametrize("bad", [(refuses, refuses), (loops, refuses), (lacks_a_tile, lacks_a_tile)])
def test_all_children_are_bad(fleet: EmbeddedFleet, bad: tuple[Change, Change]) -> None:
    """The root queries the leaves directly, in the time reserved for that and if attempts remain.

    The attempts that an invalid reply reports as used are ignored. Two children with such replies may have
    used all attempts, and then the root has none left for the leaves.
    """
    children = start_children(fleet, *bad)
    try:
        answer = ask(fleet, ALL, "area-report", timeout="4s")
        invalid_replies = lacks_a_tile in bad
        assert answer.status == 200 or (invalid_replies and answer.status == 503)
        assert answer.status != 200 or has_expected_series(answer, fleet.grid.tiles)
    finally:
        for child in children:
            child.close()


def test_an_older_child_knows_no_headers(fleet: EmbeddedFleet) -> None:
    def drop_headers(reply: Reply, child: Child) -> Reply:
        return reply._replace(fields=[(k, v) for k, v in reply.fields if not k.startswith("gingervane")])

    children = start_children(fleet, drop_headers, drop_headers, strip=True)
    try:
        answer = ask(fleet, ALL, "area-report")
        assert answer.status == 200 and has_expected_series(answer, fleet.grid.tiles)
        assert children[0].request_count + children[1].request_count >= 3
        splits = fleet.apps[1]._front.queries_split
        assert splits == 0, "without a context the child applies its own bounds, which allow a flat plan"
    finally:
        for child in children:
            child.close()


def test_a_plain_server_can_stand_in_for_a_child(fleet: EmbeddedFleet) -> None:
    """A remote read server that holds all tiles is listed as a child."""
    grid = fleet.grid
    grid.nodes[0].tiles = frozenset(grid.tiles)
    list_children(fleet, grid.nodes[0].address)
    answer = ask(fleet, ALL, "area-report")
    assert answer.status == 200 and has_expected_series(answer, grid.tiles)
    assert {step.split("/")[2] for step in answer.headers.get("gingervane-path").split(",")} == {"10"}


def test_a_dead_child(fleet: EmbeddedFleet) -> None:
    children = start_children(fleet, unchanged)
    dead = ReservedPort()
    list_children(fleet, dead.address, children[0].server.address)
    try:
        for index in range(3):
            assert ask(fleet, wide_query(index), "area-report").status == 200
    finally:
        children[0].close()
        dead.close()


def test_a_child_that_only_one_root_reaches(tmp_path: Path) -> None:
    """Each root decides by its own observations: only one of them gets answers through the child."""
    tree = {"ring": 5, "width": 5, "fan_out": 4, "levels": 1}
    fleet = EmbeddedFleet(nodes=6, tiles=12, coordinators=3, tree=tree)
    child = Child(fleet.apps[1].address, unchanged, blocked_root="c0")
    host, port = child.server.address
    row = list_row(10, f"{host}:{port}", ZONES[0], 4, "ready", 1.0, "coordinator", "x")
    try:
        fleet.write_list(coordinators={0: "gone", 1: "gone", 2: "gone"}, extra=row)
        wait_until(lambda: all(fleet.apps[n].peers.ready == {"x"} for n in (0, 2)))
        for root in (0, 2, 0, 2):
            client = Client(fleet.apps[root].address)
            answer = client.read([ALL], {"class": "area-report", "timeout": "4s"}, WAIT_TIMEOUT_SECONDS)
            client.close()
            assert answer.status == 200 and has_expected_series(answer, fleet.grid.tiles)
        assert (
            child.request_count >= 6
            and fleet.apps[0]._front.queries_split == fleet.apps[2]._front.queries_split == 2
        )
    finally:
        child.close()
        fleet.close()


def test_a_child_is_drained_in_mid_query(fleet: EmbeddedFleet) -> None:
    unblock = threading.Event()

    def slow(reply: Reply, child: Child) -> Reply:
        unblock.wait(WAIT_TIMEOUT_SECONDS)
        return reply

    children = start_children(fleet, slow)
    try:
        answers: list[Answer] = []
        thread = threading.Thread(target=lambda: answers.append(ask(fleet, ALL, "area-report", timeout="4s")))
        thread.start()
        wait_until(lambda: children[0].request_count > 0)
        fleet.write_list(coordinators={1: "gone"})
        wait_until(lambda: not fleet.app.peers.ready)
        request_count = children[0].request_count
        unblock.set()
        thread.join(WAIT_TIMEOUT_SECONDS)
        assert answers[0].status == 200 and has_expected_series(answers[0], fleet.grid.tiles)
        assert ask(fleet, ALL, "area-report").status == 200 and children[0].request_count == request_count
    finally:
        unblock.set()
        children[0].close()


def test_a_child_rejects_a_query_with_too_little_time() -> None:
    """All leaves take well over 140 ms, and a query with less than half of that is rejected.

    40 ms are too short for the query, and long enough for the rejection to be written: after the client's
    deadline the connection would be closed without a reply.
    """
    tree = {"ring": 4, "width": 4, "fan_out": 4, "levels": 1}
    fleet = EmbeddedFleet(nodes=6, tiles=12, coordinators=2, tree=tree, model=Model(work=0.06))
    assert ask(fleet, ALL, "area-report").status == 200
    client = Client(fleet.apps[1].address)
    body = snappy.compress(remote_read.write_request([remote_read.write_query(ALL)]))

    def request_from_parent(timeout: str) -> bytes:
        return http1.encode_head(
            f"POST /api/v1/read?class=area-report&timeout={timeout} HTTP/1.1",
            [
                ("Host", "x"),
                ("Content-Length", str(len(body))),
                ("Gingervane-Levels", "0"),
                ("Gingervane-Attempts", "1"),
                ("Gingervane-Trail", "c0"),
            ],
        )

    for _ in range(10):  # answers to which the child fits its cost model
        assert client.exchange(request_from_parent("4s") + body, WAIT_TIMEOUT_SECONDS)[0] == 200
    head = request_from_parent("40ms")
    status, headers, text = client.exchange(head + body, WAIT_TIMEOUT_SECONDS)
    assert status == 503 and headers.get("gingervane-began") == "no" and b"needed" in text
    head_with_cycle = head.replace(b"Trail: c0", b"Trail: c0,c1")
    assert client.exchange(head_with_cycle + body, WAIT_TIMEOUT_SECONDS)[0] == 508
    for bad in (b"Levels: x", b"Levels: 99"):
        status, _, text = client.exchange(head.replace(b"Levels: 0", bad) + body, WAIT_TIMEOUT_SECONDS)
        assert status == 400 and b"Gingervane-Levels" in text
    client.close()
    fleet.close()


def test_cancellation_reaches_all_levels_of_the_tree() -> None:
    """After the client disconnects, no query and no request stays open at any level."""
    fleet = EmbeddedFleet(
        nodes=6,
        tiles=24,
        model=Model(work=30.0, queue=10_000),
        coordinators=5,
        tree={"fan_out": 3, "levels": 2, "width": 2},
        overrides={"class": [{"name": "point-lookup", "aim": 500.0, "deadline": 600.0}]},
    )
    try:
        wait_until(lambda: all(len(app.peers.ready) == 4 for app in fleet.apps))
        with socket.create_connection(fleet.address) as sock:
            sock.sendall(Client(fleet.address).request([ALL], {}))
            wait_until(lambda: sum(app.core.requests_in_flight for app in fleet.apps) >= 6)
            assert fleet.app._front.queries_split == 1
        wait_until(
            lambda: all(
                core.admission.open == 0 and core.requests_in_flight == 0
                for app in fleet.apps
                for core in app.cores
            )
        )
    finally:
        fleet.close()


def test_unsafe_queries_are_never_executed_twice(fleet: EmbeddedFleet, tmp_path: Path) -> None:
    children = start_children(fleet, lacks_a_tile, lacks_a_tile)
    try:
        query = Query(ALL.start_ms, ALL.end_ms, (Matcher(Match.REGEX, "tile", ".*"),))
        assert ask(fleet, query, "unsafe-read").status == 502
    finally:
        for child in children:
            child.close()
    for node in fleet.grid.nodes:
        node._recorder.close()
    assert max(executions_by_leaf(tmp_path).values()) == 1
