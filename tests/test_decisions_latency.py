"""Which latencies the estimates are based on."""

from __future__ import annotations

from decision_helpers import part_of
from hosts import Host


def test_latency_is_measured_from_the_first_send() -> None:
    """A successful hedge must not make the class look fast: the cancelled attempt belongs to the tail."""
    host = Host()
    host.warm_up()
    before = max(host.engine.latency.samples[0])
    for _ in range(20):
        part = part_of(host, host.query(0))
        host.wait(0.15)
        host.finish(part, attempt=len(host.sends[part]) - 1)
        host.wait(2.0)
    assert max(host.engine.latency.samples[0]) >= 0.15 > before


def test_rescued_parts_do_not_raise_the_hedge_delay() -> None:
    """Where a third of the parts got no response, each rescue raised the hedge delay of the next part."""
    host = Host(replicas=6)
    host.warm_up(100)
    for _ in range(40):
        part = part_of(host, host.query(0))
        host.wait(0.3)
        if len(host.sends[part]) == 2:
            host.wait(0.1)
            host.finish(part, attempt=1)
        host.wait(3.0)
    kind = host.engine.settings.query_classes[0]
    ranked = sorted(host.engine.latency.samples[0])
    assert ranked[int(0.95 * (len(ranked) - 1))] <= 0.31 < kind.latency_objective
