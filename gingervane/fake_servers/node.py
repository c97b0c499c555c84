"""A stand-in grid node: remote read over its tiles, with a capacity model and faults.

Many nodes live in one process. Owners: each node has a thread that accepts (and ends its connections when the node
goes down) and one for each connection; its capacity and schedule are touched under its lock, never over I/O.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import struct
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from gingervane.fronts.shard_matching import matches
from gingervane.fake_servers import data
from gingervane.fake_servers.capacity import Capacity, Job, Model
from gingervane.fake_servers.faults import Fault, FaultError, Schedule
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Closed, HttpError, Limits, Request
from gingervane.wire.protobuf import ProtobufError, varint
from gingervane.wire.remote_read import Query

MODEL = Model()
_LIMITS = Limits(16384, 16 << 20)
_RESET = struct.pack("ii", 1, 0)


class Recorder:
    """What passed at the stand-ins' socket ends: a JSON object a line, times on the monotonic clock."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a") if path else None
        self._lock = threading.Lock()

    def put(self, kind: str, **fields: Any) -> None:
        if self._file:
            line = json.dumps({"t": time.monotonic(), "kind": kind, **fields}, separators=(",", ":"))
            with self._lock:
                self._file.write(line + "\n")

    def close(self) -> None:
        if self._file:
            with self._lock:
                self._file.close()
            self._file = None


class Node:
    """One grid node on a loopback port. It starts warm unless told when it started."""

    def __init__(
        self,
        number: int,
        tiles: Iterable[str],
        model: Model = MODEL,
        faults: Iterable[Fault] = (),
        recorder: Recorder | None = None,
        label: str = "tile",
        started_at: float = 0.0,
    ) -> None:
        self.id, self.tiles, self.label = number, frozenset(tiles), label
        self.schedule = Schedule(faults, number)
        self.model, self._recorder = model, recorder or Recorder(None)
        self._capacity = Capacity(model, started_at)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._stop = threading.Event()
        self._calls = 0
        self.served = 0  # parts answered
        self._thread = threading.Thread(target=self._run, name=f"node-{number}", daemon=True)

    def start(self) -> Node:
        self._thread.start()
        return self

    def stop(self) -> None:
        self._stop.set()
        self._cut()
        self._listener.close()
        self._thread.join(5.0)

    @property
    def fallen(self) -> bool:
        return self._capacity.fallen

    def fault(
        self, kind: str, seconds: float, size: float = 1.0, delay: float = 0.0, how: str = "crash"
    ) -> None:
        """Schedule a fault from now on."""
        with self._lock:
            self.schedule.add(Fault(kind, time.monotonic() + delay, seconds, size, how))

    # ---- life

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._listener, select.POLLIN)
        while not self._stop.is_set():
            if down := self.schedule.down(time.monotonic()):
                self._go_down(*down)
                poll = select.poll()
                if not self._stop.is_set():
                    poll.register(self._listener, select.POLLIN)
                continue
            if not poll.poll(20):
                continue
            with contextlib.suppress(OSError):
                sock, _ = self._listener.accept()
                with self._lock:
                    self._connections.add(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _go_down(self, until: float, how: str) -> None:
        """Crashed: ports closed, connections reset. Vanished: nothing moves. Cold afterwards."""
        self._recorder.put("down", node=self.id, until=until, how=how)
        if how == "crash":
            self._listener.close()
            self._cut()
        while time.monotonic() < until and not self._stop.wait(0.005):
            pass
        if how == "vanish":
            self._cut()
        if self._stop.is_set():
            return
        with self._lock:
            self._capacity = Capacity(self.model, time.monotonic())
        if how == "crash":
            self._listener = socket.create_server(self.address, backlog=512)
        self._recorder.put("up", node=self.id)

    def _cut(self) -> None:
        with self._lock:
            connections, self._connections = self._connections, set()
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RDWR)

    # ---- one connection

    def _serve(self, sock: socket.socket) -> None:
        last = time.monotonic()

        def receive(most: int) -> bytes:
            sock.settimeout(60.0)
            return sock.recv(most)

        reader = http1.Reader(receive, _LIMITS)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while not self._stop.is_set():
                request = reader.request()
                now = time.monotonic()
                reap = self.schedule.find("idle_reap", now)
                if reap and now - last > reap.size:
                    self._hold(sock)  # dropped unseen by something in between: silence
                    return
                body = reader.body(request.headers)
                if not self._answer(sock, request, body):
                    return
                last = time.monotonic()
        except HttpError as error:
            with contextlib.suppress(OSError):
                sock.sendall(http1.response(error.status, [("Connection", "close")], error.what.encode()))
        except (OSError, Closed):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _hold(self, sock: socket.socket) -> None:
        """Say nothing until the other side gives up."""
        with contextlib.suppress(OSError):
            sock.settimeout(120.0)
            while sock.recv(65536):
                pass

    def _answer(self, sock: socket.socket, request: Request, body: bytes) -> bool:
        """Answer one request; False if the connection is of no more use."""
        if request.target == "/control":
            return self._control(sock, body)
        if request.target.partition("?")[0] != "/api/v1/read" or request.method != "POST":
            return self._send(sock, 404, b"no such page")
        try:
            queries = remote_read.read_request(snappy.decompress(body, _LIMITS.body), 4096, 64).queries
        except (ProtobufError, snappy.SnappyError) as error:
            return self._send(sock, 400, str(error).encode())
        now = time.monotonic()
        tiles = [self._tiles_of(query) for query in queries]
        with self._lock:
            self._calls += 1
            call = self._calls
        asked = [
            [tile, q.start_ms, q.end_ms] for found, q in zip(tiles, queries, strict=True) for tile in found
        ]
        wanted = {tile for found in tiles for tile in found}
        # `peer`: the port at the co-ordinator's end, by which both ends' records are matched.
        note = {"node": self.id, "call": call, "peer": sock.getpeername()[1], "asked": asked}
        if self.schedule.find("say_nothing", now) or self._silent(now):
            self._recorder.put("unheard", **note)
            self._hold(sock)
            return False
        if wanted - self.tiles:
            self._recorder.put("misdirected", **note)
            return self._send(sock, 421, b"not a tile of this node")
        if self.schedule.strikes("fail_fast", now):
            self._recorder.put("failed", **note)
            return self._send(sock, 500, b"failing fast")
        with self._lock:
            job = None
            if not self.schedule.strikes("reject", now):
                job = self._capacity.take(now, len(wanted), self.schedule.slowness(now))
            if self._capacity.fallen:
                self._recorder.put("fell", node=self.id)
                self.schedule.add(Fault("vanish", now, 1e6))
        if job is None:
            self._recorder.put("rejected", **note)
            fields = (("Retry-After", "1"), ("Gingervane-Began", "no"))
            return self._send(sock, 503, b"queue full; not begun", fields)
        self._recorder.put("taken", **note)
        if not self._work(sock, job):
            self._recorder.put("dropped", node=self.id, call=call)
            return False
        if self.schedule.hangs(now) or self.schedule.strikes("lose_answers", now):
            self._recorder.put("lost", node=self.id, call=call)
            self._hold(sock)
            return False
        self._recorder.put("done", node=self.id, call=call)
        self.served += len(wanted)
        return self._reply(sock, queries, tiles, now)

    def _tiles_of(self, query: Query) -> list[str]:
        """The tiles that a query asks of this node: the one it names, or all here that it matches."""
        if named := data.tile_of(query, self.label):
            return [named]
        mine = [m for m in query.matchers if m.name == self.label]
        return sorted(tile for tile in self.tiles if all(matches(m, tile) for m in mine))

    def _silent(self, now: float) -> bool:
        down = self.schedule.down(now)
        return down is not None and down[1] == "vanish"

    def _work(self, sock: socket.socket, job: Job) -> bool:
        """Let the job's time pass; False if the other side left or the node went down meanwhile."""
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        end = job.end
        while (now := time.monotonic()) < (end := max(end, self.schedule.still_until(now))):
            if poll.poll(min(end - now, 0.1) * 1000) or self.schedule.down(time.monotonic()):
                with self._lock:
                    self._capacity.drop(job, time.monotonic())
                return False
        return True

    def _reply(
        self, sock: socket.socket, queries: tuple[Query, ...], tiles: list[list[str]], now: float
    ) -> bool:
        strikes = self.schedule.strikes
        if strikes("wrong_tile", now):
            tiles = [[f"not-{tile}" for tile in found] for found in tiles]
        shift = data.STEP_MS * 10_000 if strikes("wrong_time", now) else 0
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
            body = varint(1 << 31) + body[3:]
        fields = [("Content-Type", "application/x-protobuf"), ("Content-Encoding", "snappy")]
        whole = http1.response(200, fields, body)
        half = len(whole) - max(len(body) // 2, 1)
        sock.settimeout(30.0)
        if strikes("reset_mid_body", now):
            sock.sendall(whole[:half])
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return False
        if strikes("short_body", now):
            sock.sendall(whole[:half])
            return False
        if pause := self.schedule.find("pause_mid_reply", now):
            sock.sendall(whole[:half])
            self._stop.wait(pause.size)
            whole = whole[half:]
        if dribble := self.schedule.find("dribble", now):
            step = max(int(dribble.size / 20), 1)
            for at in range(0, len(whole), step):
                sock.sendall(whole[at : at + step])
                if self._stop.wait(0.05):
                    return False
            return True
        sock.sendall(whole)
        return True

    def _control(self, sock: socket.socket, body: bytes) -> bool:
        """A fault as JSON: kind, seconds, and where they matter size, delay and how."""
        try:
            order = json.loads(body)
            self.fault(**order)
        except (ValueError, TypeError, FaultError) as error:
            return self._send(sock, 400, str(error).encode())
        return self._send(sock, 200, b"scheduled")

    def _send(
        self,
        sock: socket.socket,
        status: int,
        body: bytes,
        fields: tuple[tuple[str, str], ...] = (),
    ) -> bool:
        sock.settimeout(30.0)
        sock.sendall(http1.response(status, [("Content-Type", "text/plain"), *fields], body + b"\n"))
        return True


class FakeGrid:
    """A ring of nodes over tiles: node i starts at cell i and holds `width` cells, in zones by turns."""

    def __init__(
        self,
        nodes: int,
        tiles: int,
        zones: tuple[str, ...],
        width: int = 3,
        model: Model = MODEL,
        recorder: Recorder | None = None,
        schedule: dict[int, list[Fault]] | None = None,
        only: Iterable[int] | None = None,
    ) -> None:
        """`only`: the nodes of the ring that this process runs; all of them if left out."""
        self.zones, self.cells, self.width = zones, nodes, width
        self.tiles = [f"t{i:03d}" for i in range(tiles)]
        self.nodes = [
            Node(
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
        return [node.address for node in self.nodes]

    def zone(self, node: int) -> str:
        return self.zones[node % len(self.zones)]

    def list_text(self, states: dict[int, str] | None = None, started: dict[int, float] | None = None) -> str:
        """The server list as a list file has it; `started` in Unix time."""
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
        for node in self.nodes:
            node.stop()


def list_row(
    number: int,
    address: str,
    zone: str,
    cell: int,
    state: str,
    started: float | None,
    table: str = "node",
    name: str = "",
) -> str:
    """One [[node]] or [[coordinator]] of a list file."""
    name = name or f"n{number}"
    row = f'[[{table}]]\nid = {number}\nname = "{name}"\naddress = "{address}"\nzone = "{zone}"\n'
    row += f'cell = {cell}\nstate = "{state}"\n'
    return row + (f"started = {started:.3f}\n" if started is not None else "")


def write_list(path: Path, text: str) -> None:
    """Replace a list file in one step, so that no reader meets half of it."""
    part = path.with_suffix(".part")
    part.write_text(text)
    part.replace(path)
