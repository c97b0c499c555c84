"""Batches of events: their order, unknown or late events, and determinism."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from decision_helpers import part_of, sends
from hosts import Host

from gingervane import interface as api
from gingervane.interface import AttemptOutcome

OK = AttemptOutcome.OK
ROOT = Path(__file__).resolve().parent.parent


def test_events_received_during_a_process_pause_are_handled_before_timers() -> None:
    """With timers handled first, replicas that had answered counted as unresponsive and hedges were sent."""
    host = Host()
    host.warm_up()
    host.wait(15.0)
    part = part_of(host, host.query(0))
    where, known_samples = host.where(part), list(host.engine.latency.samples[0])
    due = [label for _, label in sorted(host.timers)]
    host.now += 1.0
    del host.open_attempts[part, 0]
    host.results[part, 0] = OK
    host.received_parts.add(part)
    fired = [api.TimerFired(label) for label in due]
    actions = host.feed(*fired, api.AttemptEnded(part, 0, where, OK, 1.0))
    assert not sends(actions) and any(isinstance(a, api.Answer) for a in actions)
    assert not host.engine.membership.replicas[where].ejected_for
    assert list(host.engine.latency.samples[0]) == known_samples


def test_events_about_completed_or_unknown_items_are_ignored() -> None:
    host = Host()
    query = host.query(0)
    part = part_of(host, query)
    host.finish(part)
    over = api.AttemptEnded(part, 0, 10, AttemptOutcome.OK, 0.1)
    assert (
        host.feed(
            over,
            over,
            api.AttemptEnded(999, 3, 77, AttemptOutcome.ERROR, 0.1),
            api.QueryAbandoned(query),
            api.QueryAbandoned(12345),
            api.TimerFired(987654),
            api.PeerMessageReceived(1, b"hello"),
            api.HealthCheckEnded(99, AttemptOutcome.OK, 0.1, ()),
            api.PartArrived(4321, 99, 0, 1.0),
        )
        == []
    )


def test_an_abandoned_query_gets_no_answer() -> None:
    host = Host()
    query = host.query(0)
    host.ended[query] = api.Fail(query)  # the client has disconnected: the host raises on any further end
    assert not sends(host.feed(api.QueryAbandoned(query)))
    host.wait(10.0)


SCRIPT = """
from hosts import BASE, Host
host = Host(BASE._replace(cell_count=4, cells_per_replica=3, membership_polled=True), replicas=8, seed=5)
host.warm_up(30)
for i in range(40):
    host.query(i % 4, (i + 1) % 4)
    host.wait(0.1)
print(host.log)
"""


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    logs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": f"{ROOT}:{ROOT}/tests"},
        ).stdout
        for seed in ("1", "2", "77")
    }
    assert len(logs) == 1 and len(logs.pop()) > 1000


def test_line_limits() -> None:
    for path in [p for folder in ("gingervane", "tests") for p in (ROOT / folder).glob("*.py")]:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert len(line) <= 110, f"{path.name}:{number}"


def test_readme_example_runs() -> None:
    code = (ROOT / "README.md").read_text().split("```python")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
