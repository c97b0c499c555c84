"""What every socket end recorded of a day, linked. Nothing here asks a co-ordinator.

A tap is the file of what passed at one co-ordinator process's socket ends; its name stands for that process.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

Record = dict[str, Any]


class Part(NamedTuple):
    """One tile of one try, by what travels unchanged: the start of its time range."""

    start: int
    tile: str


@dataclass
class Send:
    """One batch request that left a co-ordinator for a node; `near` is the port at the co-ordinator's end."""

    t: float
    coordinator: int
    tap: str
    node: int
    near: int
    parts: list[Part]
    took: Record | None = None  # the node's record of it, if the node read it


class Branch(NamedTuple):
    """One subtree that left a co-ordinator for another."""

    t: float
    tap: str
    near: int
    far: int
    parts: tuple[Part, ...]
    read: float  # when the child had read it; the time of sending if it never did
    child: str  # the child's tap; empty if it never read it


class Change(NamedTuple):
    """What became of a node's entry in the catalogue."""

    t: float
    order: int  # its index
    away: bool


class Catalogue(NamedTuple):
    """What the fake Consul recorded: each node's changes, and for each tap when it was notified of which index."""

    changes: dict[int, list[Change]]
    notified: dict[str, list[tuple[float, int]]]

    def notified_of_absence(self, tap: str, node: int, since: float) -> float | None:
        """When a co-ordinator was first notified of an absence that began at `since`; None if it never was."""
        away = next((c for c in self.changes.get(node, []) if c.away and c.t >= since), None)
        if away is None:
            return None
        return next((t for t, index in self.notified.get(tap, []) if index >= away.order), None)


@dataclass
class Day:
    """All records of a day. `tries` are the clients' attempts, `demands` what they were for."""

    facts: Record
    director: list[Record]
    tries: list[Record]
    demands: list[Record]
    nodes: list[Record]
    sends: list[Send]
    bodies: bytes
    branches: list[Branch]
    exchanged: dict[str, int]  # bytes with replicas and children, by tap
    catalogue: Catalogue | None = None
    torn: int = 0  # lines that could not be read
    by_part: dict[Part, list[Send]] = field(default_factory=dict)
    ends: dict[tuple[int, int], Record] = field(default_factory=dict)  # (node, call) -> how the node ended it

    def began(self) -> float:
        """When the day began, on the clock of the records."""
        return float(next(r["at"] for r in self.director if r["kind"] == "began"))


def ends_of(nodes: list[Record]) -> dict[tuple[int, int], Record]:
    """How each node ended each call, from what the nodes recorded."""
    kinds = ("done", "lost", "dropped", "failed", "rejected")
    return {(r["node"], r["call"]): r for r in nodes if "call" in r and r["kind"] in kinds}
