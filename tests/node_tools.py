"""Helpers for end-to-end tests of the node."""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path

from platform_fakes import (
    PATIENCE,
    Part,
    Platform,
    Replica,
    Wire,
    cell_of,
)

from gingervane.coordinator.types import EndpointsUpdated


def tell(platform: Platform, *hosts: dict[str, object]) -> None:
    """Have discovery send a change; return once the node handles it before any later query."""
    core, told = platform.node.core, threading.Event()
    put = core.endpoints_updated

    def note(listed: EndpointsUpdated) -> None:
        put(listed)
        told.set()

    core.endpoints_updated = note  # type: ignore[assignment,method-assign]
    platform.discovery.change(*hosts)
    assert told.wait(PATIENCE)


def served(found: tuple[int, dict[str, str], object], name: str, *shards: int) -> None:
    assert found[0] == 200, found
    cells = [{"tablet": s, "cell": cell_of(f"{name}.{s}")} for s in shards]
    assert isinstance(found[2], dict) and found[2]["full"] is True
    assert sorted(found[2]["pieces"], key=lambda p: p["tablet"]) == cells


def at_first(tmp_path: Path, bad: Callable[[Wire, Part], None]) -> Platform:
    """Start two equal replicas; the first part of query `q` that either receives is handled by `bad`."""
    turns = iter([bad])

    def behave(wire: Wire, part: Part) -> None:
        good: Callable[[Wire, Part], None] = lambda wire, part: wire.answer(part.id)  # noqa: E731
        (next(turns, good) if part.id.startswith("q.") else good)(wire, part)

    return Platform(tmp_path, Replica(0, behave), Replica(0, behave))
