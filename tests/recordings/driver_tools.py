"""Recorded calls of the driver's helper classes: start times, attempt outcomes, reserve, timers, shard placement etc.

`TOOLS` lists for each how it is constructed and which calls are recorded; the fixture refers to them by position.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import product
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.coordinator import attempt_outcome
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission, AdmissionLimits, Rejected
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.coordinator.response_time_reserve import ResponseTimeReserve
from gingervane.coordinator.retry_after import RetryAfterEstimate
from gingervane.coordinator.timers import HeapTimers, WheelTimers
from gingervane.writes.shard_placement import ShardPlacement
from recordings.driver_codec import RAISED, RecordedCodec, decode, encode


class Clock:
    """A monotonic clock and a wall clock that are set by hand."""

    def __init__(self) -> None:
        self.monotonic = self.wall = 0.0

    def set(self, monotonic: float, wall: float = 0.0) -> None:
        self.monotonic, self.wall = monotonic, wall


class StartTimesTool:
    """`ReplicaStartTimes` with its two clocks."""

    def __init__(self, monotonic: float, wall: float) -> None:
        self.clock = Clock()
        self.clock.set(monotonic, wall)
        self.starts = ReplicaStartTimes(lambda: self.clock.monotonic, lambda: self.clock.wall)

    def place(self, starts: dict[int, float], cached: bool) -> tuple[dict[int, float], int]:
        return self.starts.place(starts, cached), self.starts.corrections


class AdmissionTool:
    """`Admission` with its clock."""

    def __init__(self, open_queries: int, result_bytes: int, max_retry_after: float) -> None:
        self.clock = Clock()
        self.admission = Admission(
            AdmissionLimits(open_queries, result_bytes), max_retry_after, lambda: self.clock.monotonic
        )

    def admit_query(self, size: int, open_result_bytes: int) -> tuple[bool, float]:
        """Return whether a query was admitted, and if not, the Retry-After."""
        try:
            self.admission.admit(size, open_result_bytes)
        except Rejected as rejected:
            return False, rejected.retry_after
        return True, 0.0

    def in_use(self) -> tuple[int, int]:
        return self.admission.open, self.admission.reserved_bytes


class ShardPlacementTool:
    """`ShardPlacement`, fed with endpoint updates."""

    def __init__(self, cells: int, width: int) -> None:
        self.placement = ShardPlacement(cells, width)

    def update(self, item: t.EndpointsUpdated) -> tuple[Any, ...]:
        result = self.placement.endpoints_updated(item)
        return result, tuple(sorted(self.placement.incomplete_replicas))

    def lookup(self, shard: int) -> tuple[Any, ...]:
        return tuple(tuple(holder) for holder in self.placement.replicas_of(shard))


class AttemptOutcomeTool:
    """The functions of `attempt_outcome`."""

    def transport_error(
        self, phase: attempt_outcome.ExchangePhase, bytes_written: int, timed_out: bool
    ) -> api.AttemptOutcome:
        return attempt_outcome.outcome_of_transport_error(phase, bytes_written, timed_out)

    def invalid_reply(
        self, retry_safety: api.RetrySafety, proves_not_executed: bool, overloaded: bool
    ) -> api.AttemptOutcome:
        return attempt_outcome.outcome_of_invalid_reply(retry_safety, proves_not_executed, overloaded)


class SendDeadlineTool(NamedTuple):
    """A batch request that was decided at a given time."""

    decided_at: float

    def is_overdue(self, now: float) -> bool:
        return t.BatchRequest(
            1, 1, ("~1", 1), RecordedCodec(1), [], 9.0, decided_at=self.decided_at
        ).is_send_overdue(now)


class Tool(NamedTuple):
    """How a helper is constructed, and the calls that are recorded; append only."""

    make: Callable[..., Any]
    calls: tuple[Callable[..., Any], ...]


TOOLS = (
    Tool(
        StartTimesTool,
        (lambda o, *a: o.clock.set(*a), StartTimesTool.place, lambda o: o.starts.message_received()),
    ),
    Tool(AttemptOutcomeTool, (AttemptOutcomeTool.transport_error, AttemptOutcomeTool.invalid_reply)),
    Tool(ResponseTimeReserve, (ResponseTimeReserve.learn, ResponseTimeReserve.get)),
    Tool(WheelTimers, (WheelTimers.add, WheelTimers.next_due, WheelTimers.pop_due, WheelTimers.__len__)),
    Tool(HeapTimers, (HeapTimers.add, HeapTimers.next_due, HeapTimers.pop_due, HeapTimers.__len__)),
    Tool(
        ShardPlacementTool,
        (ShardPlacementTool.update, ShardPlacementTool.lookup, lambda o, n: o.placement.shards_of(n)),
    ),
    Tool(
        ProcessPauseDetector,
        (
            ProcessPauseDetector.tick,
            ProcessPauseDetector.record_pause,
            ProcessPauseDetector.mark_running,
            ProcessPauseDetector.arrival_time,
            lambda o: o.count,
        ),
    ),
    Tool(RetryAfterEstimate, (RetryAfterEstimate.record_release, RetryAfterEstimate.seconds_until_free)),
    Tool(
        AdmissionTool,
        (
            lambda o, *a: o.clock.set(*a),
            AdmissionTool.admit_query,
            lambda o, *a: o.admission.release(*a),
            lambda o, n: o.admission.reserve_results(n),
            lambda o, reason: o.admission.close(reason),
            lambda o, reason: o.admission.reopen(reason),
            AdmissionTool.in_use,
        ),
    ),
    Tool(SendDeadlineTool, (SendDeadlineTool.is_overdue,)),
)
(
    START_TIMES,
    ATTEMPT_OUTCOMES,
    RESERVE,
    WHEEL,
    HEAP,
    SHARD_PLACEMENT,
    PROCESS_PAUSE,
    RETRY_AFTER,
    ADMISSION,
    SEND_DEADLINE,
) = range(len(TOOLS))


class ToolUse:
    """One instance of a helper; arguments and results of its calls are in the form of the recordings."""

    def __init__(self, tool: int, arguments: list[Any]) -> None:
        self._tool = TOOLS[tool]
        self._object = self._tool.make(*(decode(argument) for argument in arguments))

    def call(self, index: int, arguments: list[Any]) -> Any:
        decoded = [decode(argument) for argument in arguments]
        try:
            result = self._tool.calls[index](self._object, *decoded)
        except Exception:  # the type is not recorded
            return [RAISED]
        return encode(result)


class _Recorder:
    def __init__(self, tool: int, *arguments: Any) -> None:
        self.use = ToolUse(tool, [encode(argument) for argument in arguments])
        self.recorded_use: list[Any] = [tool, [encode(argument) for argument in arguments], []]

    def __call__(self, index: int, *arguments: Any) -> None:
        encoded = [encode(argument) for argument in arguments]
        self.recorded_use[2].append([index, encoded, self.use.call(index, encoded)])


def record_tools() -> list[Any]:
    """All uses, each as `[tool, constructor arguments, [call, arguments, result]...]`."""
    return [
        *(
            _start_times(ahead, step)
            for ahead, step in product((0.0, -20.0, 3600.0), (0.0, -50.0, -1.0, 0.05, 40.0))
        ),
        _attempt_outcomes(),
        _reserve(),
        _timers(WHEEL, 0.005),
        _timers(HEAP),
        _shard_placement(),
        _process_pauses(),
        _retry_after(),
        _admission(),
        _send_deadline(),
    ]


def _start_times(ahead: float, step: float) -> list[Any]:
    """Use a wall clock that is `ahead` from the start and is stepped by `step` during the run."""
    use, draw, unix = _Recorder(START_TIMES, 1000.0, 1.7e9 + ahead), random.Random(3), 1.7e9 - 1000.0
    known = {number: unix + 500.0 + 60 * number for number in range(4)}
    use(2)
    use(1, known | {9: 0.0}, True)
    now = 1000.0
    for turn in range(24):
        now = round(now + draw.choice((0.5, 2.0, 4.0)), 3)
        use(0, now, unix + now + ahead + (step if turn > 9 else 0.0))
        if draw.random() < 0.4:
            use(2)
        if draw.random() < 0.6:
            started = draw.choice((now - 0.5, now - 2.0, now - 100.0, now + 5.0))
            known[draw.randrange(6)] = round(unix + started, 3)
        use(1, dict(known) if draw.random() < 0.8 else {}, draw.random() < 0.2)
    return use.recorded_use


def _send_deadline() -> list[Any]:
    use = _Recorder(SEND_DEADLINE, 0.0)
    for now in (-1.0, 0.0, t.MAX_SEND_DELAY - 1e-9, t.MAX_SEND_DELAY, t.MAX_SEND_DELAY + 1e-9, 1.0):
        use(0, now)
    return use.recorded_use


def _attempt_outcomes() -> list[Any]:
    use = _Recorder(ATTEMPT_OUTCOMES)
    for phase, bytes_written, timed_out in product(attempt_outcome.ExchangePhase, (0, 1, 900), (False, True)):
        use(0, phase, bytes_written, timed_out)
    for retry_safety, proven, overloaded in product(api.RetrySafety, (False, True), (False, True)):
        use(1, retry_safety, proven, overloaded)
    return use.recorded_use


def _reserve() -> list[Any]:
    use, draw = _Recorder(RESERVE), random.Random(4)
    use(1, 3, 2.0)
    for _ in range(150):
        use(0, draw.randint(0, 6), round(draw.expovariate(50.0), 5))
        use(1, draw.randint(0, 6), draw.choice((0.01, 0.2, 2.0)))
    return use.recorded_use


def _timers(tool: int, *tick: float) -> list[Any]:
    use, draw, now = _Recorder(tool, *tick), random.Random(5), 100.0
    use(1)
    for number in range(120):
        use(0, round(now + draw.choice((0.0, 0.003, 0.5, -1.0)) + draw.random() / 50, 4), number)
        now = round(now + draw.random() / 20, 4)
        use(1)
        use(2, now)
        use(3)
    use(2, now + 10.0)
    use(1)
    return use.recorded_use


def _shard_placement() -> list[Any]:
    use, draw = _Recorder(SHARD_PLACEMENT, 5, 3), random.Random(6)
    for kind in (api.MembershipUpdateKind.FULL, *draw.choices(list(api.MembershipUpdateKind), k=14)):
        numbers = draw.sample(range(8), draw.randint(1, 6))
        states = {number: draw.choice(list(api.ReplicaState)) for number in numbers}
        rows = tuple(api.Replica(n, n % 5, n % 2, 1.0, state, 0.0) for n, state in states.items())
        addresses = {number: (f"~{number}", 1000 + number) for number in numbers}
        use(0, t.EndpointsUpdated(api.MembershipChanged(kind, rows), addresses))
        for shard in range(6):
            use(1, shard)
        use(2, draw.randrange(8))
    return use.recorded_use


def _process_pauses() -> list[Any]:
    use, draw, now = _Recorder(PROCESS_PAUSE, 100.0), random.Random(7), 100.0
    for _ in range(120):
        now = round(now + draw.choice((0.05, 0.05, 0.05, 0.16, 1.0)), 4)
        arrival_draw = draw.random()
        if arrival_draw < 0.2:
            use(3, now)
        if arrival_draw < 0.1:
            use(3, now, now - 0.3)
        match draw.randrange(12):
            case 0:
                use(1, now - 0.2, now)
            case 1:
                use(2, now)
            case _:
                use(0, now)
        use(3, round(now + draw.choice((0.0, 0.04, 0.2)), 4))
        use(3, now, round(now - draw.choice((0.0, 0.1, 2.0)), 4))
        use(4)
    return use.recorded_use


def _retry_after() -> list[Any]:
    use, draw, now = _Recorder(RETRY_AFTER, 1.5), random.Random(8), 100.0
    use(1, now, 4)
    for _ in range(120):
        now = round(now + draw.choice((0.0, 0.01, 0.1, 2.5)) * draw.random(), 4)
        use(0, now, draw.randint(0, 9))
        use(
            1,
            round(now + draw.choice((0.0, 1.0, 3.0)), 4) if draw.random() < 0.1 else now,
            draw.randint(1, 60),
        )
    return use.recorded_use


def _admission() -> list[Any]:
    use, draw, now = _Recorder(ADMISSION, 12, 500, 1.0), random.Random(9), 100.0
    in_use: list[tuple[int, int]] = []
    for turn in range(150):
        now = round(now + draw.random() / 20, 4)
        use(0, now)
        match draw.randrange(5):
            case 0 if in_use:
                use(2, *in_use.pop(draw.randrange(len(in_use))))
            case 1 if in_use:
                size, reserved_bytes = in_use.pop()
                result_bytes = draw.randint(0, 200)
                use(3, result_bytes)
                in_use.append((size, reserved_bytes + result_bytes))
            case _:
                size = draw.randint(2, 5)
                use(1, size, draw.choice((0, 0, 120)))
                if use.recorded_use[2][-1][2][1] is True:
                    in_use.append((size, 0))
        if turn in (60, 110):
            use(4, "~closed")
        if turn in (70, 80):
            use(5, "~closed" if turn == 80 else "~other")
        use(6)
    return use.recorded_use
