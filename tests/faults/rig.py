"""Plays one plan with node processes, replicas behind proxies, discovery, clients and signals, and checks the rules.

`python -m faults.rig --seeds 1-200 --at-once 6` from `tests/` plays many seeds and prints totals; `--python` and
`--root` select another checkout to play the same plans with. `faults.soak` plays longer runs with more faults.
"""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from faults.campaign import run_campaign
from faults.clients import CLIENTS_PER_NODE, Client, hold_idle_connections
from faults.discovery import DiscoveryService
from faults.judge import RuleChecker, Violation
from faults.kept_runs import save_run
from faults.ledger import Ledger
from faults.node_process import Node, Program
from faults.owed_answers import ExpectedAnswers
from faults.plans import BadCrowd, Crowd, Plan, Restart, draw
from faults.processor_time import StallMeter, processor_times, stolen_share
from faults.replicas import EventScheduler, Replica

ROOT = Path(__file__).parents[2]
MAX_STOLEN_SHARE = 0.05  # above this share, violations that rest on about 0.1 s prove nothing
EVENT_TIMEOUT_SECONDS = 60.0  # wait for each client and event at the end of a run
Event = tuple[float, Callable[[], None]]  # seconds since the start of the traffic, and the action


@dataclass
class Result:
    """The result of one run."""

    seed: int
    violations: list[Violation]
    doubtful_violations: list[Violation]  # timed ones of a run in which the host took too much processor time
    requests: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    second_steps: int = 0
    partial_answers: int = 0
    attempts: int = 0
    unexpected_exits: list[str] = field(default_factory=list)  # nodes that exited without a signal of the rig
    stolen_share: float = 0.0  # share of the requested processor time that the host took
    longest_stall: float = 0.0  # of the rig, in seconds
    # Requests for which an answer is expected, by HTTP status, or `none` for no answer.
    expected_answers: Counter[str] = field(default_factory=Counter)
    saved_to: Path | None = (
        None  # folder with the logs, the ledger and the findings of a run that broke a rule
    )

    @property
    def untimed_violations(self) -> list[Violation]:
        """The violations that a shortage of processor time cannot explain."""
        return [violation for violation in self.violations if not violation.timed]


def play(
    plan: Plan,
    root: Path = ROOT,
    python: str = sys.executable,
    env: dict[str, str] | None = None,
    keep_logs: Path | None = None,
    ledger: Ledger | None = None,
) -> Result:
    """Play a plan to its end and check the rules.

    `keep_logs`: folder for the nodes' logs; without it, only the logs of a run that broke a rule are saved.
    `ledger`: where to record the traffic, for a caller that reads the records itself.
    """
    ledger, scheduler, before = ledger or Ledger(), EventScheduler(), processor_times()
    longest_objective = max(c.latency_objective for c in plan.classes)
    replicas = [
        Replica(i, faults, (longest_objective * 0.5, longest_objective * 1.3), plan.seed, scheduler, ledger)
        for i, faults in enumerate(plan.replica_faults)
    ]
    discovery = DiscoveryService(plan.discovery, plan.seed, ledger)
    addresses = [replica.address for replica in replicas]
    program = Program(root, python, env or {})
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = keep_logs or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        stack.callback(scheduler.stop)
        for replica in replicas:
            stack.callback(replica.close)
        stack.callback(discovery.close)
        nodes: list[Node] = []
        for i in range(plan.nodes):
            nodes.append(Node(plan, i, addresses, discovery, ledger, folder, program))
            stack.callback(nodes[-1].close)
        for node in nodes:
            node.wait_ready()
        with StallMeter() as meter:
            _PlanRun(plan, nodes, replicas, discovery, ledger).run()
        for node in nodes:
            node.record_memory()
        exited_nodes = [
            f"n{n.number}" for n in nodes if n.process.poll() is not None and not n.termination_requested
        ]
        ledger.longest_stall = meter.longest
        result = _judge(plan, ledger, exited_nodes, stolen_share(before, processor_times()))
        result.longest_stall = meter.longest
        result.expected_answers = ExpectedAnswers(plan, ledger).by_outcome
        if result.violations or result.doubtful_violations or result.unexpected_exits:
            result.saved_to = save_run(folder, plan, ledger, result)
    return result


def _judge(plan: Plan, ledger: Ledger, exited_nodes: list[str], stolen: float) -> Result:
    judge = RuleChecker(plan, ledger)
    violations = judge.check()
    doubtful = [violation for violation in violations if violation.timed] if stolen > MAX_STOLEN_SHARE else []
    return Result(
        plan.seed,
        [violation for violation in violations if violation not in doubtful],
        doubtful,
        len(ledger.requests),
        Counter(r.status for r in ledger.requests if r.disconnected_at is None),
        Counter(ledger.faults) + judge.races,
        judge.second_steps,
        judge.partial_answers,
        len(ledger.parts),
        exited_nodes,
        stolen,
    )


class _PlanRun:
    """Plays the traffic and the events of one plan."""

    def __init__(
        self,
        plan: Plan,
        nodes: list[Node],
        replicas: list[Replica],
        discovery: DiscoveryService,
        ledger: Ledger,
    ) -> None:
        self._plan, self._nodes, self._replicas = plan, nodes, replicas
        self._discovery, self._ledger = discovery, ledger

    def run(self) -> None:
        """Run the clients and the events of the plan, and wait for their end."""
        start = time.monotonic()
        self._discovery.begin()
        clients = [
            threading.Thread(
                target=Client(self._plan, node, i, self._ledger, start + self._plan.seconds).run, daemon=True
            )
            for node in self._nodes
            for i in range(CLIENTS_PER_NODE)
        ]
        for client in clients:
            client.start()
        events: list[threading.Thread] = []
        for at, action in sorted(self._events(), key=lambda event: event[0]):
            time.sleep(max(start + at - time.monotonic(), 0.0))
            events.append(threading.Thread(target=action, daemon=True))
            events[-1].start()
        for thread in [*clients, *events]:
            thread.join(EVENT_TIMEOUT_SECONDS)

    def _events(self) -> list[Event]:
        plan, nodes = self._plan, self._nodes
        events: list[Event] = []
        events += [(at, partial(self._pause, nodes[node], span)) for at, node, span in plan.stops]
        events += [(at, partial(self._change, replica, health)) for at, replica, health in plan.changes]
        events += [
            (at, partial(self._send_termination, nodes[node], signal.SIGTERM)) for at, node in plan.terminate
        ]
        events += [
            (at, partial(self._send_termination, nodes[node], signal.SIGKILL)) for at, node in plan.kill
        ]
        events += [(restart.at, partial(self._restart, restart)) for restart in plan.restarts]
        events += [(crowd.at, partial(self._open_idle_connections, crowd)) for crowd in plan.crowds]
        events += [(crowd.at, partial(self._misuse, crowd)) for crowd in plan.bad_crowds]
        events += [(at, nodes[node].move_discovery) for at, node in plan.moves]
        return events

    def _pause(self, node: Node, span: float) -> None:
        """Pause a node's process for `span` seconds, unless it was told to end."""
        began = time.monotonic()
        self._ledger.count_fault("stop")
        if node.termination_requested:
            return
        node.signal(signal.SIGSTOP)
        time.sleep(span)
        node.signal(signal.SIGCONT)
        self._ledger.pauses.append((began, time.monotonic(), node.number))

    def _change(self, replica: int, health: str) -> None:
        """Publish a replica's health. A replica that drains or is gone skips new parts."""
        self._ledger.count_fault(f"replica {health}")
        self._replicas[replica].takes_parts = health == "SERVING"
        self._discovery.publish(replica, health)

    def _send_termination(self, node: Node, number: signal.Signals) -> None:
        """End a node by SIGTERM or SIGKILL."""
        self._ledger.count_fault("kill" if number == signal.SIGKILL else "terminate")
        node.signal(number)

    def _restart(self, restart: Restart) -> None:
        """End a node, gracefully or not, and start it again. Clients go on sending until SIGKILL."""
        node = self._nodes[restart.node]
        if restart.graceful:
            self._ledger.count_fault("terminate")
            node.signal(signal.SIGTERM)
            time.sleep(self._plan.seconds_to_kill)
        self._ledger.count_fault("kill")
        node.signal(signal.SIGKILL)
        node.process.wait()
        time.sleep(restart.away)
        self._ledger.count_fault("start")
        node.start()

    def _open_idle_connections(self, crowd: Crowd) -> None:
        hold_idle_connections(self._nodes[crowd.node], crowd.connections, crowd.lasts, self._ledger)

    def _misuse(self, crowd: BadCrowd) -> None:
        """Run bad clients in a process of their own, so that they do not delay the rig's time stamps."""
        self._ledger.count_fault(f"bad clients: {crowd.kind}")
        port = self._nodes[crowd.node].address[1]
        arguments = [str(port), crowd.kind, str(crowd.connections), str(crowd.lasts)]
        subprocess.run(
            [sys.executable, "-m", "faults.bad_clients", *arguments],
            cwd=ROOT / "tests",
            stdout=subprocess.DEVNULL,
            check=True,
        )


if __name__ == "__main__":
    sys.exit(run_campaign("Plays seeded fault plans against real nodes.", draw, play, seconds=3.0))
