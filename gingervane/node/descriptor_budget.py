"""How the node divides its file descriptors between replicas and clients."""

from __future__ import annotations

from typing import NamedTuple

from gingervane.fronts.connections import MAX_CLOSING
from gingervane.node.replica_connections import SPARE_DESCRIPTORS

OWN_DESCRIPTORS = 24  # the listener, discovery, datagrams, epoll, standard streams, and some to spare


class DescriptorBudget(NamedTuple):
    """Bounds on connections that add up to the limit on descriptors, with those at their end and the node's own.

    `client_soft_limit`: connections of clients beyond which quiet ones may be closed.
    """

    replica_connections: int
    client_connections: int
    client_soft_limit: int


def divide_descriptors(descriptors: int) -> DescriptorBudget:
    """Give half to replicas and half to clients, who need no more than a third of theirs for requests."""
    replicas = max(descriptors // 2 - OWN_DESCRIPTORS - SPARE_DESCRIPTORS, 1)
    clients = max(descriptors - replicas - SPARE_DESCRIPTORS - OWN_DESCRIPTORS - MAX_CLOSING, 1)
    half_of_request_share = descriptors // 6
    return DescriptorBudget(replicas, clients, half_of_request_share)
