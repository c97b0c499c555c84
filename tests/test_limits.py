"""Turns at a few slots: shared by weight, whoever comes how often; bounded; nobody is forgotten."""

from __future__ import annotations

import random
import threading
import time
from typing import Any

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane.limits.fair_queue import Fair, QueueFull
from gingervane.limits.concurrency_limit import Gate


def shares(
    weights: dict[str, float],
    took: dict[str, float],
    seconds: float,
    slots: int = 2,
) -> dict[str, float]:
    """Seconds of slots that each kind gets, where all of them always want more."""
    fair, now, used = Fair(weights, slots, 1000), 0.0, dict.fromkeys(weights, 0.0)
    running: list[tuple[float, str]] = []
    for name in weights:
        for _ in range(50):
            if fair.enter(name, name):
                running.append((now + took[name], name))
    while now < seconds:
        running.sort()
        now, name = running.pop(0)
        used[name] += took[name]
        following = fair.leave(name, took[name])
        if fair.enter(name, name):
            running.append((now + took[name], name))
        if following:
            running.append((now + took[following], following))
    return {name: value / sum(used.values()) for name, value in used.items()}


def test_turns_are_shared_by_weight_and_not_by_count() -> None:
    even = shares({"a": 1.0, "b": 1.0}, {"a": 0.001, "b": 0.05}, 50.0)
    assert even["a"] == pytest.approx(0.5, abs=0.02), "long work gets fewer turns"
    three = shares({"a": 3.0, "b": 1.0}, {"a": 0.01, "b": 0.01}, 20.0)
    assert three["a"] == pytest.approx(0.75, abs=0.02)


def test_idleness_is_not_saved_up() -> None:
    fair = Fair({"a": 1.0, "b": 1.0}, 1, 100)
    assert fair.enter("a", "first")
    for n in range(50):
        fair.enter("a", n)
    following: Any = "first"
    for _ in range(30):
        following = fair.leave("a", 1.0)
    assert fair.enter("b", "b0") is False
    order = []
    for n in range(6):
        following = fair.leave("a" if following != "b" else "b", 1.0)
        following = "b" if isinstance(following, str) else "a"
        order.append(following)
        fair.enter("b", f"b{n + 1}")
    assert order.count("b") == 3, "its share from now on, and not all that it did not take before"


def test_too_many_are_refused_with_a_time_to_come_back() -> None:
    fair = Fair({"a": 1.0, "b": 1.0}, 1, 3)
    assert fair.enter("b", "x")
    for n in range(3):
        assert not fair.enter("a", n)
    with pytest.raises(QueueFull, match="3 requests wait") as caught:
        fair.enter("a", 9)
    assert 0 < caught.value.retry_after < 1
    assert not fair.enter("a", "begun", must=True) and fair.waiting("a") == 4
    assert fair.give_up("a", 1) and not fair.give_up("a", 1)
    assert [fair.leave("b", 0.1), fair.leave("a", 0.1), fair.leave("a", 0.1), fair.leave("a", 0.1)] == [
        0,
        2,
        "begun",
        None,
    ]


class Machine(RuleBasedStateMachine):
    """Any order of coming, ending and giving up: slots are neither lost nor made."""

    def __init__(self) -> None:
        super().__init__()
        self.fair, self.count = Fair({"a": 1.0, "b": 2.0}, 2, 4), 0
        self.running: list[tuple[str, int]] = []
        self.waiting: dict[int, str] = {}

    @rule(name=st.sampled_from("ab"), must=st.booleans())
    def come(self, name: str, must: bool) -> None:
        self.count += 1
        try:
            if self.fair.enter(name, self.count, must):
                self.running.append((name, self.count))
            else:
                self.waiting[self.count] = name
        except QueueFull:
            assert not must and self.fair.waiting(name) >= 4

    @precondition(lambda self: bool(self.running))
    @rule(seconds=st.floats(0, 2))
    def end(self, seconds: float) -> None:
        name, _ = self.running.pop(0)
        following = self.fair.leave(name, seconds)
        if following is not None:
            self.running.append((self.waiting.pop(following), following))

    @precondition(lambda self: bool(self.waiting))
    @rule(data=st.data())
    def give_up(self, data: Any) -> None:
        token = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.fair.give_up(self.waiting.pop(token), token)

    @invariant()
    def no_slot_is_idle_while_somebody_waits(self) -> None:
        assert len(self.running) <= 2 and (len(self.running) == 2 or not self.waiting)


TestFair = Machine.TestCase
TestFair.settings = profile(max_examples=100, stateful_step_count=40, deadline=None)


def test_a_gate_under_threads() -> None:
    gate, inside, most, done = Gate({"a": 1.0, "b": 1.0}, 3, 1000), [0], [0], [0]
    lock = threading.Lock()

    def work(index: int) -> None:
        with gate.work("ab"[index % 2], time.monotonic() + 60.0):
            with lock:
                inside[0] += 1
                most[0] = max(most[0], inside[0])
            time.sleep(random.random() / 500)
            with lock:
                inside[0] -= 1
                done[0] += 1

    threads = [threading.Thread(target=work, args=(n,)) for n in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60.0)
    assert done[0] == 60 and 1 <= most[0] <= 3


def test_whose_time_is_up_goes_on_without_a_slot() -> None:
    gate, hold = Gate({"a": 1.0}, 1, 10), threading.Event()
    inside = threading.Event()

    def keep() -> None:
        with gate.work("a", time.monotonic() + 60.0):
            inside.set()
            hold.wait(60.0)

    thread = threading.Thread(target=keep)
    thread.start()
    assert inside.wait(30.0)
    with gate.work("a", time.monotonic() + 0.02):
        assert gate.waiting("a") == 0
    hold.set()
    thread.join(30.0)
    with gate.work("a", time.monotonic() + 60.0):
        pass
