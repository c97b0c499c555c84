"""A fake replica for the rig: answers parts after a random time, or fails them in random ways."""

from __future__ import annotations

import contextlib
import hashlib
import heapq
import itertools
import random
import socket
import struct
import threading
import time
from collections.abc import Callable

from faults.ledger import Ledger
from faults.plans import ReplicaFaults
from faults.proxy import close_all, parse_batch, reset
from faults.timed_frames import FrameParser


def value_of(part: str) -> str:
    """Return the value of a part, which is the same at every replica."""
    return hashlib.blake2b(part.encode(), digest_size=8).hexdigest()


def score_of(part: str) -> int:
    """Return the score of a part, which is the same at every replica."""
    return int.from_bytes(hashlib.blake2b(part.encode(), digest_size=4, person=b"score").digest(), "big")


def good_answer(part: str) -> bytes:
    return _frame(b"a", f"{part} served {score_of(part)} -\n{value_of(part)}".encode())


def _frame(frame_type: bytes, payload: bytes) -> bytes:
    return struct.pack("<I", 1 + len(payload)) + frame_type + payload


def _malformed_answer(part: str, chance: random.Random) -> bytes:
    """Return one of several kinds of malformed answer, chosen at random."""
    good = f"{part} served {score_of(part)} -\n{value_of(part)}".encode()
    return chance.choice(
        (
            _frame(b"z", good),
            _frame(b"a", good[:-3]),
            _frame(b"a", good + b"0"),
            _frame(b"a", good.upper()),
            struct.pack("<I", 3 << 30) + b"a" + good,
            struct.pack("<I", 40000) + b"a" + good,
            _frame(b"a", b"nobody.77 served 1 -\n" + value_of(part).encode()),
            _frame(b"a", good.replace(b" served ", b" served-ish ")),
            _frame(b"a", good.replace(b"\n", b" ")),
            chance.randbytes(40),
            _frame(b"a", good.replace(b" -\n", b"\n")),
        )
    )


class EventScheduler:
    """Calls functions at given times, on one thread."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._change = threading.Condition()
        self._stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def at(self, moment: float, callback: Callable[[], None]) -> None:
        with self._change:
            heapq.heappush(self._heap, (moment, next(self._numbers), callback))
            self._change.notify()

    def stop(self) -> None:
        with self._change:
            self._stopped = True
            self._change.notify()

    def _run(self) -> None:
        while True:
            with self._change:
                while not self._stopped and (not self._heap or self._heap[0][0] > time.monotonic()):
                    wait = self._heap[0][0] - time.monotonic() if self._heap else None
                    self._change.wait(wait)
                if self._stopped:
                    return
                callback = heapq.heappop(self._heap)[2]
            callback()


class Replica:
    """One replica. `slow_times`: the least and greatest service time of a slow answer, in seconds."""

    def __init__(
        self,
        number: int,
        faults: ReplicaFaults,
        slow_times: tuple[float, float],
        seed: int,
        scheduler: EventScheduler,
        ledger: Ledger,
    ) -> None:
        self._number = number
        self._faults, self._slow_times, self._scheduler, self._ledger = faults, slow_times, scheduler, ledger
        self._chance = random.Random(f"{seed}/replica/{number}")
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._sockets: list[socket.socket] = []
        self.takes_parts = True  # False while it drains or is gone
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._sockets.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser = FrameParser(
            lambda frame_type, payload: self._serve_batch(sock, payload) if frame_type == b"q" else None
        )
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                parser.feed(data)
        sock.close()

    def _serve_batch(self, sock: socket.socket, payload: bytes) -> None:
        for part, *_ in parse_batch(payload):
            if self.takes_parts:
                self._answer_part(sock, part)
            else:
                _send(sock, _frame(b"a", f"{part} skipped - -\n".encode()))

    def _answer_part(self, sock: socket.socket, part: str) -> None:
        faults, draw, chance = self._faults, self._chance.random(), self._chance
        service_time = faults.latency * chance.uniform(0.5, 2.0)
        if chance.random() < faults.slow:
            service_time = chance.uniform(*self._slow_times)
            self._ledger.record_fault("replica slow", self._number)
        due = time.monotonic() + service_time
        kinds = (
            ("silent", faults.silent),
            ("broke", faults.broke),
            ("skipped", faults.skipped),
            ("spoilt", faults.spoilt),
            ("closes", faults.closes),
            ("doubled", faults.doubled),
        )
        kind = "good"
        for name, share in kinds:
            if draw < share:
                kind = name
                self._ledger.record_fault(f"replica {name}", self._number)
                break
            draw -= share
        if kind == "silent":
            return
        data = {
            "broke": _frame(b"a", f"{part} broke - -\n".encode()),
            "skipped": _frame(b"a", f"{part} skipped - -\n".encode()),
            "doubled": good_answer(part) * 2,
        }.get(kind) or (_malformed_answer(part, chance) if kind == "spoilt" else good_answer(part))
        self._scheduler.at(due, lambda: reset(sock) if kind == "closes" else _send(sock, data))

    def close(self) -> None:
        close_all(self._listener, self._sockets)


def _send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(data)
