"""A modelled node: the stand-ins' own capacity model and fault schedule, without sockets.

What it assumes: a call is one message each way; a reply is as large as any other; a crash resets what is open at
once; what vanishes says nothing until its callers give up.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

from gingervane.emulator.events import Clock
from gingervane.fake_servers.capacity import Capacity, Job, Model
from gingervane.fake_servers.faults import Fault, Schedule


class Reply(Enum):
    """What a caller sees."""

    GOOD = "good"
    BAD = "bad"  # an answer that does not count: status 500, a wrong tile
    NOT_BEGUN = "not begun"  # 503, and says that it has begun nothing
    CUT = "cut"  # a connection that ends in mid-reply, or before


_BAD = ("wrong_tile", "wrong_time", "few_results", "snappy_lies")
_CUT = ("reset_mid_body", "short_body")


class SimNode:
    """One node. Records are those of a stand-in on sockets."""

    def __init__(
        self,
        number: int,
        model: Model,
        faults: Iterable[Fault],
        clock: Clock,
        record: Callable[..., dict[str, Any]],
    ) -> None:
        self.id, self._model, self._clock, self._record = number, model, clock, record
        self.schedule = Schedule(faults, number)
        self._capacity = Capacity(model, 0.0)
        self._calls = 0
        self._open: dict[int, tuple[Callable[[Reply], None], Job]] = {}
        for fault in self.schedule.faults:
            for start, end, how in fault.down_spans():
                clock.at(start, lambda s=start, e=end, h=how: self._go_down(s, e, h))  # type: ignore[misc]

    def down(self) -> str | None:
        """How the node is down, if it is."""
        found = self.schedule.down(self._clock.now)
        return found[1] if found else None

    def ask(self, tiles: list[list[Any]], reply: Callable[[Reply], None]) -> tuple[int, dict[str, Any]]:
        """A call has come; its number and the record of it. `reply` is called at most once, when the node has it."""
        now = self._clock.now
        self._calls += 1
        call = self._calls
        note = {"node": self.id, "call": call, "asked": tiles}
        if self.schedule.find("say_nothing", now) or self.down() == "vanish":
            return call, self._record("unheard", **note)
        if self.schedule.strikes("fail_fast", now):
            reply(Reply.BAD)
            return call, self._record("failed", **note)
        job = None
        if not self.schedule.strikes("reject", now):
            job = self._capacity.take(now, len({tile for tile, _, _ in tiles}), self.schedule.slowness(now))
        if self._capacity.fallen:
            self._record("fell", node=self.id)
            self.schedule.add(Fault("vanish", now, 1e6))
        if job is None:
            reply(Reply.NOT_BEGUN)
            return call, self._record("rejected", **note)
        self._open[call] = reply, job
        self._clock.at(max(job.end, self.schedule.still_until(job.end)), lambda: self._finish(call, now))
        return call, self._record("taken", **note)

    def leave(self, call: int) -> None:
        """The caller has gone; what the job had not used is given back."""
        found = self._open.pop(call, None)
        if found:
            self._capacity.drop(found[1], self._clock.now)
            self._record("dropped", node=self.id, call=call)

    def _finish(self, call: int, began: float) -> None:
        found = self._open.pop(call, None)
        if found is None:
            return
        now, strikes = self._clock.now, self.schedule.strikes
        if self.schedule.hangs(began) or strikes("lose_answers", began):
            self._record("lost", node=self.id, call=call)
            return
        self._record("done", node=self.id, call=call)
        reply, delay = Reply.GOOD, 0.0
        if any(strikes(kind, began) for kind in _CUT):
            reply = Reply.CUT
        elif any(strikes(kind, began) for kind in _BAD):
            reply = Reply.BAD
        if pause := self.schedule.find("pause_mid_reply", began):
            delay = pause.size
        if dribble := self.schedule.find("dribble", began):
            delay += 1500.0 / dribble.size  # of a reply's bytes
        self._clock.at(now + delay, lambda: found[0](reply))

    def _go_down(self, start: float, end: float, how: str) -> None:
        self._record("down", node=self.id, until=end, how=how)
        for call in list(self._open):
            opened, _ = self._open.pop(call)
            self._record("dropped", node=self.id, call=call)
            if how == "crash":
                opened(Reply.CUT)
        self._clock.at(end, self._come_up)

    def _come_up(self) -> None:
        self._capacity = Capacity(self._model, self._clock.now)
        self._record("up", node=self.id)
