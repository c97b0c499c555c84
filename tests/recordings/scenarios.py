"""The recorded scenarios: random ones that mix all kinds of events, and directed ones for rare cases."""

from __future__ import annotations

import random
from collections.abc import Iterator
from math import inf

from hosts import BASE

from gingervane import interface as api

from .simulator import START, Fault, FaultKind, Load, Scenario

READY, DRAINING, GONE = api.ReplicaState.READY, api.ReplicaState.DRAINING, api.ReplicaState.GONE
FULL, DELTA, CACHED, FAILED = (
    api.MembershipUpdateKind.FULL,
    api.MembershipUpdateKind.DELTA,
    api.MembershipUpdateKind.CACHED,
    api.MembershipUpdateKind.FAILED,
)
SAFE, KEYED, UNSAFE = (
    api.RetrySafety.IDEMPOTENT,
    api.RetrySafety.IDEMPOTENCY_KEY,
    api.RetrySafety.NOT_IDEMPOTENT,
)
DRAWN_SCENARIOS = 10
FIRST_ID = 10
MESSAGES = (b"", b"\1", b"\2", b"\3", b"\2\2")
UNKNOWN_ID = 999_999

CLASS = api.QueryClass(1.0, 3.0, SAFE, None, 0, 1.0, 1.0, None, 0.0, 1.0)
SETTINGS = BASE._replace(query_classes=(CLASS,), gossip_allowed=True)


def replica(number: int, cell: int = 0, zone: int = 0, started: float = 0.0) -> api.Replica:
    """A replica in state ready."""
    return api.Replica(FIRST_ID + number, cell, zone, 1.0, READY, started)


def fleet(count: int, cells: int = 1, zones: int = 1) -> tuple[api.Replica, ...]:
    """Warm replicas, spread over cells and zones."""
    return tuple(replica(i, i % cells, i // cells % zones) for i in range(count))


def listed(
    at: float, kind: api.MembershipUpdateKind, *rows: api.Replica
) -> tuple[float, api.MembershipChanged]:
    """A membership change at a time of the scenario."""
    return at, api.MembershipChanged(kind, rows)


def message(at: float, number: int, payload: bytes) -> tuple[float, api.PeerMessageReceived]:
    """A message of a peer about a replica."""
    return at, api.PeerMessageReceived(1, number.to_bytes(8, "big") + payload)


# ---- random scenarios


def drawn_class(draw: random.Random) -> api.QueryClass:
    """A random query class; coverages below 1, second steps and stretched objectives are frequent."""
    objective = draw.choice((0.3, 0.5, 1.0))
    semantics = draw.choice((SAFE, SAFE, KEYED, UNSAFE))
    required, complete = draw.choice(
        ((1.0, 1.0), (1.0, 1.0), (0.75, 0.75), (0.5, 1.0), (0.5, 0.9), (1.0, 0.8))
    )
    return api.QueryClass(
        latency_objective=objective,
        deadline=objective * draw.choice((2, 3)),
        retry_safety=semantics,
        idempotency_window=draw.choice((0.2, 1.0)) if semantics is KEYED else None,
        second_step_parts=draw.choice((0, 0, 2)),
        required_coverage=required,
        complete_coverage=complete,
        objective_stretch=draw.choice((None, None, 0.5)),
        late_answer_value=draw.choice((0.0, 0.3, 1.0)),
        partial_answer_value=draw.choice((1.0, 0.5)),
    )


def drawn_settings(draw: random.Random) -> api.Settings:
    """Random settings, in which nearly every permission may be on or off."""
    with_budget = draw.random() < 0.4
    cells = draw.choice((1, 2, 4, 6))
    return api.Settings(
        coordinator_count=draw.choice((1, 3, 20)),
        zone=draw.randrange(2),
        query_classes=tuple(drawn_class(draw) for _ in range(draw.randint(1, 3))),
        tenant_quotas=draw.choice(((), (None, 0.5), (2.0, None, 0.1))),
        timer_granularity=draw.choice((0.005, 0.001, 0.01)),
        cell_count=cells,
        cells_per_replica=draw.choice((1, 2, cells + 1)),
        max_parts_per_request=draw.choice((1, 4, 16)),
        max_attempts=draw.choice((1, 2, 3, 5)),
        cancellation_allowed=draw.random() < 0.7,
        gossip_allowed=draw.random() < 0.6,
        hedging_allowed=draw.random() < 0.8,
        retry_after_allowed=draw.random() < 0.7,
        max_retry_after=draw.choice((0.1, 1.0, 5.0)),
        membership_polled=draw.random() < 0.5,
        slow_start_capacity=draw.choice((0.1, 0.4)),
        slow_start_duration=draw.choice((4.0, 16.0)),
        overload_window=draw.choice((1.0, 3.0)),
        overload_multiple=draw.choice((1.5, 4.0)),
        retry_budget_free=draw.choice((1.0, 4.0)) if with_budget else None,
        retry_budget_share=draw.choice((0.1, 0.3)) if with_budget else None,
        retry_budget_window=draw.choice((2.0, 10.0)) if with_budget else None,
        max_send_delay=draw.choice((0.0, 0.02)),
        drain_grace=draw.choice((inf, 6.0, 0.4)),
    )


def drawn_lists(
    draw: random.Random, rows: tuple[api.Replica, ...]
) -> Iterator[tuple[float, api.MembershipChanged]]:
    """Restarts, drains, replacements, and lists that are cached, full or failed."""
    current = {row.id: row for row in rows}
    yield listed(0.0, draw.choice((FULL, CACHED)), *rows)
    for _ in range(draw.randint(3, 8)):
        at, row = round(draw.uniform(1.0, 18.0), 3), draw.choice(list(current.values()))
        match draw.randrange(6):
            case 0:
                changed = row._replace(started_at=START + at - 0.5)
            case 1:
                changed = row._replace(state=draw.choice((DRAINING, GONE)))
            case 2:
                changed = row._replace(id=row.id + 100, started_at=START + at)
                yield listed(at, DELTA, row._replace(state=GONE), changed)
            case 3:
                yield listed(at, draw.choice((FULL, CACHED)), *current.values())
                continue
            case 4:
                yield listed(at, FAILED)
                continue
            case _:
                changed = row._replace(state=READY)
        current[changed.id] = changed
        yield listed(at, DELTA, changed)


def drawn_fault(draw: random.Random, rows: tuple[api.Replica, ...]) -> Fault:
    """A fault of some or all replicas for some seconds."""
    begins = round(draw.uniform(1.0, 14.0), 1)
    affected = draw.sample(rows, draw.randint(0, max(1, len(rows) // 3)))
    return Fault(
        draw.choice(list(FaultKind)),
        begins,
        begins + draw.choice((1.0, 3.0, 6.0)),
        frozenset(row.id for row in affected),
        share=draw.choice((1.0, 1.0, 0.4)),
    )


def drawn_others(draw: random.Random, rows: tuple[api.Replica, ...]) -> Iterator[tuple[float, api.Event]]:
    """Messages of peers (correct, false, malformed, or about unknown replicas), and the end of a health check."""
    for _ in range(draw.randint(0, 12)):
        at, number = round(draw.uniform(0.5, 19.0), 3), draw.choice((*(r.id for r in rows), UNKNOWN_ID))
        yield message(at, number, draw.choice(MESSAGES))
    yield 3.0, api.PeerMessageReceived(2, draw.randbytes(5))
    yield 4.0, api.HealthCheckEnded(rows[0].id, api.AttemptOutcome.OK, 0.01, (0.5, inf))


def drawn_scenario(seed: int) -> Scenario:
    """A random scenario."""
    draw = random.Random(seed)
    settings = drawn_settings(draw)
    rows = fleet(settings.cell_count * draw.choice((2, 3, 4)), settings.cell_count, draw.choice((1, 2)))
    every = tuple(range(len(settings.query_classes)))
    common = {"classes": every, "tenants": 3, "client_retry_share": 0.1, "disconnect_share": 0.03}
    even = draw.random() < 0.5
    burst_at = round(draw.uniform(4.0, 14.0), 1)
    return Scenario(
        settings=settings,
        loads=(
            Load(0.2, 20.0, 5.0, 1, draw.choice((1, 3, 6)), even_weights=even, **common),  # type: ignore[arg-type]
            Load(burst_at, burst_at + 0.4, 120.0, 1, 2, **common),  # type: ignore[arg-type]
            Load(burst_at + 2.5, burst_at + 2.6, 20.0, 100, 120, classes=every),
        ),
        lists=tuple(drawn_lists(draw, rows)),
        faults=tuple(drawn_fault(draw, rows) for _ in range(draw.randint(1, 5))),
        other_events=tuple(drawn_others(draw, rows)),
        pauses=((round(draw.uniform(2.0, 16.0), 2), draw.choice((0.05, 0.4, 1.5))),),
        capacity=draw.choice((2.0, 6.0, inf)),
        failed_watch_calls=draw.choice((0, 2, 6)),
        seed=seed,
    )


# ---- directed scenarios


def steady(rate: float = 10.0, ends: float = 20.0) -> Load:
    """Queries of one part each at a constant mean rate."""
    return Load(0.1, ends, rate, 1, 1)


def directed() -> Iterator[tuple[str, Scenario]]:
    """Scenarios that each exercise one behaviour, by name."""
    three, six = fleet(3), fleet(6)
    yield (
        "silent-then-restarted",
        Scenario(
            SETTINGS,
            (steady(12.0, 24.0),),
            (listed(0.0, FULL, *six),),
            (Fault(FaultKind.UNRESPONSIVE, 3.0, 10.0, frozenset({10, 11})),),
            duration=24.0,
        ),
    )
    yield (
        "hearsay",
        Scenario(
            SETTINGS._replace(coordinator_count=1),
            (steady(4.0),),
            (listed(0.0, FULL, *six),),
            other_events=(
                *(message(2.0 + 0.01 * i, 10, b"\1") for i in range(8)),
                *(message(3.0 + 0.01 * i, 10, b"") for i in range(8)),
                *(message(3.3 + 0.01 * i, 10, b"\2") for i in range(8)),
                *(message(5.0 + 0.01 * i, 11, b"") for i in range(8)),
                *(message(5.2 + 0.01 * i, 11, b"\2") for i in range(1, 9)),
                *(message(8.0, 12, b"\2") for i in range(3)),
            ),
        ),
    )
    yield (
        "full-queues",
        Scenario(
            SETTINGS,
            (steady(10.0),),
            (listed(0.0, FULL, *three),),
            (
                Fault(FaultKind.FULL, 3.0, 8.0, frozenset({10})),
                Fault(FaultKind.FULL, 10.0, 13.0, share=0.8),
                Fault(FaultKind.FULL, 15.0, 16.0),
            ),
        ),
    )
    yield (
        "stragglers",
        Scenario(
            SETTINGS._replace(cell_count=6, max_parts_per_request=4),
            (Load(0.1, 9.0, 4.0, 12, 12), Load(9.0, 10.0, 2.0, 150, 150)),
            (listed(0.0, FULL, *fleet(18, 6, 3)),),
            (
                Fault(FaultKind.SLOW, 3.0, 5.0, frozenset({12, 17})),
                Fault(FaultKind.UNRESPONSIVE, 6.0, 8.0, frozenset({13})),
            ),
            duration=14.0,
        ),
    )
    yield (
        "slow-one",
        Scenario(
            SETTINGS,
            (steady(14.0),),
            (listed(0.0, FULL, *six),),
            (Fault(FaultKind.SLOW, 3.0, 12.0, frozenset({10}), slowness=4.0),),
        ),
    )
    yield (
        "idle-connections",
        Scenario(
            SETTINGS,
            (steady(10.0, 4.0), Load(22.0, 26.0, 4.0, 1, 1), Load(45.0, 48.0, 4.0, 1, 1)),
            (listed(0.0, FULL, *three),),
            (Fault(FaultKind.UNRESPONSIVE, 22.0, 23.5), Fault(FaultKind.UNRESPONSIVE, 45.0, 45.5)),
            duration=50.0,
        ),
    )
    yield (
        "cold-fleet",
        Scenario(
            SETTINGS._replace(cell_count=2),
            (Load(0.1, 14.0, 8.0, 1, 2, client_retry_share=0.4),),
            (listed(0.0, FULL, *(replica(i, i % 2, 0, START - 1.0) for i in range(4))),),
            duration=15.0,
        ),
    )
    yield (
        "budget",
        Scenario(
            SETTINGS._replace(
                retry_budget_free=3.0, retry_budget_share=0.1, retry_budget_window=5.0, max_send_delay=0.03
            ),
            (steady(10.0),),
            (listed(0.0, FULL, *six),),
            (
                Fault(FaultKind.ERROR, 3.0, 9.0, frozenset({10, 11}), share=0.5),
                Fault(FaultKind.SLOW, 10.0, 16.0, frozenset({12}), share=0.6),
            ),
        ),
    )
    yield (
        "keyed-and-unsafe",
        Scenario(
            SETTINGS._replace(
                query_classes=(
                    CLASS._replace(retry_safety=KEYED, idempotency_window=0.5),
                    CLASS._replace(retry_safety=UNSAFE, second_step_parts=1),
                )
            ),
            (Load(0.1, 20.0, 8.0, 1, 2, classes=(0, 1)),),
            (listed(0.0, FULL, *six),),
            (
                Fault(FaultKind.RESET, 3.0, 6.0, share=0.4),
                Fault(FaultKind.UNRESPONSIVE, 8.0, 10.0, frozenset({10})),
                Fault(FaultKind.UNREACHABLE, 12.0, 15.0, share=0.5),
                Fault(FaultKind.NEVER_SENT, 17.0, 19.0, share=0.5),
            ),
        ),
    )
    short = CLASS._replace(required_coverage=0.5, complete_coverage=0.9, late_answer_value=0.6)
    yield (
        "short-answers",
        Scenario(
            SETTINGS._replace(
                cell_count=4,
                query_classes=(
                    short,
                    short._replace(second_step_parts=2),
                    short._replace(late_answer_value=1.0, latency_objective=0.4),
                ),
            ),
            (Load(0.1, 20.0, 4.0, 8, 8, classes=(0, 1, 2), even_weights=False),),
            (
                listed(0.0, FULL, *fleet(8, 4)),
                listed(15.0, DELTA, *(row._replace(state=GONE) for row in fleet(8, 4) if row.cell == 1)),
            ),
            (
                Fault(FaultKind.UNRESPONSIVE, 3.0, 8.0, frozenset({11, 15})),
                Fault(FaultKind.ERROR, 10.0, 12.0, frozenset({12, 16})),
            ),
        ),
    )
    yield (
        "out-of-the-blue",
        Scenario(
            SETTINGS,
            (steady(4.0, 8.0),),
            (listed(0.0, FULL),),
            other_events=(
                (0.5, api.AttemptEnded(UNKNOWN_ID, 0, 10, api.AttemptOutcome.OK, 0.1)),
                (0.6, api.QueryAbandoned(UNKNOWN_ID)),
                (0.7, api.TimerFired(UNKNOWN_ID)),
                (0.8, api.PartArrived(UNKNOWN_ID, UNKNOWN_ID, 0, 1.0)),
                (1.0, api.MembershipChanged(DELTA, three)),
                (4.0, api.MembershipChanged(FULL, ())),
                (6.0, api.MembershipChanged(CACHED, three[:1])),
            ),
            duration=12.0,
        ),
    )
    yield (
        "steady-day",
        Scenario(
            SETTINGS._replace(coordinator_count=1, gossip_allowed=False),
            (steady(14.0, 18.0), Load(40.0, 41.0, 10.0, 1, 1)),
            (listed(0.0, FULL, *three),),
            (Fault(FaultKind.SLOW, 8.0, 9.0), Fault(FaultKind.ERROR, 12.0, 13.5, share=0.5)),
            duration=45.0,
        ),
    )
    yield (
        "overload",
        Scenario(
            SETTINGS._replace(tenant_quotas=(1.0, None), coordinator_count=10),
            (
                Load(0.1, 20.0, 4.0, 1, 1, tenants=2),
                Load(5.0, 6.0, 150.0, 1, 1, tenants=2),
                Load(9.0, 12.0, 40.0, 1, 1, tenants=2),
            ),
            (listed(0.0, FULL, *three),),
            capacity=1.0,
            latency=0.2,
        ),
    )
    yield (
        "pushed-lists-that-fail",
        Scenario(
            SETTINGS._replace(drain_grace=0.8),
            (steady(2.0, 9.0),),
            (listed(0.0, FULL, *three), listed(1.0, FAILED), listed(6.0, FAILED)),
            failed_watch_calls=8,
            duration=10.0,
        ),
    )
    yield (
        "asked-lists-that-fail",
        Scenario(
            SETTINGS._replace(membership_polled=True, drain_grace=0.8),
            (steady(1.0, 19.0),),
            (listed(0.0, CACHED, *three),),
            failed_watch_calls=12,
        ),
    )
    yield (
        "interrupted-watch",
        Scenario(
            SETTINGS._replace(membership_polled=True, drain_grace=0.5),
            (steady(1.0, 29.0),),
            (listed(0.0, CACHED, *three),),
            (Fault(FaultKind.FULL, 6.0, 28.0, replicas=frozenset({10})),),
            other_events=((5.0, api.WatchInterrupted(2.5)), (20.0, api.WatchInterrupted(0.0))),
            duration=30.0,
            failed_watch_calls=24,
        ),
    )
    yield (
        "discovery-moves",
        Scenario(
            SETTINGS._replace(membership_polled=True, drain_grace=0.5),
            (steady(1.0, 29.0),),
            (listed(0.0, CACHED, *three),),
            other_events=(
                (5.0, api.DiscoveryAddressChanged(0.5)),
                (12.0, api.WatchInterrupted(2.5)),
                (12.05, api.DiscoveryAddressChanged(2.55)),
            ),
            duration=30.0,
            failed_watch_calls=12,
        ),
    )
    yield (
        "breakers",
        Scenario(
            SETTINGS,
            (steady(8.0, 50.0),),
            (listed(0.0, FULL, *six),),
            (
                Fault(FaultKind.SLOW, 6.0, 20.0, share=0.17),
                Fault(FaultKind.SLOW, 20.0, 32.0, share=0.11),
                Fault(FaultKind.ERROR, 32.0, 50.0, share=0.12),
                Fault(FaultKind.SLOW, 32.0, 50.0, share=0.08),
            ),
            duration=50.0,
        ),
    )
    yield (
        "half-ejected",
        Scenario(
            SETTINGS._replace(coordinator_count=1),
            (steady(10.0),),
            (listed(0.0, FULL, *fleet(5)),),
            (
                Fault(FaultKind.ERROR, 3.0, 9.0, frozenset({10, 11, 12})),
                Fault(FaultKind.UNREACHABLE, 12.0, 17.0, frozenset({11, 12, 13})),
            ),
        ),
    )
    yield (
        "hearsay-in-a-large-fleet",
        Scenario(
            SETTINGS._replace(coordinator_count=20),
            (steady(10.0, 16.0),),
            (listed(0.0, FULL, *six),),
            (
                Fault(FaultKind.ERROR, 3.0, 8.0, frozenset({10})),
                Fault(FaultKind.ERROR, 6.0, 8.0, frozenset({13})),
            ),
            other_events=(
                *(message(2.0 + 0.02 * i, 11, b"") for i in range(14)),
                *(message(6.5 + 0.1 * i, 10, b"\1") for i in range(4)),
                *(message(9.0 + 0.02 * i, 12, b"\1") for i in range(40)),
                *(message(9.9 + 0.02 * i, 12, b"\2") for i in range(60)),
            ),
            duration=17.0,
        ),
    )
    yield (
        "restarted-while-ejected",
        Scenario(
            SETTINGS,
            (steady(10.0, 12.0),),
            (
                listed(0.0, FULL, *three),
                listed(4.0, DELTA, replica(0, started=START + 3.9)),
                listed(6.0, DELTA, replica(1, started=-1.0)),
            ),
            (
                Fault(FaultKind.ERROR, 3.0, 3.9, frozenset({10})),
                Fault(FaultKind.ERROR, 5.0, 7.0, frozenset({11})),
            ),
            duration=12.0,
        ),
    )
    yield (
        "cold-and-seldom",
        Scenario(
            SETTINGS._replace(coordinator_count=1, overload_window=1.0, overload_multiple=1.5),
            (steady(1.0, 30.0),),
            (listed(0.0, FULL, *(replica(i, started=START + i) for i in range(3))),),
            duration=32.0,
        ),
    )
    yield (
        "trials-of-many",
        Scenario(
            SETTINGS._replace(cell_count=4, coordinator_count=1),
            (Load(0.1, 6.0, 6.0, 1, 4), Load(6.0, 14.0, 1.0, 20, 60)),
            (listed(0.0, FULL, *fleet(16, 4)),),
            (Fault(FaultKind.UNREACHABLE, 3.0, 6.0, frozenset(range(10, 20))),),
            duration=16.0,
        ),
    )
    yield (
        "copies-not-cancelled",
        Scenario(
            SETTINGS._replace(
                cancellation_allowed=False, max_attempts=4, query_classes=(CLASS._replace(deadline=6.0),)
            ),
            (steady(9.0, 20.0),),
            (listed(0.0, FULL, *three),),
            (
                Fault(FaultKind.SLOW, 4.0, 8.0, frozenset({10, 11}), slowness=10.0),
                Fault(FaultKind.UNRESPONSIVE, 12.0, 14.0, frozenset({11, 12})),
            ),
            pauses=((6.0, 0.3), (13.0, 0.2)),
            duration=24.0,
        ),
    )
    yield (
        "tight-budget",
        Scenario(
            SETTINGS._replace(
                retry_budget_free=1.0,
                retry_budget_share=0.2,
                retry_budget_window=0.5,
                timer_granularity=0.02,
                max_send_delay=0.05,
            ),
            (steady(14.0, 14.0),),
            (listed(0.0, FULL, *six),),
            (Fault(FaultKind.RESET, 2.0, 14.0, share=0.2),),
            duration=15.0,
        ),
    )
    halves = CLASS._replace(required_coverage=0.5, complete_coverage=0.5, second_step_parts=4)
    thirds = CLASS._replace(required_coverage=2 / 3, complete_coverage=2 / 3, second_step_parts=3)
    yield (
        "rounded-shares",
        Scenario(
            SETTINGS._replace(
                cell_count=3,
                max_attempts=1,
                query_classes=(
                    halves,
                    thirds,
                    halves._replace(complete_coverage=0.75),
                    thirds._replace(complete_coverage=1.0),
                ),
            ),
            (Load(0.1, 10.0, 6.0, 3, 3, classes=(0, 1, 2, 3)),),
            (listed(0.0, FULL, *fleet(9, 3)),),
            (Fault(FaultKind.ERROR, 2.0, 10.0, share=0.12),),
            duration=14.0,
        ),
    )
    yield (
        "most-of-a-large-fleet-fails",
        Scenario(
            SETTINGS._replace(coordinator_count=1),
            (steady(12.0, 10.0),),
            (listed(0.0, FULL, *fleet(28)),),
            (Fault(FaultKind.ERROR, 2.0, 6.0, frozenset(range(10, 32))),),
            duration=11.0,
        ),
    )
    yield (
        "words-on-one-ejected-for-long",
        Scenario(
            SETTINGS._replace(coordinator_count=1, gossip_allowed=False),
            (steady(1.0, 30.0),),
            (listed(0.0, FULL, *six),),
            (Fault(FaultKind.ERROR, 2.0, 20.0, frozenset({10, 11, 12})),),
            other_events=tuple(
                message(8.0 + 2.0 * i + 0.01 * j, 10 + i % 3, b"") for i in range(8) for j in range(4)
            ),
            duration=32.0,
        ),
    )
    yield (
        "wide-overload",
        Scenario(
            SETTINGS._replace(
                cell_count=12,
                query_classes=(
                    CLASS._replace(required_coverage=0.75, complete_coverage=0.75),
                    CLASS._replace(latency_objective=0.6),
                ),
            ),
            (Load(0.1, 12.0, 4.0, 2, 12, classes=(0, 1)),),
            (listed(0.0, FULL, *fleet(24, 12)),),
            capacity=1.0,
            latency=0.14,
            duration=14.0,
        ),
    )
    yield (
        "cold-without-answers",
        Scenario(
            SETTINGS._replace(coordinator_count=1, slow_start_capacity=0.8, overload_window=1.0),
            (steady(3.0, 12.0),),
            (listed(0.0, FULL, *(replica(i, started=START - 1.0) for i in range(3))),),
            (Fault(FaultKind.NEVER_SENT, 0.0, 12.0, share=0.9),),
            duration=13.0,
        ),
    )
    yield (
        "keyed-window",
        Scenario(
            SETTINGS._replace(
                max_attempts=9,
                query_classes=(CLASS._replace(retry_safety=KEYED, idempotency_window=0.05),),
                max_send_delay=0.01,
            ),
            (steady(6.0, 8.0),),
            (listed(0.0, FULL, *six),),
            (Fault(FaultKind.ERROR, 1.0, 8.0, share=0.7),),
            duration=10.0,
        ),
    )
    yield (
        "over-a-quota",
        Scenario(
            SETTINGS._replace(tenant_quotas=(1.3, None), coordinator_count=1),
            (Load(0.1, 24.0, 3.5, 1, 3, tenants=2),),
            (listed(0.0, FULL, *three),),
            capacity=1.5,
            latency=0.35,
            duration=26.0,
        ),
    )


def scenarios() -> Iterator[tuple[str, Scenario]]:
    """All recorded scenarios, by name of the recording."""
    yield from directed()
    for seed in range(DRAWN_SCENARIOS):
        yield f"drawn-{seed:02}", drawn_scenario(seed)
