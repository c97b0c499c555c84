"""A fake grid node: remote read over its tiles, with a capacity model and faults; and a ring of such nodes."""

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

_MAX_QUERIES = 4096  # in a request
_MAX_MATCHERS = 64  # in a query
_WRONG_TIME_SHIFT = data.STEP_MS * 10_000  # milliseconds by which a reply with the wrong time is off
_FALSE_SIZE = 1 << 31  # bytes that a block claims which lies about its size
_DRIBBLE_WRITES = 20  # a second, of a reply that dribbles


class GridNode(FakeServer):
    """One grid node."""

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
        """Do the work of a request and reply, as far as the faults allow."""
        now = time.monotonic()
        tiles = [self._tiles_of(query) for query in queries]
        call = self._next_call()
        asked = [
            [tile, q.start_ms, q.end_ms] for found, q in zip(tiles, queries, strict=True) for tile in found
        ]
        wanted = {tile for found in tiles for tile in found}
        # `peer`: the port at the co-ordinator's end, by which both ends' records are matched.
        note = {"node": self.id, "call": call, "peer": sock.getpeername()[1], "asked": asked}
        if self._is_silent(now):
            self._recorder.put("unheard", **note)
            self._hold(sock)
            return False
        if wanted - self.tiles:
            self._recorder.put("misdirected", **note)
            return self._send(sock, 421, b"not a tile of this node")
        if self.schedule.strikes("fail_fast", now):
            self._recorder.put("failed", **note)
            return self._send(sock, 500, b"failing fast")
        job = self._queue(now, len(wanted))
        if job is None:
            self._recorder.put("rejected", **note)
            return self._send(sock, 503, b"queue full; not begun", QUEUE_FULL_FIELDS)
        self._recorder.put("taken", **note)
        if not self._work(sock, job):
            self._recorder.put("dropped", node=self.id, call=call)
            return False
        if self._never_answers(now):
            self._recorder.put("lost", node=self.id, call=call)
            self._hold(sock)
            return False
        self._recorder.put("done", node=self.id, call=call)
        self.served += len(wanted)
        return self._reply(sock, self._reply_body(queries, tiles, now), now)

    def _tiles_of(self, query: Query) -> list[str]:
        """Find the tiles that a query asks of this node: the one it names, or all here that it matches."""
        if named := data.tile_of(query, self.label):
            return [named]
        own = [m for m in query.matchers if m.name == self.label]
        return sorted(tile for tile in self.tiles if all(matches(m, tile) for m in own))

    def _reply_body(self, queries: tuple[Query, ...], tiles: list[list[str]], now: float) -> bytes:
        """Encode the results, or what the faults make of them."""
        strikes = self.schedule.strikes
        if strikes("wrong_tile", now):
            tiles = [[f"not-{tile}" for tile in found] for found in tiles]
        shift = _WRONG_TIME_SHIFT if strikes("wrong_time", now) else 0
        results = []
        for query, found in zip(queries, tiles, strict=True):
            # As the tile asked for would: only what the answer says of itself is wrong.
            asked = query._replace(
                matchers=tuple(m for m in query.matchers if m.name != self.label),
                start_ms=query.start_ms + shift,
                end_ms=query.end_ms + shift,
            )
            series = [one for tile in found for one in data.answer(tile, asked, self.label)]
            results.append(sorted(series, key=lambda one: one.labels))
        if strikes("few_results", now):
            results = results[:-1]
        body = snappy.compress(remote_read.write_response(results))
        if strikes("snappy_lies", now):
            body = encode_varint(_FALSE_SIZE) + body[3:]
        return body

    def _reply(self, sock: socket.socket, body: bytes, now: float) -> bool:
        """Send a reply, or as much and as fast as the faults let through."""
        fields = [("Content-Type", "application/x-protobuf"), ("Content-Encoding", "snappy")]
        reply = http1.encode_response(200, fields, body)
        half = len(reply) - max(len(body) // 2, 1)
        sock.settimeout(30.0)
        if self.schedule.strikes("reset_mid_body", now):
            sock.sendall(reply[:half])
            self._reset_on_close(sock)
            return False
        if self.schedule.strikes("short_body", now):
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
        """Send at a rate in bytes a second."""
        step = max(int(rate / _DRIBBLE_WRITES), 1)
        for at in range(0, len(reply), step):
            sock.sendall(reply[at : at + step])
            if self._stop.wait(1 / _DRIBBLE_WRITES):
                return False
        return True


class FakeGrid:
    """A ring of nodes over tiles: node i starts at cell i and holds `width` cells, in zones by turns."""

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
        """Start the nodes. `only`: those of the ring that this process runs; all of them if left out."""
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
        """Where the nodes of this process listen."""
        return [node.address for node in self.nodes]

    def zone(self, node: int) -> str:
        """Name the zone of a node."""
        return self.zones[node % len(self.zones)]

    def list_text(self, states: dict[int, str] | None = None, started: dict[int, float] | None = None) -> str:
        """Give the server list as a list file has it; `started` in Unix time."""
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
