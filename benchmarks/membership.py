"""Membership from Consul: delay of updates, rate of calls to the agents, duration of a restart.

python benchmarks/membership.py news [12 54]  # from a change to each co-ordinator's decision engine
python benchmarks/membership.py restart       # from the start of a co-ordinator to its first good answer
"""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import numpy as np
from common import Fleet, machine

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.experiments.listing import ConsulListing, Row
from gingervane.experiments.toml_text import toml
from gingervane.fronts.client import Client
from gingervane.membership.consul_polling import Backoff
from gingervane.membership.consul_watcher import ConsulService, create_watchers
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.source_owner import EndpointSources
from gingervane.membership.view import Member
from gingervane.wire.remote_read import Match, Matcher, Query

NODES = 150
WORKERS = 6  # processes that the co-ordinators' watchers are spread over
SPACED_CHANGES = 40  # nodes that drain one at a time
ALL_CHANGES = 140  # nodes that drain in all
ANSWER_TIMEOUT = 8.0  # seconds for a good answer
ZONES = ("hall-a", "hall-b", "hall-c")


def row(number: int, state: str = "ready", port: int = 0) -> Row:
    return Row(
        number, f"n{number}", ("127.0.0.1", port or 9000 + number), ZONES[number % 3], number, state, 1.0
    )


class FakeConsul:
    """The fake Consul in a process of its own, with an additional agent, which only the operator uses."""

    def __init__(self, agents: int = 2) -> None:
        folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
        (folder / "orders.json").write_text(json.dumps({"agents": agents + 1}))
        self.child = subprocess.Popen(
            [sys.executable, "-m", "gingervane.fake_servers.consul", str(folder / "orders.json")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.child.stdout
        ports = json.loads(self.child.stdout.readline().removeprefix("ready"))
        self.agents = [("127.0.0.1", port) for port in ports[:-1]]
        self.listing = ConsulListing(("127.0.0.1", ports[-1]), "grid")

    def fault(self, fault: str) -> None:
        for agent in self.agents:
            self.listing.fault(agent, fault)

    def end(self) -> list[float]:
        """Stop the process and return the times of all calls to the watched agents."""
        assert self.child.stdin and self.child.stdout
        self.child.stdin.close()
        calls = json.loads(self.child.stdout.readline().removeprefix("calls"))
        self.child.wait(20)
        return sorted(t for times in calls[:-1] for t in times)


def worker(agents: list[list[Any]], count: int) -> None:
    """Run the watchers of `count` co-ordinators; print when each is notified of each drain."""
    lock = threading.Lock()
    all_sources = []
    for number in range(count):
        last_states: dict[int, api.ReplicaState] = {}

        def on_update(
            update: EndpointsUpdated,
            number: int = number,
            last_states: dict[int, api.ReplicaState] = last_states,
        ) -> None:
            now = time.monotonic()
            for replica in update.membership.replicas:
                previous_state, last_states[replica.id] = last_states.get(replica.id), replica.state
                if replica.state is api.ReplicaState.DRAINING and previous_state is not replica.state:
                    with lock:
                        print("told", now, number, replica.id, flush=True)

        sources = EndpointSources(("consul",), MassRemovalGuard(), on_update, lambda what: None)
        service = ConsulService(tuple((host, port) for host, port in agents), "grid", backoff=Backoff())

        def report(
            members: tuple[Member, ...],
            age: float,
            index: int,
            is_confirmed: bool,
            to: EndpointSources = sources,
        ) -> None:
            to.report("consul", members, age, index, is_confirmed)

        for watcher in create_watchers(
            service, ZONES, NODES, 0.0, report, lambda what: None, random.Random()
        ):
            watcher.start()
        all_sources.append(sources)
    for sources in all_sources:
        sources.start(30.0)
    print("ready", flush=True)
    sys.stdin.read()


def call_rates(calls: list[float], start: float, end: float) -> str:
    """Return the average and the greatest rate of calls between `start` and `end`, as text."""
    call_times = np.array([t for t in calls if start <= t < end])
    busiest_second = max(
        (int(np.searchsorted(call_times, t + 1.0) - i) for i, t in enumerate(call_times)), default=0
    )
    return f"{len(call_times) / (end - start):.1f}/s on average, {busiest_second} in the busiest second"


class WatcherFleet:
    """Watchers of several co-ordinators, spread over worker processes."""

    def __init__(self, agents: list[tuple[str, int]], count: int) -> None:
        self.notified: list[tuple[float, int, int]] = []  # time, co-ordinator, draining node
        self._processes: list[subprocess.Popen[str]] = []
        first = 0
        for index in range(WORKERS):
            own = count // WORKERS + (index < count % WORKERS)
            process = subprocess.Popen(
                [sys.executable, __file__, "worker", json.dumps(agents), str(own)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout and process.stdout.readline().strip() == "ready"
            threading.Thread(target=self._read, args=(process, first), daemon=True).start()
            self._processes.append(process)
            first += own

    def _read(self, process: subprocess.Popen[str], first: int) -> None:
        assert process.stdout
        for line in process.stdout:
            _, at, number, node = line.split()
            self.notified.append((float(at), first + int(number), int(node)))

    def stop(self) -> None:
        """Stop the worker processes."""
        for process in self._processes:
            assert process.stdin
            process.stdin.close()
            process.wait(20)


class DrainingNodes:
    """The nodes of a catalogue, which are drained one after the other."""

    def __init__(self, consul: FakeConsul) -> None:
        self.changed_at: dict[int, float] = {}
        self._consul = consul
        self._rows = [row(number) for number in range(NODES)]
        consul.listing.write(self._rows, [])

    def drain(self, node: int) -> None:
        """Set a node's state to draining in the catalogue."""
        self.changed_at[node] = time.monotonic()
        self._rows[node] = row(node, "draining")
        self._consul.listing.write(self._rows, [])

    def drain_one_at_a_time(self) -> None:
        """Drain nodes so slowly that the watchers' blocking queries wait again before each change."""
        rng = random.Random(1)
        for node in range(SPACED_CHANGES):
            time.sleep(0.3 + rng.random() * 0.4)
            self.drain(node)

    def drain_ten_a_second(self) -> None:
        """Drain the nodes that follow, at a fixed rate."""
        began = time.monotonic()
        for node in range(SPACED_CHANGES, ALL_CHANGES):
            self.drain(node)
            time.sleep(max(began + (node - SPACED_CHANGES + 1) * 0.1 - time.monotonic(), 0.0))


def measure_notifications(count: int) -> None:
    """Measure idle time, changes and an outage with `count` co-ordinators."""
    consul = FakeConsul()
    nodes = DrainingNodes(consul)
    fleet = WatcherFleet(consul.agents, count)
    time.sleep(3.0)
    idle = time.monotonic()
    time.sleep(35.0)
    spaced = time.monotonic()
    nodes.drain_one_at_a_time()
    time.sleep(2.0)
    churn = time.monotonic()
    nodes.drain_ten_a_second()
    time.sleep(2.0)
    outage = time.monotonic()
    consul.fault("500")
    time.sleep(20.0)
    recovery = time.monotonic()
    consul.fault("")
    time.sleep(20.0)
    end = time.monotonic()
    fleet.stop()
    calls = consul.end()
    print(f"{count} co-ordinators, 2 watchers each, {NODES} nodes")
    print_notification_times("changes one at a time", fleet, nodes, range(SPACED_CHANGES), count)
    print_notification_times("ten changes a second", fleet, nodes, range(SPACED_CHANGES, ALL_CHANGES), count)
    for name, start, stop in (
        ("idle", idle, spaced),
        ("one change at a time", spaced, churn),
        ("ten changes a second", churn, churn + 10),
        ("outage, all calls rejected", outage, recovery),
        ("the 20 s after it", recovery, end),
    ):
        print(f"  calls, {name}: {call_rates(calls, start, stop)}")


def print_notification_times(
    name: str, fleet: WatcherFleet, nodes: DrainingNodes, changed: range, count: int
) -> None:
    """Print the times from the changes of some nodes to the events of the co-ordinators' decision engines."""
    times = [(at - nodes.changed_at[node]) * 1000 for at, _, node in fleet.notified if node in changed]
    p50, p99, maximum = np.percentile(times, [50, 99, 100])
    notified = f"{len(times)} of {len(changed) * count} notified"
    print(f"  {name}: {notified}; p50 {p50:.1f} ms, p99 {p99:.1f}, max {maximum:.1f}")


class RestartedCoordinator:
    """Starts a co-ordinator of a fleet repeatedly, each time as a new process."""

    def __init__(self, fleet: Fleet, agents: list[tuple[str, int]]) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
        self._tiles = fleet.tiles
        self._agents = [f"{host}:{port}" for host, port in agents]

    def _write_config(self, with_snapshot: bool) -> Path:
        consul = {"agents": self._agents, "service": "grid"}
        table = {
            "shards": {"names": self._tiles, "cells": 12, "width": 3},
            "membership": {"consul": consul} | ({"kept": "kept"} if with_snapshot else {}),
            "fleet": {"zones": list(ZONES), "zone": "hall-a"},
            "log": {"level": "error"},
            "class": [{"name": "look", "aim": 2.0, "deadline": 10.0}],
        }
        path = self._folder / "c.toml"
        path.write_text(toml(table))
        return path

    def measure(self, with_snapshot: bool) -> str:
        """Start the co-ordinator, wait for a good answer, and stop it; return the times as text."""
        config = self._write_config(with_snapshot)
        began = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "gingervane.cli.main", "serve", "--config", str(config)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert process.stdout
        host, _, port = process.stdout.readline().removeprefix("listening on ").strip().rpartition(":")
        listening = time.monotonic() - began
        status = wait_for_answer((host, int(port)), began + ANSWER_TIMEOUT)
        answered = time.monotonic() - began
        if with_snapshot and status == 200:
            time.sleep(1.5)  # time to write the snapshot
        process.terminate()
        process.wait(20)
        outcome = f"good answer after {answered:.2f} s"
        if status != 200:
            outcome = f"rejected with {status} for {ANSWER_TIMEOUT:g} s"
        return f"listening after {listening:.2f} s, {outcome}"


def wait_for_answer(address: tuple[str, int], until: float) -> int:
    """Send queries until one is answered with 200 or the deadline passes; return the last status."""
    query = Query(1_764_600_000_000, 1_764_600_300_000, (Matcher(Match.EQUAL, "tile", "t001"),))
    client = Client(address)
    status = 0
    while status != 200 and time.monotonic() < until:
        status = client.read([query], {}, 5.0).status
        if status != 200:
            time.sleep(0.02)
    return status


def measure_restarts() -> None:
    """Measure from a start to the first good answer, with and without the catalogue and a snapshot."""
    with Fleet(nodes=12, tiles=24) as fleet:
        consul = FakeConsul()
        consul.listing.write([row(n, port=port) for n, port in enumerate(fleet.ports)], [])
        coordinator = RestartedCoordinator(fleet, consul.agents)
        print("catalogue available, no snapshot:", coordinator.measure(False))
        print("catalogue available, first start with a snapshot:", coordinator.measure(True))
        print("catalogue available, snapshot:", coordinator.measure(True))
        for fault in ("500", "hang"):
            consul.fault(fault)
            print(f"catalogue away ({fault}), snapshot:", coordinator.measure(True))
        print("catalogue away (hang), no snapshot:", coordinator.measure(False))
        consul.fault("")
        consul.end()


if __name__ == "__main__":
    if sys.argv[1] == "worker":
        worker(json.loads(sys.argv[2]), int(sys.argv[3]))
        sys.exit(0)
    print(machine())
    if sys.argv[1] == "news":
        for number in sys.argv[2:] or ("12", "54"):
            measure_notifications(int(number))
    else:
        measure_restarts()
