"""A process of fake servers, as its parent starts it: `python -m MODULE ORDERS.json`.

The orders hold the servers, their faults on the monotonic clock and the file for records. The process prints `ready`
and a JSON list of ports once all servers listen, and ends when its standard input does.
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
    """What a process of fake servers runs."""

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where the servers listen."""

    def stop(self) -> None:
        """Stop all servers."""


ServerOrders = dict[str, Any]
STACK_SIZE = 256 * 1024  # bytes a thread, as each connection has one


def serve(build: Callable[[ServerOrders, Recorder, dict[int, list[Fault]]], Nodes]) -> int:
    """Build servers from the orders' file, print where they listen, and run until standard input ends."""
    orders = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(STACK_SIZE)
    silent = orders.get("silent") or not orders.get("records")
    recorder = Recorder(None if silent else Path(orders["records"]))
    faults = {int(node): [Fault(**fault) for fault in found] for node, found in orders["faults"].items()}
    nodes = build(orders, recorder, faults)
    print("ready", json.dumps([port for _, port in nodes.addresses]), flush=True)
    sys.stdin.read()
    nodes.stop()
    recorder.close()
    return 0
