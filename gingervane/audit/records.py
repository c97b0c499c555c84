"""What every socket end recorded of a day, read back and linked. Nothing here asks a co-ordinator.

`facts.json` has what was agreed beforehand (classes, rules in figures, the nodes' model, when nodes were down);
`director.jsonl` what the director did, `clients.jsonl` each try, `nodes.jsonl` each request that a node read, and
`tap-*.jsonl` the bytes that passed at each co-ordinator's socket ends. A process that was killed may leave half a
line; it is passed over and counted.
"""

from __future__ import annotations

import base64
import bisect
import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from gingervane.fake_servers.data import tile_of
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.remote_read import Match, Query

Record = dict[str, Any]


class Part(NamedTuple):
    """One tile of one try, by what travels unchanged: the start of its time range."""

    start: int
    tile: str


@dataclass
class Send:
    """One call that left a co-ordinator."""

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
    read: (
        float  # when the child had read it, and the child's tap; the time of sending and none if it never did
    )
    child: str


class Change(NamedTuple):
    """What became of a node's entry in the catalogue."""

    t: float
    order: int  # its index
    away: bool


class Catalogue(NamedTuple):
    """What Consul's stand-in recorded: each node's changes, and for each tap when an agent told it of which index."""

    changes: dict[int, list[Change]]
    told: dict[str, list[tuple[float, int]]]

    def told_away(self, tap: str, node: int, since: float) -> float | None:
        """When a co-ordinator was first told that a node is away, of an absence that began at `since`; None if it
        never was."""
        away = next((c for c in self.changes.get(node, []) if c.away and c.t >= since), None)
        if away is None:
            return None
        return next((t for t, index in self.told.get(tap, []) if index >= away.order), None)


@dataclass
class Day:
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
        return float(next(r["at"] for r in self.director if r["kind"] == "began"))


def _lines(path: Path) -> tuple[list[Record], int]:
    out, torn = [], 0
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                out.append(json.loads(line))
            except ValueError:
                torn += 1
    return out, torn


def asked(data: bytes) -> list[Part]:
    """The parts that the bytes of a call ask for."""
    chunks = iter((data, b""))
    reader = http1.Reader(lambda most: next(chunks), http1.Limits(1 << 16, 1 << 26))
    request = reader.request()
    body = snappy.decompress(reader.body(request.headers), 1 << 26)
    queries = remote_read.read_request(body, 1 << 16, 1 << 10).queries
    return [Part(query.start_ms, name) for query in queries for name in _tiles(query)]


def _tiles(query: Query) -> list[str]:
    """The tile of a part, or the tiles of a subtree, which names them with bars between."""
    if name := tile_of(query):
        return [name]
    pattern = next((m.value for m in query.matchers if m.name == "tile" and m.kind is Match.REGEX), "")
    return pattern.replace("\\", "").split("|") if pattern else []


def load(folder: Path) -> Day:
    """All records of a day, linked."""
    facts = json.loads((folder / "facts.json").read_text())
    director, torn = _lines(folder / "director.jsonl")
    clients, more = _lines(folder / "clients.jsonl")
    nodes: list[Record] = []
    for path in sorted(folder.glob("nodes*.jsonl")):
        found, most = _lines(path)
        nodes += found
        torn += most
    nodes.sort(key=lambda r: float(r["t"]))
    torn += more
    vector_ports: list[int] = next((r["ports"] for r in director if r["kind"] == "vector_ports"), [])
    agent_ports: list[int] = next((r["ports"] for r in director if r["kind"] == "agents"), [])
    heard_of: dict[
        tuple[int, int], str
    ] = {}  # an agent and the port of a co-ordinator's connection to it: its tap
    node_of = {port: n for r in director if r["kind"] == "ports" for n, port in enumerate(r["ports"])}
    sends: list[Send] = []
    branches: list[Branch] = []
    heard: dict[str, list[Record]] = {}
    exchanged: dict[str, int] = {}
    for launch in [r for r in director if r["kind"] == "launched"]:
        records, more = _lines(folder / launch["tap"])
        torn += more
        heard[launch["tap"]] = [r for r in records if r["kind"] in ("request", "reply")]
        exchanged[launch["tap"]] = sum(r["bytes"] for r in records if r["kind"] == "got") + sum(
            len(r["data"]) * 3 // 4 for r in records if r["kind"] == "call"
        )
        for r in records:
            if r["kind"] != "call":
                continue
            if r["far"] in vector_ports:
                continue
            if r["far"] in agent_ports:
                heard_of[agent_ports.index(r["far"]), r["near"]] = launch["tap"]
                continue
            parts = asked(base64.b64decode(r["data"]))
            if r["far"] in node_of:
                sends.append(
                    Send(r["t"], launch["coordinator"], launch["tap"], node_of[r["far"]], r["near"], parts)
                )
            else:
                branches.append(Branch(r["t"], launch["tap"], r["near"], r["far"], tuple(parts), r["t"], ""))
    sends.sort(key=lambda s: s.t)
    body = folder / "bodies.bin"
    day = Day(
        facts,
        director,
        [r for r in clients if r["kind"] == "try"],
        [r for r in clients if r["kind"] == "demand"],
        nodes,
        sends,
        body.read_bytes() if body.exists() else b"",
        _link_branches(branches, heard, director),
        exchanged,
        _catalogue(folder, heard_of) if agent_ports else None,
        torn,
    )
    _link_nodes(day)
    _link_replies(day, heard)
    for send in sends:
        for part in send.parts:
            day.by_part.setdefault(part, []).append(send)
    return day


def _catalogue(folder: Path, taps: dict[tuple[int, int], str]) -> Catalogue:
    found, _ = _lines(folder / "consul.jsonl")
    out = Catalogue(defaultdict(list), defaultdict(list))
    for record in found:
        if record["kind"] == "change" and record["service"][:1] == "n":
            away = not record["here"] or "drain" in record["meta"] or "critical" in record["checks"].values()
            out.changes[int(record["service"][1:])].append(Change(record["t"], record["index"], away))
        elif record["kind"] == "told" and record["service"] == "grid":
            if tap := taps.get((record["agent"], record["peer"])):
                out.told[tap].append((record["t"], record["index"]))
    return out


def _link_branches(
    branches: list[Branch],
    heard: dict[str, list[Record]],
    director: list[Record],
) -> list[Branch]:
    """Each subtree with the moment at which the child had read it: the first request on that connection after it."""
    taps: dict[int, list[str]] = defaultdict(list)
    for launch in [r for r in director if r["kind"] == "launched"]:
        taps[launch["port"]].append(launch["tap"])
    requests: dict[tuple[str, int], list[float]] = defaultdict(list)
    for tap, records in heard.items():
        for record in records:
            if record["kind"] == "request":
                requests[tap, record["far"]].append(record["t"])
    out = []
    for branch in sorted(branches, key=lambda b: b.t):
        for tap in taps[branch.far]:
            later = [at for at in requests[tap, branch.near] if at >= branch.t]
            if later:
                requests[tap, branch.near].remove(min(later))
                branch = branch._replace(read=min(later), child=tap)
                break
        out.append(branch)
    return out


def ends_of(nodes: list[Record]) -> dict[tuple[int, int], Record]:
    """How each node ended each call, from what the nodes recorded."""
    kinds = ("done", "lost", "dropped", "failed", "rejected")
    return {(r["node"], r["call"]): r for r in nodes if "call" in r and r["kind"] in kinds}


def _link_nodes(day: Day) -> None:
    """Each request that a node read belongs to the latest call that had left on that connection."""
    day.ends = ends_of(day.nodes)
    by_ends: dict[tuple[int, int], list[Send]] = defaultdict(list)
    for send in day.sends:
        by_ends[send.node, send.near].append(send)
    for record in day.nodes:
        if "peer" in record:
            sent = by_ends.get((record["node"], record["peer"]), [])
            at = bisect.bisect_right(sent, record["t"], key=lambda s: s.t) - 1
            if at >= 0 and sent[at].took is None:
                sent[at].took = record


def _link_replies(day: Day, heard: dict[str, list[Record]]) -> None:
    """What the co-ordinator's end of each try's connection saw: when it had read it, and each reply it wrote."""
    by_port: dict[tuple[int, int], list[Record]] = defaultdict(list)
    launches: dict[int, list[tuple[float, str]]] = defaultdict(list)
    for launch in [r for r in day.director if r["kind"] == "launched"]:
        launches[launch["coordinator"]].append((launch["t"], launch["tap"]))
    for tap, records in heard.items():
        index = next(c for c, found in launches.items() if any(t == tap for _, t in found))
        for record in records:
            by_port[index, record["far"]].append(record | {"tap": tap})
    for found in by_port.values():
        found.sort(key=lambda r: r["t"])
    for record in day.tries:
        seen = by_port.get((record["coordinator"], record.get("port", -1)), [])
        at = bisect.bisect_left(seen, record["sent"], key=lambda r: r["t"])
        record["replies"] = []
        for later in seen[at:]:
            if later["kind"] == "request":
                if "read" in record:
                    break
                record["read"], record["tap"] = later["t"], later["tap"]
            else:
                record["replies"].append(later["t"])
