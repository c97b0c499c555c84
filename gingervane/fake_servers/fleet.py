"""Runs many grid nodes in one process: `python -m gingervane.fake_servers.fleet ORDERS.json`."""

from __future__ import annotations

import sys

from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.node import FakeGrid
from gingervane.fake_servers.process import ServerOrders, serve
from gingervane.fake_servers.recorder import Recorder


def _grid(orders: ServerOrders, recorder: Recorder, faults: dict[int, list[Fault]]) -> FakeGrid:
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
