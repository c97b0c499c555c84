"""A bad client: hundreds of requests at once, and the same again as soon as it is turned away.

Arguments: port, connections, seconds, kind. Kind `twice`: each request names one shard twice; kind `head`: each is a
head without end, of which it sends 20 KB unless it is turned away before. It reads whatever is sent to it, at full
speed; where its connection ends it opens the next. At its end it prints what it sent and what it read.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import sys
import time


def endless_head(number: int) -> bytes:
    lines = "".join(f"h{line % 10}:{line % 7}\r\n" for line in range(3400))
    return (
        f"POST /point-lookup HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: bad{number}\r\n{lines}".encode()
    )


def request(number: int) -> bytes:
    tablets = [{"tablet": 0, "fraction": 0.5}, {"tablet": 0, "fraction": 0.5}]
    body = json.dumps({"tablets": tablets, "statement": "c41e77d0"}).encode()
    head = (
        f"POST /point-lookup HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: bad{number:013x}\r\n"
        f"X-Timeout-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def main() -> None:
    port, connections, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    make = {"twice": request, "head": endless_head}[sys.argv[4]]
    poll = select.epoll()
    open_sockets: dict[int, socket.socket] = {}
    sent = 0
    answers: dict[str, int] = {}
    end = time.monotonic() + seconds

    def connect() -> None:
        nonlocal sent
        sock = socket.socket()
        sock.settimeout(1.0)
        try:
            sock.connect(("127.0.0.1", port))
            sock.sendall(make(sent))
        except OSError:
            sock.close()
            return
        sent += 1
        sock.setblocking(False)
        open_sockets[sock.fileno()] = sock
        poll.register(sock.fileno(), select.EPOLLIN)

    while time.monotonic() < end:
        while len(open_sockets) < connections and time.monotonic() < end:
            connect()
        for descriptor, _ in poll.poll(0.05):
            sock = open_sockets[descriptor]
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if data:
                status = data[9:12].decode("latin-1")
                answers[status] = answers.get(status, 0) + 1
                try:
                    sock.sendall(make(sent))
                    sent += 1
                except OSError:
                    data = b""
            if not data:
                with contextlib.suppress(OSError):
                    poll.unregister(descriptor)
                del open_sockets[descriptor]
                sock.close()
                connect()
    print(json.dumps({"sent": sent, "answers": answers}), flush=True)


main()
