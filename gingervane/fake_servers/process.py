"""Runs fake servers in a process of their own: `python -m MODULE ORDERS.json`.

The file describes the servers, their faults, with times on the monotonic clock, and the file for records. The
process prints `ready` and a JSON list of ports once all servers listen, and ends when its standard input is
closed.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.recorder import Recorder


class Nodes(Protocol):
    """A group of fake servers that a process runs."""

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The servers' addresses."""

    def stop(self) -> None:
        """Stop all servers."""


ServerOrders = dict[str, Any]
STACK_SIZE = 256 * 1024  # bytes per thread; small, because each connection has its own thread


def serve(build: Callable[[ServerOrders, Recorder, dict[int, list[Fault]]], Nodes]) -> int:
    """Build servers from the configuration file, print their ports and run until standard input is closed."""
    orders = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(STACK_SIZE)
    silent = orders.get("silent") or not orders.get("records")
    recorder = Recorder(None if silent else Path(orders["records"]))
    faults = {int(node): [Fault(**table) for table in tables] for node, tables in orders["faults"].items()}
    nodes = build(orders, recorder, faults)
    print("ready", json.dumps([port for _, port in nodes.addresses]), flush=True)
    sys.stdin.read()
    nodes.stop()
    recorder.close()
    return 0
