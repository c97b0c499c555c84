"""The rule on duplicate effects: no write takes effect twice, and none that was executed is rejected."""

from __future__ import annotations

from gingervane.audit import attempts
from gingervane.audit.records import Day, Part
from gingervane.audit.verdict import Verdict


def judge(day: Day) -> Verdict:
    """Judge every part of each attempt whose query class is keyed or unsafe."""
    verdict = Verdict()
    for record in day.tries:
        query_class = day.facts["classes"][record["query_class"]]
        if query_class["semantics"] == "safe":
            continue
        name = attempts.describe(record)
        for tile in record["tiles"]:
            sends = day.by_part.get(Part(record["start"], tile), [])
            executed = [send for send in sends if attempts.was_executed(send)]
            if query_class["semantics"] == "unsafe":
                # The co-ordinator cannot know whether a sent request was executed; only executions count.
                verdict.count_test(len(executed) / 1.0, f"{name}: {tile} ran {len(executed)} times")
                if executed and record.get("status") == 503:
                    verdict.count_breach(f"{name}: refused though {tile} ran")
            elif executed:
                span = max(s.t for s in executed) - min(s.t for s in executed)
                verdict.count_test(
                    span / query_class["repeat_window"], f"{name}: {tile} again after {span:.3f} s"
                )
    return verdict
