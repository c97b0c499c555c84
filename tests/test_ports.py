"""Reserved ports."""

from __future__ import annotations

import errno
import socket

import pytest
from ports import ReservedPort


def test_a_server_listens_on_a_reserved_port() -> None:
    with (
        ReservedPort() as reserved,
        socket.create_server(reserved.address) as server,
        socket.create_connection(reserved.address, 5.0) as client,
    ):
        accepted, peer = server.accept()
        accepted.close()
        assert peer == client.getsockname()


def test_a_reserved_port_refuses_connections_while_nobody_listens() -> None:
    with ReservedPort() as reserved, pytest.raises(ConnectionRefusedError):
        socket.create_connection(reserved.address, 5.0)


def test_a_reserved_port_is_held_until_it_is_closed() -> None:
    reserved = ReservedPort()
    with socket.socket() as other:
        with pytest.raises(OSError) as raised:
            other.bind(reserved.address)
        assert raised.value.errno == errno.EADDRINUSE
        reserved.close()
        other.bind(reserved.address)


def test_the_kernel_gives_no_reserved_port_to_another() -> None:
    """Also once a server has listened on it and ended."""
    reserved = [ReservedPort() for _ in range(50)]
    for each in reserved:
        socket.create_server(each.address).close()
    others = [socket.create_server(("127.0.0.1", 0)) for _ in range(200)]
    ports = {each.port for each in reserved}
    assert len(ports) == len(reserved)
    assert ports.isdisjoint(other.getsockname()[1] for other in others)
    for each in reserved:
        each.close()
    for other in others:
        other.close()
