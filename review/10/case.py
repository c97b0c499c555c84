"""A node that starts while discovery is slow serves on its old list, and sends parts to a removed replica."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path
from signal import SIGTERM
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from standins import (
    Discovery,
    Node,
    Record,
    Relay,
    Replica,
    free_port,
    now,
    query_bytes,
    read_answer,
    run_case,
    value_of,
)

DRAIN_GRACE = 0.5  # Rules.StopSendingWithinS
SOCKET_SLACK = 0.05  # "every time limit is 50 ms longer"
SLOWNESS = 5.0  # seconds until discovery takes up a call
RUN_FOR = 12.0
CLIENTS = 4
PAUSE = 0.03  # seconds between an answer and the client's next query
ZONE = "duluth-room"

SETTINGS: dict[str, Any] = {
    "Balancers": 16,
    "Locality": 0,
    "Ordinal": 0,
    "GranularityS": 0.005,
    "MembershipMode": "push",
    "Zones": [ZONE],
    "Classes": [
        {
            "Name": "full-search",
            "AimS": 2.0,
            "DeadlineS": 4.0,
            "Semantics": "safe",
            "LateWorth": 0.1,
            "WindowS": 5.0,
        }
    ],
    "Extra": {
        "ClassFetch": [0],
        "MinShare": [1.0],
        "WholeAt": [1.0],
        "ShortWorth": [0.9],
        "PerCall": 16,
        "Sets": 4,
        "Shards": 8,
        "Width": 3,
        "OverheadS": 0.0,
        "WarmKeys": False,
    },
    "Limits": {
        "Cancelling": True,
        "ConnIdleS": 15.0,
        "ConnectTimeoutS": 0.25,
        "MaxRetryAfterS": 0.5,
        "MostHeld": 109,
        "Peers": False,
        "Probing": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "SendCap": 3,
        "StreamsPerConn": 32,
    },
    "Rules": {
        "FallS": 1.5,
        "GraceToAnswerS": 0.02,
        "RampTimeS": 12.0,
        "StartCapacity": 0.17,
        "StopSendingWithinS": DRAIN_GRACE,
        "TipMultiple": 4.0,
    },
}


class CatalogHost(Replica):
    def entry(self, health: str = "SERVING") -> dict[str, Any]:
        return {**super().entry(health), "site": ZONE}


class SlowRelay(Relay):
    """Stands before discovery and takes up each call `delay` seconds after it came."""

    delay = 0.0

    def _relay(self, near: socket.socket) -> None:
        time.sleep(self.delay)
        super()._relay(near)


def ask(port: int, client: int, until: float, record: Record, answers: list[tuple[int, bytes]]) -> None:
    """A client with one connection that asks a query, waits for its answer, and asks again."""
    sock = socket.create_connection(("127.0.0.1", port))
    data = bytearray()
    number = 0
    while now() < until:
        number += 1
        name = f"{client:08x}{number:08x}"
        record(f"client {client}: asks {name}")
        sock.sendall(query_bytes(name, "/full-search", [number % 8, (number + 3) % 8], 4000))
        status, body = read_answer(sock, data)
        record(f"client {client}: {name} answered {status} {body.decode().strip()[:120]}")
        answers.append((status, body))
        if status == 0:
            return
        time.sleep(PAUSE)


def case(folder: Path, record: Record, trouble: bool) -> int:
    replicas = [CatalogHost(f"s-{block:08x}", block, record) for block in range(4)]
    removed = replicas[1]
    entries = [replica.entry() for replica in replicas]
    discovery = Discovery("d", entries, record)
    discovery.change(
        removed.entry("DELETED")
    )  # while the node was down: its configuration has the list before
    relay = SlowRelay(discovery.port, record)
    relay.delay = SLOWNESS if trouble else 0.0
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": relay.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": {"seq": 41, "whole": True, "hosts": entries},
        "settings": SETTINGS,
    }
    started_at = now()
    node = Node(folder, config, record)
    try:
        if not node.wait_ready():
            return 2
        record(f"judge: ready {now() - started_at:.2f} s after the start")
        answers: list[tuple[int, bytes]] = []
        until = now() + RUN_FOR
        clients = [
            threading.Thread(target=ask, args=(port, client, until, record, answers), daemon=True)
            for client in range(CLIENTS)
        ]
        for thread in clients:
            thread.start()
        time.sleep(RUN_FOR)
        served = sum(status == 200 for status, _ in answers)
        record(f"judge: {len(answers)} queries answered, {served} of them with 200")
        if served < 50:
            return 2
        made = {value_of(removed.name, part) for _, part, _ in removed.parts}
        given = [
            piece["cell"] for status, body in answers if status == 200 for piece in json.loads(body)["pieces"]
        ]
        from_removed = sum(cell in made for cell in given)
        record(
            f"judge: {from_removed} of {len(given)} values in answers to clients are the removed replica's"
        )
        limit = started_at + DRAIN_GRACE + SOCKET_SLACK
        late = [at for at, _, _ in removed.parts if at > limit]
        if late:
            last = max(late) - started_at
            record(
                f"judge: {len(late)} parts reached it too late, the last {last:.2f} s after the node's start"
            )
        return 1 if late else 0
    finally:
        node.signal(SIGTERM)
        node.stop()


run_case(case, Path(__file__).resolve().parent)
