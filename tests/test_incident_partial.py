"""Guards against the incident of 2026-12-02: answers with too few parts. Tested with real processes on
loopback, and on the driver alone.

An answer processed in the batch in which the timer for its query's first step fires ends that step. The
timer then found a second step without parts and treated it as complete.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from faults.plans import draw
from faults.rig import play
from hosts import BASE, query_class, replica
from platform_fakes import (
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    Discovery,
    Part,
    Replica,
    Wire,
    cell_of,
    host,
    query,
    read_until,
    reply,
    start_node,
)

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine

ROOT = Path(__file__).parents[1]
DEADLINE = 2.0  # seconds
FIRST_STEP_SECONDS = DEADLINE / 2  # after which a first step ends, where no latency is known
ROUNDS = 6  # each with a new node, which has measured no delays for which it would shed load
QUERIES = 12  # per round


def settings(least: float, whole: float) -> dict[str, Any]:
    """Settings with one query class, whose second step has two parts."""
    extra = SETTINGS["Extra"] | {
        "ClassFetch": [2],
        "MinShare": [least],
        "WholeAt": [whole],
        "ShortWorth": [1.0],
    }
    query_class_settings = {
        "Name": "look",
        "AimS": 0.4,
        "DeadlineS": DEADLINE,
        "Semantics": "safe",
        "LateWorth": 0.0,
    }
    return SETTINGS | {"Classes": [query_class_settings], "Extra": extra}


class DelayingReplica(Replica):
    """Answers shards 0 and 1 and second steps at once, shard 2 when `release` is called, and shard 3
    never."""

    def __init__(self) -> None:
        super().__init__(0, self.take)
        self.delayed: list[tuple[Wire, Part]] = []
        self._lock = threading.Lock()

    def take(self, wire: Wire, part: Part) -> None:
        if part.id.endswith(".b") or part.shard < 2:
            wire.answer(part.id)
        elif part.shard == 2:
            with self._lock:
                self.delayed.append((wire, part))

    def release(self) -> None:
        with self._lock:
            delayed, self.delayed = self.delayed, []
        for wire, part in delayed:
            wire.answer(part.id)


@pytest.mark.parametrize(("least", "whole"), [(0.6, 1.0), (0.6, 0.75)])
def test_an_answer_together_with_the_first_step_timer_gets_a_second_step(
    tmp_path: Path,
    least: float,
    whole: float,
) -> None:
    """Pauses a node across the end of its queries' first steps, so that answers and the timer fall into one
    batch."""
    wrong = []
    for number in range(ROUNDS):
        wrong += _run_round(tmp_path, least, whole, f"r{number}")
    assert not wrong, f"{len(wrong)} of {ROUNDS * QUERIES}: {wrong[:3]}"


def _run_round(folder: Path, least: float, whole: float, name: str) -> list[tuple[str, int, object]]:
    replicas = [DelayingReplica(), DelayingReplica()]
    discovery = Discovery([host(r) for r in replicas])
    path = folder / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": discovery.address,
                "seed": "5",
                "limits": {"sockets": 256},
                "settings": settings(least, whole),
                "known": {"seq": 0, "whole": True, "hosts": [host(r) for r in replicas]},
            }
        )
    )
    node = start_node(path)
    assert node.stderr is not None
    where, port = read_until(node.stderr, "listening").split("address=")[1].split()[0].rsplit(":", 1)
    threading.Thread(
        target=node.stderr.read, daemon=True
    ).start()  # keeps the node's log pipe from filling up
    try:
        return _run_queries_over_a_pause(node, (where, int(port)), replicas, name)
    finally:
        node.send_signal(signal.SIGCONT)
        node.kill()
        node.wait()
        discovery.close()
        for fake_replica in replicas:
            fake_replica.close()


def _run_queries_over_a_pause(
    node: subprocess.Popen[str],
    where: tuple[str, int],
    replicas: list[DelayingReplica],
    name: str,
) -> list[tuple[str, int, object]]:
    """Run one round; return the answers that do not consist of the two pieces of the second step."""
    socks = [socket.create_connection(where, WAIT_TIMEOUT_SECONDS) for _ in range(QUERIES)]
    for number, sock in enumerate(socks):
        sock.sendall(query(f"{name}-{number}", dict.fromkeys(range(4), 0.25), "/look", 3000))
    sent = time.monotonic()
    for number in range(QUERIES):
        for shard in range(3):
            _wait_for(replicas, f"{name}-{number}.{shard}")
    time.sleep(max(sent + 0.6 * FIRST_STEP_SECONDS - time.monotonic(), 0.0))
    node.send_signal(signal.SIGSTOP)
    for fake_replica in replicas:
        fake_replica.release()
    time.sleep(max(sent + 1.2 * FIRST_STEP_SECONDS - time.monotonic(), 0.0))
    node.send_signal(signal.SIGCONT)
    answers = [(f"{name}-{number}", *reply(sock)[::2]) for number, sock in enumerate(socks)]
    for sock in socks:
        sock.close()
    return [answer for answer in answers if not _is_second_step(*answer)]


def _is_second_step(name: str, status: int, body: Any) -> bool:
    if status != 200:
        return False
    pieces = {piece["tablet"]: piece["cell"] for piece in body["pieces"]}
    return len(pieces) == 2 and all(cell == cell_of(f"{name}.{shard}.b") for shard, cell in pieces.items())


def _wait_for(replicas: list[DelayingReplica], part: str) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not any(received.id == part for source in replicas for received in list(source.parts.items)):
        assert time.monotonic() < deadline, f"{part} was not received by any replica"
        time.sleep(0.002)


class _UnusedCodec:
    """A codec whose `encode` must not be called."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 1


@pytest.mark.parametrize(("least", "whole"), [(0.6, 1.0), (0.6, 0.75)])
def test_the_first_step_timer_in_the_batch_of_an_answer_ends_only_one_step(
    least: float, whole: float
) -> None:
    """The same on the driver and decision engine alone, with a fixed order of answer and timer."""
    query_class_settings = query_class(aim=0.4, deadline=DEADLINE, second=2, least=least, whole=whole)
    config = BASE._replace(query_classes=(query_class_settings,), coordinator_count=1, hedging_allowed=False)
    driver = Driver(DecisionEngine(config, 5), config)
    query_results: list[t.QueryResult] = []
    driver.step(
        100.0,
        [
            t.EndpointsUpdated(
                api.MembershipChanged(api.MembershipUpdateKind.FULL, (replica(1), replica(2))),
                {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)},
            )
        ],
    )
    parts = tuple(t.PartPlan(shard, 0.25, f"q.{shard}") for shard in range(4))

    def second_step(first_results: dict[int, Any], whole: bool) -> tuple[t.PartPlan, ...]:
        return tuple(t.PartPlan(shard, 0.5, f"q.{shard}.b") for shard in sorted(first_results)[:2])

    plan = t.QueryPlan(0, 100.1 + DEADLINE, parts, _UnusedCodec(), second_step=second_step)
    effects = driver.step(100.1, [t.QuerySubmitted(1, plan, query_results.append)])
    attempts = {
        e.content: e
        for effect in effects
        if isinstance(effect, t.StartRequest)
        for e in effect.request.attempts
    }

    def ended(content: str, now: float) -> t.AttemptFinished:
        assert attempts[content].claim()
        return t.AttemptFinished(attempts[content].part, 0, api.AttemptOutcome.OK, now, content)

    driver.step(100.2, [ended("q.0", 100.2), ended("q.1", 100.2)])
    batch = 100.1 + FIRST_STEP_SECONDS + 0.05  # the timer is due in this batch
    effects = driver.step(batch, [ended("q.2", batch)])
    assert not [
        effect for effect in effects if isinstance(effect, t.CompleteQuery)
    ], "the query completed before its second step"
    effects = driver.step(batch + 0.005, [])
    begun = {
        e.content for effect in effects if isinstance(effect, t.StartRequest) for e in effect.request.attempts
    }
    assert begun == {"q.0.b", "q.1.b"}


@pytest.mark.parametrize("seed", [22, 26, 41])
def test_no_rule_on_partial_answers_is_broken_by_a_seeded_run(seed: int) -> None:
    """With these seeds the fault rig broke the rule on the code of the incident."""
    broken_rules = [broken for broken in play(draw(seed)).violations if broken.rule == "partial"]
    assert not broken_rules
