"""Case 3: after a new configuration, a connection to discovery that falls silent is never replaced."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path
from signal import SIGHUP, SIGTERM
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
)

DRAIN_GRACE = 0.5  # Rules.StopSendingWithinS
SOCKET_SLACK = 0.05  # "every time limit is 50 ms longer"
TOLD_WITHIN = 6.0  # after the silence, and after discovery had the change and could be reached
TOLD_AFTER_SIGHUP = 4.0
SILENCE = 1.0  # seconds after SIGHUP in which a new connection to discovery falls silent
RUN_UNTIL = 60.0
QUERIES_PER_SECOND = 8

SETTINGS: dict[str, Any] = {
    "Balancers": 3,
    "Locality": 0,
    "Ordinal": 0,
    "GranularityS": 0.005,
    "MembershipMode": "ask",
    "Zones": ["hall-a", "hall-b", "hall-c"],
    "Classes": [
        {
            "Name": "point-lookup",
            "AimS": 2.0,
            "DeadlineS": 6.0,
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
        "PerCall": 1,
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
        "Peers": True,
        "Probing": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "SendCap": 3,
        "StreamsPerConn": 32,
    },
    "Rules": {
        "AskWithinS": 10.0,
        "FallS": 1.5,
        "GraceToAnswerS": 0.02,
        "RampTimeS": 16.0,
        "StartCapacity": 0.17,
        "StopSendingWithinS": DRAIN_GRACE,
        "TipMultiple": 4.0,
    },
}


def ask(port: int, record: Record, answers: list[int]) -> None:
    """A client with one connection that asks a query, waits for its answer, and asks again, to the end."""
    sock = socket.create_connection(("127.0.0.1", port))
    data = bytearray()
    number = 0
    while now() < RUN_UNTIL:
        number += 1
        name = f"{number:016x}"
        record(f"client: asks {name}")
        sock.sendall(query_bytes(name, "/point-lookup", [number % 8, (number + 3) % 8], 6000))
        status, body = read_answer(sock, data)
        record(f"client: {name} answered {status} {body.decode().strip()[:120]}")
        answers.append(status)
        if status == 0:
            return
        time.sleep(1 / QUERIES_PER_SECOND)


def case(folder: Path, record: Record, trouble: bool) -> int:
    replicas = [Replica(f"s-{block:08x}", block, record) for block in range(4)]
    gone, draining = replicas[1], replicas[3]
    entries = [replica.entry() for replica in replicas]
    old = Discovery("old", entries, record)
    new = Discovery("new", entries, record)
    relay = Relay(new.port, record)
    port = free_port()
    peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for peer in peers:
        peer.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{peer.getsockname()[1]}" for peer in peers]
    peers[0].close()  # the node's own; the two others say nothing
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": old.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "peer_listen": addresses[0],
        "peers": addresses,
        "known": {"seq": 41, "whole": True, "hosts": entries},
        "settings": SETTINGS,
    }
    node = Node(folder, config, record)
    try:
        if not node.wait_ready():
            return 2
        answers: list[int] = []
        threading.Thread(target=ask, args=(port, record, answers), daemon=True).start()
        time.sleep(4.0)
        # The operator moves discovery. With the disruption, what is opened in the first second falls silent.
        relay.mute = trouble
        node.write_config({**config, "discovery": relay.address})
        node.signal(SIGHUP)
        sighup_at = now()
        threading.Thread(target=old.close, daemon=True).start()
        time.sleep(SILENCE)
        relay.mute = False
        record("relay: whatever is opened from now on is relayed")
        time.sleep(1.5)
        changed_at = new.change(gone.entry("DELETED"), draining.entry("DRAINING"))
        time.sleep(0.1)  # what was written reaches the node; well within the grace
        draining.draining = True
        silent_at = relay.muted_at[-1] if relay.muted_at else sighup_at
        told_at = max(sighup_at + TOLD_AFTER_SIGHUP, silent_at + TOLD_WITHIN, changed_at + TOLD_WITHIN)
        limit = told_at + DRAIN_GRACE + SOCKET_SLACK
        record(f"judge: the change counts as told at {told_at:.3f}; nothing new may arrive after {limit:.3f}")
        time.sleep(max(RUN_UNTIL - now(), 0.0))
        late = [(at, part, r.name) for r in (gone, draining) for at, part, _ in r.parts if at > limit]
        if trouble and not relay.muted_at:
            record("judge: no connection was opened while the relay was silent")
            return 2
        if len(answers) < 100 or answers.count(200) < len(answers) // 2:
            record(f"judge: too few answers to judge: {len(answers)}")
            return 2
        record(f"judge: {len(answers)} queries were answered, {answers.count(200)} with 200")
        for name in (gone.name, draining.name):
            times = [at for at, _, replica in late if replica == name]
            last = f", the last at {max(times):.3f}" if times else ""
            record(f"judge: {len(times)} parts arrived at {name} too late{last}")
        return 1 if late else 0
    finally:
        node.signal(SIGTERM)
        node.stop()


run_case(case, Path(__file__).resolve().parent)
