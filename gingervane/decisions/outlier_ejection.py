"""Outlier ejection: replicas whose parts fail or are late are left out of selection for a while.

Evidence is a failure score for each replica. Bad parts raise it, good ones lower it, and it fades. Peers'
reports make up for thin evidence of one's own.
"""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.circuit_breaker import OPEN_RATIO
from gingervane.decisions.membership import Membership
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Seconds in which a failure score halves (docs/design.md, outlier ejection).
SCORE_HALF_LIFE = 2.0
# Failure score above which a replica is ejected: one bad part is enough unless good ones vouch for it.
EJECTION_SCORE = 0.6
# Lowest failure score, so that no replica has more than one good part to its credit.
MIN_SCORE = -1.0
# Largest share of the ready replicas that may be ejected (docs/design.md).
MAX_EJECTED_SHARE = 0.5
# Shortest ejection, seconds; doubled at each failed trial (docs/design.md).
MIN_EJECTION = 2.0
# Longest ejection, seconds (docs/design.md).
MAX_EJECTION = 16.0
# Weight of a bad part of one's own.
FAILURE_WEIGHT = 1.0
# Weight of a part rejected for a full queue, as a share of a bad part (docs/design.md).
REJECTION_WEIGHT = 0.34
# Largest weight of one peer's report, as a share of a bad part (docs/design.md).
MAX_REPORT_WEIGHT = 0.34
# Parts that the fleet is taken to send to a replica at least, so that they can be divided by.
MIN_FLEET_PARTS = 1e-6
# Parts that the rate of parts counts at least where reports are weighed: a new process would take the little
# that it has sent for little that is sent, and two reports ejected a replica there, for long.
MIN_PARTS_FOR_REPORTS = 20
# Shortest time over which the rate of parts is taken, seconds.
MIN_RATE_SPAN = 1 / TRAFFIC_WINDOW

# A report is the replica's id in this many bytes, most significant first, and one of the words below.
REPORT_ID_BYTES = 8
# It was ejected for other reasons than that it does not respond.
REPORT_FAILING = b""
# It was ejected because it does not respond.
REPORT_UNRESPONSIVE = b"\1"
# A trial there went well.
REPORT_RECOVERED = b"\2"


class OutlierDetector:
    """Ejects and reinstates replicas, and tells peers of both."""

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
        """Learn from a part: a bad one may eject, a good one reinstates.

        A part is bad if it failed, got no response or was overtaken by a hedge. `failure_weight` is 0 for a
        good one. Nothing is concluded during an ejection but from a good part;
        after it one bad trial ejects for twice as long.
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
        """Take a peer's report that a replica is an outlier, or has recovered."""
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

        A bad part of one of many peers is little among all that the fleet sends to the replica. Reports weigh
        as failures do for the circuit breaker, as a share of parts.
        """
        fleet_rate = self._rate(MIN_PARTS_FOR_REPORTS) * self._coordinator_count
        sent = fleet_rate * SCORE_HALF_LIFE / max(self._membership.ready_count, 1)
        return min(MAX_REPORT_WEIGHT, EJECTION_SCORE / max(OPEN_RATIO * sent, MIN_FLEET_PARTS))

    def _adjust_ejection(self, replica: KnownReplica, weight: float) -> None:
        """Let reports prolong or end an ejection, as trials by each co-ordinator alone add up.

        As much evidence as ejects a replica keeps it out for another shortest ejection, without doubling,
        which is for own trials; as much to the contrary reinstates it.
        """
        self._add_evidence(replica, weight)
        if not replica.ejected_for:
            return
        if replica.failure_score < -EJECTION_SCORE:
            self._reinstate(replica)
        elif replica.failure_score > EJECTION_SCORE:
            replica.ejected_until = max(replica.ejected_until, self._context.now + MIN_EJECTION)
            replica.failure_score = 0.0

    def _rate(self, min_parts: int) -> float:
        """Parts a second that this co-ordinator has sent of late, counted as `min_parts` at least."""
        now = self._context.now
        parts = max(self._first_sends.count(now), min_parts)
        return parts / min(max(now - self._context.started_at, MIN_RATE_SPAN), TRAFFIC_WINDOW)

    def _add_evidence(self, replica: KnownReplica, weight: float) -> None:
        """Add to a failure score what has been learned; good parts vouch for a replica only for a while."""
        now = self._context.now
        replica.failure_score *= 0.5 ** ((now - replica.failure_score_at) / SCORE_HALF_LIFE)
        replica.failure_score = max(replica.failure_score + weight, MIN_SCORE)
        replica.failure_score_at = now

    def _may_eject(self, reason: api.EjectionReason | None) -> bool:
        """Whether one more may be ejected: always if unreachable, as it is then of no use to anybody."""
        if reason is api.EjectionReason.CONNECT_FAILED:
            return True
        ejected = sum(r.ready and r.ejected_for > 0 for r in self._membership.replicas.values())
        return ejected + 1 <= MAX_EJECTED_SHARE * self._membership.ready_count

    def _first_ejection_duration(self) -> float:
        """Seconds, at least as many as the next part for it takes to come to those who would report on it."""
        observers = self._coordinator_count if self._gossip_allowed else 1
        return max(MIN_EJECTION, self._membership.ready_count / self._rate(1) / observers)

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
        ejected = api.ReplicaEjected(
            replica.endpoint.id, replica.ejected_for, reason or api.EjectionReason.ERROR
        )
        self._context.actions.append(ejected)
        if failure_weight == FAILURE_WEIGHT:  # reports of peers are not passed on
            unresponsive = replica.last_unresponsive_at == now
            self._send_report(replica, REPORT_UNRESPONSIVE if unresponsive else REPORT_FAILING)

    def _reinstate(self, replica: KnownReplica) -> None:
        """End an ejection.

        What did not respond for long may have restarted before the list says so: it is spared where another
        holder is left. Without the comparison, what was slow, or is ejected for long as parts for it are
        rare, would be taken for cold.
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
