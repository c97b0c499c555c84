"""The order of requests: small new ones at once, large and pipelined ones in turns, within their limits."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from gingervane.fronts.client_connection import ClientConnection
from gingervane.fronts.connection_input import ConnectionInput
from gingervane.fronts.request_turns import RequestTurns
from gingervane.limits.memory_budget import MemoryBudget
from gingervane.wire.http1 import Limits

BUDGET = MemoryBudget(1 << 30)


@pytest.fixture
def sock() -> Iterator[socket.socket]:
    with socket.socket() as opened:
        yield opened


def connection(sock: socket.socket, *, size: int = 0, pipelined: bool = False) -> ClientConnection:
    made = ClientConnection(sock, 0.0, 0.0, ConnectionInput(Limits(), BUDGET))
    made.is_pipelined = pipelined
    made.input._holding.resize(size)
    return made


def test_a_small_new_request_need_not_wait(sock: socket.socket) -> None:
    assert not RequestTurns().add(connection(sock, size=2000), 0.0)


# Guards against a client that delays all others by what it sends without waiting for its replies.
def test_pipelined_requests_are_bounded_and_refused_only_where_there_is_no_room(sock: socket.socket) -> None:
    turns = RequestTurns()
    waiting = [connection(sock, pipelined=True) for _ in range(40)]
    assert all(turns.add(made, 0.0) for made in waiting)
    served = [made for _ in range(20) for made in turns.take(5.0)]
    assert len(served) >= 32 and not any(made.waited_too_long for made in served[:32])
    assert all(made.waited_too_long for made in served[32:])
    for made in served:
        turns.finish(made)
        turns.finish(made)
    assert turns.add(waiting[0], 6.0) and turns.take(6.0) == [waiting[0]] and not turns.has_waiting


def test_large_requests_are_bounded_in_bytes(sock: socket.socket) -> None:
    turns = RequestTurns()
    waiting = [connection(sock, size=300_000) for _ in range(6)]
    assert all(turns.add(made, 0.0) for made in waiting)
    served = [made for _ in range(6) for made in turns.take(0.05)]
    assert served == waiting[:4] and turns.has_waiting and not turns.has_due
    turns.finish(served[0])
    assert turns.has_due and turns.take(0.06) == [waiting[4]]
    refused = turns.take(0.2)
    assert refused == [waiting[5]] and refused[0].waited_too_long
