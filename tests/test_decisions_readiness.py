"""When a co-ordinator that has started is reported as ready."""

from __future__ import annotations

from hosts import BASE, Host

from gingervane import interface as api
from gingervane.decisions.membership_watch import WatchOptions
from gingervane.decisions.readiness import FIRST_LIST_TIMEOUT

REPORTING = WatchOptions(reports_readiness=True, pushed_on_request=True)
READY = api.AcceptQueries()


def started_host(polled: bool, watch_options: WatchOptions = REPORTING) -> Host:
    """A host without a list from discovery."""
    settings = BASE._replace(membership_polled=polled, drain_grace=0.5)
    return Host(settings, watch_options=watch_options)


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


def test_without_a_list_a_co_ordinator_is_ready_after_some_time() -> None:
    host = started_host(polled=False)
    host.wait(FIRST_LIST_TIMEOUT - 0.1)
    assert READY not in host.log
    host.wait(0.2)
    assert host.log.count(READY) == 1


def test_where_lists_are_asked_for_a_co_ordinator_is_ready_at_once() -> None:
    assert started_host(polled=True).log.count(READY) == 1


def test_hosts_that_do_not_ask_for_it_are_not_told() -> None:
    host = started_host(polled=False, watch_options=WatchOptions())
    host.update_membership(api.MembershipUpdateKind.DELTA)
    assert READY not in host.log
