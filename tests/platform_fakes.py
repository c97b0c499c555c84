"""Fake replicas and a fake discovery that speak the platform's protocol, and a node that runs against
them."""

from __future__ import annotations

import contextlib
import hashlib
import json
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any, NamedTuple

from gingervane.coordinator.types import EndpointsUpdated
from gingervane.fronts.connections import ConnectionManager
from gingervane.node import config as configuration
from gingervane.node.service import Node

ROOT = Path(__file__).parents[1]
WAIT_TIMEOUT_SECONDS = 20.0  # seconds after which a wait fails its test


def cell_of(part: str) -> str:
    """The value of a part, the same on every replica."""
    return hashlib.blake2b(part.encode(), digest_size=8).hexdigest()


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Poll until the condition holds."""
    pause = threading.Event()
    for _ in range(int(WAIT_TIMEOUT_SECONDS / 0.005)):
        if condition():
            return
        pause.wait(0.005)
    raise AssertionError(f"timed out waiting for: {description}")


class Part(NamedTuple):
    id: str
    shard: int
    words: dict[str, str]
    text: bytes


class Waiter:
    """A list whose items a test can wait for."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self._change = threading.Condition()

    def put(self, item: Any) -> None:
        with self._change:
            self.items.append(item)
            self._change.notify_all()

    def wait(self, count: int = 1, matches: Callable[[Any], bool] = lambda item: True) -> list[Any]:
        """Wait until `count` items match; return all matching items so far."""
        with self._change:
            enough = self._change.wait_for(
                lambda: sum(map(matches, self.items)) >= count, WAIT_TIMEOUT_SECONDS
            )
            assert enough, f"timed out waiting for {count} items, got {self.items!r:.500}"
            return [item for item in self.items if matches(item)]


def start_node(config: Path) -> subprocess.Popen[str]:
    """Start a node in a process of its own; its log is read from `stderr`."""
    return subprocess.Popen(
        [sys.executable, "-m", "gingervane.node"],
        env={"NODE_CONFIG": str(config)},
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
    )


class MembershipRecorder(Waiter):
    """Records a watch's reports: items are updates, and for an interruption the seconds since the last
    line.

    A change of address is answered with a request for a call, as the decision engine does.
    """

    def __init__(self) -> None:
        super().__init__()
        self.address_changes: list[float] = []
        self.contact_changes: list[bool] = []
        self.request_watch: Callable[[], None] = lambda: None

    def endpoints_updated(self, update: EndpointsUpdated) -> None:
        self.put(update)

    def watch_interrupted(self, seconds_without_data: float) -> None:
        self.put(seconds_without_data)

    def discovery_address_changed(self, seconds_without_data: float) -> None:
        self.address_changes.append(seconds_without_data)
        self.request_watch()

    def discovery_contact_changed(self, is_waiting: bool) -> None:
        self.contact_changes.append(is_waiting)


class RecordedLog(Waiter):
    """A log that records its events: items are (event, fields)."""

    def __call__(self, event: str, **fields: Any) -> None:
        self.put((event, fields))

    def named(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in list(self.items) if name == event]


def read_until(stream: IO[str], event: str) -> str:
    """Return the next line with this event from a program's log."""
    for log_line in stream:
        if f"event={event} " in log_line + " " or f"event={event}\n" in log_line:
            return log_line
    raise AssertionError(f"the log ended without the event {event}")


class Wire:
    """The replica's side of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.lock = sock, threading.Lock()

    def raw(self, data: bytes) -> None:
        with self.lock, contextlib.suppress(OSError):
            self.sock.sendall(data)

    def answer(
        self,
        part: str,
        end: str = "served",
        score: int = 7,
        report: str = "-",
        value: bytes = b"",
    ) -> None:
        self.raw(answer(part, end, score, report, value))

    def reset(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()


def answer(part: str, end: str = "served", score: int = 7, report: str = "-", value: bytes = b"") -> bytes:
    rest = f"{part} {end} {score if end == 'served' else '-'} {report}\n".encode()
    rest += value or (cell_of(part).encode() if end == "served" else b"")
    return struct.pack("<I", 1 + len(rest)) + b"a" + rest


class Replica:
    """A fake replica: listens, and passes each part to `behave`, which answers it by default."""

    def __init__(self, cell: int, behave: Callable[[Wire, Part], None] | None = None) -> None:
        self.cell, self.behave = cell, behave or (lambda wire, part: wire.answer(part.id))
        self.parts, self.cancels, self.ended = Waiter(), Waiter(), Waiter()
        self.wires: list[Wire] = []
        self.reads = self.answers_probes = True
        self.reading = threading.Event()  # while cleared, received bytes stay unread
        self.reading.set()
        self.probes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                wire = Wire(sock)
                self.wires.append(wire)
                threading.Thread(target=self._serve, args=(wire,), daemon=True).start()

    def _serve(self, wire: Wire) -> None:
        data = bytearray()
        with contextlib.suppress(OSError):
            while (
                self.reads and self.reading.wait(WAIT_TIMEOUT_SECONDS) and (received := wire.sock.recv(65536))
            ):
                data += received
                while len(data) >= 4 and len(data) >= 4 + (length := struct.unpack_from("<I", data)[0]):
                    letter, rest = data[4:5], bytes(data[5 : 4 + length])
                    del data[: 4 + length]
                    if letter == b"p":
                        self.probes += 1
                        if self.answers_probes:
                            wire.raw(struct.pack("<I", 7) + b"pserved")
                    elif letter == b"c":
                        self.cancels.put(rest.decode())
                    else:
                        self._call(wire, rest)
        self.ended.put(wire)

    def _call(self, wire: Wire, rest: bytes) -> None:
        while rest:
            line, _, rest = rest.partition(b"\n")
            part, shard, words, size = line.decode().split(" ")
            text, rest = rest[: int(size)], rest[int(size) :]
            received_part = Part(part, int(shard), dict(w.split("=") for w in words.split(",")), text)
            self.parts.put(received_part)
            self.behave(wire, received_part)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # a thread blocked in accept would keep it open
        self._listener.close()
        for wire in self.wires:
            wire.sock.close()


class Discovery:
    """A fake discovery that answers each call with the current list and pushes changes to it."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts, self.version, self.watches = hosts, 1, Waiter()
        self._open: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                if not (head := sock.recv(4096).decode()):
                    continue  # the caller's process was killed
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._open.append(sock)
                self._push(sock, {"seq": self.version, "whole": True, "hosts": self.hosts})
                self.watches.put(head.split(" ")[1])

    @staticmethod
    def _push(sock: socket.socket, data: Any) -> None:
        line = data if isinstance(data, bytes) else json.dumps(data).encode() + b"\n"
        with contextlib.suppress(OSError):
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))

    def change(self, *hosts: dict[str, Any]) -> None:
        self.version += 1
        for sock in self._open:
            self._push(sock, {"seq": self.version, "whole": False, "hosts": list(hosts)})

    def push(self, line: bytes) -> None:
        for sock in self._open:
            self._push(sock, line)

    def close(self) -> None:
        self._listener.close()
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"


class ScriptedDiscovery:
    """A fake discovery whose test answers each call itself: `calls` has each call's socket and request
    target."""

    def __init__(self, port: int = 0) -> None:
        self.calls = Waiter()
        self._listener = socket.create_server(("127.0.0.1", port))
        self.where: tuple[str, int] = self._listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                if head := sock.recv(4096).decode():
                    self.calls.put((sock, head.split(" ")[1]))

    def sock(self, number: int) -> socket.socket:
        """Return the socket of a call, counted from 1."""
        sock: socket.socket = self.calls.wait(number)[number - 1][0]
        return sock

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock, _ in self.calls.items:
            sock.close()


def line(version: int, *hosts: dict[str, Any], whole: bool = True) -> bytes:
    return json.dumps({"seq": version, "whole": whole, "hosts": list(hosts)}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def endpoint_entry(name: str, dial: str, cell: int = 0, health: str = "SERVING") -> dict[str, Any]:
    """An entry of discovery's list."""
    return {
        "host": name,
        "dial": dial,
        "site": "a",
        "class": "m",
        "block": cell,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def host(replica: Replica, name: str = "", health: str = "SERVING") -> dict[str, Any]:
    return endpoint_entry(name or f"s-{replica.port}", f"127.0.0.1:{replica.port}", replica.cell, health)


SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Locality": 0,
    "Ordinal": 0,
    "GranularityS": 0.005,
    "MembershipMode": "ask",
    "Zones": ["a", "b"],
    "Classes": [
        {"Name": "look", "AimS": 2.0, "DeadlineS": 6.0, "Semantics": "safe", "LateWorth": 0.0},
        {"Name": "rank", "AimS": 2.0, "DeadlineS": 6.0, "Semantics": "safe", "LateWorth": 0.0},
        {"Name": "book", "AimS": 2.0, "DeadlineS": 6.0, "Semantics": "unsafe", "LateWorth": 0.0},
    ],
    "Extra": {
        "ClassFetch": [0, 2, 0],
        "MinShare": [1.0] * 3,
        "WholeAt": [1.0] * 3,
        "ShortWorth": [1.0] * 3,
        "PerCall": 1,
        "Sets": 1,
        "Shards": 4,
        "Width": 1,
    },
    "Limits": {
        "Cancelling": True,
        "ConnIdleS": 15.0,
        "ConnectTimeoutS": 0.25,
        "MaxRetryAfterS": 0.5,
        "Peers": False,
        "RetryAfter": True,
        "SecondCopies": True,
        "SendCap": 3,
        "StreamsPerConn": 32,
    },
    "Rules": {"RampTimeS": 1.0, "StartCapacity": 0.2, "FallS": 1.5, "TipMultiple": 4.0},
}


class Platform:
    """Discovery, two replicas that hold all shards, and one node whose cached list has both from the
    start."""

    def __init__(
        self,
        folder: Path,
        *replicas: Replica,
        sockets: int = 256,
        settings: Any = SETTINGS,
        where: tuple[str, int] | None = None,
        cached: bool = True,
    ) -> None:
        """`where`: the address of a discovery that the test runs itself. `cached`: whether the configuration
        has a list."""
        self.cached = cached
        self.replicas = replicas or (Replica(0), Replica(0))
        self.discovery = Discovery([host(r) for r in self.replicas])
        self.path, self.settings, self.sockets = folder / "config.json", settings, sockets
        self.configure(self.discovery if where is None else f"{where[0]}:{where[1]}")
        self.node = Node(self.path, configuration.read_config(self.path))
        self.node.start()
        if where is None:
            self.discovery.watches.wait()

    def configure(self, discovery: Discovery | str) -> None:
        address = discovery if isinstance(discovery, str) else discovery.address
        cached_list = {"seq": 0, "whole": True, "hosts": [host(r) for r in self.replicas]}
        known = {"known": cached_list} if self.cached else {}
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": address,
                    "seed": "5",
                    "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": self.sockets},
                    "settings": self.settings,
                    **known,
                }
            )
        )

    def client(self) -> socket.socket:
        return socket.create_connection(self.node.server.address, WAIT_TIMEOUT_SECONDS)

    def ask(
        self,
        name: str,
        tablets: dict[int, float],
        path: str = "/look",
        sock: socket.socket | None = None,
        timeout_ms: int = 6000,
    ) -> tuple[int, dict[str, str], Any]:
        """Send one query and return its answer, on a new connection unless `sock` is given."""
        connection = sock or self.client()
        connection.sendall(query(name, tablets, path, timeout_ms))
        result = reply(connection)
        if sock is None:
            connection.close()
        return result

    def close(self) -> None:
        self.node.end()
        self.node.telemetry.stop()
        self.discovery.close()
        for replica in self.replicas:
            replica.close()


def connections_of(platform: Platform) -> ConnectionManager:
    return platform.node.server._connections


def query(name: str, tablets: dict[int, float], path: str = "/look", timeout_ms: int = 6000) -> bytes:
    parts = [{"tablet": shard, "fraction": weight} for shard, weight in tablets.items()]
    return request(name, json.dumps({"tablets": parts, "statement": "c41e"}), path, timeout_ms)


def request(name: str, text: str, path: str = "/look", timeout_ms: int = 6000) -> bytes:
    body = text.encode()
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reply(sock: socket.socket) -> tuple[int, dict[str, str], Any]:
    """Read one answer; return its status, fields and body. The status is 0 if the connection ends without
    one."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            received = sock.recv(65536)
        except ConnectionError:
            received = b""
        if not received:
            return 0, {}, None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
    while len(body) < int(fields["content-length"]):
        body += sock.recv(65536)
    is_json = fields.get("content-type") == "application/json"
    return int(lines[0].split(" ")[1]), fields, json.loads(body) if is_json else body.decode()
