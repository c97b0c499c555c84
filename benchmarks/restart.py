"""Nodes of the platform that are restarted together on one machine: how long until each is ready, and until it ends.

Run: python benchmarks/restart.py [NODES [CORES]]. All are started at once, on CORES cores (all there are) that they
share, before one discovery that lists 100 replicas; an answer of 200 to `GET /ready` is ready. Then SIGTERM to all.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from common import machine

ROOT = Path(__file__).parent.parent
REPLICAS = 100
SETTINGS: dict[str, Any] = {
    "Locality": 0,
    "GranularityS": 0.005,
    "MembershipMode": "ask",
    "Zones": ["a", "b"],
    "Classes": [{"Name": "look", "AimS": 1.0, "DeadlineS": 2.5, "Semantics": "safe", "LateWorth": 0.0}],
    "Extra": {
        "ClassFetch": [0],
        "MinShare": [1.0],
        "WholeAt": [1.0],
        "ShortWorth": [1.0],
        "PerCall": 4,
        "Sets": 20,
        "Shards": 80,
        "Width": 3,
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
    "Rules": {"RampTimeS": 10.0, "StartCapacity": 0.3, "FallS": 1.0, "TipMultiple": 2.5},
}


def discover(listener: socket.socket) -> None:
    """Answer each call with the list and keep its watch open."""
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"127.0.0.1:{1024 + n}",
            "site": "ab"[n % 2],
            "class": "m",
            "block": n % 20,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": 0,
        }
        for n in range(REPLICAS)
    ]
    line = json.dumps({"seq": 7, "whole": True, "hosts": hosts}).encode() + b"\n"
    kept = []
    while True:
        sock, _ = listener.accept()
        sock.recv(4096)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        kept.append(sock)


def ready(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def seconds(what: str, figures: list[float]) -> None:
    low, middle, high = min(figures), statistics.median(figures), max(figures)
    print(f"{what}: {low:.2f} s at least, {middle:.2f} s at the median, {high:.2f} s at most")


def main(nodes: int, cores: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    threading.Thread(target=discover, args=(listener,), daemon=True).start()
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(nodes)]
    ports = [one.getsockname()[1] for one in free]
    for one in free:
        one.close()
    folder, where = Path(tempfile.mkdtemp(prefix="gingervane-bench-")), listener.getsockname()
    some = sorted(os.sched_getaffinity(0))[:cores]
    programs = []
    began = time.monotonic()
    for number, port in enumerate(ports):
        path = folder / f"{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"{where[0]}:{where[1]}",
                    "seed": "5",
                    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
                    "settings": SETTINGS | {"Balancers": nodes, "Ordinal": number},
                }
            )
        )
        programs.append(
            subprocess.Popen(
                [sys.executable, "-m", "gingervane.node"],
                env={"NODE_CONFIG": str(path)},
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
                preexec_fn=lambda: os.sched_setaffinity(0, some),
            )
        )
    figures: dict[int, float] = {}
    while len(figures) < nodes and time.monotonic() < began + 60.0:
        for number, port in enumerate(ports):
            if number not in figures and ready(port):
                figures[number] = time.monotonic() - began
        time.sleep(0.01)
    print(f"{nodes} nodes started at once on {len(some)} cores; {len(figures)} ready")
    seconds("ready after", list(figures.values()))
    began, ends = time.monotonic(), []
    for program in programs:
        program.send_signal(signal.SIGTERM)
    for program in programs:
        assert program.wait(30.0) == 0
        ends.append(time.monotonic() - began)
    seconds("ended after SIGTERM by", ends)


if __name__ == "__main__":
    print(machine())
    main(int((sys.argv[1:] or ["30"])[0]), int((sys.argv[2:] or ["999"])[0]))
