"""Measurements of a day besides the rules: latencies, hedged requests and work done after the answer."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from gingervane.audit import attempts
from gingervane.audit.records import Day, Send

_MAX_LATENCY = 600_000_000  # microseconds (ten minutes)
_SIGNIFICANT_DIGITS = 3


def histograms(day: Day) -> dict[str, HdrHistogram]:
    """Latencies in microseconds of the attempts answered with status 200, by query class."""
    by_class: dict[str, HdrHistogram] = {}
    for record in day.tries:
        if record.get("status") == 200:
            histogram = by_class.setdefault(
                record["query_class"], HdrHistogram(1, _MAX_LATENCY, _SIGNIFICANT_DIGITS)
            )
            histogram.record_value(max(int((record["ended"] - record["sent"]) * 1e6), 1))
    return by_class


def latencies(day: Day) -> dict[str, dict[str, float]]:
    """Latency quantiles in milliseconds of the attempts answered with status 200, by query class."""
    return {
        name: {"count": h.get_total_count()}
        | {f"p{q:g}": round(h.get_value_at_percentile(q) / 1000, 2) for q in (50, 90, 99, 99.9)}
        for name, h in sorted(histograms(day).items())
    }


def hedged_requests(day: Day) -> int:
    """Count the attempts that were sent while an earlier attempt of the same part was open at its node."""
    return sum(
        any(_was_open(day, earlier, send.t) for earlier in sends[:index])
        for sends in day.by_part.values()
        for index, send in enumerate(sends[1:], 1)
    )


def _was_open(day: Day, send: Send, at: float) -> bool:
    """Whether a request was still open at its node at a time."""
    end = day.ends.get((send.node, send.took["call"])) if send.took else None
    return end is None or end["t"] > at


def most_executions_of_a_part(day: Day) -> int:
    """Return the largest number of executions of any one part."""
    return max((sum(attempts.was_executed(s) for s in sends) for sends in day.by_part.values()), default=0)


def stray_work(day: Day) -> dict[str, float]:
    """Requests sent to nodes, and seconds of node work, for queries that had already been answered."""
    replied = {r["start"]: r["replies"][0] for r in day.tries if r.get("replies")}
    sends_after_answer, total_sends, work_after_answer, total_work = 0, 0, 0.0, 0.0
    for send in day.sends:
        answers = [replied[part.start] for part in send.parts if part.start in replied]
        if len(answers) < len(send.parts):
            continue
        total_sends += 1
        sends_after_answer += send.t > max(answers)
        end = day.ends.get((send.node, send.took["call"])) if send.took else None
        if send.took and end and attempts.was_executed(send):
            total_work += end["t"] - send.took["t"]
            work_after_answer += max(end["t"] - max(send.took["t"], *answers), 0.0)
    return {
        "sends": sends_after_answer,
        "share_of_sends": round(sends_after_answer / max(total_sends, 1), 5),
        "work_s": round(work_after_answer, 3),
        "share_of_work": round(work_after_answer / max(total_work, 1e-9), 5),
    }
