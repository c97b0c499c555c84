"""The input of a client connection: what it charges to the memory budget, and that all of it is released."""

from __future__ import annotations

import gc
import socket
from collections.abc import Iterator

import pytest

from gingervane.fronts.connection_input import ConnectionInput, Received
from gingervane.limits.memory_budget import MemoryBudget
from gingervane.wire.http1 import HttpError, Limits

LIMITS = Limits(head=16384, body=65536)
MANY_FIELDS = b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 90 + b"\r\n"


@pytest.fixture
def sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    server, client = socket.socketpair()
    server.setblocking(False)
    yield server, client
    server.close()
    client.close()


def receive(input_: ConnectionInput, sock: socket.socket, most: int = 2048) -> Received:
    return input_.receive(sock, memoryview(bytearray(most)), is_small=True)


# Guards against refused requests that stay in memory through the traceback of an error that is raised again.
def test_a_request_that_is_refused_for_lack_of_memory_leaves_nothing_behind(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    server, client = sockets
    budget = MemoryBudget(10_000)  # room for the bytes, and not for 90 fields as strings
    for _ in range(20):
        input_ = ConnectionInput(LIMITS, budget)
        client.sendall(MANY_FIELDS)
        assert receive(input_, server) is Received.BYTES
        with pytest.raises(HttpError, match="no memory"):
            input_.parse()
        input_.close()
    del input_
    assert not any(isinstance(item, ConnectionInput) for item in gc.get_objects())
    assert not budget.used


def test_without_room_nothing_is_received_and_the_end_of_the_stream_is_seen(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    server, client = sockets
    input_ = ConnectionInput(LIMITS, MemoryBudget(1000))
    assert receive(input_, server) is Received.NOTHING_YET
    client.sendall(b"GET /")
    assert receive(input_, server) is Received.NO_ROOM
    assert server.recv(100) == b"GET /"
    client.close()
    assert receive(input_, server) is Received.END
