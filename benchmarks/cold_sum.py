"""Load that all co-ordinators together put on cold replicas, in simulated time, against its limit.

The limit is N parts of mean work in any `fall_time`, where N is `fall_multiple` x the replica's capacity
during its slow start x `fall_time`; 2 x root of N + 2 more are allowed for random variation. Each run has one
decision engine a co-ordinator, and all of them use the same replicas. Only parts sent by a co-ordinator that
has been notified of the replica's start count.

    python benchmarks/cold_sum.py [--seeds 5] [--processes 4] [--of 3,20,30,200,230]

Prints, by scenario and number of co-ordinators, the number of runs in which a cold replica exceeded the
limit, and the highest load as a share of the limit. In the simulation a part takes about `PART_SECONDS` at a
ready replica and longer at a cold one; there is no network and no lost message.
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

# At a ready replica: mean seconds that a part takes, and capacity in parts per second. `LOAD` is the traffic
# as a share of that capacity, `PARTS` the number of parts of each query.
PART_SECONDS, CAPACITY, LOAD, PARTS = 0.1, 10.0, 0.6, 4
WARM_UP_SECONDS, MAX_RETRIES = 12.0, 3  # time before the replicas start; retries of a client


class SlowStartRules(NamedTuple):
    """Settings of a deployment's slow start and overload limit; times in seconds, capacity as a share."""

    start_capacity: float
    ramp_time: float
    fall_time: float
    fall_multiple: float
    hedging: bool = True
    cancellation: bool = True


DEPLOYMENTS = {
    "4 in 1.5 s": SlowStartRules(0.17, 16.0, 1.5, 4.0),
    "2.5 in 1 s": SlowStartRules(0.22, 17.0, 1.0, 2.5),
    "1.7 in 4 s": SlowStartRules(0.08, 24.0, 4.0, 1.7, hedging=False),
}


class Scenario(NamedTuple):
    """What happens around the start of the cold replicas.

    `cold_share`: share of the replicas that start together; `rate_factor`: multiple of the traffic, by
    seconds since the start; `clients_retry`: clients retry at once; `restart_after`: seconds after which the
    co-ordinators restart; `max_list_delay`: greatest delay of the endpoint list in seconds.
    """

    cold_share: float
    rate_factor: Callable[[float], float] = lambda since: 1.0
    clients_retry: bool = False
    restart_after: float | None = None
    max_list_delay: float = 0.2


SCENARIOS = {
    "steady, one in ten": Scenario(0.1),
    "a burst of 2.5": Scenario(0.1, lambda since: 2.5 if 1.0 < since < 4.0 else 1.0),
    "clients come again": Scenario(0.1, lambda since: 1.5, clients_retry=True),
    "all restarted at once": Scenario(0.1, restart_after=0.5),
    "lists late by up to 4 s": Scenario(0.1, max_list_delay=4.0),
    "a third starts together": Scenario(0.34),
    "all start together": Scenario(1.0),
    "all start, clients come again": Scenario(1.0, lambda since: 1.5, clients_retry=True),
}


class Run:
    """A fleet, from `WARM_UP_SECONDS` before the replicas start to the end of their slow start."""

    def __init__(self, rules: SlowStartRules, scenario: Scenario, coordinators: int, seed: int) -> None:
        self.rules, self.scenario, self.random = rules, scenario, random.Random(seed)
        self.fleet_size, self.replica_count = coordinators, max(12, min(coordinators, 100))
        kind = api.QueryClass(1.0, 3.0, api.RetrySafety.IDEMPOTENT, None, 0, 1.0, 1.0, None, 0.0, 1.0)
        self.settings = api.Settings(
            coordinator_count=coordinators,
            zone=0,
            query_classes=(kind,),
            tenant_quotas=(),
            timer_granularity=0.005,
            cell_count=self.replica_count,
            cells_per_replica=3,
            max_parts_per_request=1,
            max_attempts=3,
            cancellation_allowed=rules.cancellation,
            gossip_allowed=False,
            hedging_allowed=rules.hedging,
            retry_after_allowed=True,
            max_retry_after=0.5,
            membership_polled=False,
            slow_start_capacity=rules.start_capacity,
            slow_start_duration=rules.ramp_time,
            overload_window=rules.fall_time,
            overload_multiple=rules.fall_multiple,
            retry_budget_free=None,
            retry_budget_share=None,
            retry_budget_window=None,
        )
        self.started_at = 100.0 + WARM_UP_SECONDS
        cold_count = round(scenario.cold_share * self.replica_count)
        self.cold_replicas = set(self.random.sample(range(self.replica_count), cold_count))
        self.engines = [
            DecisionEngine(self.settings, self.random.getrandbits(32)) for _ in range(coordinators)
        ]
        self.notified_at = [
            self.started_at + self.random.random() * scenario.max_list_delay for _ in range(coordinators)
        ]
        self.sent: dict[int, list[float]] = defaultdict(
            list
        )  # to each cold replica, by notified co-ordinators
        self.attempts_sent: dict[tuple[int, int], int] = defaultdict(int)
        self.id_counter, self.event_order = itertools.count(1), itertools.count()
        self.event_queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.retry_counts: dict[tuple[int, int], int] = {}  # retries so far, by co-ordinator and query

    def list_replicas(self, start_of: Callable[[int], float]) -> tuple[api.Replica, ...]:
        return tuple(
            api.Replica(n, n, 0, 1.0, api.ReplicaState.READY, start_of(n)) for n in range(self.replica_count)
        )

    def schedule(self, when: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self.event_queue, (when, next(self.event_order), callback))

    def deliver(self, coordinator: int, now: float, *events: api.Event) -> None:
        engine = self.engines[coordinator]
        for action in engine.handle(now, events):
            match action:
                case api.Send(part, replica, _):
                    self.send(coordinator, now, part, replica)
                case api.SetTimer(delay, label):
                    self.schedule_event(coordinator, now + delay, api.TimerFired(label))
                case api.Reject(query, _) | api.Fail(query):
                    self.retry_query(coordinator, now, query)

    def schedule_event(self, coordinator: int, when: float, event: api.Event) -> None:
        engine = self.engines[coordinator]

        def deliver_event(now: float) -> None:
            if self.engines[coordinator] is engine:  # else the co-ordinator has restarted since
                self.deliver(coordinator, now, event)

        self.schedule(when, deliver_event)

    def send(self, coordinator: int, now: float, part: int, replica: int) -> None:
        attempt = self.attempts_sent[coordinator, part]
        self.attempts_sent[coordinator, part] += 1
        duration = PART_SECONDS * self.random.uniform(0.6, 1.6)
        if replica in self.cold_replicas and now >= self.started_at:
            duration /= self.capacity(now) / CAPACITY
            if now >= self.notified_at[coordinator]:
                self.sent[replica].append(now)
        self.schedule_event(
            coordinator,
            now + duration,
            api.AttemptEnded(part, attempt, replica, api.AttemptOutcome.OK, duration),
        )

    def retry_query(self, coordinator: int, now: float, query: int) -> None:
        retries = self.retry_counts.pop((coordinator, query), 0)
        if self.scenario.clients_retry and retries < MAX_RETRIES:
            at = now + 0.01
            self.schedule(
                at,
                lambda when: self.send_query(self.random.randrange(self.fleet_size), when, retries + 1),
            )

    def capacity(self, now: float) -> float:
        share = self.rules.start_capacity + (1.0 - self.rules.start_capacity) * min(
            (now - self.started_at) / self.rules.ramp_time, 1.0
        )
        return CAPACITY * share

    def send_query(self, coordinator: int, now: float, retries: int) -> None:
        query, shard = next(self.id_counter), self.random.randrange(self.replica_count)
        self.retry_counts[coordinator, query] = retries
        arrived = api.QueryArrived(query, query, 0, 0, PARTS, now + 3.0, retries > 0, 0.0)
        parts = [
            api.PartArrived(next(self.id_counter), query, (shard + 3 * i) % self.replica_count, 1 / PARTS)
            for i in range(PARTS)
        ]
        self.deliver(coordinator, now, arrived, *parts)

    def client_arrives(self, now: float) -> None:
        """Send a client's query and schedule the next; some co-ordinators get several times the mean rate."""
        self.send_query(min(int(self.random.random() ** 1.5 * self.fleet_size), self.fleet_size - 1), now, 0)
        rate = LOAD * CAPACITY * self.replica_count / PARTS
        rate *= self.scenario.rate_factor(now - self.started_at) if now >= self.started_at else 1.0
        self.schedule(now + self.random.expovariate(rate), self.client_arrives)

    def notify(self, coordinator: int, now: float) -> None:
        replicas = self.list_replicas(lambda n: self.started_at if n in self.cold_replicas else 0.0)
        self.deliver(coordinator, now, api.MembershipChanged(api.MembershipUpdateKind.FULL, replicas))

    def restart(self, coordinator: int, now: float) -> None:
        self.engines[coordinator] = DecisionEngine(self.settings, self.random.getrandbits(32))
        self.notify(coordinator, now)

    def play(self) -> float:
        """Return the highest load of a cold replica, as a share of the limit."""
        for coordinator in range(self.fleet_size):
            self.deliver(
                coordinator,
                100.0,
                api.MembershipChanged(api.MembershipUpdateKind.FULL, self.list_replicas(lambda n: 0.0)),
            )
            self.schedule(self.notified_at[coordinator], partial(self.notify, coordinator))
            if self.scenario.restart_after is not None:
                when = (
                    max(self.notified_at[coordinator], self.started_at + self.scenario.restart_after)
                    + 0.2 * self.random.random()
                )
                self.schedule(when, partial(self.restart, coordinator))
        self.schedule(100.0, self.client_arrives)
        end = self.started_at + self.rules.ramp_time
        while self.event_queue[0][0] < end:
            now, _, callback = heapq.heappop(self.event_queue)
            callback(now)
        return max((self.highest_share(sent_at) for sent_at in self.sent.values()), default=0.0)

    def highest_share(self, sent_at: list[float]) -> float:
        window, highest = deque[float](), 0.0
        for at in sent_at:
            window.append(at)
            while window[0] <= at - self.rules.fall_time:
                window.popleft()
            allowed = self.rules.fall_multiple * self.capacity(window[0]) * self.rules.fall_time
            highest = max(highest, len(window) / (allowed + 2 * math.sqrt(allowed) + 2))
        return highest


def play(job: tuple[str, str, int, int]) -> float:
    deployment, scenario, coordinators, seed = job
    return Run(DEPLOYMENTS[deployment], SCENARIOS[scenario], coordinators, seed).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--of", default="3,20,30,200,230")
    arguments = parser.parse_args()
    sizes = [int(size) for size in arguments.of.split(",")]
    cells = list(itertools.product(DEPLOYMENTS, SCENARIOS, sizes))
    jobs = [(*cell, seed) for cell in cells for seed in range(arguments.seeds)]
    with ProcessPoolExecutor(arguments.processes) as pool:
        results = iter(list(pool.map(play, jobs)))
    for deployment, scenario, size in cells:
        shares = [next(results) for _ in range(arguments.seeds)]
        over_limit = sum(share > 1.0 for share in shares)
        print(
            f"{deployment:10}  {scenario:30}  {size:4}  {over_limit} of {len(shares)} past, most {max(shares):.2f}"
        )


if __name__ == "__main__":
    main()
