"""Clients that connect faster than they are turned away: everybody else has to be served beside them."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from connection_tools import BlockableMethod, idle_client, in_background
from platform_fakes import (
    WAIT_TIMEOUT_SECONDS,
    Platform,
    Replica,
    connections_of,
    query,
    reply,
    wait_until,
)

from gingervane.fronts.connection_output import NextStep
from gingervane.fronts.connection_reader import ConnectionReader
from gingervane.fronts.connections import ConnectionManager

TIMEOUT_MS = 6000  # the deadline of the class
TURN_SECONDS = 0.3


class EndlessListener:
    """A listener that always has one more connection to accept, until `end` is set."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._clients: list[socket.socket] = []
        self.ended = False
        self.accepted = 0

    def accept(self) -> tuple[socket.socket, Any]:
        if self.ended:
            raise BlockingIOError
        self.accepted += 1
        client, server = socket.socketpair()
        self._clients = [*self._clients[-1:], client]  # clients that are turned away leave
        return server, None

    def close(self) -> None:
        self._listener.close()

    def fileno(self) -> int:
        return self._listener.fileno()


@pytest.fixture
def open_client(platform: Platform) -> Iterator[socket.socket]:
    """A client whose connection was accepted before the flood."""
    sock = idle_client(platform)
    sock.settimeout(WAIT_TIMEOUT_SECONDS)
    yield sock
    sock.close()


@pytest.fixture
def flood(platform: Platform, open_client: socket.socket) -> Iterator[EndlessListener]:
    """Connections arrive without end as soon as a first one does."""
    connections = connections_of(platform)
    acceptor = connections._acceptor
    listener = EndlessListener(acceptor.listener)
    acceptor.listener = listener  # type: ignore[assignment]
    yield listener
    listener.ended = True


# Guards against an accept loop that ends with its backlog: requests on open connections stayed unread.
def test_a_request_on_an_open_connection_is_served_while_connections_arrive_without_end(
    platform: Platform, open_client: socket.socket, flood: EndlessListener
) -> None:
    with platform.client():
        wait_until(lambda: flood.accepted > 0, "the flood has begun")
        open_client.sendall(query("q", {0: 1.0}))
        assert reply(open_client)[0] == 200
        served_at = flood.accepted
        wait_until(lambda: flood.accepted > served_at, "connections are accepted as before")


# Guards against a request that is dated when its turn comes: replicas were told time that was not left.
def test_time_in_which_a_request_waits_for_its_turn_is_not_told_to_replicas(
    platform: Platform, open_client: socket.socket, connection_events: BlockableMethod
) -> None:
    with platform.client() as other_client:
        other_client.settimeout(WAIT_TIMEOUT_SECONDS)
        assert platform.ask("other", {0: 1.0}, sock=other_client)[0] == 200
        wait_until(lambda: len(connections_of(platform).table.idle) == 2, "both connections are idle")
        connection_events.block()
        open_client.sendall(query("held", {0: 1.0}))
        assert connection_events.entered.wait(WAIT_TIMEOUT_SECONDS)  # a turn has begun, and takes its time
        sent_at = time.monotonic()
        other_client.sendall(query("late", {0: 1.0}, timeout_ms=TIMEOUT_MS))
        wait_until(lambda: time.monotonic() > sent_at + TURN_SECONDS, "the turn has taken its time")
        connection_events.unblock()
        assert reply(other_client)[0] == 200
    parts = [part for replica in platform.replicas for part in replica.parts.items]
    (told,) = [int(part.words["d"]) for part in parts if part.id == "late.0"]
    assert told <= TIMEOUT_MS - TURN_SECONDS * 1000


# Guards against a shutdown that waits until clients stop connecting.
def test_shutdown_ends_while_connections_arrive_without_end(
    platform: Platform, flood: EndlessListener
) -> None:
    shutdown = in_background(platform.node.server.stop_accepting)
    shutdown.join(WAIT_TIMEOUT_SECONDS)
    assert not shutdown.is_alive() and flood.accepted > 0


# Guards against a reply that waits behind the reading of everybody else, at a shutdown until SIGKILL.
def test_a_reply_that_is_made_is_sent_before_further_requests_are_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, connection_events: BlockableMethod
) -> None:
    replica, order = Replica(0, lambda wire, part: None), list[str]()
    platform = Platform(tmp_path, replica)
    clients = [platform.client() for _ in range(6)]
    clients[0].sendall(query("held", {0: 1.0}))
    replica.parts.wait()
    wait_until(lambda: len(connections_of(platform).table.awaiting_first_byte) == 5, "all are accepted")
    read, send = ConnectionReader.read_soon, ConnectionManager.send

    def recorded_read(*arguments: Any) -> None:
        order.append("read")
        read(*arguments)

    def recorded_send(*arguments: Any) -> NextStep:
        order.append("send")
        return send(*arguments)

    monkeypatch.setattr(ConnectionReader, "read_soon", recorded_read)
    monkeypatch.setattr(ConnectionManager, "send", recorded_send)
    connection_events.block()
    for client in clients[1:]:
        client.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n")  # no end of its head yet
    assert connection_events.entered.wait(WAIT_TIMEOUT_SECONDS)
    replica.wires[0].answer("held.0")
    opened = connections_of(platform).table.open
    wait_until(lambda: any(callable(c.work) for c in list(opened.values())), "the reply can be made")
    connection_events.unblock()
    assert reply(clients[0])[0] == 200
    wait_until(lambda: order.count("read") == 5, "all others are read")
    assert order[:2] == ["read", "send"]
    for client in clients:
        client.close()
    platform.close()
