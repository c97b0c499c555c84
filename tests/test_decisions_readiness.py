"""When a co-ordinator that has started is reported as ready, and what it does with queries before that."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica
from hypothesis import example, given
from hypothesis import strategies as st

from gingervane import interface as api
from gingervane.decisions.readiness import CACHED_LIST_AGE, FIRST_LIST_TIMEOUT, UNREACHED_TIMEOUT
from gingervane.decisions.watch_options import WatchOptions

REPORTING = WatchOptions(parallel_calls=3, reports_readiness=True, pushed_on_request=True)
READY = api.AcceptQueries()
DRAIN_GRACE = 0.5  # seconds
# Platform: seconds within which nine in ten restarted co-ordinators, and all of them, are ready.
MOST_READY_WITHIN, ALL_READY_WITHIN = 10.0, 30.0
ACCEPTED, NOT_ACCEPTED = api.DiscoveryContactChanged(True), api.DiscoveryContactChanged(False)


def started_host(polled: bool, watch_options: WatchOptions = REPORTING, coordinators: int = 3) -> Host:
    """A host with a cached list of the replicas 10, 11 and 12, and without a list from discovery."""
    settings = BASE._replace(
        membership_polled=polled, drain_grace=DRAIN_GRACE, coordinator_count=coordinators
    )
    return Host(settings, watch_options=watch_options)


def is_ready(host: Host) -> bool:
    return READY in host.log


# Guards against parts for a replica that was removed before the start: it counts as notified at once.
def test_where_lists_are_pushed_the_first_list_makes_a_co_ordinator_ready() -> None:
    host = started_host(polled=False)
    assert READY not in host.log
    host.update_membership(api.MembershipUpdateKind.FAILED)
    assert READY not in host.log
    host.update_membership(api.MembershipUpdateKind.DELTA)
    assert host.log.count(READY) == 1
    host.update_membership(api.MembershipUpdateKind.DELTA)
    host.wait(2 * FIRST_LIST_TIMEOUT)
    assert host.log.count(READY) == 1


# Guards against a node that stays away for as long as discovery does, though its list is as current as any.
def test_a_co_ordinator_that_discovery_does_not_accept_is_ready_on_its_cached_list() -> None:
    host = started_host(polled=False)
    host.wait(UNREACHED_TIMEOUT - 0.1)
    assert READY not in host.log
    assert api.WatchMembership() in host.wait(0.2), "what discovery has at its return counts at once"
    assert host.log.count(READY) == 1
    [ready] = [action for action in host.log if isinstance(action, api.AcceptQueries)]
    assert ready.cached_list_age == pytest.approx(CACHED_LIST_AGE + UNREACHED_TIMEOUT)


# Guards against a node that is ready on an old list while a slow discovery has accepted its call (review/10).
def test_while_discovery_has_accepted_a_call_a_co_ordinator_waits_for_the_list() -> None:
    host = started_host(polled=False)
    host.feed(ACCEPTED)
    host.wait(FIRST_LIST_TIMEOUT - 0.1)
    assert not is_ready(host)
    host.update_membership(api.MembershipUpdateKind.DELTA)
    assert is_ready(host)


# Guards against a node that a silent discovery keeps away for longer than the platform allows.
def test_a_co_ordinator_is_ready_in_time_although_its_calls_are_never_answered() -> None:
    host = started_host(polled=False)
    host.feed(ACCEPTED)
    host.wait(FIRST_LIST_TIMEOUT + 0.1)
    assert host.log.count(READY) == 1


# Guards against a crowded discovery that is taken to be down as its calls end in a reset after a long wait.
def test_time_in_which_an_accepted_call_waits_does_not_count_as_unreached() -> None:
    host = started_host(polled=False)
    for _ in range(4):
        host.wait(1.0)
        host.feed(ACCEPTED)
        host.wait(3.0)
        host.feed(NOT_ACCEPTED)
    assert not is_ready(host)
    host.wait(UNREACHED_TIMEOUT - 4.0 + 0.1)
    assert is_ready(host)


# Guards against a node that counts the outage of the old address against discovery at the new one.
def test_a_change_of_address_starts_the_wait_for_an_accepted_call_again() -> None:
    host = started_host(polled=False)
    host.wait(UNREACHED_TIMEOUT - 0.1)
    host.feed(api.DiscoveryAddressChanged(UNREACHED_TIMEOUT - 0.1))
    host.wait(UNREACHED_TIMEOUT - 0.1)
    assert not is_ready(host)
    host.wait(0.2)
    assert host.log.count(READY) == 1


# Guards against queries on connections that clients opened early, which were sent by the old list.
def test_where_lists_are_pushed_queries_before_the_first_list_are_rejected_at_once() -> None:
    host = started_host(polled=False)
    early = host.query(0)
    assert isinstance(host.ended[early], api.Reject) and not host.sends[part_of(host, early)]
    host.update_membership(api.MembershipUpdateKind.FULL, replica(11))
    assert host.where(part_of(host, host.query(0))) == 11


def test_where_lists_are_asked_for_a_co_ordinator_is_ready_at_once() -> None:
    host = started_host(polled=True)
    assert host.log.count(READY) == 1
    assert host.sends[part_of(host, host.query(0))]


def test_hosts_that_do_not_ask_for_it_are_not_told() -> None:
    host = started_host(polled=False, watch_options=WatchOptions())
    assert host.sends[part_of(host, host.query(0))], "nor are their queries rejected"
    host.update_membership(api.MembershipUpdateKind.DELTA)
    assert READY not in host.log


# Guards against calls that keep a crowded discovery crowded: 48 in 13 s, three of them waiting at once.
@pytest.mark.parametrize("coordinators", [1, 40, 200])
def test_calls_for_the_first_list_become_less_frequent(coordinators: int) -> None:
    host = started_host(polled=False, coordinators=coordinators)
    host.feed(ACCEPTED)
    host.wait(13.0)
    assert 4 <= host.log.count(api.WatchMembership()) <= 9


class Step(NamedTuple):
    """A report of the host, after which `seconds` pass."""

    report: str
    seconds: float


REPORTS: dict[str, api.Event] = {
    "accepted": ACCEPTED,
    "not accepted": NOT_ACCEPTED,
    "failed": api.MembershipChanged(api.MembershipUpdateKind.FAILED, ()),
    "moved": api.DiscoveryAddressChanged(1.0),
    "list": api.MembershipChanged(api.MembershipUpdateKind.FULL, (replica(11), replica(12))),
}
STEPS = st.builds(Step, st.sampled_from([*REPORTS]), st.sampled_from([0.0, 0.3, 1.0, 2.5, 4.9, 7.0]))


class Start:
    """A start of which the reports are drawn; what is true of discovery is kept apart from the engine."""

    def __init__(self) -> None:
        self.host = started_host(polled=False)
        self.started_at = self.host.now
        self.has_list = False
        self.unreached = 0.0  # seconds without an accepted call at the present address
        self._is_accepted = False

    @property
    def age(self) -> float:
        return self.host.now - self.started_at

    def take(self, step: Step) -> set[int]:
        """Take a step; return the replicas to which a query at its end is sent."""
        self.host.feed(REPORTS[step.report])
        self.has_list = self.has_list or step.report == "list"
        if step.report in ("accepted", "not accepted", "moved"):
            self._is_accepted = step.report == "accepted"
        if step.report == "moved":
            self.unreached = 0.0
        self.host.wait(step.seconds)
        self.unreached += 0.0 if self._is_accepted else step.seconds
        part = part_of(self.host, self.host.query(0))
        return {where for _, where in self.host.sends[part]}


# Guards against each way to serve on an old list while discovery is slow: late, cut, reset, moved (issue 73).
@given(steps=st.lists(STEPS, max_size=12))
@example(steps=[Step("accepted", 7.0), Step("list", 1.0)])
@example(steps=[Step("accepted", 4.9), Step("moved", 0.3), Step("accepted", 4.9), Step("list", 0.0)])
@example(steps=[Step("failed", 0.3), Step("failed", 1.0), Step("accepted", 2.5), Step("not accepted", 4.9)])
def test_an_old_list_is_used_only_in_an_outage_or_at_the_limit_of_the_platform(steps: list[Step]) -> None:
    start = Start()
    for step in steps:
        sent_to = start.take(step)
        assert bool(sent_to) == is_ready(start.host), "queries are rejected until it is ready"
        if start.has_list:
            assert sent_to and 10 not in sent_to, "10 was removed before the start"
        elif sent_to:
            assert start.unreached >= UNREACHED_TIMEOUT - 0.01 or start.age >= FIRST_LIST_TIMEOUT
            return
        else:
            assert start.unreached <= UNREACHED_TIMEOUT and start.age <= FIRST_LIST_TIMEOUT
    start.host.wait(ALL_READY_WITHIN - start.age)
    assert start.host.log.count(READY) == 1


# Guards against a node that stays away while nothing shows that discovery can be reached.
@given(steps=st.lists(STEPS.filter(lambda step: step.report in ("failed", "not accepted")), max_size=12))
def test_without_an_accepted_call_a_co_ordinator_is_ready_as_soon_as_most_have_to_be(
    steps: list[Step],
) -> None:
    start = Start()
    for step in steps:
        start.take(step)
    start.host.wait(max(MOST_READY_WITHIN - start.age, 0.0))
    assert start.host.log.count(READY) == 1
