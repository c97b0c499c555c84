"""Fault injection for a fake server: kinds of fault and their schedule. Does no I/O.

The server queries its schedule at each step of a request. Times are seconds on the monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

# The meaning of `size` for each kind of fault.
KINDS = {
    "slow": "times slower",
    "ageing": "times slower at the end",
    "hang": "share of requests that are accepted and never answered",
    "say_nothing": "unused; connections are accepted, but nothing is read",
    "fail_fast": "share of requests that fail at once",
    "reject": "share of requests that are rejected before any work",
    "reset_mid_body": "share of replies that a connection reset cuts short",
    "lose_answers": "share of replies that are not sent although the work is done",
    "pause_mid_reply": "seconds between the two halves of a reply",
    "dribble": "bytes per second",
    "wrong_tile": "share of replies for another tile",
    "wrong_time": "share of replies with samples outside the requested time range",
    "short_body": "share of replies that a connection close cuts short",
    "few_results": "share of replies with one result missing",
    "snappy_lies": "share of replies whose Snappy block states a wrong size",
    "idle_reap": "seconds of idleness after which a connection is dropped without a reset",
    "stand_still": "seconds of each process pause, one pause per second",
    "crash": "unused; connections are reset and refused, then slow start",
    "vanish": "unused; no reset and no answer, then slow start",
    "flapping": "seconds of a period, 0.4 of it down",
    "zone_loss": "unused; crash of a whole zone, whose nodes the scenario lists",
}
DOWN_KINDS = {"crash", "vanish", "zone_loss"}
FLAP_DOWN_SHARE = 0.4  # share of a flapping period in which the server is down
AGEING_CRASH_SECONDS = 2.0  # downtime at the end of the fault `ageing`


class FaultError(ValueError):
    """A fault has an unknown kind or an invalid duration or size."""


@dataclass(frozen=True)
class Fault:
    """One fault. It is active from `start`, on the monotonic clock, for `seconds`."""

    kind: str
    start: float
    seconds: float
    size: float = 1.0
    how: str = "crash"  # how flapping takes the server down: crash, vanish or hang

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise FaultError(f"fault {self.kind!r}: not one of {', '.join(KINDS)}")
        if not self.seconds > 0 or self.size < 0:
            raise FaultError(f"fault {self.kind}: seconds must be over 0, size not under 0")

    @property
    def end(self) -> float:
        """When the fault ends."""
        return self.start + self.seconds

    def active(self, now: float) -> bool:
        """Whether the fault is active at a time."""
        return self.start <= now < self.end

    def down_spans(self) -> list[tuple[float, float, str]]:
        """Return the periods in which the server is down: start, end, and `crash` or `vanish`."""
        if self.kind in DOWN_KINDS:
            return [(self.start, self.end, "vanish" if self.kind == "vanish" else "crash")]
        if self.kind == "flapping" and self.how != "hang":
            spans, at = [], self.start
            while at < self.end:
                spans.append((at, min(at + self.size * FLAP_DOWN_SHARE, self.end), self.how))
                at += self.size
            return spans
        if self.kind == "ageing":
            return [(self.end, self.end + AGEING_CRASH_SECONDS, "crash")]
        return []


class Schedule:
    """All faults of one server. Faults are only added, never removed."""

    def __init__(self, faults: Iterable[Fault], seed: int) -> None:
        self.faults = list(faults)
        self._random = random.Random(seed)

    def add(self, fault: Fault) -> None:
        """Schedule a further fault."""
        self.faults.append(fault)

    def find(self, kind: str, now: float) -> Fault | None:
        """Return the first fault of a kind that is active at a time, or None."""
        return next((f for f in self.faults if f.kind == kind and f.active(now)), None)

    def affects_request(self, kind: str, now: float) -> bool:
        """Whether a fault that affects a share of requests affects this one, chosen at random."""
        fault = self.find(kind, now)
        return fault is not None and self._random.random() < fault.size

    def slowness(self, now: float) -> float:
        """Return the factor by which faults slow down work at a time."""
        factor = 1.0
        for fault in self.faults:
            if fault.active(now) and fault.kind == "slow":
                factor *= fault.size
            elif fault.active(now) and fault.kind == "ageing":
                factor *= 1.0 + (fault.size - 1.0) * (now - fault.start) / fault.seconds
        return factor

    def down(self, now: float) -> tuple[float, str] | None:
        """Return until when and how (`crash` or `vanish`) the server is down, or None if it is up."""
        for fault in list(self.faults):
            for start, end, how in fault.down_spans():
                if start <= now < end:
                    return end, how
        return None

    def leaves_unanswered(self, now: float) -> bool:
        """Whether a request that arrives at a time is accepted and never answered."""
        for fault in self.faults:
            if fault.kind == "flapping" and fault.how == "hang" and fault.active(now):
                return (now - fault.start) % fault.size < fault.size * FLAP_DOWN_SHARE
        return self.affects_request("hang", now)

    def paused_until(self, now: float) -> float:
        """Return the end of the process pause that is active at `now`, or `now` if there is none."""
        fault = self.find("stand_still", now)
        if fault is None:
            return now
        phase = (now - fault.start) % 1.0
        return now - phase + fault.size if phase < fault.size else now
