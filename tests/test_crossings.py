"""Races between two events at the node's sockets; a hook or a fake delays one event to force each order.

The table in docs/design/node.md names the point in the code that each test forces.
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
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    Platform,
    Replica,
    Waiter,
    answer,
    cell_of,
    query,
    request,
    wait_until,
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
def completed_queries(monkeypatch: pytest.MonkeyPatch) -> Waiter:
    """Collects the id and status of each query as the decision thread completes it."""
    completed, original = Waiter(), QueryLog.query_completed

    def record(self: QueryLog, number: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        original(self, number, plan, final, seconds)
        completed.put((plan.tag, final.status))

    monkeypatch.setattr(QueryLog, "query_completed", record)
    return completed


@pytest.fixture
def connects_allowed(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """No connection to a replica is established until this event is set."""
    allowed, finish_connect = threading.Event(), ReplicaConnection._finish_connect

    def finish_when_allowed(self: ReplicaConnection) -> None:
        allowed.wait(WAIT_TIMEOUT_SECONDS)
        finish_connect(self)

    monkeypatch.setattr(ReplicaConnection, "_finish_connect", finish_when_allowed)
    yield allowed
    allowed.set()


def connections_of(platform: Platform) -> ReplicaConnections:
    connections = platform.node.core._transport
    assert isinstance(connections, ReplicaConnections)
    return connections


def partly_sent_parts(connection: ReplicaConnection) -> set[str]:
    """Ids of the parts in the frame that is partly sent."""
    frame = connection._queue.partial
    return frame.parts if frame else set()


def received_parts(*replicas: Replica) -> list[str]:
    return [part.id for replica in replicas for part in replica.parts.items]


def replica_not_reading(patch: pytest.MonkeyPatch) -> Replica:
    """A replica that does not read yet, with socket buffers that a long frame does not fit into."""
    connect = ReplicaConnection.connect

    def connect_with_small_buffer(self: ReplicaConnection) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connect(self)

    patch.setattr(ReplicaConnection, "connect", connect_with_small_buffer)
    replica = Replica(0)
    replica._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    replica.reading.clear()
    return replica


def send(connections: ReplicaConnections, replica: Replica, number: int, name: str) -> t.BatchRequest:
    """Send one part, as the decision thread would, and return once its replica has received it."""
    attempt_request, replica_address = (
        t.AttemptRequest(number, 0, SubqueryRequest(name, 0, "", b"x"), RetrySafety.IDEMPOTENT),
        ("127.0.0.1", replica.port),
    )
    batch = t.BatchRequest(number, 1, replica_address, FrameCodec(), [attempt_request], time.monotonic())
    assert connections.start(batch)
    while len(replica.parts.items) < number:
        wait_until(
            lambda: connections._writable or len(replica.parts.items) == number,
            "the connection is established",
        )
        connections.maintain()
    return batch


def test_reply_after_the_timeout_of_its_part_is_ignored() -> None:
    """Its stream slot is in use by another part by then, which used to fail together with the connection."""
    replica, reports = Replica(0, lambda wire, part: None), Waiter()
    connections = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=1,
            max_connections=4,
            idle_timeout=WAIT_TIMEOUT_SECONDS,
            connect_timeout=WAIT_TIMEOUT_SECONDS,
        ),
        reports.put,
    )
    first = send(connections, replica, 1, "a.0")
    connections.abandon(first, first.attempts[0], notify_replica=True, expired=True)
    send(connections, replica, 2, "b.0")
    assert len(replica.wires) == 1
    replica.wires[0].raw(answer("a.0") + answer("b.0"))
    (ended,) = reports.wait(1, bool)[0]
    assert (ended.part, ended.outcome) == (2, AttemptOutcome.OK)
    connections.close()
    replica.close()


@pytest.mark.parametrize("cause", ["told to retire", "makes room", "idle for too long"])
def test_connection_closed_while_a_reply_is_read_loses_no_reply(
    monkeypatch: pytest.MonkeyPatch,
    cause: str,
) -> None:
    """The reader has removed the part but not yet reported its result, so the connection looks unused."""
    replica, other, reports = Replica(0), Replica(0), Waiter()
    idle = 0.0 if cause == "idle for too long" else WAIT_TIMEOUT_SECONDS
    connections = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=4, max_connections=1, idle_timeout=idle, connect_timeout=WAIT_TIMEOUT_SECONDS
        ),
        reports.put,
    )
    value, reads, released = ReplyReader._read_result, threading.Event(), threading.Event()

    def blocked(self: ReplyReader, *args: Any) -> Any:
        reads.set()
        released.wait(WAIT_TIMEOUT_SECONDS)
        return value(self, *args)

    monkeypatch.setattr(ReplyReader, "_read_result", blocked)
    send(connections, replica, 1, "a.0")
    assert reads.wait(WAIT_TIMEOUT_SECONDS)
    (connection,) = connections._by_number.values()
    if cause == "told to retire":
        connections.close_idle(connection.address)
    elif cause == "idle for too long":
        connections._sweep(time.monotonic())
    elif cause == "makes room":
        attempt_request = t.AttemptRequest(2, 0, SubqueryRequest("b.0", 0, "", b"x"), RetrySafety.IDEMPOTENT)
        replica_address = "127.0.0.1", other.port
        assert connections.start(
            t.BatchRequest(
                2,
                2,
                replica_address,
                FrameCodec(),
                [attempt_request],
                time.monotonic() + WAIT_TIMEOUT_SECONDS,
            )
        )
    assert connection.broken
    released.set()
    reports.wait(1, lambda finished_attempts: any(ended.part == 1 for ended in finished_attempts))
    finished_attempts = [ended for some in reports.items for ended in some if ended.part == 1]
    assert [(ended.outcome, ended.result.cell) for ended in finished_attempts] == [
        (AttemptOutcome.OK, cell_of("a.0"))
    ]
    connections.close()
    replica.close()
    other.close()


def test_part_started_after_close_idle_uses_another_connection() -> None:
    replica, reports = Replica(0, lambda wire, part: None), Waiter()
    connections = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=4,
            max_connections=4,
            idle_timeout=WAIT_TIMEOUT_SECONDS,
            connect_timeout=WAIT_TIMEOUT_SECONDS,
        ),
        reports.put,
    )
    send(connections, replica, 1, "a.0")
    connections.close_idle(("127.0.0.1", replica.port))  # a part is in flight: it closes after the reply
    send(connections, replica, 2, "b.0")
    assert len(replica.wires) == 2
    for wire, part in zip(replica.wires, ("a.0", "b.0"), strict=True):
        wire.raw(answer(part))
    wait_until(
        lambda: sum(map(len, reports.items)) == 2, "both results are reported, in one report or in two"
    )
    connections._sweep(time.monotonic())
    assert sum(not connection.broken for connection in connections._by_number.values()) == 1
    connections.close()
    replica.close()


def test_without_file_descriptors_only_the_part_fails(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The error used to end the decision thread, so that every later query failed."""
    platform = Platform(tmp_path, Replica(0))

    def none_left(self: ReplicaConnection, *args: object) -> None:
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(ReplicaConnection, "__init__", none_left)
        assert platform.ask("q", {0: 1.0}, "/book", timeout_ms=500)[0] == 503
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()


def test_unsafe_part_runs_once_if_its_connection_is_established_late(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its attempt ended as `connect failed`, that is, it did not run: it must not be sent afterwards."""
    delayed, finish_connect = list[ReplicaConnection](), ReplicaConnection._finish_connect

    def delay_first_connection(self: ReplicaConnection) -> None:
        delayed.extend([self] if not delayed else [])
        if self is not delayed[0] or self.broken:
            finish_connect(self)

    monkeypatch.setattr(ReplicaConnection, "_finish_connect", delay_first_connection)
    platform = Platform(tmp_path, settings=with_limits(ConnectTimeoutS=0.1))
    assert platform.ask("q", {0: 1.0}, "/book")[0] == 200
    assert delayed[0].broken
    delayed[0]._finish_connect()  # as if the connection were established now
    connections_of(platform).maintain()
    for number in range(10):
        assert platform.ask(f"after{number}", {0: 1.0})[0] == 200
    assert received_parts(*platform.replicas).count("q.0") == 1
    platform.close()


# ---- a waiting part, and the end of its query


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("path", ["/look", "/book"])
def test_part_waiting_for_a_connection_is_not_sent_after_its_client_disconnected(
    tmp_path: Path,
    completed_queries: Waiter,
    connects_allowed: threading.Event,
    cancelling: bool,
    path: str,
) -> None:
    """If cancellation is not allowed, the module cancels no attempt; the part used to be sent later."""
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=WAIT_TIMEOUT_SECONDS)
    platform = Platform(tmp_path, replica, settings=limits)
    sock = platform.client()
    sock.sendall(query("gone", {0: 0.5, 1: 0.5}, path))
    wait_until(lambda: connections_of(platform).in_flight == 2, "the parts wait for their connection")
    sock.close()
    assert completed_queries.wait() == [("gone", t.QueryStatus.CLIENT_DISCONNECTED)]
    connects_allowed.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert received_parts(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_part_waiting_for_a_connection_is_not_sent_after_its_query_completed(
    tmp_path: Path,
    connects_allowed: threading.Event,
    cancelling: bool,
) -> None:
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=WAIT_TIMEOUT_SECONDS)
    platform = Platform(tmp_path, replica, settings=limits)
    assert platform.ask("late", {0: 1.0}, timeout_ms=200)[0] == 503
    connects_allowed.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert received_parts(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_partly_sent_frame_is_not_completed_after_its_client_disconnected(
    tmp_path: Path,
    completed_queries: Waiter,
    monkeypatch: pytest.MonkeyPatch,
    cancelling: bool,
) -> None:
    replica = replica_not_reading(monkeypatch)
    platform = Platform(tmp_path, replica, settings=with_limits(Cancelling=cancelling))
    sock = platform.client()
    text = json.dumps({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x" * 60000})
    sock.sendall(request("gone", text))
    connections = connections_of(platform)._by_number
    wait_until(
        lambda: any(partly_sent_parts(connection) for connection in connections.values()),
        "the frame is partly sent",
    )
    sock.close()
    assert completed_queries.wait() == [("gone", t.QueryStatus.CLIENT_DISCONNECTED)]
    replica.reading.set()
    replica.ended.wait()
    assert received_parts(replica) == []
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()


# ---- a further attempt, and the end of the time in which it may be sent


def started_batches(driver: Driver, now: float, *inputs: t.Input) -> list[t.BatchRequest]:
    """Batch requests that the driver starts for these inputs."""
    return [effect.request for effect in driver.step(now, inputs) if isinstance(effect, t.StartRequest)]


def keyed_settings(tmp_path: Path, **rules: object) -> api.Settings:
    """Settings in which a class is keyed, with an idempotency window of 1 s."""
    keyed = {"Semantics": "keyed", "WindowS": 1.0}
    classes = [SETTINGS["Classes"][0] | keyed, *SETTINGS["Classes"][1:]]
    keyed_class_settings = SETTINGS | {"Classes": classes, "Rules": SETTINGS["Rules"] | rules}
    platform = Platform(tmp_path, Replica(0), settings=keyed_class_settings)
    platform.close()
    return configuration.read_config(platform.path).settings


def query_submitted(number: int, now: float) -> t.QuerySubmitted:
    part = t.PartPlan(0, 1.0, SubqueryRequest(f"q{number}.0", 0, "", b"x"))
    return t.QuerySubmitted(number, t.QueryPlan(0, now + 6.0, (part,), FrameCodec()), lambda final: None)


def two_replica_list() -> t.EndpointsUpdated:
    rows = tuple(api.Replica(n, 0, 0, 1.0, api.ReplicaState.READY, 0.0) for n in (1, 2))
    return t.EndpointsUpdated(
        api.MembershipChanged(api.MembershipUpdateKind.FULL, rows), {n: ("127.0.0.1", n) for n in (1, 2)}
    )


def test_retry_at_the_end_of_the_idempotency_window_is_sent_within_it(tmp_path: Path) -> None:
    """It may be sent `MAX_SEND_DELAY` after its decision, when the replicas used to have dropped its key."""
    settings, retried_after = keyed_settings(tmp_path), []
    for after in (0.5, 0.9, 0.94, 0.95, 0.96, 0.98, 0.99, 0.994, 1.0, 1.2):
        driver = Driver(DecisionEngine(settings, 1), settings)
        first, now = (
            started_batches(driver, 100.0, two_replica_list(), query_submitted(1, 100.0)),
            100.0 + after,
        )
        (attempt_request,) = first[0].claim_sendable(100.0)[0]
        retries = started_batches(
            driver,
            now,
            t.AttemptFinished(attempt_request.part, attempt_request.attempt, AttemptOutcome.RESET, now),
        )
        for batch in retries:
            delays = (0.0, 0.02, t.MAX_SEND_DELAY, 0.06)
            latest = max(delay for delay in delays if not batch.is_send_overdue(now + delay))
            assert (
                after + latest <= 1.0 and batch.claim_sendable(now + latest)[0]
            ), "it is sent, and within the window"
        retried_after += [after] * len(retries)
    assert 0.9 in retried_after, "it is retried within the window"


def test_further_attempts_stay_within_the_retry_budget_window(tmp_path: Path) -> None:
    """One is sent as late as allowed, the next at once: the budget holds over any interval of the window."""
    settings, sent_after = keyed_settings(tmp_path, BudgetFree=1.0, ExtraRatio=0.0, ResendSpanS=2.0), []
    for after in (1.9, 1.95, 1.98, 2.0, 2.01, 2.04, 2.05, 2.06, 2.1, 3.0):
        driver = Driver(DecisionEngine(settings, 1), settings)
        times = []
        for number, now in ((1, 100.0), (2, 100.0 + after)):
            first = started_batches(
                driver, now, *([two_replica_list()] if number == 1 else []), query_submitted(number, now)
            )
            (attempt_request,) = first[0].claim_sendable(now)[0]
            retries = started_batches(
                driver,
                now,
                t.AttemptFinished(attempt_request.part, attempt_request.attempt, AttemptOutcome.RESET, now),
            )
            times += [now + (t.MAX_SEND_DELAY if number == 1 else 0.0) for batch in retries]
        assert len(times) == 1 or times[1] - times[0] > 2.0
        sent_after += [after] * (len(times) - 1)
    assert 2.1 in sent_after, "after the window the budget permits another attempt"


def test_partly_sent_further_attempt_is_not_completed_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt counts from the last byte of its frame, which used to come after the end of its window."""
    replica, reports = replica_not_reading(monkeypatch), Waiter()
    connections = ReplicaConnections(
        ReplicaConnectionLimits(
            streams=4,
            max_connections=4,
            idle_timeout=WAIT_TIMEOUT_SECONDS,
            connect_timeout=WAIT_TIMEOUT_SECONDS,
        ),
        reports.put,
    )
    now, replica_address = time.monotonic(), ("127.0.0.1", replica.port)
    attempt_request = t.AttemptRequest(
        1, 1, SubqueryRequest("a.0", 0, "", b"x" * 60000), RetrySafety.IDEMPOTENCY_KEY
    )
    batch = t.BatchRequest(
        1,
        1,
        replica_address,
        FrameCodec(),
        [attempt_request],
        now + WAIT_TIMEOUT_SECONDS,
        decided_at=now + WAIT_TIMEOUT_SECONDS,
    )
    assert connections.start(batch)
    (connection,) = connections._by_number.values()

    def maintained() -> bool:
        connections.maintain()
        return True

    wait_until(lambda: maintained() and partly_sent_parts(connection), "the frame is partly sent")
    batch.decided_at = now - WAIT_TIMEOUT_SECONDS  # longer ago than `MAX_SEND_DELAY`
    replica.reading.set()
    wait_until(lambda: maintained() and any(reports.items), "its end is reported")
    (ended,) = reports.wait(1, bool)[0]
    assert ended.outcome is AttemptOutcome.CONNECT_FAILED, "an incomplete frame does not run"
    replica.ended.wait()
    assert not received_parts(replica)
    connections.close()
    replica.close()


# ---- cancellation not allowed


@pytest.mark.parametrize("cancelling", [True, False])
def test_timed_out_part_is_cancelled_only_if_cancellation_is_allowed(
    tmp_path: Path,
    cancelling: bool,
) -> None:
    """It used to be cancelled at its timeout whatever the settings were."""
    unresponsive = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, unresponsive, settings=with_limits(Cancelling=cancelling))
    assert platform.ask("q", {0: 0.5, 1: 0.5}, timeout_ms=200)[0] == 503
    wait_until(lambda: connections_of(platform).in_flight == 0, "its parts have ended")
    sent = threading.Thread(target=platform.ask, args=("next", {2: 1.0}))
    sent.start()
    unresponsive.parts.wait(1, lambda part: part.id == "next.2")  # its frame follows any cancellations
    assert sorted(unresponsive.cancels.items) == (["q.0", "q.1"] if cancelling else [])
    assert len(unresponsive.wires) == 1, "their connection stays open"
    unresponsive.wires[0].raw(answer("q.0") + answer("q.1") + answer("next.2"))  # late replies are ignored
    sent.join(WAIT_TIMEOUT_SECONDS)
    assert not sent.is_alive() and len(unresponsive.wires) == 1
    platform.close()
