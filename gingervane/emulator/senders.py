"""The sender threads of a modelled co-ordinator: limits, connections and outcomes of batch requests.

The model assumes that a connection takes one round trip and stays open until the co-ordinator closes it.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from gingervane.coordinator import attempt_outcome
from gingervane.coordinator import types as t
from gingervane.coordinator.attempt_outcome import ExchangePhase
from gingervane.coordinator.request_senders import SenderLimits
from gingervane.emulator.assumptions import Network, ProcessingCosts
from gingervane.emulator.events import Clock
from gingervane.emulator.node import Reply, SimNode
from gingervane.emulator.processor import Processor
from gingervane.interface import AttemptOutcome

# Called with the node and contents of each request that is sent; returns the callback for the node's record.
RecordSend = Callable[[int, list[Any]], Callable[[dict[str, Any]], None]]


class SimSenders:
    """Sends batch requests to modelled nodes; `report` receives the outcome of each attempt."""

    def __init__(
        self,
        limits: SenderLimits,
        clock: Clock,
        processor: Processor,
        nodes: list[SimNode],
        net: Network,
        costs: ProcessingCosts,
        record_send: RecordSend,
        report: Callable[[t.AttemptFinished], None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._processor = processor
        self._nodes = nodes
        self._net = net
        self._costs = costs
        self._record_send = record_send
        self._report = report
        self._in_flight = 0
        self._in_flight_by_node = Counter[int]()
        self._running = 0
        self._waiting: deque[t.BatchRequest] = deque()
        # By request id: called if the request is cancelled.
        self._on_cancel: dict[int, Callable[[], None]] = {}
        self._idle_connections = Counter[int]()

    def start(self, request: t.BatchRequest) -> None:
        """Send or queue a request; if the queue is full, its attempts end at once as never sent."""
        limits = self._limits
        is_full = (
            self._in_flight >= limits.threads + limits.waiting
            or self._in_flight_by_node[request.replica] >= limits.max_per_replica
        )
        if is_full:
            self._report_attempts(request.attempts, AttemptOutcome.NEVER_SENT)
            return
        self._in_flight += 1
        self._in_flight_by_node[request.replica] += 1
        self._on_cancel[request.id] = lambda: None
        if self._running >= limits.threads:
            self._waiting.append(request)
        else:
            self._connect(request)

    def cancel(self, request: t.BatchRequest) -> None:
        """Cancel a request."""
        if on_cancel := self._on_cancel.pop(request.id, None):
            on_cancel()

    def close_idle(self, node: int) -> None:
        """Close the idle connections to a node."""
        self._idle_connections[node] = 0

    def _connect(self, request: t.BatchRequest) -> None:
        """Assign a sender and a connection to a request; a new connection takes one round trip."""
        self._running += 1
        node = request.replica
        round_trip = 2 * self._net.delay

        def write() -> None:
            self._processor.run(self._costs.call / 2, lambda: self._write(request))

        if self._idle_connections[node]:
            self._idle_connections[node] -= 1
            write()
        elif self._nodes[node].down() == "crash":
            self._clock.after(round_trip, lambda: self._on_connection_refused(request))
        else:
            self._clock.after(round_trip, write)

    def _on_connection_refused(self, request: t.BatchRequest) -> None:
        if self._processor.alive:
            outcome = attempt_outcome.outcome_of_transport_error(ExchangePhase.CONNECTING, 1, False)
            self._finish(request, request.attempts, outcome)

    def _write(self, request: t.BatchRequest) -> None:
        """Claim the attempts that may still be sent and send them; from here on they may be executed."""
        sendable: list[t.AttemptRequest] = []
        overdue: list[t.AttemptRequest] = []
        if request.id in self._on_cancel:
            sendable, overdue = request.claim_sendable(self._clock.now)
        for attempt in overdue:
            self._report(
                t.AttemptFinished(
                    attempt.part, attempt.attempt, AttemptOutcome.NEVER_SENT, self._clock.now, None, "waited"
                )
            )
        if not sendable:
            self._idle_connections[request.replica] += 1
            self._finish(request, request.attempts, AttemptOutcome.NEVER_SENT)
            return
        self._exchange(request, sendable)

    def _exchange(self, request: t.BatchRequest, attempts: list[t.AttemptRequest]) -> None:
        """Carry a request to its node and the reply back, unless it is cancelled or its deadline passes."""
        node = self._nodes[request.replica]
        contents = [attempt.content for attempt in attempts]
        record_arrival = self._record_send(request.replica, contents)
        is_cancelled = False
        node_call = 0  # the node's call number of the request, once it has arrived

        def reply(node_reply: Reply) -> None:
            self._clock.after(self._net.delay, lambda: self._on_reply(request, attempts, node_reply))

        def arrive() -> None:
            nonlocal node_call
            if node.down() == "crash":
                reply(Reply.CUT)
            elif not is_cancelled:
                node_call, record = node.receive(contents, reply)
                record_arrival(record)

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            self._clock.after(self._net.delay, lambda: node.drop_call(node_call))
            self._release(request)

        self._on_cancel[request.id] = cancel
        self._clock.after(self._net.delay, arrive)
        # Without a reply, the sender stays blocked until the request's deadline.
        self._clock.at(request.expires_at, lambda: self._expire(request, attempts))

    def _expire(self, request: t.BatchRequest, attempts: list[t.AttemptRequest]) -> None:
        if self._processor.alive and request.id in self._on_cancel:
            outcome = attempt_outcome.outcome_of_transport_error(ExchangePhase.READING, 1, True)
            self._finish(request, attempts, outcome)

    def _on_reply(self, request: t.BatchRequest, attempts: list[t.AttemptRequest], reply: Reply) -> None:
        if not self._processor.alive or request.id not in self._on_cancel:
            return
        if reply is Reply.CUT:
            outcome = attempt_outcome.outcome_of_transport_error(ExchangePhase.READING, 1, False)
            self._finish(request, attempts, outcome)
            return
        self._idle_connections[request.replica] += 1
        semantics = attempts[0].retry_safety
        outcome = {
            Reply.GOOD: AttemptOutcome.OK,
            Reply.BAD: attempt_outcome.outcome_of_invalid_reply(semantics, False, False),
            Reply.NOT_BEGUN: attempt_outcome.outcome_of_invalid_reply(semantics, True, True),
        }[reply]
        self._processor.run(self._costs.call / 2, lambda: self._finish(request, attempts, outcome))

    def _finish(
        self, request: t.BatchRequest, attempts: list[t.AttemptRequest], outcome: AttemptOutcome
    ) -> None:
        """Report the outcome of a request and release its sender, unless the request has been cancelled."""
        if request.id not in self._on_cancel:
            return
        self._report_attempts(attempts, outcome)
        del self._on_cancel[request.id]
        self._release(request)

    def _report_attempts(self, attempts: list[t.AttemptRequest], outcome: AttemptOutcome) -> None:
        now = self._clock.now
        is_ok = outcome is AttemptOutcome.OK
        for attempt in attempts:
            self._report(t.AttemptFinished(attempt.part, attempt.attempt, outcome, now, is_ok, outcome.value))

    def _release(self, request: t.BatchRequest) -> None:
        """Release a sender and give it to the next waiting request."""
        self._in_flight -= 1
        self._in_flight_by_node[request.replica] -= 1
        self._running -= 1
        while self._waiting and self._running < self._limits.threads:
            self._connect(self._waiting.popleft())
