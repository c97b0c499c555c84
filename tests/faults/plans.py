"""The plan of one run of the rig, drawn from a seed: settings, traffic, faults and signals."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from faults.discovery_faults import NO_FAULTS, DiscoveryFaults

KILL_DELAY_SECONDS = 0.7  # least time from SIGTERM to SIGKILL, in addition to the longest deadline
MAX_COUNTED_DEADLINE_SECONDS = 3.0  # a longer deadline counts as this in the time from SIGTERM to SIGKILL


@dataclass(frozen=True)
class Restart:
    """A node ends, by SIGTERM and SIGKILL if `graceful`, else SIGKILL only; `away` seconds later it starts again."""

    at: float
    node: int
    graceful: bool
    away: float


@dataclass(frozen=True)
class Crowd:
    """Idle clients that open connections to one node and hold them for `lasts` seconds."""

    at: float
    node: int
    connections: int
    lasts: float


@dataclass(frozen=True)
class BadCrowd:
    """Clients of one kind of `bad_clients.KINDS` that misuse one node for `lasts` seconds."""

    at: float
    node: int
    kind: str
    connections: int
    lasts: float


@dataclass(frozen=True)
class ClassPlan:
    """A query class. Times in seconds; coverage as a share of the weight."""

    name: str
    retry_safety: str
    latency_objective: float
    deadline: float
    second_step_parts: int
    required_coverage: float
    complete_coverage: float


@dataclass(frozen=True)
class ReplicaFaults:
    """The faults of one replica: chances for each part; times in seconds."""

    latency: float = 0.03
    slow: float = 0.0  # chance of an answer near the latency objective or past it
    broke: float = 0.0
    skipped: float = 0.0
    silent: float = 0.0
    spoilt: float = 0.0
    closes: float = 0.0  # chance that its connection is reset once the part has been read
    doubled: float = 0.0  # chance that a good answer is sent twice


@dataclass(frozen=True)
class ProxyFaults:
    """The faults of a proxy: chances for each chunk that it forwards."""

    reset: float = 0.0  # at a random byte of the chunk
    split: float = 0.0
    delay: float = 0.0  # chance of up to `longest_delay`
    longest_delay: float = 0.05
    stuck: float = 0.0  # chance that a connection forwards no more data but stays open


@dataclass(frozen=True)
class Plan:
    """One run. `stops`: (second, node, seconds) of SIGSTOP to SIGCONT; `changes`: (second, replica, health)."""

    seed: int
    nodes: int
    replicas: int
    classes: tuple[ClassPlan, ...]
    seconds: float
    rate: float  # requests per second of all clients together
    parts_per_call: int
    may_cancel: bool
    may_hedge: bool
    may_poll: bool
    shards: int
    replica_faults: tuple[ReplicaFaults, ...]
    proxy_faults: ProxyFaults
    disconnects: float  # chance that a client disconnects before its answer
    stops: tuple[tuple[float, int, float], ...] = ()
    changes: tuple[tuple[float, int, str], ...] = ()
    terminate: tuple[tuple[float, int], ...] = ()  # SIGTERM: (second, node)
    kill: tuple[tuple[float, int], ...] = ()  # SIGKILL
    restarts: tuple[Restart, ...] = ()
    crowds: tuple[Crowd, ...] = ()
    moves: tuple[tuple[float, int], ...] = ()  # (second, node): discovery moves, and the node gets SIGHUP
    discovery: DiscoveryFaults = NO_FAULTS
    bad_crowds: tuple[BadCrowd, ...] = ()
    memory_mb: int = 128  # the limit of each node
    sockets: int = 256  # descriptors of each node

    @property
    def is_crowded(self) -> bool:
        """Whether other clients take descriptors, so that a node may close connections to make room."""
        return bool(self.crowds or self.bad_crowds)

    @property
    def seconds_to_kill(self) -> float:
        """The shortest time that the platform leaves from SIGTERM to SIGKILL."""
        return (
            min(max(class_plan.deadline for class_plan in self.classes), MAX_COUNTED_DEADLINE_SECONDS)
            + KILL_DELAY_SECONDS
        )

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings as the platform passes them to the `number`-th node."""
        classes = self.classes
        return {
            "Balancers": self.nodes,
            "Locality": 0,
            "Ordinal": number,
            "GranularityS": 0.005,
            "MembershipMode": "ask" if self.may_poll else "push",
            "Zones": ["a", "b"],
            "Classes": [
                {
                    "Name": c.name,
                    "AimS": c.latency_objective,
                    "DeadlineS": c.deadline,
                    "Semantics": c.retry_safety,
                    "LateWorth": 0.3,
                }
                | ({"WindowS": 1.0} if c.retry_safety == "keyed" else {})
                for c in classes
            ],
            "Extra": {
                "ClassFetch": [c.second_step_parts for c in classes],
                "MinShare": [c.required_coverage for c in classes],
                "WholeAt": [c.complete_coverage for c in classes],
                "ShortWorth": [0.9] * len(classes),
                "PerCall": self.parts_per_call,
                "Sets": 1,
                "Shards": self.shards,
                "Width": 1,
            },
            "Limits": {
                "Cancelling": self.may_cancel,
                "ConnIdleS": 15.0,
                "ConnectTimeoutS": 0.25,
                "MaxRetryAfterS": 0.5,
                "Peers": False,
                "RetryAfter": True,
                "SecondCopies": self.may_hedge,
                "SendCap": 3,
                "StreamsPerConn": 32,
            },
            "Rules": {
                "RampTimeS": 1.0,
                "StartCapacity": 0.2,
                "FallS": 1.5,
                "TipMultiple": 4.0,
                "StopSendingWithinS": 0.5,
            },
        }


# Required and complete coverage: both 1, both the same below 1, only the complete one 1, both below 1 and different.
_COVERAGES = ((1.0, 1.0), (0.75, 0.75), (0.5, 1.0), (0.5, 0.75), (0.7, 1.0), (0.6, 0.9))


def draw(seed: int, seconds: float = 3.0) -> Plan:
    """Draw the plan of a seed; a seed always gives the same plan."""
    chance = random.Random(seed)
    nodes, replicas = chance.randint(1, 3), chance.randint(3, 6)
    objective = chance.choice((0.15, 0.25, 0.4))
    classes = tuple(
        _draw_class(chance, name, objective * chance.choice((0.7, 1.0, 1.5)))
        for name in ("report", "look", "book")
    )
    fault_level = chance.choice((0.01, 0.05, 0.15))
    faults = tuple(_draw_replica(chance, fault_level) for _ in range(replicas))
    proxies = ProxyFaults(
        reset=fault_level * chance.choice((0, 0.5, 1)),
        split=chance.choice((0, 0.2, 0.8)),
        delay=fault_level,
        longest_delay=objective / 2,
        stuck=fault_level / 20,
    )
    return Plan(
        seed,
        nodes,
        replicas,
        classes,
        seconds,
        chance.choice((40.0, 100.0, 180.0)),
        chance.choice((1, 3, 8)),
        chance.random() < 0.8,
        chance.random() < 0.8,
        chance.random() < 0.7,
        chance.choice((4, 8, 12)),
        faults,
        proxies,
        chance.choice((0.0, 0.03, 0.1)),
        stops=tuple(
            sorted(
                (chance.uniform(0.2, seconds), chance.randrange(nodes), chance.choice((0.02, 0.06, 0.12)))
                for _ in range(chance.choice((0, 3, 10)))
            )
        ),
        changes=_draw_changes(chance, replicas, seconds),
        terminate=((chance.uniform(0.5, seconds), 0),) if chance.random() < 0.2 else (),
        kill=((chance.uniform(0.5, seconds), nodes - 1),) if nodes > 1 and chance.random() < 0.15 else (),
    )


def _draw_class(chance: random.Random, name: str, objective: float) -> ClassPlan:
    retry_safety = "unsafe" if name == "book" else "safe"
    required, complete = chance.choice(_COVERAGES) if name != "book" else (1.0, 1.0)
    second_step_parts = 0 if name == "book" or chance.random() < 0.4 else chance.randint(1, 5)
    return ClassPlan(
        name,
        retry_safety,
        objective,
        objective * chance.choice((1.5, 3.0, 5.0)),
        second_step_parts,
        required,
        complete,
    )


def _draw_replica(chance: random.Random, fault_level: float) -> ReplicaFaults:
    fault_chance = fault_level * chance.choice((0, 0.3, 1))
    return ReplicaFaults(
        latency=chance.choice((0.005, 0.02, 0.05)),
        slow=chance.choice((0.0, 0.1, 0.4)),
        broke=fault_chance,
        skipped=fault_chance / 2,
        silent=fault_chance / 2,
        spoilt=fault_chance / 2,
        closes=fault_chance,
        doubled=fault_chance / 4,
    )


def _draw_changes(chance: random.Random, replicas: int, seconds: float) -> tuple[tuple[float, int, str], ...]:
    """Draw replicas that drain or are gone for a while; at least two always serve."""
    changes: list[tuple[float, int, str]] = []
    for replica in range(replicas - 2):
        if chance.random() < 0.3:
            at = chance.uniform(0.2, seconds * 0.6)
            changes += [(at, replica, chance.choice(("DRAINING", "DELETED")))]
            changes += [(at + chance.uniform(0.2, seconds * 0.4), replica, "SERVING")]
    return tuple(sorted(changes))
