"""Two events that cross at the node's sockets, each order forced: a hook or a stand-in holds one back.

The table in docs/design/node.md names the place that each of these forces.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from platform_fakes import (
    PATIENCE,
    SETTINGS,
    Platform,
    Replica,
    Waiter,
    answer,
    cell_of,
    query,
    request,
    until,
)

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine
from gingervane.interface import AttemptOutcome, RetrySafety
from gingervane.node import config as configuration
from gingervane.node.query_log import QueryLog
from gingervane.node.replica_connection import ReplicaConnection
from gingervane.node.replica_connection_types import FrameCodec, ReplicaConnectionLimits
from gingervane.node.replica_connections import ReplicaConnections
from gingervane.node.reply_reader import ReplyReader
from gingervane.wire.frames import SubqueryRequest


def with_limits(**changes: object) -> dict[str, Any]:
    return SETTINGS | {"Limits": SETTINGS["Limits"] | changes}


@pytest.fixture
def settled(monkeypatch: pytest.MonkeyPatch) -> Waiter:
    """Ids and verdicts of queries as the decision thread settles them."""
    seen, settle = Waiter(), QueryLog.query_completed

    def note(self: QueryLog, number: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        settle(self, number, plan, final, seconds)
        seen.put((plan.tag, final.status))

    monkeypatch.setattr(QueryLog, "query_completed", note)
    return seen


@pytest.fixture
def rising(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """No connection to a replica comes up before this is set."""
    up, came_up = threading.Event(), ReplicaConnection._finish_connect

    def held(self: ReplicaConnection) -> None:
        up.wait(PATIENCE)
        came_up(self)

    monkeypatch.setattr(ReplicaConnection, "_finish_connect", held)
    yield up
    up.set()


def links_of(platform: Platform) -> ReplicaConnections:
    links = platform.node.core._transport
    assert isinstance(links, ReplicaConnections)
    return links


def half_sent(link: ReplicaConnection) -> set[str]:
    """Ids of the parts in a frame that has left in part."""
    frame = link._queue.partial
    return frame.parts if frame else set()


def asked(*replicas: Replica) -> list[str]:
    return [part.id for replica in replicas for part in replica.parts.items]


def stops_reading(patch: pytest.MonkeyPatch) -> Replica:
    """A replica that does not read yet, behind buffers so small that a long frame leaves in part."""
    connect = ReplicaConnection.connect

    def small(self: ReplicaConnection) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connect(self)

    patch.setattr(ReplicaConnection, "connect", small)
    replica = Replica(0)
    replica._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    replica.reading.clear()
    return replica


def send(links: ReplicaConnections, replica: Replica, number: int, name: str) -> t.BatchRequest:
    """One part, in the place of the decision thread; back once its replica has it."""
    errand, where = (
        t.AttemptRequest(number, 0, SubqueryRequest(name, 0, "", b"x"), RetrySafety.IDEMPOTENT),
        ("127.0.0.1", replica.port),
    )
    call = t.BatchRequest(number, 1, where, FrameCodec(), [errand], time.monotonic())
    assert links.start(call)
    while len(replica.parts.items) < number:
        until(lambda: links._writable or len(replica.parts.items) == number, "the connection is up")
        links.maintain()
    return call


def test_an_answer_that_comes_after_its_part_s_time_spoils_nothing() -> None:
    """Its place on the connection has been given to another part by then, which ended with the connection."""
    replica, told = Replica(0, lambda wire, part: None), Waiter()
    links = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=1, max_connections=4, idle_timeout=PATIENCE, connect_timeout=PATIENCE
        ),
        told.put,
    )
    first = send(links, replica, 1, "a.0")
    links.abandon(first, first.attempts[0], notify_replica=True, expired=True)
    send(links, replica, 2, "b.0")
    assert len(replica.wires) == 1
    replica.wires[0].raw(answer("a.0") + answer("b.0"))
    (ended,) = told.wait(1, bool)[0]
    assert (ended.part, ended.outcome) == (2, AttemptOutcome.OK)
    links.close()
    replica.close()


@pytest.mark.parametrize("why", ["told to retire", "makes room", "idle for too long"])
def test_a_link_that_goes_in_the_moment_of_an_answer_loses_none(
    monkeypatch: pytest.MonkeyPatch,
    why: str,
) -> None:
    """The reader has taken the answer off its books and not told of it yet: nothing is out on the link."""
    replica, other, told = Replica(0), Replica(0), Waiter()
    idle = 0.0 if why == "idle for too long" else PATIENCE
    links = ReplicaConnections(
        ReplicaConnectionLimits(streams=4, max_connections=1, idle_timeout=idle, connect_timeout=PATIENCE),
        told.put,
    )
    value, reads, go = ReplyReader._read_result, threading.Event(), threading.Event()

    def held(self: ReplyReader, *args: Any) -> Any:
        reads.set()
        go.wait(PATIENCE)
        return value(self, *args)

    monkeypatch.setattr(ReplyReader, "_read_result", held)
    send(links, replica, 1, "a.0")
    assert reads.wait(PATIENCE)
    (link,) = links._by_number.values()
    if why == "told to retire":
        links.close_idle(link.address)
    elif why == "idle for too long":
        links._sweep(time.monotonic())
    elif why == "makes room":
        errand = t.AttemptRequest(2, 0, SubqueryRequest("b.0", 0, "", b"x"), RetrySafety.IDEMPOTENT)
        where = "127.0.0.1", other.port
        assert links.start(t.BatchRequest(2, 2, where, FrameCodec(), [errand], time.monotonic() + PATIENCE))
    assert link.broken
    go.set()
    told.wait(1, lambda endings: any(ended.part == 1 for ended in endings))
    endings = [ended for some in told.items for ended in some if ended.part == 1]
    assert [(ended.outcome, ended.result.cell) for ended in endings] == [(AttemptOutcome.OK, cell_of("a.0"))]
    links.close()
    replica.close()
    other.close()


def test_a_part_given_to_a_link_that_was_told_to_retire_goes_on_another() -> None:
    replica, told = Replica(0, lambda wire, part: None), Waiter()
    links = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=4, max_connections=4, idle_timeout=PATIENCE, connect_timeout=PATIENCE
        ),
        told.put,
    )
    send(links, replica, 1, "a.0")
    links.close_idle(("127.0.0.1", replica.port))  # with a part out: it stays until that is answered
    send(links, replica, 2, "b.0")
    assert len(replica.wires) == 2
    for wire, part in zip(replica.wires, ("a.0", "b.0"), strict=True):
        wire.raw(answer(part))
    until(lambda: sum(map(len, told.items)) == 2, "both answers are told, in one report or in two")
    links._sweep(time.monotonic())
    assert sum(not link.broken for link in links._by_number.values()) == 1
    links.close()
    replica.close()


def test_out_of_descriptors_a_part_ends_unsent_and_nothing_else_does(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The decision thread broke, and with it every query after."""
    platform = Platform(tmp_path, Replica(0))

    def none_left(self: ReplicaConnection, *args: object) -> None:
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(ReplicaConnection, "__init__", none_left)
        assert platform.ask("q", {0: 1.0}, "/book", wait=500)[0] == 503
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()


def test_an_unsafe_part_whose_connection_came_up_late_runs_once(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Told as could-not-connect, which proves that it never ran: then it must not leave once that is up."""
    late, came_up = list[ReplicaConnection](), ReplicaConnection._finish_connect

    def held(self: ReplicaConnection) -> None:
        late.extend([self] if not late else [])
        if self is not late[0] or self.broken:
            came_up(self)

    monkeypatch.setattr(ReplicaConnection, "_finish_connect", held)
    platform = Platform(tmp_path, settings=with_limits(ConnectTimeoutS=0.1))
    assert platform.ask("q", {0: 1.0}, "/book")[0] == 200
    assert late[0].broken
    late[0]._finish_connect()  # now it is up, so to speak
    links_of(platform).maintain()
    for number in range(10):
        assert platform.ask(f"after{number}", {0: 1.0})[0] == 200
    assert asked(*platform.replicas).count("q.0") == 1
    platform.close()


# ---- a part that waits, and the end of its query


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("path", ["/look", "/book"])
def test_a_part_that_waits_for_its_connection_does_not_leave_after_its_client(
    tmp_path: Path,
    settled: Waiter,
    rising: threading.Event,
    cancelling: bool,
    path: str,
) -> None:
    """Where attempts may not be cancelled the module cancels none: the part left later."""
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=PATIENCE)
    platform = Platform(tmp_path, replica, settings=limits)
    sock = platform.client()
    sock.sendall(query("gone", {0: 0.5, 1: 0.5}, path))
    until(lambda: links_of(platform).in_flight == 2, "the parts wait for their connection")
    sock.close()
    assert settled.wait() == [("gone", t.QueryStatus.CLIENT_DISCONNECTED)]
    rising.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_part_that_waits_for_its_connection_does_not_leave_after_its_query_s_answer(
    tmp_path: Path,
    rising: threading.Event,
    cancelling: bool,
) -> None:
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=PATIENCE)
    platform = Platform(tmp_path, replica, settings=limits)
    assert platform.ask("late", {0: 1.0}, wait=200)[0] == 503
    rising.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_frame_that_has_left_in_part_is_not_finished_for_a_client_that_has_gone(
    tmp_path: Path,
    settled: Waiter,
    monkeypatch: pytest.MonkeyPatch,
    cancelling: bool,
) -> None:
    replica = stops_reading(monkeypatch)
    platform = Platform(tmp_path, replica, settings=with_limits(Cancelling=cancelling))
    sock = platform.client()
    text = json.dumps({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x" * 60000})
    sock.sendall(request("gone", text))
    links = links_of(platform)._by_number
    until(lambda: any(half_sent(link) for link in links.values()), "half of the frame has left")
    sock.close()
    assert settled.wait() == [("gone", t.QueryStatus.CLIENT_DISCONNECTED)]
    replica.reading.set()
    replica.ended.wait()
    assert asked(replica) == []
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()


# ---- a further attempt, and the end of the time in which it may leave


def decided(driver: Driver, now: float, *inputs: t.Input) -> list[t.BatchRequest]:
    """Calls that a batch at `now` starts."""
    return [effect.request for effect in driver.step(now, inputs) if isinstance(effect, t.StartRequest)]


def keyed_platform(tmp_path: Path, **rules: object) -> api.Settings:
    """What the module is told where a class is keyed, its window 1 s."""
    keyed = {"Semantics": "keyed", "WindowS": 1.0}
    classes = [SETTINGS["Classes"][0] | keyed, *SETTINGS["Classes"][1:]]
    made = SETTINGS | {"Classes": classes, "Rules": SETTINGS["Rules"] | rules}
    platform = Platform(tmp_path, Replica(0), settings=made)
    platform.close()
    return configuration.read_config(platform.path).settings


def a_query(number: int, now: float) -> t.QuerySubmitted:
    part = t.PartPlan(0, 1.0, SubqueryRequest(f"q{number}.0", 0, "", b"x"))
    return t.QuerySubmitted(number, t.QueryPlan(0, now + 6.0, (part,), FrameCodec()), lambda final: None)


def two_replicas() -> t.EndpointsUpdated:
    rows = tuple(api.Replica(n, 0, 0, 1.0, api.ReplicaState.READY, 0.0) for n in (1, 2))
    return t.EndpointsUpdated(
        api.MembershipChanged(api.MembershipUpdateKind.FULL, rows), {n: ("127.0.0.1", n) for n in (1, 2)}
    )


def test_a_repeat_decided_at_the_edge_of_its_window_leaves_inside_it(tmp_path: Path) -> None:
    """It may leave by `HAND_OVER` later than it was decided, when the replicas had forgotten its key."""
    settings, repeated = keyed_platform(tmp_path), []
    for after in (0.5, 0.9, 0.94, 0.95, 0.96, 0.98, 0.99, 0.994, 1.0, 1.2):
        driver = Driver(DecisionEngine(settings, 1), settings)
        first, now = decided(driver, 100.0, two_replicas(), a_query(1, 100.0)), 100.0 + after
        (errand,) = first[0].claim_sendable(100.0)[0]
        again = decided(
            driver, now, t.AttemptFinished(errand.part, errand.attempt, AttemptOutcome.RESET, now)
        )
        for call in again:
            lates = (0.0, 0.02, t.MAX_SEND_DELAY, 0.06)
            latest = max(late for late in lates if not call.is_send_overdue(now + late))
            assert (
                after + latest <= 1.0 and call.claim_sendable(now + latest)[0]
            ), "it leaves, inside the window"
        repeated += [after] * len(again)
    assert 0.9 in repeated, "inside the window it is repeated"


def test_further_attempts_at_the_edge_of_the_budget_s_span_leave_within_it(tmp_path: Path) -> None:
    """One leaves as late as it may, the next one at once: no more than the budget in any span of it."""
    settings, spared = keyed_platform(tmp_path, BudgetFree=1.0, ExtraRatio=0.0, ResendSpanS=2.0), []
    for after in (1.9, 1.95, 1.98, 2.0, 2.01, 2.04, 2.05, 2.06, 2.1, 3.0):
        driver = Driver(DecisionEngine(settings, 1), settings)
        times = []
        for number, now in ((1, 100.0), (2, 100.0 + after)):
            first = decided(driver, now, *([two_replicas()] if number == 1 else []), a_query(number, now))
            (errand,) = first[0].claim_sendable(now)[0]
            again = decided(
                driver, now, t.AttemptFinished(errand.part, errand.attempt, AttemptOutcome.RESET, now)
            )
            times += [now + (t.MAX_SEND_DELAY if number == 1 else 0.0) for call in again]
        assert len(times) == 1 or times[1] - times[0] > 2.0
        spared += [after] * (len(times) - 1)
    assert 2.1 in spared, "past the span there is budget again"


def test_a_further_attempt_whose_frame_was_stopped_half_way_is_not_finished_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt counts from its frame's last byte: that came when its window or budget's span was over."""
    replica, told = stops_reading(monkeypatch), Waiter()
    links = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=4, max_connections=4, idle_timeout=PATIENCE, connect_timeout=PATIENCE
        ),
        told.put,
    )
    now, where = time.monotonic(), ("127.0.0.1", replica.port)
    errand = t.AttemptRequest(1, 1, SubqueryRequest("a.0", 0, "", b"x" * 60000), RetrySafety.IDEMPOTENCY_KEY)
    call = t.BatchRequest(1, 1, where, FrameCodec(), [errand], now + PATIENCE, decided_at=now + PATIENCE)
    assert links.start(call)
    (link,) = links._by_number.values()

    def tended() -> bool:
        links.maintain()
        return True

    until(lambda: tended() and half_sent(link), "half of the frame has left")
    call.decided_at = now - PATIENCE  # so long ago, by now
    replica.reading.set()
    until(lambda: tended() and any(told.items), "its ending is told")
    (ended,) = told.wait(1, bool)[0]
    assert ended.outcome is AttemptOutcome.CONNECT_FAILED, "a frame that is not whole never ran"
    replica.ended.wait()
    assert not asked(replica)
    links.close()
    replica.close()


# ---- where nothing may be cancelled


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_part_whose_time_is_over_is_called_off_only_where_that_is_allowed(
    tmp_path: Path,
    cancelling: bool,
) -> None:
    """It was at its time-out, whatever the settings said."""
    silent = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, silent, settings=with_limits(Cancelling=cancelling))
    assert platform.ask("q", {0: 0.5, 1: 0.5}, wait=200)[0] == 503
    until(lambda: links_of(platform).in_flight == 0, "its parts are let go of")
    sent = threading.Thread(target=platform.ask, args=("next", {2: 1.0}))
    sent.start()
    silent.parts.wait(1, lambda part: part.id == "next.2")  # its frame comes behind what was to be told
    assert sorted(silent.cancels.items) == (["q.0", "q.1"] if cancelling else [])
    assert len(silent.wires) == 1, "the connection that has their places goes on"
    silent.wires[0].raw(answer("q.0") + answer("q.1") + answer("next.2"))  # the late ones are nobody's
    sent.join(PATIENCE)
    assert not sent.is_alive() and len(silent.wires) == 1
    platform.close()
