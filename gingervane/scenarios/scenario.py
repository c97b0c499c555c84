"""Scenario files: a fleet, its load and its faults at stated times, as validated TOML.

The only I/O is reading the file. The fields of the models are keys of scenario files.

Times are seconds from the start of the run. A fault (`[[trouble]]`) selects the nodes it hits by `nodes`,
`zone` or `share`. The table `list` sets how soon the server list shows a change: a crash `notice` seconds
later, a silent loss `silent_notice` seconds later, a recovery `add` seconds later. Faults with `listed =
false` are never shown.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable, Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.consul import FAULTS
from gingervane.fake_servers.faults import KINDS, Fault
from gingervane.scenarios.coordinator_settings import ReplicaRing, coordinator_table
from gingervane.settings.daemon_settings import SettingsError, validate
from gingervane.settings.tables import Class, Count, Seconds, Share, Table

OWN_KINDS = {"burst", "drain", "coordinator_kill", "coordinator_stall", "coordinator_drain", "agent_fault"}
MAX_PAUSE = 2.0  # seconds of one pause of a co-ordinator
BETWEEN_PAUSES = 3.0  # seconds
SecondsOrZero = Annotated[float, Field(ge=0, le=3600)]


class Nodes(Table):
    """The grid's nodes and the capacity of each; times in seconds."""

    count: Annotated[int, Field(gt=0, le=400)] = 12
    processes: Annotated[int, Field(gt=0, le=16)] = 1  # over which the fake nodes are spread
    tiles: Annotated[int, Field(gt=0, le=2000)] = 24
    width: Annotated[int, Field(gt=0, le=10)] = 3
    zones: Annotated[tuple[str, ...], Field(min_length=1)] = ("hall-a", "hall-b", "hall-c")
    cores: Count = 2
    work: Seconds = 0.01
    call_work: SecondsOrZero = 0.002
    queue: Count = 60
    start_capacity: Share = 0.2
    ramp_time: Seconds = 8.0
    fall_multiple: Annotated[float, Field(gt=1)] = 4.0
    fall_time: Seconds = 1.5

    def model(self) -> Model:
        """Return the capacity model of a node."""
        return Model(
            self.cores,
            self.work,
            self.call_work,
            self.queue,
            self.start_capacity,
            self.ramp_time,
            self.fall_multiple,
            self.fall_time,
        )


class Listing(Table):
    """Delays of the server list; a drain must be honoured within `grace` seconds."""

    notice: SecondsOrZero = 0.5
    silent_notice: SecondsOrZero = 2.0
    add: SecondsOrZero = 0.3
    interval: Seconds = 0.05
    grace: Seconds = 0.5


class Coordinators(Table):
    """The co-ordinators, and those of their settings that a scenario may set."""

    count: Annotated[int, Field(gt=0, le=64)] = 3
    roots: Annotated[int, Field(ge=0, le=64)] = 0  # co-ordinators that clients send to; 0: all
    notice: SecondsOrZero = 0.5  # clients go on sending to a killed co-ordinator for this long
    limits: dict[str, Any] = {}
    tree: dict[str, Any] = {}  # settings of the tree; empty: no tree. `ring` is the number of co-ordinators
    budget_free: Annotated[float, Field(ge=0)] = 20
    budget_share: Annotated[float, Field(ge=0)] = 0.2
    budget_span: Seconds = 5.0


class Consul(Table):
    """Nodes are listed in Consul: number of agents in use, and the wait of blocking queries in seconds."""

    agents: Annotated[int, Field(gt=0, le=8)] = 2
    wait: Annotated[float, Field(gt=0, le=600)] = 10.0


class VectorDay(Table):
    """Vector nodes in addition to the grid's, and their load: writes and searches a second, in total."""

    nodes: Annotated[int, Field(gt=0, le=60)] = 6
    width: Annotated[int, Field(gt=0, le=9)] = 3
    quorum: Annotated[int, Field(gt=0, le=9)] = 2
    dims: Annotated[int, Field(gt=0, le=2000)] = 8
    window: Seconds = 6.0  # in which nodes drop repeats of an idempotency key
    fixed: Annotated[int, Field(gt=0, le=20000)] = 600  # points loaded before the run and not written to
    upserts: Annotated[float, Field(gt=0, le=2000)] = 60.0
    adds: Annotated[float, Field(gt=0, le=2000)] = 30.0
    searches: Annotated[float, Field(gt=0, le=2000)] = 10.0
    tries: Annotated[int, Field(gt=0, le=10)] = 4
    backoff: SecondsOrZero = 0.15
    timeout: Seconds = 1.5
    settle: Seconds = 30.0  # time after the run in which missed writes must be repaired


class LoadClass(Class):
    """A query class with its load: its share of the queries, and the range of tiles that a query reads."""

    share: Annotated[float, Field(gt=0)] = 1.0
    tiles: Annotated[tuple[int, int], Field()] = (2, 4)
    partial: bool = False


class Clients(Table):
    """How clients send queries and retry.

    `honour` is the share of retries that wait for Retry-After. A client's time-out is between `try_share` and
    all of the class's deadline. `impatient` is the share of attempts whose client disconnects before its
    time-out.
    """

    rate: Annotated[float, Field(gt=0, le=5000)] = 40.0
    retries: Annotated[int, Field(ge=0, le=5)] = 1
    backoff: SecondsOrZero = 0.1
    honour: Annotated[float, Field(ge=0, le=1)] = 0.7
    try_share: Share = 0.8
    impatient: Annotated[float, Field(ge=0, le=1)] = 0.01
    range_ms: Annotated[int, Field(gt=0)] = 300_000


class ScheduledFault(Table):
    """A fault of nodes, co-ordinators, Consul agents or the load, at a stated time."""

    kind: str
    at: SecondsOrZero
    seconds: Seconds
    size: Annotated[float, Field(ge=0)] = 1.0
    how: Literal["crash", "vanish", "hang"] = "crash"
    nodes: tuple[int, ...] = ()
    zone: str | None = None
    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    coordinators: tuple[int, ...] = ()
    agents: tuple[int, ...] = ()  # of Consul
    vector_nodes: tuple[int, ...] = ()  # hit instead of nodes of the grid
    fault: Literal[FAULTS] = ""  # type: ignore[valid-type]
    listed: bool = True

    @model_validator(mode="after")
    def _check_kind(self) -> ScheduledFault:
        if self.kind not in KINDS and self.kind not in OWN_KINDS:
            raise ValueError(f"kind: {self.kind!r} is not one of {', '.join(sorted([*KINDS, *OWN_KINDS]))}")
        return self

    def stalls(self) -> Iterator[tuple[float, float]]:
        """Yield the start and the length of each pause of a co-ordinator that is stopped repeatedly."""
        at, size = self.at, min(self.size, MAX_PAUSE)
        while at < self.at + self.seconds:
            yield at, size
            at += size + BETWEEN_PAUSES


class Scenario(Table):
    """A scenario file."""

    name: str
    seed: int = 1
    seconds: Seconds = 30.0
    nodes: Nodes = Nodes()
    listing: Annotated[Listing, Field(alias="list")] = Listing()
    coordinators: Coordinators = Coordinators()
    clients: Clients = Clients()
    classes: Annotated[tuple[LoadClass, ...], Field(alias="class", min_length=1)]
    troubles: Annotated[tuple[ScheduledFault, ...], Field(alias="trouble")] = ()
    consul: Consul | None = None
    vectors: VectorDay | None = None
    unmapped: tuple[str, ...] = ()  # faults of a bench day that have no equivalent in a scenario

    @model_validator(mode="after")
    def _check_references(self) -> Scenario:
        for index, trouble in enumerate(self.troubles):
            if trouble.zone is not None and trouble.zone not in self.nodes.zones:
                raise ValueError(f"trouble[{index}].zone: {trouble.zone!r} is no zone")
            if any(not 0 <= n < self.nodes.count for n in trouble.nodes):
                raise ValueError(f"trouble[{index}].nodes: there are {self.nodes.count} nodes")
            if any(not 0 <= n < self.coordinators.count for n in trouble.coordinators):
                raise ValueError(f"trouble[{index}].coordinators: there are {self.coordinators.count}")
            vectors = self.vectors.nodes if self.vectors else 0
            if any(not 0 <= n < vectors for n in trouble.vector_nodes):
                raise ValueError(f"trouble[{index}].vector_nodes: there are {vectors}")
            agents = self.consul.agents if self.consul else 0
            if any(not 0 <= n < agents for n in trouble.agents):
                raise ValueError(f"trouble[{index}].agents: there are {agents}")
            if trouble.kind == "agent_fault" and not (trouble.agents and trouble.fault):
                raise ValueError(f"trouble[{index}].agents: and fault must be named for an agent_fault")
        return self

    def hit(self, index: int) -> tuple[int, ...]:
        """Return the nodes of the grid that a fault hits; a `share` selects nodes by the scenario's seed."""
        trouble, count = self.troubles[index], self.nodes.count
        if trouble.nodes or trouble.vector_nodes:
            return trouble.nodes
        if trouble.zone is not None:
            zones = self.nodes.zones
            return tuple(n for n in range(count) if zones[n % len(zones)] == trouble.zone)
        if trouble.kind in OWN_KINDS - {"drain"}:
            return ()
        chosen = random.Random(f"{self.seed}/{index}").sample(
            range(count), max(round(trouble.share * count), 1)
        )
        return tuple(sorted(chosen))

    def coordinator_table(
        self,
        number: int,
        membership: dict[str, Any],
        log: dict[str, Any],
    ) -> dict[str, Any]:
        """Build the settings of a co-ordinator, without those of a tree or of vectors."""
        nodes, own = self.nodes, self.coordinators
        tiles = [f"t{i:03d}" for i in range(nodes.tiles)]
        ring = ReplicaRing(
            tiles,
            nodes.count,
            nodes.width,
            nodes.zones,
            nodes.start_capacity,
            nodes.ramp_time,
            nodes.fall_time,
        )
        table = coordinator_table(
            ring,
            nodes.zones[number % len(nodes.zones)],
            own.count,
            membership,
            self._class_tables(),
            (own.budget_free, own.budget_share, own.budget_span),
            log,
        )
        return table | {"limits": own.limits}

    def _class_tables(self) -> list[dict[str, Any]]:
        """Return the query classes in the form of a co-ordinator's settings."""
        return [
            {
                key: value
                for key, value in c.model_dump(mode="json").items()
                if key not in ("share", "tiles", "partial") and value is not None
            }
            for c in self.classes
        ]

    def faults(self, began: float) -> dict[int, list[Fault]]:
        """Return each node's faults, with times on the clock on which the run started at `began`."""
        return self._faults_by_node(began, self.hit)

    def vector_faults(self, began: float) -> dict[int, list[Fault]]:
        """Return each vector node's faults, with times like those of `faults`."""
        return self._faults_by_node(began, lambda index: self.troubles[index].vector_nodes)

    def _faults_by_node(self, began: float, hit: Callable[[int], tuple[int, ...]]) -> dict[int, list[Fault]]:
        out: dict[int, list[Fault]] = {}
        for index, trouble in enumerate(self.troubles):
            if trouble.kind in KINDS:
                fault = Fault(trouble.kind, began + trouble.at, trouble.seconds, trouble.size, trouble.how)
                for node in hit(index):
                    out.setdefault(node, []).append(fault)
        return out

    def listings(self) -> list[tuple[float, dict[int, str], dict[int, float]]]:
        """Return the versions of the server list: start of a version, states other than ready, and restarts.

        Times are seconds from the start of the run.
        """
        spans: list[tuple[float, float, int, str]] = []  # from, to, node, state
        starts: list[tuple[float, int, float]] = []  # listed at, node, started at
        for index, trouble in enumerate(self.troubles):
            if not trouble.listed:
                continue
            if trouble.kind == "drain":
                spans += [(trouble.at, trouble.at + trouble.seconds, n, "draining") for n in self.hit(index)]
            elif trouble.kind in KINDS:
                fault = Fault(trouble.kind, trouble.at, trouble.seconds, trouble.size, trouble.how)
                for start, end, how in fault.down_spans():
                    listing_delay = self.listing.silent_notice if how == "vanish" else self.listing.notice
                    for node in self.hit(index):
                        if start + listing_delay < end:
                            spans.append((start + listing_delay, end + self.listing.add, node, "gone"))
                        starts.append((end + self.listing.add, node, end))
        times = sorted({0.0, *(s[0] for s in spans), *(s[1] for s in spans), *(s[0] for s in starts)})
        out = []
        for now in (t for t in times if t < self.seconds):
            states = {n: state for a, b, n, state in sorted(spans, key=lambda s: s[3]) if a <= now < b}
            started = {n: at for when, n, at in sorted(starts) if when <= now}
            out.append((now, states, started))
        return out

    def down(self, node: int) -> list[tuple[float, float]]:
        """Return the time spans in which a node cannot answer, for the upper bound on the queries served."""
        out: list[tuple[float, float]] = []
        for index, trouble in enumerate(self.troubles):
            if trouble.kind in KINDS and node in self.hit(index):
                fault = Fault(trouble.kind, trouble.at, trouble.seconds, trouble.size, trouble.how)
                out += [(a, b) for a, b, _ in fault.down_spans()]
                if fault.kind == "say_nothing" or (fault.kind in ("hang", "fail_fast") and fault.size >= 1):
                    out.append((fault.start, fault.end))
        return out

    def facts(self) -> dict[str, Any]:
        """Return the facts that an audit needs about the scenario; the keys are stored in `facts.json`."""
        nodes, own = self.nodes, self.coordinators
        return {
            "name": self.name,
            "nodes": nodes.count,
            "width": nodes.width,
            "model": nodes.model()._asdict(),
            "classes": {c.name: c.model_dump(mode="json") for c in self.classes},
            "grace": self.listing.grace,
            "budget": {"free": own.budget_free, "share": own.budget_share, "span": own.budget_span},
            "vectors": self.vectors.model_dump() if self.vectors else None,
            "consul_agents": self.consul.agents if self.consul else 0,
            "agent_faults": [[agent, t.at, t.at + t.seconds] for t in self.troubles for agent in t.agents],
            "down": {n: down for n in range(nodes.count) if (down := self.down(n))},
            "unmapped": self.unmapped,
        }


def names() -> list[str]:
    """Return the names of the scenarios that ship with the package."""
    folder = resources.files("gingervane.scenarios")
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load(name: str) -> Scenario:
    """Load a scenario by the name of one that ships, or by its file. Raises SettingsError."""
    path = Path(name)
    if name in names():
        text = (resources.files("gingervane.scenarios") / f"{name}.toml").read_text()
    else:
        try:
            text = path.read_text()
        except OSError as error:
            shipped = ", ".join(names())
            raise SettingsError(f"{name}: {error.strerror}; scenarios that ship: {shipped}") from None
    try:
        return validate(Scenario, tomllib.loads(text), path)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{name}: {error}") from None
