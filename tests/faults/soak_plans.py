"""Plans of the soak: long runs in which discovery fails, replicas come and go, and nodes are restarted repeatedly."""

from __future__ import annotations

import random
from dataclasses import replace

from faults.discovery_faults import DiscoveryFaults, Outage
from faults.node_process import MAX_SOCKETS
from faults.plans import Crowd, Plan, Restart, draw

# Latest start of the first restart, and least time to the end of the run after the first kill of the last round.
QUIET_SECONDS = 3.0
LONGEST_OUTAGE_SECONDS = 7.0
MAX_SERVICE_SECONDS = 0.3  # of one call to discovery
MAX_ANSWER_DELAY_SECONDS = 1.0  # greatest delay of an answer of discovery, in addition to the queue


def draw_soak(seed: int, seconds: float) -> Plan:
    """Draw the plan of a seed, for runs longer than the 6 s after which a node counts as notified of a change."""
    chance = random.Random(f"soak/{seed}")
    plan = draw(seed, QUIET_SECONDS)  # for its classes, replicas and proxies; the rest is replaced
    seconds_to_kill = plan.seconds_to_kill
    return replace(
        plan,
        seconds=seconds,
        may_poll=True,
        rate=min(plan.rate, 100.0),
        stops=_stops(chance, plan.nodes, seconds),
        changes=_changes(chance, plan.replicas, seconds),
        terminate=(),
        kill=(),
        restarts=_restarts(chance, plan.nodes, seconds, seconds_to_kill),
        crowds=_crowds(chance, plan.nodes, seconds),
        moves=_moves(chance, plan.nodes, seconds),
        discovery=_discovery(chance, seconds),
    )


def _stops(chance: random.Random, nodes: int, seconds: float) -> tuple[tuple[float, int, float], ...]:
    count = chance.choice((0, 4, 12))
    return tuple(
        sorted(
            (chance.uniform(0.5, seconds), chance.randrange(nodes), chance.choice((0.02, 0.06, 0.12)))
            for _ in range(count)
        )
    )


def _changes(chance: random.Random, replicas: int, seconds: float) -> tuple[tuple[float, int, str], ...]:
    """Draw replicas that repeatedly drain, are removed and serve again; at least two always serve."""
    changes: list[tuple[float, int, str]] = []
    for replica in range(replicas - 2):
        at = chance.uniform(0.3, seconds / 2)
        while at < seconds:
            changes.append((at, replica, "DRAINING"))
            at += chance.uniform(1.0, 9.0)
            if chance.random() < 0.5:
                changes.append((at, replica, "DELETED"))
                at += chance.uniform(1.0, 6.0)
            changes.append((at, replica, "SERVING"))
            at += chance.uniform(2.0, 8.0)
    return tuple(sorted(changes))


def _restarts(
    chance: random.Random, nodes: int, seconds: float, seconds_to_kill: float
) -> tuple[Restart, ...]:
    """Draw rounds of restarts, one node after another or all at once; nodes are ready before the next round."""
    restarts: list[Restart] = []
    at = chance.uniform(1.0, QUIET_SECONDS)
    interval = chance.choice((0.0, 0.4, seconds_to_kill + 1.0))
    while at < seconds - seconds_to_kill - QUIET_SECONDS and len(restarts) < 3 * nodes:
        for node in range(nodes):
            graceful = chance.random() < 0.7
            restarts.append(Restart(at + node * interval, node, graceful, chance.uniform(0.0, 0.5)))
        at += nodes * interval + seconds_to_kill + chance.uniform(3.0, 9.0)
    return tuple(restarts)


def _crowds(chance: random.Random, nodes: int, seconds: float) -> tuple[Crowd, ...]:
    if chance.random() < 0.6:
        return ()
    return tuple(
        Crowd(chance.uniform(0.5, seconds / 2), node, MAX_SOCKETS, chance.uniform(2.0, seconds / 2))
        for node in range(nodes)
    )


def _moves(chance: random.Random, nodes: int, seconds: float) -> tuple[tuple[float, int], ...]:
    if chance.random() < 0.5:
        return ()
    return tuple((chance.uniform(1.0, seconds), chance.randrange(nodes)) for _ in range(chance.randint(1, 3)))


def _discovery(chance: random.Random, seconds: float) -> DiscoveryFaults:
    fault_chance = chance.choice((0.0, 0.1, 0.25))
    outages = tuple(
        Outage(chance.uniform(1.0, seconds), chance.uniform(0.5, LONGEST_OUTAGE_SECONDS))
        for _ in range(chance.choice((0, 0, 1, 2)))
    )
    breaks = tuple(chance.uniform(0.3, seconds) for _ in range(chance.choice((0, 1, 4))))
    return DiscoveryFaults(
        service_time=chance.choice((0.0, 0.05, MAX_SERVICE_SECONDS)),
        queue_length=chance.choice((1, 3, 1000)),
        hung=fault_chance,
        refused=chance.choice((0.0, 0.3, 0.7)),
        cut=fault_chance / 2,
        slow=fault_chance,
        longest_delay=MAX_ANSWER_DELAY_SECONDS,
        silent=fault_chance,
        ended=fault_chance,
        pieces=chance.choice((0.0, 0.5)),
        indented=chance.choice((0.0, 0.5)),
        whole=chance.choice((0.0, 0.5)),
        breaks=breaks,
        outages=outages,
    )
