"""Carries out calls: threads that each do one blocking exchange at a time.

Owners: a call belongs to the sender thread that took it, but for its lease, through which the decision thread may
shut its connection. The thread reports every errand of the call exactly once, whatever happens; the driver drops
what came too late. No decision is made here: every time-out comes with the call or from the settings.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from queue import SimpleQueue
from threading import Lock, Thread
from typing import NamedTuple, cast

from gingervane.coordinator import attempt_outcome
from gingervane.coordinator import types as t
from gingervane.coordinator.attempt_outcome import ExchangePhase
from gingervane.interface import AttemptOutcome
from gingervane.wire.http1 import Closed, HttpError
from gingervane.wire.pool import Connection, Lease, Pool, WriteError
from gingervane.wire.socket_recorder import SOCKET_RECORDER


class SenderLimits(NamedTuple):
    """`threads`: calls out at once; `waiting`: calls that may wait for a thread; times in seconds.

    `each`: calls out to one replica, and so connections that are in use to it.
    """

    threads: int
    waiting: int
    each: int
    connect_timeout: float


class RequestSenders:
    """A pool of sender threads that grows to its bound as calls come."""

    def __init__(
        self, pool: Pool, limits: SenderLimits, report: Callable[[list[t.AttemptFinished]], None]
    ) -> None:
        self._pool, self._limits, self._report = pool, limits, report
        self._calls: SimpleQueue[t.BatchRequest | None] = SimpleQueue()
        self._lock = Lock()
        self._held = 0  # calls waiting or being carried out
        self._held_by = Counter[int]()  # the same, by replica
        self._threads: list[Thread] = []

    @property
    def in_flight(self) -> int:
        return self._held

    def start(self, call: t.BatchRequest) -> bool:
        """Hand over a call; False if no more may wait. Never blocks; from the decision thread only."""
        with self._lock:
            full = self._held >= self._limits.threads + self._limits.waiting
            if full or self._held_by[call.replica] >= self._limits.each:
                return False
            self._held += 1
            self._held_by[call.replica] += 1
            grow = self._held > len(self._threads) < self._limits.threads
        call.transport_token = Lease()
        if grow:
            thread = Thread(target=self._work, name=f"sender-{len(self._threads)}", daemon=True)
            self._threads.append(thread)
            thread.start()
        self._calls.put(call)
        return True

    def cancel(self, call: t.BatchRequest) -> None:
        """Shut the call's connection, or keep it from being used; does not block."""
        if isinstance(call.transport_token, Lease):
            call.transport_token.call_off()

    def maintain(self) -> None:
        """Nothing waits here but for a thread."""

    def abandon(self, call: t.BatchRequest, errand: t.AttemptRequest, tell: bool, over: bool) -> None:
        """A request is given up as a whole, by `call_off`: HTTP/1.1 cannot take back one part of it."""

    def close_idle(self, address: tuple[str, int]) -> None:
        self._pool.drop(address)

    def close(self) -> None:
        """Let the threads end once their present calls have."""
        for _ in self._threads:
            self._calls.put(None)

    def _work(self) -> None:
        while (call := self._calls.get()) is not None:
            try:
                ended = self._carry_out(call)
            except Exception as error:  # a bug must not leave an attempt without an ending
                ended = _all(
                    call, lambda e: AttemptOutcome.ERROR, f"internal: {type(error).__name__}: {error}"
                )
            with self._lock:
                self._held -= 1
                self._held_by[call.replica] -= 1
            self._report(ended)

    def _carry_out(self, call: t.BatchRequest) -> list[t.AttemptFinished]:
        lease: Lease = call.transport_token
        if lease.off:
            return _all(call, lambda e: AttemptOutcome.NEVER_SENT, "called off")
        phase, wrote, connection = ExchangePhase.CONNECTING, 0, self._pool.take(call.address)
        exchange = cast(t.HttpCodec, call.codec)
        try:
            if connection is None:
                left = min(self._limits.connect_timeout, call.expires_at - time.monotonic())
                connection = self._pool.connect(call.address, max(left, 0.001))
            phase = ExchangePhase.WRITING
            if not lease.begin(connection):
                return self._leave(call, connection, lease)
            # From here on these may run; what was ended before its claim stays behind, and so does what waited.
            errands, stale = call.claim_sendable(time.monotonic())
            if stale:  # ended here and now, whatever becomes of the others
                now = time.monotonic()
                self._report(
                    [
                        t.AttemptFinished(
                            e.part, e.attempt, AttemptOutcome.NEVER_SENT, now, None, "waited too long"
                        )
                        for e in stale
                    ]
                )
            if not errands:
                return self._leave(call, connection, lease)
            contents = [errand.content for errand in errands]
            connection.until = call.expires_at
            data = exchange.encode(contents, call.seconds_left(errands, time.monotonic()), call.address)
            connection.write(data)
            phase, wrote = ExchangePhase.READING, len(data)
            reply = connection.reader.response()
            body = connection.reader.body(reply.headers, is_response=True, none=reply.status in (204, 304))
            at = time.monotonic()
            SOCKET_RECORDER.put("got", connection.near, connection.far, bytes=len(body))
        except (WriteError, OSError, Closed) as error:
            wrote = error.wrote if isinstance(error, WriteError) else wrote
            cause = error.cause if isinstance(error, WriteError) else error
            outcome = attempt_outcome.outcome_of_transport_error(
                phase, wrote, isinstance(cause, TimeoutError)
            )
            self._drop(connection, lease)
            return _all(call, lambda e: outcome, f"{phase.value}: {cause or type(cause).__name__}")
        except HttpError as error:
            self._drop(connection, lease)
            return _all(call, lambda e: AttemptOutcome.ERROR, error.what)
        if lease.end() and reply.keep_alive:
            self._pool.put(call.address, connection)
        else:
            connection.close()
        try:
            results = exchange.decode(contents, reply.status, reply.headers.get, body)
        except t.InvalidReply as error:
            proof, busy = error.proves_not_executed, error.overloaded
            return _all(
                call,
                lambda e: attempt_outcome.outcome_of_invalid_reply(e.semantics, proof, busy),
                str(error),
                at,
            )
        return [
            t.AttemptFinished(e.part, e.attempt, AttemptOutcome.OK, at, result)
            for e, result in zip(errands, results, strict=True)
        ]

    def _leave(self, call: t.BatchRequest, connection: Connection, lease: Lease) -> list[t.AttemptFinished]:
        """Called off before a byte left: the connection is as good as before, unless it was shut."""
        if lease.end():
            self._pool.put(call.address, connection)
        else:
            connection.close()
        return _all(call, lambda e: AttemptOutcome.NEVER_SENT, "called off")

    def _drop(self, connection: Connection | None, lease: Lease) -> None:
        lease.end()
        if connection:
            connection.close()


def _all(
    call: t.BatchRequest,
    outcome: Callable[[t.AttemptRequest], AttemptOutcome],
    why: str,
    at: float | None = None,
) -> list[t.AttemptFinished]:
    now = time.monotonic() if at is None else at
    return [t.AttemptFinished(e.part, e.attempt, outcome(e), now, None, why) for e in call.attempts]
