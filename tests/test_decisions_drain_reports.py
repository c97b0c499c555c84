"""Reports between co-ordinators of replicas that drain or are gone, for those whose watch is down."""

from __future__ import annotations

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.decisions.drain_reports import MAX_IDS, REPORT_DRAINING, REPORTED_FOR, REPORTERS
from gingervane.decisions.membership_watch import REPORT_LIFETIME, WatchTerms
from gingervane.interface import MembershipUpdateKind, ReplicaState
from gingervane.node.service import NOTIFIED_WITHIN, PARALLEL_WATCH_CALLS

SETTINGS = BASE._replace(membership_polled=True, gossip_allowed=True, coordinator_count=REPORTERS)
TERMS = WatchTerms(PARALLEL_WATCH_CALLS, NOTIFIED_WITHIN)


def told(actions: list[api.Action]) -> list[bytes]:
    return [
        a.payload for a in actions if isinstance(a, api.SendToPeers) and a.payload.endswith(REPORT_DRAINING)
    ]


def report(*replicas: int) -> api.PeerMessageReceived:
    return api.PeerMessageReceived(1, b"".join(n.to_bytes(8, "big") for n in replicas) + REPORT_DRAINING)


def test_who_has_a_list_tells_what_drains_and_tells_it_again_for_those_started_later() -> None:
    host = Host(SETTINGS, watch_terms=TERMS)
    host.members(MembershipUpdateKind.DELTA)
    found = told(host.members(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING)))
    assert found == [report(10).payload]
    assert told(host.wait(REPORTED_FOR)) == found * 6, "every two seconds, for as long as it drains"
    found = told(host.members(MembershipUpdateKind.DELTA, replica(11, state=ReplicaState.GONE)))
    assert found == [report(11).payload]
    assert told(host.wait(2.1)) == [report(10, 11).payload]
    host.members(MembershipUpdateKind.DELTA, replica(10))
    assert not any(payload == report(10, 11).payload for payload in told(host.wait(5.0))), "it serves again"
    assert not told(host.wait(REPORTED_FOR) and host.wait(5.0)), "what is gone is told of for a while"


def test_nobody_tells_what_is_no_news_any_more() -> None:
    host = Host(SETTINGS, watch_terms=TERMS)
    host.members(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))
    host.feed(api.WatchInterrupted(0.0))
    assert not told(host.wait(10.0))


def test_a_few_of_many_co_ordinators_tell() -> None:
    count = 0
    for seed in range(200):
        host = Host(SETTINGS._replace(coordinator_count=60), seed=seed, watch_terms=TERMS)
        host.members(MembershipUpdateKind.DELTA)
        count += len(told(host.members(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING))))
    assert 2 <= count <= 25, "3 in 60"


def test_many_replicas_are_told_of_in_messages_of_bounded_size() -> None:
    host = Host(SETTINGS, replicas=80, watch_terms=TERMS)
    host.members(MembershipUpdateKind.DELTA)
    rows = [replica(10 + n, cell=n % SETTINGS.cell_count, state=ReplicaState.DRAINING) for n in range(70)]
    found = told(host.members(MembershipUpdateKind.DELTA, *rows))
    assert [len(payload) for payload in found] == [8 * MAX_IDS + 1, 8 * MAX_IDS + 1, 8 * 8 + 1]
    assert max(map(len, found)) <= 256


def test_a_report_bars_a_replica_at_who_has_no_list_and_for_a_while() -> None:
    """Started again on an old list, while discovery had no room: it sent to what had drained long before."""
    host = Host(SETTINGS, watch_terms=TERMS)
    first = host.where(part_of(host, host.query(0)))
    host.feed(api.MembershipChanged(MembershipUpdateKind.FAILED, ()))
    host.feed(report(first, 999))
    sent = {host.where(part_of(host, host.query(0))) for _ in range(20)}
    assert sent and first not in sent
    known, watch = host.module.membership.replicas[first], host.module.membership.watch
    assert watch.is_barred(known)
    host.wait(REPORT_LIFETIME + 0.1)
    host.feed()
    assert not watch.is_barred(known)


def test_a_report_is_nothing_to_who_has_a_list() -> None:
    host = Host(SETTINGS, watch_terms=TERMS)
    host.members(MembershipUpdateKind.DELTA)
    host.feed(report(10, 11, 12))
    assert host.sends[part_of(host, host.query(0))]


@pytest.mark.parametrize(
    ("settings", "terms"),
    [
        (SETTINGS._replace(gossip_allowed=False), TERMS),
        (SETTINGS._replace(membership_polled=False), TERMS),
        (SETTINGS, WatchTerms()),
    ],
)
def test_nothing_is_told_where_it_may_not_be_or_serves_nobody(
    settings: api.Settings, terms: WatchTerms
) -> None:
    host = Host(settings, watch_terms=terms)
    host.members(MembershipUpdateKind.DELTA)
    assert not told(host.members(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.DRAINING)))
    assert not told(host.wait(5.0))


@pytest.mark.parametrize("payload", [b"", b"D", b"1234567D", b"12345678", b"12345678\1", b"123456789D"])
def test_other_messages_and_damaged_ones_are_not_taken_for_reports(payload: bytes) -> None:
    host = Host(SETTINGS, watch_terms=TERMS)
    host.feed(api.MembershipChanged(MembershipUpdateKind.FAILED, ()), api.PeerMessageReceived(1, payload))
    watch, replicas = host.module.membership.watch, host.module.membership.replicas
    assert not any(watch.is_barred(known) for known in replicas.values())
