"""The rule on the retry budget: it limits each co-ordinator's further attempts in any window of time."""

from __future__ import annotations

import bisect
from collections import defaultdict

from gingervane.audit.records import Day, Part
from gingervane.audit.verdict import Verdict

# Seconds from reading a query to its admission, and from a decision to the send.
_MAX_SEND_DELAY = 0.1

Times = list[float]


def judge(day: Day) -> Verdict:
    """Judge every retry and hedged request."""
    verdict = Verdict()
    received = _first_attempts_received(day)
    for tap, times in _retries(day).items():
        times.sort()
        _judge_coordinator(day, tap, times, sorted(received[tap]), verdict)
    return verdict


def _retries(day: Day) -> dict[str, Times]:
    """Return when each co-ordinator sent further attempts of a part or a subtree, by tap."""
    retries: dict[str, Times] = defaultdict(list)
    for sends in day.by_part.values():
        senders: set[str] = set()
        for send in sends:
            if send.tap in senders:
                retries[send.tap].append(send.t)
            senders.add(send.tap)
    subtrees: set[tuple[str, tuple[Part, ...]]] = set()
    for subtree in day.subtree_requests:
        if (subtree.tap, subtree.parts) in subtrees:
            retries[subtree.tap].append(subtree.t)
        subtrees.add((subtree.tap, subtree.parts))
    return retries


def _first_attempts_received(day: Day) -> dict[str, list[tuple[float, int]]]:
    """Return when each tap's co-ordinator read queries and subtrees, with their numbers of first attempts."""
    received: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for subtree in day.subtree_requests:
        if subtree.child:
            received[subtree.child].append((subtree.read, 1 + len(subtree.parts)))
    for record in day.tries:
        if "tap" in record:
            received[record["tap"]].append((record["read"], 1 + len(record["tiles"])))
    return received


def _judge_coordinator(
    day: Day, tap: str, retries: Times, received: list[tuple[float, int]], verdict: Verdict
) -> None:
    """Judge the window of time that ends with each retry; both lists are in order of time."""
    budget = day.facts["budget"]
    cumulative_attempts = [0]
    for _, size in received:
        cumulative_attempts.append(cumulative_attempts[-1] + size)
    read_times = [at for at, _ in received]
    first = 0
    for index, at in enumerate(retries):
        while retries[first] <= at - budget["span"]:
            first += 1
        low = bisect.bisect_right(read_times, at - budget["span"] - _MAX_SEND_DELAY)
        first_attempts = cumulative_attempts[bisect.bisect_right(read_times, at)] - cumulative_attempts[low]
        allowed = budget["free"] + budget["share"] * first_attempts
        used = index - first + 1
        verdict.count_test(
            used / max(allowed, 1e-9), f"{tap}: {used} further attempts, {allowed:.1f} allowed"
        )
