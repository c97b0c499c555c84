"""The vector side of one co-ordinator, put together from its settings."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from gingervane.coordinator.core import QueryCoordinator, CoordinatorFactory, QueryObserver
from gingervane.writes.missed_writes import RepairBudget
from gingervane.writes.replicated_shards import IdempotencySettings, ReplicatedShards, ReplicationSettings
from gingervane.settings.daemon_settings import Config
from gingervane.fronts.routing import ClassOf
from gingervane.limits.concurrency_limit import Gate
from gingervane.membership.service import MembershipService, Rings
from gingervane.vectors.front import VectorFront
from gingervane.vectors.request_context import VectorFrontSettings
from gingervane.vectors.points import Collection
from gingervane.vectors.requests import RequestLimits
from gingervane.vectors.replica_client import VectorReplicaClient


class VectorService:
    """A front over a ring of vector nodes, with a list of its own."""

    def __init__(
        self,
        config: Config,
        classes: dict[str, ClassOf],
        cores: CoordinatorFactory,
        observer: Callable[[str], QueryObserver],
        address: tuple[str, int],
        complain: Callable[[str], None],
        gate: Gate,
    ) -> None:
        """`observer` of a core by its name. Raises OSError if the intent log cannot be used."""
        table = config.vectors
        assert table is not None
        collections = {c.name: Collection(c.name, c.dims, c.distance) for c in table.collections}
        window = next(c.repeat_window or 0.0 for c in config.classes if c.name == table.upsert_class)
        lenient = tuple(kind.lenient for kind in classes.values())
        self.shards = ReplicatedShards(
            ReplicationSettings(tuple(collections), table.cells, table.width, table.quorum, lenient),
            IdempotencySettings(
                window,
                max(table.keep_keys, 2 * window),
                table.most_keys,
                table.intents,
                zlib.crc32(f"{address}".encode()),
            ),
            RepairBudget(table.repair_rate, 2 * table.repair_rate, table.repair_sweep),
            config.module_settings(),
            VectorReplicaClient(cores.pool),
            lambda settings, seen: cores.make(settings, seen, 7),
            observer,
            complain,
            classes,
        )
        setting = VectorFrontSettings(
            collections,
            table.cells,
            table.width,
            table.quorum,
            table.search_class,
            table.upsert_class,
            table.add_class,
            RequestLimits(table.max_k, table.max_points, table.max_searches),
        )
        self.front = VectorFront(self.shards.reads, self.shards.writes, setting, classes, gate)
        self.membership = MembershipService(
            table.membership,
            config.fleet,
            None,
            Rings(table.cells),
            address,
            self.shards.endpoints_updated,
            lambda listed: None,
            complain,
            random.Random(),
        )

    @property
    def cores(self) -> list[QueryCoordinator]:
        return self.shards.cores

    def start(self) -> None:
        """Raises ListError if the list cannot be read and nothing stands in for it."""
        self.shards.start()
        self.membership.start()
        self.shards.start_repair()

    def stop(self) -> None:
        """Ends what is not a core: those are stopped with the daemon's others."""
        self.membership.stop()
        self.shards.stop()

    def close(self) -> None:
        """After the cores have ended."""
        self.shards.close()

    def metrics(self) -> dict[str, float]:
        found = {f"vector_{name}": float(value) for name, value in self.front.counts.items()}
        return found | {f"vector_{name}": value for name, value in self.shards.repairer.metrics().items()}
