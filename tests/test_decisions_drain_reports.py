"""Drain reports between co-ordinators, for those whose watch is down."""

from __future__ import annotations

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.decisions.drain_reports import (
    GONE_REPORT_DURATION,
    MAX_IDS,
    REPORT_DRAINING,
    REPORTERS_PER_CHANGE,
)
from gingervane.decisions.replica_leases import REPORT_LIFETIME
from gingervane.decisions.watch_options import WatchOptions
from gingervane.interface import MembershipUpdateKind, ReplicaState
from gingervane.node.service import NOTIFIED_WITHIN, PARALLEL_WATCH_CALLS

SETTINGS = BASE._replace(membership_polled=True, gossip_allowed=True, coordinator_count=REPORTERS_PER_CHANGE)
NODE_WATCH = WatchOptions(PARALLEL_WATCH_CALLS, NOTIFIED_WITHIN)


def sent_reports(actions: list[api.Action]) -> list[bytes]:
    return [
        a.payload for a in actions if isinstance(a, api.SendToPeers) and a.payload.endswith(REPORT_DRAINING)
    ]


def drain_report(*replicas: int) -> api.PeerMessageReceived:
    return api.PeerMessageReceived(1, b"".join(n.to_bytes(8, "big") for n in replicas) + REPORT_DRAINING)


def test_draining_and_removed_replicas_are_reported_repeatedly() -> None:
    host = Host(SETTINGS, watch_options=NODE_WATCH)
    host.update_membership(MembershipUpdateKind.DELTA)
    reports = sent_reports(
        host.update_membership(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))
    )
    assert reports == [drain_report(10).payload]
    assert sent_reports(host.wait(GONE_REPORT_DURATION)) == reports * 6, "every two seconds while it drains"
    reports = sent_reports(
        host.update_membership(MembershipUpdateKind.DELTA, replica(11, state=ReplicaState.GONE))
    )
    assert reports == [drain_report(11).payload]
    assert sent_reports(host.wait(2.1)) == [drain_report(10, 11).payload]
    host.update_membership(MembershipUpdateKind.DELTA, replica(10))
    assert not any(
        payload == drain_report(10, 11).payload for payload in sent_reports(host.wait(5.0))
    ), "it serves again"
    assert not sent_reports(
        host.wait(GONE_REPORT_DURATION) and host.wait(5.0)
    ), "a removed replica is reported for a limited time"


def test_nothing_is_reported_while_the_watch_is_down() -> None:
    host = Host(SETTINGS, watch_options=NODE_WATCH)
    host.update_membership(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))
    host.feed(api.WatchInterrupted(0.0))
    assert not sent_reports(host.wait(10.0))


def test_only_a_few_of_many_coordinators_report_a_change() -> None:
    count = 0
    for seed in range(200):
        host = Host(SETTINGS._replace(coordinator_count=60), seed=seed, watch_options=NODE_WATCH)
        host.update_membership(MembershipUpdateKind.DELTA)
        count += len(
            sent_reports(
                host.update_membership(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))
            )
        )
    assert 2 <= count <= 25, "3 of 60 in the mean"


def test_reports_of_many_replicas_are_split_into_messages_of_bounded_size() -> None:
    host = Host(SETTINGS, replicas=80, watch_options=NODE_WATCH)
    host.update_membership(MembershipUpdateKind.DELTA)
    rows = [replica(10 + n, cell=n % SETTINGS.cell_count, state=ReplicaState.DRAINING) for n in range(70)]
    reports = sent_reports(host.update_membership(MembershipUpdateKind.DELTA, *rows))
    assert [len(payload) for payload in reports] == [8 * MAX_IDS + 1, 8 * MAX_IDS + 1, 8 * 8 + 1]
    assert max(map(len, reports)) <= 256


def test_a_report_excludes_a_replica_for_a_while_where_the_watch_is_down() -> None:
    """A restarted co-ordinator with a stale list, rejected by a busy discovery, sent to drained replicas."""
    host = Host(SETTINGS, watch_options=NODE_WATCH)
    excluded = host.where(part_of(host, host.query(0)))
    host.feed(api.MembershipChanged(MembershipUpdateKind.FAILED, ()))
    host.feed(drain_report(excluded, 999))
    sent = {host.where(part_of(host, host.query(0))) for _ in range(20)}
    assert sent and excluded not in sent
    known_replica, leases = host.engine.membership.replicas[excluded], host.engine.membership.leases
    assert leases.is_excluded(known_replica)
    host.wait(REPORT_LIFETIME + 0.1)
    host.feed()
    assert not leases.is_excluded(known_replica)


def test_a_report_is_ignored_where_the_watch_is_up() -> None:
    host = Host(SETTINGS, watch_options=NODE_WATCH)
    host.update_membership(MembershipUpdateKind.DELTA)
    host.feed(drain_report(10, 11, 12))
    assert host.sends[part_of(host, host.query(0))]


@pytest.mark.parametrize(
    ("settings", "terms"),
    [
        (SETTINGS._replace(gossip_allowed=False), NODE_WATCH),
        (SETTINGS._replace(membership_polled=False), NODE_WATCH),
        (SETTINGS, WatchOptions()),
    ],
)
def test_nothing_is_reported_where_gossip_is_off_or_reports_are_of_no_use(
    settings: api.Settings, terms: WatchOptions
) -> None:
    host = Host(settings, watch_options=terms)
    host.update_membership(MembershipUpdateKind.DELTA)
    assert not sent_reports(
        host.update_membership(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))
    )
    assert not sent_reports(host.wait(5.0))


@pytest.mark.parametrize("payload", [b"", b"D", b"1234567D", b"12345678", b"12345678\1", b"123456789D"])
def test_other_and_malformed_messages_are_not_taken_for_reports(payload: bytes) -> None:
    host = Host(SETTINGS, watch_options=NODE_WATCH)
    host.feed(api.MembershipChanged(MembershipUpdateKind.FAILED, ()), api.PeerMessageReceived(1, payload))
    leases, replicas = host.engine.membership.leases, host.engine.membership.replicas
    assert not any(leases.is_excluded(known_replica) for known_replica in replicas.values())
