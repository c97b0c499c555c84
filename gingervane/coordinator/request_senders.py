"""Sends batch requests with threads that each run one blocking exchange at a time.

Ownership: a batch request belongs to the sender thread that took it, except for its lease, through which the decision
thread may shut its connection. The thread reports every attempt of the batch exactly once, whatever happens; the
driver drops reports that come too late. No decision is made here: timeouts come from the batch or from the settings.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Lock, Thread
from typing import NamedTuple, cast

from gingervane.coordinator import types as t
from gingervane.coordinator.attempt_outcome import (
    ExchangePhase,
    outcome_of_invalid_reply,
    outcome_of_transport_error,
)
from gingervane.interface import AttemptOutcome
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Response
from gingervane.wire.pool import Connection, Lease, Pool, WriteError
from gingervane.wire.socket_recorder import SOCKET_RECORDER

MIN_CONNECT_TIMEOUT = 0.001  # seconds, for a batch whose deadline has almost passed
BODILESS_STATUSES = (204, 304)


class SenderLimits(NamedTuple):
    """Limits on concurrent batch requests."""

    threads: int  # batch requests that are being sent
    waiting: int  # batch requests that wait for a thread
    max_per_replica: int  # batch requests to one replica, which limits the connections in use to it
    connect_timeout: float  # seconds


class _Failure(NamedTuple):
    """Outcome and cause of an exchange without results."""

    outcome: AttemptOutcome
    detail: str


_CANCELLED = _Failure(AttemptOutcome.NEVER_SENT, "called off")


class _Reply(NamedTuple):
    """A reply that has been read completely."""

    response: Response
    body: bytes
    received_at: float


@dataclass(slots=True)
class _Exchange:
    """One batch request on its connection, and the progress of the exchange."""

    batch: t.BatchRequest
    lease: Lease
    connection: Connection | None
    phase: ExchangePhase = ExchangePhase.CONNECTING
    bytes_written: int = 0

    def run(self, connection: Connection, attempts: list[t.AttemptRequest]) -> _Reply:
        """Write the request for these attempts and read the reply."""
        batch = self.batch
        contents = [attempt.content for attempt in attempts]
        connection.deadline = batch.expires_at
        data = batch.codec.encode(contents, batch.seconds_left(attempts, time.monotonic()), batch.address)
        connection.write(data)
        self.phase = ExchangePhase.READING
        self.bytes_written = len(data)
        response = connection.reader.response()
        bodiless = response.status in BODILESS_STATUSES
        body = connection.reader.body(response.headers, is_response=True, none=bodiless)
        received_at = time.monotonic()
        SOCKET_RECORDER.record("got", connection.local_port, connection.remote_port, bytes=len(body))
        return _Reply(response, body, received_at)

    def transport_failure(self, error: OSError | ConnectionClosedError) -> _Failure:
        """Return the outcome of a transport error, which depends on the progress of the exchange."""
        cause: Exception = error
        written = self.bytes_written
        if isinstance(error, WriteError):
            cause = error.cause
            written = error.bytes_written
        outcome = outcome_of_transport_error(self.phase, written, isinstance(cause, TimeoutError))
        return _Failure(outcome, f"{self.phase.value}: {cause}")

    def drop_connection(self) -> None:
        """Close the connection, whose state is unknown."""
        self.lease.release()
        if self.connection:
            self.connection.close()


class RequestSenders:
    """A pool of sender threads that grows with the batch requests in flight, up to its limit."""

    def __init__(
        self, pool: Pool, limits: SenderLimits, report: Callable[[list[t.AttemptFinished]], None]
    ) -> None:
        """`report` is called with ended attempts, on a sender thread."""
        self._pool = pool
        self._limits = limits
        self._report = report
        self._batches: SimpleQueue[t.BatchRequest | None] = SimpleQueue()  # None: one thread shall end
        self._lock = Lock()  # guards the two counts
        self._in_flight = 0  # batch requests that wait or are being sent
        self._in_flight_by_replica = Counter[int]()
        self._threads: list[Thread] = []

    @property
    def in_flight(self) -> int:
        """Batch requests that wait for a thread or are being sent."""
        return self._in_flight

    def start(self, batch: t.BatchRequest) -> bool:
        """Accept a batch request; false if the limits are reached. Never blocks; for the decision thread only."""
        limits = self._limits
        with self._lock:
            is_full = self._in_flight >= limits.threads + limits.waiting
            if is_full or self._in_flight_by_replica[batch.replica] >= limits.max_per_replica:
                return False
            self._in_flight += 1
            self._in_flight_by_replica[batch.replica] += 1
            needs_thread = self._in_flight > len(self._threads) < limits.threads
        batch.transport_token = Lease()
        if needs_thread:
            thread = Thread(target=self._run, name=f"sender-{len(self._threads)}", daemon=True)
            self._threads.append(thread)
            thread.start()
        self._batches.put(batch)
        return True

    def cancel(self, batch: t.BatchRequest) -> None:
        """Shut the connection of a batch request, or prevent it from getting one; does not block."""
        if isinstance(batch.transport_token, Lease):
            batch.transport_token.cancel()

    def maintain(self) -> None:
        """Do nothing: sender threads take waiting batch requests by themselves."""

    def abandon(
        self, batch: t.BatchRequest, attempt: t.AttemptRequest, notify_replica: bool, expired: bool
    ) -> None:
        """Do nothing: HTTP/1.1 cannot cancel part of a request; `cancel` drops the whole request."""

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        self._pool.close_idle(address)

    def close(self) -> None:
        """Let each thread end after its current exchange."""
        for _ in self._threads:
            self._batches.put(None)

    # ---- sender threads

    def _run(self) -> None:
        while (batch := self._batches.get()) is not None:
            try:
                finished = self._send_batch(batch)
            except Exception as error:  # noqa: BLE001 - a bug must not leave an attempt unreported
                detail = f"internal: {type(error).__name__}: {error}"
                finished = _failed_attempts(batch.attempts, _Failure(AttemptOutcome.ERROR, detail))
            with self._lock:
                self._in_flight -= 1
                self._in_flight_by_replica[batch.replica] -= 1
            self._report(finished)

    def _send_batch(self, batch: t.BatchRequest) -> list[t.AttemptFinished]:
        """Run the exchange and return the ends of the batch's attempts, except of overdue ones, already reported."""
        lease: Lease = batch.transport_token
        if lease.cancelled:
            return _failed_attempts(batch.attempts, _CANCELLED)
        exchange = _Exchange(batch, lease, self._pool.acquire_idle(batch.address))
        try:
            connection = self._connect(exchange)
            attempts = self._claim(batch) if lease.acquire(connection) else []
            if not attempts:
                # No byte was sent: the connection can be reused unless it was shut.
                self._release_connection(exchange, connection, reusable=True)
                return _failed_attempts(batch.attempts, _CANCELLED)
            reply = exchange.run(connection, attempts)
        except (OSError, ConnectionClosedError) as error:
            failure = exchange.transport_failure(error)
            exchange.drop_connection()
            return _failed_attempts(batch.attempts, failure)
        except HttpError as error:
            exchange.drop_connection()
            return _failed_attempts(batch.attempts, _Failure(AttemptOutcome.ERROR, error.detail))
        self._release_connection(exchange, connection, reply.response.keep_alive)
        return _results(batch, attempts, reply)

    def _connect(self, exchange: _Exchange) -> Connection:
        connection = exchange.connection
        if connection is None:
            batch = exchange.batch
            remaining = min(self._limits.connect_timeout, batch.expires_at - time.monotonic())
            connection = self._pool.connect(batch.address, max(remaining, MIN_CONNECT_TIMEOUT))
            exchange.connection = connection
        exchange.phase = ExchangePhase.WRITING
        return connection

    def _claim(self, batch: t.BatchRequest) -> list[t.AttemptRequest]:
        """Return the attempts to send, which may run from now on; report the overdue ones as never sent.

        Attempts that the driver has already ended are in neither group.
        """
        sendable, overdue = batch.claim_sendable(time.monotonic())
        if overdue:  # reported at once, independent of the other attempts
            self._report(_failed_attempts(overdue, _Failure(AttemptOutcome.NEVER_SENT, "waited too long")))
        return sendable

    def _release_connection(self, exchange: _Exchange, connection: Connection, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable or was shut meanwhile."""
        if exchange.lease.release() and reusable:
            self._pool.release(exchange.batch.address, connection)
        else:
            connection.close()


def _results(
    batch: t.BatchRequest, attempts: list[t.AttemptRequest], reply: _Reply
) -> list[t.AttemptFinished]:
    """Return a result for each attempt sent, or a failure for every attempt if the reply holds no usable results."""
    codec = cast(t.HttpCodec, batch.codec)
    response = reply.response
    contents = [attempt.content for attempt in attempts]
    try:
        results = codec.decode(contents, response.status, response.headers.get, reply.body)
    except t.InvalidReply as error:
        detail = str(error)
        return [
            _failed_attempt(attempt, _invalid_reply_failure(attempt, error, detail), reply.received_at)
            for attempt in batch.attempts
        ]
    return [
        t.AttemptFinished(attempt.part, attempt.attempt, AttemptOutcome.OK, reply.received_at, result)
        for attempt, result in zip(attempts, results, strict=True)
    ]


def _invalid_reply_failure(attempt: t.AttemptRequest, error: t.InvalidReply, detail: str) -> _Failure:
    outcome = outcome_of_invalid_reply(attempt.retry_safety, error.proves_not_executed, error.overloaded)
    return _Failure(outcome, detail)


def _failed_attempts(attempts: Iterable[t.AttemptRequest], failure: _Failure) -> list[t.AttemptFinished]:
    """Return the ends of attempts that all end now with the same failure."""
    now = time.monotonic()
    return [_failed_attempt(attempt, failure, now) for attempt in attempts]


def _failed_attempt(attempt: t.AttemptRequest, failure: _Failure, finished_at: float) -> t.AttemptFinished:
    return t.AttemptFinished(
        attempt.part, attempt.attempt, failure.outcome, finished_at, None, failure.detail
    )
