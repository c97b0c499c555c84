"""A co-ordinator process in simulated time: the daemon's driver, module, admission, view and reserve; modelled are
its one processor, its senders' connections and its stops.

What it assumes: one processor does everything, in order of coming (the interpreter's lock); a connection costs one
round trip and is kept; what stands still does nothing and reads late.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from gingervane.coordinator import attempt_outcome
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission, AdmissionLimits, Rejected
from gingervane.coordinator.driver import Driver
from gingervane.coordinator.attempt_outcome import ExchangePhase
from gingervane.coordinator.response_time_reserve import ResponseTimeReserve
from gingervane.coordinator.request_senders import SenderLimits
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.settings.daemon_settings import Config
from gingervane.emulator.events import Clock
from gingervane.emulator.node import Reply, SimNode
from gingervane.interface import AttemptOutcome
from gingervane.membership.view import Member, View
from gingervane.decisions.engine import DecisionEngine


class Costs(NamedTuple):
    """Seconds of processor, fitted to the throughput of the daemon on sockets (`docs/results/coordinator.md`)."""

    query: float = 0.00045  # reading, merging and writing of a query, without its parts
    part: float = 0.00025  # the same for each part
    call: float = 0.00012  # sending a call and reading its reply
    batch: float = 0.00005  # a batch of decisions
    input: float = 0.00004  # each input of one


class Net(NamedTuple):
    """Seconds one way."""

    delay: float = 0.0002


class Asked(NamedTuple):
    """A client's try as it comes. `answer` takes verdict, coverage, wait, and the moment of the reply."""

    name: str
    number: int
    parts: tuple[t.PartPlan, ...]
    timeout: float
    answer: Callable[[t.QueryResult | None, float], None]
    read: Callable[[float], None]


class _Bytes:
    """Sizes of results, which nobody looks into here."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 1000


EXCHANGE = _Bytes()


class SimCoordinator:
    """One process, from a launch to its end. A new one takes its place after a kill."""

    def __init__(
        self,
        number: int,
        config: Config,
        seed: int,
        clock: Clock,
        nodes: list[SimNode],
        net: Net,
        costs: Costs,
        sent: Callable[[SimCoordinator, int, list[Any]], Callable[[dict[str, Any]], None]],
    ) -> None:
        """`sent` is told of each call that leaves and gives what takes the node's record of it."""
        self.number, self.alive, self._clock, self._nodes = number, True, clock, nodes
        self._net, self._costs, self._sent = net, costs, sent
        settings, limits = config.module_settings(), config.limits
        self.driver = Driver(DecisionEngine(settings, seed), settings)
        self._bounds = SenderLimits(
            limits.senders, limits.waiting_calls, limits.calls_per_replica, limits.connect_timeout
        )
        self.admission = Admission(
            AdmissionLimits(limits.open, limits.result_bytes), settings.max_retry_after, lambda: clock.now
        )
        self._reserves: dict[str, ResponseTimeReserve] = defaultdict(ResponseTimeReserve)
        self._view = View()
        self._inbox: list[t.Input] = []
        self._free = clock.now  # when the processor is
        self._planned = self._wake = float("inf")
        self._queries = 0
        self._held = 0
        self._held_by = Counter[int]()
        self._running = 0
        self._waiting: deque[t.BatchRequest] = deque()
        self._off: dict[
            int, Callable[[], None]
        ] = {}  # what to do about a call that nobody waits for any more
        self._idle = Counter[int]()  # connections kept, by node
        self.busy = 0.0
        self._still = ProcessPauseDetector(clock.now)

    # ---- what comes

    def listed(self, members: tuple[Member, ...], cached: bool = False) -> None:
        found = self._view.take(members, self._clock.now, cached)
        if found:
            self._put(found)

    def ask(self, asked: Asked) -> Callable[[], None]:
        """A client's bytes are here; what to call when it leaves."""
        cell: list[int] = []
        self._work(
            self._costs.query / 2 + self._costs.part * len(asked.parts) / 2, lambda: self._begin(asked, cell)
        )
        return lambda: self._put(t.ClientDisconnected(cell[0])) if cell and self.alive else None

    def stall(self, seconds: float) -> None:
        now = self._clock.now
        self._free = max(self._free, now) + seconds
        self._still.record_pause(now, now + seconds)

    def kill(self) -> None:
        self.alive = False

    # ---- inside

    def _work(self, cost: float, then: Callable[[], None]) -> None:
        """The processor does it after all that came before."""
        start = max(self._free, self._clock.now)
        self._free = start + cost
        self.busy += cost
        self._clock.at(self._free, lambda: then() if self.alive else None)

    def _begin(self, asked: Asked, cell: list[int]) -> None:
        now = self._clock.now
        asked.read(now)
        reserve = self._reserves[asked.name]
        self._still.mark_running(now)
        until = self._still.arrival_time(now) + asked.timeout
        if until <= now:
            asked.answer(None, now)
            return
        size = 1 + len(asked.parts)
        try:
            self.admission.admit(size, self.driver.open_result_bytes)
        except Rejected as error:
            asked.answer(t.QueryResult(t.QueryStatus.REJECTED, retry_after=error.retry_after), now)
            return
        self._queries += 1
        cell.append(self._queries)
        deadline = until - reserve.get(len(asked.parts), until - now)

        def settled(final: t.QueryResult) -> None:
            at = self._clock.now
            self.admission.reserve_results(final.result_bytes)

            def write() -> None:
                reserve.learn(len(asked.parts), self._clock.now - at)
                self.admission.release(size, final.result_bytes)
                asked.answer(final if self._clock.now < until else None, self._clock.now)

            self._work(self._costs.query / 2 + self._costs.part * len(final.results) / 2, write)

        plan = t.QueryPlan(asked.number, deadline, asked.parts, EXCHANGE, asked.name)
        self._put(t.QuerySubmitted(self._queries, plan, settled))

    def _put(self, item: t.Input) -> None:
        self._inbox.append(item)
        self._plan(self._clock.now)

    def _plan(self, moment: float) -> None:
        """A batch of decisions at a moment, or as soon after it as the processor is free."""
        if moment < self._planned:
            self._planned = moment
            self._clock.at(moment, lambda: self._turn(moment))

    def _turn(self, moment: float) -> None:
        if not self.alive or moment != self._planned:
            return
        if self._free > self._clock.now:  # busy, or standing still
            self._planned = float("inf")
            self._plan(self._free)
            return
        self._planned = float("inf")
        inputs, self._inbox = self._inbox, []
        effects = self.driver.step(self._clock.now, inputs)
        cost = self._costs.batch + self._costs.input * len(inputs)
        self._work(cost, lambda: self._carry_out(effects))
        due = self.driver.next_due()
        if due < float("inf"):
            self._plan(max(due, self._clock.now))

    def _carry_out(self, effects: list[t.Effect]) -> None:
        for effect in effects:
            match effect:
                case t.StartRequest(call):
                    self._start(call)
                case t.CancelRequest(call):
                    if off := self._off.pop(call.id, None):
                        off()
                case t.CloseIdleConnections(address):
                    self._idle[address[1]] = 0
                case t.CompleteQuery(settled, final, _):
                    settled(final)

    # ---- senders

    def _start(self, call: t.BatchRequest) -> None:
        bounds = self._bounds
        full = (
            self._held >= bounds.threads + bounds.waiting
            or self._held_by[call.replica] >= bounds.max_per_replica
        )
        if full:
            self._end(call, call.attempts, AttemptOutcome.NEVER_SENT, free=False)
            return
        self._held += 1
        self._held_by[call.replica] += 1
        self._off[call.id] = lambda: None
        if self._running >= bounds.threads:
            self._waiting.append(call)
        else:
            self._send(call)

    def _send(self, call: t.BatchRequest) -> None:
        self._running += 1
        node = call.replica
        if self._idle[node]:
            self._idle[node] -= 1
            self._work(self._costs.call / 2, lambda: self._write(call))
        elif self._nodes[node].down() == "crash":
            self._clock.after(
                2 * self._net.delay, lambda: self._broken(call, ExchangePhase.CONNECTING, False)
            )
        else:
            self._clock.after(
                2 * self._net.delay, lambda: self._work(self._costs.call / 2, lambda: self._write(call))
            )

    def _broken(self, call: t.BatchRequest, phase: ExchangePhase, timed_out: bool) -> None:
        if self.alive:
            self._end(call, call.attempts, attempt_outcome.outcome_of_transport_error(phase, 1, timed_out))

    def _write(self, call: t.BatchRequest) -> None:
        """From here on its parts may run."""
        errands, stale = call.claim_sendable(self._clock.now) if call.id in self._off else ([], [])
        for errand in stale:
            self._put(
                t.AttemptFinished(
                    errand.part, errand.attempt, AttemptOutcome.NEVER_SENT, self._clock.now, None, "waited"
                )
            )
        if not errands:
            self._idle[call.replica] += 1
            self._end(call, call.attempts, AttemptOutcome.NEVER_SENT)
            return
        tiles = [errand.content for errand in errands]
        took = self._sent(self, call.replica, tiles)
        state: dict[str, Any] = {}

        def reply(what: Reply) -> None:
            self._clock.after(self._net.delay, lambda: self._replied(call, errands, what))

        def arrive() -> None:
            node = self._nodes[call.replica]
            if node.down() == "crash":
                reply(Reply.CUT)
                return
            if not state.get("left"):
                state["call"], record = node.ask(tiles, reply)
                took(record)

        def leave() -> None:
            state["left"] = True
            self._clock.after(self._net.delay, lambda: self._nodes[call.replica].leave(state.get("call", 0)))
            self._release(call)

        self._off[call.id] = leave
        self._clock.after(self._net.delay, arrive)
        # A reply that never comes holds its sender until the call's time is up.
        self._clock.at(call.expires_at, lambda: self._give_up(call, errands))

    def _give_up(self, call: t.BatchRequest, errands: list[t.AttemptRequest]) -> None:
        if self.alive and call.id in self._off:
            self._end(
                call, errands, attempt_outcome.outcome_of_transport_error(ExchangePhase.READING, 1, True)
            )

    def _replied(self, call: t.BatchRequest, errands: list[t.AttemptRequest], what: Reply) -> None:
        if not self.alive or call.id not in self._off:
            return
        if what is Reply.CUT:
            self._end(
                call, errands, attempt_outcome.outcome_of_transport_error(ExchangePhase.READING, 1, False)
            )
            return
        self._idle[call.replica] += 1
        semantics = errands[0].semantics
        outcome = {
            Reply.GOOD: AttemptOutcome.OK,
            Reply.BAD: attempt_outcome.outcome_of_invalid_reply(semantics, False, False),
            Reply.NOT_BEGUN: attempt_outcome.outcome_of_invalid_reply(semantics, True, True),
        }[what]
        self._work(self._costs.call / 2, lambda: self._end(call, errands, outcome))

    def _end(
        self,
        call: t.BatchRequest,
        errands: list[t.AttemptRequest],
        outcome: AttemptOutcome,
        free: bool = True,
    ) -> None:
        now = self._clock.now
        if free and call.id not in self._off:
            return  # called off meanwhile
        for errand in errands:
            self._put(
                t.AttemptFinished(
                    errand.part, errand.attempt, outcome, now, outcome is AttemptOutcome.OK, outcome.value
                )
            )
        if free:
            self._off.pop(call.id, None)
            self._release(call)

    def _release(self, call: t.BatchRequest) -> None:
        self._held -= 1
        self._held_by[call.replica] -= 1
        self._running -= 1
        while self._waiting and self._running < self._bounds.threads:
            self._send(self._waiting.popleft())
