"""Start times of replicas on the monotonic clock, with a wall clock that steps before or after the start."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import LISTING_LAG, ReplicaStartTimes
from gingervane.membership.view import EndpointView, Member

HOUR = 3600.0


class Clocks:
    """Clocks of a machine: true Unix time is the monotonic time plus 1e9, the wall clock is `ahead` of it."""

    def __init__(self, ahead: float = 0.0) -> None:
        self.now, self.ahead = 1000.0, ahead
        self.starts = ReplicaStartTimes(lambda: self.now, lambda: 1e9 + self.now + self.ahead)

    def place(self, cached: bool = False, **starts: float) -> dict[str, float]:
        """Place start times that are given on the monotonic clock; 0 stands for an unknown one."""
        placed = self.starts.place({ord(k): 1e9 + at if at else 0.0 for k, at in starts.items()}, cached)
        return {chr(number): at for number, at in placed.items()}


def test_a_correct_wall_clock_gives_correct_start_times() -> None:
    clocks = Clocks()
    assert clocks.place(a=990.0, b=0.0) == pytest.approx({"a": 990.0, "b": 0.0})
    clocks.now = 1010.0
    clocks.starts.message_received()
    clocks.now = 1012.0
    assert clocks.place(c=1010.5) == pytest.approx({"c": 1010.5}) and not clocks.starts.corrections


@pytest.mark.parametrize("ahead", [-HOUR, -5.0, HOUR, 20.0])
def test_a_start_time_listed_later_is_never_placed_far_too_early(ahead: float) -> None:
    """The wall clock is wrong from before the process began: a restart must not make a replica look warm."""
    clocks = Clocks(ahead)
    clocks.place(a=500.0, b=800.0)
    clocks.now = 1030.0
    clocks.starts.message_received()
    clocks.now = 1032.0
    (placed,) = clocks.place(c=1031.0).values()
    assert 1031.0 - LISTING_LAG <= placed <= 1032.0
    clocks.now = 1034.0
    (placed,) = clocks.place(a=1033.0).values()  # a known replica with a new start time
    assert 1033.0 - LISTING_LAG <= placed <= 1034.0
    assert clocks.starts.corrections


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_a_clock_step_after_the_start_moves_no_known_start_time(step: float) -> None:
    clocks = Clocks()
    before = clocks.place(a=995.0, b=400.0)
    clocks.now, clocks.ahead = 1001.0, step
    assert clocks.place(a=995.0, b=400.0) == before
    clocks.now = 1003.0
    (placed,) = clocks.place(c=1002.0).values()
    assert 1002.0 - LISTING_LAG <= placed <= 1003.0


def test_a_start_time_in_the_future_corrects_all_start_times() -> None:
    clocks = Clocks(ahead=-HOUR)
    start_times = clocks.place(a=999.0, b=900.0)
    assert start_times["a"] == pytest.approx(1000.0) and start_times["b"] == pytest.approx(901.0)


def test_a_cached_list_does_not_bound_start_times_in_the_next_one() -> None:
    """A replica that started long after the cached list and long before this process is warm."""
    clocks = Clocks()
    clocks.place(cached=True, a=100.0)
    clocks.starts.message_received()
    assert clocks.place(a=100.0, b=600.0) == pytest.approx({"a": 100.0, "b": 600.0})
    assert not clocks.starts.corrections


def test_a_replica_listed_again_without_a_restart_keeps_its_start_time() -> None:
    clocks = Clocks()
    clocks.place(a=100.0, b=200.0)
    clocks.now = 1100.0
    clocks.place(b=200.0)  # a is removed
    clocks.now = 1200.0
    assert clocks.place(a=100.0) == pytest.approx({"a": 100.0}) and not clocks.starts.corrections


def test_a_replica_first_listed_after_an_outage_may_have_started_during_it() -> None:
    clocks = Clocks()
    clocks.place(a=100.0)
    clocks.now = 1060.0  # no data for a minute
    assert clocks.place(b=1010.0) == pytest.approx({"b": 1010.0})


EVENTS = st.tuples(st.floats(0.1, 5.0), st.floats(0.0, LISTING_LAG - 0.1), st.floats(-1e4, 1e4))


@given(st.lists(EVENTS, max_size=20))
def test_no_clock_step_places_a_restart_too_early_by_more_than_the_lag(
    events: list[tuple[float, float, float]],
) -> None:
    """Each event: seconds since the last one, seconds since the replica started, a step of the wall clock."""
    clocks = Clocks()
    clocks.place(z=50.0)
    for number, (gap, lag, step) in enumerate(events):
        clocks.now += gap
        clocks.ahead += step
        clocks.starts.message_received()
        started = clocks.now - lag
        (placed,) = clocks.starts.place({number: 1e9 + started}).values()
        assert started - LISTING_LAG - 1e-3 <= placed <= clocks.now


def test_a_listed_restart_is_not_placed_before_the_previous_list() -> None:
    """The same for lists from files and catalogues: a changed start time, and one in the future."""
    old = Member(1, "a", ("127.0.0.1", 1), 0, 0, api.ReplicaState.READY, 100.0)
    view = EndpointView()
    view.apply_full_list((old,), 1000.0)
    for started, now, placed in (
        (-2600.0, 1050.0, 1050.0),
        (4700.0, 1060.0, 1060.0),
        (1058.0, 1061.0, 1058.0),
    ):
        listed = view.apply_full_list((old._replace(started_at=started),), now)
        assert listed and listed.membership.replicas[0].started_at == placed
    new = old._replace(id=2, started_at=200.0)
    listed = view.apply_full_list((old, new), 1070.0)
    assert listed and listed.membership.replicas[1].started_at == 200.0, "listed late, and warm"
