"""The rule on draining: a node that is not ready receives no new request after the drain grace."""

from __future__ import annotations

from collections import defaultdict

import numpy as np

from gingervane.audit.records import Day, Send
from gingervane.audit.verdict import Verdict

# Seconds after the end of an agent's fault within which every co-ordinator polls the agent again.
_AGENT_BACKOFF = 24.0


def judge(day: Day) -> Verdict:
    """Judge every period in which a node was listed as not ready."""
    verdict = Verdict()
    grace = day.facts["grace"]
    sends_by_node: dict[int, list[Send]] = defaultdict(list)
    for send in day.sends:
        sends_by_node[send.node].append(send)
    for node, start, end in _unready_periods(day):
        last_sends: dict[str, float] = {}
        for send in sends_by_node[node]:
            if start < send.t < end:
                last_sends[send.tap] = max(send.t, last_sends.get(send.tap, send.t))
        worst = 0.0
        for tap, last in last_sends.items():
            if (notified := _notified_at(day, tap, node, start)) is not None:
                worst = max(worst, last - notified)
        verdict.count_test(worst / grace, f"node {node}: sent to {worst:.3f} s after it was listed away")
    return verdict


def _unready_periods(day: Day) -> list[tuple[int, float, float]]:
    """List each period in which a node was listed as not ready: node, start, end."""
    out: list[tuple[int, float, float]] = []
    lists = [r for r in day.director if r["kind"] == "list"]
    for node in range(day.facts["nodes"]):
        since: float | None = None
        for record in lists:
            is_unready = str(node) in record["states"]
            if is_unready and since is None:
                since = record["t"]
            elif not is_unready and since is not None:
                out.append((node, since, record["t"]))
                since = None
        if since is not None:
            out.append((node, since, float("inf")))
    return out


def _notified_at(day: Day, tap: str, node: int, start: float) -> float | None:
    """When a co-ordinator was notified that a node is not ready; None if it could not have been notified.

    A list file notifies when it is written. Consul notifies when an agent's answer contains the change, by
    the agents' own records. If some agent was healthy for so long that every co-ordinator polls it again, the
    co-ordinator must have polled it. It then counts as notified half the grace after the start at the latest
    or, if no notification is recorded, at the start.
    """
    if day.catalogue is None:
        return start
    notified = day.catalogue.notified_unready_at(tap, node, start)
    for agent in range(day.facts["consul_agents"]):
        if _agent_was_healthy(day, agent, start - day.began()):
            return start if notified is None else min(notified, start + day.facts["grace"] / 2)
    return notified


def _agent_was_healthy(day: Day, agent: int, at: float) -> bool:
    """Whether no fault of an agent was active, just over or imminent at a time (seconds into the day)."""
    return all(
        end + _AGENT_BACKOFF < at or begin > at + day.facts["grace"]
        for faulty_agent, begin, end in day.facts["agent_faults"]
        if faulty_agent == agent
    )


def notification_delays(day: Day) -> dict[str, float]:
    """Return quantiles, in milliseconds, of the delay from a catalogue change to each notification of it."""
    catalogue = day.catalogue
    if catalogue is None:
        return {}
    delays: list[float] = []
    for changes in catalogue.changes.values():
        for change in (c for c in changes if c.t >= day.began()):
            for notified in catalogue.notified.values():
                if notified and notified[0][0] < change.t:  # a co-ordinator that ran before the change
                    delays += [t - change.t for t, index in notified if index >= change.modify_index][:1]
    return {"count": len(delays)} | {
        f"p{q:g}": round(float(np.percentile(delays, q)) * 1000, 2) for q in (50, 99, 100) if delays
    }
