"""Start-up and shutdown times of nodes of the platform that start together on one machine.

Run: python benchmarks/restart.py [NODES [CORES]]. All nodes start at once and share CORES cores (default:
all). They use one discovery server, which lists 100 replicas. A node is ready when it answers `GET /ready`
with 200.
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
READY_TIMEOUT = 60.0  # seconds for all nodes to be ready
Process = subprocess.Popen[bytes]
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


def serve_discovery(listener: socket.socket) -> None:
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
    connections = []
    while True:
        sock, _ = listener.accept()
        sock.recv(4096)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        connections.append(sock)


def is_ready(port: int) -> bool:
    """Return whether the node on a port answers its readiness check with 200."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def print_seconds(title: str, figures: list[float]) -> None:
    """Print the least, the median and the greatest of some figures."""
    low, middle, high = min(figures), statistics.median(figures), max(figures)
    print(f"{title}: {low:.2f} s at least, {middle:.2f} s at the median, {high:.2f} s at most")


def unused_ports(count: int) -> list[int]:
    """Return distinct unused ports of the loopback address."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return ports


def start_node(folder: Path, number: int, port: int, nodes: int, discovery: str, cores: list[int]) -> Process:
    """Start one of `nodes` nodes of the platform, bound to the given cores."""
    path = folder / f"{number}.json"
    path.write_text(
        json.dumps(
            {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery,
                "seed": "5",
                "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
                "settings": SETTINGS | {"Balancers": nodes, "Ordinal": number},
            }
        )
    )
    return subprocess.Popen(
        [sys.executable, "-m", "gingervane.node"],
        env={"NODE_CONFIG": str(path)},
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, cores),  # noqa: PLW1509 - a node must start on these cores
    )


def wait_until_ready(ports: list[int], began: float) -> list[float]:
    """Return the seconds from `began` until each node was ready, without those that timed out."""
    figures: dict[int, float] = {}
    while len(figures) < len(ports) and time.monotonic() < began + READY_TIMEOUT:
        for number, port in enumerate(ports):
            if number not in figures and is_ready(port):
                figures[number] = time.monotonic() - began
        time.sleep(0.01)
    return list(figures.values())


def terminate(processes: list[Process]) -> list[float]:
    """Send SIGTERM to all processes; return the seconds until each had ended."""
    began = time.monotonic()
    figures = []
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        assert process.wait(30.0) == 0
        figures.append(time.monotonic() - began)
    return figures


def main(nodes: int, cores: int) -> None:
    """Start and stop `nodes` nodes on `cores` cores, and print the times."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    threading.Thread(target=serve_discovery, args=(listener,), daemon=True).start()
    host, port = listener.getsockname()
    ports = unused_ports(nodes)
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    used_cores = sorted(os.sched_getaffinity(0))[:cores]
    began = time.monotonic()
    processes = [
        start_node(folder, number, node_port, nodes, f"{host}:{port}", used_cores)
        for number, node_port in enumerate(ports)
    ]
    figures = wait_until_ready(ports, began)
    print(f"{nodes} nodes started at once on {len(used_cores)} cores; {len(figures)} ready")
    print_seconds("ready after", figures)
    print_seconds("ended after SIGTERM by", terminate(processes))


if __name__ == "__main__":
    print(machine())
    main(int((sys.argv[1:] or ["30"])[0]), int((sys.argv[2:] or ["999"])[0]))
