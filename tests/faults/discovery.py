"""A fake discovery service for the rig: one service for all nodes, with a queue, watches and injected faults.

Each node has its own ports, because each node reaches the replicas through its own proxies. The ledger records each
list and change with the time at which its last byte was handed to the kernel.
"""

from __future__ import annotations

import contextlib
import json
import random
import socket
import threading
import time
from dataclasses import dataclass, field
from queue import SimpleQueue
from typing import Any

from faults.discovery_faults import DiscoveryFaults
from faults.ledger import EndpointChange, Ledger, ListWritten
from faults.proxy import close_all, reset
from faults.timed_frames import enable_timestamps, receive

EMPTY_LINE_INTERVAL_SECONDS = 2.0  # a watch without changes gets an empty line this often
BUSY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PORTS_PER_NODE = 2  # a node can be moved from one to the other


@dataclass
class _Watch:
    """One call to discovery; once it is answered, the watch on its connection."""

    sock: socket.socket
    node: int
    chance: random.Random
    version: int
    called_at: float
    ended: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)


class DiscoveryService:
    """Listens from its construction to `close`; the times of its faults count from `begin`."""

    def __init__(self, faults: DiscoveryFaults, seed: int, ledger: Ledger) -> None:
        self._faults, self._seed, self._ledger = faults, seed, ledger
        self._start = time.monotonic()
        self._replica_addresses: dict[int, list[str]] = {}
        self._health: list[str] = []
        self._changed_at: list[int] = []  # version of each replica's last change
        self._change = threading.Condition()
        self._version = 1
        self._queue: SimpleQueue[_Watch | None] = SimpleQueue()
        self._queued_calls = 0
        self._watches: list[_Watch] = []
        self._sockets: list[socket.socket] = []
        self._listeners: list[socket.socket] = []
        self._closed = False
        self._calls = 0
        threading.Thread(target=self._serve_queue, daemon=True).start()

    def add_node(self, node: int, replica_addresses: list[str]) -> list[str]:
        """Listen for one node, which is sent these replica addresses; return the addresses of the service."""
        self._replica_addresses[node] = replica_addresses
        self._health = self._health or ["SERVING"] * len(replica_addresses)
        self._changed_at = self._changed_at or [1] * len(replica_addresses)
        addresses: list[str] = []
        for _ in range(PORTS_PER_NODE):
            listener = socket.create_server(("127.0.0.1", 0), backlog=128)
            enable_timestamps(listener)  # accepted sockets inherit the option
            self._listeners.append(listener)
            addresses.append("{}:{}".format(*listener.getsockname()))
            threading.Thread(target=self._accept, args=(listener, node), daemon=True).start()
        return addresses

    def begin(self) -> None:
        """Start the clock of the faults, and schedule them."""
        self._start = time.monotonic()
        self._ledger.discovery_began_at = self._start
        for second in self._faults.breaks:
            self._schedule_fault(second, "all watches broken", self._break_watches)
        for outage in self._faults.outages:
            self._schedule_fault(outage.begins, "discovery down", self._break_watches)

    def publish(self, replica: int, health: str) -> None:
        """Change a replica's health in the list."""
        with self._change:
            self._version += 1
            self._health[replica] = health
            self._changed_at[replica] = self._version
            self._ledger.endpoint_changes.append(
                EndpointChange(time.monotonic(), replica, health, self._version)
            )
            self._change.notify_all()

    def full_list(self, node: int) -> dict[str, Any]:
        """Return the full current list, for the configuration of a node."""
        with self._change:
            return self._list(node, since=0, whole=True)

    def close(self) -> None:
        self._closed = True
        self._queue.put(None)
        with self._change:
            self._change.notify_all()
        for listener in self._listeners:
            close_all(listener, [])
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    # ---- scheduled faults

    def _elapsed(self) -> float:
        return time.monotonic() - self._start

    def _schedule_fault(self, second: float, kind: str, action: Any) -> None:
        def run() -> None:
            if not self._closed:
                self._ledger.count_fault(kind)
                action()

        timer = threading.Timer(max(second - self._elapsed(), 0.0), run)
        timer.daemon = True
        timer.start()

    def _break_watches(self) -> None:
        with self._change:
            watches, self._watches = self._watches, []
        for watch in watches:
            self._reset_watch(watch)

    def _reset_watch(self, watch: _Watch) -> None:
        watch.ended = True
        with watch.lock:
            reset(watch.sock)

    # ---- calls

    def _accept(self, listener: socket.socket, node: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._sockets.append(sock)
                threading.Thread(target=self._handle_call, args=(sock, node), daemon=True).start()

    def _handle_call(self, sock: socket.socket, node: int) -> None:
        """Read one call, and refuse it, leave it unanswered or queue it."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            head, called_at = b"", 0.0
            while b"\r\n\r\n" not in head:
                data, called_at = receive(sock, 4096)
                if not data:
                    sock.close()
                    return
                head += data
            since = int(head.split(b"since=")[1].split(b" ")[0])
            self._calls += 1
            chance = random.Random(f"{self._seed}/discovery/{node}/{self._calls}")
            watch = _Watch(sock, node, chance, since, called_at)
            self._ledger.count_fault("discovery call")
            if self._faults.is_down(self._elapsed()):
                self._ledger.count_fault("call while down")
                self._refuse(watch, resets=chance.random() < 0.5)
            elif chance.random() < self._faults.hung:
                self._ledger.count_fault("call hung")
            elif not self._has_room() or chance.random() < self._faults.refused:
                self._ledger.count_fault("call refused")
                self._refuse(watch, resets=False)
            else:
                with self._change:
                    self._queued_calls += 1
                self._queue.put(watch)

    def _has_room(self) -> bool:
        openings, now = self._faults.openings, self._elapsed()
        if openings and now >= 0 and not any(first <= now < last for first, last in openings):
            return False
        return self._queued_calls < self._faults.queue_length

    @staticmethod
    def _refuse(watch: _Watch, resets: bool) -> None:
        if resets:
            reset(watch.sock)
            return
        watch.sock.sendall(BUSY_RESPONSE)
        watch.sock.close()

    def _serve_queue(self) -> None:
        """Handle the queued calls one after another."""
        while (watch := self._queue.get()) is not None:
            time.sleep(self._faults.service_time)
            with self._change:
                self._queued_calls -= 1
            threading.Thread(target=self._serve_watch, args=(watch,), daemon=True).start()

    # ---- watches

    def _serve_watch(self, watch: _Watch) -> None:
        """Answer one call and serve its watch, until the drawn time at which it ends or stops sending."""
        faults, chance = self._faults, watch.chance
        if chance.random() < faults.slow:
            self._ledger.count_fault("call answered late")
            time.sleep(chance.uniform(0.0, faults.longest_delay))
        cut = chance.random() < faults.cut
        end_at = self._draw_end_time(chance, faults.ended)
        silent_at = self._draw_end_time(chance, faults.silent)
        with contextlib.suppress(OSError):
            with self._change:
                self._watches.append(watch)
            self._send(watch, RESPONSE_HEAD)
            self._write_changes(watch, first=True, cut=cut)
            while not watch.ended and not self._closed and not cut:
                with self._change:
                    timeout = min(
                        EMPTY_LINE_INTERVAL_SECONDS, end_at - time.monotonic(), silent_at - time.monotonic()
                    )
                    self._change.wait_for(
                        lambda: self._version > watch.version or self._closed, max(timeout, 0)
                    )
                now = time.monotonic()
                if now >= silent_at:
                    self._ledger.count_fault("watch fell silent")
                    return
                if now >= end_at:
                    self._ledger.count_fault("watch ended")
                    break
                if self._version > watch.version:
                    self._write_changes(watch, first=False)
                else:
                    self._send(watch, b"1\r\n\n\r\n")
        if cut:
            self._ledger.count_fault("list cut")
        with contextlib.suppress(ValueError), self._change:
            self._watches.remove(watch)
        self._reset_watch(watch)

    def _draw_end_time(self, chance: random.Random, probability: float) -> float:
        happens = chance.random() < probability
        after = chance.uniform(0.0, self._faults.longest_watch)
        return time.monotonic() + after if happens and self._elapsed() >= 0 else float("inf")

    def _list(self, node: int, since: int, whole: bool) -> dict[str, Any]:
        """Return the full list, or the changes after a version. The caller holds the lock."""
        hosts = [
            {
                "host": f"s-{i}",
                "dial": self._replica_addresses[node][i],
                "site": "ab"[i % 2],
                "class": "m",
                "block": 0,
                "health": health,
                "share": 1.0,
                "born_ms": 0,
            }
            for i, health in enumerate(self._health)
            if (health != "DELETED" if whole else self._changed_at[i] > since)
        ]
        return {"seq": self._version, "whole": whole, "hosts": hosts}

    def _write_changes(self, watch: _Watch, first: bool, cut: bool = False) -> None:
        chance = watch.chance
        whole = first and (watch.version == 0 or chance.random() < self._faults.whole)
        with self._change:
            data = self._list(watch.node, watch.version, whole)
            watch.version = self._version
        line = (
            json.dumps(data, indent=1 if chance.random() < self._faults.indented else None).encode() + b"\n"
        )
        message = b"%x\r\n%s\r\n" % (len(line), line)
        if cut:
            self._send(watch, message[: chance.randrange(len(message) - 3)])
            return
        self._send(watch, message)
        self._ledger.record(ListWritten(time.monotonic(), watch.node, data["seq"], watch.called_at))

    def _send(self, watch: _Watch, data: bytes) -> None:
        pieces = [data]
        if len(data) > 2 and watch.chance.random() < self._faults.pieces:
            at = watch.chance.randint(1, len(data) - 1)
            pieces = [data[:at], data[at:]]
        for number, piece in enumerate(pieces):
            if number:
                time.sleep(watch.chance.uniform(0.0, 0.02))
            with watch.lock:
                # The first write to a connection that the peer has closed succeeds, but the peer never reads it.
                if watch.ended or _is_closed(watch.sock):
                    raise ConnectionAbortedError
                watch.sock.sendall(piece)


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its end and all its data was read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
