"""Plays one plan: nodes as processes, replicas behind proxies, discovery, clients, signals; then the judge.

`python -m faults.rig --seeds 1-200 --at-once 6` from `tests/` plays a campaign and prints its totals; `--python` and
`--root` name another checkout to be played with the same plans.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from platform_fakes import Discovery
from ports import ReservedPort

from faults.judge import RuleChecker, Violation
from faults.ledger import Ledger, Request
from faults.plans import Plan, draw
from faults.processor_time import processor_times, stolen_share
from faults.proxy import Proxy, receive, reset, stamp
from faults.replicas import Alarm, Replica

ROOT = Path(__file__).parents[2]
CLIENTS = 12  # of each node
MOST_STOLEN = 0.05  # past this share, what rests on some 0.1 s tells nothing
READY = 20.0  # seconds for a node to be ready
EXTRA_WAIT = 1.5  # seconds past its time that a client waits, to see whether an answer comes late or never


@dataclass
class Result:
    """What came of one run."""

    seed: int
    violations: list[Violation]
    doubtful_violations: list[Violation]  # timed ones, while the host had taken the machine's processors away
    requests: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    second_steps: int = 0
    partial_answers: int = 0
    attempts: int = 0
    ended_early: list[str] = field(default_factory=list)  # nodes that ended though nobody told them to
    stolen_share: float = 0.0  # share of the processors' time that was wanted and that the host took

    @property
    def untimed_violations(self) -> list[Violation]:
        """What no starved machine explains."""
        return [violation for violation in self.violations if not violation.timed]


def publish_health(discovery: Discovery, replica: int, health: str) -> None:
    """A change of one node's list, which a watch that is opened later holds too."""
    discovery.hosts[replica] = discovery.hosts[replica] | {"health": health}
    discovery.change(discovery.hosts[replica])


class Node:
    """One node's process, and what stands around it alone."""

    def __init__(
        self,
        plan: Plan,
        number: int,
        replicas: list[Replica],
        ledger: Ledger,
        folder: Path,
        root: Path,
        python: str,
        env: dict[str, str],
    ) -> None:
        self.number = number
        self.proxies = [
            Proxy(r.address, number, i, plan.proxy_faults, f"{plan.seed}/{number}/{i}", ledger)
            for i, r in enumerate(replicas)
        ]
        self.discovery = Discovery(
            [
                {
                    "host": f"s-{i}",
                    "dial": f"127.0.0.1:{proxy.port}",
                    "site": "ab"[i % 2],
                    "class": "m",
                    "block": 0,
                    "health": "SERVING",
                    "share": 1.0,
                    "born_ms": 0,
                }
                for i, proxy in enumerate(self.proxies)
            ]
        )
        self._reserved_port = ReservedPort()
        self.address = self._reserved_port.address
        path = folder / f"n{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": "{}:{}".format(*self.address),
                    "discovery": self.discovery.address,
                    "seed": f"{plan.seed:x}",
                    "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
                    "known": {"seq": 0, "whole": True, "hosts": self.discovery.hosts},
                    "settings": plan.settings(number),
                }
            )
        )
        self.log = folder / f"n{number}.log"
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [python, "-m", "gingervane.node"],
                cwd=root,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={"NODE_CONFIG": str(path), "PATH": os.environ["PATH"], **env},
            )
        self.ending = False

    def wait_ready(self) -> None:
        until = time.monotonic() + READY
        while time.monotonic() < until:
            with contextlib.suppress(OSError), socket.create_connection(self.address, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if b" 200 " in sock.recv(4096):
                    return
            time.sleep(0.01)
        raise AssertionError(f"node {self.number} is not ready: {self.log.read_text()[-2000:]}")

    def close(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._reserved_port.close()
        self.discovery.close()
        for proxy in self.proxies:
            proxy.close()


class Client:
    """One client: a request, its answer, a pause, over and over on one connection while that stands."""

    def __init__(self, plan: Plan, node: Node, number: int, ledger: Ledger, until: float) -> None:
        self._plan, self._node, self._ledger, self._until = plan, node, ledger, until
        self._chance = random.Random(f"{plan.seed}/client/{node.number}/{number}")
        self._name = f"{plan.seed}-{node.number}-{number}"
        self._sock: socket.socket | None = None

    def run(self) -> None:
        mean = self._plan.nodes * CLIENTS / self._plan.rate
        count = 0
        while time.monotonic() < self._until:
            time.sleep(min(self._chance.expovariate(1 / mean), 1.0))
            count += 1
            if not self._send_query(f"{self._name}-{count}"):
                self._drop()
        self._drop()

    def _drop(self) -> None:
        if self._sock:
            self._sock.close()
        self._sock = None

    def _send_query(self, name: str) -> bool:
        """One request; whether the connection can be used again."""
        chance, plan = self._chance, self._plan
        number = chance.randrange(len(plan.classes))
        kind = plan.classes[number]
        shards = sorted(chance.sample(range(plan.shards), chance.randint(1, plan.shards)))
        raw = [chance.choice((1.0, 1.0, 3.0)) for _ in shards]
        weights = {s: round(r / sum(raw), 6) for s, r in zip(shards, raw, strict=True)}
        timeout = round(kind.deadline * chance.uniform(0.4, 1.0), 3)
        request = Request(name, self._node.number, number, weights, timeout)
        tablets = [{"tablet": s, "fraction": w} for s, w in weights.items()]
        body = json.dumps({"tablets": tablets, "statement": "c41e"}).encode()
        head = (
            f"POST /{kind.name} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\n"
            f"X-Timeout-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self._node.address, 2.0)
                stamp(self._sock)
            self._sock.settimeout(timeout + EXTRA_WAIT)
            self._sock.sendall(head.encode() + body)
        except OSError:
            return False  # not taken: nothing is owed
        request.sent_at = time.monotonic()
        self._ledger.record(request)
        if chance.random() < plan.disconnects:
            time.sleep(chance.uniform(0, timeout * 0.8))
            if chance.random() < 0.5:
                reset(self._sock)
            else:
                self._sock.close()
            request.disconnected_at = time.monotonic()
            self._ledger.count_fault("client left")
            return False
        return self._read(request, self._sock)

    def _read(self, request: Request, sock: socket.socket) -> bool:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                got, at = receive(sock)
                if not got:
                    raise ConnectionError("closed")
                data += got
            head, _, body = data.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
            while len(body) < int(fields["content-length"]):
                got, at = receive(sock)
                if not got:
                    raise ConnectionError("closed inside a body")
                body += got
        except OSError as error:
            request.answered_at, request.ended = time.monotonic(), f"{type(error).__name__} {error}"
            return False
        request.answered_at = at
        if int(lines[0].split(" ")[1]) == 200:
            answer = json.loads(body)
            request.full = answer["full"]
            request.pieces = {piece["tablet"]: piece["cell"] for piece in answer["pieces"]}
        request.status = int(lines[0].split(" ")[1])
        return fields.get("connection") != "close"


def play(
    plan: Plan, root: Path = ROOT, python: str = sys.executable, env: dict[str, str] | None = None
) -> Result:
    """Play a plan to its end and judge it."""
    ledger, alarm, before = Ledger(), Alarm(), processor_times()
    aim = max(c.latency_objective for c in plan.classes)
    replicas = [
        Replica(i, faults, (aim * 0.5, aim * 1.3), plan.seed, alarm, ledger)
        for i, faults in enumerate(plan.replica_faults)
    ]
    with tempfile.TemporaryDirectory() as name:
        nodes: list[Node] = []
        try:
            for i in range(plan.nodes):
                nodes.append(Node(plan, i, replicas, ledger, Path(name), root, python, env or {}))
            for node in nodes:
                node.wait_ready()
            _play(plan, nodes, ledger)
            early = [f"n{n.number}" for n in nodes if n.process.poll() is not None and not n.ending]
        finally:
            for node in nodes:
                node.close()
            for replica in replicas:
                replica.close()
            alarm.stop()
    stolen = stolen_share(before, processor_times())
    judge = RuleChecker(plan, ledger)
    found = judge.check()
    doubtful = [b for b in found if b.timed] if stolen > MOST_STOLEN else []
    broken = [b for b in found if b not in doubtful]
    statuses = Counter(r.status for r in ledger.requests if r.disconnected_at is None)
    return Result(
        plan.seed,
        broken,
        doubtful,
        len(ledger.requests),
        statuses,
        Counter(ledger.faults),
        judge.second_steps,
        judge.short,
        len(ledger.parts),
        early,
        stolen,
    )


def _play(plan: Plan, nodes: list[Node], ledger: Ledger) -> None:
    start = time.monotonic()
    clients = [
        threading.Thread(target=Client(plan, node, i, ledger, start + plan.seconds).run, daemon=True)
        for node in nodes
        for i in range(CLIENTS)
    ]
    events: list[tuple[float, Callable[[], None]]] = []
    events += [(at, partial(_pause, nodes[node], span, ledger)) for at, node, span in plan.stops]
    events += [(at, partial(_change, nodes, replica, health, ledger)) for at, replica, health in plan.changes]
    events += [(at, partial(_end, nodes[node], signal.SIGTERM, ledger)) for at, node in plan.terminate]
    events += [(at, partial(_end, nodes[node], signal.SIGKILL, ledger)) for at, node in plan.kill]
    for client in clients:
        client.start()
    for at, play_event in sorted(events, key=lambda event: event[0]):
        time.sleep(max(start + at - time.monotonic(), 0.0))
        play_event()
    for client in clients:
        client.join(60.0)


def _pause(node: Node, span: float, ledger: Ledger) -> None:
    """Stop a node's process for some seconds, unless it is to end."""
    began = time.monotonic()
    ledger.count_fault("stop")
    if node.ending:
        return
    node.process.send_signal(signal.SIGSTOP)
    time.sleep(span)
    node.process.send_signal(signal.SIGCONT)
    ledger.pauses.append((began, time.monotonic(), node.number))


def _change(nodes: list[Node], replica: int, health: str, ledger: Ledger) -> None:
    """Publish a replica's health to all nodes."""
    ledger.count_fault("change")
    for node in nodes:
        publish_health(node.discovery, replica, health)
    ledger.endpoint_changes.append((time.monotonic(), replica, health))


def _end(node: Node, number: signal.Signals, ledger: Ledger) -> None:
    """End a node by SIGTERM or SIGKILL."""
    now = time.monotonic()
    is_kill = number == signal.SIGKILL
    ledger.count_fault("kill" if is_kill else "terminate")
    node.ending = True
    ledger.ending[node.number] = now
    if is_kill:
        ledger.killed.add(node.number)
    node.process.send_signal(number)


# ---- a campaign


def shim(seed: int, words: str) -> dict[str, str]:
    """The environment that loads failing system calls into a node; `words` is RATE:STEP, or nothing."""
    if not words:
        return {}
    return {"PYTHONPATH": str(Path(__file__).parent / "shim"), "RIG_SHIM": f"{seed}:{words}"}


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays seeded fault plans against real nodes.")
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--shim", default="", help="RATE:STEP of failing calls and of the wall clock (s)")
    parser.add_argument("--show", type=int, default=3, help="breaks to print for each run")
    options = parser.parse_args()
    total, rules, statuses, faults = Counter[str](), Counter[str](), Counter[int](), Counter[str]()
    with ThreadPoolExecutor(options.at_once) as pool:
        runs = pool.map(
            lambda seed: play(
                draw(seed, options.seconds), options.root, options.python, shim(seed, options.shim)
            ),
            _seeds(options.seeds),
        )
        for run in runs:
            total.update(doubtful=len(run.doubtful_violations), starved_runs=run.stolen_share > MOST_STOLEN)
            total.update(
                runs=1,
                requests=run.requests,
                attempts=run.attempts,
                second_steps=run.second_steps,
                short=run.partial_answers,
                ended_early=len(run.ended_early),
                runs_broken=bool(run.violations),
            )
            rules.update(b.rule for b in run.violations)
            statuses.update(run.statuses)
            faults.update(run.faults)
            for violation in run.violations[: options.show]:
                print(f"seed {run.seed}: {violation.rule}: {violation.what}", flush=True)
            for name in run.ended_early:
                print(f"seed {run.seed}: {name} ended by itself", flush=True)
    for title, counts in (("total", total), ("broken", rules), ("statuses", statuses), ("faults", faults)):
        print(title, dict(sorted(counts.items(), key=str)))
    return 1 if rules or total["ended_early"] else 0


if __name__ == "__main__":
    sys.exit(main())
