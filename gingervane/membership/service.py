"""All that tells one co-ordinator of servers and of its peers, put together from its settings.

Sources of nodes: the list file, and each datacenter of Consul. Sources of co-ordinators: the list file, and their own
service in Consul, where this one registers itself. Each kind has one owner thread (`sources.Sources`).
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from gingervane.coordinator.types import EndpointsUpdated
from gingervane.settings.daemon_settings import ConsulTable, Fleet, Membership, Tree
from gingervane.membership.consul_polling import Backoff
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.endpoint_file import FileWatcher, EndpointFileError, EndpointLists
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.registration import ServiceEntry, Registrar
from gingervane.membership.source_owner import EndpointSources
from gingervane.membership.atomic_file import StoreError
from gingervane.membership.consul_watcher import (
    ConsulService,
    ConsulWatcher,
    unknown_datacenters,
    create_watchers,
)

_FILE_LIST_TIMEOUT = 5.0  # a list that has been read is told within this
# Of a list that somebody writes: what it says counts as it stands, and at once.
_FILE_ONLY_GUARD = MassRemovalGuard(readmission_delay=0.0, max_readmission_delay=0.0)


class RingSizes(NamedTuple):
    """Places on the ring of shards and on that of co-ordinators."""

    cells: int
    peers: int = 1


class MembershipService:
    """`start`, `stop`; between them `tell` is told of nodes and `tell_peers` of co-ordinators, each on one thread."""

    def __init__(
        self,
        table: Membership,
        fleet: Fleet,
        tree: Tree | None,
        rings: RingSizes,
        address: tuple[str, int],
        tell: Callable[[EndpointsUpdated], None],
        tell_peers: Callable[[EndpointsUpdated], None],
        complain: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        """`address`: where this co-ordinator is reached."""
        self._table, self._zones, self._ring_sizes = table, fleet.zones, rings
        self._log_warning, self._rng = complain, rng
        self._offset = time.monotonic() - time.time()  # fixed: a start must not seem to move between readings
        self._watchers: list[ConsulWatcher] = []
        consul = table.consul
        fence = _FILE_ONLY_GUARD if consul is None else mass_removal_guard(consul)
        names = self._node_source_names(consul)
        self.nodes = EndpointSources(
            names, fence, tell, complain, self._open_snapshot(), self._offset, ("file",)
        )
        self.peers = EndpointSources(
            ("file", "consul"), fence, tell_peers, complain, None, self._offset, ("file",)
        )
        self._file = (
            FileWatcher(
                table.file,
                fleet.zones,
                rings.cells,
                rings.peers,
                table.interval,
                self._offset,
                self._apply_file,
                complain,
            )
            if table.file
            else None
        )
        self._peers_in_file = False
        self._registrar: Registrar | None = None
        if consul is None:
            return
        for name, datacenter in zip(names[bool(table.file) :], consul.datacenters or ("",), strict=True):
            self._watchers += self._watch(consul, consul.service, datacenter, rings.cells, self.nodes, name)
        if consul.coordinators and tree is not None:
            self._watchers += self._watch(consul, consul.coordinators, "", rings.peers, self.peers, "consul")
            entry = ServiceEntry(
                tree.name, consul.coordinators, address, fleet.zone, tree.place, consul.ttl, time.time()
            )
            self._registrar = Registrar(
                entry,
                consul.addresses,
                consul.token_file,
                Backoff(blocking_wait=consul.wait),
                complain,
                rng,
                lambda: self.known,
            )

    def _node_source_names(self, consul: ConsulTable | None) -> tuple[str, ...]:
        """Of the sources of nodes."""
        out = ("file",) if self._table.file else ()
        if consul is None:
            return out
        return (*out, *(f"consul/{name}" if name else "consul" for name in consul.datacenters or ("",)))

    def _open_snapshot(self) -> Snapshot | None:
        if self._table.kept is None:
            return None
        try:
            return Snapshot(self._table.kept, self._offset, len(self._zones), self._ring_sizes.cells)
        except (OSError, StoreError) as error:
            self._log_warning(f"the server list will not be kept: {error}")
            return None

    def _watch(
        self,
        consul: ConsulTable,
        service: str,
        datacenter: str,
        cells: int,
        sources: EndpointSources,
        name: str,
    ) -> list[ConsulWatcher]:
        place = ConsulService(
            consul.addresses,
            service,
            datacenter,
            consul.stale,
            consul.token_file,
            consul.filter,
            backoff=Backoff(blocking_wait=consul.wait),
        )
        return create_watchers(
            place,
            self._zones,
            cells,
            self._offset,
            lambda members, age, index, sure: sources.report(name, members, age, index, sure),
            self._log_warning,
            self._rng,
        )

    def _apply_file(self, lists: EndpointLists) -> None:
        self._peers_in_file = bool(lists.coordinators)
        self.nodes.report("file", lists.nodes)
        self.peers.report("file", lists.coordinators)

    @property
    def known(self) -> bool:
        """Whether any server list has come, or was kept."""
        return self.nodes.known

    @property
    def registered(self) -> bool:
        """Whether this co-ordinator's own entry stands, as far as it knows."""
        return self._registrar is not None and self._registrar.registered

    @property
    def consul_calls(self) -> int:
        """Calls to Consul so far, of watchers."""
        return sum(watcher.calls for watcher in self._watchers)

    def start(self) -> None:
        """Start to watch, and wait a little for a list.

        Raises ListError if the list file is the only source and can neither be read nor stood in for. A catalogue
        that does not answer is waited for while the co-ordinator is up and not ready.
        """
        for watcher in self._watchers:
            watcher.start()
        if self._file:
            self._file.start()
        consul = self._table.consul
        read = self._file is not None and not self._file.error
        patience = _FILE_LIST_TIMEOUT if read else consul.start_patience if consul else 0.0
        if not self.nodes.start(patience) and consul is None:
            self.stop()
            raise EndpointFileError(self._file.error if self._file else "no source")
        self.peers.start(_FILE_LIST_TIMEOUT if self._peers_in_file else 0.0)
        if self._registrar:
            self._registrar.start()
        if consul and consul.datacenters:
            threading.Thread(target=self._check_datacenters, args=(consul,), daemon=True).start()

    def _check_datacenters(self, consul: ConsulTable) -> None:
        for name in unknown_datacenters(
            consul.addresses, consul.datacenters, consul.token_file, consul.start_patience
        ):
            self._log_warning(f"membership.consul.datacenters: the catalogue knows no {name!r}")

    def drain(self) -> None:
        """This co-ordinator is about to stop: its peers are told to send it nothing new."""
        if self._registrar:
            self._registrar.drain()

    def stop(self) -> None:
        """Watch no more."""
        for watcher in self._watchers:
            watcher.stop()
        if self._file:
            self._file.stop()
        self.nodes.stop()
        self.peers.stop()

    def deregister(self) -> None:
        """What this co-ordinator held has ended; its entry is taken out."""
        if self._registrar:
            self._registrar.deregister()


def mass_removal_guard(consul: ConsulTable) -> MassRemovalGuard:
    """How long an index that has gone back is doubted follows from how long a quiet agent may say nothing."""
    return MassRemovalGuard(index_reset_delay=Backoff(blocking_wait=consul.wait).max_silence + 1.0)
