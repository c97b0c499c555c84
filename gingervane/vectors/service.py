"""Assembly of the vector front and its coordinators from the settings of the daemon."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from gingervane.coordinator import types as t
from gingervane.coordinator.core import CoordinatorFactory, QueryCoordinator
from gingervane.coordinator.ports import QueryObserver
from gingervane.fronts.routing import FrontQueryClass
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.membership.service import MembershipService, RingSizes
from gingervane.settings.daemon_settings import Config
from gingervane.settings.tables import Vectors
from gingervane.vectors.front import VectorFront
from gingervane.vectors.points import Collection
from gingervane.vectors.replica_client import VectorReplicaClient
from gingervane.vectors.request_context import VectorFrontSettings
from gingervane.vectors.requests import RequestLimits
from gingervane.writes.missed_writes import RepairBudget
from gingervane.writes.replicated_shards import IdempotencySettings, ReplicatedShards, ReplicationSettings

_SEED_OFFSET = (
    7  # keeps the seeds of these decision engines apart from those of the daemon's other coordinators
)


class VectorService:
    """The vector front over a ring of vector nodes, with its own endpoint list."""

    def __init__(
        self,
        config: Config,
        classes: dict[str, FrontQueryClass],
        coordinators: CoordinatorFactory,
        make_observer: Callable[[str], QueryObserver],
        address: tuple[str, int],
        report_fault: Callable[[str], None],
        gate: ConcurrencyLimit,
    ) -> None:
        """`make_observer` is called with a coordinator's name; `address` is the address of this process.

        Raises OSError if the write-ahead log cannot be used.
        """
        table = config.vectors
        assert table is not None
        collections = {
            collection.name: Collection(collection.name, collection.dims, collection.distance)
            for collection in table.collections
        }
        self.shards = ReplicatedShards(
            _replication_settings(table, tuple(collections), classes),
            _idempotency_settings(config, table, address),
            RepairBudget(table.repair_rate, 2 * table.repair_rate, table.repair_sweep),
            config.module_settings(),
            VectorReplicaClient(coordinators.pool),
            lambda settings, own_observer: coordinators.make(settings, own_observer, _SEED_OFFSET),
            make_observer,
            report_fault,
            classes,
        )
        settings = _front_settings(table, collections)
        self.front = VectorFront(self.shards.reads, self.shards.writes, settings, classes, gate)
        self.membership = self._make_membership(config, table, address, report_fault)

    def _make_membership(
        self,
        config: Config,
        table: Vectors,
        address: tuple[str, int],
        report_fault: Callable[[str], None],
    ) -> MembershipService:
        return MembershipService(
            table.membership,
            config.fleet,
            None,
            RingSizes(table.cells),
            address,
            self.shards.endpoints_updated,
            _ignore_peers,
            report_fault,
            random.Random(),
        )

    @property
    def cores(self) -> list[QueryCoordinator]:
        """The coordinator of searches, then that of writes."""
        return self.shards.cores

    def start(self) -> None:
        """Start the coordinators, the membership service and the repairer.

        Raises ListError if the endpoint list cannot be read and there is no substitute for it.
        """
        self.shards.start()
        self.membership.start()
        self.shards.start_repair()

    def stop(self) -> None:
        """Stop the membership service and the repairer. The daemon stops the coordinators."""
        self.membership.stop()
        self.shards.stop()

    def close(self) -> None:
        """Close the write-ahead log. Called after the coordinators have stopped."""
        self.shards.close()

    def metrics(self) -> dict[str, float]:
        """Return values by metric name."""
        counts = {f"vector_{name}": float(value) for name, value in self.front.counts.items()}
        repair = {f"vector_{name}": value for name, value in self.shards.repairer.metrics().items()}
        return counts | repair


def _replication_settings(
    table: Vectors, collections: tuple[str, ...], classes: dict[str, FrontQueryClass]
) -> ReplicationSettings:
    return ReplicationSettings(
        collections,
        table.cells,
        table.width,
        table.quorum,
        tuple(query_class.partial_class for query_class in classes.values()),
    )


def _idempotency_settings(config: Config, table: Vectors, address: tuple[str, int]) -> IdempotencySettings:
    window = next(
        query_class.repeat_window or 0.0
        for query_class in config.classes
        if query_class.name == table.upsert_class
    )
    return IdempotencySettings(
        window,
        max(table.keep_keys, 2 * window),
        table.most_keys,
        table.intents,
        zlib.crc32(f"{address}".encode()),
    )


def _front_settings(table: Vectors, collections: dict[str, Collection]) -> VectorFrontSettings:
    return VectorFrontSettings(
        collections,
        table.cells,
        table.width,
        table.quorum,
        table.search_class,
        table.upsert_class,
        table.add_class,
        RequestLimits(table.max_k, table.max_points, table.max_searches),
    )


def _ignore_peers(_update: t.EndpointsUpdated) -> None:
    """Ignore the list of peers, which the vector front does not use."""
