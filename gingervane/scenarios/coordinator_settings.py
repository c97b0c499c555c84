"""Builds the settings table of a co-ordinator for a ring of nodes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple


class ReplicaRing(NamedTuple):
    """A ring of nodes that hold tiles, as a co-ordinator's settings describe it; times in seconds."""

    tiles: Sequence[str]
    cells: int
    width: int
    zones: Sequence[str]
    start_capacity: float
    ramp_time: float
    fall_time: float


def coordinator_table(
    ring: ReplicaRing,
    zone: str,
    coordinators: int,
    membership: dict[str, Any],
    classes: Sequence[dict[str, Any]],
    budget: tuple[float, float, float],
    log: dict[str, Any],
) -> dict[str, Any]:
    """Build the settings of one co-ordinator.

    `budget` is the retry budget: free further attempts, share of the first attempts, and window in seconds.
    """
    return {
        "shards": {
            "label": "tile",
            "names": list(ring.tiles),
            "cells": ring.cells,
            "width": ring.width,
        },
        "fleet": {"coordinators": coordinators, "zones": list(ring.zones), "zone": zone},
        "membership": membership,
        "class": list(classes),
        "replicas": {
            "start_capacity": ring.start_capacity,
            "ramp_time": ring.ramp_time,
            "fall_time": ring.fall_time,
        },
        "budget": dict(zip(("free", "share", "span"), budget, strict=True)),
        "log": log,
    }


def tree_table(tree: dict[str, Any], coordinators: int, number: int) -> dict[str, Any]:
    """Complete a co-ordinator's settings of the tree; `tree` may override `ring` and `place`."""
    return {"ring": coordinators, "place": number, **tree, "name": f"c{number}"}
