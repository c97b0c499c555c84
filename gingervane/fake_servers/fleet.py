"""Runs many grid nodes in one process: `python -m gingervane.fake_servers.fleet CONFIG.json`."""

from __future__ import annotations

import sys

from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.node import FakeGrid
from gingervane.fake_servers.process import ServerConfig, serve
from gingervane.fake_servers.recorder import Recorder


def _grid(config: ServerConfig, recorder: Recorder, faults: dict[int, list[Fault]]) -> FakeGrid:
    return FakeGrid(
        config["nodes"],
        config["tiles"],
        tuple(config["zones"]),
        config["width"],
        Model(*config["model"]),
        recorder,
        faults,
        config.get("only"),
    )


if __name__ == "__main__":
    sys.exit(serve(_grid))
