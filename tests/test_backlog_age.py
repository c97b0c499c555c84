"""The earliest time at which a connection may have arrived in the backlog."""

from __future__ import annotations

from gingervane.fronts.backlog_age import BacklogAge


# Guards against connections that waited in the backlog and are dated when they are accepted.
def test_connections_are_as_old_as_the_event_since_the_backlog_was_empty() -> None:
    backlog = BacklogAge(4)
    backlog.begin_turn(10.0)
    assert backlog.record_accept(12.0) == 10.0
    backlog.begin_turn(13.0)  # it was not emptied in between
    assert backlog.record_accept(14.0) == 10.0
    backlog.mark_empty()
    backlog.begin_turn(20.0)
    assert backlog.record_accept(20.5) == 20.0


# Guards against a backlog that is never empty, behind which each connection would count as old as the flood.
def test_a_connection_is_not_older_than_the_backlog_is_long() -> None:
    backlog = BacklogAge(2)
    backlog.begin_turn(10.0)
    ages = [
        accepted_at - backlog.record_accept(accepted_at) for accepted_at in (11.0, 12.0, 13.0, 14.0, 15.0)
    ]
    assert ages == [1.0, 2.0, 3.0, 3.0, 3.0]
