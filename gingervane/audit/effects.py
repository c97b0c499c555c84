"""Judges the effects of vector writes from the records of the vector nodes and from the clients' answers.

No data of a co-ordinator is used. An effect is one operation executed at one node; a write to a shard has one
effect at each of its replicas.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import numpy as np

from gingervane.audit.day_reader import parse_lines
from gingervane.audit.records import Record
from gingervane.audit.verdict import MAX_BREACHES_DESCRIBED
from gingervane.scenarios.fixed_points import fixed_points
from gingervane.scenarios.scenario import VectorDay
from gingervane.vectors.points import order_of, shard_of

_ANSWER_GRACE = 0.1  # seconds past a client's deadline within which an answer counts as in time
_KILL_MARGIN = 0.2  # seconds before and after an attempt within which a kill may explain a missing answer


class Finding:
    """The verdict on one rule. Its fields are keys of `report.json`."""

    def __init__(self) -> None:
        self.tested = 0
        self.breaches = 0
        self.what: list[str] = []

    def check(self, condition: bool, description: str) -> None:
        """Count one test; if `condition` is false, count a breach and add its description."""
        self.tested += 1
        if not condition:
            self.breaches += 1
            self.what = [*self.what, description][:MAX_BREACHES_DESCRIBED]


def judge(folder: Path) -> dict[str, Any]:
    """Judge the vector requests of the day whose records are in a folder."""
    day = VectorDay.model_validate(json.loads((folder / "facts.json").read_text())["vectors"])
    clients, _ = parse_lines((folder / "clients.jsonl").read_text())
    nodes, _ = parse_lines((folder / "vectors.jsonl").read_text())
    director, _ = parse_lines((folder / "director.jsonl").read_text())
    attempts = [r for r in clients if r["kind"] == "vector_try"]
    effects = [r for r in nodes if r["kind"] == "effect"]
    final = next((r for r in director if r["kind"] == "vector_marks"), None)
    killed = [(r["coordinator"], r["t"]) for r in director if r["kind"] == "killed"]
    rules = {
        "answered": _judge_answered(attempts, killed),
        "unsafe once": _judge_not_idempotent(effects),
        "keyed once": _judge_idempotency_keys(effects),
        "refused is idle": _judge_rejected(attempts, effects),
        "acknowledged is there": _judge_acknowledged(day, attempts, final),
        "whole is exact": _judge_searches(day, attempts),
    }
    outcomes = Counter((r["kind_of"], r["status"]) for r in attempts)
    return {
        "kept": all(not f.breaches for f in rules.values()),
        "rules": {name: vars(finding) for name, finding in rules.items()},
        "tries": len(attempts),
        "effects": sum(not e["repeat"] for e in effects),
        "repeats": sum(e["repeat"] for e in effects),
        "outcomes": {f"{kind} {status}": n for (kind, status), n in sorted(outcomes.items())},
        "settled": bool(final and final["settled"]),
    }


def _describe(record: Record) -> str:
    return f"{record['kind_of']} {record['demand']}, try {record['number']}"


def _judge_answered(attempts: list[Record], killed: list[tuple[int, float]]) -> Finding:
    """Every attempt is answered in time, unless its co-ordinator was killed or not listening."""
    finding = Finding()
    for r in attempts:
        was_killed = any(
            coordinator == r["coordinator"] and r["sent"] - _KILL_MARGIN <= t <= r["ended"] + _KILL_MARGIN
            for coordinator, t in killed
        )
        was_unreachable = not r["status"] and "refused" in r["why"]  # the co-ordinator did not listen
        if not was_killed and not was_unreachable:
            in_time = r["status"] > 0 and r["ended"] - r["sent"] <= r["timeout"] + _ANSWER_GRACE
            finding.check(in_time, f"{_describe(r)}: {r['why']}")
    return finding


def _judge_not_idempotent(effects: list[Record]) -> Finding:
    """No attempt of an add takes effect twice at any node."""
    finding, done = Finding(), Counter[tuple[int, str]]()
    for e in effects:
        for name in e["added"]:
            done[e["node"], name] += 1
    for (node, name), count in done.items():
        finding.check(count == 1, f"{name}: done {count} times at node {node}")
    return finding


def _judge_idempotency_keys(effects: list[Record]) -> Finding:
    """No key takes effect twice at a node.

    The node discards repeats within the idempotency window; after the window, no repeat may be sent.
    """
    finding, done = Finding(), defaultdict[tuple[int, str, int], list[Record]](list)
    for e in effects:
        if e["key"] and not e["repeat"]:
            done[e["node"], e["key"], e["shard"]].append(e)
    for (node, key, _), executions in done.items():
        seconds_apart = executions[-1]["t"] - executions[0]["t"]
        finding.check(
            len(executions) == 1,
            f"{key}: done {len(executions)} times at node {node}, {seconds_apart:.2f} s apart",
        )
    return finding


def _judge_rejected(attempts: list[Record], effects: list[Record]) -> Finding:
    """Rejected writes have no effect: each rejected add, and each key whose attempts were all rejected."""
    finding = Finding()
    added = {name for e in effects for name in e["added"]}
    keys = {e["key"].rpartition("/")[2] for e in effects if e["key"]}
    by_key: dict[str, list[int]] = defaultdict(list)
    for r in attempts:
        if r["kind_of"] == "add" and r["status"] == 503:
            finding.check(r["name"] not in added, f"{_describe(r)}: refused, and done")
        elif r["kind_of"] == "upsert":
            by_key[f"k{r['demand']}"].append(r["status"])
    for key, statuses in by_key.items():
        if set(statuses) == {503}:
            finding.check(key not in keys, f"{key}: every try refused, and done")
    return finding


def _judge_acknowledged(day: VectorDay, attempts: list[Record], final: Record | None) -> Finding:
    """Every acknowledged point is stored at all its replicas once no missed write is left to repair."""
    finding = Finding()
    if final is None:
        finding.check(False, "no look at the nodes was taken")
        return finding
    finding.check(final["settled"], "something was still owed when the time to settle was over")
    for r in attempts:
        if r["kind_of"] != "upsert" or r["status"] != 200:
            continue
        for point in r["points"]:
            shard = shard_of(point, day.nodes)
            replicas = [(shard + offset) % day.nodes for offset in range(day.width)]
            stored = sum(str(point) in final["marks"][str(n)][str(shard)] for n in replicas)
            finding.check(
                stored == day.width, f"point {point} of {_describe(r)}: at {stored} of {day.width} holders"
            )
    return finding


def _judge_searches(day: VectorDay, attempts: list[Record]) -> Finding:
    """Each search of the fixed collection equals a brute-force search over the shards that it covers."""
    finding = Finding()
    points = fixed_points(day)
    matrix = np.asarray([p["vector"] for p in points], dtype=np.float64)
    norms = np.linalg.norm(matrix, axis=1)
    shards = np.asarray([shard_of(p["id"], day.nodes) for p in points])
    for r in attempts:
        if r["kind_of"] != "search" or r["status"] != 200:
            continue
        vector = np.asarray(r["vector"])
        scores = matrix @ vector / (norms * np.linalg.norm(vector))
        missing = {int(name[1:]) for name in (r["missing"] or "").split(",") if name}
        covered = [n for n in range(len(points)) if shards[n] not in missing]
        covered.sort(key=lambda n: (-scores[n], order_of(n)))
        received = [number for number, _ in r["found"]]
        finding.check(received == covered[: r["limit"]], f"{_describe(r)}: not the nearest")
    return finding
