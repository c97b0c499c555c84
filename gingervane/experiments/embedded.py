"""An embedded fleet on loopback: fake nodes, their server list and co-ordinators, all in this process."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from typing import Any

from gingervane.daemon.app import App
from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.node import FakeGrid
from gingervane.fake_servers.server_list import list_row, write_list
from gingervane.fake_servers.vectors import VectorGrid
from gingervane.scenarios.coordinator_settings import ReplicaRing, coordinator_table, tree_table
from gingervane.settings import daemon_settings

MODEL = Model()
ZONES = ("hall-a", "hall-b", "hall-c")
CLASSES: list[dict[str, Any]] = [
    {"name": "point-lookup", "aim": 1.0, "deadline": 4.0, "late_worth": 0.3},
    {
        "name": "area-report",
        "aim": 2.0,
        "deadline": 4.0,
        "least_share": 0.75,
        "late_worth": 0.3,
        "worth": 2.0,
    },
    {"name": "keyed-read", "aim": 1.0, "deadline": 4.0, "semantics": "keyed", "repeat_window": 2.0},
    {"name": "unsafe-read", "aim": 1.0, "deadline": 4.0, "semantics": "unsafe"},
]


def config_table(grid: FakeGrid, list_file: Path, zone: str, coordinators: int = 1) -> dict[str, Any]:
    """Build the settings of a co-ordinator of a fake grid."""
    model = grid.nodes[0].model
    ring = ReplicaRing(
        grid.tiles, grid.cells, grid.width, grid.zones, model.start_capacity, model.ramp_time, model.fall_time
    )
    membership = {"file": str(list_file), "interval": 0.05}
    log = {"format": "console", "level": "warning"}
    table = coordinator_table(ring, zone, coordinators, membership, CLASSES, (20, 0.2, 5.0), log)
    return {"default_class": "point-lookup", **table}


def vectors_table(grid: VectorGrid, list_file: Path) -> dict[str, Any]:
    """Build the settings of the vector front for a ring of fake vector nodes."""
    return {
        "membership": {"file": str(list_file), "interval": 0.05},
        "cells": grid.cells,
        "width": grid.width,
        "search_class": "point-lookup",
        "upsert_class": "keyed-read",
        "add_class": "unsafe-read",
        "collection": [collection._asdict() for collection in grid.collections],
    }


class EmbeddedFleet:
    """A fake grid, its server list in a temporary folder, and one or more co-ordinators."""

    def __init__(
        self,
        nodes: int = 6,
        tiles: int = 12,
        model: Model = MODEL,
        overrides: dict[str, Any] | None = None,
        seed: int | None = 1,
        coordinators: int = 1,
        tree: dict[str, Any] | None = None,
        list_coordinators: bool = True,
        vectors: VectorGrid | None = None,
    ) -> None:
        """Start the nodes and the co-ordinators.

        `overrides` replaces settings of the co-ordinators. `tree` has settings of the tree, to which `name`,
        `ring` and `place` are added for each co-ordinator. `vectors` are the nodes of the vector front;
        `close` stops them.
        """
        self.vectors = vectors
        self.folder = Path(tempfile.mkdtemp(prefix="gingervane-"))
        self.grid = FakeGrid(nodes, tiles, ZONES, 3, model)
        self.list_file = self.folder / "servers.toml"
        self._list_coordinators = list_coordinators
        self.apps: list[App] = []
        for number in range(coordinators):
            table = self._coordinator_table(number, coordinators, overrides or {}, tree)
            config = daemon_settings.check(table, self.folder / "embedded.toml")
            self.apps.append(App(config, None if seed is None else seed + 10 * number))
        self.app = self.apps[0]
        self.config = self.app.config
        self.stopped: set[int] = set()
        self.write_list()
        self.write_vectors()
        for app in self.apps:
            app.start()
        self.address = self.app.address

    def _coordinator_table(
        self, number: int, coordinators: int, overrides: dict[str, Any], tree: dict[str, Any] | None
    ) -> dict[str, Any]:
        """Build the settings of a co-ordinator; tables in `overrides` are merged, other values replaced."""
        table = config_table(self.grid, self.list_file, ZONES[number % len(ZONES)], coordinators)
        if self.vectors is not None:
            table["vectors"] = vectors_table(self.vectors, self.folder / "vectors.toml")
        for key, value in overrides.items():
            table[key] = {**table[key], **value} if isinstance(table.get(key), dict) else value
        if tree is not None:
            table["tree"] = tree_table(tree, coordinators, number)
        return table

    def write_list(
        self,
        states: dict[int, str] | None = None,
        started: dict[int, float] | None = None,
        coordinators: dict[int, str] | None = None,
        extra: str = "",
    ) -> None:
        """Write the server list.

        `states` and `coordinators` have the states of nodes and of co-ordinators that are not ready; `extra`
        has further rows.
        """
        rows = [self.grid.list_text(states, started)]
        for number, app in enumerate(self.apps):
            if app.config.tree is not None and self._list_coordinators:
                row = list_row(
                    number,
                    f"{app.address[0]}:{app.address[1]}",
                    ZONES[number % len(ZONES)],
                    number,
                    (coordinators or {}).get(number, "ready"),
                    None,
                    table="coordinator",
                    name=f"c{number}",
                )
                rows.append(row)
        write_list(self.list_file, "\n".join([*rows, extra]))

    def write_vectors(self, states: dict[int, str] | None = None) -> None:
        """Write the list of vector nodes, if there are any; `states` has states other than ready."""
        if self.vectors is not None:
            rows = [
                list_row(
                    node.id,
                    f"{node.address[0]}:{node.address[1]}",
                    ZONES[node.id % len(ZONES)],
                    node.id,
                    (states or {}).get(node.id, "ready"),
                    None,
                    name=f"v{node.id}",
                )
                for node in self.vectors.nodes
            ]
            write_list(self.folder / "vectors.toml", "\n".join(rows))

    def stop(self, number: int) -> None:
        """Stop one co-ordinator."""
        self.stopped.add(number)
        self.apps[number].stop()

    def close(self) -> None:
        """Stop all co-ordinators and nodes, and remove the folder."""
        for number in range(len(self.apps)):
            if number not in self.stopped:
                self.apps[number].stop()
        self.grid.stop()
        if self.vectors is not None:
            self.vectors.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
