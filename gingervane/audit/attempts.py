"""Helpers on client attempts that several rules share."""

from __future__ import annotations

from gingervane.audit.records import Day, Record, Send

_KILL_MARGIN = 0.1  # seconds before and after an attempt within which a kill may explain a missing answer


def describe(record: Record) -> str:
    """Identify an attempt in the description of a breach."""
    return f"try {record['start']} of demand {record['demand']} ({record['query_class']})"


def coordinator_was_killed(day: Day, record: Record) -> bool:
    """Whether the co-ordinator was killed while it handled an attempt, so that the client has to retry."""
    return any(
        r["kind"] == "killed"
        and r["coordinator"] == record["coordinator"]
        and record["sent"] - _KILL_MARGIN <= r["t"] <= record["ended"] + _KILL_MARGIN
        for r in day.director
    )


def was_executed(send: Send) -> bool:
    """Whether the node began to execute the request."""
    return send.took is not None and send.took["kind"] == "taken"
