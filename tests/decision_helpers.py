"""Helpers for the tests of the decisions."""

from __future__ import annotations

from hosts import Host

from gingervane import interface as api


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def part_of(host: Host, query: int, index: int = 0) -> int:
    return host.step_parts[query][index]
