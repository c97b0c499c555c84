"""Properties of the host's watch of the endpoint list: the node, the daemon and the simulator differ in them."""

from __future__ import annotations

from math import inf
from typing import NamedTuple


class WatchOptions(NamedTuple):
    """Properties of the host's watch of the endpoint list.

    `parallel_calls`: number of calls to discovery that can be waiting at once. `notified_within`: seconds after which
    a change counts as notified, received or not, from when discovery had it and could be reached.
    `pushed_on_request`: whether pushed lists, too, are received only after a request. `reports_readiness`: whether
    the host waits for `AcceptQueries` before it is reported as ready, and reports `DiscoveryContactChanged`.
    """

    parallel_calls: int = 1
    notified_within: float = inf
    pushed_on_request: bool = False
    reports_readiness: bool = False


DEFAULT_WATCH_OPTIONS = WatchOptions()
