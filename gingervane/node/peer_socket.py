"""Messages between co-ordinators: small datagrams that may be lost. What is in them is the module's business.

Owners: one thread receives; `tell` is called by the decision thread and does not wait.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from gingervane.wire.local_failures import patiently, start_thread

Address = tuple[str, int]
MOST_BYTES = 256  # the protocol's bound


class PeerSocket:
    """The socket at `listen`. `peers`: addresses by number; `everyone`: one address that reaches all of them."""

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        everyone: Address | None,
        me: int,
        heard: Callable[[int, bytes], None],
    ) -> None:
        self._sock = patiently(lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self._sock.bind(listen)
        self._number = {where: number for number, where in enumerate(peers) if number != me}
        self._targets = [everyone] if everyone else list(self._number)
        self._heard = heard

    def start(self) -> None:
        start_thread(self._run, "peers")

    def tell(self, payload: bytes) -> None:
        for target in self._targets if len(payload) <= MOST_BYTES else ():
            with contextlib.suppress(OSError):  # as good as lost
                self._sock.sendto(payload, socket.MSG_DONTWAIT, target)

    def _run(self) -> None:
        while True:
            try:
                payload, sender = self._sock.recvfrom(MOST_BYTES + 1)
            except OSError:
                continue
            number = self._number.get(sender)
            if number is not None and len(payload) <= MOST_BYTES:
                self._heard(number, payload)
