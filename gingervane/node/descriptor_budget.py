"""Divides the node's file descriptors between replica connections and client connections."""

from __future__ import annotations

from typing import NamedTuple

from gingervane.fronts.connection_table import MAX_CLOSING
from gingervane.node.replica_connections import SPARE_DESCRIPTORS

OWN_DESCRIPTORS = 24  # the listener, discovery, datagrams, epoll, standard streams and a reserve


class DescriptorBudget(NamedTuple):
    """Limits on connections; with closing connections and the node's own descriptors they add up to the total.

    `client_soft_limit`: number of client connections beyond which idle ones may be closed.
    """

    replica_connections: int
    client_connections: int
    client_soft_limit: int


def divide_descriptors(descriptors: int) -> DescriptorBudget:
    """Give half of the descriptors to replicas and half to clients.

    Requests need at most a third of the clients' half; idle client connections beyond that may be closed.
    """
    replicas = max(descriptors // 2 - OWN_DESCRIPTORS - SPARE_DESCRIPTORS, 1)
    clients = max(descriptors - replicas - SPARE_DESCRIPTORS - OWN_DESCRIPTORS - MAX_CLOSING, 1)
    third_of_client_half = descriptors // 6
    return DescriptorBudget(replicas, clients, third_of_client_half)
