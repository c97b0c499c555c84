"""The running co-ordinator: one decision thread around a `Driver`.

Owners: the decision thread alone touches the driver, and through it the module. Front threads hand over queries
with `submit`, sender threads hand over endings; both only put into the inbox. The inbox needs no bound of its own:
queries in it are counted by admission, endings by the attempts that are out, lists by their sender's pauses.
"""

from __future__ import annotations

import itertools
import os
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event, Lock, Thread
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.advice import Advice
from gingervane.coordinator.driver import Counts, Driver, Module
from gingervane.coordinator.sender import SenderLimits, Senders
from gingervane.policy import Coordinator
from gingervane.wire.local import start_thread
from gingervane.wire.pool import Pool

_MOST_A_BATCH = 512


class Bounds(NamedTuple):
    """What may be held at once: `open` counts queries and their parts, `result_bytes` results of open queries."""

    open: int
    result_bytes: int


class Refused(Exception):
    """No room for a query: nothing of it was begun. `come_again_in`: seconds, from how fast room came lately."""

    def __init__(self, what: str, come_again_in: float) -> None:
        super().__init__(what)
        self.come_again_in = come_again_in


class Admission:
    """Counts what is held; refuses past the bounds. Shared by front threads and the decision thread."""

    def __init__(
        self,
        bounds: Bounds,
        longest_advice: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bounds, self._lock, self._now = bounds, Lock(), now
        self._longest, self._room, self._memory = (
            longest_advice,
            Advice(longest_advice),
            Advice(longest_advice),
        )
        self._open = self._bytes = 0
        self._closed = ""

    @property
    def open(self) -> int:
        return self._open

    @property
    def held_bytes(self) -> int:
        return self._bytes

    def enter(self, size: int, gathered: int) -> None:
        """Take room for a query of `size` (itself and its parts); `gathered`: result bytes of unsettled queries.

        Raises Refused.
        """
        with self._lock:
            if self._closed:
                raise Refused(self._closed, self._longest)
            if self._open + size > self._bounds.open:
                wait = self._room.until(self._now(), self._open + size - self._bounds.open)
                raise Refused(f"{self._open} of {self._bounds.open} queries and parts are open", wait)
            if (over := self._bytes + gathered - self._bounds.result_bytes) > 0:
                wait = self._memory.until(self._now(), over)
                raise Refused(f"results held take {over} bytes more than the bound", wait)
            self._open += size

    def leave(self, size: int, result_bytes: int) -> None:
        """A query has been replied to and its results let go."""
        with self._lock:
            self._open -= size
            self._bytes -= result_bytes
            self._room.freed(self._now(), size)
            self._memory.freed(self._now(), result_bytes)

    def hold(self, result_bytes: int) -> None:
        """A settled query's results now wait to be merged and written."""
        with self._lock:
            self._bytes += result_bytes

    def close(self, why: str) -> None:
        with self._lock:
            self._closed = why

    def reopen(self, why: str) -> None:
        """Take queries again, if `why` is what it was closed for."""
        with self._lock:
            if self._closed == why:
                self._closed = ""


class Answers:
    """Final answers as they come, each with its ticket; or another token that its owner puts there."""

    def __init__(self) -> None:
        self._queue: SimpleQueue[Any] = SimpleQueue()
        self.put, self.get, self.get_nowait = self._queue.put, self._queue.get, self._queue.get_nowait


class Ticket:
    """A query that has been taken. The decision thread settles it once; the front waits, replies and calls `done`."""

    def __init__(self, number: int, plan: t.QueryPlan, core: Core, answers: Answers | None) -> None:
        self.id, self.plan, self.began = number, plan, time.monotonic()
        self._core, self._answers = core, answers or Answers()
        self._held_bytes = 0

    def settle(self, final: t.Final) -> None:
        """On the decision thread."""
        self._held_bytes = final.held_bytes
        self._core.admission.hold(final.held_bytes)
        self._core.observer.settled(self.id, self.plan, final, time.monotonic() - self.began)
        self._answers.put((self, final))

    def wait(self) -> t.Final:
        """The one final answer; the module sees to it that it comes in time."""
        final: t.Final = self._answers.get()[1]
        return final

    def leave(self) -> None:
        """Nobody wants it any more; it is settled all the same, as left."""
        self._core.left(self.id)

    def done(self) -> None:
        """The reply has been written, or cannot be."""
        self._core.admission.leave(1 + len(self.plan.parts), self._held_bytes)


class Observer(Protocol):
    """Told of what passes, on the decision thread; must not block."""

    def settled(self, query: int, plan: t.QueryPlan, final: t.Final, seconds: float) -> None: ...

    def attempt(self, outcome: api.Outcome, replica: int, seconds: float) -> None: ...

    def remark(self, text: str) -> None: ...

    def health(self, change: api.HealthChange) -> None: ...

    def broke(self, error: BaseException) -> None: ...


class Carrier(Protocol):
    """Carries calls out. All but the reports of endings is asked for by the decision thread and must not block."""

    @property
    def held(self) -> int:
        """Calls taken that have not ended."""

    def start(self, call: t.Call) -> bool:
        """Take a call; each of its errands is reported once. False: no room, and nothing of it was begun."""

    def tend(self) -> None:
        """At each turn: go on with what could not be done at once."""

    def call_off(self, call: t.Call) -> None:
        """No errand of the call is waited for any more."""

    def withdraw(self, call: t.Call, errand: t.Errand, tell: bool, over: bool) -> None:
        """A claimed errand is not waited for any more, as `types.Withdraw` has it."""

    def drop_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""

    def close(self) -> None:
        """Begin nothing more, and let go of what is held open."""


class Outside(NamedTuple):
    """What the module may ask for beyond calls and answers; called on the decision thread, must not block."""

    subscribe: Callable[[], None] = lambda: None
    tell_peers: Callable[[bytes], None] = lambda payload: None


class Core:
    """Owns the decision thread. Each ticket that `submit` gives out is settled exactly once."""

    def __init__(
        self,
        module: Module,
        settings: api.Settings,
        bounds: Bounds,
        observer: Observer,
        senders: Callable[[Callable[[list[t.Ended]], None]], Carrier],
        outside: Outside | None = None,
        gather: float = 0.0,
    ) -> None:
        """`gather`: seconds between the starts of two turns, at least; what comes meanwhile makes one batch."""
        self.settings = settings
        self.admission = Admission(bounds, settings.longest_wait_advice if settings.may_advise_wait else 0.0)
        self._driver = Driver(module, settings)
        self._driver.observe = observer.attempt
        self.observer, self._outside = observer, outside or Outside()
        self._inbox: SimpleQueue[list[t.Input]] = SimpleQueue()
        self._senders = senders(self._take_endings)
        self._ids = itertools.count(1)
        self._stop, self.broken = Event(), Event()
        self._gather, self._turned = gather, 0.0
        self._door = Lock()  # see `submit`
        self._thread: Thread | None = None

    def start(self) -> None:
        """Start deciding. Lists and queries that came before wait in the inbox."""
        self._thread = start_thread(self._run, "decisions")

    @property
    def driver_counts(self) -> Counts:
        """The driver's running totals; a reader may see one of them a step ahead of another."""
        return self._driver.counts

    @property
    def calls_held(self) -> int:
        """Calls out and calls waiting for a sender."""
        return self._senders.held

    def submit(self, plan: t.QueryPlan, answers: Answers | None = None) -> Ticket:
        """Hand over a query. Raises Refused, and then nothing of it was begun.

        `answers`: where its final answer goes, for a caller that waits for several tickets at once.
        """
        with (
            self._door
        ):  # guards against one that is admitted before the end, and put behind it where nobody looks
            self.admission.enter(1 + len(plan.parts), self._driver.held_bytes)
            ticket = Ticket(next(self._ids), plan, self, answers)
            self._inbox.put([t.Arrived(ticket.id, plan, ticket.settle)])
        return ticket

    def left(self, query: int) -> None:
        """The client of a query has gone."""
        self._inbox.put([t.Left(query)])

    def listed(self, listed: t.Listed) -> None:
        """A server list has come, or has changed."""
        self._inbox.put([listed])

    def heard(self, sender: int, payload: bytes) -> None:
        """Another co-ordinator has sent a message. Messages may be lost: with much to read, these go first."""
        if self._inbox.qsize() < _MOST_A_BATCH:
            self._inbox.put([t.Heard(sender, payload)])

    def close(self) -> None:
        """Take nothing new from now on: what was taken by now is in the inbox."""
        with self._door:
            self.admission.close("shutting down")

    def stop(self, grace: float) -> None:
        """Take nothing new, let what is held be answered for `grace` seconds, refuse or fail the rest, and end."""
        self.close()
        until = time.monotonic() + grace
        while self.admission.open and time.monotonic() < until and not self.broken.is_set():
            self._stop.wait(0.005)
        self._inbox.put([t.Shutdown()])
        self._stop.set()
        self._inbox.put([])
        if self._thread:
            self._thread.join()
        self._senders.close()

    def _take_endings(self, endings: list[t.Ended]) -> None:
        self._inbox.put(list(endings))

    def _run(self) -> None:
        try:
            while self._turn():
                pass
        except Exception as error:
            # Its books can no longer be trusted. All held queries are failed, which promises nothing.
            self.broken.set()
            self.admission.close("the decision thread broke")
            self.observer.broke(error)
            self._fail_all()

    def _turn(self) -> bool:
        inputs: list[t.Input] = []
        wait = self._driver.next_due() - time.monotonic()
        try:
            if wait > 0:
                inputs += self._inbox.get(timeout=min(wait, 60.0))
            if self._gather and (rest := self._turned + self._gather - time.monotonic()) > 0:
                # Guards CPU: a turn for each answer costs more in waking threads than in deciding.
                time.sleep(rest)
            while len(inputs) < _MOST_A_BATCH:
                inputs += self._inbox.get_nowait()
        except Empty:
            pass
        self._turned = time.monotonic()
        self._carry_out(self._driver.step(self._turned, inputs))
        self._senders.tend()
        # Done once told to stop, with nothing to read, nothing held and no own news.
        idle = self._inbox.empty() and not self._driver.open_queries and self._driver.next_due() > 0
        return not (self._stop.is_set() and idle)

    def _carry_out(self, effects: list[t.Effect]) -> None:
        refused: list[t.Ended] = []
        for effect in effects:
            match effect:
                case t.Start(call):
                    if not self._senders.start(call):
                        now = time.monotonic()
                        refused += [
                            t.Ended(
                                e.part, e.attempt, api.Outcome.NEVER_SENT, now, None, "every sender is taken"
                            )
                            for e in call.errands
                        ]
                case t.CallOff(call):
                    self._senders.call_off(call)
                case t.Withdraw(call, errand, tell, over):
                    self._senders.withdraw(call, errand, tell, over)
                case t.DropIdle(address):
                    self._senders.drop_idle(address)
                case t.Settle(settled, final, _):
                    settled(final)
                case t.Note(text):
                    self.observer.remark(text)
                case t.HealthChanged(change):
                    self.observer.health(change)
                case t.Subscribe():
                    self._outside.subscribe()
                case t.Tell(payload):
                    self._outside.tell_peers(payload)
        if refused:
            self._inbox.put(list(refused))

    def _fail_all(self) -> None:
        failed = t.Final(
            t.Verdict.FAILED, why="internal: the decision thread broke", reason=api.EndReason.INTERNAL
        )
        for query in self._driver.abandon():
            query(failed)
        while not self._stop.is_set() or not self._inbox.empty():
            try:
                items = self._inbox.get(timeout=0.5)
            except Empty:
                continue
            for item in items:
                if isinstance(item, t.Arrived):
                    item.settled(failed)


class CoreMaker(NamedTuple):
    """Makes the cores of one process over its pool. `seed`: of the modules; None: a random one each."""

    pool: Pool
    senders: SenderLimits
    bounds: Bounds
    seed: int | None

    def make(self, settings: api.Settings, observer: Observer, offset: int = 0) -> Core:
        """A core that has not been started; `offset` tells its module's seed from the others'."""
        seed = int.from_bytes(os.urandom(8), "big") if self.seed is None else self.seed + offset
        return Core(
            Coordinator(settings, seed),
            settings,
            self.bounds,
            observer,
            lambda report: Senders(self.pool, self.senders, report),
        )
