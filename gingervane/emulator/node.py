"""A modelled node: the capacity model and fault schedule of the fake servers, without sockets.

The model assumes that a call is one message each way, that all replies have the same size, that a crash
resets all open connections at once, and that a node that vanishes does not answer until its callers time out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from functools import partial
from typing import Any

from gingervane.emulator.events import Clock
from gingervane.fake_servers.capacity import Capacity, Job, Model
from gingervane.fake_servers.faults import Fault, Schedule


class Reply(Enum):
    """The outcome of a request as its caller sees it."""

    GOOD = "good"
    BAD = "bad"  # an invalid answer, such as status 500 or a wrong tile
    NOT_BEGUN = "not begun"  # status 503 with the header that no work has begun
    CUT = "cut"  # the connection ends before the whole reply has been sent


# Kinds of fault that make a reply invalid, and those that end the connection within it.
_BAD_REPLY_FAULTS = ("wrong_tile", "wrong_time", "few_results", "snappy_lies")
_CUT_REPLY_FAULTS = ("reset_mid_body", "short_body")
_REPLY_BYTES = 1500.0  # size of a reply, for the duration of one that is sent slowly (`dribble`)
_OVERLOAD_DOWNTIME = 1e6  # seconds that an overloaded node stays down

ReplyCallback = Callable[[Reply], None]


class SimNode:
    """One node. It writes the same records as a fake server on sockets."""

    def __init__(
        self,
        number: int,
        model: Model,
        faults: Iterable[Fault],
        clock: Clock,
        record: Callable[..., dict[str, Any]],
    ) -> None:
        self.id = number
        self._model = model
        self._clock = clock
        self._record = record
        self.schedule = Schedule(faults, number)
        self._capacity = Capacity(model, 0.0)
        self._calls = 0
        self._open: dict[int, tuple[ReplyCallback, Job]] = {}
        for fault in self.schedule.faults:
            for start, end, how in fault.down_spans():
                clock.at(start, partial(self._go_down, end, how))

    def down(self) -> str | None:
        """Return how the node is down (`crash` or `vanish`), or None if it is up."""
        outage = self.schedule.down(self._clock.now)
        return outage[1] if outage else None

    def receive(self, contents: list[list[Any]], reply: ReplyCallback) -> tuple[int, dict[str, Any]]:
        """Accept a request; return its call number and its record.

        `reply` is called at most once, when the node's reply is ready.
        """
        now = self._clock.now
        self._calls += 1
        call = self._calls
        record_fields = {"node": self.id, "call": call, "asked": contents}
        if self.schedule.find("say_nothing", now) or self.down() == "vanish":
            return call, self._record("unheard", **record_fields)
        if self.schedule.affects_request("fail_fast", now):
            reply(Reply.BAD)
            return call, self._record("failed", **record_fields)
        job = self._queue(len({tile for tile, _, _ in contents}))
        if job is None:
            reply(Reply.NOT_BEGUN)
            return call, self._record("rejected", **record_fields)
        self._open[call] = reply, job
        end = max(job.end, self.schedule.paused_until(job.end))
        self._clock.at(end, lambda: self._finish(call, now))
        return call, self._record("taken", **record_fields)

    def drop_call(self, call: int) -> None:
        """Drop a request whose caller has disconnected and release the unused time of its job."""
        dropped = self._open.pop(call, None)
        if dropped:
            self._capacity.drop(dropped[1], self._clock.now)
            self._record("dropped", node=self.id, call=call)

    def _queue(self, parts: int) -> Job | None:
        """Queue the work on a number of parts; None if it is rejected. An overload takes the node down."""
        now = self._clock.now
        job = None
        if not self.schedule.affects_request("reject", now):
            job = self._capacity.take(now, parts, self.schedule.slowness(now))
        if self._capacity.is_overloaded:
            self._record("fell", node=self.id)
            self.schedule.add(Fault("vanish", now, _OVERLOAD_DOWNTIME))
        return job

    def _finish(self, call: int, arrived: float) -> None:
        """Reply to a request whose work is done, with the faults that were active when it arrived."""
        finished = self._open.pop(call, None)
        if finished is None:
            return
        reply, _ = finished
        if self.schedule.leaves_unanswered(arrived) or self.schedule.affects_request("lose_answers", arrived):
            self._record("lost", node=self.id, call=call)
            return
        self._record("done", node=self.id, call=call)
        outcome = self._reply_outcome(arrived)
        self._clock.at(self._clock.now + self._reply_delay(arrived), lambda: reply(outcome))

    def _reply_outcome(self, arrived: float) -> Reply:
        if any(self.schedule.affects_request(kind, arrived) for kind in _CUT_REPLY_FAULTS):
            return Reply.CUT
        if any(self.schedule.affects_request(kind, arrived) for kind in _BAD_REPLY_FAULTS):
            return Reply.BAD
        return Reply.GOOD

    def _reply_delay(self, arrived: float) -> float:
        """Return the seconds between the end of the work and the end of the reply."""
        delay = 0.0
        if pause := self.schedule.find("pause_mid_reply", arrived):
            delay = pause.size
        if dribble := self.schedule.find("dribble", arrived):
            delay += _REPLY_BYTES / dribble.size
        return delay

    def _go_down(self, until: float, how: str) -> None:
        self._record("down", node=self.id, until=until, how=how)
        for call in list(self._open):
            reply, _ = self._open.pop(call)
            self._record("dropped", node=self.id, call=call)
            if how == "crash":
                reply(Reply.CUT)
        self._clock.at(until, self._restart)

    def _restart(self) -> None:
        self._capacity = Capacity(self._model, self._clock.now)
        self._record("up", node=self.id)
