"""CPU time of one thread, in milliseconds, to process a changed list of 1,000 nodes from Consul.

python benchmarks/membership_cost.py
"""

from __future__ import annotations

import copy
import json
import random
import time
from collections.abc import Callable
from typing import Any

import numpy as np
import orjson
from common import engine_settings, machine

from gingervane.decisions.engine import DecisionEngine
from gingervane.fake_servers.consul_catalogue import Catalogue
from gingervane.membership.consul import EntryFieldNames, EntryReader
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.view import EndpointView, Member

ZONES = ("hall-a", "hall-b", "hall-c")


def changing_catalogue(count: int) -> list[bytes]:
    """Return bodies of a catalogue's replies for `count` nodes, with three nodes updated in each."""
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
    return bodies


class Stopwatch:
    """Durations of named steps, in milliseconds."""

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = {}

    def measure(self, name: str, work: Callable[..., Any], *arguments: Any) -> Any:
        """Call `work`, record its duration, and return its result."""
        began = time.perf_counter()
        result = work(*arguments)
        self._times.setdefault(name, []).append((time.perf_counter() - began) * 1000)
        return result

    def medians(self) -> dict[str, float]:
        """Return the median duration of each step."""
        return {name: float(np.median(times)) for name, times in self._times.items()}


class UpdatePath:
    """Passes each list of a catalogue to a decision engine, as built and in the plain way."""

    def __init__(self, count: int, stopwatch: Stopwatch) -> None:
        settings = engine_settings(count)
        self._count = count
        self._measure = stopwatch.measure
        self._reader = EntryReader(EntryFieldNames(), ZONES, count, 0.0)
        self._reconciliation = Reconciliation(("consul",), MassRemovalGuard())
        self._view = EndpointView()
        self._plain_view = EndpointView()
        self.module = DecisionEngine(settings, 1)
        self._plain_module = DecisionEngine(settings, 1)

    def _read_anew(self, entries: Any) -> Any:
        return EntryReader(EntryFieldNames(), ZONES, self._count, 0.0).read(entries)

    def _reconcile(self, members: tuple[Member, ...], now: float, turn: int) -> Any:
        self._reconciliation.apply_report(SourceReport("consul", members, 0.0, turn + 1), now)
        return self._reconciliation.refresh(now)

    def apply(self, turn: int, body: bytes) -> None:
        """Process one list with all steps."""
        now = 100.0 + turn * 0.1
        measure = self._measure
        measure("decode, json", json.loads, body)
        entries = measure("decode, orjson", orjson.loads, body)
        measure("read, each entry anew", self._read_anew, entries)
        members, _ = measure("read, entries cached", self._reader.read, entries)
        changes = measure("merge", self._reconcile, members, now, turn)
        latest = self._reconciliation.latest_view(now)
        servers = tuple(known.member for known in latest.servers.values())
        full = measure("view, full list", self._plain_view.apply_full_list, servers, now)
        delta = measure("view, delta", self._view.apply_delta, changes, now)
        if turn and full and delta:
            measure("module, full list", self._plain_module.handle, now, [full.membership])
            measure("module, delta", self.module.handle, now, [delta.membership])
        elif delta:
            self.module.handle(now, [delta.membership])
            self._plain_module.handle(now, [delta.membership])


def measure_replica_lookup(module: DecisionEngine, count: int, stopwatch: Stopwatch) -> None:
    """Measure the look-up of a shard's replicas, by index and by a scan of all replicas."""
    servers = list(module.membership.replicas.values())
    by_cell = module.membership.holders_by_cell
    width = engine_settings(count).cells_per_replica

    def scan(cell: int) -> list[Any]:
        return [server for server in servers if (server.endpoint.cell - cell) % count < width]

    for cell in range(count):
        stopwatch.measure("replicas of a tile, by index", by_cell.__getitem__, cell)
        stopwatch.measure("replicas of a tile, by scan", scan, cell)


def measure_update_cost(count: int = 1000) -> None:
    """Measure one thread's time for a list in which three of `count` nodes changed, step by step."""
    bodies = changing_catalogue(count)
    stopwatch = Stopwatch()
    path = UpdatePath(count, stopwatch)
    for turn, body in enumerate(bodies):
        path.apply(turn, body)
    measure_replica_lookup(path.module, count, stopwatch)
    medians = stopwatch.medians()
    print(f"{len(bodies[0]) / 1024:.0f} KiB, {count} nodes, 3 changes a list")
    for name, median in medians.items():
        print(f"  {name}: {median:.4f} ms")
    built = ("decode, orjson", "read, entries cached", "merge", "view, delta", "module, delta")
    plain = ("decode, json", "read, each entry anew", "merge", "view, full list", "module, full list")
    for title, steps in (("as built", built), ("plain", plain)):
        total = sum(medians[name] for name in steps)
        # At ten changes a second, each millisecond is a hundredth of a core.
        print(f"  {title}: {total:.1f} ms a change")


if __name__ == "__main__":
    print(machine())
    measure_update_cost()
