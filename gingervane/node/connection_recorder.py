"""Writes the events of one connection to a replica to the socket recorder."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

from gingervane.node.parts_in_flight import PartsInFlight
from gingervane.wire.socket_recorder import SOCKET_RECORDER


class ConnectionRecorder:
    """Records a connection's events. Refers to its socket and parts, not to itself, to avoid a reference cycle."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], parts: PartsInFlight) -> None:
        self._sock = sock
        self._address = address
        self._parts = parts

    def record(self, kind: str, **fields: Any) -> None:
        """Record an event. Called only while the socket recorder is enabled."""
        with contextlib.suppress(OSError):
            held = len(self._parts.by_id)
            gone = self._parts.abandoned_count
            port = self._sock.getsockname()[1]
            SOCKET_RECORDER.record(kind, port, 0, to=self._address[0], held=held, gone=gone, **fields)
