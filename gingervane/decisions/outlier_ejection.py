"""Outlier ejection: excludes replicas whose parts fail or are late from selection for a while.

The evidence is a failure score per replica: failed parts raise it, successful parts lower it, and it decays over
time. Peers' reports supplement a co-ordinator's own evidence where that is scarce.
"""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.circuit_breaker import OPEN_RATIO
from gingervane.decisions.membership import Membership
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Half-life of a failure score, seconds (docs/design.md, outlier ejection).
SCORE_HALF_LIFE = 2.0
# Failure score above which a replica is ejected: one failed part suffices unless successful parts outweigh it.
EJECTION_SCORE = 0.6
# Lowest failure score, so that a replica is never credited with more than one successful part.
MIN_SCORE = -1.0
# Largest share of the ready replicas that may be ejected (docs/design.md).
MAX_EJECTED_SHARE = 0.5
# Shortest ejection in seconds; the duration doubles with each failed trial (docs/design.md).
MIN_EJECTION = 2.0
# Longest ejection, seconds (docs/design.md).
MAX_EJECTION = 16.0
# Weight of a failed part of this co-ordinator.
FAILURE_WEIGHT = 1.0
# Weight of a part rejected because of a full queue, relative to a failed part (docs/design.md).
REJECTION_WEIGHT = 0.34
# Largest weight of one peer's report, relative to a failed part (docs/design.md).
MAX_REPORT_WEIGHT = 0.34
# Lower bound for the estimated number of parts that the fleet sends to a replica, as it is divided by.
MIN_FLEET_PARTS = 1e-6
# Lower bound for the number of sent parts in the rate that weighs reports. A new process has sent little; without the
# bound it would underestimate the fleet's traffic, and eject a replica for a long time after only two reports.
MIN_PARTS_FOR_REPORTS = 20
# Shortest time over which the rate of parts is computed, seconds.
MIN_RATE_SPAN = 1 / TRAFFIC_WINDOW

# A report is the replica's id in this many bytes (big-endian), followed by one of the report kinds below.
REPORT_ID_BYTES = 8
# The replica was ejected for a reason other than a missing response.
REPORT_FAILING = b""
# The replica was ejected because it does not respond.
REPORT_UNRESPONSIVE = b"\1"
# A trial at the replica succeeded.
REPORT_RECOVERED = b"\2"


class OutlierDetector:
    """Ejects and reinstates replicas, and reports both to peers."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        membership: Membership,
        first_sends: SlidingWindowCount,
    ) -> None:
        self._context = context
        self._membership = membership
        self._first_sends = first_sends
        self._gossip_allowed = settings.gossip_allowed
        self._coordinator_count = settings.coordinator_count

    def record_outcome(
        self, replica: KnownReplica, failure_weight: float, reason: api.EjectionReason | None = None
    ) -> None:
        """Update the failure score from the outcome of a part; a failure may eject, a success reinstates.

        A part counts as failed if it failed, got no response or lost to a hedge; `failure_weight` is 0 for a
        successful one. During an ejection only a success counts; after its end, one failed trial ejects the replica
        again for twice as long.
        """
        if replica.ejected_for and not failure_weight:
            self._reinstate(replica)
            self._send_report(replica, REPORT_RECOVERED)
        if replica.ejected_for:
            if self._context.now >= replica.ejected_until:
                self._eject(replica, 2 * replica.ejected_for, failure_weight, reason)
            return
        self._add_evidence(replica, failure_weight or -1.0)
        if failure_weight and replica.failure_score > EJECTION_SCORE and self._may_eject(reason):
            replica.ejected_at = self._context.now
            self._eject(replica, self._first_ejection_duration(), failure_weight, reason)

    def on_peer_message(self, event: api.PeerMessageReceived) -> None:
        """Process a peer's report that a replica is an outlier or has recovered."""
        replica = self._membership.replicas.get(int.from_bytes(event.payload[:REPORT_ID_BYTES], "big"))
        report = event.payload[REPORT_ID_BYTES:]
        if not replica:
            return
        weight = self._report_weight()
        if report == REPORT_UNRESPONSIVE:
            replica.last_unresponsive_at = self._context.now
        if replica.ejected_for or report == REPORT_RECOVERED:
            self._adjust_ejection(replica, -weight if report == REPORT_RECOVERED else weight)
        else:
            self.record_outcome(replica, weight, api.EjectionReason.PEER_REPORTS)

    def _report_weight(self) -> float:
        """Weight of one report.

        A failed part at one of many peers is little evidence compared with all the parts that the fleet sends to the
        replica. As in the circuit breaker, failures count relative to the number of parts.
        """
        fleet_rate = self._send_rate(MIN_PARTS_FOR_REPORTS) * self._coordinator_count
        sent = fleet_rate * SCORE_HALF_LIFE / max(self._membership.ready_count, 1)
        return min(MAX_REPORT_WEIGHT, EJECTION_SCORE / max(OPEN_RATIO * sent, MIN_FLEET_PARTS))

    def _adjust_ejection(self, replica: KnownReplica, weight: float) -> None:
        """Prolong or end an ejection by peers' reports, which combine the trials of all co-ordinators.

        Evidence that would eject a replica prolongs the ejection by the shortest ejection, without doubling it, as
        doubling is for this co-ordinator's own trials. As much evidence to the contrary reinstates the replica.
        """
        self._add_evidence(replica, weight)
        if not replica.ejected_for:
            return
        if replica.failure_score < -EJECTION_SCORE:
            self._reinstate(replica)
        elif replica.failure_score > EJECTION_SCORE:
            replica.ejected_until = max(replica.ejected_until, self._context.now + MIN_EJECTION)
            replica.failure_score = 0.0

    def _send_rate(self, min_parts: int) -> float:
        """Parts per second that this co-ordinator has recently sent, computed from at least `min_parts`."""
        now = self._context.now
        parts = max(self._first_sends.count(now), min_parts)
        return parts / min(max(now - self._context.started_at, MIN_RATE_SPAN), TRAFFIC_WINDOW)

    def _add_evidence(self, replica: KnownReplica, weight: float) -> None:
        """Add a weight to a failure score after its decay; the credit of successful parts decays too."""
        now = self._context.now
        replica.failure_score *= 0.5 ** ((now - replica.failure_score_at) / SCORE_HALF_LIFE)
        replica.failure_score = max(replica.failure_score + weight, MIN_SCORE)
        replica.failure_score_at = now

    def _may_eject(self, reason: api.EjectionReason | None) -> bool:
        """Whether one more replica may be ejected; always if it is unreachable, as it cannot serve in any case."""
        if reason is api.EjectionReason.CONNECT_FAILED:
            return True
        ejected = sum(r.ready and r.ejected_for > 0 for r in self._membership.replicas.values())
        return ejected + 1 <= MAX_EJECTED_SHARE * self._membership.ready_count

    def _first_ejection_duration(self) -> float:
        """Seconds of a first ejection.

        It lasts at least the mean time between two parts for the replica. These parts come from this co-ordinator
        and, where gossip is allowed, from its peers, which report what they observe.
        """
        observers = self._coordinator_count if self._gossip_allowed else 1
        return max(MIN_EJECTION, self._membership.ready_count / self._send_rate(1) / observers)

    def _eject(
        self,
        replica: KnownReplica,
        duration: float,
        failure_weight: float,
        reason: api.EjectionReason | None,
    ) -> None:
        now = self._context.now
        replica.ejected_for = min(duration, MAX_EJECTION)
        replica.ejected_until = now + min(duration, MAX_EJECTION)
        replica.failure_score = 0.0
        ejection = api.ReplicaEjected(
            replica.endpoint.id, replica.ejected_for, reason or api.EjectionReason.ERROR
        )
        self._context.actions.append(ejection)
        if failure_weight == FAILURE_WEIGHT:  # an ejection caused by peers' reports is not reported again
            unresponsive = replica.last_unresponsive_at == now
            self._send_report(replica, REPORT_UNRESPONSIVE if unresponsive else REPORT_FAILING)

    def _reinstate(self, replica: KnownReplica) -> None:
        """End an ejection.

        A replica that was unresponsive for long may have restarted before the endpoint list shows it, so it is spared
        where another holder is available. The condition on that duration keeps replicas that were merely slow, or are
        ejected for long because their traffic is thin, from being treated as cold.
        """
        if replica.last_unresponsive_at - replica.ejected_at > MIN_EJECTION:
            replica.suspected_restart_at = self._context.now
        replica.ejected_for = 0.0
        replica.failure_score = 0.0
        self._context.actions.append(api.ReplicaReinstated(replica.endpoint.id))

    def _send_report(self, replica: KnownReplica, report: bytes) -> None:
        if self._gossip_allowed:
            payload = replica.endpoint.id.to_bytes(REPORT_ID_BYTES, "big") + report
            self._context.actions.append(api.SendToPeers(payload))
