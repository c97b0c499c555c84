"""Helpers of the benchmarks: description of the machine, a fleet in separate processes, load generators."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from hdrh.histogram import HdrHistogram

from gingervane import interface as api
from gingervane.experiments.toml_text import toml
from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.server_list import list_row, write_list

PROCESSES = 4  # for the fake servers, so that they are not the bottleneck
ZONES = ["hall-a", "hall-b", "hall-c"]


def machine() -> str:
    """Return the machine's cores, memory and Python version, for the head of the results."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / (1 << 30)
    return (
        f"{os.cpu_count()} cores, {memory:.0f} GiB, {platform.machine()}, CPython {platform.python_version()}"
    )


class Fleet:
    """Fake nodes in a few processes of their own, and one co-ordinator in another."""

    def __init__(
        self,
        nodes: int = 12,
        tiles: int = 24,
        model: Model | None = None,
        faults: dict[int, list[Any]] | None = None,
        table: dict[str, Any] | None = None,
        prefix: list[str] | None = None,
    ) -> None:
        """Start the processes; `table` overrides co-ordinator settings, `prefix` is the command to run it."""
        self.model = model or Model()
        self.folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
        self.tiles = [f"t{i:03d}" for i in range(tiles)]
        self.nodes = nodes
        self.fake_servers: list[subprocess.Popen[str]] = []
        self.ports = [0] * nodes
        self._start_nodes(faults or {})
        rows = [
            list_row(n, f"127.0.0.1:{port}", ZONES[n % 3], n, "ready", None)
            for n, port in enumerate(self.ports)
        ]
        write_list(self.folder / "servers.toml", "\n".join(rows))
        self.coordinator = self._start_coordinator(table or {}, prefix or [sys.executable])
        assert self.coordinator.stdout
        line = self.coordinator.stdout.readline().removeprefix("listening on ").strip()
        host, _, port = line.rpartition(":")
        self.address = host, int(port)

    def _start_nodes(self, faults: dict[int, list[Any]]) -> None:
        orders = {
            "records": str(self.folder / "nodes.jsonl"),
            "nodes": self.nodes,
            "tiles": len(self.tiles),
            "zones": ZONES,
            "width": 3,
            "model": list(self.model),
            "faults": faults,
            "silent": True,
        }
        for first in range(PROCESSES):
            path = self.folder / f"orders-{first}.json"
            only = list(range(first, self.nodes, PROCESSES))
            path.write_text(json.dumps(orders | {"only": only}))
            child = subprocess.Popen(
                [sys.executable, "-m", "gingervane.fake_servers.fleet", str(path)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert child.stdout
            ports = json.loads(child.stdout.readline().removeprefix("ready"))
            for node, port in zip(only, ports, strict=True):
                self.ports[node] = port
            self.fake_servers.append(child)

    def _start_coordinator(self, table: dict[str, Any], prefix: list[str]) -> subprocess.Popen[str]:
        settings: dict[str, Any] = {
            "shards": {"names": self.tiles, "cells": self.nodes, "width": 3},
            "fleet": {"zones": ZONES, "zone": "hall-a"},
            "membership": {"file": "servers.toml"},
            "log": {"level": "warning"},
            "class": [{"name": "look", "aim": 2.0, "deadline": 10.0}],
        }
        config = self.folder / "c.toml"
        config.write_text(toml(settings | table))
        command = [*prefix, "-m", "gingervane.cli.main", "serve", "--config", str(config)]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: TracebackType | None) -> None:
        self.coordinator.terminate()
        self.coordinator.wait(20)
        for child in self.fake_servers:
            assert child.stdin
            child.stdin.close()
            child.wait(20)


def closed_loop(clients: int, seconds: float, work: Callable[[int], object]) -> tuple[int, HdrHistogram, int]:
    """Call `work` repeatedly in `clients` threads; return the successful calls, times in us, and errors."""
    histogram, lock, stop = HdrHistogram(1, 60_000_000, 3), threading.Lock(), time.monotonic() + seconds
    counts = [0, 0]

    def run(index: int) -> None:
        while (start := time.monotonic()) < stop:
            try:
                work(index)
            except Exception:
                with lock:
                    counts[1] += 1
                continue
            duration = time.monotonic() - start
            with lock:
                counts[0] += 1
                histogram.record_value(max(int(duration * 1e6), 1))

    threads = [threading.Thread(target=run, args=(i,), daemon=True) for i in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return counts[0], histogram, counts[1]


def open_loop(rate: float, seconds: float, work: Callable[[int], object]) -> tuple[int, HdrHistogram, int]:
    """Call `work` at a fixed rate; each time counts from when the call was due, so that queueing is included.

    Returns the number of calls that succeeded, their times in us, and the number of errors.
    """
    histogram, lock = HdrHistogram(1, 60_000_000, 3), threading.Lock()
    counts, threads, began = [0, 0], [], time.monotonic()

    def run(index: int, due: float) -> None:
        try:
            work(index)
        except Exception:
            with lock:
                counts[1] += 1
            return
        with lock:
            counts[0] += 1
            histogram.record_value(max(int((time.monotonic() - due) * 1e6), 1))

    for index in range(int(rate * seconds)):
        due = began + index / rate
        if (wait := due - time.monotonic()) > 0:
            time.sleep(wait)
        thread = threading.Thread(target=run, args=(index, due), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join(30)
    return counts[0], histogram, counts[1]


def engine_settings(count: int) -> api.Settings:
    """Return settings of one co-ordinator, with `count` cells and one query class."""
    look = api.QueryClass(
        latency_objective=1.5,
        deadline=5.0,
        retry_safety=api.RetrySafety.IDEMPOTENT,
        idempotency_window=None,
        second_step_parts=0,
        required_coverage=1.0,
        complete_coverage=1.0,
        objective_stretch=None,
        late_answer_value=0.0,
        partial_answer_value=1.0,
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
