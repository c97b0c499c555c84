"""Types of the records of a scenario run (a day), taken at sockets and not from the co-ordinators' own logs.

A tap is the record of all traffic on the sockets of a co-ordinator process; its name identifies the process.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

Record = dict[str, Any]


class Part(NamedTuple):
    """One tile of one client attempt, which the start of its time range identifies."""

    start: int
    tile: str


@dataclass
class Send:
    """One batch request that a co-ordinator sent to a node; `near` is the port at the co-ordinator's end."""

    t: float
    coordinator: int
    tap: str
    node: int
    near: int
    parts: list[Part]
    took: Record | None = None  # the node's record of this request, if the node read it


class SubtreeRequest(NamedTuple):
    """A subtree request to a child co-ordinator. `near` is the sender's port, `far` the child's."""

    t: float
    tap: str
    near: int
    far: int
    parts: tuple[Part, ...]
    read: float  # when the child read it; the time of sending if the child never read it
    child: str  # the child's tap; empty if the child never read it


class Change(NamedTuple):
    """A change of a node's entry in the catalogue."""

    t: float
    modify_index: int  # the catalogue's index after the change
    unready: bool  # removed, draining or critical


class Catalogue(NamedTuple):
    """The fake Consul's records: changes of each node, and notifications (time, index) of each tap."""

    changes: dict[int, list[Change]]
    notified: dict[str, list[tuple[float, int]]]

    def notified_unready_at(self, tap: str, node: int, since: float) -> float | None:
        """When a co-ordinator was notified that a node is not ready since `since`; None if it never was."""
        unready = next((c for c in self.changes.get(node, []) if c.unready and c.t >= since), None)
        if unready is None:
            return None
        return next((t for t, index in self.notified.get(tap, []) if index >= unready.modify_index), None)


@dataclass
class Day:
    """All records of a day. `demands` are the client requests, `tries` the clients' attempts at them."""

    facts: Record
    director: list[Record]
    tries: list[Record]
    demands: list[Record]
    nodes: list[Record]
    sends: list[Send]
    bodies: bytes
    subtree_requests: list[SubtreeRequest]
    exchanged: dict[str, int]  # bytes exchanged with replicas and children, by tap
    catalogue: Catalogue | None = None
    torn: int = 0  # lines that could not be parsed
    by_part: dict[Part, list[Send]] = field(default_factory=dict)
    ends: dict[tuple[int, int], Record] = field(default_factory=dict)  # (node, call) -> record of its outcome

    def began(self) -> float:
        """When the day began, on the clock of the records."""
        return float(next(r["at"] for r in self.director if r["kind"] == "began"))


def ends_of(nodes: list[Record]) -> dict[tuple[int, int], Record]:
    """Return the record of each call's outcome at its node, by (node, call)."""
    kinds = ("done", "lost", "dropped", "failed", "rejected")
    return {(r["node"], r["call"]): r for r in nodes if "call" in r and r["kind"] in kinds}
