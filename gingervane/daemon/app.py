"""One co-ordinator process, from its settings.

Start: decision threads, membership, server, then a line on stdout with the address it listens on. Graceful shutdown
(SIGTERM, SIGINT): readiness turns false, no connection is accepted, open queries are answered within the grace period
or else rejected or failed, replies are written, threads end.
"""

from __future__ import annotations

import random
import signal
import threading
import time

from gingervane.coordinator import types as t
from gingervane.coordinator.core import CoordinatorFactory, QueryCoordinator
from gingervane.daemon import assembly
from gingervane.daemon.child_coordinators import ChildCoordinators
from gingervane.daemon.observers import CoordinatorObserver, VectorObserver
from gingervane.daemon.status_pages import StatusPages
from gingervane.fronts.http_server import Exchange, Reply
from gingervane.fronts.routing import Front, FrontQueryClass, Router
from gingervane.membership.service import MembershipService, RingSizes
from gingervane.settings.daemon_settings import Config
from gingervane.telemetry import daemon_log
from gingervane.telemetry.daemon_metrics import Metrics
from gingervane.telemetry.events import LogEvent
from gingervane.tree import plan
from gingervane.vectors.service import VectorService
from gingervane.wire.http1 import Request

_NO_ENDPOINTS = "no server list has come yet"  # why queries are rejected until there is a list
_BROKEN_CORE_POLL_INTERVAL = 0.2  # seconds between two checks for a core whose decision thread failed


class App:
    """A co-ordinator: call `start`, then `stop`; or `run` in a process of its own."""

    def __init__(self, config: Config, seed: int | None = None) -> None:
        """Build all components and bind the port. `seed`: of the decision engines; random if None."""
        self.config = config
        self.metrics = Metrics()
        self._log = daemon_log.get("daemon")
        self._started_at = time.monotonic()
        self._serving = False
        threading.stack_size(config.listen.stack_bytes)
        observer = CoordinatorObserver(config, self.metrics)
        self._pool = assembly.make_pool(config)
        cores = assembly.make_core_factory(config, self._pool, seed)
        self.core = cores.make(config.module_settings(), observer)
        classes = assembly.make_query_classes(config)
        self.children = ChildCoordinators(config, config.tree, cores, self.metrics) if config.tree else None
        self.concurrency_limit = assembly.make_concurrency_limit(config)
        tree = self.children.tree_config if self.children else None
        self._front = assembly.make_remote_read_front(
            config, self.core, classes, self.concurrency_limit, tree
        )
        self._server = assembly.make_server(config, self._handle)
        self._server.on_handler_failure = lambda error: self._log.exception(
            LogEvent.REQUEST_HANDLER_FAILED, error
        )
        self.membership = self._make_membership()
        observer.on_replica_answered = self.membership.nodes.record_response
        self.vectors = self._make_vectors(cores, classes) if config.vectors else None
        self._router = self._make_router()
        self.metrics.read = lambda: self.core.driver_counts
        self.metrics.gauges = self._gauges

    def _make_membership(self) -> MembershipService:
        config = self.config
        return MembershipService(
            config.membership,
            config.fleet,
            config.tree,
            RingSizes(config.shards.cells, config.tree.ring if config.tree else 1),
            self.address,
            self._endpoints_updated,
            self._coordinators_updated,
            lambda fault: self._log.error(LogEvent.MEMBERSHIP_FAULT, detail=fault),
            random.Random(),
        )

    def _make_vectors(self, cores: CoordinatorFactory, classes: dict[str, FrontQueryClass]) -> VectorService:
        return VectorService(
            self.config,
            classes,
            cores,
            lambda core: VectorObserver(self.metrics, core),
            self.address,
            lambda fault: self._log.error(LogEvent.VECTOR_FAULT, detail=fault),
            self.concurrency_limit,
        )

    def _make_router(self) -> Router:
        fronts: list[Front] = [self._front]
        if self.vectors:
            fronts.append(self.vectors.front)
        pages = StatusPages(self.metrics.text, self._is_ready)
        return Router([*pages.routes(), *(route for front in fronts for route in front.routes())])

    def _endpoints_updated(self, update: t.EndpointsUpdated) -> None:
        """Apply an update of the replicas; from the first on, queries are admitted."""
        self.core.endpoints_updated(update)
        self.core.admission.reopen(_NO_ENDPOINTS)

    def _coordinators_updated(self, update: t.EndpointsUpdated) -> None:
        """Apply an update of the co-ordinators."""
        if self.children:
            self.children.endpoints_updated(update, self.membership.peers.members)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the server listens on."""
        return self._server.address

    @property
    def peers(self) -> plan.PeerCoordinators:
        """Co-ordinators that may take subtrees, by the last list; none without a tree."""
        return self.children.peers if self.children else plan.PeerCoordinators({}, frozenset())

    def start(self) -> None:
        """Start to serve. Raises EndpointFileError if the list file, as the only source, cannot be used."""
        self.core.admission.close(_NO_ENDPOINTS)
        self.core.start()
        if self.children:
            self.children.core.start()
        self.membership.start()
        if self.vectors:
            self.vectors.start()
        self._server.start()
        self._serving = True

    def stop(self) -> None:
        """Answer, reject or fail all open queries, then stop all threads and deregister.

        The lists of servers are followed until no query is open: a server that begins to drain meanwhile is sent
        nothing. The repairer is waited for last, as it may be waiting for a server that hangs.
        """
        self._serving = False
        self.membership.drain()
        self._stop_cores()
        self._server.stop(self.config.listen.write_timeout)
        self.membership.stop()
        if self.vectors:
            self.vectors.stop()
        self.membership.deregister()
        if self.vectors:
            self.vectors.close()
        self._pool.close()

    def _stop_cores(self) -> None:
        """Stop all cores concurrently, each within the grace period."""
        grace = self.config.shutdown.grace
        stopping = [threading.Thread(target=core.stop, args=(grace,)) for core in self.cores]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()

    def run(self) -> int:
        """Serve until SIGTERM, SIGINT or the failure of a core; return the exit status."""
        stop = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stop.set())
        self.start()
        print(f"listening on {self.address[0]}:{self.address[1]}", flush=True)
        while not stop.wait(_BROKEN_CORE_POLL_INTERVAL) and not self._is_broken():
            pass
        self._log.info(LogEvent.SHUTDOWN_STARTED, open_queries=self.core.admission.open)
        self.stop()
        return 1 if self._is_broken() else 0

    @property
    def cores(self) -> list[QueryCoordinator]:
        """All cores of the process: for child co-ordinators, for replicas, and of the vector front."""
        children = [self.children.core] if self.children else []
        vectors = self.vectors.cores if self.vectors else []
        return [*children, self.core, *vectors]

    def _is_broken(self) -> bool:
        return any(core.broken.is_set() for core in self.cores)

    def _is_ready(self) -> bool:
        return self._serving and self.membership.has_server_list and not self.core.broken.is_set()

    def _gauges(self) -> dict[str, float]:
        """Return the present value of each gauge by its metric name."""
        limit = self.concurrency_limit
        return {
            "open": self.core.admission.open,
            "result_bytes": self.core.admission.reserved_bytes,
            "calls_out": self.core.requests_in_flight,
            "client_connections": self._server.connections,
            "turns_refused": limit.rejected,
            "turns_waiting": sum(map(limit.waiting, limit.names)),
            "connections_refused": self._server.rejected,
            "standstills": self._server.process_pauses,
            "threads": threading.active_count(),
            "queries_cut": self._front.queries_split,
            "children_listed": len(self.peers.ready),
            "subtrees_open": self.children.core.admission.open if self.children else 0,
            "uptime_seconds": time.monotonic() - self._started_at,
            "server_list_age_seconds": self.membership.nodes.age(time.monotonic()),
            **(self.vectors.metrics() if self.vectors else {}),
            "consul_calls": self.membership.consul_calls,
            "consul_registered": self.membership.registered,
        }

    def _handle(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        resolved = self._router.find(request.method, request.target.partition("?")[0])
        if isinstance(resolved, Reply):
            return resolved
        route, parameters = resolved
        return route.handle(request, body, arrived, client, parameters)
