"""A fake grid node, which answers remote reads of its tiles, and a ring of such nodes."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterable

from gingervane.fake_servers import data
from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.fake_server import (
    DEFAULT_MODEL,
    QUEUE_FULL_FIELDS,
    REQUEST_LIMITS,
    FakeServer,
)
from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.recorder import Recorder
from gingervane.fake_servers.server_list import list_row
from gingervane.fronts.shard_matching import matches
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Request
from gingervane.wire.protobuf import ProtobufError, encode_varint
from gingervane.wire.remote_read import Query

_MAX_QUERIES = 4096  # per request
_MAX_MATCHERS = 64  # per query
_WRONG_TIME_SHIFT = data.STEP_MS * 10_000  # milliseconds by which the fault `wrong_time` shifts a reply
_FALSE_SIZE = 1 << 31  # bytes that a Snappy block claims with the fault `snappy_lies`
_DRIBBLE_WRITES = 20  # writes per second of a reply with the fault `dribble`


class GridNode(FakeServer):
    """One grid node with its tiles."""

    def __init__(
        self,
        number: int,
        tiles: Iterable[str],
        model: Model = DEFAULT_MODEL,
        faults: Iterable[Fault] = (),
        recorder: Recorder | None = None,
        label: str = "tile",
        started_at: float = 0.0,
    ) -> None:
        super().__init__(number, model, faults, recorder, started_at)
        self.tiles = frozenset(tiles)
        self.label = label

    def _answer(self, sock: socket.socket, request: Request, body: bytes) -> bool:
        if request.target == "/control":
            return self._control(sock, body)
        if request.target.partition("?")[0] != "/api/v1/read" or request.method != "POST":
            return self._send(sock, 404, b"no such page")
        try:
            unpacked = snappy.decompress(body, REQUEST_LIMITS.body)
            queries = remote_read.read_request(unpacked, _MAX_QUERIES, _MAX_MATCHERS).queries
        except (ProtobufError, snappy.SnappyError) as error:
            return self._send(sock, 400, str(error).encode())
        return self._execute(sock, queries)

    def _execute(self, sock: socket.socket, queries: tuple[Query, ...]) -> bool:
        """Execute a request and reply, subject to the faults."""
        now = time.monotonic()
        tiles = [self._tiles_of(query) for query in queries]
        call = self._next_call()
        parts = [
            [tile, q.start_ms, q.end_ms]
            for query_tiles, q in zip(tiles, queries, strict=True)
            for tile in query_tiles
        ]
        distinct_tiles = {tile for query_tiles in tiles for tile in query_tiles}
        # `peer` is the port at the co-ordinator's end, by which the records of both ends are matched.
        record_fields = {"node": self.id, "call": call, "peer": sock.getpeername()[1], "asked": parts}
        if self._is_unresponsive(now):
            self._recorder.put("unheard", **record_fields)
            self._wait_for_close(sock)
            return False
        if distinct_tiles - self.tiles:
            self._recorder.put("misdirected", **record_fields)
            return self._send(sock, 421, b"not a tile of this node")
        if self.schedule.affects_request("fail_fast", now):
            self._recorder.put("failed", **record_fields)
            return self._send(sock, 500, b"failing fast")
        job = self._queue(now, len(distinct_tiles))
        if job is None:
            self._recorder.put("rejected", **record_fields)
            return self._send(sock, 503, b"queue full; not begun", QUEUE_FULL_FIELDS)
        self._recorder.put("taken", **record_fields)
        if not self._work(sock, job):
            self._recorder.put("dropped", node=self.id, call=call)
            return False
        if self._never_answers(now):
            self._recorder.put("lost", node=self.id, call=call)
            self._wait_for_close(sock)
            return False
        self._recorder.put("done", node=self.id, call=call)
        self.served += len(distinct_tiles)
        return self._reply(sock, self._reply_body(queries, tiles, now), now)

    def _tiles_of(self, query: Query) -> list[str]:
        """Return the tile that a query selects by equality, or else all matching tiles of this node."""
        if named := data.tile_of(query, self.label):
            return [named]
        tile_matchers = [m for m in query.matchers if m.name == self.label]
        return sorted(tile for tile in self.tiles if all(matches(m, tile) for m in tile_matchers))

    def _reply_body(self, queries: tuple[Query, ...], tiles: list[list[str]], now: float) -> bytes:
        """Encode the results, altered by the faults that are active."""
        affects_request = self.schedule.affects_request
        if affects_request("wrong_tile", now):
            tiles = [[f"not-{tile}" for tile in query_tiles] for query_tiles in tiles]
        shift = _WRONG_TIME_SHIFT if affects_request("wrong_time", now) else 0
        results = []
        for query, query_tiles in zip(queries, tiles, strict=True):
            # The tile matchers are removed, so that a tile of the fault `wrong_tile` is answered like a
            # requested one.
            tile_query = query._replace(
                matchers=tuple(m for m in query.matchers if m.name != self.label),
                start_ms=query.start_ms + shift,
                end_ms=query.end_ms + shift,
            )
            all_series = [
                series for tile in query_tiles for series in data.answer(tile, tile_query, self.label)
            ]
            results.append(sorted(all_series, key=lambda series: series.labels))
        if affects_request("few_results", now):
            results = results[:-1]
        body = snappy.compress(remote_read.write_response(results))
        if affects_request("snappy_lies", now):
            body = encode_varint(_FALSE_SIZE) + body[3:]
        return body

    def _reply(self, sock: socket.socket, body: bytes, now: float) -> bool:
        """Send a reply, which faults may cut short, delay or slow down."""
        fields = [("Content-Type", "application/x-protobuf"), ("Content-Encoding", "snappy")]
        reply = http1.encode_response(200, fields, body)
        half = len(reply) - max(len(body) // 2, 1)
        sock.settimeout(30.0)
        if self.schedule.affects_request("reset_mid_body", now):
            sock.sendall(reply[:half])
            self._reset_on_close(sock)
            return False
        if self.schedule.affects_request("short_body", now):
            sock.sendall(reply[:half])
            return False
        if pause := self.schedule.find("pause_mid_reply", now):
            sock.sendall(reply[:half])
            self._stop.wait(pause.size)
            reply = reply[half:]
        if dribble := self.schedule.find("dribble", now):
            return self._dribble(sock, reply, dribble.size)
        sock.sendall(reply)
        return True

    def _dribble(self, sock: socket.socket, reply: bytes, rate: float) -> bool:
        """Send a reply at a rate in bytes per second."""
        step = max(int(rate / _DRIBBLE_WRITES), 1)
        for at in range(0, len(reply), step):
            sock.sendall(reply[at : at + step])
            if self._stop.wait(1 / _DRIBBLE_WRITES):
                return False
        return True


class FakeGrid:
    """A ring of nodes: node i holds the tiles of cell i and of the `width` - 1 cells before it.

    The nodes are assigned to the zones in rotation.
    """

    def __init__(
        self,
        nodes: int,
        tiles: int,
        zones: tuple[str, ...],
        width: int = 3,
        model: Model = DEFAULT_MODEL,
        recorder: Recorder | None = None,
        schedule: dict[int, list[Fault]] | None = None,
        only: Iterable[int] | None = None,
    ) -> None:
        """Start the nodes. `only`: the nodes of the ring that this process runs, all by default."""
        self.zones = zones
        self.cells = nodes
        self.width = width
        self.tiles = [f"t{i:03d}" for i in range(tiles)]
        self.nodes = [
            GridNode(
                i,
                [name for k, name in enumerate(self.tiles) if (i - k) % nodes < width],
                model,
                (schedule or {}).get(i, ()),
                recorder,
            ).start()
            for i in (range(nodes) if only is None else only)
        ]

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses of this process's nodes."""
        return [node.address for node in self.nodes]

    def zone(self, node: int) -> str:
        """Return the name of a node's zone."""
        return self.zones[node % len(self.zones)]

    def list_text(self, states: dict[int, str] | None = None, started: dict[int, float] | None = None) -> str:
        """Return the endpoint list in the form of a list file; `started` is in Unix time."""
        out = []
        for node in self.nodes:
            host, port = node.address
            out.append(
                list_row(
                    node.id,
                    f"{host}:{port}",
                    self.zone(node.id),
                    node.id,
                    (states or {}).get(node.id, "ready"),
                    (started or {}).get(node.id),
                )
            )
        return "\n".join(out)

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.stop()
