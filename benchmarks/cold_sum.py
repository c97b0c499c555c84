"""What all co-ordinators together send to cold replicas, in simulated time, against what these may get.

A cold replica may get N parts of mean work in a span of `fall_time`, N being `fall_multiple` x what it can do then,
by the stated ramp, x the span; 2 x root of N + 2 more are put down to chance. Each run has one module a co-ordinator
and the same replicas behind all of them; only what was sent by co-ordinators that had been told of the start counts.

    python benchmarks/cold_sum.py [--seeds 5] [--processes 4] [--of 3,20,30,200,230]

Prints, by scenario and number of co-ordinators, the runs in which some cold replica got more in some span, and the
most that one got as a share of what it may. Simulated: parts take `TOOK` at a ready replica, longer at a cold one; no
network, no lost messages.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine

TOOK, CAPACITY, LOAD, PARTS = (
    0.1,
    10.0,
    0.6,
    4,
)  # seconds; parts a second of a ready replica; of capacity; of a query
WARM, MOST_AGAIN = 12.0, 3  # seconds before the starts; times that a client comes again


class Rules(NamedTuple):
    """Of one deployment."""

    start: float
    ramp: float
    fall: float
    multiple: float
    copies: bool = True
    cancel: bool = True


DEPLOYMENTS = {
    "4 in 1.5 s": Rules(0.17, 16.0, 1.5, 4.0),
    "2.5 in 1 s": Rules(0.22, 17.0, 1.0, 2.5),
    "1.7 in 4 s": Rules(0.08, 24.0, 4.0, 1.7, copies=False),
}


class Scenario(NamedTuple):
    """`cold`: share of the replicas that start together; `rate`: times the traffic, by seconds since the start;
    `again`: clients come again at once; `anew`: co-ordinators restart so long after; `late`: lists, at most."""

    cold: float
    rate: Callable[[float], float] = lambda since: 1.0
    again: bool = False
    anew: float | None = None
    late: float = 0.2


SCENARIOS = {
    "steady, one in ten": Scenario(0.1),
    "a burst of 2.5": Scenario(0.1, lambda since: 2.5 if 1.0 < since < 4.0 else 1.0),
    "clients come again": Scenario(0.1, lambda since: 1.5, again=True),
    "all restarted at once": Scenario(0.1, anew=0.5),
    "lists late by up to 4 s": Scenario(0.1, late=4.0),
    "a third starts together": Scenario(0.34),
    "all start together": Scenario(1.0),
    "all start, clients come again": Scenario(1.0, lambda since: 1.5, again=True),
}


class Run:
    """One fleet from `WARM` before the starts to the end of the ramp."""

    def __init__(self, rules: Rules, scenario: Scenario, coordinators: int, seed: int) -> None:
        self.rules, self.scenario, self.random = rules, scenario, random.Random(seed)
        self.count, self.servers = coordinators, max(12, min(coordinators, 100))
        kind = api.QueryClass(1.0, 3.0, api.RetrySafety.IDEMPOTENT, None, 0, 1.0, 1.0, None, 0.0, 1.0)
        self.settings = api.Settings(
            coordinator_count=coordinators,
            zone=0,
            query_classes=(kind,),
            tenant_quotas=(),
            timer_granularity=0.005,
            cell_count=self.servers,
            cells_per_replica=3,
            max_parts_per_request=1,
            max_attempts=3,
            cancellation_allowed=rules.cancel,
            gossip_allowed=False,
            hedging_allowed=rules.copies,
            retry_after_allowed=True,
            max_retry_after=0.5,
            membership_polled=False,
            slow_start_capacity=rules.start,
            slow_start_duration=rules.ramp,
            overload_window=rules.fall,
            overload_multiple=rules.multiple,
            retry_budget_free=None,
            retry_budget_share=None,
            retry_budget_window=None,
        )
        self.born = 100.0 + WARM
        cold = round(scenario.cold * self.servers)
        self.cold = set(self.random.sample(range(self.servers), cold))
        self.modules = [
            DecisionEngine(self.settings, self.random.getrandbits(32)) for _ in range(coordinators)
        ]
        self.told = [self.born + self.random.random() * scenario.late for _ in range(coordinators)]
        self.sent: dict[int, list[float]] = defaultdict(list)  # to cold replicas, by who had been told
        self.made: dict[tuple[int, int], int] = defaultdict(int)
        self.ids, self.order = itertools.count(1), itertools.count()
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.again: dict[tuple[int, int], int] = {}  # queries -> how often their clients came

    def rows(self, state: Callable[[int], float]) -> tuple[api.Replica, ...]:
        return tuple(api.Replica(n, n, 0, 1.0, api.ReplicaState.READY, state(n)) for n in range(self.servers))

    def at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def feed(self, who: int, now: float, *events: api.Event) -> None:
        module = self.modules[who]
        for action in module.handle(now, events):
            match action:
                case api.Send(part, replica, _):
                    self.send(who, now, part, replica)
                case api.SetTimer(delay, label):
                    self.later(who, now + delay, api.TimerFired(label))
                case api.Reject(query, _) | api.Fail(query):
                    self.come_again(who, now, query)

    def later(self, who: int, when: float, event: api.Event) -> None:
        module = self.modules[who]

        def due(now: float) -> None:
            if self.modules[who] is module:  # else it ended with its process
                self.feed(who, now, event)

        self.at(when, due)

    def send(self, who: int, now: float, part: int, replica: int) -> None:
        attempt = self.made[who, part]
        self.made[who, part] += 1
        took = TOOK * self.random.uniform(0.6, 1.6)
        if replica in self.cold and now >= self.born:
            took /= self.capacity(now) / CAPACITY
            if now >= self.told[who]:
                self.sent[replica].append(now)
        self.later(who, now + took, api.AttemptEnded(part, attempt, replica, api.AttemptOutcome.OK, took))

    def come_again(self, who: int, now: float, query: int) -> None:
        times = self.again.pop((who, query), 0)
        if self.scenario.again and times < MOST_AGAIN:
            at = now + 0.01
            self.at(at, lambda when: self.ask(self.random.randrange(self.count), when, times + 1))

    def capacity(self, now: float) -> float:
        share = self.rules.start + (1.0 - self.rules.start) * min((now - self.born) / self.rules.ramp, 1.0)
        return CAPACITY * share

    def ask(self, who: int, now: float, times: int) -> None:
        query, shard = next(self.ids), self.random.randrange(self.servers)
        self.again[who, query] = times
        arrived = api.QueryArrived(query, query, 0, 0, PARTS, now + 3.0, times > 0, 0.0)
        parts = [
            api.PartArrived(next(self.ids), query, (shard + 3 * i) % self.servers, 1 / PARTS)
            for i in range(PARTS)
        ]
        self.feed(who, now, arrived, *parts)

    def come(self, now: float) -> None:
        """A client, and when the next one comes. Traffic is uneven: some get several times the mean."""
        self.ask(min(int(self.random.random() ** 1.5 * self.count), self.count - 1), now, 0)
        rate = LOAD * CAPACITY * self.servers / PARTS
        rate *= self.scenario.rate(now - self.born) if now >= self.born else 1.0
        self.at(now + self.random.expovariate(rate), self.come)

    def tell(self, who: int, now: float) -> None:
        rows = self.rows(lambda n: self.born if n in self.cold else 0.0)
        self.feed(who, now, api.MembershipChanged(api.MembershipUpdateKind.FULL, rows))

    def restart(self, who: int, now: float) -> None:
        self.modules[who] = DecisionEngine(self.settings, self.random.getrandbits(32))
        self.tell(who, now)

    def play(self) -> float:
        """The most that a cold replica got in a span, of what it may get."""
        for who in range(self.count):
            self.feed(
                who, 100.0, api.MembershipChanged(api.MembershipUpdateKind.FULL, self.rows(lambda n: 0.0))
            )
            self.at(self.told[who], partial(self.tell, who))
            if self.scenario.anew is not None:
                when = max(self.told[who], self.born + self.scenario.anew) + 0.2 * self.random.random()
                self.at(when, partial(self.restart, who))
        self.at(100.0, self.come)
        end = self.born + self.rules.ramp
        while self.queue[0][0] < end:
            now, _, what = heapq.heappop(self.queue)
            what(now)
        return max((self.worst(times) for times in self.sent.values()), default=0.0)

    def worst(self, times: list[float]) -> float:
        span, most = deque[float](), 0.0
        for at in times:
            span.append(at)
            while span[0] <= at - self.rules.fall:
                span.popleft()
            may = self.rules.multiple * self.capacity(span[0]) * self.rules.fall
            most = max(most, len(span) / (may + 2 * math.sqrt(may) + 2))
        return most


def play(job: tuple[str, str, int, int]) -> float:
    deployment, scenario, coordinators, seed = job
    return Run(DEPLOYMENTS[deployment], SCENARIOS[scenario], coordinators, seed).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--of", default="3,20,30,200,230")
    chosen = parser.parse_args()
    sizes = [int(size) for size in chosen.of.split(",")]
    cells = list(itertools.product(DEPLOYMENTS, SCENARIOS, sizes))
    jobs = [(*cell, seed) for cell in cells for seed in range(chosen.seeds)]
    with ProcessPoolExecutor(chosen.processes) as pool:
        found = iter(list(pool.map(play, jobs)))
    for deployment, scenario, size in cells:
        most = [next(found) for _ in range(chosen.seeds)]
        past = sum(share > 1.0 for share in most)
        print(f"{deployment:10}  {scenario:30}  {size:4}  {past} of {len(most)} past, most {max(most):.2f}")


if __name__ == "__main__":
    main()
