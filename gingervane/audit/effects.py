"""Effects of writes, judged from what the vector nodes recorded that they did and what clients were told.

Nothing here asks a co-ordinator. An effect is one operation done at one node; the same at each holder of a shard is
one effect, done at each.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import numpy as np

from gingervane.scenarios.scenario import VectorDay
from gingervane.scenarios.fixed_points import fixed_points
from gingervane.vectors.points import order_of, shard_of

_MOST_TOLD = 5
Record = dict[str, Any]


class Finding:
    """One rule's verdict."""

    def __init__(self) -> None:
        self.tested = self.breaches = 0
        self.what: list[str] = []

    def check(self, good: bool, what: str) -> None:
        self.tested += 1
        if not good:
            self.breaches += 1
            self.what = [*self.what, what][:_MOST_TOLD]


def _records(path: Path) -> list[Record]:
    out = []
    for line in path.read_text().splitlines():
        try:
            out.append(json.loads(line))
        except ValueError:
            continue  # half a line of a process that was killed
    return out


def judge(folder: Path) -> dict[str, Any]:
    """The report of a day's vector side."""
    day = VectorDay.model_validate(json.loads((folder / "facts.json").read_text())["vectors"])
    tries = [r for r in _records(folder / "clients.jsonl") if r["kind"] == "vector_try"]
    effects = [r for r in _records(folder / "vectors.jsonl") if r["kind"] == "effect"]
    director = _records(folder / "director.jsonl")
    final = next((r for r in director if r["kind"] == "vector_marks"), None)
    killed = [(r["coordinator"], r["t"]) for r in director if r["kind"] == "killed"]
    rules = {
        "answered": _answered(tries, killed),
        "unsafe once": _unsafe(effects),
        "keyed once": _keyed(effects),
        "refused is idle": _refused(tries, effects),
        "acknowledged is there": _present(day, tries, final),
        "whole is exact": _exact(day, tries),
    }
    outcomes = Counter((r["kind_of"], r["status"]) for r in tries)
    return {
        "kept": all(not f.breaches for f in rules.values()),
        "rules": {name: vars(finding) for name, finding in rules.items()},
        "tries": len(tries),
        "effects": sum(not e["repeat"] for e in effects),
        "repeats": sum(e["repeat"] for e in effects),
        "outcomes": {f"{kind} {status}": n for (kind, status), n in sorted(outcomes.items())},
        "settled": bool(final and final["settled"]),
    }


def _name(record: Record) -> str:
    return f"{record['kind_of']} {record['demand']}, try {record['number']}"


def _answered(tries: list[Record], killed: list[tuple[int, float]]) -> Finding:
    """One answer in time, but where the co-ordinator was killed meanwhile."""
    finding = Finding()
    for r in tries:
        if any(c == r["coordinator"] and r["sent"] - 0.2 <= t <= r["ended"] + 0.2 for c, t in killed):
            continue
        refused = not r["status"] and "refused" in r["why"]  # a connection to one that is not up
        if not refused:
            finding.check(
                r["status"] > 0 and r["ended"] - r["sent"] <= r["timeout"] + 0.1, f"{_name(r)}: {r['why']}"
            )
    return finding


def _unsafe(effects: list[Record]) -> Finding:
    """No try of an addition is done twice at any node."""
    finding, done = Finding(), Counter[tuple[int, str]]()
    for e in effects:
        for name in e["added"]:
            done[e["node"], name] += 1
    for (node, name), count in done.items():
        finding.check(count == 1, f"{name}: done {count} times at node {node}")
    return finding


def _keyed(effects: list[Record]) -> Finding:
    """No key is done twice at a node: within its window by the node, and after it by nobody's sending it."""
    finding, done = Finding(), defaultdict[tuple[int, str, int], list[Record]](list)
    for e in effects:
        if e["key"] and not e["repeat"]:
            done[e["node"], e["key"], e["shard"]].append(e)
    for (node, key, _), found in done.items():
        apart = found[-1]["t"] - found[0]["t"]
        finding.check(len(found) == 1, f"{key}: done {len(found)} times at node {node}, {apart:.2f} s apart")
    return finding


def _refused(tries: list[Record], effects: list[Record]) -> Finding:
    """What was refused never ran: additions by try, keys if every try of theirs was refused."""
    finding = Finding()
    added = {name for e in effects for name in e["added"]}
    keys = {e["key"].rpartition("/")[2] for e in effects if e["key"]}
    by_key: dict[str, list[int]] = defaultdict(list)
    for r in tries:
        if r["kind_of"] == "add" and r["status"] == 503:
            finding.check(r["name"] not in added, f"{_name(r)}: refused, and done")
        elif r["kind_of"] == "upsert":
            by_key[f"k{r['demand']}"].append(r["status"])
    for key, statuses in by_key.items():
        if set(statuses) == {503}:
            finding.check(key not in keys, f"{key}: every try refused, and done")
    return finding


def _present(day: VectorDay, tries: list[Record], final: Record | None) -> Finding:
    """Every acknowledged point is at all its holders once nothing is owed any more, or at a quorum that says so."""
    finding = Finding()
    if final is None:
        finding.check(False, "no look at the nodes was taken")
        return finding
    finding.check(final["settled"], "something was still owed when the time to settle was over")
    for r in tries:
        if r["kind_of"] != "upsert" or r["status"] != 200:
            continue
        for point in r["points"]:
            shard = shard_of(point, day.nodes)
            holders = [(shard + back) % day.nodes for back in range(day.width)]
            have = sum(str(point) in final["marks"][str(n)][str(shard)] for n in holders)
            finding.check(have == day.width, f"point {point} of {_name(r)}: at {have} of {day.width} holders")
    return finding


def _exact(day: VectorDay, tries: list[Record]) -> Finding:
    """Searches of the fixed collection equal brute force over the shards that they cover."""
    finding = Finding()
    points = fixed_points(day)
    matrix = np.asarray([p["vector"] for p in points], dtype=np.float64)
    norms = np.linalg.norm(matrix, axis=1)
    shards = np.asarray([shard_of(p["id"], day.nodes) for p in points])
    for r in tries:
        if r["kind_of"] != "search" or r["status"] != 200:
            continue
        vector = np.asarray(r["vector"])
        scores = matrix @ vector / (norms * np.linalg.norm(vector))
        missing = {int(name[1:]) for name in (r["missing"] or "").split(",") if name}
        among = [n for n in range(len(points)) if shards[n] not in missing]
        among.sort(key=lambda n: (-scores[n], order_of(n)))
        found = [number for number, _ in r["found"]]
        finding.check(found == among[: r["limit"]], f"{_name(r)}: not the nearest")
    return finding
