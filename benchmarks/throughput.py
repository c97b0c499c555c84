"""Throughput of one co-ordinator process in parts a second, and with --profile where its time is spent.

Nodes answer at once and use little CPU, so that the co-ordinator is the bottleneck; clients and nodes run in
other processes. Run: python benchmarks/throughput.py [--profile]
"""

from __future__ import annotations

import multiprocessing
import sys
import time
from pathlib import Path
from typing import Any

from common import Fleet, closed_loop, machine

from gingervane.fake_servers.capacity import Model
from gingervane.fronts.client import Client
from gingervane.wire.remote_read import Match, Matcher, Query

END = 1_764_600_000_000  # end of the requested time range, in Unix milliseconds
SECONDS = 8.0
FREE_NODES = Model(cores=64, work=1e-6, call_work=1e-6, queue=100_000)  # with little work per part


def load(address: tuple[str, int], tiles: int, clients: int, seconds: float, out: Any) -> None:
    pattern = "|".join(f"t{i:03d}" for i in range(tiles))
    query = Query(
        END - 300_000,
        END,
        (
            Matcher(Match.EQUAL, "__name__", "wind_speed"),
            Matcher(Match.REGEX, "tile", pattern),
        ),
    )
    client = Client(address)
    data = client.request([query], {})

    def work(index: int) -> None:
        status, _, _ = client.exchange(data, 20.0)
        assert status == 200

    count, histogram, errors = closed_loop(clients, seconds, work)
    out.put((count, histogram.get_value_at_percentile(50), histogram.get_value_at_percentile(99), errors))


def measure(tiles: int, processes: int, clients: int, prefix: list[str] | None = None) -> None:
    open_parts = {"limits": {"open": 20_000}}
    with Fleet(nodes=12, tiles=24, model=FREE_NODES, table=open_parts, prefix=prefix) as fleet:
        out: Any = multiprocessing.Queue()
        load(fleet.address, tiles, 4, 1.0, out)
        out.get()
        before, cpu = time.monotonic(), cpu_of(fleet.coordinator.pid)
        jobs = [
            multiprocessing.Process(target=load, args=(fleet.address, tiles, clients, SECONDS, out))
            for _ in range(processes)
        ]
        for job in jobs:
            job.start()
        results = [out.get() for _ in jobs]
        elapsed, cpu_seconds = time.monotonic() - before, cpu_of(fleet.coordinator.pid) - cpu
        for job in jobs:
            job.join()
        queries = sum(f[0] for f in results)
        print(
            f"{tiles:3} parts a query, {processes * clients:3} clients: {queries * tiles / elapsed:7.0f} parts/s, "
            f"{queries / elapsed:6.0f} queries/s, p50 {max(f[1] for f in results) / 1000:6.1f} ms, "
            f"p99 {max(f[2] for f in results) / 1000:6.1f} ms, errors {sum(f[3] for f in results)}, "
            f"{cpu_seconds / elapsed:.2f} cores, {cpu_seconds / max(queries * tiles, 1) * 1e6:.0f} us of CPU a part"
        )


def cpu_of(pid: int) -> float:
    """Return the CPU seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == "__main__":
    print(machine())
    if "--profile" in sys.argv:
        sampler = [sys.executable, "sampler.py", "/tmp/gingervane-profile.txt"]
        measure(12, 2, 8, sampler)
    else:
        for tiles, processes, clients in ((24, 2, 8), (12, 2, 8), (4, 2, 8), (1, 2, 8)):
            measure(tiles, processes, clients)
