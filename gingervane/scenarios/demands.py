"""The queries that the clients of a scenario run send, with their times; they depend only on the scenario."""

from __future__ import annotations

import random
from typing import NamedTuple

from gingervane.fake_servers.data import STEP_MS
from gingervane.scenarios.scenario import LoadClass, Scenario

# Start of the first attempt's time range: Unix time in milliseconds, a multiple of the data's step.
BASE_MS = 1_764_000_000_000 // STEP_MS * STEP_MS


class Demand(NamedTuple):
    """A query that a client sends, with retries. `at` is its time in seconds from the start of the run."""

    number: int
    at: float
    kind: LoadClass
    tiles: tuple[str, ...]
    seed: int


def demands(scenario: Scenario, tiles: list[str]) -> list[Demand]:
    """Draw the demands from the scenario's seed: a Poisson process whose rate is multiplied during bursts."""
    rng = random.Random(scenario.seed)
    bursts = [t for t in scenario.troubles if t.kind == "burst"]
    peak_rate = max([b.size for b in bursts], default=1.0) * scenario.clients.rate
    out: list[Demand] = []
    at = 0.0
    shares = [c.share for c in scenario.classes]
    while (at := at + rng.expovariate(peak_rate)) < scenario.seconds:
        rate = scenario.clients.rate
        for burst in bursts:
            rate *= burst.size if burst.at <= at < burst.at + burst.seconds else 1.0
        if rng.random() * peak_rate >= rate:
            continue
        kind = rng.choices(scenario.classes, shares)[0]
        low, high = kind.tiles
        count = min(rng.randint(low, high), len(tiles))
        first = rng.randrange(len(tiles))
        chosen = sorted(tiles[(first + i) % len(tiles)] for i in range(count))
        out.append(Demand(len(out), at, kind, tuple(chosen), rng.getrandbits(48)))
    return out
