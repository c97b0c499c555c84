"""A whole day in simulated time: a rehearsal's scenario over modelled nodes, network, clients and list.

What comes out is what a rehearsal on sockets records, and the same audit judges it. Two runs of one scenario and seed
are identical, event by event.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.audit import rules
from gingervane.audit.records import Catalogue, Change, Day, Part, Record, Send, ends_of
from gingervane.coordinator import types as t
from gingervane.settings import daemon_settings
from gingervane.settings.daemon_settings import Config
from gingervane.emulator.coordinator import Asked, Costs, Net, SimCoordinator
from gingervane.emulator.events import Clock
from gingervane.emulator.node import SimNode
from gingervane.scenarios.demands import BASE_MS, Demand, demands
from gingervane.scenarios.scenario import Scenario
from gingervane.membership.view import Member

BEGAN = 1000.0  # the day's start on the simulated clock; what was up before had long been
_AFTER = 10.0  # seconds after the day in which what is open ends


class Assumed(NamedTuple):
    """What a world takes for granted besides its scenario. `list_delay`: seconds until a co-ordinator has read a
    changed list, and as much again at random."""

    net: Net = Net()
    costs: Costs = Costs()
    list_delay: float = 0.03


class World:
    """One day. `run` plays it."""

    def __init__(self, scenario: Scenario, seed: int | None = None, assumed: Assumed | None = None) -> None:
        self.scenario = scenario if seed is None else scenario.model_copy(update={"seed": seed})
        self._assumed = assumed or Assumed()
        self.clock = Clock(BEGAN - 1.0)
        self._rng = random.Random(f"world/{self.scenario.seed}")
        nodes = self.scenario.nodes
        faults = self.scenario.faults(BEGAN)
        self._records: list[Record] = []
        self._director: list[Record] = [{"t": BEGAN, "kind": "began", "at": BEGAN}]
        self.nodes = [
            SimNode(n, nodes.model(), faults.get(n, ()), self.clock, self._record) for n in range(nodes.count)
        ]
        self.configs = [self._config(n) for n in range(self.scenario.coordinators.count)]
        self._numbers = {c.name: 3 * i for i, c in enumerate(self.scenario.classes)}
        self._tiles = [f"t{i:03d}" for i in range(nodes.tiles)]
        self._tries: list[Record] = []
        self._sends: list[Send] = []
        self._by_part: dict[Part, list[Send]] = {}
        self._list: tuple[Member, ...] = ()
        self._launches = self._lists = 0
        self._told = Catalogue(defaultdict(list), defaultdict(list))  # when each co-ordinator read each list
        self._hidden: dict[int, float] = {}
        self._taps: dict[SimCoordinator, str] = {}
        self.coordinators: dict[int, SimCoordinator] = {}
        self._starts = 0

    def run(self) -> Day:
        """Play the day; what was recorded of it."""
        scenario, clock = self.scenario, self.clock
        self._say(0.0, {}, {})
        for number in range(scenario.coordinators.count):
            self._launch(number)
        for at, states, started in scenario.listings():
            if at > 0:
                clock.at(BEGAN + at, lambda a=at, s=states, b=started: self._say(a, s, b))  # type: ignore[misc]
        self._plan_troubles()
        asked = demands(scenario, self._tiles)
        for demand in asked:
            clock.at(BEGAN + demand.at, lambda d=demand: self._demand(d))  # type: ignore[misc]
        clock.run(BEGAN + scenario.seconds + _AFTER)
        wanted: list[Record] = [
            {
                "t": BEGAN + d.at,
                "kind": "demand",
                "demand": d.number,
                "query_class": d.kind.name,
                "names": d.tiles,
            }
            for d in asked
        ]
        facts = scenario.facts()
        facts["down"] = {str(n): found for n, found in facts["down"].items()}
        day = Day(
            facts, self._director, self._tries, wanted, self._records, self._sends, b"", [], {}, self._told
        )
        day.by_part = self._by_part
        day.ends = ends_of(self._records)
        return day

    def judge(self, day: Day) -> dict[str, Any]:
        """The audit's report, with how busy the co-ordinators were."""
        report = rules.judge_day(day, samples=False)
        report["busy"] = {n: round(c.busy / self.scenario.seconds, 4) for n, c in self.coordinators.items()}
        report["events"] = self.clock.done
        return report

    # ---- the list, and processes

    def _config(self, number: int) -> Config:
        table = self.scenario.coordinator_table(number, {"file": "list"}, {})
        return daemon_settings.check(table, Path("emulator"))

    def _launch(self, number: int) -> None:
        self._launches += 1
        tap = f"tap-{number}-{self._launches}"
        made = SimCoordinator(
            number,
            self.configs[number],
            self._rng.getrandbits(63),
            self.clock,
            self.nodes,
            self._assumed.net,
            self._assumed.costs,
            self._sent,
        )
        self.coordinators[number] = made
        self._taps[made] = tap
        self._director.append(
            {"t": self.clock.now, "kind": "launched", "coordinator": number, "tap": tap, "port": number}
        )
        self._told.told[tap].append((self.clock.now, self._lists))
        made.listed(self._list)

    def _say(self, at: float, states: dict[int, str], started: dict[int, float]) -> None:
        """The list changes; each co-ordinator reads it a little later."""
        zones = self.scenario.nodes.zones
        members = tuple(
            Member(
                n,
                f"n{n}",
                ("node", n),
                n % len(zones),
                n,
                api.ReplicaState(states.get(n, "ready")),
                BEGAN + started[n] if n in started else None,
            )
            for n in range(self.scenario.nodes.count)
        )
        self._list = members
        said = {str(n): state for n, state in states.items()}
        self._director.append({"t": self.clock.now, "kind": "list", "day": at, "states": said})
        self._lists += 1
        for n in range(self.scenario.nodes.count):
            self._told.changes[n].append(Change(self.clock.now, self._lists, n in states))
        for made in self.coordinators.values():
            delay = self._assumed.list_delay * (1.0 + self._rng.random())
            order = self._lists
            self.clock.after(delay, lambda c=made, m=members, o=order: self._read_list(c, m, o))  # type: ignore[misc]

    def _read_list(self, made: SimCoordinator, members: tuple[Member, ...], order: int) -> None:
        if made.alive:
            self._told.told[self._taps[made]].append((self.clock.now, order))
            made.listed(members)

    def _plan_troubles(self) -> None:
        clock = self.clock
        for trouble in self.scenario.troubles:
            for number in trouble.coordinators:
                if trouble.kind == "coordinator_kill":
                    clock.at(BEGAN + trouble.at, lambda n=number: self._kill(n))  # type: ignore[misc]
                    back = BEGAN + trouble.at + trouble.seconds
                    clock.at(back, lambda n=number: self._launch(n))  # type: ignore[misc]
                elif trouble.kind == "coordinator_stall":
                    for at, size in trouble.stalls():
                        clock.at(
                            BEGAN + at,
                            lambda n=number, s=size: self.coordinators[n].stall(s),  # type: ignore[misc]
                        )

    def _kill(self, number: int) -> None:
        self.coordinators[number].kill()
        self._hidden[number] = self.clock.now + self.scenario.coordinators.notice
        self._director.append({"t": self.clock.now, "kind": "killed", "coordinator": number})

    # ---- clients

    def _targets(self) -> list[int]:
        """Co-ordinators that clients take for running."""
        roots, now = self.scenario.coordinators.roots, self.clock.now
        return [
            n
            for n, made in self.coordinators.items()
            if (not roots or n < roots) and (made.alive or now < self._hidden.get(n, 0.0))
        ]

    def _demand(self, demand: Demand) -> None:
        rng = random.Random(demand.seed)
        self._try(demand, 0, rng)

    def _again(self, demand: Demand, number: int, rng: random.Random, advised: float) -> None:
        """A try has not been answered well: the next, if there is one."""
        clients = self.scenario.clients
        if number >= clients.retries:
            return
        wait = advised if advised and rng.random() < clients.honour else clients.backoff
        self.clock.after(wait, lambda: self._try(demand, number + 1, rng))

    def _try(self, demand: Demand, number: int, rng: random.Random) -> None:
        clients, clock, kind = self.scenario.clients, self.clock, demand.kind
        targets = self._targets()
        if not targets:
            self._again(demand, number, rng, 0.0)
            return
        chosen = rng.choice(targets)
        start = BASE_MS + self._starts
        self._starts += 1
        limit = kind.deadline * (1.0 - rng.random() * (1.0 - clients.try_share))
        leaves = rng.random() < clients.impatient
        patience = limit * (rng.random() if leaves else 1.0)
        made = self.coordinators[chosen]
        record: Record = {
            "demand": demand.number,
            "number": number,
            "coordinator": chosen,
            "query_class": kind.name,
            "tiles": demand.tiles,
            "start": start,
            "end": start + clients.range_ms,
            "timeout": limit,
            "partial": kind.partial,
            "sent": clock.now,
            "replies": [],
            "extra": 0,
            "kind": "try",
        }
        if not made.alive:
            self._tries.append(record | {"outcome": "unreached", "ended": clock.now})
            self._again(demand, number, rng, 0.0)
            return
        over: list[str] = []
        leave: list[Callable[[], None]] = []

        def end(outcome: str, advised: float, **more: Any) -> None:
            if over:
                return
            over.append(outcome)
            self._tries.append(record | more | {"outcome": outcome, "ended": clock.now})
            if outcome != "left" and more.get("status") != 200:
                self._again(demand, number, rng, advised)

        def answer(final: t.QueryResult | None, at: float) -> None:
            record["replies"] = [at] if final else []
            clock.after(self._assumed.net.delay, lambda: arrive(final))

        def arrive(final: t.QueryResult | None) -> None:
            if final is None:
                end("closed", 0.0)
                return
            answered = final.status is t.QueryStatus.COMPLETE or (
                final.status is t.QueryStatus.PARTIAL and kind.partial
            )
            if answered:
                missing = [name for i, name in enumerate(demand.tiles) if i not in final.results]
                end("reply", 0.0, status=200, coverage=f"{final.coverage:g}", missing=",".join(missing))
            elif final.status is t.QueryStatus.REJECTED:
                end("reply", final.retry_after, status=503, coverage=None, missing=None)
            else:
                end("reply", 0.0, status=502, coverage=None, missing=None)

        def gone() -> None:
            if not over and leave:
                leave[0]()
            end("left" if leaves else "timeout", 0.0)

        def read(at: float) -> None:
            record["read"], record["tap"] = at, self._taps[made]

        weight = 1.0 / len(demand.tiles)
        parts = tuple(
            t.PartPlan(int(tile[1:]), weight, [tile, start, start + clients.range_ms])
            for tile in demand.tiles
        )
        twin = self._numbers[kind.name] + (1 if kind.partial else 0)
        asked = Asked(kind.name, twin, parts, limit, answer, read)
        clock.after(self._assumed.net.delay, lambda: leave.append(made.ask(asked)) if made.alive else None)
        # A client that does not leave hangs on a little past its time, so that a late answer is seen as late.
        clock.after(patience + (0.0 if leaves else 0.5), gone)

    # ---- records

    def _record(self, kind: str, **fields: Any) -> Record:
        made = {"t": self.clock.now, "kind": kind, **fields}
        self._records.append(made)
        return made

    def _sent(self, made: SimCoordinator, node: int, tiles: list[Any]) -> Callable[[Record], None]:
        parts = [Part(start, tile) for tile, start, _ in tiles]
        send = Send(self.clock.now, made.number, self._taps[made], node, 0, parts)
        self._sends.append(send)
        for part in parts:
            self._by_part.setdefault(part, []).append(send)

        def took(record: Record) -> None:
            send.took = record

        return took


def emulate(scenario: Scenario, seed: int | None = None, assumed: Assumed | None = None) -> dict[str, Any]:
    """Play a scenario in simulated time and judge it. Troubles of Consul, the tree and vectors are not modelled yet:
    a scenario that has them raises SettingsError."""
    lacking = [
        name
        for name, has in (
            ("consul", scenario.consul),
            ("vectors", scenario.vectors),
            ("coordinators.tree", scenario.coordinators.tree),
        )
        if has
    ]
    if lacking:
        raise daemon_settings.SettingsError(
            f"{scenario.name}: {', '.join(lacking)}: not modelled in simulated time"
        )
    world = World(scenario, seed, assumed)
    return world.judge(world.run())
