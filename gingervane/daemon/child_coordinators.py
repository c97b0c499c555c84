"""The child co-ordinators, which may take subtrees of this one's wide queries, and the core that queries them."""

from __future__ import annotations

from collections.abc import Mapping

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.core import CoordinatorFactory, QueryCoordinator
from gingervane.daemon.observers import SubtreeObserver
from gingervane.fronts.remote_read import TreeConfig
from gingervane.membership.view import Member
from gingervane.settings.daemon_settings import Config
from gingervane.settings.tables import Tree
from gingervane.telemetry.daemon_metrics import Metrics
from gingervane.tree import plan

_SEED_OFFSET = 1  # gives this core's decision engine another seed than that of the core for replicas


class ChildCoordinators:
    """A core with subtrees as its parts and co-ordinators as its replicas."""

    def __init__(self, config: Config, tree: Tree, cores: CoordinatorFactory, metrics: Metrics) -> None:
        self._own_name = tree.name
        self.peers = plan.PeerCoordinators({}, frozenset())  # replaced as a whole with each list
        self.core: QueryCoordinator = cores.make(
            config.subtree_settings(), SubtreeObserver(metrics), _SEED_OFFSET
        )
        limits = plan.TreeLimits(tree.fan_out, tree.levels, tree.ring, tree.width, tree.leaf_attempts)
        self.tree_config = TreeConfig(self.core, tree.name, limits, lambda: self.peers)

    def endpoints_updated(self, update: t.EndpointsUpdated, members: Mapping[int, Member]) -> None:
        """Apply an update of the co-ordinators. This co-ordinator itself counts as gone, so it gets no subtrees."""
        replicas = tuple(
            row._replace(state=api.ReplicaState.GONE) if self._is_own(members.get(row.id)) else row
            for row in update.membership.replicas
        )
        ready = frozenset(
            member.name
            for member in members.values()
            if member.state is api.ReplicaState.READY and not self._is_own(member)
        )
        self.peers = plan.PeerCoordinators({member.name: member.cell for member in members.values()}, ready)
        membership = update.membership._replace(replicas=replicas)
        self.core.endpoints_updated(update._replace(membership=membership))

    def _is_own(self, member: Member | None) -> bool:
        return member is not None and member.name == self._own_name
