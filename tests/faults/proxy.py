"""A TCP proxy between a node and a replica: resets, splits, delays and stalls connections.

It also records the traffic on the node's side, for the judge: a part when its last byte has arrived from the node,
an answer just before its last byte is sent to the node.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue

from faults.ledger import AnswerForwarded, Ledger, PartReceived
from faults.plans import ProxyFaults
from faults.timed_frames import (
    Arrival,
    FrameParser,
    TimedFrame,
    TimedFrameParser,
    TimedReceiver,
    enable_timestamps,
)


def parse_batch(payload: bytes) -> list[tuple[str, int, dict[str, str], bytes]]:
    """Return the id, shard, fields and text of each part of a batch request."""
    parts = []
    while payload:
        line, _, payload = payload.partition(b"\n")
        part, shard, fields, size = line.decode().split(" ")
        text, payload = payload[: int(size)], payload[int(size) :]
        pairs = dict(word.split("=", 1) for word in fields.split(","))
        parts.append((part, int(shard), pairs, text))
    return parts


def reset(sock: socket.socket) -> None:
    """Close a connection with RST."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
    sock.close()


def close_all(listener: socket.socket, connections: list[socket.socket]) -> None:
    """Close a listener and its connections; the shutdown wakes their threads from accept and recv."""
    for sock in (listener, *connections):
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()


class Proxy:
    """Forwards the connections of one node to one replica."""

    def __init__(
        self,
        target: tuple[str, int],
        node: int,
        replica: int,
        faults: ProxyFaults,
        seed: str,
        ledger: Ledger,
    ) -> None:
        self._target, self._node, self._replica = target, node, replica
        self._faults, self._seed, self._ledger = faults, seed, ledger
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        enable_timestamps(self._listener)  # accepted sockets inherit the option
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for number in range(1 << 30):
                node_sock, _ = self._listener.accept()
                replica_sock = socket.create_connection(self._target, 5.0)
                replica_sock.settimeout(None)
                for sock in (node_sock, replica_sock):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._sockets += [node_sock, replica_sock]
                answers = FrameParser(self._record_answer)
                for direction, source, sink, on_read, on_written in (
                    ("up", node_sock, replica_sock, self._part_recorder(), _ignore_written),
                    ("down", replica_sock, node_sock, _ignore_read, answers.feed),
                ):
                    chance = random.Random(f"{self._seed}/{number}/{direction}")
                    threading.Thread(
                        target=self._pump, args=(source, sink, on_read, on_written, chance), daemon=True
                    ).start()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        on_read: Callable[[Arrival], None],
        on_written: Callable[[bytes], None],
        chance: random.Random,
    ) -> None:
        """Read and record bytes as they arrive; another thread forwards them, perhaps with delays."""
        pending: SimpleQueue[bytes] = SimpleQueue()
        threading.Thread(
            target=self._forward, args=(pending, source, sink, on_written, chance), daemon=True
        ).start()
        with contextlib.suppress(OSError):
            receiver = TimedReceiver(source)
            while (arrival := receiver.receive()).data:
                on_read(arrival)
                pending.put(arrival.data)
        pending.put(b"")

    def _forward(
        self,
        pending: SimpleQueue[bytes],
        source: socket.socket,
        sink: socket.socket,
        on_written: Callable[[bytes], None],
        chance: random.Random,
    ) -> None:
        faults = self._faults
        try:
            while data := pending.get():
                if chance.random() < faults.stuck:
                    self._ledger.record_fault("proxy stuck", self._replica, self._node)
                    while pending.get():
                        pass
                    break
                if chance.random() < faults.delay:
                    self._ledger.record_fault("proxy delay", self._replica, self._node)
                    time.sleep(chance.uniform(0, faults.longest_delay))
                if chance.random() < faults.reset:
                    self._ledger.record_fault("proxy reset", self._replica, self._node)
                    prefix = data[: chance.randint(0, len(data))]
                    on_written(prefix)  # before it is sent, as in `_write_pieces`
                    sink.sendall(prefix)
                    reset(source)
                    reset(sink)
                    return
                self._write_pieces(sink, data, on_written, chance)
        except OSError:
            pass
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _write_pieces(
        self,
        sink: socket.socket,
        data: bytes,
        on_written: Callable[[bytes], None],
        chance: random.Random,
    ) -> None:
        pieces = [data]
        if len(data) > 1 and chance.random() < self._faults.split:
            self._ledger.count_fault("proxy split")
            at = chance.randint(1, len(data) - 1)
            pieces = [data[:at], data[at:]]
        for number, piece in enumerate(pieces):
            if number:
                time.sleep(chance.uniform(0, 0.01))
            on_written(piece)  # before it is sent: its consequences at the node must not be recorded first
            sink.sendall(piece)

    def _part_recorder(self) -> Callable[[Arrival], None]:
        """Return a function that is fed the bytes of one connection and records their parts."""

        def record_parts(frame: TimedFrame) -> None:
            if frame.frame_type != b"q":
                return
            for part, shard, fields, _ in parse_batch(frame.payload):
                timeout = int(fields["d"]) / 1000
                part_received = PartReceived(
                    frame.at,
                    frame.earliest,
                    frame.woke_at,
                    self._node,
                    self._replica,
                    part,
                    shard,
                    timeout,
                    fields,
                )
                self._ledger.record(part_received)

        return TimedFrameParser(record_parts).feed

    def _record_answer(self, frame_type: bytes, payload: bytes) -> None:
        line, _, value = payload.partition(b"\n")
        fields = line.decode("latin-1").split(" ")
        if frame_type == b"a" and len(fields) == 4:
            self._ledger.record(
                AnswerForwarded(
                    time.monotonic(), self._replica, fields[0], fields[1], value.decode("latin-1")
                )
            )

    def close(self) -> None:
        close_all(self._listener, self._sockets)


def _ignore_written(data: bytes) -> None:
    """Ignore bytes sent to the replica."""


def _ignore_read(arrival: Arrival) -> None:
    """Ignore bytes received from the replica."""
