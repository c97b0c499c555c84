"""Gossip between co-ordinators: small datagrams that may be lost, whose content is the decision module's.

One thread receives; `send` is called by the decision thread and does not wait.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from gingervane.wire.local_failures import retry_local_failures, start_thread

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 256  # the protocol's limit


class PeerSocket:
    """The socket at `listen`.

    `peers`: addresses by ordinal, of which `ordinal` is this co-ordinator's own; `broadcast`: one address that
    reaches all of them. `on_message` gets a peer's ordinal and its payload.
    """

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        ordinal: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self._sock = retry_local_failures(lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self._sock.bind(listen)
        self._ordinals = {address: number for number, address in enumerate(peers) if number != ordinal}
        self._targets = [broadcast] if broadcast else list(self._ordinals)
        self._on_message = on_message

    def start(self) -> None:
        """Receive from now on."""
        start_thread(self._run, "peers")

    def send(self, payload: bytes) -> None:
        """Send a payload to all peers; one that is too large is dropped."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            return
        for target in self._targets:
            with contextlib.suppress(OSError):  # as good as lost
                self._sock.sendto(payload, socket.MSG_DONTWAIT, target)

    def _run(self) -> None:
        while True:
            try:
                payload, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            ordinal = self._ordinals.get(sender)
            if ordinal is not None and len(payload) <= MAX_DATAGRAM_BYTES:
                self._on_message(ordinal, payload)
