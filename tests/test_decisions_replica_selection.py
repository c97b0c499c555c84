"""How replicas are assigned to the parts of a query."""

from __future__ import annotations

from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane.interface import MembershipUpdateKind


def test_whole_query_takes_one_position() -> None:
    """Three cells, three shards, each on all three servers: every part goes to one rank of holder."""
    host = Host(BASE._replace(cell_count=3, cells_per_replica=3), replicas=3)
    query = host.query(0, 1, 2)
    assert len({host.where(p) for p in host.step_parts[query]}) == 1


def test_position_with_fewest_calls_out() -> None:
    host = Host()
    placed = [host.where(part_of(host, host.query(0))) for _ in range(6)]
    assert sorted(placed) == [10, 10, 11, 11, 12, 12]


def test_parts_that_share_a_call_count_once() -> None:
    host = Host(BASE._replace(max_parts_per_request=4))
    wide = host.query(0, 0, 0, 0)
    single = host.query(0)
    host.finish(part_of(host, single))
    first = host.where(part_of(host, wide))
    others = [host.where(part_of(host, host.query(0))) for _ in range(2)]
    assert first not in others
    assert host.where(part_of(host, host.query(0))) == first  # one call out there, as everywhere


def test_a_backed_up_server_gets_no_new_part() -> None:
    """Found in incidents: the last holder of some shards drowned while the mean over all looked fine."""
    host = Host(BASE._replace(hedging_allowed=False), replicas=3)
    host.warm_up()
    stuck = part_of(host, host.query(0))
    for _ in range(20):
        part = part_of(host, host.query(0))
        host.wait(0.1)
        host.finish(part)
    late = [host.where(part_of(host, host.query(0))) for _ in range(2)]
    assert host.where(stuck) not in late


def test_a_lost_part_does_not_make_its_server_backed_up() -> None:
    """Found in incident i0311c4: one answer lost, later ones came, the server was left out."""
    host = Host(BASE._replace(hedging_allowed=False), replicas=1)
    host.query(0)  # its answer is lost
    host.wait(0.1)
    host.finish(part_of(host, host.query(0)))
    host.wait(0.8)
    assert host.sends[part_of(host, host.query(0))]


def test_a_server_much_slower_than_its_peers_is_left_for_them_and_tried_again() -> None:
    """Found with ageing servers: each co-ordinator met one in seconds, waited for it and came again."""
    host = Host(replicas=3)
    host.warm_up(60)
    (
        host.module.membership.replicas[10].relative_latency,
        host.module.membership.replicas[10].relative_latency_at,
    ) = 4.0, host.now
    placed = [host.where(part_of(host, host.query(0))) for _ in range(4)]
    assert 10 not in placed
    for part in list(host.out):
        host.finish(*part[:1])
    host.wait(30.0)
    assert 10 in [host.where(part_of(host, host.query(0))) for _ in range(8)]


def test_all_slow_alike_keep_their_positions() -> None:
    host = Host(replicas=3)
    host.warm_up(60)
    for server in host.module.membership.replicas.values():
        server.relative_latency, server.relative_latency_at = 5.0, host.now
    assert {host.where(part_of(host, host.query(0))) for _ in range(9)} == {10, 11, 12}


def test_equal_positions_are_spread() -> None:
    """Co-ordinators with nothing out must not all take the same position."""
    first = set[int]()
    for seed in range(30):
        host = Host(BASE._replace(zone=9), seed=seed)
        first.add(host.where(part_of(host, host.query(0))))
    assert first == {10, 11, 12}


def test_own_zone_first_until_it_is_crowded() -> None:
    """Positions mix zones; the price of crossing is saved while the own zone's servers have little out."""
    host = Host(BASE._replace(zone=1, cell_count=6, cells_per_replica=3), replicas=0)
    host.members(MembershipUpdateKind.FULL, *(replica(10 + i, cell=i, zone=i % 3) for i in range(6)))
    zones = list[list[int]]()
    for _ in range(4):
        parts = host.step_parts[host.query(0, 1, 2)]
        zones.append([host.states[host.where(p)].zone for p in parts])
    assert zones[0] == [1, 1, 1] and zones[3] != [1, 1, 1]
