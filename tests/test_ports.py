"""Tests of `ReservedPort`, the test helper that reserves a TCP port."""

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


def test_a_reserved_port_refuses_connections_without_a_listener() -> None:
    with ReservedPort() as reserved, pytest.raises(ConnectionRefusedError):
        socket.create_connection(reserved.address, 5.0)


def test_a_reserved_port_cannot_be_bound_until_it_is_closed() -> None:
    reserved = ReservedPort()
    with socket.socket() as other:
        with pytest.raises(OSError) as raised:
            other.bind(reserved.address)
        assert raised.value.errno == errno.EADDRINUSE
        reserved.close()
        other.bind(reserved.address)


def test_the_kernel_assigns_no_reserved_port_to_another_socket() -> None:
    """The reservation also lasts after a server has listened on the port and closed it."""
    reserved = [ReservedPort() for _ in range(50)]
    for reserved_port in reserved:
        socket.create_server(reserved_port.address).close()
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(200)]
    ports = {reserved_port.port for reserved_port in reserved}
    assert len(ports) == len(reserved)
    assert ports.isdisjoint(server.getsockname()[1] for server in servers)
    for reserved_port in reserved:
        reserved_port.close()
    for server in servers:
        server.close()
