"""What several rules ask of a client's attempt."""

from __future__ import annotations

from gingervane.audit.records import Day, Record, Send

_KILL_MARGIN = 0.1  # seconds before and after an attempt in which a kill may have cost it its answer


def describe(record: Record) -> str:
    """Name an attempt in a breach."""
    return f"try {record['start']} of demand {record['demand']} ({record['query_class']})"


def coordinator_was_killed(day: Day, record: Record) -> bool:
    """Whether the co-ordinator was killed while it held an attempt: that one is the client's to retry."""
    return any(
        r["kind"] == "killed"
        and r["coordinator"] == record["coordinator"]
        and record["sent"] - _KILL_MARGIN <= r["t"] <= record["ended"] + _KILL_MARGIN
        for r in day.director
    )


def was_executed(send: Send) -> bool:
    """Whether the node began work on what was sent to it."""
    return send.took is not None and send.took["kind"] == "taken"
