"""Judges the six rules from the records of a day and builds the report.

A rule that was never tested counts as kept, with `tested` 0. The report is stored in `report.json`.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

from gingervane.audit import (
    day_reader,
    draining,
    duplicate_effects,
    figures,
    honest_answers,
    lost_requests,
    retry_budget,
    slow_start,
)
from gingervane.audit.records import Day
from gingervane.audit.served_weight import served_weight


def judge(folder: Path) -> dict[str, Any]:
    """Judge the day whose records are in a folder and return the report."""
    return judge_day(day_reader.load(folder))


def judge_day(day: Day, samples: bool = True) -> dict[str, Any]:
    """Judge a day and return the report.

    `samples`: whether answers contain samples, to be compared with recomputed data; not so in simulated time.
    """
    verdicts = {
        "lost": lost_requests.judge(day),
        "duplicate": duplicate_effects.judge(day),
        "drain": draining.judge(day),
        "cold": slow_start.judge(day),
        "honest": honest_answers.judge(day, samples),
        "budget": retry_budget.judge(day),
    }
    parts = sum(len(sends) > 0 for sends in day.by_part.values())
    attempts = sum(len(sends) for sends in day.by_part.values())
    return {
        "name": day.facts["name"],
        "kept": all(v.kept for v in verdicts.values()),
        "rules": {name: vars(v) for name, v in verdicts.items()},
        "worth": served_weight(day),
        "tries": len(day.tries),
        "outcomes": _outcomes(day),
        "latency_ms": figures.latencies(day),
        "parts": parts,
        "attempts": attempts,
        "further": attempts - parts,
        "copies": figures.hedged_requests(day),
        "most_runs_a_part": figures.most_executions_of_a_part(day),
        "subtrees": len(day.subtree_requests),
        "stray": figures.stray_work(day),
        "usage": next((r["usage"] for r in day.director if r["kind"] == "usage"), {}),
        "bytes_exchanged": day.exchanged,
        "told_of_changes_ms": draining.notification_delays(day),
        "calls": len(day.sends),
        "torn_lines": day.torn,
        "unmapped": day.facts["unmapped"],
        "exits": next((r["statuses"] for r in day.director if r["kind"] == "ended"), {}),
    }


def _outcomes(day: Day) -> dict[str, int]:
    """Count the attempts by status or, for those without an answer, by outcome."""
    outcomes: dict[str, int] = defaultdict(int)
    for record in day.tries:
        outcomes[str(record["status"]) if record["outcome"] == "reply" else record["outcome"]] += 1
    return dict(sorted(outcomes.items()))
