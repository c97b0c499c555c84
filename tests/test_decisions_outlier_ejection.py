"""Which replicas are ejected, for how long, and what peers report of them."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind, ReplicaState

OK = AttemptOutcome.OK


def test_a_server_that_only_turns_parts_away_is_ejected() -> None:
    """Full at once with nothing out looks idle under the position rule: a few refusals must be enough."""
    host = Host(replicas=4)
    host.warm_up()
    host.sends.clear()
    for _ in range(20):
        part = part_of(host, host.query(0))
        host.wait(0.02)
        host.finish(part, AttemptOutcome.REJECTED if host.where(part) == 10 else OK)
        if part not in host.ok:
            host.wait(0.2)
            host.finish(part, OK, 1)
    assert 1 <= sum(made[0][1] == 10 for made in host.sends.values()) <= 4


def test_a_silent_server_is_ejected_and_its_parts_move() -> None:
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


def test_a_server_that_fails_fast_attracts_nothing() -> None:
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
            if bad and (part, attempt + 1) in host.out:
                host.finish(part, AttemptOutcome.OK, attempt + 1)
                break
    assert hits <= 6


def test_an_ejected_server_comes_back_by_a_trial() -> None:
    host = Host(replicas=4)
    host.warm_up()
    while not host.module.membership.replicas[10].ejected_for:
        part = part_of(host, host.query(0))
        host.finish(part, AttemptOutcome.ERROR if host.where(part) == 10 else AttemptOutcome.OK)
        if part not in host.ok:
            host.finish(part, AttemptOutcome.OK, 1)
    host.wait(2.1)
    part = part_of(host, host.query(0))
    while host.where(part) != 10:
        part = part_of(host, host.query(0))
    host.finish(part)
    assert not host.module.membership.replicas[10].ejected_for


def test_never_more_than_half_are_ejected() -> None:
    host = Host(replicas=4)
    for _ in range(30):
        part = part_of(host, host.query(0))
        for attempt in range(3):
            if (part, attempt) in host.out:
                host.finish(part, AttemptOutcome.ERROR, attempt)
        host.wait(0.1)
    assert sum(bool(s.ejected_for) for s in host.module.membership.replicas.values()) <= 2


def test_one_part_overtaken_by_its_copy_ejects_a_server_of_which_little_is_known() -> None:
    """Found at full size: a co-ordinator meets each slow server once in seconds and never saw two running."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)  # what good parts vouched for has faded
    part = part_of(host, host.query(0))
    host.wait(0.15)
    host.finish(part, OK, 1)
    assert host.module.membership.replicas[host.where(part)].ejected_for


def test_good_parts_of_the_last_seconds_vouch_for_a_server() -> None:
    host = Host(replicas=2)
    host.warm_up()
    part = part_of(host, host.query(0))
    host.wait(0.15)
    host.finish(part, OK, 1)
    assert not host.module.membership.replicas[host.where(part)].ejected_for


def test_ejection_sends_nothing_again_at_once() -> None:
    """Found at full size: each ejection called off and resent all parts out there, and doubled the load."""
    host = Host(BASE._replace(max_parts_per_request=4), replicas=3)
    host.warm_up()
    host.wait(10.0)
    query = host.query(0, 0, 0, 0)
    where = host.where(part_of(host, query))
    actions = host.finish(part_of(host, query), AttemptOutcome.ERROR)
    assert host.module.membership.replicas[where].ejected_for
    assert [a.part for a in sends(actions)] == [part_of(host, query)]
    assert not [a for a in actions if isinstance(a, api.Cancel)]


def test_a_thin_coordinator_leaves_a_bad_server_out_for_longer() -> None:
    """Two seconds are nothing where the next part for that server comes after eight."""
    terms = list[float]()
    for peers in (False, True):
        host = Host(BASE._replace(coordinator_count=60, gossip_allowed=peers), replicas=9)
        host.wait(10.0)
        for _ in range(10):
            bad = part_of(host, host.query(0))
        host.finish(bad, AttemptOutcome.ERROR)
        terms.append(host.module.membership.replicas[host.where(bad)].ejected_for)
    assert terms == [9.0, 2.0]  # nine servers, a part a second; those who would tell shorten it


def test_peers_are_told_of_ejections_and_two_words_eject() -> None:
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    where = host.where(part := part_of(host, host.query(0)))
    told = [a for a in host.finish(part, AttemptOutcome.ERROR) if isinstance(a, api.SendToPeers)]
    assert len(told) == 1 and len(told[0].payload) <= 256
    other = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    other.wait(10.0)
    other.feed(api.PeerMessageReceived(1, told[0].payload))
    assert not other.module.membership.replicas[where].ejected_for
    actions = other.feed(api.PeerMessageReceived(3, told[0].payload))
    assert other.module.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]  # hearsay is not passed on
    for odd in (b"", b"x", bytes(256)):
        other.feed(api.PeerMessageReceived(1, odd))


def test_a_minority_of_many_peers_ejects_no_sound_server() -> None:
    """Each of 200 co-ordinators has thin evidence; a few words are little of what all send there."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=200), replicas=3)
    host.warm_up()  # 40 parts in 6 s: the fleet sends some 530 a second to each server
    # Whatever this one knows of them has faded, and it still sends.
    for server in host.module.membership.replicas.values():
        server.failure_score = 0.0
    word = (10).to_bytes(8, "big")
    for peer in range(20):
        host.feed(api.PeerMessageReceived(peer, word))
    assert not host.module.membership.replicas[10].ejected_for
    for peer in range(20, 199):  # most of the fleet: this is no chance
        host.feed(api.PeerMessageReceived(peer, word))
    assert host.module.membership.replicas[10].ejected_for
    # A word that comes once the term is over does not double it: a trial part tells whether it is still bad.
    term = host.module.membership.replicas[10].ejected_for
    host.now += term + 0.1
    host.feed(api.PeerMessageReceived(1, word))
    assert (
        host.module.membership.replicas[10].ejected_for == term
        and host.module.membership.replicas[10].ejected_until < host.now
    )


def test_a_new_process_does_not_eject_on_two_words_of_a_large_fleet() -> None:
    """Found at a rolling restart: with little sent yet, two words of 186 took a server out for six s."""
    host = Host(
        BASE._replace(gossip_allowed=True, coordinator_count=186, cell_count=9, cells_per_replica=3),
        replicas=9,
    )
    host.query(0)
    host.now += 0.5
    word, server = (10).to_bytes(8, "big"), host.module.membership.replicas[10]
    for peer in (1, 2, 3):
        host.feed(api.PeerMessageReceived(peer, word))
    assert not server.ejected_for
    for peer in [*range(4, 186), *range(1, 186)]:
        host.feed(api.PeerMessageReceived(peer, word))
    assert server.ejected_for == 2.0


def test_an_answer_as_late_as_silence_does_not_let_a_server_back() -> None:
    """Found on a release: trials at jammed servers took 0.8 s, and the fleet was told that all was well."""
    host = Host(BASE._replace(gossip_allowed=True), replicas=3)
    host.warm_up()
    host.wait(10.0)
    bad = part_of(host, host.query(0))
    where, host.log = host.where(bad), []
    host.finish(bad, AttemptOutcome.ERROR)
    host.finish(bad, OK, 1)
    server = host.module.membership.replicas[where]
    for late, back in ((0.5, False), (0.05, True)):
        host.wait(20.0)
        for _ in range(12):
            part = part_of(host, host.query(0))
            if host.where(part) == where:
                break
            host.finish(part)
        assert host.where(part) == where and server.ejected_for
        host.wait(late)
        host.finish(part)
        assert (not server.ejected_for) is back
    name = where.to_bytes(8, "big")
    told = [a.payload for a in host.log if isinstance(a, api.SendToPeers)]
    words = [payload[8:] for payload in told if payload.startswith(name)]
    assert words.count(b"\2") == 1 and words[-1] == b"\2"


def test_words_keep_a_server_out_and_let_it_back() -> None:
    """Found on the full fleet: each of 200 tried each dead server by itself, at every end of a term."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    host.wait(10.0)
    word, server = (10).to_bytes(8, "big"), host.module.membership.replicas[10]
    for peer in (1, 2):
        host.feed(api.PeerMessageReceived(peer, word + b"\1"))
    until, term = server.ejected_until, server.ejected_for
    host.now = until - 0.1
    for peer in (1, 2):
        host.feed(api.PeerMessageReceived(peer, word + b"\1"))
    assert server.ejected_until > until + 1.0 and server.ejected_for == term
    for peer in (3, 4, 5, 6):
        host.feed(api.PeerMessageReceived(peer, word + b"\2"))
    assert not server.ejected_for
    # Silent for longer than a term: it may have restarted, and is spared while another holder is left.
    assert {host.where(part_of(host, host.query(0))) for _ in range(9)} == {11, 12, 13}
    host.members(MembershipUpdateKind.DELTA, *(replica(i, state=ReplicaState.GONE) for i in (11, 12, 13)))
    assert host.where(part_of(host, host.query(0))) == 10  # suspicion alone refuses nothing


def test_a_reinstated_server_is_told_and_few_ejected_ones_are_tried_at_once() -> None:
    """A query of many parts that tries every ejected server at once waits for each."""
    host = Host(
        BASE._replace(gossip_allowed=True, coordinator_count=9, cell_count=8, cells_per_replica=2), replicas=8
    )
    for server in host.module.membership.replicas.values():
        if server.endpoint.id % 2:
            server.ejected_for = server.ejected_until = 1.0
    parts = host.step_parts[host.query(0, 2, 4, 6)]
    tried = [p for p in parts if host.where(p) % 2]
    assert len(tried) <= 1
    for _ in range(20):
        parts = host.step_parts[host.query(0, 2, 4, 6)]
        tried += [p for p in parts if host.where(p) % 2]
        if tried:
            break
    told = [a.payload for a in host.finish(tried[0]) if isinstance(a, api.SendToPeers)]
    assert told == [host.where(tried[0]).to_bytes(8, "big") + b"\2"]


def test_a_full_queue_is_not_told_as_bad_and_two_eject() -> None:
    """Found on the full fleet: a hot holder's full queue put it out everywhere, and filled the next one."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=3)
    first = part_of(host, host.query(0))
    where = host.where(first)
    actions = host.finish(first, AttemptOutcome.REJECTED)
    assert not host.module.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]
    second = next(p for p in (part_of(host, host.query(0)) for _ in range(9)) if host.where(p) == where)
    actions = host.finish(second, AttemptOutcome.REJECTED)
    assert host.module.membership.replicas[where].ejected_for
    assert not [a for a in actions if isinstance(a, api.SendToPeers)]


def test_unreachable_servers_are_out_however_many() -> None:
    """A co-ordinator that is cut off with a third of the servers must not go on trying half of the rest."""
    host = Host(BASE._replace(cell_count=6, cells_per_replica=3), replicas=6)
    for _ in range(40):
        for part in host.step_parts[host.query(0, 2, 3)]:
            if (part, 0) in host.out and host.where(part) != 10:
                host.finish(part, AttemptOutcome.CONNECT_FAILED)
        host.wait(0.2)
    out = {s.endpoint.id for s in host.module.membership.replicas.values() if s.ejected_for}
    assert len(out) > 3, out
