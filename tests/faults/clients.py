"""Clients of the rig: some send one query after another on a connection, others only hold connections open."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import time

from faults.ledger import Ledger, Request
from faults.node_process import Node
from faults.plans import Plan
from faults.proxy import reset
from faults.timed_frames import enable_timestamps, receive

CLIENTS_PER_NODE = 12
# A client waits this long past its deadline, to tell a late answer from a missing one.
EXTRA_WAIT_SECONDS = 1.5


class Client:
    """A client that sends a request, reads the answer, pauses, and repeats; it reuses its connection."""

    def __init__(self, plan: Plan, node: Node, number: int, ledger: Ledger, stop_at: float) -> None:
        self._plan, self._node, self._ledger, self._stop_at = plan, node, ledger, stop_at
        self._chance = random.Random(f"{plan.seed}/client/{node.number}/{number}")
        self._name = f"{plan.seed}-{node.number}-{number}"
        self._sock: socket.socket | None = None
        self._connected_at = 0.0

    def run(self) -> None:
        mean_pause = self._plan.nodes * CLIENTS_PER_NODE / self._plan.rate
        count = 0
        while time.monotonic() < self._stop_at:
            time.sleep(min(self._chance.expovariate(1 / mean_pause), 1.0))
            count += 1
            if not self._send_query(f"{self._name}-{count}"):
                self._disconnect()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._sock:
            self._sock.close()
        self._sock = None

    def _send_query(self, name: str) -> bool:
        """Send one request and read its answer; return whether the connection can be used again."""
        chance, plan = self._chance, self._plan
        number = chance.randrange(len(plan.classes))
        class_plan = plan.classes[number]
        shards = sorted(chance.sample(range(plan.shards), chance.randint(1, plan.shards)))
        unscaled = [chance.choice((1.0, 1.0, 3.0)) for _ in shards]
        weights = {s: round(r / sum(unscaled), 6) for s, r in zip(shards, unscaled, strict=True)}
        timeout = round(class_plan.deadline * chance.uniform(0.4, 1.0), 3)
        request = Request(name, self._node.number, number, weights, timeout)
        tablets = [{"tablet": s, "fraction": w} for s, w in weights.items()]
        body = json.dumps({"tablets": tablets, "statement": "c41e"}).encode()
        head = (
            f"POST /{class_plan.name} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\n"
            f"X-Timeout-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self._node.address, 2.0)
                enable_timestamps(self._sock)
                self._connected_at = time.monotonic()
            self._sock.settimeout(timeout + EXTRA_WAIT_SECONDS)
            self._sock.sendall(head.encode() + body)
        except OSError:
            return False  # the node did not accept the request, so no answer is expected
        request.sent_at, request.connected_at = time.monotonic(), self._connected_at
        self._ledger.record(request)
        if chance.random() < plan.disconnects:
            time.sleep(chance.uniform(0, timeout * 0.8))
            if chance.random() < 0.5:
                reset(self._sock)
            else:
                self._sock.close()
            request.disconnected_at = time.monotonic()
            self._ledger.count_fault("client left")
            return False
        return self._read(request, self._sock)

    def _read(self, request: Request, sock: socket.socket) -> bool:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                chunk, at = receive(sock)
                if not chunk:
                    raise ConnectionError("closed")
                data += chunk
            head, _, body = data.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
            while len(body) < int(fields["content-length"]):
                chunk, at = receive(sock)
                if not chunk:
                    raise ConnectionError("closed inside a body")
                body += chunk
        except OSError as error:
            request.answered_at, request.ended = time.monotonic(), f"{type(error).__name__} {error}"
            return False
        request.answered_at = at
        if int(lines[0].split(" ")[1]) == 200:
            answer = json.loads(body)
            request.full = answer["full"]
            request.pieces = {piece["tablet"]: piece["cell"] for piece in answer["pieces"]}
        request.status = int(lines[0].split(" ")[1])
        return fields.get("connection") != "close"


def hold_idle_connections(node: Node, connections: int, lasts: float, ledger: Ledger) -> None:
    """Open idle connections to a node and hold them for `lasts` seconds. The node may close some of them earlier."""
    stop_at = time.monotonic() + lasts
    sockets: list[socket.socket] = []
    for _ in range(connections):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(node.address, 0.5)
            sockets.append(sock)
            ledger.count_fault("idle client")
    time.sleep(max(stop_at - time.monotonic(), 0.0))
    for sock in sockets:
        sock.close()
