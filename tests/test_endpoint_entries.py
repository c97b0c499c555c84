"""Parsing the entries of discovery's endpoint lists."""

from __future__ import annotations

import pytest
from node_tools import apply_discovery_change, assert_served
from platform_fakes import (
    Platform,
    RecordedLog,
    host,
)

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.node.endpoint_list import EndpointListReader, replica_id


def test_replica_ids_come_from_host_names_and_invalid_entries_are_skipped() -> None:
    log = RecordedLog()
    good = {
        "host": "s-1",
        "dial": "127.0.0.1:80",
        "site": "b",
        "block": 2,
        "health": "DRAINING",
        "born_ms": 5000,
    }
    reader = EndpointListReader(("a", "b"), ReplicaStartTimes(lambda: 20.0, lambda: 120.0), log)
    hosts = [good, {"host": "s-2"}, good | {"health": "ODD"}, 7]
    listed = reader.read({"seq": 4, "whole": True, "hosts": hosts})
    assert listed and len(log.named("endpoint_invalid")) == 3
    (parsed,) = listed.membership.replicas
    assert parsed == api.Replica(replica_id("s-1"), 2, 1, 1.0, api.ReplicaState.DRAINING, -95.0)
    assert reader.read({"seq": 4, "whole": False, "hosts": [good]}) is None, "a stale change was applied"


TOO_LONG = "127.0.0.1:" + "9" * 5000


INVALID_ADDRESSES = ("s-new:80", "[::1]:80", "127.1:80", "\0:80", TOO_LONG, "1.2.3.4:\u0661", 7, None)


@pytest.mark.parametrize("dial", INVALID_ADDRESSES, ids=range(len(INVALID_ADDRESSES)))
def test_a_replica_with_an_invalid_address_is_skipped(
    platform: Platform,
    dial: object,
) -> None:
    """Guards against a host name as address: resolving it ended the decision thread, and all queries
    failed."""
    apply_discovery_change(
        platform, *[host(r) | {"host": f"odd-{r.port}", "dial": dial} for r in platform.replicas]
    )
    for number in range(20):
        assert_served(platform.ask(f"q{number}", {0: 1.0}), f"q{number}", 0)
    assert not platform.node.core.broken.is_set()


@pytest.mark.parametrize("last", ["SERVING", "DRAINING", "DELETED"])
@pytest.mark.parametrize("first", ["SERVING", "DRAINING", "DELETED"])
def test_the_last_of_two_entries_for_a_replica_counts(
    platform: Platform,
    first: str,
    last: str,
) -> None:
    """A replica deleted and listed again in the same change had no address, which ended the decision
    thread."""
    changed_replica, other = platform.replicas
    is_serving = last == "SERVING"
    apply_discovery_change(
        platform,
        host(changed_replica, health=first),
        host(other, health="DRAINING" if is_serving else "SERVING"),
        host(changed_replica, health=last),
    )
    for number in range(20):
        assert_served(platform.ask(f"q{number}", {0: 1.0}), f"q{number}", 0)
    assert (
        len(changed_replica.parts.items) == (20 if is_serving else 0)
        and not platform.node.core.broken.is_set()
    )
