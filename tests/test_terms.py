"""Requirements of the platform, each with its fault injected: deadlines passed on, requests already read,
failing system calls, a stepped wall clock.

Related tests: clients that disconnect early in `test_client_disconnects.py` (`LEAVING`), a failing folder in
`test_intents.py`, start times of replicas in `test_starts.py`.
"""

from __future__ import annotations

import errno
import os
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from faults.campaign import shim
from faults.plans import draw
from faults.rig import play
from hosts import BASE, query_class, replica
from platform_fakes import (
    WAIT_TIMEOUT_SECONDS,
    Platform,
    Replica,
    Waiter,
    connections_of,
    reply,
    request,
    wait_until,
)

from gingervane import interface as api
from gingervane.coordinator import boot_clock
from gingervane.coordinator import types as t
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine
from gingervane.fronts import client_connection
from gingervane.fronts.http_server import Exchange, Handler, HttpServer, Reply, ServerLimits, plain
from gingervane.fronts.leaf_codec import RemoteReadCodec
from gingervane.interface import AttemptOutcome
from gingervane.node.replica_connection import ReplicaConnection
from gingervane.node.replica_connection_types import (
    FrameCodec,
    ReplicaCloseReason,
    ReplicaConnectionClosed,
    ReplicaConnectionLimits,
)
from gingervane.node.replica_connections import ReplicaConnections
from gingervane.wire import local_failures
from gingervane.wire.frames import SubqueryRequest
from gingervane.wire.http1 import Request
from gingervane.writes.idempotency import IdempotencyLimits, IdempotencyRecords, KeyAction, WriteState

LIMITS = ReplicaConnectionLimits(
    streams=8, max_connections=4, idle_timeout=WAIT_TIMEOUT_SECONDS, connect_timeout=WAIT_TIMEOUT_SECONDS
)


# ---- the deadline that is passed on


def test_each_part_of_a_batch_is_sent_its_own_remaining_time(tmp_path: Path) -> None:
    """A batch holds parts of two queries: for the one with 1.2 s remaining, the replica was sent 7.89 s."""
    config = BASE._replace(
        query_classes=(query_class(aim=2.0, deadline=8.0),), coordinator_count=1, max_parts_per_request=8
    )
    driver = Driver(DecisionEngine(config, 5), config)
    driver.step(
        10.0,
        [
            t.EndpointsUpdated(
                api.MembershipChanged(api.MembershipUpdateKind.FULL, (replica(1),)),
                {1: ("127.0.0.1", 1)},
            )
        ],
    )
    codec = FrameCodec()

    def arrived(number: int, remaining: float) -> t.QuerySubmitted:
        part = t.PartPlan(0, 1.0, SubqueryRequest(f"q{number}.0", 0, "", b"x"))
        return t.QuerySubmitted(number, t.QueryPlan(0, 10.0 + remaining, (part,), codec), lambda final: None)

    effects = driver.step(10.0, [arrived(1, 1.2), arrived(2, 7.9)])
    (batch,) = [effect.request for effect in effects if isinstance(effect, t.StartRequest)]
    remaining = batch.seconds_left(batch.attempts, 10.05)
    data = codec.encode(
        [attempt_request.content for attempt_request in batch.attempts], remaining, batch.address
    )
    reported = {name: int(wait) for name, wait in re.findall(rb"(q[12])\.0 0 d=(\d+) ", data)}
    assert 1000 <= reported[b"q1"] <= 1150 and 7000 <= reported[b"q2"] <= 7850


def test_a_request_with_one_time_limit_for_all_parts_has_the_shortest() -> None:
    codec = RemoteReadCodec("tile", 1 << 20)
    head = codec.encode([], [7.9, 1.2], ("127.0.0.1", 1)).split(b"\r\n\r\n")[0]
    assert b"Gingervane-Timeout-Ms: 1200" in head


def batch_request(replica: Replica, name: str, text: bytes, attempt: int = 0) -> t.BatchRequest:
    stop_at = time.monotonic() + WAIT_TIMEOUT_SECONDS
    attempt_request = t.AttemptRequest(
        1, attempt, SubqueryRequest(f"{name}.0", 0, "", text), api.RetrySafety.IDEMPOTENT, stop_at
    )
    batch = t.BatchRequest(
        1, 1, ("127.0.0.1", replica.port), FrameCodec(), [attempt_request], stop_at, open_attempts=1
    )
    batch.decided_at = time.monotonic()
    return batch


def report_into(reported: Waiter) -> Callable[[list[t.AttemptFinished]], None]:
    def report(finished: list[t.AttemptFinished]) -> None:
        for attempt in finished:
            reported.put(attempt)

    return report


def after_maintenance(
    connections: ReplicaConnections, condition: Callable[[], object]
) -> Callable[[], object]:
    """Return a condition that runs the decision thread's maintenance before each check."""

    def check() -> object:
        connections.maintain()
        return condition()

    return check


def test_a_partially_written_first_attempt_is_not_completed_late() -> None:
    """The remaining time sent with it was right only at encoding. The attempt is known never to have run."""
    fake_replica = Replica(0)
    fake_replica.reading.clear()
    reported = Waiter()
    connections = ReplicaConnections(LIMITS, report_into(reported))
    batch = batch_request(fake_replica, "big", b"x" * (8 << 20))
    assert connections.start(batch)
    (connection,) = connections._by_number.values()
    wait_until(
        after_maintenance(connections, lambda: connection._queue.partial), "the frame is partially written"
    )
    partial_frame = connection._queue.partial
    assert partial_frame is not None
    wait_until(
        lambda: time.monotonic() - partial_frame.encoded_at > t.MAX_SEND_DELAY, "the send delay has passed"
    )
    fake_replica.reading.set()  # the replica reads again
    wait_until(after_maintenance(connections, lambda: reported.items), "the attempt's outcome is reported")
    assert reported.items[0].outcome is AttemptOutcome.CONNECT_FAILED and not fake_replica.parts.items
    connections.close()
    fake_replica.close()


# ---- requests that are read must be answered


def serve(handler: Handler) -> Iterator[HttpServer]:
    server = HttpServer("127.0.0.1", 0, handler, ServerLimits())
    server.start()
    yield server
    server.stop(0.0)


def send_request(server: HttpServer) -> tuple[int, dict[str, str], Any]:
    with socket.create_connection(server.address, WAIT_TIMEOUT_SECONDS) as sock:
        sock.sendall(request("q", "{}"))
        return reply(sock)


def test_a_reply_past_its_deadline_becomes_a_failure() -> None:
    """Guards against a co-ordinator that, paused past its client's deadline, closes without an answer."""
    done = threading.Event()

    def late_handler(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        return plain(200, "an answer")._replace(result_expires_at=time.monotonic() - 1.0, done=done.set)

    for server in serve(late_handler):
        status, fields, text = send_request(server)
        assert status == 504 and fields["connection"] == "close" and "time is up" in text
        assert done.wait(WAIT_TIMEOUT_SECONDS)


def test_a_failure_past_its_deadline_is_sent_unchanged() -> None:
    """Guards against plain text in place of the front's JSON, which a vector client got on an overloaded
    machine."""

    def late_handler(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        return plain(502, "in the front's own words")._replace(result_expires_at=time.monotonic() - 1.0)

    for server in serve(late_handler):
        status, _, text = send_request(server)
        assert status == 502 and text == "in the front's own words\n"


def test_a_failing_handler_gives_an_error_and_the_next_request_is_served() -> None:
    broken = [True]

    def handler(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        if broken:
            broken.clear()
            raise RuntimeError("a bug")
        return plain(200, "well")

    for server in serve(handler):
        errors: list[BaseException] = []
        server.on_handler_failure = errors.append
        assert (
            send_request(server)[0] == 500
            and server.handler_failures == 1
            and isinstance(errors[0], RuntimeError)
        )
        assert send_request(server)[0] == 200


def test_a_first_request_during_a_process_pause_counts_from_the_start_of_the_pause() -> None:
    """Guards against treating a request on a connection not yet accepted as new after a process pause: its
    answer came too late."""
    arrivals: list[float] = []

    def handler(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        arrivals.append(arrived)
        return plain(200, "well")

    for server in serve(handler):
        start = time.monotonic() - 1.0
        server._pauses.record_pause(start, time.monotonic() + WAIT_TIMEOUT_SECONDS)
        assert send_request(server)[0] == 200 and arrivals == [start]


# ---- system calls that fail


class FailingPoll:
    """An epoll some of whose calls fail."""

    def __init__(self, real: Any) -> None:
        self.real, self.failures_left = real, dict[str, int]()  # call -> number of failures still to come

    def _fail_if_due(self, call: str) -> None:
        if self.failures_left.get(call, 0) > 0:
            self.failures_left[call] -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

    def register(self, number: int, event_mask: int) -> None:
        self._fail_if_due("register")
        self.real.register(number, event_mask)

    def modify(self, number: int, event_mask: int) -> None:
        self._fail_if_due("modify")
        self.real.modify(number, event_mask)

    def poll(self, seconds: float) -> Any:
        self._fail_if_due("poll")
        return self.real.poll(seconds)

    def unregister(self, number: int) -> None:
        self.real.unregister(number)


LOCAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM)


@pytest.mark.parametrize("code", LOCAL_ERRORS, ids=errno.errorcode.get)
def test_a_local_connect_failure_does_not_count_against_the_replica(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    code: int,
) -> None:
    failing = [True]
    real = socket.socket.connect_ex

    def connect_ex(self: socket.socket, address: Any) -> int:
        return code if failing and self.type == socket.SOCK_STREAM else real(self, address)

    platform = Platform(tmp_path)
    monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    assert platform.ask("q1", {0: 1.0})[0] == 503
    failing.clear()
    counters = platform.node.telemetry.counters
    assert counters.get("replica_connections_ended", ReplicaCloseReason.LOCAL_FAILURE) >= 1
    assert not any(name == "replicas_ejected" for name, _ in counters.snapshot())
    assert platform.ask("q2", {0: 1.0})[0] == 200
    platform.close()


def test_an_interrupted_connect_goes_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = socket.socket.connect_ex

    def connect_ex(self: socket.socket, address: Any) -> int:
        real(self, address)
        return errno.EINTR

    platform = Platform(tmp_path)
    monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    assert platform.ask("q1", {0: 1.0})[0] == 200
    platform.close()


@pytest.mark.parametrize("call", ["register", "modify"])
def test_a_failing_epoll_does_not_end_the_decision_thread(tmp_path: Path, call: str) -> None:
    """Guards against a failed registration that ends the decision thread, and with it all queries."""
    platform = Platform(tmp_path)
    connections = platform.node.core._transport
    assert isinstance(connections, ReplicaConnections)
    poll = FailingPoll(connections._poll)
    connections._poll = poll  # type: ignore[assignment]
    poll.failures_left[call] = 1
    first = platform.ask("q1", {0: 1.0})[0]
    assert not platform.node.core.broken.is_set() and first in (200, 503)
    assert platform.ask("q2", {0: 1.0})[0] == 200 and not poll.failures_left[call]
    platform.close()


def test_an_internal_error_while_connecting_reports_that_nothing_ran(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail_to_finish(self: ReplicaConnection) -> None:
        raise ValueError("a bug")

    ended: list[ReplicaConnectionClosed] = []
    reported = Waiter()
    fake_replica = Replica(0)
    monkeypatch.setattr(ReplicaConnection, "_finish_connect", fail_to_finish)
    connections = ReplicaConnections(LIMITS, report_into(reported), on_closed=ended.append)
    assert connections.start(batch_request(fake_replica, "q", b"x"))
    assert (
        reported.wait()[0].outcome is AttemptOutcome.CONNECT_FAILED
        and ended[0].reason is ReplicaCloseReason.INTERNAL_ERROR
    )
    connections.close()
    fake_replica.close()


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_reads_and_writes_are_retried_when_memory_is_short(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
    code: int,
) -> None:
    """Calls fail on the co-ordinator's side of all connections, and not on the test's side."""
    platform = Platform(tmp_path)
    sock = platform.client()
    real, test_thread, count = getattr(socket.socket, call), threading.current_thread(), [0]

    def flaky(self: socket.socket, *args: Any) -> Any:
        is_test_side = (
            threading.current_thread() is test_thread or threading.current_thread().name.startswith("Thread-")
        )
        if not is_test_side and count[0] < 6:
            count[0] += 1
            raise OSError(code, os.strerror(code))
        return real(self, *args)

    monkeypatch.setattr(socket.socket, call, flaky)
    assert platform.ask("q1", {0: 1.0}, sock=sock)[0] == 200 and count[0] == 6
    monkeypatch.undo()
    platform.close()


@pytest.mark.parametrize("call", ["register", "modify", "poll"])
def test_the_connection_thread_survives_a_failing_epoll(platform: Platform, call: str) -> None:
    """A request on a connection that could not be registered is served after a short wait."""
    connections = connections_of(platform)
    poll = FailingPoll(connections._poller._epoll)
    connections._poller._epoll = poll  # type: ignore[assignment]
    poll.failures_left[call] = 3
    for number in range(5):
        assert platform.ask(f"q{number}", {0: 1.0})[0] == 200
    assert not poll.failures_left[call]


class FailingListener:
    """A listener whose next accepts fail with the given error codes, the last first."""

    def __init__(self, real: socket.socket, codes: list[int]) -> None:
        self._real, self._codes = real, codes

    def accept(self) -> Any:
        if self._codes:
            code = self._codes.pop()
            raise OSError(code, os.strerror(code))
        return self._real.accept()

    def close(self) -> None:
        self._real.close()


ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)


@pytest.mark.parametrize("code", ACCEPT_ERRORS, ids=errno.errorcode.get)
def test_a_failed_accept_loses_no_request(platform: Platform, code: int) -> None:
    connections = connections_of(platform)
    codes = [code, code]
    acceptor = connections._acceptor
    acceptor.listener = FailingListener(acceptor.listener, codes)  # type: ignore[assignment]
    assert platform.ask("q1", {0: 1.0})[0] == 200 and not codes
    assert platform.ask("q2", {0: 1.0})[0] == 200


def test_a_local_error_does_not_mean_that_the_client_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    server_side, client_side = socket.socketpair()
    server_side.setblocking(False)
    monkeypatch.setattr(client_connection, "is_transient", local_failures.is_transient)
    client_side.sendall(b"x")
    real = socket.socket.recv

    def short_of_memory(self: socket.socket, *args: Any) -> bytes:
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

    monkeypatch.setattr(socket.socket, "recv", short_of_memory)
    assert client_connection.has_unread_data(server_side) is None, "must be unknown after a local failure"
    monkeypatch.setattr(socket.socket, "recv", real)
    assert client_connection.has_unread_data(server_side) is True
    client_side.close()
    server_side.close()


class FailingThreadStart:
    """Makes starting a client thread fail `times` times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, times: int) -> None:
        self.remaining, self._real = times, threading.Thread.start
        monkeypatch.setattr(threading.Thread, "start", lambda thread: self._start(thread))

    def _start(self, thread: threading.Thread) -> None:
        if thread.name == "client" and self.remaining > 0:
            self.remaining -= 1
            raise RuntimeError("can't start new thread")
        self._real(thread)


def test_a_request_without_a_thread_waits_for_one(monkeypatch: pytest.MonkeyPatch) -> None:
    threads = FailingThreadStart(monkeypatch, 3)
    for server in serve(lambda *_: plain(200, "well")):
        assert send_request(server)[0] == 200 and not threads.remaining


def test_a_request_that_gets_no_thread_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    served: list[Request] = []

    def handler(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        served.append(request)
        return plain(200, "well")

    FailingThreadStart(monkeypatch, 1 << 30)
    for server in serve(handler):
        assert send_request(server)[0] == 503 and not served


def test_a_node_serves_where_no_thread_can_be_started(
    platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    FailingThreadStart(monkeypatch, 1 << 30)
    assert platform.ask("q1", {0: 1.0})[0] == 200


def test_local_failures_at_startup_are_retried_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    failures = [errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]

    def make() -> str:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        return "made"

    assert local_failures.retry_local_failures(make) == "made"
    with pytest.raises(OSError, match="in use"):
        local_failures.retry_local_failures(
            lambda: (_ for _ in ()).throw(OSError(errno.EADDRINUSE, "in use"))
        )
    monkeypatch.setattr(local_failures, "START_RETRY_SECONDS", 0.05)
    with pytest.raises(OSError, match="for good"):
        local_failures.retry_local_failures(lambda: (_ for _ in ()).throw(OSError(errno.ENOMEM, "for good")))


# ---- real processes, with failing system calls and a stepped wall clock


# Seed of a run and its shim's RATE:STEP, the rate of failing calls and the wall clock's step in seconds.
SHIM_RUNS = ((3, "0.02:0"), (12, "0.01:3600"), (20, "0.02:-3600"), (41, "0:7200"))


@pytest.mark.parametrize(("seed", "shim_arguments"), SHIM_RUNS)
def test_a_seeded_run_with_failing_calls_and_a_stepped_clock_breaks_no_rule(
    seed: int, shim_arguments: str
) -> None:
    result = play(draw(seed), env=shim(seed, shim_arguments))
    assert not result.untimed_violations and not result.unexpected_exits and result.requests > 20


# ---- the wall clock


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_an_idempotency_window_ignores_steps_of_the_wall_clock(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    """Measured by the wall clock, a step forward ended the window early, and a step back allowed a retry
    after it."""
    intents = IdempotencyRecords(IdempotencyLimits(window=10.0, safety_margin=0.5, retention=3600.0))
    now = boot_clock.seconds()
    assert intents.begin("k", "d", 1, now).action is KeyAction.SEND
    intents.finish("k", WriteState.UNKNOWN, now)
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step)
    assert (
        intents.begin("k", "d", 1, boot_clock.seconds()).action is KeyAction.SEND
    ), "still within the window"
    intents.finish("k", WriteState.UNKNOWN, boot_clock.seconds())
    assert intents.begin("k", "d", 1, boot_clock.seconds() + 10.0).action is KeyAction.WINDOW_EXPIRED


def test_times_of_another_boot_are_not_comparable() -> None:
    now = boot_clock.moment()
    assert boot_clock.since(now) == pytest.approx(0.0, abs=WAIT_TIMEOUT_SECONDS)
    assert (
        boot_clock.since(now._replace(boot="another")) is None
        and boot_clock.since(boot_clock.Moment("", 5.0)) is None
    )
