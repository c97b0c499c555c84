"""Runs a whole scenario in simulated time, with modelled nodes, network, clients and endpoint list.

It returns the same records as a scenario run on sockets, and the same audit judges them. Two runs of one
scenario and seed are identical, event by event.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from gingervane import interface as api
from gingervane.audit import rules
from gingervane.audit.records import Catalogue, Change, Day, Part, Record, Send, ends_of
from gingervane.emulator.assumptions import Assumptions
from gingervane.emulator.clients import SimClients
from gingervane.emulator.coordinator import SimCoordinator
from gingervane.emulator.events import Clock
from gingervane.emulator.node import SimNode
from gingervane.membership.view import Member
from gingervane.scenarios.demands import Demand, demands
from gingervane.scenarios.scenario import Scenario
from gingervane.settings import daemon_settings
from gingervane.settings.daemon_settings import Config

_DAY_START = 1000.0  # seconds on the simulated clock, so late that slow start from time 0 is over
_AFTER_DAY = 10.0  # seconds after the day for open requests to complete
_BEFORE_DAY = 1.0  # seconds before the day at which the co-ordinators start


class World:
    """One scenario run (a day) in simulated time."""

    def __init__(
        self, scenario: Scenario, seed: int | None = None, assumptions: Assumptions | None = None
    ) -> None:
        self.scenario = scenario if seed is None else scenario.model_copy(update={"seed": seed})
        self._assumptions = assumptions or Assumptions()
        self.clock = Clock(_DAY_START - _BEFORE_DAY)
        self._rng = random.Random(f"world/{self.scenario.seed}")
        nodes = self.scenario.nodes
        faults = self.scenario.faults(_DAY_START)
        self._node_records: list[Record] = []
        self._director: list[Record] = [{"t": _DAY_START, "kind": "began", "at": _DAY_START}]
        self.nodes = [
            SimNode(n, nodes.model(), faults.get(n, ()), self.clock, self._record_at_node)
            for n in range(nodes.count)
        ]
        self.configs = [self._config(n) for n in range(self.scenario.coordinators.count)]
        self._sends: list[Send] = []
        self._sends_by_part: dict[Part, list[Send]] = {}
        self._members: tuple[Member, ...] = ()
        self._launches = 0
        self._list_version = 0
        # The changes of the list, and when each co-ordinator read each version of it.
        self._catalogue = Catalogue(defaultdict(list), defaultdict(list))
        # For killed co-ordinators: until when clients still use them.
        self._assumed_running_until: dict[int, float] = {}
        self._taps: dict[SimCoordinator, str] = {}
        self.coordinators: dict[int, SimCoordinator] = {}
        self._clients = SimClients(
            self.scenario,
            self.clock,
            self._assumptions.net,
            self.coordinators,
            self._targets,
            self._taps.__getitem__,
        )

    def run(self) -> Day:
        """Run the scenario and return its records."""
        scenario, clock = self.scenario, self.clock
        self._publish_list(0.0, {}, {})
        for number in range(scenario.coordinators.count):
            self._launch(number)
        for at, states, started in scenario.listings():
            if at > 0:
                clock.at(_DAY_START + at, partial(self._publish_list, at, states, started))
        self._schedule_coordinator_faults()
        tiles = [f"t{i:03d}" for i in range(scenario.nodes.tiles)]
        all_demands = demands(scenario, tiles)
        for demand in all_demands:
            clock.at(_DAY_START + demand.at, partial(self._clients.start, demand))
        clock.run(_DAY_START + scenario.seconds + _AFTER_DAY)
        return self._day(all_demands)

    def judge(self, day: Day) -> dict[str, Any]:
        """Return the audit's report, extended by the co-ordinators' processor load and the events handled."""
        report = rules.judge_day(day, samples=False)
        report["busy"] = {n: round(c.busy / self.scenario.seconds, 4) for n, c in self.coordinators.items()}
        report["events"] = self.clock.events_handled
        return report

    # ---- co-ordinators

    def _config(self, number: int) -> Config:
        table = self.scenario.coordinator_table(number, {"file": "list"}, {})
        return daemon_settings.check(table, Path("emulator"))

    def _launch(self, number: int) -> None:
        self._launches += 1
        tap = f"tap-{number}-{self._launches}"
        coordinator = SimCoordinator(
            number,
            self.configs[number],
            self._rng.getrandbits(63),
            self.clock,
            self.nodes,
            self._assumptions.net,
            self._assumptions.costs,
            self._record_send,
        )
        self.coordinators[number] = coordinator
        self._taps[coordinator] = tap
        self._record("launched", coordinator=number, tap=tap, port=number)
        self._catalogue.notified[tap].append((self.clock.now, self._list_version))
        coordinator.endpoints_updated(self._members)

    def _schedule_coordinator_faults(self) -> None:
        clock = self.clock
        for fault in self.scenario.troubles:
            start = _DAY_START + fault.at
            for number in fault.coordinators:
                if fault.kind == "coordinator_kill":
                    clock.at(start, partial(self._kill, number))
                    clock.at(start + fault.seconds, partial(self._launch, number))
                elif fault.kind == "coordinator_stall":
                    for at, seconds in fault.stalls():
                        clock.at(_DAY_START + at, partial(self._pause, number, seconds))

    def _kill(self, number: int) -> None:
        self.coordinators[number].kill()
        self._assumed_running_until[number] = self.clock.now + self.scenario.coordinators.notice
        self._record("killed", coordinator=number)

    def _pause(self, number: int, seconds: float) -> None:
        self.coordinators[number].pause(seconds)

    def _targets(self) -> list[int]:
        """Return the co-ordinators that clients assume to be running."""
        roots, now = self.scenario.coordinators.roots, self.clock.now
        return [
            n
            for n, coordinator in self.coordinators.items()
            if (not roots or n < roots)
            and (coordinator.alive or now < self._assumed_running_until.get(n, 0.0))
        ]

    # ---- the server list

    def _publish_list(self, at: float, states: dict[int, str], started: dict[int, float]) -> None:
        """Change the endpoint list; each co-ordinator reads it after a delay."""
        self._members = self._listed_members(states, started)
        self._record("list", day=at, states={str(n): state for n, state in states.items()})
        self._list_version += 1
        for n in range(self.scenario.nodes.count):
            self._catalogue.changes[n].append(Change(self.clock.now, self._list_version, n in states))
        for coordinator in self.coordinators.values():
            delay = self._assumptions.list_delay * (1.0 + self._rng.random())
            self.clock.after(delay, partial(self._read_list, coordinator, self._members, self._list_version))

    def _listed_members(self, states: dict[int, str], started: dict[int, float]) -> tuple[Member, ...]:
        zones = self.scenario.nodes.zones
        return tuple(
            Member(
                n,
                f"n{n}",
                ("node", n),
                n % len(zones),
                n,
                api.ReplicaState(states.get(n, "ready")),
                _DAY_START + started[n] if n in started else None,
            )
            for n in range(self.scenario.nodes.count)
        )

    def _read_list(self, coordinator: SimCoordinator, members: tuple[Member, ...], version: int) -> None:
        if coordinator.alive:
            self._catalogue.notified[self._taps[coordinator]].append((self.clock.now, version))
            coordinator.endpoints_updated(members)

    # ---- records

    def _record(self, kind: str, **fields: Any) -> None:
        self._director.append({"t": self.clock.now, "kind": kind, **fields})

    def _record_at_node(self, kind: str, **fields: Any) -> Record:
        record = {"t": self.clock.now, "kind": kind, **fields}
        self._node_records.append(record)
        return record

    def _record_send(
        self, coordinator: SimCoordinator, node: int, contents: list[Any]
    ) -> Callable[[Record], None]:
        parts = [Part(start, tile) for tile, start, _ in contents]
        send = Send(self.clock.now, coordinator.number, self._taps[coordinator], node, 0, parts)
        self._sends.append(send)
        for part in parts:
            self._sends_by_part.setdefault(part, []).append(send)

        def record_arrival(record: Record) -> None:
            send.took = record

        return record_arrival

    def _day(self, all_demands: list[Demand]) -> Day:
        """Collect the records in the form of a scenario run on sockets."""
        demand_records: list[Record] = [
            {
                "t": _DAY_START + d.at,
                "kind": "demand",
                "demand": d.number,
                "query_class": d.kind.name,
                "names": d.tiles,
            }
            for d in all_demands
        ]
        facts = self.scenario.facts()
        facts["down"] = {str(n): spans for n, spans in facts["down"].items()}
        return Day(
            facts=facts,
            director=self._director,
            tries=self._clients.attempts,
            demands=demand_records,
            nodes=self._node_records,
            sends=self._sends,
            bodies=b"",
            subtree_requests=[],
            exchanged={},
            catalogue=self._catalogue,
            by_part=self._sends_by_part,
            ends=ends_of(self._node_records),
        )


def emulate(
    scenario: Scenario, seed: int | None = None, assumptions: Assumptions | None = None
) -> dict[str, Any]:
    """Run a scenario in simulated time and judge it.

    Raises SettingsError for a scenario with Consul, a tree or vectors, which are not modelled.
    """
    unsupported = [
        name
        for name, is_configured in (
            ("consul", scenario.consul),
            ("vectors", scenario.vectors),
            ("coordinators.tree", scenario.coordinators.tree),
        )
        if is_configured
    ]
    if unsupported:
        raise daemon_settings.SettingsError(
            f"{scenario.name}: {', '.join(unsupported)}: not modelled in simulated time"
        )
    world = World(scenario, seed, assumptions)
    return world.judge(world.run())
