"""Builds and runs the sources of replica and co-ordinator lists from the settings.

Sources of replicas ("nodes"): the list file, and each datacenter of Consul. Sources of co-ordinators ("peers"): the
list file, and their own service in Consul, where this co-ordinator registers itself. Each of the two kinds has one
owner thread (`EndpointSources`).
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from gingervane.coordinator.types import EndpointsUpdated
from gingervane.membership.atomic_file import StoreError
from gingervane.membership.consul_polling import Backoff
from gingervane.membership.consul_watcher import (
    ConsulService,
    ConsulWatcher,
    create_watchers,
    unknown_datacenters,
)
from gingervane.membership.endpoint_file import EndpointFileError, EndpointLists, FileWatcher
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.registration import Registrar, ServiceEntry
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.source_owner import EndpointSources
from gingervane.settings.tables import ConsulTable, Fleet, Membership, Tree

_FILE_LIST_TIMEOUT = 5.0  # seconds within which a list that has been read from the file is published
_INDEX_RESET_MARGIN = 1.0  # seconds on top of the longest response time of a healthy agent
_NO_DATACENTER = ("",)  # selects the agents' own datacenter
# A list file is edited on purpose: its changes count at once.
_FILE_ONLY_GUARD = MassRemovalGuard(readmission_delay=0.0, max_readmission_delay=0.0)


class RingSizes(NamedTuple):
    """Number of positions on the ring of shards (`cells`) and on that of co-ordinators (`peers`)."""

    cells: int
    peers: int = 1


class MembershipService:
    """Watches all sources from `start` to `stop`.

    In between, `on_nodes` is called with updates of replicas and `on_peers` with updates of co-ordinators, each on a
    thread of its own.
    """

    def __init__(
        self,
        table: Membership,
        fleet: Fleet,
        tree: Tree | None,
        ring_sizes: RingSizes,
        address: tuple[str, int],
        on_nodes: Callable[[EndpointsUpdated], None],
        on_peers: Callable[[EndpointsUpdated], None],
        log_warning: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        """`address`: host and port to register this co-ordinator with."""
        self._table = table
        self._zones = fleet.zones
        self._ring_sizes = ring_sizes
        self._log_warning = log_warning
        self._rng = rng
        self._offset = time.monotonic() - time.time()  # fixed, so that start times never seem to change
        self._watchers: list[ConsulWatcher] = []
        self._registrar: Registrar | None = None
        self._peers_in_file = False
        consul = table.consul
        guard = _FILE_ONLY_GUARD if consul is None else mass_removal_guard(consul)
        names = self._node_source_names(consul)
        self.nodes = EndpointSources(
            names, guard, on_nodes, log_warning, self._open_snapshot(), self._offset, ("file",)
        )
        self.peers = EndpointSources(
            ("file", "consul"), guard, on_peers, log_warning, None, self._offset, ("file",)
        )
        self._file = self._file_watcher(table.file, table.interval) if table.file else None
        if consul is None:
            return
        datacenters = consul.datacenters or _NO_DATACENTER
        for name, datacenter in zip(names[bool(table.file) :], datacenters, strict=True):
            self._watch(consul, consul.service, datacenter, ring_sizes.cells, self.nodes, name)
        if consul.coordinators and tree is not None:
            self._watch_peers(consul, tree, fleet.zone, address)

    def _watch_peers(self, consul: ConsulTable, tree: Tree, zone: str, address: tuple[str, int]) -> None:
        """Watch the co-ordinators' service, and prepare to register this co-ordinator in it."""
        self._watch(consul, consul.coordinators, "", self._ring_sizes.peers, self.peers, "consul")
        entry = ServiceEntry(
            tree.name, consul.coordinators, address, zone, tree.place, consul.ttl, time.time()
        )
        self._registrar = self._create_registrar(consul, entry)

    def _file_watcher(self, path: Path, interval: float) -> FileWatcher:
        return FileWatcher(
            path,
            self._zones,
            self._ring_sizes.cells,
            self._ring_sizes.peers,
            interval,
            self._offset,
            self._apply_file,
            self._log_warning,
        )

    def _create_registrar(self, consul: ConsulTable, entry: ServiceEntry) -> Registrar:
        return Registrar(
            entry,
            consul.addresses,
            consul.token_file,
            Backoff(blocking_wait=consul.wait),
            self._log_warning,
            self._rng,
            lambda: self.has_server_list,
        )

    def _node_source_names(self, consul: ConsulTable | None) -> tuple[str, ...]:
        file = ("file",) if self._table.file else ()
        if consul is None:
            return file
        datacenters = consul.datacenters or _NO_DATACENTER
        return (*file, *(f"consul/{name}" if name else "consul" for name in datacenters))

    def _open_snapshot(self) -> Snapshot | None:
        if self._table.kept is None:
            return None
        try:
            return Snapshot(self._table.kept, self._offset, len(self._zones), self._ring_sizes.cells)
        except (OSError, StoreError) as error:
            self._log_warning(f"snapshots of the server list are disabled: {error}")
            return None

    def _watch(
        self,
        consul: ConsulTable,
        service: str,
        datacenter: str,
        cells: int,
        sources: EndpointSources,
        name: str,
    ) -> None:
        """Add watchers of one service, which report to `sources` under the source name `name`."""
        watched = ConsulService(
            consul.addresses,
            service,
            datacenter,
            consul.stale,
            consul.token_file,
            consul.filter,
            backoff=Backoff(blocking_wait=consul.wait),
        )
        self._watchers += create_watchers(
            watched,
            self._zones,
            cells,
            self._offset,
            lambda members, age, index, consistent: sources.report(name, members, age, index, consistent),
            self._log_warning,
            self._rng,
            lambda: sources.known_index(name),
        )

    def _apply_file(self, lists: EndpointLists) -> None:
        self._peers_in_file = bool(lists.coordinators)
        self.nodes.report("file", lists.nodes)
        self.peers.report("file", lists.coordinators)

    @property
    def has_server_list(self) -> bool:
        """Whether a list of replicas has been received, or read from the snapshot."""
        return self.nodes.has_server_list

    @property
    def registered(self) -> bool:
        """Whether this co-ordinator is registered in Consul, by the last answer."""
        return self._registrar is not None and self._registrar.registered

    @property
    def consul_calls(self) -> int:
        """Number of requests that the watchers have sent to Consul."""
        return sum(watcher.calls for watcher in self._watchers)

    def start(self) -> None:
        """Start all watchers, and wait for a first list for a bounded time.

        Raises EndpointFileError if the list file is the only source, cannot be read, and there is no snapshot. If
        Consul does not answer, the co-ordinator starts all the same and is not ready until there is a list.
        """
        self.nodes.load()
        for watcher in self._watchers:
            watcher.start()
        if self._file:
            self._file.start()
        consul = self._table.consul
        if not self.nodes.start(self._start_timeout()) and consul is None:
            self.stop()
            raise EndpointFileError(self._file.error if self._file else "no source")
        self.peers.start(_FILE_LIST_TIMEOUT if self._peers_in_file else 0.0)
        if self._registrar:
            self._registrar.start()
        if consul and consul.datacenters:
            threading.Thread(target=self._check_datacenters, args=(consul,), daemon=True).start()

    def _start_timeout(self) -> float:
        """Return the seconds for which `start` waits for a list of replicas."""
        if self._file is not None and not self._file.error:
            return _FILE_LIST_TIMEOUT
        return self._table.consul.start_patience if self._table.consul else 0.0

    def _check_datacenters(self, consul: ConsulTable) -> None:
        for name in unknown_datacenters(
            consul.addresses, consul.datacenters, consul.token_file, consul.start_patience
        ):
            self._log_warning(f"membership.consul.datacenters: not in the catalogue: {name!r}")

    def drain(self) -> None:
        """Mark this co-ordinator as draining in Consul, so that peers send it no new queries."""
        if self._registrar:
            self._registrar.drain()

    def stop(self) -> None:
        """Stop all watchers and owner threads."""
        for watcher in self._watchers:
            watcher.stop()
        if self._file:
            self._file.stop()
        self.nodes.stop()
        self.peers.stop()

    def deregister(self) -> None:
        """Remove this co-ordinator's entry from Consul; call it when no query is in flight any more."""
        if self._registrar:
            self._registrar.deregister()


def mass_removal_guard(consul: ConsulTable) -> MassRemovalGuard:
    """Return the limits for Consul; a lower index is logged after longer than a healthy agent takes to answer."""
    max_response_time = Backoff(blocking_wait=consul.wait).max_response_time
    return MassRemovalGuard(index_reset_delay=max_response_time + _INDEX_RESET_MARGIN)
