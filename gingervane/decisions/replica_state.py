"""State that a co-ordinator keeps for each replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from gingervane import interface as api


class RequestKey(NamedTuple):
    """Identifies a request to a replica, which may carry several parts."""

    sent_at: float
    batch: int
    sequence: int  # number of the request among those to that replica in the batch, from 0


@dataclass(eq=False, slots=True)
class KnownReplica:
    """A replica of the endpoint list with its load, health and slow start, as this co-ordinator observes them."""

    endpoint: api.Replica
    ready: bool = False  # neither draining nor removed

    # Requests.
    requests: dict[RequestKey, int] = field(default_factory=dict)  # open parts by request, oldest first
    last_sent_at: float = 0.0
    last_answered_send_at: float = 0.0  # send time of the latest part that it answered
    last_served_send_at: float = -inf  # send time of the latest part that it served
    last_rejected_send_at: float = -inf  # send time of the latest part that it rejected
    reported_draining_at: float = -inf  # time of the last report of a peer that it is draining or removed
    unresponsive_until: float = 0.0  # until then, the next send opens a new connection; 0 once it responded
    last_unresponsive_at: float = 0.0  # last time without response or connection, including peers' reports

    # Outlier ejection.
    failure_score: float = 0.0  # weight of failed parts less that of successful ones, with decay
    failure_score_at: float = 0.0
    ejected_for: float = 0.0  # duration of the ejection in seconds; 0 if not ejected
    ejected_until: float = 0.0
    ejected_at: float = 0.0

    # Latency of its last parts as a multiple of the median of their classes.
    relative_latency: float = 1.0
    relative_latency_at: float = 0.0

    # Slow start.
    slow_start_began_at: float = 0.0
    suspected_restart_at: float = -inf
    slow_start_tokens: float = 0.0  # parts that it may be sent; negative after parts permitted by the sample
    slow_start_tokens_at: float = -inf
    answered_at_refill: float = 0.0  # `SlowStart.answered_per_replica` at the last refill of the tokens
    slow_start_sample: float = 0.0  # random number drawn for this batch
    slow_start_sample_batch: int = 0  # number of the batch for which it was drawn
