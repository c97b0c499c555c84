"""Keyed writes remembered: what may be sent again, the log at every cut, what holders owe."""

from __future__ import annotations

import errno
import os
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane.coordinator import boot_clock
from gingervane.writes import write_ahead_log
from gingervane.writes.missed_writes import Budget, MissedWrites, Mark, Place, plan
from gingervane.writes.write_ahead_log import WriteAheadLog, LogError, frame, pack, read
from gingervane.writes.idempotency import Decision, Do, IdempotencyRecord, IdempotencyRecords, Limits, State

LIMITS = Limits(window=10.0, margin=0.5, keep=40.0, most=6)


class Machine(RuleBasedStateMachine):
    """One co-ordinator's intents, its log, its crashes, and a replica that drops repeats for the window."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.version = 100.0, 0
        self.intents = IdempotencyRecords(LIMITS)
        self.logged: dict[str, IdempotencyRecord] = {}  # what is on the disk
        self.open: dict[str, tuple[Decision, str]] = {}
        self.first_seen: dict[str, float] = {}  # by the replica
        self.effects: dict[tuple[str, int], int] = {}
        self.refused: set[str] = set()

    @rule(key=st.sampled_from("abcdefgh"), digest=st.sampled_from("xxxy"))
    def ask(self, key: str, digest: str) -> None:
        self.version += 1
        known = self.intents.get(key)
        decision = self.intents.begin(key, digest, self.version, self.now)
        if decision.do is Do.SEND:
            entry = self.intents.get(key)
            assert entry is not None and key not in self.open and decision.until > self.now
            self.logged[key] = entry
            self.open[key] = decision, digest
        elif decision.do is Do.MISMATCH:
            assert known is not None and known.digest != digest
        elif decision.do is Do.ANSWER:
            assert known is not None and known.state is State.DONE
        elif decision.do is Do.WAIT:
            assert key in self.open
        elif decision.do is Do.FULL:
            assert len(self.intents) == LIMITS.most

    @precondition(lambda self: bool(self.open))
    @rule(data=st.data(), reach=st.booleans(), end=st.sampled_from(list(State)), late=st.booleans())
    def work(self, data: Any, reach: bool, end: State, late: bool) -> None:
        """An open write reaches its replica, or not, and comes to an end, or not yet."""
        key = data.draw(st.sampled_from(sorted(self.open)))
        decision, _ = self.open[key]
        if late:
            self.now = max(self.now, decision.until - 0.01)
        if reach and self.now < decision.until:
            seen = self.first_seen.get(key)
            if seen is None or self.now - seen >= LIMITS.window:
                self.first_seen[key] = self.now
                name = key, decision.version
                self.effects[name] = self.effects.get(name, 0) + 1
        if end is State.OPEN or (end is State.IDLE and reach) or (end is State.DONE and not reach):
            return
        if end is State.IDLE and key in self.first_seen and self.effects.get((key, decision.version)):
            return  # an earlier try ran: no proof that none did
        self.intents.end(key, end, self.now, {"version": decision.version})
        entry = self.intents.get(key)
        assert entry is not None
        if data.draw(st.booleans()):  # the end's record is lost if a crash comes first
            self.logged[key] = entry
        del self.open[key]

    @rule(down=st.sampled_from([0.0, 3.0, 9.6, 60.0]))
    def crash(self, down: float) -> None:
        self.now += down
        self.intents = IdempotencyRecords(LIMITS)
        for key, entry in sorted(self.logged.items(), key=lambda item: item[1].at):
            self.intents.restore(key, entry)
        self.open.clear()

    @rule(seconds=st.sampled_from([0.1, 4.0, 9.6, 45.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def no_effect_twice(self) -> None:
        assert all(count == 1 for count in self.effects.values()), self.effects


TestIntents = Machine.TestCase
TestIntents.settings = profile(max_examples=120, stateful_step_count=30, deadline=None)


def test_what_each_state_means() -> None:
    intents = IdempotencyRecords(LIMITS)
    first = intents.begin("k", "x", 7, 100.0)
    assert first == Decision(Do.SEND, 7, 109.5)
    assert intents.begin("k", "x", 8, 101.0).do is Do.WAIT
    assert intents.begin("k", "y", 8, 101.0).do is Do.MISMATCH
    intents.end("k", State.UNKNOWN, 102.0)
    assert intents.begin("k", "x", 9, 105.0) == Decision(Do.SEND, 7, 109.5), "the same version, the same end"
    intents.end("k", State.UNKNOWN, 106.0)
    assert intents.begin("k", "x", 9, 109.6).do is Do.TOO_LATE
    intents.begin("i", "x", 1, 100.0)
    intents.end("i", State.IDLE, 101.0)
    assert intents.begin("i", "x", 2, 130.0) == Decision(Do.SEND, 1, 139.5), "none of it ran: a new window"
    intents.end("i", State.DONE, 131.0, {"a": 1})
    assert intents.begin("i", "x", 2, 150.0) == Decision(Do.ANSWER, 1, result={"a": 1})
    assert intents.begin("k", "x", 30, 190.0).do is Do.SEND, "forgotten in the end"


def entry(number: int, state: State = State.OPEN) -> IdempotencyRecord:
    return IdempotencyRecord(state, f"digest {number}", number, float(number), float(number), {"r": number})


def test_a_log_cut_at_every_byte() -> None:
    records = [pack(f"k{n}", entry(n)) for n in range(4)]
    data, ends = b"".join(records), [sum(map(len, records[: n + 1])) for n in range(4)]
    for cut in range(len(data) + 1):
        found: dict[str, IdempotencyRecord] = {}
        count, good, fault = read(data[:cut], found)
        whole = sum(end <= cut for end in ends)
        assert count == whole and good == ([0, *ends][whole]) and bool(fault) == (good != cut)
        assert found == {f"k{n}": entry(n) for n in range(whole)}
    for at in range(0, len(data), 7):  # a bit that has flipped is never read as something else
        bent = bytearray(data)
        bent[at] ^= 4
        found = {}
        count, good, fault = read(bytes(bent), found)
        assert fault and all(found[k] == entry(int(k[1:])) for k in found) and good <= at


def test_a_log_is_recovered_in_its_folder(tmp_path: Path) -> None:
    clock = [1000.0]
    log = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert log.recover().records == 0
    for n in range(12):
        log.intend(f"k{n}", entry(n))
    log.note("k3", entry(3, State.DONE))
    log.close()
    with pytest.raises(LogError):
        log.intend("late", entry(1))
    paths = sorted(tmp_path.glob("intents-*.log"))
    assert len(paths) > 3, "in segments"
    with paths[-1].open("ab") as file:
        file.write(pack("torn", entry(99))[:-5])
    bent = bytearray(paths[1].read_bytes())
    bent[-3] ^= 1
    paths[1].write_bytes(bytes(bent))
    again = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    found = again.recover()
    assert "torn" not in found.entries and found.entries["k3"].state is State.DONE
    assert len(found.faults) == 1 and str(paths[1]) in found.faults[0] and "checksum" in found.faults[0]
    again.close()
    third = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert len(third.recover().faults) == 1, "what was torn has been cut off"
    clock[0] += 60.0
    for n in range(12):
        third.intend(f"n{n}", entry(n))
    third.close()
    assert not set(paths) & set(tmp_path.glob("intents-*.log")), "old segments go"


def test_killed_at_any_record_nothing_promised_is_lost(tmp_path: Path) -> None:
    """The process is killed within its writing, again and again; what `intend` returned for is read back."""
    rng, promised = random.Random(2), dict[str, int]()
    for turn in range(12):
        out, into = os.pipe()
        child = os.fork()
        if not child:
            budget = [rng.randrange(50, 1500)]

            def write(file: int, data: bytes, budget: list[int] = budget) -> int:
                if budget[0] <= len(data):
                    os.write(file, data[: budget[0]])
                    os.kill(os.getpid(), 9)
                budget[0] -= len(data)
                return os.write(file, data)

            log = WriteAheadLog(tmp_path, 1e9, time.time, 2000, write)
            log.recover()
            for n in range(1000):
                log.intend(f"{turn}-{n}", entry(n))
                os.write(into, f"{turn}-{n} {n}\n".encode())
            os._exit(1)
        os.close(into)
        with os.fdopen(out) as lines:
            promised |= {key: int(n) for key, n in (line.split() for line in lines)}
        assert os.WTERMSIG(os.waitpid(child, 0)[1]) == 9
        rng.random()
    log = WriteAheadLog(tmp_path, 1e9, time.time)
    found = log.recover()
    log.close()
    assert not found.faults and len(promised) > 20
    assert all(found.entries[key] == entry(n) for key, n in promised.items())


def test_a_disk_that_fails_promises_nothing(tmp_path: Path) -> None:
    broken = [False]

    def write(file: int, data: bytes) -> int:
        if broken[0]:
            os.write(file, data[:10])
            raise OSError(28, "No space left on device")
        return os.write(file, data)

    log = WriteAheadLog(tmp_path, 1e9, time.time, write=write)
    log.recover()
    log.intend("a", entry(1))
    broken[0] = True
    with pytest.raises(LogError, match="No space left"):
        log.intend("b", entry(2))
    broken[0] = False
    log.intend("c", entry(3))
    log.close()
    again = WriteAheadLog(tmp_path, 1e9, time.time)
    found = again.recover()
    again.close()
    assert set(found.entries) == {"a", "c"} and not found.faults


class FailingDisk:
    """What a log does to a disk, of which some calls fail."""

    def __init__(self) -> None:
        self.write_fails = self.force_fails = 0
        self.held = threading.Event()
        self.held.set()
        self.forced: list[int] = []

    def write(self, file: int, data: bytes) -> int:
        if self.write_fails:
            self.write_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        return os.write(file, data)

    def force(self, file: int) -> None:
        self.held.wait(30.0)
        if self.force_fails:
            self.force_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.forced.append(os.fstat(file).st_ino)
        os.fdatasync(file)


def logged(folder: Path, disk: FailingDisk) -> WriteAheadLog:
    log = WriteAheadLog(folder, 1e9, boot_clock.seconds, write=disk.write, force=disk.force)
    log.recover()
    return log


def entries_of(folder: Path) -> set[str]:
    log = logged(folder, FailingDisk())
    log.close()
    found: dict[str, IdempotencyRecord] = {}
    for path in folder.glob("intents-*.log"):
        read(path.read_bytes(), found)
    return set(found)


def test_after_a_failed_forcing_its_descriptor_is_used_no_more(tmp_path: Path) -> None:
    """The kernel drops what it could not write and marks it clean: a later forcing proves nothing of it."""
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    log.intend("a", entry(1))
    disk.force_fails = 1
    with pytest.raises(LogError):
        log.intend("b", entry(2))
    log.intend("c", entry(3))
    log.close()
    assert len(disk.forced) == 2 and disk.forced[0] != disk.forced[1], "in another file"
    assert {"a", "c"} <= entries_of(tmp_path)


@pytest.mark.parametrize("call", ["folder", "head", "cut"])
def test_a_segment_that_cannot_be_begun_promises_nothing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
) -> None:
    """A new file whose folder was not forced was kept in use: its name, and all in it, could be lost."""
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    log.intend("a", entry(1))
    name = "ftruncate" if call == "cut" else "fsync"
    real, failing = getattr(os, name), [call != "head"]

    def fails(*args: Any) -> Any:
        if failing[0]:
            raise OSError(errno.EIO, "Input/output error")
        return real(*args)

    monkeypatch.setattr(os, name, fails)
    disk.force_fails = 1
    with pytest.raises(LogError):
        log.intend("b", entry(2))
    if call != "cut":  # the next segment cannot be begun either
        disk.write_fails = call == "head"
        with pytest.raises(LogError):
            log.intend("b2", entry(2))
    failing[0] = False
    log.intend("c", entry(3))
    log.close()
    assert {"a", "c"} <= entries_of(tmp_path)


def test_a_disk_that_hangs_outlasts_no_client(tmp_path: Path) -> None:
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    disk.held.clear()
    with pytest.raises(LogError, match="in time"):
        log.intend("a", entry(1), time.monotonic() + 0.05)
    disk.held.set()
    log.intend("b", entry(2), time.monotonic() + 30.0)
    log.close()


def test_what_waits_for_a_disk_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_ahead_log, "MOST_WAITING", 5)
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    disk.held.clear()
    with pytest.raises(LogError, match="wait for the disk"):
        for number in range(50):
            log.note(f"k{number}", entry(number))
    disk.held.set()
    log.close()


def test_a_key_from_before_another_boot_is_out_of_its_window(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing tells how long ago it may have been sent: the safe side is not to send it again."""
    now = boot_clock.seconds()
    log = logged(tmp_path, FailingDisk())
    log.intend("k", IdempotencyRecord(State.OPEN, "d", 1, now, now))
    log.close()
    for boot, expected in ((boot_clock.boot_id(), Do.SEND), ("another", Do.TOO_LATE)):
        monkeypatch.setattr(boot_clock, "boot_id", lambda boot=boot: boot)
        intents = IdempotencyRecords(LIMITS)
        again = WriteAheadLog(tmp_path, 1e9, boot_clock.seconds)
        found = again.recover().entries["k"]
        again.close()
        intents.restore("k", found)
        assert intents.begin("k", "d", 2, boot_clock.seconds()).do is expected


def test_many_intents_share_a_forcing(tmp_path: Path) -> None:
    forced, gate = [0], threading.Event()

    def force(file: int) -> None:
        forced[0] += 1
        gate.wait(30.0)

    log = WriteAheadLog(tmp_path, 1e9, time.time, force=force)
    log.recover()
    threads = [threading.Thread(target=log.intend, args=(f"k{n}", entry(n))) for n in range(40)]
    for thread in threads:
        thread.start()
    gate.set()
    for thread in threads:
        thread.join()
    log.close()
    assert forced[0] < 40
    assert len(frame(b"x")) == 9


marks = st.builds(Mark, st.integers(1, 4), st.integers(0, 2), st.integers(0, 2))
holders = st.dictionaries(st.integers(0, 2), st.dictionaries(st.sampled_from("abcde"), marks), min_size=2)


@given(holders, st.integers(1, 6))
@profile(max_examples=200, deadline=None)
def test_repair_brings_holders_together(held: dict[int, dict[str, Mark]], most: int) -> None:
    newest = {n: max(p[n] for p in held.values() if n in p) for n in {n for p in held.values() for n in p}}
    for _ in range(40):
        copies, left, _ = plan(held, most)
        assert sum(len(c.points) for c in copies) <= most
        for copy in copies:
            for number in copy.points:
                assert held[copy.source][number] == newest[number], "only the newest is copied"
                held[copy.target][number] = held[copy.source][number]
        if not copies:
            assert not left
            break
    assert all(points == newest for points in held.values())


def test_debts_are_paid_within_the_budget() -> None:
    a, b = Place("c", 1), Place("c", 2)
    debts = MissedWrites(Budget(rate=10.0, burst=20.0, sweep=100.0, first=0.5, most=8.0), [a, b], 0.0)
    debts.owes(b, 0.0)
    assert debts.next(0.1) == a, "the sweep"
    debts.compared(a, 0.1, 0, 0, True)
    assert debts.next(0.2) is None and debts.next(0.6) == b and debts.room(0.6) == 20
    debts.compared(b, 0.6, 20, 1, False)
    assert debts.next(0.65) is None, "no room"
    assert debts.room(1.6) == 10 and debts.next(1.7) == b and debts.conflicts == 1
    waits, now = [], 1.7
    for _ in range(8):  # a holder that is away: ever more seldom
        debts.compared(b, now, 0, 0, False)
        start = now
        while debts.next(now) != b:
            if debts.next(now) == a:
                debts.compared(a, now, 0, 0, True)
            now += 0.25
        waits.append(now - start)
    assert waits[0] <= 1.25 and waits[-1] >= 8.0 and debts.oldest(now) == now
    debts.compared(b, now, 3, 0, True)
    assert not len(debts) and debts.paid == 1 and debts.copied == 23


def test_a_toy_front_needs_nothing_of_the_core(tmp_path: Path) -> None:
    """A third protocol: words counted at replicas that speak plain lines, by the same desk and core."""
    from gingervane import interface as api
    from gingervane.coordinator import types as t
    from gingervane.coordinator.core import AdmissionLimits, QueryCoordinator
    from gingervane.coordinator.request_senders import SenderLimits, RequestSenders
    from gingervane.daemon.observers import SubtreeObserver
    from gingervane.telemetry.daemon_metrics import Metrics
    from gingervane.coordinator.dispatch import QueryDispatcher, QueryRequest
    from gingervane.fronts.routing import Route, Router
    from gingervane.fronts.http_server import HttpServer, Reply, ServerLimits, plain
    from gingervane.decisions.engine import DecisionEngine
    from gingervane.wire import http1
    from gingervane.wire.pool import Pool, exchange

    class Counted:
        def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
            return http1.head(f"GET /count/{'+'.join(contents)} HTTP/1.1", [("Host", "x")])

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

    texts = {"a": 3, "b": 4}

    def replica(request: Any, body: bytes, arrived: float, client: Any) -> Reply:
        words = request.target.removeprefix("/count/").split("+")
        return plain(200, " ".join(str(texts[w]) for w in words))

    look = api.QueryClass(1.0, 3.0, api.RetrySafety.IDEMPOTENT, None, 0, 1.0, 1.0, None, 0.0, 1.0)
    settings = api.Settings(
        coordinator_count=1,
        zone=0,
        query_classes=(look,),
        tenant_quotas=(),
        timer_granularity=0.005,
        cell_count=2,
        cells_per_replica=2,
        max_parts_per_request=8,
        max_attempts=3,
        cancellation_allowed=True,
        gossip_allowed=False,
        hedging_allowed=True,
        retry_after_allowed=True,
        max_retry_after=1.0,
        membership_polled=False,
        slow_start_capacity=0.2,
        slow_start_duration=15.0,
        overload_window=2.0,
        overload_multiple=4.0,
        retry_budget_free=None,
        retry_budget_share=None,
        retry_budget_window=None,
    )
    pool = Pool(http1.Limits(4096, 4096), 4, 30.0)
    core = QueryCoordinator(
        DecisionEngine(settings, 1),
        settings,
        AdmissionLimits(100, 1 << 20),
        SubtreeObserver(Metrics()),
        lambda report: RequestSenders(pool, SenderLimits(4, 4, 4, 1.0), report),
    )
    core.start()
    servers = [HttpServer("127.0.0.1", 0, replica, ServerLimits()) for _ in range(2)]
    rows = tuple(api.Replica(i, i, 0, 1.0, api.ReplicaState.READY, 0.0) for i in range(2))
    core.endpoints_updated(
        t.EndpointsUpdated(
            api.MembershipChanged(api.MembershipUpdateKind.FULL, rows),
            {i: server.address for i, server in enumerate(servers)},
        )
    )
    desk = QueryDispatcher(core, ["look"])

    def total(request: Any, body: bytes, arrived: float, client: Any, words: dict[str, str]) -> Reply:
        names = words["texts"].split("+")
        parts = [t.PartPlan(i % 2, 1.0 / len(names), name) for i, name in enumerate(names)]
        settled = desk.dispatch(QueryRequest("look", 0, parts, Counted(), arrived, arrived + 3.0), client)
        return plain(200, str(sum(settled.result.results.values())))._replace(done=settled.release)

    router = Router([Route("GET", "/total/{texts}", total)])

    def front(request: Any, body: bytes, arrived: float, client: Any) -> Reply:
        found = router.find(request.method, request.target)
        if isinstance(found, Reply):
            return found
        return found[0].handle(request, body, arrived, client, found[1])

    servers.append(HttpServer("127.0.0.1", 0, front, ServerLimits()))
    for server in servers:
        server.start()
    try:
        for method, path, status, said in (
            ("GET", "/total/a+b", 200, b"7\n"),
            ("GET", "/total", 404, b"no such page: /total\n"),
            ("PUT", "/total/a", 405, b"/total/a: only GET is spoken here\n"),
        ):
            data = http1.head(f"{method} {path} HTTP/1.1", [("Host", "x")])
            got = exchange(pool, servers[-1].address, data, time.monotonic() + 10.0)
            assert (got[0], got[2]) == (status, said)
    finally:
        core.stop(1.0)
        for server in servers:
            server.stop(1.0)
