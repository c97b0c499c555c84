"""Modelled clients: each demand is sent to some co-ordinator and retried if the attempt fails."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from gingervane.audit.records import Record
from gingervane.coordinator import types as t
from gingervane.emulator.assumptions import Network
from gingervane.emulator.coordinator import ClientRequest, SimCoordinator
from gingervane.emulator.events import Clock
from gingervane.scenarios.demands import BASE_MS, Demand
from gingervane.scenarios.scenario import Scenario

# Seconds past its deadline that a client still waits unless it disconnects, to record late answers as such.
_LATE_ANSWER_WAIT = 0.5


class SimClients:
    """Sends demands to the co-ordinators that `targets` returns at the time of each attempt."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        net: Network,
        coordinators: dict[int, SimCoordinator],
        targets: Callable[[], list[int]],
        tap_of: Callable[[SimCoordinator], str],
    ) -> None:
        self.clock = clock
        self.net = net
        self.tap_of = tap_of
        self.attempts: list[Record] = []  # completed attempts, in order of completion
        self._scenario = scenario
        self._coordinators = coordinators
        self._targets = targets
        self._class_numbers = {c.name: 3 * i for i, c in enumerate(scenario.classes)}
        self._starts = 0

    def start(self, demand: Demand) -> None:
        """Make the first attempt for a demand."""
        self._attempt(demand, 0, random.Random(demand.seed))

    def retry(self, demand: Demand, number: int, rng: random.Random, retry_after: float) -> None:
        """Schedule the next attempt after a failed one, unless the client's retries are used up."""
        clients = self._scenario.clients
        if number >= clients.retries:
            return
        wait = retry_after if retry_after and rng.random() < clients.honour else clients.backoff
        self.clock.after(wait, lambda: self._attempt(demand, number + 1, rng))

    def class_number(self, demand: Demand) -> int:
        """Return the number of a demand's class in the engine's settings; the next is its partial variant."""
        return self._class_numbers[demand.kind.name] + (1 if demand.kind.partial else 0)

    def _attempt(self, demand: Demand, number: int, rng: random.Random) -> None:
        clients, kind = self._scenario.clients, demand.kind
        targets = self._targets()
        if not targets:
            self.retry(demand, number, rng, 0.0)
            return
        target = rng.choice(targets)
        start = BASE_MS + self._starts
        self._starts += 1
        timeout = kind.deadline * (1.0 - rng.random() * (1.0 - clients.try_share))
        will_disconnect = rng.random() < clients.impatient
        wait_timeout = timeout * (rng.random() if will_disconnect else 1.0)
        coordinator = self._coordinators[target]
        record: Record = {
            "demand": demand.number,
            "number": number,
            "coordinator": target,
            "query_class": kind.name,
            "tiles": demand.tiles,
            "start": start,
            "end": start + clients.range_ms,
            "timeout": timeout,
            "partial": kind.partial,
            "sent": self.clock.now,
            "replies": [],
            "extra": 0,
            "kind": "try",
        }
        if not coordinator.alive:
            self.attempts.append(record | {"outcome": "unreached", "ended": self.clock.now})
            self.retry(demand, number, rng, 0.0)
            return
        _Attempt(self, demand, rng, coordinator, record, will_disconnect).send(wait_timeout)


class _Attempt:
    """One attempt at one co-ordinator, from the send to the outcome."""

    def __init__(
        self,
        clients: SimClients,
        demand: Demand,
        rng: random.Random,
        coordinator: SimCoordinator,
        record: Record,
        will_disconnect: bool,
    ) -> None:
        self._clients = clients
        self._demand = demand
        self._rng = rng
        self._coordinator = coordinator
        self._record = record
        self._will_disconnect = will_disconnect
        self._is_complete = False
        self._disconnect: Callable[[], None] | None = None

    def send(self, wait_timeout: float) -> None:
        """Send the request; after `wait_timeout` seconds the client disconnects or records a timeout."""
        start, end = self._record["start"], self._record["end"]
        weight = 1.0 / len(self._demand.tiles)
        request = ClientRequest(
            self._demand.kind.name,
            self._clients.class_number(self._demand),
            tuple(t.PartPlan(int(tile[1:]), weight, [tile, start, end]) for tile in self._demand.tiles),
            self._record["timeout"],
            self._on_answer_sent,
            self._on_request_read,
        )
        clock = self._clients.clock
        clock.after(self._clients.net.delay, lambda: self._arrive(request))
        clock.after(wait_timeout + (0.0 if self._will_disconnect else _LATE_ANSWER_WAIT), self._stop_waiting)

    def _arrive(self, request: ClientRequest) -> None:
        if self._coordinator.alive:
            self._disconnect = self._coordinator.request_arrived(request)

    def _on_request_read(self, at: float) -> None:
        self._record["read"] = at
        self._record["tap"] = self._clients.tap_of(self._coordinator)

    def _on_answer_sent(self, result: t.QueryResult | None, at: float) -> None:
        self._record["replies"] = [at] if result else []
        self._clients.clock.after(self._clients.net.delay, lambda: self._on_answer_arrived(result))

    def _on_answer_arrived(self, result: t.QueryResult | None) -> None:
        if result is None:
            self._finish("closed", 0.0)
            return
        is_answered = result.status is t.QueryStatus.COMPLETE or (
            result.status is t.QueryStatus.PARTIAL and self._demand.kind.partial
        )
        if is_answered:
            missing = [name for i, name in enumerate(self._demand.tiles) if i not in result.results]
            self._finish("reply", 0.0, status=200, coverage=f"{result.coverage:g}", missing=",".join(missing))
        elif result.status is t.QueryStatus.REJECTED:
            self._finish("reply", result.retry_after, status=503, coverage=None, missing=None)
        else:
            self._finish("reply", 0.0, status=502, coverage=None, missing=None)

    def _stop_waiting(self) -> None:
        if not self._is_complete and self._disconnect:
            self._disconnect()
        self._finish("left" if self._will_disconnect else "timeout", 0.0)

    def _finish(self, outcome: str, retry_after: float, **fields: Any) -> None:
        """Record the first outcome, and retry unless the attempt was answered or the client disconnected."""
        if self._is_complete:
            return
        self._is_complete = True
        clients = self._clients
        clients.attempts.append(self._record | fields | {"outcome": outcome, "ended": clients.clock.now})
        if outcome != "left" and fields.get("status") != 200:
            clients.retry(self._demand, self._record["number"], self._rng, retry_after)
