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
from faults.timed_frames import Arrival, FrameParser, TimedFrame, TimedFrameParser, TimedReceiver, stamp


def parse_call(rest: bytes) -> list[tuple[str, int, dict[str, str], bytes]]:
    """Return the id, shard, fields and text of each part of a batch request."""
    found = []
    while rest:
        line, _, rest = rest.partition(b"\n")
        part, shard, words, size = line.decode().split(" ")
        text, rest = rest[: int(size)], rest[int(size) :]
        pairs = dict(word.split("=", 1) for word in words.split(","))
        found.append((part, int(shard), pairs, text))
    return found


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
        self._open: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        stamp(self._listener)  # accepted sockets inherit the option
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for number in range(1 << 30):
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target, 5.0)
                far.settimeout(None)
                for sock in (near, far):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._open += [near, far]
                answers = FrameParser(self._answer)
                for name, source, sink, read, written in (
                    ("up", near, far, self._part_recorder(), _nothing),
                    ("down", far, near, _nothing_read, answers.feed),
                ):
                    chance = random.Random(f"{self._seed}/{number}/{name}")
                    threading.Thread(
                        target=self._pump, args=(source, sink, read, written, chance), daemon=True
                    ).start()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        read: Callable[[Arrival], None],
        written: Callable[[bytes], None],
        chance: random.Random,
    ) -> None:
        """Read and record bytes as they arrive; another thread forwards them, perhaps with delays."""
        waiting: SimpleQueue[bytes] = SimpleQueue()
        threading.Thread(
            target=self._carry, args=(waiting, source, sink, written, chance), daemon=True
        ).start()
        with contextlib.suppress(OSError):
            receiver = TimedReceiver(source)
            while (arrival := receiver.receive()).data:
                read(arrival)
                waiting.put(arrival.data)
        waiting.put(b"")

    def _carry(
        self,
        waiting: SimpleQueue[bytes],
        source: socket.socket,
        sink: socket.socket,
        written: Callable[[bytes], None],
        chance: random.Random,
    ) -> None:
        faults = self._faults
        try:
            while data := waiting.get():
                if chance.random() < faults.stuck:
                    self._ledger.record_fault("proxy stuck", self._replica, self._node)
                    while waiting.get():
                        pass
                    break
                if chance.random() < faults.delay:
                    self._ledger.record_fault("proxy delay", self._replica, self._node)
                    time.sleep(chance.uniform(0, faults.longest_delay))
                if chance.random() < faults.reset:
                    self._ledger.record_fault("proxy reset", self._replica, self._node)
                    kept = data[: chance.randint(0, len(data))]
                    written(kept)  # before it is sent, as in `_pass_on`
                    sink.sendall(kept)
                    reset(source)
                    reset(sink)
                    return
                self._pass_on(sink, data, written, chance)
        except OSError:
            pass
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _pass_on(
        self,
        sink: socket.socket,
        data: bytes,
        written: Callable[[bytes], None],
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
            written(piece)  # before it is sent: its consequences at the node must not be recorded first
            sink.sendall(piece)

    def _part_recorder(self) -> Callable[[Arrival], None]:
        """Return a function that is fed the bytes of one connection and records their parts."""

        def call(frame: TimedFrame) -> None:
            if frame.letter != b"q":
                return
            for part, shard, words, _ in parse_call(frame.rest):
                wait = int(words["d"]) / 1000
                part_received = PartReceived(
                    frame.at,
                    frame.earliest,
                    frame.woke_at,
                    self._node,
                    self._replica,
                    part,
                    shard,
                    wait,
                    words,
                )
                self._ledger.record(part_received)

        return TimedFrameParser(call).feed

    def _answer(self, letter: bytes, rest: bytes) -> None:
        line, _, value = rest.partition(b"\n")
        words = line.decode("latin-1").split(" ")
        if letter == b"a" and len(words) == 4:
            self._ledger.record(
                AnswerForwarded(time.monotonic(), self._replica, words[0], words[1], value.decode("latin-1"))
            )

    def close(self) -> None:
        close_all(self._listener, self._open)


def _nothing(data: bytes) -> None:
    """Ignore bytes sent to the replica."""


def _nothing_read(arrival: Arrival) -> None:
    """Ignore bytes received from the replica."""
