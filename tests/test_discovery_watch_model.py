"""The watch of discovery and the decision engine on simulated time, under drawn sequences of what can happen.

The real `DiscoveryWatch` makes calls that the test answers, cuts and leaves silent; the real engine is given
its reports and makes its requests. Two properties are checked: the engine takes the list for watched exactly
while it is, and without a watch a further call begins within the longest backoff.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from queue import SimpleQueue
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from hosts import BASE
from hypothesis import example, given
from hypothesis import strategies as st
from platform_fakes import WAIT_TIMEOUT_SECONDS, RecordedLog, endpoint_entry, line

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.decisions.call_timing import MAX_BACKOFF, MAX_JITTER
from gingervane.decisions.engine import DecisionEngine
from gingervane.node import discovery
from gingervane.node.discovery import DiscoveryWatch
from gingervane.node.discovery_call import STALL_TIMEOUT, CallEnd, DiscoveryCall
from gingervane.node.endpoint_list import EndpointListReader
from gingervane.node.service import PARALLEL_WATCH_CALLS, WATCH_OPTIONS

ADDRESSES = (("127.0.0.1", 1), ("127.0.0.1", 2))
STARTED_AT = 100.0  # simulated seconds
MAX_SECONDS_WITHOUT_CALL = MAX_BACKOFF * MAX_JITTER
QUIET_SECONDS = 20.0  # at the end of each sequence, in which nothing is answered
ENTRY = endpoint_entry("s-1", "127.0.0.1:80")


class ScriptedCall(DiscoveryCall):
    """A call without a socket, which ends when the test says so."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.end: SimpleQueue[CallEnd] = SimpleQueue()
        self.is_running = False
        self.line_at = 0.0  # simulated time of the last line

    def run(self) -> tuple[CallEnd, str]:
        watch: Any = self._handlers
        with watch._change:
            self.is_running = True
            watch._change.notify_all()
        reason = self.end.get()
        return self.interrupted or reason, ""


class Step(NamedTuple):
    """One thing that happens: `kind` to the call at position `call`, then `seconds` pass.

    `decisions_run`: whether the engine handles the reports before the next step.
    """

    kind: str
    call: int = 0
    seconds: float = 0.0
    decisions_run: bool = True


class Simulation:
    """A watch and an engine on simulated time."""

    def __init__(self, polled: bool) -> None:
        self.now = STARTED_AT
        self.reports: list[api.Event] = []
        self._timers: list[tuple[float, int]] = []
        self._version = 0
        self._address = 0
        self._calls_begun = 0
        self._called_or_watched_at = STARTED_AT
        settings = BASE._replace(membership_polled=polled, drain_grace=0.5)
        self.engine = DecisionEngine(settings, 1, WATCH_OPTIONS)
        log = RecordedLog()
        reader = EndpointListReader(("a",), ReplicaStartTimes(), log)
        self.watch = DiscoveryWatch(ADDRESSES[0], reader, self, log, PARALLEL_WATCH_CALLS)
        self.watch.start()
        self._run_engine([])
        self.settle()

    @property
    def calls(self) -> list[Any]:
        """The open calls, oldest first; each is a `ScriptedCall`."""
        return list(self.watch._calls)

    # ---- reports of the watch

    def endpoints_updated(self, update: EndpointsUpdated) -> None:
        self.reports.append(update.membership)

    def watch_interrupted(self, seconds_without_data: float) -> None:
        self.reports.append(api.WatchInterrupted(seconds_without_data))

    def discovery_address_changed(self, seconds_without_data: float) -> None:
        self.reports.append(api.DiscoveryAddressChanged(seconds_without_data))

    def discovery_contact_changed(self, is_waiting: bool) -> None:
        self.reports.append(api.DiscoveryContactChanged(is_waiting))

    # ---- what happens

    def take(self, step: Step) -> None:
        calls = self.calls
        happenings: dict[str, Callable[[Any], None]] = {
            "accept": self.watch.call_accepted,
            "answer": self._answer,
            "value without line end": self._send_value,
            "line": self._send_line,
            "end": self._end,
        }
        if step.kind == "move":
            self._address = 1 - self._address
            self.watch.change_address(ADDRESSES[self._address])
        elif step.kind in happenings and calls:
            happenings[step.kind](calls[step.call % len(calls)])
        self._await_threads()
        if step.decisions_run:
            self.settle()
        if step.seconds:
            self.advance(step.seconds)

    def _answer(self, call: ScriptedCall) -> None:
        self._send_line(call)
        self._send_value(call)

    def _send_value(self, call: ScriptedCall) -> None:
        if not call.has_list:
            call.line_at = self.now  # a list starts the time in which the next line is due
        self._version += 1
        self.watch.value_received(call, line(self._version, ENTRY), True)

    def _send_line(self, call: ScriptedCall) -> None:
        call.line_at = self.now
        self.watch.line_received(call)

    def _end(self, call: ScriptedCall) -> None:
        call.end.put(CallEnd.BROKEN)
        with self.watch._change:
            assert self.watch._change.wait_for(lambda: call not in self.watch._calls, WAIT_TIMEOUT_SECONDS)

    # ---- time

    def advance(self, seconds: float) -> None:
        """Let time pass: timers fire, watches stall, and interrupted calls end before all else."""
        end_at = self.now + seconds
        self.settle()
        while (due := self._next_due()) < end_at:
            for call in [call for call in self.calls if call.interrupted]:
                self._end(call)
            self.now = max(self.now, due)
            self._fire_due()
            self.settle()
        self.now = end_at
        self.settle()

    def _next_due(self) -> float:
        """Time of the next timer, or of the next stall of a watch."""
        stalls = [call.line_at + STALL_TIMEOUT for call in self.calls if call.is_watch]
        return min([*stalls, *(at for at, _ in self._timers[:1])], default=inf)

    def _fire_due(self) -> None:
        for call in self.calls:
            if call.is_watch and self.now >= call.line_at + STALL_TIMEOUT:
                self.watch.watch_stalled(call)
        labels = []
        while self._timers and self._timers[0][0] <= self.now:
            labels.append(api.TimerFired(heapq.heappop(self._timers)[1]))
        self._run_engine([*self._take_reports(), *labels])

    def settle(self) -> None:
        """Let the engine handle all reports and the threads make all calls; check the properties."""
        self._await_threads()
        while reports := self._take_reports():
            self._run_engine(reports)
            self._await_threads()
        self._check()

    def _take_reports(self) -> list[api.Event]:
        reports, self.reports = self.reports, []
        return reports

    def _run_engine(self, events: list[api.Event]) -> None:
        for action in self.engine.handle(self.now, events):
            if isinstance(action, api.SetTimer):
                heapq.heappush(self._timers, (self.now + action.delay, action.label))
            elif isinstance(action, api.WatchMembership):
                self.watch.request_watch()

    def _await_threads(self) -> None:
        """Wait until no call is about to begin."""
        with self.watch._change:
            assert self.watch._change.wait_for(self._is_quiet, WAIT_TIMEOUT_SECONDS)

    def _is_quiet(self) -> bool:
        all_threads_call = len(self.calls) >= self.watch._workers
        awaits_begin = self.watch._call_requested and not all_threads_call
        return not awaits_begin and all(call.is_running for call in self.calls)

    def _check(self) -> None:
        has_watch = self.watch._has_watch()
        assert self.engine.membership.watch.is_up == has_watch
        readiness = self.engine.membership.readiness
        assert readiness.is_serving or readiness._is_waiting == any(call.is_waiting for call in self.calls)
        if has_watch or self.watch._call_count > self._calls_begun:
            self._called_or_watched_at = self.now
        self._calls_begun = self.watch._call_count
        assert self.now - self._called_or_watched_at <= MAX_SECONDS_WITHOUT_CALL

    def close(self) -> None:
        self.watch.stop()
        for call in self.calls:
            self._end(call)


def play(polled: bool, steps: list[Step]) -> None:
    """Take the steps, and let a quiet time follow in which nothing is answered."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(discovery, "DiscoveryCall", ScriptedCall)
        monkeypatch.setattr(discovery, "_ADDRESS_CHANGE_WAIT", 0.0)
        clock = SimpleNamespace(monotonic=lambda: simulation.now if simulation else STARTED_AT)
        monkeypatch.setattr(discovery, "time", clock)
        simulation: Simulation | None = None
        simulation = Simulation(polled)
        try:
            for step in steps:
                simulation.take(step)
            simulation.advance(QUIET_SECONDS)
        finally:
            simulation.close()


STEPS = st.builds(
    Step,
    st.sampled_from(["accept", "answer", "answer", "value without line end", "line", "end", "move", "wait"]),
    st.integers(0, PARALLEL_WATCH_CALLS),
    st.sampled_from([0.0, 0.0, 0.05, 0.5, 2.0, 2.6, 7.0]),
    st.booleans(),
)


# Guards against calls that nothing watches, an engine that takes the list for watched when it is not, and
# one that does not know whether discovery has accepted a call.
@given(polled=st.booleans(), steps=st.lists(STEPS, max_size=14))
@example(polled=True, steps=[Step("answer"), Step("move")])
@example(polled=False, steps=[])
@example(polled=False, steps=[Step("accept"), Step("move"), Step("accept"), Step("end")])
@example(polled=True, steps=[Step("answer"), Step("move", decisions_run=False), Step("answer")])
@example(polled=True, steps=[Step("end"), Step("move"), Step("wait", seconds=0.05), Step("end")])
def test_without_a_watch_another_call_begins(polled: bool, steps: list[Step]) -> None:
    play(polled, steps)


# Guards against a list of a superseded call that hides that the remaining calls are unanswered.
def test_a_late_list_of_a_superseded_call_is_no_watch() -> None:
    play(True, [Step("wait", seconds=4.0), Step("answer", 1), Step("answer", 2)])


# Guards against a watch whose end goes unreported because an earlier failure's retry is pending.
def test_the_end_of_a_watch_during_a_backoff_is_reported() -> None:
    play(True, [Step("wait", seconds=2.5), Step("end", 0), Step("answer", 0), Step("end", 0)])


# Guards against a change, sent without its line end on a stalled watch, that hides that the watch is stalled.
def test_a_change_without_line_end_does_not_resume_a_stalled_watch() -> None:
    play(True, [Step("answer", seconds=2.6), Step("value without line end")])
