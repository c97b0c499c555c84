"""The rule on slow start: what reaches a node that has just started stays under what overloads it."""

from __future__ import annotations

from gingervane.audit.records import Day, Record
from gingervane.audit.verdict import Verdict


def judge(day: Day) -> Verdict:
    """Judge every start of a node, over any overload window, and every overload."""
    verdict = Verdict()
    for record in day.nodes:
        if record["kind"] == "up":
            up, node = record["t"], record["node"]
            worst = _worst_load(day.facts["model"], up, _received(day, node, up))
            verdict.put(
                worst, f"node {node}: sent {worst:.2f} of what pushes it over, {up - day.began():.1f} s in"
            )
    for record in day.nodes:
        if record["kind"] == "fell" and verdict.kept:
            verdict.breach(f"node {record['node']}: fell over")
    return verdict


def _received(day: Day, node: int, up: float) -> list[tuple[float, float]]:
    """Each request that a node received in its slow start: when, and the core seconds of it."""
    model = day.facts["model"]
    return [
        (record["t"], _work(model, record))
        for record in day.nodes
        if record["node"] == node and "asked" in record and up <= record["t"] < up + model["ramp_time"]
    ]


def _work(model: Record, record: Record) -> float:
    tiles = len({tile for tile, _, _ in record["asked"]})
    return float(tiles * model["work"] + model["call_work"])


def _worst_load(model: Record, up: float, received: list[tuple[float, float]]) -> float:
    """Most work within an overload window, as a share of what overloads the node."""
    worst, total, first = 0.0, 0.0, 0
    for at, work in received:
        total += work
        while received[first][0] < at - model["fall_time"]:
            total -= received[first][1]
            first += 1
        age = at - up
        start = model["start_capacity"]
        speed = min(1.0, start + (1 - start) * age / model["ramp_time"])
        capacity = model["cores"] * speed * model["fall_time"]
        worst = max(worst, total / (model["fall_multiple"] * capacity))
    return worst
