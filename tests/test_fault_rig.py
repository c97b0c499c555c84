"""The fault rig records traffic in an order, and with times, from which the judge infers no false violation.

The tests guard against four faults of the rig:

- A proxy that reset a connection sent the last bytes of an answer before it recorded them. If its thread
  stalled in between, the client received its answer 19 to 81 ms before the replica's answer was recorded.
  With a delay of 50 ms between sending and recording, three of four runs reported a violation; with the
  order reversed and the same delay, none of four did.
- Discovery wrote a drain to a watch that the node had closed, which succeeds for the first write after the
  peer's close. The node counted as notified of a drain that it could not read, and a part sent to the drained
  replica, 0.11 s past the grace, counted as a violation. The node had been moved to another address of
  discovery, which refused seven in ten calls, and those of the node for 2 s. In the log of the node,
  `discovery_call_ended reason=moved` came at 8.18 s and the next list at 10.6 s; the drain was written to the
  closed watch at 9.61 s, and the part came at 10.39 s. With refusals that took 0.1 s each, so that the node
  made fewer calls in that time, four of fourteen runs reported a violation.
- Of several parts that are read at once, the kernel gives the time of the last only: two parts sent 0.3 s
  apart both had the later time. So parts seemed to be sent after the end of their request.
- The time of a call to discovery was that of reading the call, not of its arrival, so that a process that had
  just started counted as notified of the list that its predecessor had received.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Iterator

import pytest
from faults.discovery import DiscoveryService
from faults.discovery_faults import NO_FAULTS
from faults.judge import RuleChecker
from faults.ledger import (
    AnswerForwarded,
    EndpointChange,
    FaultInjected,
    Ledger,
    ListWritten,
    NodeRun,
    PartReceived,
    Request,
)
from faults.owed_answers import ExpectedAnswers
from faults.plans import ClassPlan, Plan, ProxyFaults
from faults.proxy import Proxy
from faults.replicas import good_answer
from faults.timed_frames import (
    TimedFrame,
    TimedFrameParser,
    TimedReceiver,
    TimestampProbe,
    await_timestamps,
    enable_timestamps,
)

GAP = 0.3  # seconds by which a reader is delayed
Record = PartReceived | AnswerForwarded | Request | ListWritten


def wait_until(condition: object) -> None:
    deadline = time.monotonic() + 30.0
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < deadline, "condition not met within 30 s"
        time.sleep(0.002)


class AnsweringReplica:
    """Sends one good answer on each connection."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.sendall(good_answer("1-0-0-1.3"))

    def close(self) -> None:
        self._listener.close()


class WatchingLedger(Ledger):
    """Notes how many bytes of an answer its reader has already received when the answer is recorded."""

    reader: socket.socket
    received_before_record: int

    def record(self, record: Record) -> None:
        if isinstance(record, AnswerForwarded):
            self.received_before_record = len(unread_bytes(self.reader))
        super().record(record)


def unread_bytes(sock: socket.socket) -> bytes:
    """Return the bytes that have arrived but were not read yet."""
    try:
        return sock.recv(4096, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, ConnectionResetError):
        return b""


def has_ended(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return any(events & (select.POLLHUP | select.POLLERR) for _, events in poll.poll(0))


@pytest.mark.parametrize("faults", [ProxyFaults(reset=1.0), ProxyFaults(split=1.0), ProxyFaults()])
def test_an_answer_is_recorded_before_it_is_sent(faults: ProxyFaults) -> None:
    replica, ledger = AnsweringReplica(), WatchingLedger()
    proxy = Proxy(replica.address, 0, 0, faults, "seed", ledger)
    try:
        for _ in range(400):  # the reset comes at a random byte, sometimes after the last one
            with socket.create_connection(("127.0.0.1", proxy.port)) as ledger.reader:
                wait_until(lambda: ledger.answers or has_ended(ledger.reader))
                if ledger.answers:
                    break
        assert ledger.answers and ledger.received_before_record < len(good_answer("1-0-0-1.3"))
    finally:
        proxy.close()
        replica.close()


class Caller:
    """One call of a node to discovery."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.sendall(b"GET /v1/endpoints?follow=1&since=0 HTTP/1.1\r\nHost: x\r\n\r\n")
        self.sock.settimeout(10.0)

    def read_version(self, version: int) -> None:
        data = b""
        while b'"seq": %d' % version not in data:
            data += self.sock.recv(65536)


@pytest.fixture
def ledger() -> Ledger:
    return Ledger()


@pytest.fixture
def discovery(ledger: Ledger) -> Iterator[DiscoveryService]:
    service = DiscoveryService(NO_FAULTS, 1, ledger)
    yield service
    service.close()


def test_a_list_is_not_recorded_on_a_connection_that_the_node_has_closed(
    discovery: DiscoveryService, ledger: Ledger
) -> None:
    first, second = discovery.add_node(0, ["127.0.0.1:1", "127.0.0.1:2"])
    closed, open_one = Caller(first), Caller(second)
    closed.read_version(1)
    open_one.read_version(1)
    closed.sock.close()
    discovery.publish(0, "DRAINING")
    open_one.read_version(2)
    discovery.publish(1, "DRAINING")
    open_one.read_version(3)
    wait_until(lambda: sum(item.version == 3 for item in ledger.lists) == 1)
    assert [item.version for item in ledger.lists if item.version > 1] == [2, 3], "each sent once"
    open_one.sock.close()


class LateDiscovery(DiscoveryService):
    """Reads calls only once `may_read` is set."""

    def __init__(self, ledger: Ledger) -> None:
        self.may_read = threading.Event()
        super().__init__(NO_FAULTS, 1, ledger)

    def _handle_call(self, sock: socket.socket, node: int) -> None:
        self.may_read.wait(30.0)
        super()._handle_call(sock, node)


def test_a_call_is_dated_by_its_arrival(ledger: Ledger) -> None:
    """If the time of reading counted, a process that started in between would seem to have made the call."""
    discovery = LateDiscovery(ledger)
    (address, _) = discovery.add_node(0, ["127.0.0.1:1"])
    caller = Caller(address)
    sent_at = time.monotonic()
    wait_until(lambda: time.monotonic() > sent_at + GAP)
    discovery.may_read.set()
    caller.read_version(1)
    wait_until(lambda: ledger.lists)
    assert ledger.lists[0].called_at <= sent_at + GAP / 2
    caller.sock.close()
    discovery.close()


class ProbeStampedLate(TimestampProbe):
    """A probe whose first two datagrams are stamped when they are read."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = [False, False, True, False]

    def is_stamped_on_arrival(self) -> bool:
        return self.answers.pop(0)


# Guards against data that arrives before the kernel has switched time stamps on, and is dated by its reading.
def test_time_stamps_are_awaited_until_data_has_the_time_of_its_arrival() -> None:
    probe = ProbeStampedLate()
    await_timestamps(probe)
    assert probe.answers == [False]


def test_a_datagram_that_is_read_late_is_stamped_on_arrival() -> None:
    with socket.socket() as sock:
        enable_timestamps(sock)
    assert TimestampProbe().is_stamped_on_arrival()


def frame(text: bytes) -> bytes:
    return struct.pack("<I", 1 + len(text)) + b"q" + text


def test_of_frames_that_are_read_at_once_only_the_last_has_an_exact_time() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    receiver, frames = TimedReceiver(far), list[TimedFrame]()
    parser = TimedFrameParser(frames.append)
    began = time.monotonic()
    near.sendall(frame(b"first"))
    first_sent = time.monotonic()
    wait_until(lambda: time.monotonic() > began + GAP)  # delay the reader
    near.sendall(frame(b"second"))
    second_sent = time.monotonic()
    while len(frames) < 2:
        parser.feed(receiver.receive())
    first, second = frames
    assert (
        first.earliest <= first_sent and first.at >= began + GAP
    ), "the kernel has the second frame's time only"
    assert began + GAP <= second.earliest == second.at <= second_sent + 0.001
    near.sendall(frame(b"third"))
    parser.feed(receiver.receive())
    assert frames[2].earliest == frames[2].at, "the only frame of its read"
    waiter = threading.Thread(target=lambda: parser.feed(receiver.receive()))
    waiter.start()
    wait_until(lambda: time.monotonic() > second_sent + GAP)  # let the reader wait
    sent_at = time.monotonic()
    near.sendall(frame(b"fourth") + frame(b"fifth"))
    waiter.join(10.0)
    assert frames[3].woke_at >= sent_at > frames[3].earliest, "the reader slept until the first frame arrived"
    for sock in (near, far, listener):
        sock.close()


PLAN = Plan(
    seed=1,
    nodes=1,
    replicas=2,
    classes=(
        ClassPlan("look", "safe", 0.2, 1.0, 0, 1.0, 1.0),
        ClassPlan("book", "unsafe", 0.2, 1.0, 0, 1.0, 1.0),
    ),
    seconds=30.0,
    rate=1.0,
    parts_per_call=1,
    may_cancel=True,
    may_hedge=True,
    may_poll=True,
    shards=1,
    replica_faults=(),
    proxy_faults=ProxyFaults(),
    disconnects=0.0,
)


def request(
    sent_at: float, query_class: int = 0, status: int = 503, disconnected_at: float | None = None
) -> Request:
    client_request = Request("r", 0, query_class, {0: 1.0}, 1.0, 1.0, sent_at, disconnected_at, status)
    client_request.answered_at = sent_at + 0.1
    return client_request


@pytest.mark.parametrize(
    ("made", "owed"),
    [
        (request(10.0), {"503": 1}),
        (request(10.0, status=200), {"200": 1}),
        (request(10.0, query_class=1), {}),
        (request(10.0, disconnected_at=10.05), {}),
        (request(12.0), {}),  # a fault at each of the two replicas
        (request(15.0), {}),  # one replica drains, a fault at the other
        (request(19.0), {"503": 1}),  # one replica drains
        (request(20.5), {}),  # the process is paused
        (request(24.2), {}),  # the process is told to end
    ],
)
def test_which_requests_must_be_answered(made: Request, owed: dict[str, int]) -> None:
    ledger = Ledger(requests=[made], runs=[NodeRun(0, 0.0, 1, terminated_at=25.0)])
    ledger.pauses.append((21.0, 21.2, 0))
    ledger.endpoint_changes.append(EndpointChange(14.0, 0, "DRAINING", 2))
    ledger.injected += [
        FaultInjected(12.05, 0, 0),
        FaultInjected(11.6, None, 1),
        FaultInjected(15.0, 0, 1),
        FaultInjected(10.0, 1, 0),  # on another node's link
    ]
    assert ExpectedAnswers(PLAN, ledger).by_outcome == owed


# Guards against a part that is judged by the earliest time of its arrival alone where a drain ends meanwhile.
@pytest.mark.parametrize(
    ("earliest", "at", "is_broken"),
    [(19.99, 20.01, False), (19.98, 19.99, True), (20.001, 20.01, False)],
)
def test_a_part_that_may_have_come_when_its_replica_served_again_breaks_nothing(
    earliest: float, at: float, is_broken: bool
) -> None:
    ledger = Ledger(runs=[NodeRun(0, 0.0, 1)], longest_stall=1.0)
    ledger.endpoint_changes += [
        EndpointChange(10.0, 0, "DRAINING", 2),
        EndpointChange(20.0, 0, "SERVING", 3),
    ]
    ledger.parts.append(PartReceived(at, earliest, at, 0, 0, "bad-q.0", 0, 1.0, {}))
    rules = [violation.rule for violation in RuleChecker(PLAN, ledger).check()]
    assert rules == (["drain"] if is_broken else [])
