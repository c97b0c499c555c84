"""Writes the fixtures `driver-*.json.gz`: runs of the query driver against a simulated host.

Run it only after a behaviour was changed on purpose; the test replays the fixtures on disk:

    PYTHONPATH=.:tests python -m recordings.record_driver            # write the fixtures
    PYTHONPATH=.:tests python -m recordings.record_driver --lines    # print lines that the runs do not execute

According to `--lines`, the runs execute every line within functions of driver.py, open_queries.py,
attempt_tracking.py, batch_assembly.py, query_completion.py, driver_counts.py, timers.py, attempt_outcome.py,
response_time_reserve.py, shard_placement.py, process_pause.py and retry_after.py. Not executed: in
replica_start_times.py the line that drops the oldest of more than 8192 start times (it would need a large fixture),
in types.py the body of `InvalidReply`, which the driver never sees; in the package `decisions`, which has recordings
of its own, the lines that bound counts over a long time, and a few others.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

from hosts import query_class, replica

from gingervane import interface as api
from gingervane.coordinator import types as t
from recordings import driver_codec as codec
from recordings.driver_codec import RecordedCodec, RecordedResultCallback, Session
from recordings.driver_host import (
    CACHED,
    DELTA,
    DRAINING,
    FAILED,
    FULL,
    GONE,
    READY,
    ROWS,
    SETTINGS,
    START,
    Host,
    Scenario,
    endpoint_update,
    in_state,
)
from recordings.driver_tools import record_tools
from recordings.untaken import untaken_lines

KEYED, UNSAFE = api.RetrySafety.IDEMPOTENCY_KEY, api.RetrySafety.NOT_IDEMPOTENT
COORDINATOR = Path(t.__file__).parent
COVERED_FILES = (
    *(
        COORDINATOR / f"{name}.py"
        for name in ("driver", "open_queries", "attempt_tracking", "batch_assembly")
    ),
    *(COORDINATOR / f"{name}.py" for name in ("query_completion", "driver_counts", "types", "timers")),
    *(
        COORDINATOR / f"{name}.py"
        for name in ("replica_start_times", "attempt_outcome", "response_time_reserve")
    ),
    *(COORDINATOR / f"{name}.py" for name in ("process_pause", "retry_after")),
    COORDINATOR.parent / "writes/shard_placement.py",
    *sorted((COORDINATOR.parent / "decisions").glob("*.py")),
)
FAILURES = {
    api.AttemptOutcome.ERROR: 0.06,
    api.AttemptOutcome.REJECTED: 0.06,
    api.AttemptOutcome.CONNECT_FAILED: 0.06,
    api.AttemptOutcome.RESET: 0.06,
    api.AttemptOutcome.NEVER_SENT: 0.06,
    api.AttemptOutcome.TIMED_OUT: 0.03,
}


def classes(*kinds: api.QueryClass) -> api.Settings:
    return SETTINGS._replace(query_classes=kinds)


def scenarios() -> list[Scenario]:
    """All runs with the real decision engine."""
    return [*_load(), *_classes(), *_membership(), *_completions()]


def _load() -> list[Scenario]:
    hedging = classes(query_class(aim=0.5, deadline=2.0), query_class(aim=0.2, deadline=0.6, least=0.5))
    stretched = query_class(aim=0.2, deadline=0.6)._replace(objective_stretch=5.0)
    quota = classes(stretched)._replace(tenant_quotas=(1.0,))
    overloaded = {"gap": 0.002, "queries": 70, "latency": 0.3, "client_times": (0.3, 0.6, 2.0)}
    return [
        Scenario("calm", SETTINGS, 1, slow_share=0.0, queries=20),
        Scenario("hedges", hedging, 2, queries=60, slow_share=0.15, client_times=(0.1, 0.6, 2.0)),
        Scenario(
            "hedges-no-cancel",
            hedging._replace(cancellation_allowed=False),
            3,
            slow_share=0.25,
            late_replies=1.0,
        ),
        Scenario("no-hedges", hedging._replace(hedging_allowed=False), 4, slow_share=0.15, failures=FAILURES),
        Scenario("overload", hedging, 5, **overloaded),  # type: ignore[arg-type]
        Scenario("quota", quota, 9, queries=30, gap=0.01, latency=0.08, slow_share=0.0),
        Scenario(
            "budget",
            SETTINGS._replace(
                retry_budget_free=2.0,
                retry_budget_share=0.1,
                retry_budget_window=2.0,
                max_send_delay=t.MAX_SEND_DELAY,
            ),
            6,
            slow_share=0.3,
            failures=FAILURES,
        ),
        Scenario(
            "wide-calls", SETTINGS._replace(max_parts_per_request=8), 7, max_parts=8, gap=0.0, queries=25
        ),
        Scenario(
            "standstills", hedging, 8, gap=0.03, queries=60, slow_share=0.1, pauses=((0.4, 0.3), (1.2, 1.0))
        ),
    ]


def _classes() -> list[Scenario]:
    retry_safeties = classes(
        query_class(aim=0.5, deadline=2.0, semantics=UNSAFE),
        query_class(aim=0.5, deadline=2.0, semantics=KEYED, window=0.2),
        query_class(aim=0.5, deadline=2.0, semantics=KEYED, window=5.0),
    )
    second = classes(
        query_class(aim=0.3, deadline=1.0, second=2, least=0.5, whole=0.75),
        query_class(aim=0.3, deadline=1.0, second=3, least=0.7, whole=0.9, late=0.3, short=0.9),
        query_class(aim=0.3, deadline=1.0, semantics=UNSAFE, second=1),
    )
    shares = classes(
        query_class(aim=0.1, deadline=0.5, least=0.5, whole=0.75, late=0.5, short=0.9),
        query_class(aim=0.1, deadline=0.5, least=0.3, late=1.0),
    )
    full = {api.AttemptOutcome.REJECTED: 0.7}
    short_objective = classes(query_class(aim=0.1, deadline=0.5, least=0.3, late=1.0))._replace(
        hedging_allowed=False, max_attempts=30
    )
    return [
        Scenario("failures", SETTINGS, 11, failures=FAILURES, queries=60, rejected_starts=0.05),
        Scenario(
            "semantics",
            retry_safeties,
            12,
            failures=FAILURES,
            queries=60,
            slow_share=0.1,
            rejected_starts=0.05,
        ),
        Scenario(
            "semantics-hand-over",
            retry_safeties._replace(max_send_delay=0.05),
            13,
            slow_share=0.3,
            sender_waits=0.2,
        ),
        Scenario("second-step", second, 14, second_parts=2, slow_share=0.15, queries=50, failures=FAILURES),
        Scenario(
            "second-step-no-cancel",
            second._replace(cancellation_allowed=False),
            15,
            second_parts=2,
            slow_share=0.3,
        ),
        Scenario("second-step-empty", second, 16, second_parts=0, queries=10),
        Scenario(
            "shares", shares, 17, slow_share=0.3, client_times=(0.08, 0.5), queries=60, failures=FAILURES
        ),
        Scenario("short-at-deadline", short_objective, 20, failures=full, client_times=(0.5,), queries=20),
        Scenario(
            "granted",
            retry_safeties._replace(query_classes=hedged(retry_safeties)),
            18,
            limited_parts=0.6,
            failures=FAILURES,
            lists_with_deferred_events=0.5,
        ),
        Scenario(
            "stuck",
            SETTINGS,
            19,
            sender_waits=0.5,
            partial_sends=0.3,
            slow_share=0.3,
            disconnects=0.2,
            queries=60,
        ),
    ]


def hedged(settings: api.Settings) -> tuple[api.QueryClass, ...]:
    """The classes, and one whose queries are idempotent."""
    return (*settings.query_classes, query_class(aim=0.3, deadline=1.0))


def _membership() -> list[Scenario]:
    churn = (
        (0.2, (endpoint_update(DELTA, *in_state(DRAINING, 0, 1)),)),
        (0.4, (endpoint_update(DELTA, *in_state(GONE, 0)),)),
        (
            0.5,
            (
                endpoint_update(DELTA, replica(8, 0, started=START + 0.4)),
                endpoint_update(DELTA, *in_state(READY, 1)),
            ),
        ),
        (0.8, (endpoint_update(FULL, *ROWS[2:]),)),
        (1.0, (endpoint_update(FULL, *(row._replace(started_at=START + 0.9) for row in ROWS)),)),
        (1.4, (endpoint_update(CACHED, *ROWS[1:5]), t.ClientDisconnected(20))),
        (1.6, (endpoint_update(DELTA, *in_state(GONE, 1, 2, 3, 4)),)),
        (1.8, (endpoint_update(FULL, *ROWS),)),
    )
    polled = SETTINGS._replace(membership_polled=True, drain_grace=2.0)
    cold = tuple(row._replace(started_at=START - 2.0 * row.id) for row in ROWS)
    peers = SETTINGS._replace(gossip_allowed=True, coordinator_count=4)
    messages = tuple(
        (
            0.2 + 0.1 * n,
            (
                t.PeerMessageReceived(
                    1 + n % 3, (n % 3 if n % 5 else 50).to_bytes(8, "big") + (b"", b"\1", b"\1", b"\2")[n % 4]
                ),
            ),
        )
        for n in range(24)
    )
    broken = {2: api.AttemptOutcome.CONNECT_FAILED, 4: api.AttemptOutcome.RESET}
    return [
        Scenario(
            "membership", SETTINGS, 21, queries=50, gap=0.035, slow_share=0.2, sender_waits=0.4, timed=churn
        ),
        Scenario(
            "membership-asked",
            polled,
            22,
            timed=churn,
            first_list=(endpoint_update(FAILED),),
            failures=FAILURES,
        ),
        Scenario(
            "membership-no-cancel",
            SETTINGS._replace(cancellation_allowed=False),
            23,
            timed=churn,
            slow_share=0.3,
        ),
        Scenario("cold", SETTINGS, 24, first_list=(endpoint_update(FULL, *cold),), queries=60, latency=0.05),
        Scenario("peers", peers, 25, queries=60, broken_replicas=broken, timed=messages),
        Scenario(
            "ejections", SETTINGS, 26, queries=60, gap=0.1, broken_replicas=broken, slow_replicas={1: 9.0}
        ),
        Scenario("silence", peers, 27, queries=60, gap=0.15, unresponsive_replicas=frozenset({0, 3})),
        Scenario(
            "no-replica",
            SETTINGS,
            28,
            queries=5,
            first_list=(endpoint_update(FULL, *in_state(DRAINING, 0, 1)),),
        ),
    ]


def _completions() -> list[Scenario]:
    retry_safeties = classes(
        query_class(aim=0.5, deadline=2.0),
        query_class(aim=0.5, deadline=2.0, semantics=UNSAFE),
        query_class(aim=0.5, deadline=2.0, semantics=KEYED, window=0.5),
    )
    shutdown = ((0.5, (t.Shutdown(),)), (0.9, (t.Shutdown(), t.ClientDisconnected(3))))
    uncancelled = retry_safeties._replace(cancellation_allowed=False)
    return [
        Scenario(
            "deadlines-no-cancel", uncancelled, 36, queries=20, latency=0.4, client_times=(0.05, 0.3, 0.45)
        ),
        Scenario(
            "news",
            retry_safeties,
            37,
            disconnects=0.4,
            latency=0.08,
            early_end_times=0.1,
            lists_with_deferred_events=0.5,
        ),
        Scenario("leavers", retry_safeties, 31, disconnects=0.5, latency=0.1, slow_share=0.2, queries=60),
        Scenario(
            "shutdown",
            retry_safeties,
            32,
            gap=0.02,
            latency=0.2,
            timed=shutdown,
            rejected_starts=0.1,
            sender_waits=0.2,
        ),
        Scenario(
            "shutdown-no-cancel",
            retry_safeties._replace(cancellation_allowed=False),
            33,
            gap=0.02,
            timed=shutdown,
        ),
        Scenario("cut", retry_safeties, 34, gap=0.02, latency=0.3, stop_after=0.5),
        Scenario("deadlines", retry_safeties, 35, latency=0.4, client_times=(0.05, 0.3, 0.45), queries=40),
    ]


# ---- a scripted decision engine, for behaviour that the real one never shows


def scripted() -> dict[str, list[Any]]:
    """Runs in which the module makes errors, or takes actions that are rare with the real one."""
    state = api.ReplicaEjected(1, 2.0, api.EjectionReason.NO_RESPONSE), api.ReplicaReinstated(1)
    everything: list[list[api.Action]] = [
        [api.WatchMembership(), api.CloseIdle(0), api.CloseIdle(99), api.LogMessage("a line"), *state],
        [api.SendToPeers(b"\0\1"), api.Send(1, 0, 1002.0), api.Send(2, 0, 1001.5), api.Send(1, 1, 1002.0)],
        [api.Cancel(1, 7), api.Cancel(99, 0), api.Cancel(1, 1), api.SetTimer(0.25, 1)],
        [api.Answer(1, True, api.QueryEndReason.ALL_PARTS), api.Answer(1, False), api.Answer(99, True)],
        [api.Reject(1, 0.5), api.Reject(2, 0.25, api.QueryEndReason.OVERLOAD), api.Fail(2)],
    ]
    false_complete: list[list[api.Action]] = [
        [],
        [api.Send(1, 0, 1002.0), api.Send(2, 1, 1002.0)],
        [],
        [api.Answer(1, True, api.QueryEndReason.ALL_PARTS)],
    ]
    unknown: list[list[api.Action]] = [[], [api.Send(1, 77, 1002.0)]]
    half = classes(query_class(aim=0.5, deadline=2.0, least=0.5))
    unstated: list[list[api.Action]] = [
        [],
        [api.Send(1, 0, 1002.0), api.Send(2, 1, 1002.0)],
        [api.Answer(1, False)],
        [],
        [api.Send(3, 0, 1002.0), api.Cancel(3, 0), api.Fail(2)],
    ]
    at_deadline: list[list[api.Action]] = [
        [],
        [api.Send(1, 0, 1002.0), api.Send(2, 1, 1002.0)],
        [api.Answer(1, False, api.QueryEndReason.PARTIAL_AT_DEADLINE)],
    ]
    second = classes(query_class(aim=0.5, deadline=2.0, least=0.5, second=1))
    false_second: list[list[api.Action]] = [
        [],
        [api.Send(1, 0, 1002.0), api.Send(2, 1, 1002.0)],
        [api.Answer(1, False)],
        [api.Send(3, 2, 1002.0)],
        [api.Answer(1, True)],
    ]
    return {
        "scripted-false-second": _scripted(second, false_second, 1),
        "scripted-unstated": _scripted(half, unstated),
        "scripted-at-deadline": _scripted(half, at_deadline),
        "scripted": _scripted(SETTINGS, everything),
        "scripted-false-whole": _scripted(half, false_complete),
        "scripted-unknown-replica": _scripted(SETTINGS, unknown),
    }


def _scripted(
    settings: api.Settings, actions: list[list[api.Action]], second_parts: int | None = None
) -> list[Any]:
    """Run one query of two parts, the first of which is answered twice."""
    encoded, script = codec.encode(settings), [codec.encode(batch) for batch in actions]
    session = Session(encoded, 0, script)
    parts = t.PartPlan(0, 0.5, 101), t.PartPlan(1, 0.5, 102)
    plan = t.QueryPlan(0, 1002.0, parts, RecordedCodec(1))
    arrived = codec.encode_input(t.QuerySubmitted(1, plan, RecordedResultCallback(1)), second_parts)
    other = codec.encode_input(t.QuerySubmitted(2, plan, RecordedResultCallback(2)))
    good = codec.encode_input(t.AttemptFinished(1, 0, api.AttemptOutcome.OK, 1000.4, 101))
    never = codec.encode_input(t.AttemptFinished(2, 0, api.AttemptOutcome.NEVER_SENT, 1000.4, None, "~1"))
    again = codec.encode_input(t.AttemptFinished(3, 0, api.AttemptOutcome.OK, 1000.55, 103))
    turns: list[tuple[float, list[Any]]] = [
        (1000.0, [codec.encode_input(endpoint_update(FULL, *ROWS))]),
        (1000.1, [arrived]),
        (1000.4, [good, good]),
        (1000.5, [codec.encode_input(t.PeerMessageReceived(3, b"\7"))]),
        (1000.6, [other, never, again]),
        (1000.8, []),
        (1000.9, [codec.encode_input(t.ClientDisconnected(2)), codec.encode_input(t.Shutdown())]),
    ]
    batches = []
    for now, inputs in turns:
        _, encoded_effects, state, observed = session.step(now, inputs)
        batches.append([[], [], now, inputs, encoded_effects, state, observed])
        if encoded_effects and encoded_effects[0] == [codec.RAISED]:
            break
    return [encoded, 0, script, batches, session.closing()]


def main() -> None:
    """Write all fixtures."""
    sizes, batches, effects = Counter[str](), 0, Counter[int]()
    recordings = {scenario.name: Host(scenario).run() for scenario in scenarios()} | scripted()
    for name, recording in recordings.items():
        sizes[name] = codec.write_fixture(f"driver-{name}.json.gz", recording)
        batches += len(recording[3])
        effects.update(effect[0] for batch in recording[3] for effect in batch[4])
    sizes["tools"] = codec.write_fixture("driver-tools.json.gz", record_tools())
    print(
        f"{len(recordings)} recordings, {batches} batches, {effects.total()} effects, {sizes.total()} bytes"
    )
    print(sizes, {codec.TYPES[index].__name__: n for index, n in effects.items() if index >= 0}, effects[-5])


def run_all() -> None:
    """Execute all runs without writing fixtures."""
    for scenario in scenarios():
        Host(scenario).run()
    scripted()
    record_tools()


if __name__ == "__main__":
    if "--lines" in sys.argv:
        for path, lines in untaken_lines(COVERED_FILES, run_all).items():
            print(path.name, lines)
    else:
        main()
