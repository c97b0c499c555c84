"""One node at a memory limit, beside bad clients: its peak of resident memory, and how usual requests fare.

`python -m faults.memory_runs [--kinds KIND,...] [--memory MB] [--sockets N]` from `tests/` prints a row for each kind
of `bad_clients.KINDS`, and one for none.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from platform_fakes import SETTINGS, ScriptedDiscovery, endpoint_entry
from ports import ReservedPort

from faults.bad_clients import KINDS, request
from faults.node_process import memory_of, wait_until_ready

ROOT = Path(__file__).parents[2]
TESTS = ROOT / "tests"
REPLICAS = 4
SERVICE_SECONDS = 0.02
SHARDS = 32
USUAL_PER_SECOND = 20.0
USUAL_CONNECTIONS = 10
LEAST_MEMORY_MB = 32  # that the platform gives a node
_LATEST_ANSWER_SECONDS = 8.0


@dataclass
class Measurement:
    """What one run showed. Memory in MB of 2**20 bytes, times in seconds."""

    kind: str
    rest: float = 0.0  # resident memory before the bad clients
    peak: float = 0.0  # VmHWM at the end
    after: float = 0.0  # resident memory after the bad clients had left
    exit_status: int | None = None  # of a node that ended by itself
    statuses: Counter[int] = field(default_factory=Counter)  # of usual requests; 0: no answer
    latencies: list[float] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)  # texts of answers other than 200

    @property
    def p99(self) -> float:
        return sorted(self.latencies)[int(0.99 * (len(self.latencies) - 1))] if self.latencies else 0.0

    def __str__(self) -> str:
        worst = max(self.latencies, default=0.0)
        return (
            f"{self.kind:18} rest {self.rest:5.1f} peak {self.peak:6.1f} after {self.after:6.1f} MB, usual "
            f"{dict(self.statuses)}, p99 {self.p99 * 1000:.0f} ms, worst {worst * 1000:.0f} ms"
            + (f", {dict(self.refusals)}" if self.refusals else "")
            + (f", ENDED with {self.exit_status}" if self.exit_status is not None else "")
        )


class LimitedNode:
    """A node process as the deploy file starts it, with replicas in another process, and discovery."""

    def __init__(
        self,
        folder: Path,
        memory_mb: int = LEAST_MEMORY_MB,
        sockets: int = 1024,
        settings: dict[str, Any] | None = None,
        service_seconds: float = SERVICE_SECONDS,
        records: bool = False,
    ) -> None:
        self._discovery = ScriptedDiscovery()
        arguments = [str(REPLICAS), str(service_seconds), *(["--record"] if records else [])]
        self.replicas = self._start(
            [sys.executable, "-m", "faults.plain_replicas", *arguments], stdout=subprocess.PIPE
        )
        assert self.replicas.stdout is not None
        ports = self.replicas.stdout.readline().split()
        assert len(ports) == REPLICAS, "the replicas did not start"
        hosts = [endpoint_entry(f"s-{port}", f"127.0.0.1:{port}") for port in ports]
        self._reserved = ReservedPort()
        self.address = self._reserved.address
        extra = SETTINGS["Extra"] | {"Shards": SHARDS}
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "{}:{}".format(*self.address),
                    "discovery": "{}:{}".format(*self._discovery.where),
                    "seed": "5",
                    "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                    "known": {"seq": 1, "whole": True, "hosts": hosts},
                    "settings": SETTINGS | {"Extra": extra} | (settings or {}),
                }
            )
        )
        self.log = folder / "node.log"
        self._hosts = hosts
        env = {"NODE_CONFIG": str(config), "MALLOC_ARENA_MAX": "2", "PATH": os.environ["PATH"]}
        with self.log.open("w") as log:
            self.process = self._start(
                [sys.executable, "-m", "gingervane.node"], cwd=ROOT, env=env, stderr=log
            )
        self._beating = threading.Event()
        threading.Thread(target=self._follow, daemon=True).start()
        wait_until_ready(self.address, self.log)

    @staticmethod
    def _start(command: list[str], **options: Any) -> subprocess.Popen[str]:
        return subprocess.Popen(command, text=True, stdin=subprocess.DEVNULL, **({"cwd": TESTS} | options))

    def _follow(self) -> None:
        """Answer the first call with the whole list and an empty line every 2 s, as discovery does."""
        line = json.dumps({"seq": 1, "whole": True, "hosts": self._hosts}).encode() + b"\n"
        sock = self._discovery.sock(1)
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                if self._beating.wait(2.0):
                    return
                line = b"\n"
        except OSError:
            return

    def memory(self, key: str) -> float:
        """Return `VmHWM` or `VmRSS` in MB; 0 once the process has ended."""
        return memory_of(self.process.pid, key)

    def bad_clients(self, kind: str, connections: int, seconds: float) -> subprocess.Popen[str]:
        """Start bad clients in a process of their own."""
        arguments = [str(self.address[1]), kind, str(connections), str(seconds)]
        return self._start([sys.executable, "-m", "faults.bad_clients", *arguments], stdout=subprocess.PIPE)

    def close(self) -> None:
        self._beating.set()
        for process in (self.process, self.replicas):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
            if process.stdout:
                process.stdout.close()
        self._discovery.close()
        self._reserved.close()


class UsualClients:
    """Clients that send a small request now and then, each on a connection that it keeps."""

    def __init__(self, node: LimitedNode, measurement: Measurement) -> None:
        self._node, self._measurement = node, measurement
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(i,)) for i in range(USUAL_CONNECTIONS)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        sock: socket.socket | None = None
        count = 0
        interval = USUAL_CONNECTIONS / USUAL_PER_SECOND
        next_at = time.monotonic() + interval * number / USUAL_CONNECTIONS
        while not self._stop.wait(max(next_at - time.monotonic(), 0.0)):
            next_at += interval
            count += 1
            sent_at = time.monotonic()
            try:
                if sock is None:
                    sock = socket.create_connection(self._node.address, _LATEST_ANSWER_SECONDS)
                sock.sendall(request(f"usual-{number}-{count}", parts=3))
                data = sock.recv(65536)
            except OSError:
                data = b""
            self._measurement.statuses[int(data[9:12] or 0)] += 1
            if data and b" 200 " not in data[:15]:
                self._measurement.refusals[data.rpartition(b"\r\n")[2].decode().strip()] += 1
            self._measurement.latencies.append(time.monotonic() - sent_at)
            if not data or b"onnection: close" in data:
                if sock:
                    sock.close()
                sock = None


def measure(
    kinds: list[str],
    connections: int,
    seconds: float,
    memory_mb: int = LEAST_MEMORY_MB,
    sockets: int = 1024,
    crowds: int = 1,
) -> Measurement:
    """Run a node for some seconds, from the second one on beside bad clients, `connections` of all kinds together."""
    measurement = Measurement("+".join(kinds) or "none")
    with tempfile.TemporaryDirectory() as name:
        node = LimitedNode(Path(name), memory_mb, sockets)
        try:
            usual = UsualClients(node, measurement)
            time.sleep(2.0)
            measurement.rest = node.memory("VmRSS")
            for _ in range(crowds):
                crowd = [node.bad_clients(kind, connections // len(kinds), seconds) for kind in kinds]
                if not crowd:
                    time.sleep(seconds)
                for process in crowd:
                    output, _ = process.communicate(timeout=seconds + 30.0)
                    assert process.returncode == 0 and json.loads(output)["opened"] >= connections // len(
                        kinds
                    )
            time.sleep(1.0)
            usual.stop()
            measurement.peak, measurement.after = node.memory("VmHWM"), node.memory("VmRSS")
            measurement.exit_status = node.process.poll()
        finally:
            node.close()
    return measurement


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--kinds", default="none," + ",".join(KINDS), help="separated by commas; + runs kinds together"
    )
    parser.add_argument("--connections", type=int, default=330)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--memory", type=int, default=LEAST_MEMORY_MB)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--crowds", type=int, default=1, help="how often the bad clients come and go")
    options = parser.parse_args()
    for kinds in options.kinds.split(","):
        names = [] if kinds == "none" else kinds.split("+")
        print(
            measure(
                names, options.connections, options.seconds, options.memory, options.sockets, options.crowds
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
