"""Helpers for end-to-end tests of the node."""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path

from platform_fakes import (
    WAIT_TIMEOUT_SECONDS,
    Part,
    Platform,
    Replica,
    Wire,
    cell_of,
)

from gingervane.coordinator.types import EndpointsUpdated


def apply_discovery_change(platform: Platform, *hosts: dict[str, object]) -> None:
    """Have discovery send a change; return once the node handles it before any later query."""
    core, applied = platform.node.core, threading.Event()
    real_endpoints_updated = core.endpoints_updated

    def apply_update(update: EndpointsUpdated) -> None:
        real_endpoints_updated(update)
        applied.set()

    core.endpoints_updated = apply_update  # type: ignore[method-assign]
    platform.discovery.change(*hosts)
    assert applied.wait(WAIT_TIMEOUT_SECONDS)


def assert_served(answer: tuple[int, dict[str, str], object], name: str, *shards: int) -> None:
    """Assert that the answer to query `name` is complete, with the values of these shards."""
    assert answer[0] == 200, answer
    cells = [{"tablet": s, "cell": cell_of(f"{name}.{s}")} for s in shards]
    assert isinstance(answer[2], dict) and answer[2]["full"] is True
    assert sorted(answer[2]["pieces"], key=lambda p: p["tablet"]) == cells


def platform_with_first_attempt(tmp_path: Path, first_attempt: Callable[[Wire, Part], None]) -> Platform:
    """Start two equal replicas; the first part of query `q` that either receives is handled by
    `first_attempt`."""
    turns = iter([first_attempt])

    def behave(wire: Wire, part: Part) -> None:
        good: Callable[[Wire, Part], None] = lambda wire, part: wire.answer(part.id)  # noqa: E731
        (next(turns, good) if part.id.startswith("q.") else good)(wire, part)

    return Platform(tmp_path, Replica(0, behave), Replica(0, behave))
