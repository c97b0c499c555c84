"""A co-ordinator process in simulated time.

It runs the daemon's driver, decision engine, admission, endpoint view and response time reserve. Its single
processor, its senders' connections and its pauses are modelled. Work is processed in order of arrival, as
under the interpreter's lock; a paused process does nothing and reads its input after the pause.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission, AdmissionLimits, Rejected
from gingervane.coordinator.driver import Driver
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.coordinator.request_senders import SenderLimits
from gingervane.coordinator.response_time_reserve import ResponseTimeReserve
from gingervane.decisions.engine import DecisionEngine
from gingervane.emulator.assumptions import Network, ProcessingCosts
from gingervane.emulator.events import Clock
from gingervane.emulator.node import SimNode
from gingervane.emulator.processor import Processor
from gingervane.emulator.senders import SimSenders
from gingervane.membership.view import EndpointView, Member
from gingervane.settings.daemon_settings import Config

_RESULT_BYTES = 1000  # size of every part's result, for the limit on results in memory


class ClientRequest(NamedTuple):
    """A client's attempt as it arrives.

    `on_answer` receives the result, or None if the connection is closed without one, and the time of the
    answer. `on_read` receives the time at which the co-ordinator has read the request.
    """

    class_name: str
    class_number: int
    parts: tuple[t.PartPlan, ...]
    timeout: float
    on_answer: Callable[[t.QueryResult | None, float], None]
    on_read: Callable[[float], None]


class _SizeCodec:
    """A codec that only returns the size of results, since the emulator transfers no bytes."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:  # noqa: ARG002 - the interface of a codec
        return _RESULT_BYTES


_CODEC = _SizeCodec()


class SimCoordinator:
    """One process from its launch to its end. It is replaced by a new one after a kill."""

    def __init__(
        self,
        number: int,
        config: Config,
        seed: int,
        clock: Clock,
        nodes: list[SimNode],
        net: Network,
        costs: ProcessingCosts,
        record_send: Callable[[SimCoordinator, int, list[Any]], Callable[[dict[str, Any]], None]],
    ) -> None:
        """Start the process.

        `record_send` is called for each request sent to a node; returns the callback for the node's record.
        """
        self.number = number
        self._clock = clock
        self._costs = costs
        self._processor = Processor(clock)
        settings, limits = config.module_settings(), config.limits
        self.driver = Driver(DecisionEngine(settings, seed), settings)
        self._senders = SimSenders(
            SenderLimits(
                limits.senders, limits.waiting_calls, limits.calls_per_replica, limits.connect_timeout
            ),
            clock,
            self._processor,
            nodes,
            net,
            costs,
            lambda node, contents: record_send(self, node, contents),
            self._add_input,
        )
        self.admission = Admission(
            AdmissionLimits(limits.open, limits.result_bytes), settings.max_retry_after, lambda: clock.now
        )
        self._reserves: dict[str, ResponseTimeReserve] = defaultdict(ResponseTimeReserve)
        self._view = EndpointView()
        self._inbox: list[t.Input] = []
        self._next_batch = float("inf")  # time for which the next batch of decisions is scheduled
        self._queries = 0
        self._pauses = ProcessPauseDetector(clock.now)

    @property
    def alive(self) -> bool:
        """Whether the process has not been killed; a paused process is alive."""
        return self._processor.alive

    @property
    def busy(self) -> float:
        """Seconds of work that the processor has accepted."""
        return self._processor.busy

    # ---- events from outside

    def endpoints_updated(self, members: tuple[Member, ...], cached: bool = False) -> None:
        """Apply an endpoint list that has been read."""
        update = self._view.apply_full_list(members, self._clock.now, cached)
        if update:
            self._add_input(update)

    def request_arrived(self, request: ClientRequest) -> Callable[[], None]:
        """Handle the arrival of a client's request; returns the callback for the client's disconnection."""
        query_ids: list[int] = []  # holds the id of the query once the request is admitted
        cost = self._costs.query / 2 + self._costs.part * len(request.parts) / 2
        self._processor.run(cost, lambda: self._admit(request, query_ids))

        def disconnect() -> None:
            if query_ids and self.alive:
                self._add_input(t.ClientDisconnected(query_ids[0]))

        return disconnect

    def pause(self, seconds: float) -> None:
        """Pause the process, as between SIGSTOP and SIGCONT."""
        now = self._clock.now
        self._processor.pause(seconds)
        self._pauses.record_pause(now, now + seconds)

    def kill(self) -> None:
        """End the process at once; its open queries get no answer."""
        self._processor.alive = False

    # ---- queries

    def _admit(self, request: ClientRequest, query_ids: list[int]) -> None:
        """Admit a request that has been read as a query, or answer it with a rejection."""
        now = self._clock.now
        request.on_read(now)
        reserve = self._reserves[request.class_name]
        self._pauses.mark_running(now)
        client_deadline = self._pauses.arrival_time(now) + request.timeout
        if client_deadline <= now:
            request.on_answer(None, now)
            return
        size = 1 + len(request.parts)
        try:
            self.admission.admit(size, self.driver.open_result_bytes)
        except Rejected as error:
            rejection = t.QueryResult(t.QueryStatus.REJECTED, retry_after=error.retry_after)
            request.on_answer(rejection, now)
            return
        self._queries += 1
        query_ids.append(self._queries)
        deadline = client_deadline - reserve.get(len(request.parts), client_deadline - now)

        def complete(result: t.QueryResult) -> None:
            self._complete(request, client_deadline, result)

        plan = t.QueryPlan(request.class_number, deadline, request.parts, _CODEC, request.class_name)
        self._add_input(t.QuerySubmitted(self._queries, plan, complete))

    def _complete(self, request: ClientRequest, client_deadline: float, result: t.QueryResult) -> None:
        """Write a query's answer, unless it is ready only after the client's deadline."""
        completed_at = self._clock.now
        self.admission.reserve_results(result.result_bytes)

        def write() -> None:
            now = self._clock.now
            self._reserves[request.class_name].learn(len(request.parts), now - completed_at)
            self.admission.release(1 + len(request.parts), result.result_bytes)
            request.on_answer(result if now < client_deadline else None, now)

        self._processor.run(self._costs.query / 2 + self._costs.part * len(result.results) / 2, write)

    # ---- decisions

    def _add_input(self, item: t.Input) -> None:
        self._inbox.append(item)
        self._schedule_batch(self._clock.now)

    def _schedule_batch(self, moment: float) -> None:
        """Schedule a batch of decisions for a time; it runs as soon after that as the processor is free."""
        if moment < self._next_batch:
            self._next_batch = moment
            self._clock.at(moment, lambda: self._run_batch(moment))

    def _run_batch(self, moment: float) -> None:
        if not self.alive or moment != self._next_batch:
            return
        self._next_batch = float("inf")
        if self._processor.free_at > self._clock.now:  # busy, or paused
            self._schedule_batch(self._processor.free_at)
            return
        inputs = self._inbox
        self._inbox = []
        effects = self.driver.step(self._clock.now, inputs)
        cost = self._costs.batch + self._costs.input * len(inputs)
        self._processor.run(cost, lambda: self._execute(effects))
        due = self.driver.next_due()
        if due < float("inf"):
            self._schedule_batch(max(due, self._clock.now))

    def _execute(self, effects: list[t.Effect]) -> None:
        for effect in effects:
            match effect:
                case t.StartRequest(request):
                    self._senders.start(request)
                case t.CancelRequest(request):
                    self._senders.cancel(request)
                case t.CloseIdleConnections(address):
                    self._senders.close_idle(address[1])
                case t.CompleteQuery(on_result, result, _):
                    on_result(result)
