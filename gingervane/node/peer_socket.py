"""Gossip between co-ordinators: small datagrams that may be lost. The decision engine defines their content.

One thread receives; the decision thread calls `send`, which does not wait.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from gingervane.wire.local_failures import retry_local_failures, start_thread

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 256  # the protocol's limit


class PeerSocket:
    """The datagram socket bound to `listen`.

    `peers`: the addresses by ordinal, with this co-ordinator's own at `ordinal`; `broadcast`: one address that
    reaches all of them. `on_message` is called with a peer's ordinal and the payload.
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
        """Start the receiving thread."""
        start_thread(self._run, "peers")

    def send(self, payload: bytes) -> None:
        """Send a payload to all peers; one that is too large is dropped."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            return
        for target in self._targets:
            with contextlib.suppress(OSError):  # the same as a lost datagram
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
