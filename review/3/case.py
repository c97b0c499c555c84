"""Case 3: a replica that was removed proves by its answers that it was not, while discovery refuses calls."""

from __future__ import annotations

import http.client
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
    Replica,
    free_port,
    now,
    query_bytes,
    read_answer,
    run_case,
)

DRAIN_GRACE = 0.25  # Rules.StopSendingWithinS
SOCKET_SLACK = 0.05  # "every time limit is 50 ms longer"
TOLD_WITHIN = 6.0  # after discovery had the change and could be reached
CROWDED_FOR = 12.0
RUN_UNTIL = 18.0
CLIENTS = 2
QUERIES_PER_SECOND = 8  # of each client

SETTINGS: dict[str, Any] = {
    "Balancers": 3,
    "Locality": 0,
    "Ordinal": 0,
    "GranularityS": 0.005,
    "MembershipMode": "ask",
    "Zones": ["athens-a", "athens-b", "thessaloniki"],
    "Classes": [
        {
            "Name": "hut-nights",
            "AimS": 1.0,
            "DeadlineS": 2.5,
            "Semantics": "safe",
            "LateWorth": 0.3,
            "WindowS": 5.0,
        }
    ],
    "Extra": {
        "ClassFetch": [0],
        "MinShare": [1.0],
        "WholeAt": [1.0],
        "ShortWorth": [0.9],
        "PerCall": 8,
        "Sets": 4,
        "Shards": 8,
        "Width": 3,
        "OverheadS": 0.017,
        "WarmKeys": True,
    },
    "Limits": {
        "Cancelling": True,
        "ConnIdleS": 15.0,
        "ConnectTimeoutS": 0.25,
        "MaxRetryAfterS": 2.0,
        "MostHeld": 109,
        "Peers": False,
        "Probing": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "SendCap": 4,
        "StreamsPerConn": 100,
    },
    "Rules": {
        "AskWithinS": 10.0,
        "FallS": 1.0,
        "GraceToAnswerS": 0.02,
        "RampTimeS": 17.0,
        "StartCapacity": 0.22,
        "StopSendingWithinS": DRAIN_GRACE,
        "TipMultiple": 2.5,
    },
}


def ask(port: int, record: Record, answers: list[int], client: int) -> None:
    """A client with one connection that asks a query, waits for its answer, and asks again, to the end."""
    sock = socket.create_connection(("127.0.0.1", port))
    data = bytearray()
    number = 0
    while now() < RUN_UNTIL:
        number += 1
        name = f"{client:08x}{number:08x}"
        record(f"client: asks {name}")
        sock.sendall(query_bytes(name, "/hut-nights", [number % 8, (number + 3) % 8], 2500))
        status, body = read_answer(sock, data)
        record(f"client: {name} answered {status} {body.decode().strip()[:120]}")
        answers.append(status)
        if status == 0:
            return
        time.sleep(1 / QUERIES_PER_SECOND)


def call_as_another(discovery: Discovery) -> bool:
    """Ask discovery for its whole list, as another co-ordinator does; return whether it answered."""
    connection = http.client.HTTPConnection("127.0.0.1", discovery.port, timeout=2.0)
    try:
        connection.request("GET", "/v1/endpoints")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def case(folder: Path, record: Record, trouble: bool) -> int:
    replicas = [Replica(f"s-{block:08x}", block, record) for block in range(4)]
    gone = replicas[1]
    entries = [replica.entry() for replica in replicas]
    discovery = Discovery("discovery", entries, record)
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": {"seq": 41, "whole": True, "hosts": entries},
        "settings": SETTINGS,
    }
    node = Node(folder, config, record)
    try:
        if not node.wait_ready():
            return 2
        answers: list[int] = []
        for number in range(CLIENTS):
            threading.Thread(target=ask, args=(port, record, answers, number), daemon=True).start()
        time.sleep(3.0)
        discovery.crowded = trouble
        discovery.reset_watches()
        changed_at = discovery.change(gone.entry("DELETED"))
        limit = changed_at + TOLD_WITHIN + DRAIN_GRACE + SOCKET_SLACK
        record(f"judge: the change counts as told at {changed_at + TOLD_WITHIN:.3f}")
        record(f"judge: nothing new may arrive after {limit:.3f}")
        reached = 0
        while now() < changed_at + CROWDED_FOR:
            reached += call_as_another(discovery)
            time.sleep(1.0)
        record(f"judge: discovery answered {reached} calls of another caller meanwhile")
        discovery.crowded = False
        time.sleep(max(RUN_UNTIL - now(), 0.0))
        late = [at for at, _, _ in gone.parts if at > limit]
        if len(answers) < 100 or answers.count(200) < len(answers) // 2 or reached < CROWDED_FOR // 2:
            record(f"judge: too few answers to judge: {len(answers)}, {reached} of discovery")
            return 2
        record(f"judge: {len(answers)} queries were answered, {answers.count(200)} with 200")
        last = f", the last at {max(late):.3f}" if late else ""
        record(f"judge: {len(late)} parts arrived at {gone.name} too late{last}")
        return 1 if late else 0
    finally:
        node.signal(SIGTERM)
        node.stop()


run_case(case, Path(__file__).resolve().parent)
