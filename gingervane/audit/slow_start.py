"""The rule on slow start: a node that has just started is not sent enough load to overload it."""

from __future__ import annotations

from gingervane.audit.records import Day, Record
from gingervane.audit.verdict import Verdict


def judge(day: Day) -> Verdict:
    """Judge the load after every start of a node, in any overload window; every overload is a breach."""
    verdict = Verdict()
    for record in day.nodes:
        if record["kind"] == "up":
            up, node = record["t"], record["node"]
            worst = _worst_load(day.facts["model"], up, _requests_in_slow_start(day, node, up))
            verdict.count_test(
                worst,
                f"node {node}: sent {worst:.2f} of what pushes it over, {up - day.began():.1f} s in",
            )
    for record in day.nodes:
        if record["kind"] == "fell" and verdict.kept:
            verdict.count_breach(f"node {record['node']}: fell over")
    return verdict


def _requests_in_slow_start(day: Day, node: int, up: float) -> list[tuple[float, float]]:
    """List the requests that a node received in its slow start: time and work in core seconds."""
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
    """Return the most work within any overload window, as a share of the work that overloads the node."""
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
