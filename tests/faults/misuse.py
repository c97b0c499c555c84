"""The soak of misuse: `python -m faults.misuse --seeds 1-50 --at-once 3` from `tests/`; `--seconds` sets the length.

Nodes have the least memory that the platform gives. Bad clients of all kinds come one crowd after another, beside
the faults of the soak, with signals in series. The judge counts memory over the limit as a broken rule.
"""

from __future__ import annotations

import random
import sys
from dataclasses import replace

from faults.bad_clients import KINDS
from faults.campaign import run_campaign
from faults.memory_runs import LEAST_MEMORY_MB
from faults.plans import BadCrowd, Plan
from faults.rig import play
from faults.soak_plans import draw_soak

SECONDS = 16.0  # of a run
_SOCKETS = (256, 384, 1024)
_FEW = {
    "sound",
    "unsound",
    "unknown-classes",
    "large-requests",
    "unread-replies",
    "repeated-ids",
}  # dear to serve


def draw_misuse(seed: int, seconds: float) -> Plan:
    """Draw the plan of a seed: that of the soak, with bad clients, little memory and signals in series."""
    chance = random.Random(f"misuse/{seed}")
    plan = draw_soak(seed, seconds)
    return replace(
        plan,
        rate=min(plan.rate, 60.0),
        memory_mb=LEAST_MEMORY_MB,
        sockets=chance.choice(_SOCKETS),
        crowds=(),
        bad_crowds=_bad_crowds(chance, plan.nodes, seconds),
        moves=tuple(sorted((*plan.moves, *_series(chance, plan.nodes, seconds)))),
    )


def _bad_crowds(chance: random.Random, nodes: int, seconds: float) -> tuple[BadCrowd, ...]:
    """Draw crowds that come one after another at each node, some of them two at once."""
    crowds = []
    for node in range(nodes):
        at = chance.uniform(0.3, 2.0)
        while at < seconds - 1.0:
            kind = chance.choice(sorted(KINDS))
            connections = chance.randint(2, 40) if kind in _FEW else chance.randint(20, 330)
            lasts = min(chance.uniform(0.5, 4.0), seconds - at)
            crowds.append(BadCrowd(at, node, kind, connections, lasts))
            at += lasts * chance.uniform(0.6, 1.5)
    return tuple(crowds)


def _series(chance: random.Random, nodes: int, seconds: float) -> tuple[tuple[float, int], ...]:
    """Draw series of moves of discovery, each of which sends SIGHUP."""
    if chance.random() < 0.5:
        return ()
    at, node = chance.uniform(1.0, seconds - 2.0), chance.randrange(nodes)
    return tuple((at + number * chance.uniform(0.02, 0.4), node) for number in range(chance.randint(2, 4)))


if __name__ == "__main__":
    sys.exit(run_campaign("Plays runs with bad clients at the least memory.", draw_misuse, play, SECONDS))
