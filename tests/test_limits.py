"""The concurrency limit and its fair queue: slots are limited, and shared by weight at any request rate."""

from __future__ import annotations

import random
import threading
import time
from typing import Any

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.limits.fair_queue import FairQueue, NoSlotInTime, QueueFull


def shares(
    weights: dict[str, float],
    durations: dict[str, float],
    seconds: float,
    slots: int = 2,
) -> dict[str, float]:
    """Share of the slot time that each class gets while all classes have requests waiting."""
    queue: FairQueue[str] = FairQueue(weights, slots, 1000)
    now = 0.0
    used = dict.fromkeys(weights, 0.0)
    running: list[tuple[float, str]] = []
    for name in weights:
        for _ in range(50):
            if queue.acquire(name, name):
                running.append((now + durations[name], name))
    while now < seconds:
        running.sort()
        now, name = running.pop(0)
        used[name] += durations[name]
        granted = queue.release(name, durations[name])
        if queue.acquire(name, name):
            running.append((now + durations[name], name))
        if granted:
            running.append((now + durations[granted], granted))
    return {name: value / sum(used.values()) for name, value in used.items()}


def test_slots_are_shared_by_weight_and_not_by_count() -> None:
    even = shares({"a": 1.0, "b": 1.0}, {"a": 0.001, "b": 0.05}, 50.0)
    assert even["a"] == pytest.approx(0.5, abs=0.02), "longer requests get fewer slots"
    weighted = shares({"a": 3.0, "b": 1.0}, {"a": 0.01, "b": 0.01}, 20.0)
    assert weighted["a"] == pytest.approx(0.75, abs=0.02)


def test_idle_time_earns_no_credit() -> None:
    queue: FairQueue[Any] = FairQueue({"a": 1.0, "b": 1.0}, 1, 100)
    assert queue.acquire("a", "first")
    for n in range(50):
        queue.acquire("a", n)
    granted: Any = "first"
    for _ in range(30):
        granted = queue.release("a", 1.0)
    assert queue.acquire("b", "b0") is False
    order = []
    for n in range(6):
        granted = queue.release("a" if granted != "b" else "b", 1.0)
        granted = "b" if isinstance(granted, str) else "a"
        order.append(granted)
        queue.acquire("b", f"b{n + 1}")
    assert order.count("b") == 3, "b gets its share from now on, without credit for its idle time"


def test_too_many_are_rejected_with_a_retry_after() -> None:
    queue: FairQueue[Any] = FairQueue({"a": 1.0, "b": 1.0}, 1, 3)
    assert queue.acquire("b", "x")
    for n in range(3):
        assert not queue.acquire("a", n)
    with pytest.raises(QueueFull, match="3 requests wait") as caught:
        queue.acquire("a", 9)
    assert 0 < caught.value.retry_after < 1
    assert not queue.acquire("a", "begun", admit_always=True) and queue.waiting("a") == 4
    assert queue.cancel("a", 1) and not queue.cancel("a", 1)
    assert [
        queue.release("b", 0.1),
        queue.release("a", 0.1),
        queue.release("a", 0.1),
        queue.release("a", 0.1),
    ] == [
        0,
        2,
        "begun",
        None,
    ]


class FairQueueMachine(RuleBasedStateMachine):
    """Acquires, releases and cancels in any order: slots are neither lost nor granted in excess."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[int] = FairQueue({"a": 1.0, "b": 2.0}, 2, 4)
        self.count = 0
        self.running: list[tuple[str, int]] = []
        self.waiting: dict[int, str] = {}

    @rule(name=st.sampled_from("ab"), admit_always=st.booleans())
    def acquire(self, name: str, admit_always: bool) -> None:
        self.count += 1
        try:
            if self.queue.acquire(name, self.count, admit_always=admit_always):
                self.running.append((name, self.count))
            else:
                self.waiting[self.count] = name
        except QueueFull:
            assert not admit_always and self.queue.waiting(name) >= 4

    @precondition(lambda self: bool(self.running))
    @rule(seconds=st.floats(0, 2))
    def release(self, seconds: float) -> None:
        name, _ = self.running.pop(0)
        granted = self.queue.release(name, seconds)
        if granted is not None:
            self.running.append((self.waiting.pop(granted), granted))

    @precondition(lambda self: bool(self.waiting))
    @rule(data=st.data())
    def cancel(self, data: Any) -> None:
        waiter = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.cancel(self.waiting.pop(waiter), waiter)

    @invariant()
    def no_slot_is_idle_while_somebody_waits(self) -> None:
        assert len(self.running) <= 2 and (len(self.running) == 2 or not self.waiting)


TestFairQueue = FairQueueMachine.TestCase
TestFairQueue.settings = profile(max_examples=100, stateful_step_count=40, deadline=None)


def test_a_concurrency_limit_under_threads() -> None:
    limit = ConcurrencyLimit({"a": 1.0, "b": 1.0}, 3, 1000)
    inside, max_inside, done = [0], [0], [0]
    lock = threading.Lock()

    def work(index: int) -> None:
        with limit.slot("ab"[index % 2], time.monotonic() + 60.0):
            with lock:
                inside[0] += 1
                max_inside[0] = max(max_inside[0], inside[0])
            time.sleep(random.random() / 500)
            with lock:
                inside[0] -= 1
                done[0] += 1

    threads = [threading.Thread(target=work, args=(n,)) for n in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60.0)
    assert done[0] == 60 and 1 <= max_inside[0] <= 3


def test_a_request_whose_turn_is_not_expected_in_its_time_is_refused_at_once() -> None:
    queue: FairQueue[str] = FairQueue({"a": 1.0}, 2, 512)
    for _ in range(60):
        assert queue.acquire("a", "long work")
        queue.release("a", 1.0)
    for name in ("running", "running", "first", "second"):
        queue.acquire("a", name)
    with pytest.raises(NoSlotInTime, match="2 requests wait") as caught:  # three turns at two a second
        queue.acquire("a", "hurried", seconds_left=1.2)
    assert caught.value.retry_after == pytest.approx(0.3, abs=0.01), "when its time will do"
    assert not queue.acquire("a", "patient", seconds_left=1.6) and queue.waiting("a") == 3
    assert not queue.acquire("a", "begun", seconds_left=0.0, admit_always=True)


@pytest.mark.parametrize("admit_always", [False, True])
def test_no_work_is_done_without_a_slot_when_the_caller_s_time_is_over(admit_always: bool) -> None:
    limit = ConcurrencyLimit({"a": 1.0}, 1, 10)
    finish = threading.Event()
    inside = threading.Event()

    def occupy_slot() -> None:
        with limit.slot("a", time.monotonic() + 60.0):
            inside.set()
            finish.wait(60.0)

    thread = threading.Thread(target=occupy_slot)
    thread.start()
    assert inside.wait(30.0)
    with pytest.raises(NoSlotInTime), limit.slot("a", time.monotonic() + 0.02, admit_always):
        pytest.fail("the body was run without a slot")
    assert limit.waiting("a") == 0
    finish.set()
    thread.join(30.0)
    with limit.slot("a", time.monotonic() + 60.0):
        pass
