"""Sums the priority weights of all demands and of those served, with an upper bound for any co-ordinator."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from gingervane.audit.records import Day, Record


def served_weight(day: Day) -> dict[str, Any]:
    """Sum the weights of all demands and of their answers.

    The bound gives a query its full weight if a replica of each required tile was up at some time within its
    latency objective. It ignores load, so it is higher than what is possible under overload.
    """
    began, requested, served, bound = day.began(), 0.0, 0.0, 0.0
    attempts: dict[int, list[Record]] = defaultdict(list)
    by_class: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for record in day.tries:
        attempts[record["demand"]].append(record)
    for demand in day.demands:
        query_class = day.facts["classes"][demand["query_class"]]
        requested += query_class["worth"]
        by_class[demand["query_class"]][0] += query_class["worth"]
        bound += _highest_weight(day, demand, query_class, demand["t"] - began)
        answer = next((r for r in attempts[demand["demand"]] if r.get("status") == 200), None)
        if answer:
            weight = _answer_weight(query_class, answer["ended"] - demand["t"], float(answer["coverage"]))
            served += weight
            by_class[demand["query_class"]][1] += weight
    return {
        "asked": round(requested, 3),
        "served": round(served, 3),
        "bound": round(bound, 3),
        "by_class": {
            name: {"asked": round(a, 3), "served": round(s, 3)} for name, (a, s) in by_class.items()
        },
    }


def _highest_weight(day: Day, demand: Record, query_class: Record, at: float) -> float:
    """Return the highest weight that any co-ordinator could have earned (`at`: seconds into the day)."""
    is_up = [_is_reachable(day, tile, at, at + query_class["aim"]) for tile in demand["names"]]
    share = sum(is_up) / len(is_up)
    if share == 1.0 or (query_class["partial"] and share >= query_class["least_share"]):
        return float(query_class["worth"] * (1.0 if share == 1.0 else query_class["short_worth"] * share))
    return 0.0


def _answer_weight(query_class: Record, latency: float, coverage: float) -> float:
    """Return the weight of an answer with a latency in seconds and a coverage."""
    if latency <= query_class["aim"]:
        lateness_factor = 1.0
    else:
        lateness_factor = query_class["late_worth"] if latency <= query_class["deadline"] else 0.0
    return float(
        query_class["worth"]
        * lateness_factor
        * (1.0 if coverage == 1.0 else query_class["short_worth"] * coverage)
    )


def _is_reachable(day: Day, tile: str, start: float, end: float) -> bool:
    """Whether some replica of a tile is up at some time from `start` to `end` (seconds into the day)."""
    count, width = day.facts["nodes"], day.facts["width"]
    number = int(tile[1:])
    for node in ((number + j) % count for j in range(width)):
        at = start
        for low, high in sorted(map(tuple, day.facts["down"].get(str(node), []))):
            if low <= at < high:
                at = high
        if at <= end:
            return True
    return False
