"""The vector side of one co-ordinator, put together from its settings."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from gingervane.coordinator.core import QueryCoordinator, CoordinatorFactory, QueryObserver
from gingervane.writes.missed_writes import Budget
from gingervane.writes.replicated_shards import Keys, Replicated, Ring
from gingervane.settings.daemon_settings import Config
from gingervane.fronts.routing import ClassOf
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.membership.service import MembershipService, Rings
from gingervane.vectors.front import VectorFront, VectorSetting
from gingervane.vectors.points import Bounds as PointBounds
from gingervane.vectors.points import Collection
from gingervane.vectors.replica_client import NodeRemote


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
        gate: ConcurrencyLimit,
    ) -> None:
        """`observer` of a core by its name. Raises OSError if the intent log cannot be used."""
        table = config.vectors
        assert table is not None
        collections = {c.name: Collection(c.name, c.dims, c.distance) for c in table.collections}
        window = next(c.repeat_window or 0.0 for c in config.classes if c.name == table.upsert_class)
        lenient = tuple(kind.lenient for kind in classes.values())
        self.ring = Replicated(
            Ring(tuple(collections), table.cells, table.width, table.quorum, lenient),
            Keys(
                window,
                max(table.keep_keys, 2 * window),
                table.most_keys,
                table.intents,
                zlib.crc32(f"{address}".encode()),
            ),
            Budget(table.repair_rate, 2 * table.repair_rate, table.repair_sweep),
            config.module_settings(),
            NodeRemote(cores.pool),
            lambda settings, seen: cores.make(settings, seen, 7),
            observer,
            complain,
            classes,
        )
        setting = VectorSetting(
            collections,
            table.cells,
            table.width,
            table.quorum,
            table.search_class,
            table.upsert_class,
            table.add_class,
            PointBounds(table.max_k, table.max_points, table.max_searches),
        )
        self.front = VectorFront(self.ring.reads, self.ring.writes, setting, classes, gate)
        self.membership = MembershipService(
            table.membership,
            config.fleet,
            None,
            Rings(table.cells),
            address,
            self.ring.listed,
            lambda listed: None,
            complain,
            random.Random(),
        )

    @property
    def cores(self) -> list[QueryCoordinator]:
        return self.ring.cores

    def start(self) -> None:
        """Raises ListError if the list cannot be read and nothing stands in for it."""
        self.ring.start()
        self.membership.start()
        self.ring.repair()

    def stop(self) -> None:
        """Ends what is not a core: those are stopped with the daemon's others."""
        self.membership.stop()
        self.ring.stop()

    def close(self) -> None:
        """After the cores have ended."""
        self.ring.close()

    def figures(self) -> dict[str, float]:
        found = {f"vector_{name}": float(value) for name, value in self.front.counts.items()}
        return found | {f"vector_{name}": value for name, value in self.ring.repairer.figures().items()}
