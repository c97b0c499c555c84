"""Ids of requests: open, held after an effect that may not be repeated, and free again."""

from __future__ import annotations

from gingervane.node.request_ids import IdState, RequestIds


def test_an_id_is_held_only_after_a_request_that_may_have_run_and_may_not_be_repeated() -> None:
    for repeatable, may_have_run, state in (
        (False, True, IdState.HELD),
        (False, False, IdState.NEW),
        (True, True, IdState.NEW),
    ):
        ids = RequestIds()
        assert ids.begin("q", repeatable, 0.0) is IdState.NEW
        assert ids.begin("q", repeatable, 0.0) is IdState.OPEN
        ids.end("q", may_have_run, runs_until=1.0)
        assert ids.begin("q", repeatable, 9.0) is state


# Guards against a table that grows with the number of ids that clients invent.
def test_held_ids_are_bounded_and_the_oldest_that_can_no_longer_run_gives_way() -> None:
    ids = RequestIds(max_held=3)
    for number in range(3):
        assert ids.begin(f"q{number}", False, 0.0) is IdState.NEW
        ids.end(f"q{number}", True, runs_until=5.0 + number)
    assert ids.begin("q3", False, 4.0) is IdState.NO_ROOM
    assert ids.begin("safe", True, 4.0) is IdState.NEW
    assert ids.begin("q3", False, 5.0) is IdState.NEW
    assert ids.begin("q1", False, 5.0) is IdState.HELD
    assert ids.begin("q4", False, 5.0) is IdState.NO_ROOM
    ids.end("q3", False, runs_until=9.0)
    assert ids.begin("q4", False, 5.0) is IdState.NEW
    assert ids.held_count == 2


def test_a_million_ids_leave_a_bounded_table() -> None:
    ids = RequestIds()
    for number in range(1_000_000):
        assert ids.begin(str(number), False, float(number)) is IdState.NEW
        ids.end(str(number), True, number + 0.5)
    assert ids.held_count <= 4096
