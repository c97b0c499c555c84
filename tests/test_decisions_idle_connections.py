"""Which idle connections are closed before a send."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api


def test_connections_idle_for_longer_than_silence_followed_are_shut_before_a_send() -> None:
    """Found where idle connections are dropped unseen: the first part after each pause met silence."""
    host = Host(replicas=3)
    host.warm_up()
    host.wait(5.0)
    host.query(0)
    host.wait(0.5)  # silence after a pause of five seconds
    seen = len(host.log)
    host.wait(6.0)
    host.query(0)
    closed = [a for a in host.log[seen:] if isinstance(a, api.CloseIdle)]
    assert closed and sends(host.log[seen:])
    host.wait(120.0)  # forgotten
    seen = len(host.log)
    host.query(0)
    assert not [a for a in host.log[seen:] if isinstance(a, api.CloseIdle)]


def test_silence_says_nothing_of_a_pause_after_which_others_answered() -> None:
    """Found on the full fleet: one silent server, and each part seconds later had a new connection."""
    host = Host(replicas=3)
    host.warm_up()
    for _ in range(2):
        host.wait(5.0)
        for part in [part_of(host, host.query(0)) for _ in range(3)]:
            host.finish(part)
    host.wait(2.0)
    part = part_of(host, host.query(0))
    host.wait(0.5)
    silent = {where for _, where in host.sends[part]}  # it and its copy
    seen = len(host.log)
    host.wait(4.0)
    for _ in range(6):
        host.query(0)
    assert {10, 11, 12} - silent <= {a.replica for a in sends(host.log[seen:])}
    assert {a.replica for a in host.log[seen:] if isinstance(a, api.CloseIdle)} <= silent


def test_silence_after_a_short_pause_says_nothing_of_idle_connections() -> None:
    """Found at a quiet site: after any silence nearly every connection was shut before each send."""
    host = Host(BASE._replace(query_classes=(query_class(aim=4.0, deadline=9.0),)), replicas=3)
    host.warm_up()
    for server in host.module.membership.replicas.values():
        server.last_sent_at = host.now - 0.3
    host.query(0)
    host.wait(0.5)  # silence
    seen = len(host.log)
    for _ in range(6):
        part = part_of(host, host.query(0))
        host.wait(0.05)
        host.finish(part)
        host.wait(0.45)
    assert sends(host.log[seen:]) and not [a for a in host.log[seen:] if isinstance(a, api.CloseIdle)]


def test_a_server_met_by_silence_is_met_on_a_new_connection_once() -> None:
    """Found on sockets: connections that fell silent kept taking parts, and their servers stayed out."""
    host = Host(replicas=1)
    host.warm_up()
    part = part_of(host, host.query(0))
    host.wait(0.5)  # silence
    seen = len(host.log)
    host.query(0)
    host.query(0)
    assert len([a for a in host.log[seen:] if isinstance(a, api.CloseIdle)]) == 1
    host.finish(part)  # heard from after all
    seen = len(host.log)
    host.query(0)
    assert not [a for a in host.log[seen:] if isinstance(a, api.CloseIdle)]
