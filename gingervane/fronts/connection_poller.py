"""Polls client connections and their listener through epoll; each event must be requested (armed) anew.

An event that could not be requested, for lack of resources on this host, is requested again after a pause.
The caller holds the connection manager's lock during all calls except `wait`, which only the polling thread
calls.
"""

from __future__ import annotations

import contextlib
import errno
import select
import time
from collections import Counter
from collections.abc import Callable

from gingervane.fronts.client_connection import ClientConnection, Phase
from gingervane.wire.local_failures import retry_local_failures


class ConnectionPoller:
    """One epoll instance, and the connections whose next event is still to be requested."""

    def __init__(self, listener_descriptor: int) -> None:
        self._epoll = retry_local_failures(select.epoll)
        self._listener_descriptor = listener_descriptor
        self._unarmed = dict[ClientConnection, None]()
        self._polled_at = time.monotonic()  # end of the last wait
        self.events_since = self._polled_at  # earliest time at which the last events may have occurred
        self.failures: Counter[str] = Counter()  # failed system calls, by call and error

    def start(self) -> None:
        """Register the listener, retrying transient failures. Raises OSError if they persist."""
        retry_local_failures(
            lambda: self._epoll.register(self._listener_descriptor, select.EPOLLIN | select.EPOLLONESHOT)
        )

    def wait(self, timeout: Callable[[], float]) -> list[tuple[int, int]]:
        """Wait for events; return each as a file descriptor and its event mask.

        `timeout`: returns the longest wait in seconds; called if no event is pending yet.
        """
        events = self._poll(0.0)
        if events:  # they may have occurred while those before them were handled
            self.events_since = self._polled_at
        else:
            events = self._poll(timeout())
            self.events_since = time.monotonic()
        self._polled_at = time.monotonic()
        return events

    def _poll(self, timeout: float) -> list[tuple[int, int]]:
        try:
            return self._epoll.poll(timeout)
        except OSError:  # must not end the only thread that accepts connections
            return []

    def arm(self, connection: ClientConnection) -> None:
        """Request the next event of the connection that matters in its phase."""
        request = self._epoll.modify if connection.registered else self._epoll.register
        try:
            request(connection.descriptor, _events_of(connection) | select.EPOLLONESHOT)
            connection.registered = True
        except OSError as error:
            self.count_failure("epoll", error)
            self.arm_later(connection)  # an event that occurs in the meantime is reported afterwards

    def arm_later(self, connection: ClientConnection) -> None:
        """Add the connection to those that the next `take_unarmed` returns."""
        self._unarmed[connection] = None

    @property
    def has_unarmed(self) -> bool:
        """Whether there are connections whose event is to be requested again."""
        return bool(self._unarmed)

    def take_unarmed(self) -> dict[ClientConnection, None]:
        """Return and remove the connections whose event is to be requested again."""
        unarmed = self._unarmed
        self._unarmed = {}
        return unarmed

    def arm_listener(self) -> bool:
        """Request an event for the next incoming connection; return False if that failed."""
        try:
            self._epoll.modify(self._listener_descriptor, select.EPOLLIN | select.EPOLLONESHOT)
        except OSError as error:
            self.count_failure("epoll", error)
            return False
        return True

    def remove_listener(self) -> None:
        """Stop polling the listener."""
        with contextlib.suppress(OSError):
            self._epoll.unregister(self._listener_descriptor)

    def count_failure(self, call: str, error: OSError) -> None:
        """Count a system call that failed for lack of resources on this host."""
        self.failures[f"{call} {errno.errorcode.get(error.errno or 0, 'unknown')}"] += 1


def _events_of(connection: ClientConnection) -> int:
    """Return the events that matter in the connection's phase."""
    if connection.phase is Phase.WRITING:
        return select.EPOLLOUT
    if connection.phase is Phase.ACTIVE and connection.is_unsupervised:
        return select.EPOLLRDHUP
    if connection.has_unparsed or connection.work is not None:  # the event comes at once
        return select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLOUT
    return select.EPOLLIN | select.EPOLLRDHUP
