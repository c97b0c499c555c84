"""A co-ordinator's settings as the lab puts them together, and settings as TOML text."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, NamedTuple


class Ground(NamedTuple):
    """What co-ordinators stand before: a ring of nodes over tiles."""

    tiles: Sequence[str]
    cells: int
    width: int
    zones: Sequence[str]
    start_capacity: float
    ramp_time: float
    fall_time: float


def coordinator_table(
    ground: Ground,
    zone: str,
    coordinators: int,
    membership: dict[str, Any],
    classes: Sequence[dict[str, Any]],
    budget: tuple[float, float, float],
    log: dict[str, Any],
) -> dict[str, Any]:
    """Settings of one co-ordinator. `budget`: free, share, span."""
    return {
        "shards": {
            "label": "tile",
            "names": list(ground.tiles),
            "cells": ground.cells,
            "width": ground.width,
        },
        "fleet": {"coordinators": coordinators, "zones": list(ground.zones), "zone": zone},
        "membership": membership,
        "class": list(classes),
        "replicas": {
            "start_capacity": ground.start_capacity,
            "ramp_time": ground.ramp_time,
            "fall_time": ground.fall_time,
        },
        "budget": dict(zip(("free", "share", "span"), budget, strict=True)),
        "log": log,
    }


def toml(table: dict[str, Any], under: str = "") -> str:
    """Settings as TOML text: plain values, tables of any depth, and arrays of flat tables."""
    out = [f"{key} = {json.dumps(value)}" for key, value in table.items() if not _nested(value)]
    for key, value in table.items():
        if isinstance(value, dict):
            out += ["", f"[{under}{key}]", toml(value, f"{under}{key}.").rstrip("\n")]
        elif _nested(value):
            for row in value:
                out += ["", f"[[{under}{key}]]", toml(row).rstrip("\n")]
    return "\n".join(out) + "\n"


def _nested(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))
