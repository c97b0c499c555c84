"""Many nodes in a process of their own: `python -m gingervane.fake_servers.fleet ORDERS.json`.

The orders hold the grid, its faults on the monotonic clock and the file for records. Prints `ready` and a JSON list
of ports once all nodes listen; ends when its standard input does.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.node import FakeGrid, Recorder


class Nodes(Protocol):
    """What a process of stand-ins runs."""

    @property
    def addresses(self) -> list[tuple[str, int]]: ...

    def stop(self) -> None: ...


Orders = dict[str, Any]


def serve(build: Callable[[Orders, Recorder, dict[int, list[Fault]]], Nodes]) -> int:
    """Build nodes from the orders' file, say where they listen, and run until standard input ends."""
    orders = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(256 * 1024)
    silent = orders.get("silent") or not orders.get("records")
    recorder = Recorder(None if silent else Path(orders["records"]))
    faults = {int(node): [Fault(**fault) for fault in found] for node, found in orders["faults"].items()}
    nodes = build(orders, recorder, faults)
    print("ready", json.dumps([port for _, port in nodes.addresses]), flush=True)
    sys.stdin.read()
    nodes.stop()
    recorder.close()
    return 0


def _grid(orders: Orders, recorder: Recorder, faults: dict[int, list[Fault]]) -> FakeGrid:
    return FakeGrid(
        orders["nodes"],
        orders["tiles"],
        tuple(orders["zones"]),
        orders["width"],
        Model(*orders["model"]),
        recorder,
        faults,
        orders.get("only"),
    )


if __name__ == "__main__":
    sys.exit(serve(_grid))
