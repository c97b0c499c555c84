"""All open connections of a listener, by phase, and how they are closed.

Every call is made under the lock of the connection manager.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from gingervane.fronts.client_connection import (
    REPORTED_REASONS,
    ClientConnection,
    ClosedConnection,
    CloseReason,
    Phase,
    has_unread_data,
    oldest,
)
from gingervane.fronts.connection_output import NextStep
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.wire.http1_messages import HttpError
from gingervane.wire.local_failures import is_transient

CLOSE_TIMEOUT = 0.5  # seconds that a connection may be closing
MAX_DISCARDED_BYTES = 1 << 20  # bytes read from a closing connection before it is closed
MAX_CLOSING = 16  # closing connections, which do not count towards `max_connections`
_RECEIVE_BYTES = 65536  # of a closing connection at once


class ServerHooks(NamedTuple):
    """What the manager needs of the server.

    `serve` is called with a connection that has `work`, on the thread that serves it, and returns what the manager
    does with the connection next. `encode_error` returns the reply to a request that could not be read, after which
    its connection is closed. `rejection` is the encoded reply to a connection that is over a limit. `on_failure` is
    called with an unexpected exception, after which the connection that it concerns is closed. `on_closed` is told of
    connections that were closed for what their clients did or for lack of room; it must not block.
    """

    serve: Callable[[ClientConnection], NextStep]
    encode_error: Callable[[HttpError], bytes]
    rejection: bytes
    on_failure: Callable[[BaseException], None]
    on_closed: Callable[[ClosedConnection], None]


class ConnectionTable:
    """The connections by phase. Each group is ordered from its oldest connection on."""

    def __init__(self, lock: threading.Lock, poller: ConnectionPoller, hooks: ServerHooks) -> None:
        self._poller = poller
        self._hooks = hooks
        self.all_closed = threading.Condition(lock)
        self.open: dict[int, ClientConnection] = {}  # by descriptor
        self.awaiting_first_byte = dict[ClientConnection, None]()
        self.idle = dict[ClientConnection, None]()
        self.reading_head = dict[ClientConnection, None]()
        self.reading_body = dict[ClientConnection, None]()
        self.large = dict[ClientConnection, None]()  # those being read whose request is large
        self.awaiting_thread = dict[ClientConnection, None]()
        self.writing = dict[ClientConnection, None]()
        self.closing = dict[ClientConnection, None]()
        self.polling_ended = False  # so that nobody closes those that are closing
        self.close_reasons: Counter[str] = Counter()  # by `CloseReason`
        self.rejected = 0  # connections over the limit, or for which no thread was available

    def __len__(self) -> int:
        """Return the number of connections that are not closing."""
        return len(self.open) - len(self.closing)

    def reject(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Reject a connection's request without serving it, and close the connection."""
        self.rejected += 1
        connection.send_rejection(self._hooks.rejection, partial(self._poller.count_failure, "send"))
        self.begin_close(connection, reason)

    def refuse(self, connection: ClientConnection, error: HttpError, reason: CloseReason) -> None:
        """Answer a request that could not be read, and close its connection."""
        reply = self._hooks.encode_error(error)
        connection.send_rejection(reply, partial(self._poller.count_failure, "send"))
        self.begin_close(connection, reason)

    def close_unless_requested(self, connection: ClientConnection, reason: CloseReason) -> bool:
        """Close an idle connection unless a request has arrived on it; return whether it is closed."""
        has_data = has_unread_data(connection.sock)
        if has_data is None:
            self.begin_close(connection, reason)
        elif not has_data:
            self.close_disconnected(connection)
        return not has_data

    def close_disconnected(self, connection: ClientConnection) -> None:
        """Close a connection whose client has disconnected."""
        self.close_reasons[CloseReason.CLIENT_DISCONNECTED.value] += 1
        self.close(connection)

    def begin_close(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Shut down the sending side, and discard input until the client closes or `CLOSE_TIMEOUT` passes."""
        self.close_reasons[reason.value] += 1
        if reason in REPORTED_REASONS:
            self._hooks.on_closed(ClosedConnection.of(connection, reason, time.monotonic()))
        self.forget_groups(connection)
        connection.input.close()
        connection.phase = Phase.CLOSING
        connection.close_deadline = time.monotonic() + CLOSE_TIMEOUT
        self.closing[connection] = None
        try:
            connection.sock.setblocking(False)
            connection.sock.shutdown(socket.SHUT_WR)
            self._poller.arm(connection)
        except OSError:
            self.close(connection)
        if self.polling_ended and connection in self.closing:  # the polling thread has ended
            self.close(connection)
        if len(self.closing) > MAX_CLOSING:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Close at once the connection that has been closing for the longest time."""
        for connection in oldest(self.closing):
            self.close(connection)

    def discard_input(self, connection: ClientConnection) -> None:
        """Discard input of a closing connection; close it at end of stream or past the bound on bytes."""
        try:
            data = connection.sock.recv(_RECEIVE_BYTES)
        except OSError as error:
            if is_transient(error):
                self._poller.arm(connection)
                return
            data = b""
        connection.discarded_bytes += len(data)
        if data and connection.discarded_bytes <= MAX_DISCARDED_BYTES:
            self._poller.arm(connection)
        else:
            self.close(connection)

    def close_failed(self, connection: ClientConnection) -> None:
        """Close a connection after an unexpected exception; a client that waits for a reply gets an error."""
        if connection.phase is Phase.CLOSING:
            self.close(connection)
        elif connection.phase is Phase.READING or connection.awaits_reply:
            self.refuse(connection, HttpError(500, "failed: internal error"), CloseReason.INTERNAL_ERROR)
        else:
            self.begin_close(connection, CloseReason.INTERNAL_ERROR)

    def close(self, connection: ClientConnection) -> None:
        """Close the socket and remove the connection."""
        self.forget_groups(connection)
        del self.open[connection.descriptor]
        connection.input.close()
        if connection.phase is Phase.CLOSING:
            with contextlib.suppress(OSError):  # closing a socket with unread data would reset the connection
                connection.sock.recv(_RECEIVE_BYTES)
        connection.phase = Phase.CLOSED
        connection.sock.close()  # also removes it from the poller
        if not self.open:
            self.all_closed.notify_all()

    def forget_groups(self, connection: ClientConnection) -> None:
        """Remove a connection from the groups of its phase."""
        for group in (
            self.awaiting_first_byte,
            self.idle,
            self.reading_head,
            self.reading_body,
            self.large,
            self.awaiting_thread,
            self.writing,
            self.closing,
        ):
            group.pop(connection, None)
