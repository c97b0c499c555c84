"""Clients that misuse their connections: hundreds at once, slow, silent, greedy, or gone as soon as they have sent.

`python -m faults.bad_clients PORT KIND CONNECTIONS SECONDS` runs them in a process of its own. Each connection
follows the script of its kind, a sequence of bytes to send and of pauses; where it ends, or the node ends it, another
is opened. At its end the command prints how many were opened, and the answers by status.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator

from faults.proxy import reset

BODY_BYTES = 60_000  # near the platform's limit of a body
PIPELINED = 60
REPEATED = 12
BAD_PREFIX = "bad-"  # of the ids of their requests
# A step of a script: bytes to send, seconds to wait, or `REPLY`: wait until something is received.
REPLY = "reply"
Step = bytes | float | str
Script = Callable[[str], Iterator[Step]]


def request(
    name: str, path: str = "/look", parts: int = 1, statement: str = "c41e", timeout_ms: int = 3000
) -> bytes:
    """Return a valid request of `parts` parts."""
    tablets = [{"tablet": shard, "fraction": 1 / parts} for shard in range(parts)]
    body = json.dumps({"tablets": tablets, "statement": statement}).encode()
    return head(name, len(body), path, timeout_ms) + body


def head(name: str, length: int, path: str = "/look", timeout_ms: int = 3000) -> bytes:
    lines = f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
    return f"{lines}Content-Length: {length}\r\n\r\n".encode()


def in_pieces(data: bytes, size: int, pause: float) -> Iterator[Step]:
    for start in range(0, len(data), size):
        yield data[start : start + size]
        yield pause


def first_byte(_name: str) -> Iterator[Step]:
    yield b"P"
    yield 60.0


def many_fields_in_pieces(name: str) -> Iterator[Step]:
    fields = b"".join(b"f%d: %d\r\n" % (i, i % 10) for i in range(95))
    first_line = b"POST /look HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\n" % name.encode()
    yield from in_pieces(first_line + fields, 40, 0.04)
    yield 60.0


def fields_at_once(_name: str) -> Iterator[Step]:
    yield b"POST /look HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 3270
    yield REPLY


def stopped_body(name: str) -> Iterator[Step]:
    yield head(name, BODY_BYTES) + b"x" * 50_000
    yield 60.0


def slow_body(name: str) -> Iterator[Step]:
    statement = "s" * (BODY_BYTES - 60)
    yield from in_pieces(request(name, statement=statement), 3000, 0.05)
    yield REPLY


def stop_and_go(name: str) -> Iterator[Step]:
    yield head(name, BODY_BYTES) + b"x" * 20_000
    for _ in range(5):
        yield 0.4
        yield b"x" * 6_000
    yield 60.0


def large_requests(name: str) -> Iterator[Step]:
    for number in range(1000):
        yield request(f"{name}-{number}", parts=8, statement="s" * (BODY_BYTES - 500))
        yield REPLY


def tiny_chunks(name: str) -> Iterator[Step]:
    first = head(name, 0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    yield first + b"1\r\nx\r\n" * 1000
    yield 60.0


def unread_replies(name: str) -> Iterator[Step]:
    yield b"".join(request(f"{name}-{number}", parts=8) for number in range(PIPELINED))
    yield 60.0


def huge_body(name: str) -> Iterator[Step]:
    yield head(name, 60_000_000)
    for _ in range(60_000_000 // 60_000):
        yield b"x" * 60_000


def unsound(name: str) -> Iterator[Step]:
    for number in range(100_000):
        yield request(f"{name}-{number}").replace(b'"fraction": 1.0', b'"fraction": 7.0')
        yield REPLY


def unknown_classes(name: str) -> Iterator[Step]:
    for number in range(100_000):
        yield request(f"{name}-{number}", path=f"/c{name}-{number}")
        yield REPLY


def sound(name: str) -> Iterator[Step]:
    for number in range(100_000):
        yield request(f"{name}-{number}")
        yield REPLY


def closed_requests(name: str) -> Iterator[Step]:
    yield (
        b"POST /look HTTP/1.1\r\nHost: x\r\n"
        + b"X-Request-ID: %s\r\n" % name.encode() * 2
        + b"no colon\r\n\r\n"
    )
    yield REPLY


def repeated_ids(name: str) -> Iterator[Step]:
    """Unsafe requests of a client that leaves, and that another connection sends again with the same ids."""
    prefix, _, number = name.rpartition("-")
    requests = [request(f"{prefix}-{int(number) // 2}-{i}", path="/book") for i in range(REPEATED)]
    yield b"".join(requests)
    yield 0.06


def leaves_behind_bytes(name: str) -> Iterator[Step]:
    yield request(name, parts=3) + request(f"{name}-behind") * 400
    yield 0.01


KINDS: dict[str, Script] = {
    "first-byte": first_byte,
    "fields-in-pieces": many_fields_in_pieces,
    "fields-at-once": fields_at_once,
    "stopped-body": stopped_body,
    "slow-body": slow_body,
    "stop-and-go": stop_and_go,
    "large-requests": large_requests,
    "tiny-chunks": tiny_chunks,
    "unread-replies": unread_replies,
    "huge-body": huge_body,
    "unsound": unsound,
    "unknown-classes": unknown_classes,
    "sound": sound,
    "closed-requests": closed_requests,
    "repeated-ids": repeated_ids,
    "leaves-behind-bytes": leaves_behind_bytes,
}
# Kinds that read nothing, so that replies fill the buffers of their connections.
DEAF_KINDS = {"unread-replies"}


class _BadConnection:
    """One connection and its script."""

    def __init__(self, address: tuple[str, int], script: Iterator[Step], is_deaf: bool) -> None:
        self.sock = socket.socket()
        if is_deaf:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.sock.settimeout(1.0)
        self.sock.connect(address)
        self.sock.setblocking(False)
        self.is_deaf = is_deaf
        self.awaits_reply = False
        self._script = script
        self._unsent = b""

    @property
    def events(self) -> int:
        wanted = 0 if self.is_deaf else select.EPOLLIN
        return wanted | (select.EPOLLOUT if self._unsent else 0)

    def advance(self) -> float:
        """Send until a step waits; return the seconds to wait, or 0 if an event of the socket ends the wait."""
        while True:
            if self._unsent:
                try:
                    self._unsent = self._unsent[self.sock.send(self._unsent) :]
                except BlockingIOError:
                    return 0.0
                continue
            step = next(self._script, None)
            if step is None:
                raise ConnectionError("its script has ended")
            if isinstance(step, bytes):
                self._unsent = step
            elif isinstance(step, str):
                self.awaits_reply = True
                return 0.0
            else:
                return step


class BadClients:
    """Runs `count` connections of one kind against a node, on the calling thread, for some seconds."""

    def __init__(self, address: tuple[str, int], kind: str, count: int) -> None:
        self._address, self._kind, self._count = address, kind, count
        self._prefix = f"{BAD_PREFIX}{kind}-{os.getpid()}"
        self._poll = select.epoll()
        self._open: dict[int, _BadConnection] = {}
        self._wake_ups: list[tuple[float, int, _BadConnection]] = []
        self.opened = 0
        self.statuses = Counter[str]()

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for _ in range(min(self._count - len(self._open), 32)):
                self._connect()
            for descriptor, events in self._poll.poll(0.01):
                self._handle(self._open[descriptor], events)
            now = time.monotonic()
            while self._wake_ups and self._wake_ups[0][0] <= now:
                connection = heapq.heappop(self._wake_ups)[2]
                if connection.sock.fileno() in self._open:
                    self._advance(connection)
        for connection in list(self._open.values()):
            self._close(connection)

    def _connect(self) -> None:
        self.opened += 1
        script = KINDS[self._kind](f"{self._prefix}-{self.opened}")
        try:
            connection = _BadConnection(self._address, script, self._kind in DEAF_KINDS)
        except OSError:
            time.sleep(0.01)
            return
        self._open[connection.sock.fileno()] = connection
        self._poll.register(connection.sock, connection.events)
        self._advance(connection)

    def _advance(self, connection: _BadConnection) -> None:
        try:
            seconds = connection.advance()
            self._poll.modify(connection.sock, connection.events)
        except OSError:
            self._close(connection)
            return
        if seconds:
            heapq.heappush(self._wake_ups, (time.monotonic() + seconds, id(connection), connection))

    def _handle(self, connection: _BadConnection, events: int) -> None:
        if events & ~select.EPOLLOUT:
            try:
                data = connection.sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self._close(connection)
                return
            self.statuses[data[9:12].decode("latin-1")] += 1
            if not connection.awaits_reply:
                return
            connection.awaits_reply = False
        self._advance(connection)

    def _close(self, connection: _BadConnection) -> None:
        self._open.pop(connection.sock.fileno(), None)
        with contextlib.suppress(OSError):
            self._poll.unregister(connection.sock)
        if self._kind == "huge-body":
            reset(connection.sock)
        connection.sock.close()


def main() -> None:
    port, kind, count, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    clients = BadClients(("127.0.0.1", port), kind, count)
    clients.run(seconds)
    print(json.dumps({"opened": clients.opened, "statuses": clients.statuses}), flush=True)


if __name__ == "__main__":
    main()
