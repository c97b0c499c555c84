"""Calls of a whole fleet to a discovery that answers one at a time, after a move and at a start, on simulated time.

python benchmarks/discovery_calls.py

All co-ordinators have a watch and are moved to another address within a tenth of a second, or all are started within
it with a cached list. Discovery works off the calls in the order of their arrival, also those that their callers have
given up, which is the dearest case. A row without further calls is a host that makes one call and waits for it.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from common import engine_settings

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine
from gingervane.node.service import PARALLEL_WATCH_CALLS, WATCH_OPTIONS

CO_ORDINATORS = 200
STARTED_CO_ORDINATORS = 40
SERVICE_TIMES = (0.01, 0.05, 0.2)  # seconds that discovery takes for a call
START_SERVICE_TIMES = (0.01, 0.1, 0.5)  # the same at a start
MOVES_WITHIN = 0.1  # seconds
STARTED_AT, MOVED_AT, ENDS_AT = 100.0, 120.0, 300.0  # seconds
DRAIN_GRACE = 0.5  # seconds


@dataclass
class Caller:
    """A co-ordinator's engine, its open calls, and when it was answered."""

    engine: DecisionEngine
    open_calls: list[int] = field(default_factory=list)
    calls: int = 0
    answered_at: float = 0.0
    ready_at: float = 0.0


class Fleet:
    """The co-ordinators, discovery's queue, and the events to come."""

    def __init__(
        self, settings: api.Settings, service_time: float, makes_further_calls: bool, starts: bool = False
    ) -> None:
        """`starts`: whether the co-ordinators are started rather than moved."""
        self._service_time = service_time
        self._makes_further_calls = makes_further_calls
        self._queue: deque[tuple[int, int]] = deque()  # co-ordinator and call
        self._events: list[tuple[float, int, int, api.Event | None]] = []
        self._order = 0
        self._call_number = 0
        self._is_serving = False
        self.callers = [
            Caller(DecisionEngine(settings, seed, WATCH_OPTIONS))
            for seed in range(settings.coordinator_count)
        ]
        moves = random.Random(1)
        for number in range(settings.coordinator_count):
            move_at = MOVED_AT + moves.uniform(0.0, MOVES_WITHIN)
            if starts:
                self._add(move_at, number, api.MembershipChanged(api.MembershipUpdateKind.CACHED, ()))
                self._add(move_at, number, api.DiscoveryContactChanged(True))
            else:
                self._add(STARTED_AT, number, api.MembershipChanged(api.MembershipUpdateKind.FULL, ()))
                self._add(move_at, number, api.DiscoveryAddressChanged(moves.uniform(0.0, 2.0)))

    def run(self) -> None:
        """Play until no call is open."""
        while self._events:
            now, _, number, event = heapq.heappop(self._events)
            if now > ENDS_AT:
                return
            if event is None:
                self._answer(now)
            else:
                self._handle(now, number, event)

    def _add(self, at: float, number: int, event: api.Event | None) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, number, event))

    def _handle(self, now: float, number: int, event: api.Event) -> None:
        caller = self.callers[number]
        for action in caller.engine.handle(now, [event]):
            if isinstance(action, api.SetTimer):
                self._add(now + action.delay, number, api.TimerFired(action.label))
            elif isinstance(action, api.AcceptQueries):
                caller.ready_at = now
            elif isinstance(action, api.WatchMembership) and now >= MOVED_AT and not caller.answered_at:
                self._call(now, number)

    def _call(self, now: float, number: int) -> None:
        caller = self.callers[number]
        if caller.calls and not self._makes_further_calls:
            return
        caller.calls += 1
        self._call_number += 1
        caller.open_calls.append(self._call_number)
        if len(caller.open_calls) > PARALLEL_WATCH_CALLS:
            del caller.open_calls[1]
        self._queue.append((number, self._call_number))
        self._serve_next(now)

    def _serve_next(self, now: float) -> None:
        if self._queue and not self._is_serving:
            self._is_serving = True
            self._add(now + self._service_time, -1, None)

    def _answer(self, now: float) -> None:
        number, call = self._queue.popleft()
        self._is_serving = False
        caller = self.callers[number]
        if call in caller.open_calls and not caller.answered_at:
            caller.answered_at = now
            self._handle(now, number, api.MembershipChanged(api.MembershipUpdateKind.FULL, ()))
        self._serve_next(now)


def fleet_settings(polled: bool, coordinators: int = CO_ORDINATORS) -> api.Settings:
    """Return the settings of a co-ordinator of the fleet."""
    return engine_settings(1)._replace(
        coordinator_count=coordinators, membership_polled=polled, drain_grace=DRAIN_GRACE
    )


def print_starts() -> None:
    """Print when a fleet that starts at once is ready, where lists are pushed."""
    print(
        f"{STARTED_CO_ORDINATORS} co-ordinators, started within {MOVES_WITHIN} s, lists pushed;"
        " seconds from the start"
    )
    print("ms a call  calls  half are ready  all are ready  all have a list")
    for service_time in START_SERVICE_TIMES:
        fleet = Fleet(fleet_settings(False, STARTED_CO_ORDINATORS), service_time, True, starts=True)
        fleet.run()
        ready = sorted(caller.ready_at - MOVED_AT for caller in fleet.callers)
        listed = max(caller.answered_at or ENDS_AT for caller in fleet.callers) - MOVED_AT
        calls = sum(caller.calls for caller in fleet.callers)
        print(
            f"{service_time * 1000:9.0f} {calls:6} {ready[len(ready) // 2]:15.1f} {ready[-1]:14.1f} {listed:16.1f}"
        )


def main() -> None:
    print_starts()
    print(f"{CO_ORDINATORS} co-ordinators, moved within {MOVES_WITHIN} s; seconds from the move")
    print(
        "lists   ms a call  further calls  calls  a co-ordinator and second  half have a list  all have one"
    )
    for polled in (True, False):
        for service_time in SERVICE_TIMES:
            for makes_further_calls in (False, True):
                fleet = Fleet(fleet_settings(polled), service_time, makes_further_calls)
                fleet.run()
                answered = sorted(caller.answered_at or ENDS_AT for caller in fleet.callers)
                calls = sum(caller.calls for caller in fleet.callers)
                seconds = answered[-1] - MOVED_AT
                print(
                    f"{'asked' if polled else 'pushed':7} {service_time * 1000:9.0f} {makes_further_calls!s:>14}"
                    f" {calls:6} {calls / CO_ORDINATORS / seconds:26.2f}"
                    f" {answered[CO_ORDINATORS // 2] - MOVED_AT:17.1f} {seconds:13.1f}"
                )


if __name__ == "__main__":
    main()
