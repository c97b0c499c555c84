"""What simulated time takes for granted of processors, networks and lists besides the scenario."""

from __future__ import annotations

from typing import NamedTuple


class ProcessingCosts(NamedTuple):
    """Seconds of processor, fitted to the throughput of the daemon on sockets (`docs/results/coordinator.md`)."""

    query: float = 0.00045  # reading, merging and writing of a query, without its parts
    part: float = 0.00025  # the same for each part
    call: float = 0.00012  # sending a batch request and reading its reply
    batch: float = 0.00005  # a batch of decisions
    input: float = 0.00004  # each input of one


class Network(NamedTuple):
    """Seconds one way."""

    delay: float = 0.0002


class Assumptions(NamedTuple):
    """What a world assumes.

    `list_delay` is the time in seconds until a co-ordinator has read a changed list, and as much again at random.
    """

    net: Network = Network()
    costs: ProcessingCosts = ProcessingCosts()
    list_delay: float = 0.03
