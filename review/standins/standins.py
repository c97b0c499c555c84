"""Stand-ins of the platform for the cases: replicas, discovery, a relay, clients, and the node as a process.

Standard library only. All of them listen on loopback and do what the protocol page says of a sound party.
Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import contextlib
import hashlib
import http.client
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
START = time.monotonic()


def now() -> float:
    return time.monotonic() - START


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{now():9.3f} {text}\n")
            self._file.flush()


def value_of(replica: str, part: str) -> str:
    """The value that a replica makes for a part: it names its maker, so that foreign values are seen."""
    return hashlib.blake2b(f"{replica}/{part}".encode(), digest_size=8).hexdigest()


class Replica:
    """A replica of the platform. `service_time`: seconds of work for each part."""

    def __init__(self, name: str, block: int, record: Record, service_time: float = 0.02) -> None:
        self.name, self.block, self.record = name, block, record
        self.service_time = service_time
        self.draining = False  # turns new parts away
        self.silent = False  # reads parts and answers nothing
        self.parts: list[tuple[float, str, dict[str, str]]] = []  # when the frame had arrived, id, list
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, health: str = "SERVING") -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "hall-a",
            "class": "std-2c",
            "block": self.block,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = bytearray()
        lock = threading.Lock()
        with contextlib.suppress(OSError):
            while received := sock.recv(65536):
                data += received
                while len(data) >= 4 and len(data) >= 4 + (length := struct.unpack_from("<I", data)[0]):
                    letter, rest = bytes(data[4:5]), bytes(data[5 : 4 + length])
                    del data[: 4 + length]
                    if letter == b"q":
                        self._read_call(sock, lock, rest)
                    elif letter == b"c":
                        self.record(f"replica {self.name}: cancelled {rest.decode()}")
        sock.close()

    def _read_call(self, sock: socket.socket, lock: threading.Lock, rest: bytes) -> None:
        while rest:
            head, _, rest = rest.partition(b"\n")
            part, shard, words, size = head.decode().split(" ")
            rest = rest[int(size) :]
            options = dict(word.split("=", 1) for word in words.split(","))
            self.parts.append((now(), part, options))
            self.record(f"replica {self.name}: part {part} shard {shard} {words}")
            if self.silent:
                continue
            if self.draining:
                self._answer(sock, lock, f"{part} skipped - -\n".encode(), part, "skipped")
                continue
            answer = f"{part} served 7 -\n{value_of(self.name, part)}".encode()
            threading.Timer(self.service_time, self._answer, (sock, lock, answer, part, "served")).start()

    def _answer(self, sock: socket.socket, lock: threading.Lock, rest: bytes, part: str, end: str) -> None:
        with lock, contextlib.suppress(OSError):
            sock.sendall(struct.pack("<I", 1 + len(rest)) + b"a" + rest)
            self.record(f"replica {self.name}: {end} {part}")


class Discovery:
    """Discovery: the whole list or the changes after a version, then changes, and an empty line every 2 s."""

    def __init__(self, name: str, entries: list[dict[str, Any]], record: Record, seq: int = 41) -> None:
        self.name, self.record = name, record
        self._entries = {entry["host"]: entry for entry in entries}
        self._seq = seq
        self._lock = threading.Lock()
        self._watches: list[socket.socket] = []
        self._closed = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=32)
        self.port: int = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                if self._closed:
                    sock.close()
                    return
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        head = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in head:
                if not (received := sock.recv(4096)):
                    return
                head += received
            target = head.split()[1].decode()
            self.record(f"discovery {self.name}: call {target}")
            with self._lock:
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                whole = {"seq": self._seq, "whole": True, "hosts": list(self._entries.values())}
                self._send(sock, json.dumps(whole).encode() + b"\n")
                self._watches.append(sock)
                self.record(f"discovery {self.name}: whole list {self._seq} written")

    def change(self, *entries: dict[str, Any]) -> float:
        """Make one change; return when it was made."""
        with self._lock:
            self._seq += 1
            for entry in entries:
                if entry["health"] == "DELETED":
                    self._entries.pop(entry["host"], None)
                else:
                    self._entries[entry["host"]] = entry
            made_at = now()
            states = ", ".join(f"{entry['host']} {entry['health']}" for entry in entries)
            self.record(f"discovery {self.name}: change {self._seq} made: {states}")
            change = {"seq": self._seq, "whole": False, "hosts": list(entries)}
            for sock in self._watches:
                if self._send(sock, json.dumps(change).encode() + b"\n"):
                    self.record(f"discovery {self.name}: change {self._seq} written to a watch")
            return made_at

    @staticmethod
    def _send(sock: socket.socket, line: bytes) -> bool:
        try:
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        except OSError:
            return False
        return True

    def _beat(self) -> None:
        while not self._closed:
            time.sleep(2.0)
            with self._lock:
                self._watches = [sock for sock in self._watches if self._send(sock, b"\n")]

    def close(self) -> None:
        """Accept no new connection, and close the open ones after 1.5 s."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.record(f"discovery {self.name}: accepts no new connection")
        time.sleep(1.5)
        with self._lock:
            for sock in self._watches:
                sock.close()
            self._watches = []
        self.record(f"discovery {self.name}: open connections closed")


class Relay:
    """A relay of TCP connections to `target`. Connections opened while `mute` is set stay open and silent."""

    def __init__(self, target: int, record: Record) -> None:
        self.target, self.record = target, record
        self.mute = False
        self.muted_at: list[float] = []
        self._held: list[socket.socket] = []  # open and silent
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=32)
        self.port: int = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            if self.mute:
                self._held.append(sock)
                self.muted_at.append(now())
                self.record("relay: a connection to discovery was opened and is silent from now on")
                continue
            self.record("relay: a connection to discovery was opened and is relayed")
            threading.Thread(target=self._relay, args=(sock,), daemon=True).start()

    def _relay(self, near: socket.socket) -> None:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.target)) as far:
            while True:
                ready, _, _ = select.select([near, far], [], [])
                for sock in ready:
                    if not (data := sock.recv(65536)):
                        return
                    (far if sock is near else near).sendall(data)
        near.close()


class Node:
    """One co-ordinator, started by the `run` command of the deploy file."""

    def __init__(self, folder: Path, config: dict[str, Any], record: Record) -> None:
        self.record = record
        self.config_path = folder / "config.json"
        self.config = config
        self.write_config(config)
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        self.address = config["listen"]
        environment = {
            **os.environ,
            "NODE_NAME": config["name"],
            "NODE_LISTEN": config["listen"],
            "NODE_DISCOVERY": config["discovery"],
            "NODE_CONFIG": str(self.config_path),
        }
        self.log_path = folder / "node.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        record(f"node {config['name']}: started")

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        self.config = config
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.config_path)

    def wait_ready(self, seconds: float = 20.0) -> bool:
        deadline = time.monotonic() + seconds
        host, port = self.address.split(":")
        while time.monotonic() < deadline and self.process.poll() is None:
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection.request("GET", "/ready")
                if connection.getresponse().status == 200:
                    self.record("node: ready")
                    return True
            connection.close()
            time.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)
        self.record(f"node: sent {number.name}")

    def stop(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def query_bytes(name: str, path: str, tablets: list[int], timeout_ms: int) -> bytes:
    share = 1 / len(tablets)
    body = json.dumps(
        {"tablets": [{"tablet": t, "fraction": share} for t in tablets], "statement": "c41e77d0"}
    ).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {name}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def read_answer(sock: socket.socket, data: bytearray) -> tuple[int, bytes]:
    """Read one answer; `data` keeps what follows it. Status 0: the connection ended without one."""
    while b"\r\n\r\n" not in data:
        try:
            received = sock.recv(65536)
        except ConnectionError:
            received = b""
        if not received:
            return 0, b""
        data += received
    head, _, rest = bytes(data).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    length = int(fields.get("content-length", "0"))
    while len(rest) < length:
        received = sock.recv(65536)
        if not received:
            return 0, b""
        rest += received
    data[:] = rest[length:]
    return int(lines[0].split(" ")[1]), rest[:length]


def run_case(case: Callable[[Path, Record, bool], int], folder: Path) -> None:
    """Run a case with a temporary folder and its record, and exit with its status; 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"case {folder.name}, TROUBLE={int(trouble)}")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = case(Path(temporary), record, trouble)
    except Exception as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
    record({0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(status, "the case could not run"))
    sys.stdout.flush()
    os._exit(status)
