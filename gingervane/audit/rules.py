"""The six rules, judged from a day's records alone; answers are compared sample by sample with recomputed data.

For each rule the verdict has whether it was `kept`, how often it was put to the test (`tested`), the nearest miss
as a share of the limit (`nearest`, 1 is the limit; 0 if never tested) and the first few breaches. A rule that was
never tested counts as kept; its `tested` says so.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from gingervane.audit import records
from gingervane.audit.records import Day, Part, Record, Send
from gingervane.fake_servers import data
from gingervane.wire import remote_read, snappy
from gingervane.wire.remote_read import Match, Matcher, Query, Series

_MOST_TOLD = 5
_AGENT_BACK = 24.0  # seconds after an agent's fault by which whoever it failed asks it again
_HAND_OVER = 0.1  # seconds from a query's reading to its taking, and from a decision to its send
_LATE = 0.5  # seconds past a client's time in which an answer only earns nothing (the users' standing page)
_AFTER_HOLD = 0.15  # seconds after SIGCONT within which what ran out meanwhile is failed
_CLOCK = 0.002  # seconds by which two processes' readings of one moment may differ


@dataclass
class Verdict:
    kept: bool = True
    tested: int = 0
    nearest: float = 0.0
    breaches: int = 0
    what: list[str] = field(default_factory=list)

    def put(self, share: float, what: str) -> None:
        """One test, at a share of the limit; over 1 is a breach."""
        self.tested += 1
        self.nearest = max(self.nearest, share)
        if share > 1.0:
            self.breach(what)

    def breach(self, what: str) -> None:
        self.kept = False
        self.breaches += 1
        if len(self.what) < _MOST_TOLD:
            self.what.append(what)


def judge(folder: Path) -> dict[str, Any]:
    """The report of a day."""
    return judge_day(records.load(folder))


def judge_day(day: Day, samples: bool = True) -> dict[str, Any]:
    """The same of one already read. `samples`: whether answers hold any, to be compared; a model's do not."""
    verdicts = {
        "lost": _lost(day),
        "duplicate": _duplicate(day),
        "drain": _drain(day),
        "cold": _cold(day),
        "honest": _honest(day, samples),
        "budget": _budget(day),
    }
    first = sum(len(found) > 0 for found in day.by_part.values())
    attempts = sum(len(found) for found in day.by_part.values())
    outcomes: dict[str, int] = defaultdict(int)
    for record in day.tries:
        outcomes[str(record["status"]) if record["outcome"] == "reply" else record["outcome"]] += 1
    return {
        "name": day.facts["name"],
        "kept": all(v.kept for v in verdicts.values()),
        "rules": {name: vars(v) for name, v in verdicts.items()},
        "worth": _worth(day),
        "tries": len(day.tries),
        "outcomes": dict(sorted(outcomes.items())),
        "latency_ms": _latencies(day),
        "parts": first,
        "attempts": attempts,
        "further": attempts - first,
        "copies": _copies(day),
        "most_runs_a_part": max((sum(_ran(s) for s in found) for found in day.by_part.values()), default=0),
        "subtrees": len(day.branches),
        "stray": _stray(day),
        "usage": next((r["usage"] for r in day.director if r["kind"] == "usage"), {}),
        "bytes_exchanged": day.exchanged,
        "told_of_changes_ms": _news(day),
        "calls": len(day.sends),
        "torn_lines": day.torn,
        "unmapped": day.facts["unmapped"],
        "exits": next((r["statuses"] for r in day.director if r["kind"] == "ended"), {}),
    }


def _was_killed(day: Day, record: Record) -> bool:
    """Whether the co-ordinator of a try was killed while it held it: that one is the client's to ask again."""
    return any(
        r["kind"] == "killed"
        and r["coordinator"] == record["coordinator"]
        and record["sent"] - 0.1 <= r["t"] <= record["ended"] + 0.1
        for r in day.director
    )


def _name(record: Record) -> str:
    return f"try {record['start']} of demand {record['demand']} ({record['query_class']})"


def _failed_late_as_it_was_held(day: Day, record: Record) -> bool:
    """Whether a try's time ran out while its co-ordinator was stopped (SIGSTOP), and it was failed at once after.

    Nobody can answer then. By the users' page a request that is answered up to `_LATE` after its time earns nothing
    and is not lost; one that is closed without an answer is.
    """
    until, replied = record["sent"] + record["timeout"], record["replies"][0]
    if record["status"] < 500 or replied > until + _LATE:
        return False
    signals = [r for r in day.director if r["kind"] == "signal" and r["coordinator"] == record["coordinator"]]
    stops = [r["t"] for r in signals if r["signal"] == "SIGSTOP"]
    return any(
        stop <= until and replied <= go["t"] + _AFTER_HOLD
        for stop in stops
        for go in [next((r for r in signals if r["signal"] == "SIGCONT" and r["t"] > stop), None)]
        if go is not None and until <= go["t"] + _AFTER_HOLD
    )


def _lost(day: Day) -> Verdict:
    """Exactly one final answer in time, and nothing sent for the query after it."""
    verdict = Verdict()
    for record in day.tries:
        if record["outcome"] in ("left", "unreached") or _was_killed(day, record):
            continue
        if record["outcome"] != "reply":
            verdict.tested += 1
            verdict.breach(f"{_name(record)}: {record['outcome']}, no answer: {record.get('why')}")
            continue
        replies = record["replies"]
        if len(replies) != 1 or record["extra"]:
            verdict.breach(f"{_name(record)}: {len(replies)} replies on its connection")
            continue
        if not _failed_late_as_it_was_held(day, record):
            verdict.put((replies[0] - record["sent"]) / record["timeout"], f"{_name(record)}: answered late")
        for tile in record["tiles"]:
            for send in day.by_part.get(Part(record["start"], tile), []):
                # What a child sent before it had heard of the cancel is stray work, and counted as such.
                if send.t > replies[0] + _CLOCK and send.tap == record["tap"]:
                    late = send.t - replies[0]
                    verdict.breach(f"{_name(record)}: {tile} sent {late * 1000:.1f} ms after its answer")
    return verdict


def _ran(send: Send) -> bool:
    """Whether the node began work on it."""
    return send.took is not None and send.took["kind"] == "taken"


def _duplicate(day: Day) -> Verdict:
    """No effect twice; no refusal of what may have run."""
    verdict = Verdict()
    for record in day.tries:
        kind = day.facts["classes"][record["query_class"]]
        if kind["semantics"] == "safe":
            continue
        for tile in record["tiles"]:
            found = day.by_part.get(Part(record["start"], tile), [])
            ran = [send for send in found if _ran(send)]
            if kind["semantics"] == "unsafe":
                # A call that no node read may have run for all the co-ordinator knew; that it did is what counts.
                verdict.put(len(ran) / 1.0, f"{_name(record)}: {tile} ran {len(ran)} times")
                if ran and record.get("status") == 503:
                    verdict.breach(f"{_name(record)}: refused though {tile} ran")
            elif ran:
                span = max(s.t for s in ran) - min(s.t for s in ran)
                verdict.put(span / kind["repeat_window"], f"{_name(record)}: {tile} again after {span:.3f} s")
    return verdict


def _drain(day: Day) -> Verdict:
    """Nothing new to a node later than the grace after a co-ordinator was told that it is no longer ready."""
    verdict, grace = Verdict(), day.facts["grace"]
    by_node: dict[int, list[Send]] = defaultdict(list)
    for send in day.sends:
        by_node[send.node].append(send)
    for node, start, end in _absences(day):
        by_tap: dict[str, list[float]] = defaultdict(list)
        for send in by_node[node]:
            if start < send.t < end:
                by_tap[send.tap].append(send.t)
        worst = 0.0
        for tap, times in by_tap.items():
            if (told := _told(day, tap, node, start)) is not None:
                worst = max(worst, max(times) - told)
        verdict.put(worst / grace, f"node {node}: sent to {worst:.3f} s after it was listed away")
    return verdict


def _absences(day: Day) -> list[tuple[int, float, float]]:
    """Each node that was listed away, from when to when."""
    out: list[tuple[int, float, float]] = []
    lists = [r for r in day.director if r["kind"] == "list"]
    for node in range(day.facts["nodes"]):
        since: float | None = None
        for record in lists:
            away = str(node) in record["states"]
            if away and since is None:
                since = record["t"]
            elif not away and since is not None:
                out.append((node, since, record["t"]))
                since = None
        if since is not None:
            out.append((node, since, float("inf")))
    return out


def _told(day: Day, tap: str, node: int, start: float) -> float | None:
    """When a co-ordinator was told of an absence; None if it could not have been.

    A list file tells when it is written. Consul tells when an agent's answer has it, by the agents' own records. But
    where some agent had been well for long enough that whoever asked it was back, it must have been asked.
    """
    if day.catalogue is None:
        return start
    told = day.catalogue.told_away(tap, node, start)
    at = start - day.began()
    faults = day.facts["agent_faults"]
    for agent in range(day.facts["consul_agents"]):
        if all(
            end + _AGENT_BACK < at or begin > at + day.facts["grace"]
            for a, begin, end in faults
            if a == agent
        ):
            return start if told is None else min(told, start + day.facts["grace"] / 2)
    return told


def _news(day: Day) -> dict[str, float]:
    """From a change in the catalogue to each co-ordinator's being told of it, in milliseconds."""
    catalogue = day.catalogue
    if catalogue is None:
        return {}
    took: list[float] = []
    for changes in catalogue.changes.values():
        for change in (c for c in changes if c.t >= day.began()):
            for told in catalogue.told.values():
                if told and told[0][0] < change.t:  # one that ran before
                    took += [t - change.t for t, index in told if index >= change.order][:1]
    return {"count": len(took)} | {
        f"p{q:g}": round(float(np.percentile(took, q)) * 1000, 2) for q in (50, 99, 100) if took
    }


def _cold(day: Day) -> Verdict:
    """What reached a node that had just started, over any fall time, against what pushes it over."""
    verdict, model = Verdict(), day.facts["model"]
    ups = [(r["t"], r["node"]) for r in day.nodes if r["kind"] == "up"]
    for up, node in ups:
        came: list[tuple[float, float]] = []
        for record in day.nodes:
            if record["node"] == node and "asked" in record and up <= record["t"] < up + model["ramp_time"]:
                tiles = len({tile for tile, _, _ in record["asked"]})
                came.append((record["t"], tiles * model["work"] + model["call_work"]))
        worst, total, first = 0.0, 0.0, 0
        for at, work in came:
            total += work
            while came[first][0] < at - model["fall_time"]:
                total -= came[first][1]
                first += 1
            age, start = at - up, model["start_capacity"]
            can = (
                model["cores"] * min(1.0, start + (1 - start) * age / model["ramp_time"]) * model["fall_time"]
            )
            worst = max(worst, total / (model["fall_multiple"] * can))
        verdict.put(
            worst, f"node {node}: sent {worst:.2f} of what pushes it over, {up - day.began():.1f} s in"
        )
    for record in day.nodes:
        if record["kind"] == "fell" and verdict.kept:
            verdict.breach(f"node {record['node']}: fell over")
    return verdict


def _honest(day: Day, samples: bool) -> Verdict:
    """No answer under the least share, none marked whole that is not, none with a wrong sample."""
    verdict = Verdict()
    for record in day.tries:
        if record["outcome"] != "reply" or record["status"] != 200:
            continue
        verdict.tested += 1
        kind = day.facts["classes"][record["query_class"]]
        missing = {name for name in (record["missing"] or "").split(",") if name}
        tiles = [tile for tile in record["tiles"] if tile not in missing]
        share = len(tiles) / len(record["tiles"])
        stated = float(record["coverage"] or "nan")
        if not samples:
            least = kind["least_share"] if record["partial"] else 1.0
            verdict.put(least / max(share, 1e-9) if share < 1 else 0.0, f"{_name(record)}: share {share:g}")
            verdict.tested -= 1
            continue
        at, length = record["body"]
        (got,) = remote_read.read_response(snappy.decompress(day.bodies[at : at + length], 1 << 28), 1)
        query = Query(record["start"], record["end"], (Matcher(Match.EQUAL, "__name__", "wind_speed"),))
        want = sorted((s for tile in tiles for s in data.answer(tile, query)), key=lambda s: s.labels)
        if not _same(got, want):
            verdict.breach(f"{_name(record)}: the samples are not those of the tiles that it covers")
        elif abs(stated - share) > 1e-4:
            verdict.breach(f"{_name(record)}: states a coverage of {stated:g}, has {share:g}")
        elif missing and not record["partial"]:
            verdict.breach(f"{_name(record)}: not whole, and its client did not ask for that")
        else:
            least = kind["least_share"] if record["partial"] else 1.0
            verdict.put(least / max(share, 1e-9) if share < 1 else 0.0, f"{_name(record)}: share {share:g}")
            verdict.tested -= 1
    return verdict


def _same(got: list[Series], want: list[Series]) -> bool:
    return len(got) == len(want) and all(
        a.labels == b.labels
        and np.array_equal(a.timestamps, b.timestamps)
        and np.array_equal(a.values, b.values)
        for a, b in zip(got, want, strict=True)
    )


def _budget(day: Day) -> Verdict:
    """Each co-ordinator's attempts beyond the first of a part, in any span."""
    verdict, budget = Verdict(), day.facts["budget"]
    taken: dict[str, list[tuple[float, int]]] = defaultdict(list)
    extra: dict[str, list[float]] = defaultdict(list)
    for sends in day.by_part.values():
        met: set[str] = set()
        for send in sends:
            if send.tap in met:
                extra[send.tap].append(send.t)
            met.add(send.tap)
    subtrees: set[tuple[str, tuple[Part, ...]]] = set()
    for branch in day.branches:
        if (branch.tap, branch.parts) in subtrees:
            extra[branch.tap].append(branch.t)
        subtrees.add((branch.tap, branch.parts))
        if branch.child:
            taken[branch.child].append((branch.read, 1 + len(branch.parts)))
    for record in day.tries:
        if "tap" in record:
            taken[record["tap"]].append((record["read"], 1 + len(record["tiles"])))
    for tap, times in extra.items():
        times.sort()
        came = sorted(taken[tap])
        sums = [0]
        for _, size in came:
            sums.append(sums[-1] + size)
        keys = [at for at, _ in came]
        first = 0
        for index, at in enumerate(times):
            while times[first] <= at - budget["span"]:
                first += 1
            low = bisect.bisect_right(keys, at - budget["span"] - _HAND_OVER)
            room = budget["free"] + budget["share"] * (sums[bisect.bisect_right(keys, at)] - sums[low])
            used = index - first + 1
            verdict.put(used / max(room, 1e-9), f"{tap}: {used} further attempts, {room:.1f} allowed")
    return verdict


def _copies(day: Day) -> int:
    """Further attempts that left while an earlier one of the part had not ended at its node."""
    copies = 0
    for sends in day.by_part.values():
        for index, send in enumerate(sends[1:], 1):
            for earlier in sends[:index]:
                end = day.ends.get((earlier.node, earlier.took["call"])) if earlier.took else None
                if end is None or end["t"] > send.t:
                    copies += 1
                    break
    return copies


def _stray(day: Day) -> dict[str, float]:
    """What went on below after a query had been answered: leaf sends, and seconds of the nodes' work on it."""
    replied = {r["start"]: r["replies"][0] for r in day.tries if r.get("replies")}
    after, sent, late, worked = 0, 0, 0.0, 0.0
    for send in day.sends:
        ends = [replied[part.start] for part in send.parts if part.start in replied]
        if len(ends) < len(send.parts):
            continue
        sent += 1
        after += send.t > max(ends)
        done = day.ends.get((send.node, send.took["call"])) if send.took else None
        if send.took and done and _ran(send):
            worked += done["t"] - send.took["t"]
            late += max(done["t"] - max(send.took["t"], max(ends)), 0.0)
    return {
        "sends": after,
        "share_of_sends": round(after / max(sent, 1), 5),
        "work_s": round(late, 3),
        "share_of_work": round(late / max(worked, 1e-9), 5),
    }


def _worth(day: Day) -> dict[str, Any]:
    """Worth asked, served, and the most that any co-ordinator could have served.

    The bound gives a query its full worth if, at some moment up to its aim, a holder of each needed tile was up;
    it knows nothing of load, so that it is above what is possible under overload.
    """
    began, asked, served, bound = day.began(), 0.0, 0.0, 0.0
    tries: dict[int, list[Record]] = defaultdict(list)
    by_class: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for record in day.tries:
        tries[record["demand"]].append(record)
    for demand in day.demands:
        kind = day.facts["classes"][demand["query_class"]]
        asked += kind["worth"]
        by_class[demand["query_class"]][0] += kind["worth"]
        at = demand["t"] - began
        up = [_reachable(day, tile, at, at + kind["aim"]) for tile in demand["names"]]
        share = sum(up) / len(up)
        if share == 1.0 or (kind["partial"] and share >= kind["least_share"]):
            bound += kind["worth"] * (1.0 if share == 1.0 else kind["short_worth"] * share)
        good = next((r for r in tries[demand["demand"]] if r.get("status") == 200), None)
        if good:
            took = good["ended"] - demand["t"]
            late = 1.0 if took <= kind["aim"] else kind["late_worth"] if took <= kind["deadline"] else 0.0
            cover = float(good["coverage"])
            worth = kind["worth"] * late * (1.0 if cover == 1.0 else kind["short_worth"] * cover)
            served += worth
            by_class[demand["query_class"]][1] += worth
    return {
        "asked": round(asked, 3),
        "served": round(served, 3),
        "bound": round(bound, 3),
        "by_class": {
            name: {"asked": round(a, 3), "served": round(s, 3)} for name, (a, s) in by_class.items()
        },
    }


def _reachable(day: Day, tile: str, start: float, end: float) -> bool:
    """Whether some holder of a tile is up at some moment of a span (seconds into the day)."""
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


def histograms(day: Day) -> dict[str, HdrHistogram]:
    """Microseconds of tries that were answered with 200, by class."""
    all_of: dict[str, HdrHistogram] = {}
    for record in day.tries:
        if record.get("status") == 200:
            histogram = all_of.setdefault(record["query_class"], HdrHistogram(1, 600_000_000, 3))
            histogram.record_value(max(int((record["ended"] - record["sent"]) * 1e6), 1))
    return all_of


def _latencies(day: Day) -> dict[str, dict[str, float]]:
    """The same in milliseconds, as quantiles."""
    return {
        name: {"count": h.get_total_count()}
        | {f"p{q:g}": round(h.get_value_at_percentile(q) / 1000, 2) for q in (50, 90, 99, 99.9)}
        for name, h in sorted(histograms(day).items())
    }
