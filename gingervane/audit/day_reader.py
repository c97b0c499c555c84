"""Reads the folder with the records of a scenario run (a day).

`facts.json` holds the parameters of the run: query classes, limits of the rules, the nodes' capacity model
and when nodes were down. `director.jsonl` holds the actions of the scenario runner, `clients.jsonl` each
client attempt, `nodes*.jsonl` each request that a node read, `consul.jsonl` the changes and answers of the
fake Consul, and `tap-*.jsonl` the bytes sent and received on each co-ordinator's sockets. A process that is
killed may leave an incomplete line, which is skipped and counted.
"""

from __future__ import annotations

import base64
import json
from collections import defaultdict
from pathlib import Path

from gingervane.audit.linking import link_nodes, link_replies, link_subtree_requests
from gingervane.audit.records import Catalogue, Change, Day, Part, Record, Send, SubtreeRequest
from gingervane.fake_servers.data import tile_of
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.remote_read import Match, Query

_MAX_HEAD = 1 << 16  # bytes of a request's head
_MAX_BODY = 1 << 26  # bytes of a request's body, both compressed and decompressed
_MAX_QUERIES = 1 << 16  # per request
_MAX_MATCHERS = 1 << 10  # per query


def load(folder: Path) -> Day:
    """Read all records of a day and link those of the two ends of each connection."""
    facts = json.loads((folder / "facts.json").read_text())
    director, torn = read_lines(folder / "director.jsonl")
    clients, torn_clients = read_lines(folder / "clients.jsonl")
    nodes, torn_nodes = _node_records(folder)
    taps = _TapReader(folder, director)
    bodies = folder / "bodies.bin"
    day = Day(
        facts=facts,
        director=director,
        tries=[r for r in clients if r["kind"] == "try"],
        demands=[r for r in clients if r["kind"] == "demand"],
        nodes=nodes,
        sends=sorted(taps.sends, key=lambda s: s.t),
        bodies=bodies.read_bytes() if bodies.exists() else b"",
        subtree_requests=link_subtree_requests(taps.subtree_requests, taps.front_records, director),
        exchanged=taps.exchanged,
        catalogue=_catalogue(folder, taps.agent_connections) if taps.has_agents else None,
        torn=torn + torn_clients + torn_nodes + taps.torn,
    )
    link_nodes(day)
    link_replies(day, taps.front_records)
    for send in day.sends:
        for part in send.parts:
            day.by_part.setdefault(part, []).append(send)
    return day


def read_lines(path: Path) -> tuple[list[Record], int]:
    """Read the records of a file and count the lines that cannot be parsed; a missing file has none."""
    return parse_lines(path.read_text()) if path.exists() else ([], 0)


def parse_lines(text: str) -> tuple[list[Record], int]:
    """Parse one JSON record per line and count the lines that cannot be parsed."""
    records: list[Record] = []
    torn = 0
    for line in text.splitlines():
        try:
            records.append(json.loads(line))
        except ValueError:
            torn += 1
    return records, torn


def requested_parts(data: bytes) -> list[Part]:
    """Decode a batch request or subtree request and list the parts that it requests."""
    chunks = iter((data, b""))
    reader = http1.Reader(lambda _: next(chunks), http1.Limits(_MAX_HEAD, _MAX_BODY))
    request = reader.request()
    body = snappy.decompress(reader.body(request.headers), _MAX_BODY)
    queries = remote_read.read_request(body, _MAX_QUERIES, _MAX_MATCHERS).queries
    return [Part(query.start_ms, name) for query in queries for name in _tiles(query)]


def _tiles(query: Query) -> list[str]:
    """List the tile of a part, or those of a subtree, whose matcher is a regex of tiles separated by `|`."""
    if name := tile_of(query):
        return [name]
    pattern = next((m.value for m in query.matchers if m.name == "tile" and m.kind is Match.REGEX), "")
    return pattern.replace("\\", "").split("|") if pattern else []


def _node_records(folder: Path) -> tuple[list[Record], int]:
    """Read the records of all node processes in order of time and count the torn lines."""
    records: list[Record] = []
    torn = 0
    for path in sorted(folder.glob("nodes*.jsonl")):
        file_records, file_torn = read_lines(path)
        records += file_records
        torn += file_torn
    records.sort(key=lambda r: float(r["t"]))
    return records, torn


class _TapReader:
    """Reads the taps of all co-ordinator processes and classifies each call by the kind of its peer."""

    def __init__(self, folder: Path, director: list[Record]) -> None:
        self.sends: list[Send] = []
        self.subtree_requests: list[SubtreeRequest] = []
        self.front_records: dict[str, list[Record]] = {}  # client requests and the replies to them, by tap
        self.exchanged: dict[str, int] = {}  # bytes, by tap
        # (number of the Consul agent, local port of the co-ordinator's connection to it) -> tap
        self.agent_connections: dict[tuple[int, int], str] = {}
        self.torn = 0
        self._vector_ports = _ports(director, "vector_ports")
        self._agent_ports = _ports(director, "agents")
        self._node_of = {
            port: n for r in director if r["kind"] == "ports" for n, port in enumerate(r["ports"])
        }
        for launch in [r for r in director if r["kind"] == "launched"]:
            records, torn = read_lines(folder / launch["tap"])
            self.torn += torn
            self._read(launch, records)

    @property
    def has_agents(self) -> bool:
        """Whether the endpoint list came from Consul."""
        return bool(self._agent_ports)

    def _read(self, launch: Record, records: list[Record]) -> None:
        tap = launch["tap"]
        calls = [r for r in records if r["kind"] == "call"]
        self.front_records[tap] = [r for r in records if r["kind"] in ("request", "reply")]
        # The bytes of a call are base64 in its record.
        self.exchanged[tap] = sum(r["bytes"] for r in records if r["kind"] == "got") + sum(
            len(r["data"]) * 3 // 4 for r in calls
        )
        for call in calls:
            self._classify(launch, call)

    def _classify(self, launch: Record, call: Record) -> None:
        """Classify a call of a co-ordinator by the port that it was sent to."""
        tap, near, far = launch["tap"], call["near"], call["far"]
        if far in self._vector_ports:
            return
        if far in self._agent_ports:
            self.agent_connections[self._agent_ports.index(far), near] = tap
            return
        parts = requested_parts(base64.b64decode(call["data"]))
        if far in self._node_of:
            node = self._node_of[far]
            self.sends.append(Send(call["t"], launch["coordinator"], tap, node, near, parts))
        else:
            self.subtree_requests.append(
                SubtreeRequest(call["t"], tap, near, far, tuple(parts), call["t"], "")
            )


def _ports(director: list[Record], kind: str) -> list[int]:
    """Return the ports in the director's record of a kind; empty if there is no such record."""
    return next((r["ports"] for r in director if r["kind"] == kind), [])


def _catalogue(folder: Path, taps: dict[tuple[int, int], str]) -> Catalogue:
    """Read the changes of the catalogue and the notifications that co-ordinators received of them."""
    records, _ = read_lines(folder / "consul.jsonl")
    out = Catalogue(defaultdict(list), defaultdict(list))
    for record in records:
        if record["kind"] == "change" and record["service"][:1] == "n":
            unready = (
                not record["here"] or "drain" in record["meta"] or "critical" in record["checks"].values()
            )
            out.changes[int(record["service"][1:])].append(Change(record["t"], record["index"], unready))
        elif record["kind"] == "told" and record["service"] == "grid":
            if tap := taps.get((record["agent"], record["peer"])):
                out.notified[tap].append((record["t"], record["index"]))
    return out
