"""Reserves a loopback port before a server binds it."""

from __future__ import annotations

import socket
from typing import Self


class ReservedPort:
    """A port of 127.0.0.1 that the kernel assigns to no other socket until `close`.

    Its socket is bound but does not listen. A server that sets SO_REUSEADDR, as `socket.create_server` does,
    can bind the port and listen on it; while none does, connections are refused.
    """

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(("127.0.0.1", 0))
        except OSError:
            self._sock.close()
            raise
        self.address: tuple[str, int] = self._sock.getsockname()
        self.port = self.address[1]

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Release the port."""
        self._sock.close()
