"""Answers, refusals and attempts of several co-ordinators at several loads, in simulated time.

Each replica serves its parts first come, first served, on a few cores; a cancel or the end of the caller's time drops
a part that waits, not one that is served. All co-ordinators use the same replicas. Clients whose query is refused or
fails send it again at once, with their whole time once more.

    python benchmarks/overload.py [--seeds 3] [--processes 4] [--loads 0.5,1,1.5,2,4] [--retries 2] [--hung 0]

Prints, by load as a multiple of the capacity: queries answered in their caller's time as a share of those asked
and of the capacity, tries refused, the time to a refusal as a share of the caller's time (median and 99th
percentile), the mean and the 99th percentile of the time to an answer, and attempts for each part that was sent.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import NamedTuple

from common import engine_settings

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine

COORDINATORS, REPLICAS, CORES, SHARDS, PARTS = 3, 12, 2, 12, 4
PART_SECONDS, NETWORK_SECONDS = 0.12, 0.001
DEADLINE = 4.0  # seconds
START, WARM_UP, MEASURED = 100.0, 20.0, 60.0  # seconds
CAPACITY = REPLICAS * CORES / (PART_SECONDS * PARTS)  # queries per second
QUEUE_LIMIT = 1000  # parts that wait at a replica


class Job(NamedTuple):
    """One run."""

    load: float
    seed: int
    retries: int
    hung: int  # replicas that serve nothing
    coordinators: int = COORDINATORS


class Figures(NamedTuple):
    """What one run counted in its measured time."""

    asked: int
    answered: int
    answer_seconds: list[float]
    refused_after: list[float]  # shares of the caller's time
    attempts: int
    parts: int


@dataclass(eq=False)
class Item:
    """One attempt at a replica."""

    coordinator: int
    part: int
    attempt: int
    replica: int
    sent_at: float
    expires_at: float
    cancelled: bool = False


class Query(NamedTuple):
    """One try of a client's query."""

    arrived: float
    asked_at: float  # time of its first try
    retries: int


def settings(coordinators: int) -> api.Settings:
    """Settings of the co-ordinators, with a class that is safe to repeat and needs all parts."""
    base = engine_settings(SHARDS)
    kind = base.query_classes[0]._replace(deadline=DEADLINE)
    return base._replace(query_classes=(kind,), coordinator_count=coordinators, max_parts_per_request=1)


class Run:
    """Co-ordinators, replicas and clients at one load."""

    def __init__(self, job: Job) -> None:
        self.job, self.random = job, random.Random(job.seed)
        self.engines = [
            DecisionEngine(settings(job.coordinators), self.random.getrandbits(32))
            for _ in range(job.coordinators)
        ]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order, self.ids = itertools.count(), itertools.count(1)
        self.queues = [deque[Item]() for _ in range(REPLICAS)]
        self.busy = [CORES if n < job.hung else 0 for n in range(REPLICAS)]
        self.items: dict[tuple[int, int, int], Item] = {}
        self.queries: dict[int, Query] = {}
        self.attempts_of: dict[int, int] = {}
        self.figures = Figures(0, 0, [], [], 0, 0)

    def schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), callback))

    def count(self, asked_at: float, **more: int) -> None:
        if START + WARM_UP <= asked_at < START + WARM_UP + MEASURED:
            fields = {name: getattr(self.figures, name) + value for name, value in more.items()}
            self.figures = self.figures._replace(**fields)

    def deliver(self, coordinator: int, now: float, *events: api.Event) -> None:
        for action in self.engines[coordinator].handle(now, events):
            match action:
                case api.Send(part, replica, expires_at):
                    self.send(coordinator, now, part, replica, expires_at)
                case api.Cancel(part, attempt):
                    if item := self.items.get((coordinator, part, attempt)):
                        item.cancelled = True
                        self.end(item, now, api.AttemptOutcome.CANCELLED)
                case api.SetTimer(delay, label):
                    fired = api.TimerFired(label)
                    self.schedule(now + delay, lambda at, fired=fired: self.deliver(coordinator, at, fired))  # type: ignore[misc]
                case api.Answer(query, _):
                    self.answered(now, self.queries.pop(query))
                case api.Reject(query, _) | api.Fail(query):
                    self.refused(now, self.queries.pop(query))

    def answered(self, now: float, query: Query) -> None:
        self.count(query.asked_at, answered=1)
        if query.asked_at >= START + WARM_UP:
            self.figures.answer_seconds.append(now - query.arrived)

    def refused(self, now: float, query: Query) -> None:
        if query.asked_at >= START + WARM_UP:
            self.figures.refused_after.append((now - query.arrived) / DEADLINE)
        if query.retries < self.job.retries:
            self.schedule(now + 0.01, lambda at: self.ask(at, query.asked_at, query.retries + 1))

    def send(self, coordinator: int, now: float, part: int, replica: int, expires_at: float) -> None:
        attempt = self.attempts_of.get(part, 0)
        self.attempts_of[part] = attempt + 1
        self.count(now, attempts=1, parts=attempt == 0)
        item = Item(coordinator, part, attempt, replica, now, expires_at)
        self.items[coordinator, part, attempt] = item
        self.schedule(now + NETWORK_SECONDS, lambda at: self.arrive(replica, item, at))

    def arrive(self, replica: int, item: Item, now: float) -> None:
        if len(self.queues[replica]) >= QUEUE_LIMIT:
            self.end(item, now, api.AttemptOutcome.REJECTED)
            return
        self.queues[replica].append(item)
        self.serve(replica, now)

    def serve(self, replica: int, now: float) -> None:
        while self.busy[replica] < CORES and self.queues[replica]:
            item = self.queues[replica].popleft()
            if item.cancelled or now >= item.expires_at:
                continue
            self.busy[replica] += 1
            seconds = self.work_seconds(now)
            self.schedule(now + seconds, lambda at, item=item: self.served(replica, item, at))  # type: ignore[misc]

    def work_seconds(self, now: float) -> float:
        """Return the seconds that a part takes which a replica begins now."""
        return PART_SECONDS * self.random.lognormvariate(-0.125, 0.5)

    def served(self, replica: int, item: Item, now: float) -> None:
        self.busy[replica] -= 1
        if not item.cancelled:
            self.end(item, now, api.AttemptOutcome.OK)
        self.serve(replica, now)

    def end(self, item: Item, now: float, outcome: api.AttemptOutcome) -> None:
        if self.items.pop((item.coordinator, item.part, item.attempt), None) is None:
            return
        at = now + NETWORK_SECONDS
        ended = api.AttemptEnded(item.part, item.attempt, item.replica, outcome, at - item.sent_at)
        self.schedule(at, lambda at: self.deliver(item.coordinator, at, ended))

    def ask(self, now: float, asked_at: float, retries: int) -> None:
        query, shard = next(self.ids), self.random.randrange(SHARDS)
        self.queries[query] = Query(now, asked_at, retries)
        arrival = api.QueryArrived(query, query, 0, 0, PARTS, now + DEADLINE, retries > 0, 0.0)
        parts = [
            api.PartArrived(next(self.ids), query, (shard + 3 * i) % SHARDS, 1 / PARTS) for i in range(PARTS)
        ]
        self.deliver(self.random.randrange(self.job.coordinators), now, arrival, *parts)

    def client_arrives(self, now: float) -> None:
        self.count(now, asked=1)
        self.ask(now, now, 0)
        load = self.job.load if now >= START + WARM_UP / 2 else min(self.job.load, 0.5)
        self.schedule(now + self.random.expovariate(load * CAPACITY), self.client_arrives)

    def play(self) -> Figures:
        replicas = tuple(api.Replica(n, n, 0, 1.0, api.ReplicaState.READY, 0.0) for n in range(REPLICAS))
        for coordinator in range(self.job.coordinators):
            update = api.MembershipChanged(api.MembershipUpdateKind.FULL, replicas)
            self.deliver(coordinator, START, update)
        self.schedule(START, self.client_arrives)
        while self.events[0][0] < START + WARM_UP + MEASURED + 3 * DEADLINE:
            now, _, callback = heapq.heappop(self.events)
            callback(now)
        return self.figures


def play(job: Job) -> Figures:
    """Play one run."""
    return Run(job).play()


def percentile(values: list[float], share: float) -> float:
    """Return this percentile, 0 without values."""
    return sorted(values)[int(share * (len(values) - 1))] if values else 0.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--loads", default="0.5,1,1.5,2,4")
    parser.add_argument("--retries", type=int, default=2)
    parser.add_argument("--hung", type=int, default=0)
    arguments = parser.parse_args()
    loads = [float(load) for load in arguments.loads.split(",")]
    jobs = [
        Job(load, seed, arguments.retries, arguments.hung)
        for load in loads
        for seed in range(arguments.seeds)
    ]
    with ProcessPoolExecutor(arguments.processes) as pool:
        results = iter(list(pool.map(play, jobs)))
    print("load  answered  of capacity  refused  refused after p50, p99  answer mean, p99  attempts a part")
    for load in loads:
        runs = [next(results) for _ in range(arguments.seeds)]
        asked, answered = sum(run.asked for run in runs), sum(run.answered for run in runs)
        after = [share for run in runs for share in run.refused_after]
        seconds = [value for run in runs for value in run.answer_seconds]
        print(
            f"{load:4}  {answered / asked:8.3f}  {answered / (CAPACITY * MEASURED * len(runs)):11.3f}  {len(after):7}"
            f"  {percentile(after, 0.5):10.3f}, {percentile(after, 0.99):10.3f}"
            f"  {sum(seconds) / max(len(seconds), 1):11.2f}, {percentile(seconds, 0.99):.2f}"
            f"  {sum(run.attempts for run in runs) / max(sum(run.parts for run in runs), 1):14.3f}"
        )


if __name__ == "__main__":
    main()
