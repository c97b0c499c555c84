"""Parsing the entries of discovery's endpoint lists."""

from __future__ import annotations

import pytest
from node_tools import served, tell
from platform_fakes import (
    Platform,
    Recorded,
    host,
)

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.node.endpoint_list import EndpointListReader, replica_id


def test_replicas_have_the_same_numbers_everywhere_and_bad_entries_are_skipped() -> None:
    said = Recorded()
    good = {
        "host": "s-1",
        "dial": "127.0.0.1:80",
        "site": "b",
        "block": 2,
        "health": "DRAINING",
        "born_ms": 5000,
    }
    reader = EndpointListReader(("a", "b"), ReplicaStartTimes(lambda: 20.0, lambda: 120.0), said)
    hosts = [good, {"host": "s-2"}, good | {"health": "ODD"}, 7]
    listed = reader.read({"seq": 4, "whole": True, "hosts": hosts})
    assert listed and len(said.named("endpoint_invalid")) == 3
    (found,) = listed.membership.replicas
    assert found == api.Replica(replica_id("s-1"), 2, 1, 1.0, api.ReplicaState.DRAINING, -95.0)
    assert reader.read({"seq": 4, "whole": False, "hosts": [good]}) is None, "a stale change was applied"


TOO_LONG = "127.0.0.1:" + "9" * 5000


ODD_DIALS = ("s-new:80", "[::1]:80", "127.1:80", "\0:80", TOO_LONG, "1.2.3.4:\u0661", 7, None)


@pytest.mark.parametrize("dial", ODD_DIALS, ids=range(len(ODD_DIALS)))
def test_a_replica_whose_address_cannot_be_one_is_skipped_and_the_others_go_on(
    platform: Platform,
    dial: object,
) -> None:
    """Guards against a host name as address: resolving it ended the decision thread, and all queries failed."""
    tell(platform, *[host(r) | {"host": f"odd-{r.port}", "dial": dial} for r in platform.replicas])
    for number in range(20):
        served(platform.ask(f"q{number}", {0: 1.0}), f"q{number}", 0)
    assert not platform.node.core.broken.is_set()


@pytest.mark.parametrize("last", ["SERVING", "DRAINING", "DELETED"])
@pytest.mark.parametrize("first", ["SERVING", "DRAINING", "DELETED"])
def test_of_a_replica_that_stands_twice_in_a_change_the_last_word_counts(
    platform: Platform,
    first: str,
    last: str,
) -> None:
    """A replica deleted and listed again in the same change had no address, which ended the decision thread."""
    again, other = platform.replicas
    back = last == "SERVING"
    tell(
        platform,
        host(again, health=first),
        host(other, health="DRAINING" if back else "SERVING"),
        host(again, health=last),
    )
    for number in range(20):
        served(platform.ask(f"q{number}", {0: 1.0}), f"q{number}", 0)
    assert len(again.parts.items) == (20 if back else 0) and not platform.node.core.broken.is_set()
