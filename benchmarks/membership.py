"""Membership from Consul: news, calls, restarts, and the cost of a large list.

python benchmarks/membership.py news [12 54]  # from a change to each co-ordinator's module event; calls counted
python benchmarks/membership.py restart       # a co-ordinator's start to its first good answer
python benchmarks/membership.py cost          # of a view of 1,000 nodes that changes
"""

from __future__ import annotations

import copy
import json
import random
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
from common import Fleet, machine

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.fronts.client import Client
from gingervane.experiments.listing import ConsulListing, Row
from gingervane.experiments.toml_text import toml
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.source_owner import EndpointSources
from gingervane.membership.view import Member, EndpointView
from gingervane.membership.consul_watcher import ConsulService, create_watchers
from gingervane.decisions.engine import DecisionEngine
from gingervane.fake_servers.consul_catalogue import Catalogue
from gingervane.wire.remote_read import Match, Matcher, Query
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.consul import EntryReader
from gingervane.membership.consul import EntryFieldNames
from gingervane.membership.consul_polling import Backoff

NODES, WORKERS = 150, 6
ZONES = ("hall-a", "hall-b", "hall-c")


def row(number: int, state: str = "ready", port: int = 0) -> Row:
    return Row(
        number, f"n{number}", ("127.0.0.1", port or 9000 + number), ZONES[number % 3], number, state, 1.0
    )


class FakeConsul:
    """Consul's, in a process of its own, with an agent more than are watched: the operator's."""

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
        """Times of all calls that the watched agents were asked."""
        assert self.child.stdin and self.child.stdout
        self.child.stdin.close()
        calls = json.loads(self.child.stdout.readline().removeprefix("calls"))
        self.child.wait(20)
        return sorted(t for times in calls[:-1] for t in times)


def worker(agents: list[list[Any]], count: int) -> None:
    """`count` co-ordinators' watchers; prints for each the moment at which its module was told of a drain."""
    lock = threading.Lock()
    made = []
    for number in range(count):
        seen: dict[int, api.ReplicaState] = {}

        def tell(
            listed: EndpointsUpdated, number: int = number, seen: dict[int, api.ReplicaState] = seen
        ) -> None:
            now = time.monotonic()
            for replica in listed.membership.replicas:
                was, seen[replica.id] = seen.get(replica.id), replica.state
                if replica.state is api.ReplicaState.DRAINING and was is not replica.state:
                    with lock:
                        print("told", now, number, replica.id, flush=True)

        sources = EndpointSources(("consul",), MassRemovalGuard(), tell, lambda what: None)
        place = ConsulService(tuple((host, port) for host, port in agents), "grid", backoff=Backoff())

        def report(
            members: tuple[Member, ...],
            age: float,
            index: int,
            sure: bool,
            to: EndpointSources = sources,
        ) -> None:
            to.report("consul", members, age, index, sure)

        for watcher in create_watchers(place, ZONES, NODES, 0.0, report, lambda what: None, random.Random()):
            watcher.start()
        made.append(sources)
    for sources in made:
        sources.start(30.0)
    print("ready", flush=True)
    sys.stdin.read()


def busiest(calls: list[float], start: float, end: float) -> str:
    found = np.array([t for t in calls if start <= t < end])
    most = max((int(np.searchsorted(found, t + 1.0) - i) for i, t in enumerate(found)), default=0)
    return f"{len(found) / (end - start):.1f}/s on average, {most} in the busiest second"


def news(count: int) -> None:
    fake_consul = FakeConsul()
    nodes = [row(n) for n in range(NODES)]
    fake_consul.listing.write(nodes, [])
    children, told = [], list[tuple[float, int, int]]()

    def read(child: subprocess.Popen[str], base: int) -> None:
        assert child.stdout
        for line in child.stdout:
            _, at, number, node = line.split()
            told.append((float(at), base + int(number), int(node)))

    base = 0
    for index in range(WORKERS):
        own = count // WORKERS + (index < count % WORKERS)
        child = subprocess.Popen(
            [sys.executable, __file__, "worker", json.dumps(fake_consul.agents), str(own)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout and child.stdout.readline().strip() == "ready"
        threading.Thread(target=read, args=(child, base), daemon=True).start()
        children.append(child)
        base += own
    time.sleep(3.0)
    idle = time.monotonic()
    time.sleep(35.0)
    rng, changed = random.Random(1), dict[int, float]()
    spaced = time.monotonic()
    for node in range(40):  # one at a time, and far enough apart that each meets waiting calls
        time.sleep(0.3 + rng.random() * 0.4)
        changed[node] = time.monotonic()
        nodes[node] = row(node, "draining")
        fake_consul.listing.write(nodes, [])
    time.sleep(2.0)
    churn = time.monotonic()
    for node in range(40, 140):  # ten a second
        changed[node] = time.monotonic()
        nodes[node] = row(node, "draining")
        fake_consul.listing.write(nodes, [])
        time.sleep(max(churn + (node - 39) * 0.1 - time.monotonic(), 0.0))
    time.sleep(2.0)
    outage = time.monotonic()
    fake_consul.fault("500")
    time.sleep(20.0)
    back = time.monotonic()
    fake_consul.fault("")
    time.sleep(20.0)
    end = time.monotonic()
    for child in children:
        assert child.stdin
        child.stdin.close()
        child.wait(20)
    calls = fake_consul.end()
    print(f"{count} co-ordinators, 2 watchers each, {NODES} nodes")
    for what, first, last in (("changes one at a time", 0, 40), ("ten changes a second", 40, 140)):
        took = [(at - changed[node]) * 1000 for at, _, node in told if first <= node < last]
        p50, p99, most = np.percentile(took, [50, 99, 100])
        told_of = f"{len(took)} of {(last - first) * count} told"
        print(f"  {what}: {told_of}; p50 {p50:.1f} ms, p99 {p99:.1f}, max {most:.1f}")
    for what, start, stop in (
        ("idle", idle, spaced),
        ("one change at a time", spaced, churn),
        ("ten changes a second", churn, churn + 10),
        ("outage, all calls refused", outage, back),
        ("the 20 s after it", back, end),
    ):
        print(f"  calls, {what}: {busiest(calls, start, stop)}")


def restart() -> None:
    """From the process's start to its first good answer, and without a catalogue to the first answer at all."""
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    with Fleet(nodes=12, tiles=24) as fleet:
        fake_consul = FakeConsul()
        fake_consul.listing.write([row(n, port=port) for n, port in enumerate(fleet.ports)], [])
        agents = [f"{host}:{port}" for host, port in fake_consul.agents]

        def start(kept: bool) -> str:
            membership = {"consul": {"agents": agents, "service": "grid"}} | (
                {"kept": "kept"} if kept else {}
            )
            table = {
                "shards": {"names": fleet.tiles, "cells": 12, "width": 3},
                "membership": membership,
                "fleet": {"zones": list(ZONES), "zone": "hall-a"},
                "log": {"level": "error"},
                "class": [{"name": "look", "aim": 2.0, "deadline": 10.0}],
            }
            (folder / "c.toml").write_text(toml(table))
            began = time.monotonic()
            child = subprocess.Popen(
                [sys.executable, "-m", "gingervane.cli.main", "serve", "--config", str(folder / "c.toml")],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
            )
            assert child.stdout
            host, _, port = child.stdout.readline().removeprefix("listening on ").strip().rpartition(":")
            listening = time.monotonic() - began
            query = Query(1_764_600_000_000, 1_764_600_300_000, (Matcher(Match.EQUAL, "tile", "t001"),))
            status, client = 0, Client((host, int(port)))
            while status != 200 and time.monotonic() < began + 8.0:
                status = client.read([query], {}, 5.0).status
                if status != 200:
                    time.sleep(0.02)
            took = time.monotonic() - began
            if kept and status == 200:
                time.sleep(1.5)  # let it write the list
            child.terminate()
            child.wait(20)
            return f"listening after {listening:.2f} s, " + (
                f"good answer after {took:.2f} s" if status == 200 else f"refused with {status} for 8 s"
            )

        print("catalogue there, nothing kept:", start(False))
        print("catalogue there, first start with a kept list:", start(True))
        print("catalogue there, list kept:", start(True))
        for fault in ("500", "hang"):
            fake_consul.fault(fault)
            print(f"catalogue away ({fault}), list kept:", start(True))
        print("catalogue away (hang), nothing kept:", start(False))
        fake_consul.fault("")
        fake_consul.end()


def cost(count: int = 1000) -> None:
    """Milliseconds of one thread for a list in which three of a thousand nodes changed, step by step."""
    import orjson

    catalogue = Catalogue()
    for n in range(count):
        catalogue.register(
            {
                "ID": f"n{n}",
                "Name": "grid",
                "Port": 9000,
                "Address": "127.0.0.1",
                "Meta": {"zone": ZONES[n % 3], "cell": str(n), "gingervane-id": str(n), "started": "1.0"},
            }
        )
        catalogue.check(f"n{n}", f"service:n{n}", "passing")
    rng = random.Random(1)
    bodies = []
    for turn in range(60):
        for n in rng.sample(range(count), 3):
            catalogue.check(f"n{n}", f"service:n{n}", "critical" if turn % 2 else "passing")
        with catalogue.changed:
            bodies.append(json.dumps(copy.deepcopy(catalogue.entries("grid"))).encode())
    settings = module_settings(count)
    times: dict[str, list[float]] = {}

    def timed(what: str, work: Callable[[], Any]) -> Any:
        began = time.perf_counter()
        found = work()
        times.setdefault(what, []).append((time.perf_counter() - began) * 1000)
        return found

    reader, merge, view = (
        EntryReader(EntryFieldNames(), ZONES, count, 0.0),
        Reconciliation(("consul",), MassRemovalGuard()),
        EndpointView(),
    )
    module, plain_module, plain_view = (
        DecisionEngine(settings, 1),
        DecisionEngine(settings, 1),
        EndpointView(),
    )
    for turn, body in enumerate(bodies):
        now = 100.0 + turn * 0.1
        timed("decode, json", lambda b=body: json.loads(b))  # type: ignore[misc]
        decoded = timed("decode, orjson", lambda b=body: orjson.loads(b))  # type: ignore[misc]
        timed(
            "read, each entry anew",
            lambda d=decoded: EntryReader(EntryFieldNames(), ZONES, count, 0.0).read(d),  # type: ignore[misc]
        )
        members, _ = timed("read, entries kept", lambda d=decoded: reader.read(d))  # type: ignore[misc]

        def merged(members: tuple[Member, ...] = members, now: float = now, turn: int = turn) -> Any:
            merge.apply_report(SourceReport("consul", members, 0.0, turn + 1), now)
            return merge.refresh(now)

        changes = timed("merge", merged)
        whole = tuple(known.member for known in merge.latest_view(now).servers.values())
        full = timed("view, whole list", lambda w=whole, n=now: plain_view.apply_full_list(w, n))  # type: ignore[misc]
        delta = timed("view, delta", lambda c=changes, n=now: view.apply_delta(c, n))  # type: ignore[misc]
        if turn and full and delta:
            timed("module, whole list", lambda f=full, n=now: plain_module.handle(n, [f.event]))  # type: ignore[misc]
            timed("module, delta", lambda d=delta, n=now: module.handle(n, [d.event]))  # type: ignore[misc]
        elif delta:
            module.handle(now, [delta.event])
            plain_module.handle(now, [delta.event])
    servers = list(module.membership.replicas.values())
    held, width = module.membership.holders_by_cell, settings.cells_per_replica
    for cell in range(count):
        timed("holders of a tile, by index", lambda c=cell: held[c])  # type: ignore[misc]
        timed(
            "holders of a tile, by scan",
            lambda c=cell: [  # type: ignore[misc]
                s for s in servers if (s.endpoint.cell - c) % count < width
            ],
        )
    print(f"{len(bodies[0]) / 1024:.0f} KiB, {count} nodes, 3 changes a list")
    for what, found in times.items():
        print(f"  {what}: {np.median(found):.4f} ms")
    steps = ("decode, orjson", "read, entries kept", "merge", "view, delta", "module, delta")
    plain = ("decode, json", "read, each entry anew", "merge", "view, whole list", "module, whole list")
    for what, chosen in (("as built", steps), ("plain", plain)):
        total = sum(float(np.median(times[name])) for name in chosen)
        print(f"  {what}: {total:.1f} ms a change")  # ten a second take as many hundredths of a core


def module_settings(count: int) -> api.Settings:
    look = api.QueryClass(
        latency_objective=1.5,
        deadline=5.0,
        retry_safety=api.RetrySafety.IDEMPOTENT,
        idempotency_window=None,
        second_step_parts=0,
        required_coverage=1.0,
        complete_coverage=1.0,
        objective_stretch=None,
        late_weight=0.0,
        partial_weight=1.0,
    )
    return api.Settings(
        coordinator_count=1,
        zone=0,
        query_classes=(look,),
        tenant_quotas=(),
        timer_granularity=0.005,
        cell_count=count,
        cells_per_replica=3,
        max_parts_per_request=8,
        max_attempts=3,
        cancellation_allowed=True,
        gossip_allowed=False,
        hedging_allowed=True,
        retry_after_allowed=True,
        max_retry_after=1.0,
        membership_polled=False,
        slow_start_capacity=0.2,
        slow_start_duration=15.0,
        overload_window=2.0,
        overload_multiple=4.0,
        retry_budget_free=None,
        retry_budget_share=None,
        retry_budget_window=None,
    )


if __name__ == "__main__":
    if sys.argv[1] == "worker":
        worker(json.loads(sys.argv[2]), int(sys.argv[3]))
        sys.exit(0)
    print(machine())
    if sys.argv[1] == "news":
        for number in sys.argv[2:] or ("12", "54"):
            news(int(number))
    elif sys.argv[1] == "restart":
        restart()
    else:
        cost()
