"""A node with the least memory and the most descriptors of the platform, beside clients that misuse it.

The bound is the limit of its configuration; the platform ends a process that passes it.
"""

from __future__ import annotations

import pytest
from faults.memory_runs import LEAST_MEMORY_MB, measure

CONNECTIONS = 330
SECONDS = 3.0


# Guards against buffers and threads that grow with the number of connections and not with the memory limit.
@pytest.mark.parametrize(
    "kinds",
    [
        "first-byte",
        "fields-in-pieces",
        "stopped-body",
        "slow-body",
        "stop-and-go+stopped-body+slow-body",
        "large-requests",
        "tiny-chunks",
        "unread-replies",
        "repeated-ids",
    ],
)
def test_a_node_stays_below_its_memory_limit_beside_a_crowd(kinds: str) -> None:
    run = measure(kinds.split("+"), CONNECTIONS, SECONDS)
    assert run.exit_status is None and run.peak <= LEAST_MEMORY_MB, str(run)
    assert set(run.statuses) == {200}, str(run)
