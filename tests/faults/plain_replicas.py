"""Replicas without faults, in a process of their own: `python -m faults.plain_replicas COUNT SERVICE_SECONDS`.

They print their ports in one line and then, with `--record`, a line for each part: its id, and when it arrived on the
monotonic clock. One thread serves all of them, so that many parts do not cost a thread each.
"""

from __future__ import annotations

import argparse
import heapq
import select
import socket
import struct
import time

from platform_fakes import answer

_RECEIVE_BYTES = 1 << 18


class PlainReplicas:
    """`count` replicas that answer each part after `service_seconds`."""

    def __init__(self, count: int, service_seconds: float, records: bool) -> None:
        self._service_seconds, self._records = service_seconds, records
        self._listeners = {}
        self._poll = select.epoll()
        self._connections: dict[int, tuple[socket.socket, bytearray]] = {}
        self._due: list[tuple[float, str, int]] = []
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0), backlog=512)
            self._listeners[listener.fileno()] = listener
            self._poll.register(listener, select.EPOLLIN)

    @property
    def ports(self) -> list[int]:
        return [listener.getsockname()[1] for listener in self._listeners.values()]

    def run(self) -> None:
        while True:
            wait = self._due[0][0] - time.monotonic() if self._due else 1.0
            for descriptor, _ in self._poll.poll(max(wait, 0.0)):
                if descriptor in self._listeners:
                    sock, _ = self._listeners[descriptor].accept()
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._connections[sock.fileno()] = sock, bytearray()
                    self._poll.register(sock, select.EPOLLIN)
                else:
                    self._receive(descriptor)
            while self._due and self._due[0][0] <= time.monotonic():
                _, part, descriptor = heapq.heappop(self._due)
                if descriptor in self._connections:
                    self._send(descriptor, answer(part))

    def _receive(self, descriptor: int) -> None:
        sock, data = self._connections[descriptor]
        try:
            received = sock.recv(_RECEIVE_BYTES)
        except OSError:
            received = b""
        if not received:
            del self._connections[descriptor]
            sock.close()
            return
        data += received
        while len(data) >= 4 and len(data) >= 4 + (length := struct.unpack_from("<I", data)[0]):
            letter, rest = data[4:5], bytes(data[5 : 4 + length])
            del data[: 4 + length]
            if letter == b"q":
                self._read_call(descriptor, rest)

    def _read_call(self, descriptor: int, rest: bytes) -> None:
        now = time.monotonic()
        while rest:
            line, _, rest = rest.partition(b"\n")
            part, _, _, size = line.decode().split(" ")
            rest = rest[int(size) :]
            if self._records:
                print(part, f"{now:.6f}", flush=True)
            heapq.heappush(self._due, (now + self._service_seconds, part, descriptor))

    def _send(self, descriptor: int, data: bytes) -> None:
        sock, _ = self._connections[descriptor]
        try:
            sock.sendall(data)
        except OSError:
            del self._connections[descriptor]
            sock.close()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("count", type=int)
    parser.add_argument("service_seconds", type=float)
    parser.add_argument("--record", action="store_true")
    options = parser.parse_args()
    replicas = PlainReplicas(options.count, options.service_seconds, options.record)
    print(*replicas.ports, flush=True)
    replicas.run()


if __name__ == "__main__":
    main()
