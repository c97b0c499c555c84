"""What one co-ordinator knows of one replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from gingervane import interface as api


class RequestKey(NamedTuple):
    """Names a request to a replica, which may carry several parts."""

    sent_at: float
    batch: int
    sequence: int  # among the requests to that replica in the batch


@dataclass(eq=False, slots=True)
class KnownReplica:
    """A replica of the endpoint list, with its load, its health and its slow start as seen from here."""

    endpoint: api.Replica
    ready: bool = False  # listed as neither draining nor gone

    # Requests.
    requests: dict[RequestKey, int] = field(default_factory=dict)  # open parts by request, oldest first
    last_sent_at: float = 0.0
    last_answered_send_at: float = 0.0  # send time of the latest part that it has answered
    last_served_send_at: float = -inf  # the same, of those that it has served
    last_rejected_send_at: float = -inf  # the same, of those that it has turned away
    reported_draining_at: float = -inf  # a peer whose watch is up last told that it drains or is gone
    unresponsive_until: float = 0.0  # has not responded, and nothing came since; 0: something came
    last_unresponsive_at: float = 0.0  # last did not respond or could not be reached, also by peers' reports

    # Outlier ejection.
    failure_score: float = 0.0  # weight of bad parts less that of good ones
    failure_score_at: float = 0.0
    ejected_for: float = 0.0  # seconds; 0: not ejected
    ejected_until: float = 0.0
    ejected_at: float = 0.0

    # Latency of its last parts over the median of their classes.
    relative_latency: float = 1.0
    relative_latency_at: float = 0.0

    # Slow start.
    slow_start_began_at: float = 0.0
    suspected_restart_at: float = -inf
    slow_start_tokens: float = 0.0  # parts that it may be sent; in debt after those sent by the sample
    slow_start_tokens_at: float = -inf
    answered_at_refill: float = 0.0  # `SlowStart.answered_per_replica` when the tokens were last filled up
    slow_start_sample: float = 0.0  # this batch's random number
    slow_start_sample_batch: int = 0  # the batch in which it was drawn
