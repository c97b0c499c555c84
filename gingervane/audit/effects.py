"""Effects of writes, judged from what the vector nodes recorded that they did and from the clients' answers.

Nothing here asks a co-ordinator. An effect is one operation done at one node; the same at each replica of a shard is
one effect, done at each.
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

_ANSWER_GRACE = 0.1  # seconds past a client's time within which an answer counts as in time
_KILL_MARGIN = 0.2  # seconds before and after an attempt in which a kill may have cost it its answer


class Finding:
    """The verdict on one rule. Its fields are keys of `report.json`."""

    def __init__(self) -> None:
        self.tested = 0
        self.breaches = 0
        self.what: list[str] = []

    def check(self, good: bool, what: str) -> None:
        """Count one test; `what` describes the breach if it is not good."""
        self.tested += 1
        if not good:
            self.breaches += 1
            self.what = [*self.what, what][:MAX_BREACHES_DESCRIBED]


def judge(folder: Path) -> dict[str, Any]:
    """Report on a day's vector side."""
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
    """One answer in time, but where the co-ordinator was killed meanwhile."""
    finding = Finding()
    for r in attempts:
        was_killed = any(
            coordinator == r["coordinator"] and r["sent"] - _KILL_MARGIN <= t <= r["ended"] + _KILL_MARGIN
            for coordinator, t in killed
        )
        was_unreachable = not r["status"] and "refused" in r["why"]  # a connection to one that is not up
        if not was_killed and not was_unreachable:
            in_time = r["status"] > 0 and r["ended"] - r["sent"] <= r["timeout"] + _ANSWER_GRACE
            finding.check(in_time, f"{_describe(r)}: {r['why']}")
    return finding


def _judge_not_idempotent(effects: list[Record]) -> Finding:
    """No attempt of an addition takes effect twice at any node."""
    finding, done = Finding(), Counter[tuple[int, str]]()
    for e in effects:
        for name in e["added"]:
            done[e["node"], name] += 1
    for (node, name), count in done.items():
        finding.check(count == 1, f"{name}: done {count} times at node {node}")
    return finding


def _judge_idempotency_keys(effects: list[Record]) -> Finding:
    """No key takes effect twice at a node: within its window by the node, and after it as nobody sends it."""
    finding, done = Finding(), defaultdict[tuple[int, str, int], list[Record]](list)
    for e in effects:
        if e["key"] and not e["repeat"]:
            done[e["node"], e["key"], e["shard"]].append(e)
    for (node, key, _), found in done.items():
        apart = found[-1]["t"] - found[0]["t"]
        finding.check(len(found) == 1, f"{key}: done {len(found)} times at node {node}, {apart:.2f} s apart")
    return finding


def _judge_rejected(attempts: list[Record], effects: list[Record]) -> Finding:
    """What was rejected had no effect: additions by attempt, keys if every attempt of theirs was rejected."""
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
    """Every acknowledged point is at all its replicas once no missed write is left to repair."""
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
            replicas = [(shard + back) % day.nodes for back in range(day.width)]
            stored = sum(str(point) in final["marks"][str(n)][str(shard)] for n in replicas)
            finding.check(
                stored == day.width, f"point {point} of {_describe(r)}: at {stored} of {day.width} holders"
            )
    return finding


def _judge_searches(day: VectorDay, attempts: list[Record]) -> Finding:
    """Searches of the fixed collection equal brute force over the shards that they cover."""
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
        found = [number for number, _ in r["found"]]
        finding.check(found == covered[: r["limit"]], f"{_describe(r)}: not the nearest")
    return finding
