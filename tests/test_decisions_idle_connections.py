"""Which idle connections are closed before a send."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api


def test_connections_idle_for_too_long_are_closed_before_a_send() -> None:
    """Where idle connections are dropped silently, the first part after each idle time got no response."""
    host = Host(replicas=3)
    host.warm_up()
    host.wait(5.0)
    host.query(0)
    host.wait(0.5)  # no response after an idle time of five seconds
    log_length = len(host.log)
    host.wait(6.0)
    host.query(0)
    closed = [a for a in host.log[log_length:] if isinstance(a, api.CloseIdle)]
    assert closed and sends(host.log[log_length:])
    host.wait(120.0)  # the limit decays
    log_length = len(host.log)
    host.query(0)
    assert not [a for a in host.log[log_length:] if isinstance(a, api.CloseIdle)]


def test_a_missing_response_is_ignored_where_others_answered_after_the_same_idle_time() -> None:
    """With one unresponsive replica, every part sent some seconds later opened a new connection."""
    host = Host(replicas=3)
    host.warm_up()
    for _ in range(2):
        host.wait(5.0)
        for part in [part_of(host, host.query(0)) for _ in range(3)]:
            host.finish(part)
    host.wait(2.0)
    part = part_of(host, host.query(0))
    host.wait(0.5)
    unresponsive = {where for _, where in host.sends[part]}  # the replicas of the part and of its hedge
    log_length = len(host.log)
    host.wait(4.0)
    for _ in range(6):
        host.query(0)
    assert {10, 11, 12} - unresponsive <= {a.replica for a in sends(host.log[log_length:])}
    assert {a.replica for a in host.log[log_length:] if isinstance(a, api.CloseIdle)} <= unresponsive


def test_a_missing_response_after_a_short_idle_time_sets_no_low_limit() -> None:
    """With little traffic, any missing response led to closing nearly every connection before each send."""
    kind = query_class(aim=4.0, deadline=9.0)
    host = Host(BASE._replace(query_classes=(kind,), max_attempts=2), replicas=3)
    host.warm_up()
    for known_replica in host.engine.membership.replicas.values():
        known_replica.last_sent_at = host.now - 0.3
    host.query(0)
    host.wait(0.5)  # no response
    log_length = len(host.log)
    for _ in range(6):
        part = part_of(host, host.query(0))
        host.wait(0.05)
        host.finish(part)
        host.wait(0.45)
    assert sends(host.log[log_length:]) and not [
        a for a in host.log[log_length:] if isinstance(a, api.CloseIdle)
    ]


def test_an_unresponsive_replica_is_sent_to_on_a_new_connection_once() -> None:
    """Stalled connections were used again and again, and their replicas stayed ejected."""
    host = Host(replicas=1)
    host.warm_up()
    part = part_of(host, host.query(0))
    host.wait(0.5)  # no response
    log_length = len(host.log)
    host.query(0)
    host.query(0)
    assert len([a for a in host.log[log_length:] if isinstance(a, api.CloseIdle)]) == 1
    host.finish(part)  # answered after all
    log_length = len(host.log)
    host.query(0)
    assert not [a for a in host.log[log_length:] if isinstance(a, api.CloseIdle)]
