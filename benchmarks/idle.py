"""Memory of a co-ordinator with many idle client connections. Run: python benchmarks/idle.py"""

from __future__ import annotations

import socket
import time
from pathlib import Path

from common import Fleet, machine

from gingervane.fronts.client import Client
from gingervane.wire.remote_read import Match, Matcher, Query

COUNT = 1000


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    with Path(f"/proc/{pid}/status").open() as file:
        line = next(row for row in file if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


if __name__ == "__main__":
    print(machine())
    with Fleet() as fleet:
        query = Query(1_764_600_000_000, 1_764_600_300_000, (Matcher(Match.EQUAL, "tile", "t001"),))
        data = Client(fleet.address).request([query], {})
        before = resident_mib(fleet.coordinator.pid)
        sockets = [socket.create_connection(fleet.address) for _ in range(COUNT)]
        for sock in sockets:  # each connection has had one answer before it is idle
            sock.sendall(data)
            assert sock.recv(1 << 20).startswith(b"HTTP/1.1 200")
        time.sleep(1.0)
        after = resident_mib(fleet.coordinator.pid)
        kib_per_connection = (after - before) * 1024 / COUNT
        print(f"{COUNT} idle connections: {before:.1f} to {after:.1f} MiB, {kib_per_connection:.1f} KiB each")
