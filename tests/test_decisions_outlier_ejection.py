"""Which replicas are ejected, for how long, and what peers report of them."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind, ReplicaState

OK = AttemptOutcome.OK


def test_a_replica_that_only_rejects_is_ejected() -> None:
    """A replica that rejects at once has no open requests and looks idle: a few rejections must eject it."""
    host = Host(replicas=4)
    host.warm_up()
    host.sends.clear()
    for _ in range(20):
        part = part_of(host, host.query(0))
        host.wait(0.02)
        host.finish(part, AttemptOutcome.REJECTED if host.where(part) == 10 else OK)
        if part not in host.received_parts:
            host.wait(0.2)
            host.finish(part, OK, 1)
    assert 1 <= sum(part_sends[0][1] == 10 for part_sends in host.sends.values()) <= 4


def test_an_unresponsive_replica_is_ejected_and_its_parts_move() -> None:
    host = Host(replicas=4)
    host.warm_up()
    for _ in range(40):
        part = part_of(host, host.query(0))
        host.wait(0.08)
        if host.where(part) != 10:
            host.finish(part)
        host.wait(0.1)
    late = [part_of(host, host.query(0)) for _ in range(4)]
    assert all(host.where(p) != 10 for p in late)


def test_a_replica_that_fails_fast_attracts_no_load() -> None:
    host = Host(replicas=4)
    host.warm_up()
    hits = 0
    for _ in range(60):
        part = part_of(host, host.query(0))
        host.wait(0.05)
        for attempt in range(len(host.sends[part])):
            bad = host.where(part, attempt) == 10
            hits += bad
            host.finish(part, AttemptOutcome.ERROR if bad else AttemptOutcome.OK, attempt)
            if bad and (part, attempt + 1) in host.open_attempts:
                host.finish(part, AttemptOutcome.OK, attempt + 1)
                break
    assert hits <= 6


def test_an_ejected_replica_is_reinstated_by_a_trial() -> None:
    host = Host(replicas=4)
    host.warm_up()
    while not host.engine.membership.replicas[10].ejected_for:
        part = part_of(host, host.query(0))
        host.finish(part, AttemptOutcome.ERROR if host.where(part) == 10 else AttemptOutcome.OK)
        if part not in host.received_parts:
            host.finish(part, AttemptOutcome.OK, 1)
    host.wait(2.1)
    part = part_of(host, host.query(0))
    while host.where(part) != 10:
        part = part_of(host, host.query(0))
    host.finish(part)
    assert not host.engine.membership.replicas[10].ejected_for


def test_at_most_half_of_the_replicas_are_ejected() -> None:
    host = Host(replicas=4)
    for _ in range(30):
        part = part_of(host, host.query(0))
        for attempt in range(3):
            if (part, attempt) in host.open_attempts:
                host.finish(part, AttemptOutcome.ERROR, attempt)
        host.wait(0.1)
    assert sum(bool(s.ejected_for) for s in host.engine.membership.replicas.values()) <= 2


def test_one_attempt_that_loses_to_its_hedge_ejects_a_replica_with_little_evidence() -> None:
    """In a large fleet a co-ordinator sends to a slow replica once in several seconds, not twice in a row."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)  # the credit of good parts decays
    part = part_of(host, host.query(0))
    host.wait(0.15)
    host.finish(part, OK, 1)
    assert host.engine.membership.replicas[host.where(part)].ejected_for


def test_recent_good_parts_outweigh_one_attempt_that_loses_to_its_hedge() -> None:
    host = Host(replicas=2)
    host.warm_up()
    part = part_of(host, host.query(0))
    host.wait(0.15)
    host.finish(part, OK, 1)
    assert not host.engine.membership.replicas[host.where(part)].ejected_for


def test_an_ejection_resends_nothing_at_once() -> None:
    """Each ejection cancelled and resent all parts open at the replica, which doubled the load."""
    host = Host(BASE._replace(max_parts_per_request=4), replicas=3)
    host.warm_up()
    host.wait(10.0)
    query = host.query(0, 0, 0, 0)
    where = host.where(part_of(host, query))
    actions = host.finish(part_of(host, query), AttemptOutcome.ERROR)
    assert host.engine.membership.replicas[where].ejected_for
    assert [a.part for a in sends(actions)] == [part_of(host, query)]
    assert not [a for a in actions if isinstance(a, api.Cancel)]


def test_a_coordinator_with_little_traffic_ejects_for_longer() -> None:
    """An ejection of two seconds has no effect where the next part for the replica comes after eight."""
    durations = list[float]()
    for peers in (False, True):
        host = Host(BASE._replace(coordinator_count=60, gossip_allowed=peers), replicas=9)
        host.wait(10.0)
        for _ in range(10):
            bad = part_of(host, host.query(0))
        host.finish(bad, AttemptOutcome.ERROR)
        durations.append(host.engine.membership.replicas[host.where(bad)].ejected_for)
    assert durations == [9.0, 2.0]  # nine replicas, one part per second; peers that report shorten it


def test_ejections_are_reported_to_peers_and_two_reports_eject() -> None:
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    where = host.where(part := part_of(host, host.query(0)))
    sent_reports = [a for a in host.finish(part, AttemptOutcome.ERROR) if isinstance(a, api.SendToPeers)]
    assert len(sent_reports) == 1 and len(sent_reports[0].payload) <= 256
    other = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    other.wait(10.0)
    other.feed(api.PeerMessageReceived(1, sent_reports[0].payload))
    assert not other.engine.membership.replicas[where].ejected_for
    actions = other.feed(api.PeerMessageReceived(3, sent_reports[0].payload))
    assert other.engine.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]  # peers' reports are not passed on
    for malformed in (b"", b"x", bytes(256)):
        other.feed(api.PeerMessageReceived(1, malformed))


def test_reports_of_a_minority_of_many_peers_do_not_eject_a_healthy_replica() -> None:
    """Each of 200 co-ordinators has little evidence; a few reports are few beside all parts sent there."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=200), replicas=3)
    host.warm_up()  # 40 parts in 6 s: the fleet sends some 530 parts per second to each replica
    # This co-ordinator's own evidence has decayed, and it still sends.
    for known_replica in host.engine.membership.replicas.values():
        known_replica.failure_score = 0.0
    report = (10).to_bytes(8, "big")
    for peer in range(20):
        host.feed(api.PeerMessageReceived(peer, report))
    assert not host.engine.membership.replicas[10].ejected_for
    for peer in range(20, 199):  # most of the fleet: no coincidence
        host.feed(api.PeerMessageReceived(peer, report))
    assert host.engine.membership.replicas[10].ejected_for
    # A report after the end of the ejection does not double it: a trial shows whether the replica fails.
    duration = host.engine.membership.replicas[10].ejected_for
    host.now += duration + 0.1
    host.feed(api.PeerMessageReceived(1, report))
    assert (
        host.engine.membership.replicas[10].ejected_for == duration
        and host.engine.membership.replicas[10].ejected_until < host.now
    )


def test_a_new_process_does_not_eject_on_two_reports_of_a_large_fleet() -> None:
    """After a rolling restart, with little sent yet, two reports of 186 peers ejected a replica for 6 s."""
    host = Host(
        BASE._replace(gossip_allowed=True, coordinator_count=186, cell_count=9, cells_per_replica=3),
        replicas=9,
    )
    host.query(0)
    host.now += 0.5
    report, known_replica = (10).to_bytes(8, "big"), host.engine.membership.replicas[10]
    for peer in (1, 2, 3):
        host.feed(api.PeerMessageReceived(peer, report))
    assert not known_replica.ejected_for
    for peer in [*range(4, 186), *range(1, 186)]:
        host.feed(api.PeerMessageReceived(peer, report))
    assert known_replica.ejected_for == 2.0


def test_an_answer_as_late_as_a_missing_response_does_not_reinstate_a_replica() -> None:
    """Trials at overloaded replicas took 0.8 s, and their success was reported to the whole fleet."""
    host = Host(BASE._replace(gossip_allowed=True), replicas=3)
    host.warm_up()
    host.wait(10.0)
    bad = part_of(host, host.query(0))
    where, host.log = host.where(bad), []
    host.finish(bad, AttemptOutcome.ERROR)
    host.finish(bad, OK, 1)
    known_replica = host.engine.membership.replicas[where]
    for latency, reinstated in ((0.5, False), (0.05, True)):
        host.wait(20.0)
        for _ in range(12):
            part = part_of(host, host.query(0))
            if host.where(part) == where:
                break
            host.finish(part)
        assert host.where(part) == where and known_replica.ejected_for
        host.wait(latency)
        host.finish(part)
        assert (not known_replica.ejected_for) is reinstated
    replica_id = where.to_bytes(8, "big")
    sent_reports = [a.payload for a in host.log if isinstance(a, api.SendToPeers)]
    report_kinds = [payload[8:] for payload in sent_reports if payload.startswith(replica_id)]
    assert report_kinds.count(b"\2") == 1 and report_kinds[-1] == b"\2"


def test_reports_prolong_and_end_an_ejection() -> None:
    """Each of 200 co-ordinators tried each failed replica on its own, at the end of every ejection."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    host.wait(10.0)
    report, known_replica = (10).to_bytes(8, "big"), host.engine.membership.replicas[10]
    for peer in (1, 2):
        host.feed(api.PeerMessageReceived(peer, report + b"\1"))
    until, duration = known_replica.ejected_until, known_replica.ejected_for
    host.now = until - 0.1
    for peer in (1, 2):
        host.feed(api.PeerMessageReceived(peer, report + b"\1"))
    assert known_replica.ejected_until > until + 1.0 and known_replica.ejected_for == duration
    for peer in (3, 4, 5, 6):
        host.feed(api.PeerMessageReceived(peer, report + b"\2"))
    assert not known_replica.ejected_for
    # Unresponsive for longer than an ejection: it may have restarted, and is spared while others are left.
    assert {host.where(part_of(host, host.query(0))) for _ in range(9)} == {11, 12, 13}
    host.update_membership(
        MembershipUpdateKind.DELTA, *(replica(i, state=ReplicaState.GONE) for i in (11, 12, 13))
    )
    assert host.where(part_of(host, host.query(0))) == 10  # a suspected restart alone rejects nothing


def test_a_reinstatement_is_reported_and_few_ejected_replicas_are_tried_at_once() -> None:
    """A query of many parts that tries every ejected replica at once waits for each of them."""
    host = Host(
        BASE._replace(gossip_allowed=True, coordinator_count=9, cell_count=8, cells_per_replica=2), replicas=8
    )
    for known_replica in host.engine.membership.replicas.values():
        if known_replica.endpoint.id % 2:
            known_replica.ejected_for = known_replica.ejected_until = 1.0
    parts = host.step_parts[host.query(0, 2, 4, 6)]
    tried = [p for p in parts if host.where(p) % 2]
    assert len(tried) <= 1
    for _ in range(20):
        parts = host.step_parts[host.query(0, 2, 4, 6)]
        tried += [p for p in parts if host.where(p) % 2]
        if tried:
            break
    sent_reports = [a.payload for a in host.finish(tried[0]) if isinstance(a, api.SendToPeers)]
    assert sent_reports == [host.where(tried[0]).to_bytes(8, "big") + b"\2"]


def test_a_full_queue_is_not_reported_and_two_rejections_eject() -> None:
    """The full queue of a busy holder ejected it at all co-ordinators, which filled the next one's queue."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=3)
    first = part_of(host, host.query(0))
    where = host.where(first)
    actions = host.finish(first, AttemptOutcome.REJECTED)
    assert not host.engine.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]
    second = next(p for p in (part_of(host, host.query(0)) for _ in range(9)) if host.where(p) == where)
    actions = host.finish(second, AttemptOutcome.REJECTED)
    assert host.engine.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]


def test_any_number_of_unreachable_replicas_is_ejected() -> None:
    """A co-ordinator that can reach only a third of the replicas must not keep trying half of the others."""
    host = Host(BASE._replace(cell_count=6, cells_per_replica=3), replicas=6)
    for _ in range(40):
        for part in host.step_parts[host.query(0, 2, 3)]:
            if (part, 0) in host.open_attempts and host.where(part) != 10:
                host.finish(part, AttemptOutcome.CONNECT_FAILED)
        host.wait(0.2)
    ejected_ids = {s.endpoint.id for s in host.engine.membership.replicas.values() if s.ejected_for}
    assert len(ejected_ids) > 3, ejected_ids
