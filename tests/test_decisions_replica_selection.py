"""How replicas are assigned to the parts of a query."""

from __future__ import annotations

from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane.interface import MembershipUpdateKind


def test_all_parts_of_a_query_use_one_position() -> None:
    """Three cells, three shards, each on all three replicas: every part goes to the same position."""
    host = Host(BASE._replace(cell_count=3, cells_per_replica=3), replicas=3)
    query = host.query(0, 1, 2)
    assert len({host.where(p) for p in host.step_parts[query]}) == 1


def test_the_position_with_the_fewest_open_requests_is_used() -> None:
    host = Host()
    placed = [host.where(part_of(host, host.query(0))) for _ in range(6)]
    assert sorted(placed) == [10, 10, 11, 11, 12, 12]


def test_parts_that_share_a_request_count_once() -> None:
    host = Host(BASE._replace(max_parts_per_request=4))
    wide = host.query(0, 0, 0, 0)
    single = host.query(0)
    host.finish(part_of(host, single))
    first = host.where(part_of(host, wide))
    others = [host.where(part_of(host, host.query(0))) for _ in range(2)]
    assert first not in others
    assert host.where(part_of(host, host.query(0))) == first  # one open request there, as at the others


def test_a_blocked_replica_gets_no_new_part() -> None:
    """The last holder of some shards was overloaded while the mean latency of all replicas looked normal."""
    host = Host(BASE._replace(hedging_allowed=False), replicas=3)
    host.warm_up()
    stuck = part_of(host, host.query(0))
    for _ in range(20):
        part = part_of(host, host.query(0))
        host.wait(0.1)
        host.finish(part)
    late = [host.where(part_of(host, host.query(0))) for _ in range(2)]
    assert host.where(stuck) not in late


def test_a_lost_answer_does_not_block_its_replica() -> None:
    """One answer was lost and later ones arrived, but the replica was left out (incident i0311c4)."""
    host = Host(BASE._replace(hedging_allowed=False), replicas=1)
    host.query(0)  # its answer is lost
    host.wait(0.1)
    host.finish(part_of(host, host.query(0)))
    host.wait(0.8)
    assert host.sends[part_of(host, host.query(0))]


def test_a_much_slower_replica_is_avoided_and_tried_again() -> None:
    """Each co-ordinator sent to a slow replica only every few seconds, waited for it and sent to it again."""
    host = Host(replicas=3)
    host.warm_up(60)
    (
        host.engine.membership.replicas[10].relative_latency,
        host.engine.membership.replicas[10].relative_latency_at,
    ) = 4.0, host.now
    placed = [host.where(part_of(host, host.query(0))) for _ in range(4)]
    assert 10 not in placed
    for part in list(host.open_attempts):
        host.finish(*part[:1])
    host.wait(30.0)
    assert 10 in [host.where(part_of(host, host.query(0))) for _ in range(8)]


def test_equally_slow_replicas_keep_their_positions() -> None:
    host = Host(replicas=3)
    host.warm_up(60)
    for known_replica in host.engine.membership.replicas.values():
        known_replica.relative_latency, known_replica.relative_latency_at = 5.0, host.now
    assert {host.where(part_of(host, host.query(0))) for _ in range(9)} == {10, 11, 12}


def test_ties_between_positions_are_broken_at_random() -> None:
    """Idle co-ordinators must not all choose the same position."""
    first = set[int]()
    for seed in range(30):
        host = Host(BASE._replace(zone=9), seed=seed)
        first.add(host.where(part_of(host, host.query(0))))
    assert first == {10, 11, 12}


def test_the_own_zone_is_preferred_until_it_is_loaded() -> None:
    """Positions mix zones; the zone cost is avoided while the own zone's replicas have few open requests."""
    host = Host(BASE._replace(zone=1, cell_count=6, cells_per_replica=3), replicas=0)
    host.update_membership(
        MembershipUpdateKind.FULL, *(replica(10 + i, cell=i, zone=i % 3) for i in range(6))
    )
    zones = list[list[int]]()
    for _ in range(4):
        parts = host.step_parts[host.query(0, 1, 2)]
        zones.append([host.listed_replicas[host.where(p)].zone for p in parts])
    assert zones[0] == [1, 1, 1] and zones[3] != [1, 1, 1]
