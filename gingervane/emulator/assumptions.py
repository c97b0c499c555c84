"""Parameters of the emulator that a scenario does not set: processing costs, network delay, list delay."""

from __future__ import annotations

from typing import NamedTuple


class ProcessingCosts(NamedTuple):
    """Seconds of processor time.

    They are fitted to the throughput of the daemon on sockets (`docs/results/coordinator.md`).
    """

    query: float = 0.00045  # reading, merging and writing a query, without its parts
    part: float = 0.00025  # reading, merging and writing each part of a query
    call: float = 0.00012  # sending a batch request and reading its reply
    batch: float = 0.00005  # a batch of decisions, without its inputs
    input: float = 0.00004  # each input of a batch of decisions


class Network(NamedTuple):
    """The modelled network."""

    delay: float = 0.0002  # seconds one way


class Assumptions(NamedTuple):
    """Parameters of a world.

    A co-ordinator reads a changed list after a random delay of one to two times `list_delay` seconds.
    """

    net: Network = Network()
    costs: ProcessingCosts = ProcessingCosts()
    list_delay: float = 0.03
