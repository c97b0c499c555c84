"""One co-ordinator process, put together: settings in, a serving daemon out.

Start: settings, list, decision thread, front, then the line that says where it listens. Stop (SIGTERM, SIGINT):
readiness falls, no connection is accepted, what is held is answered within the grace or else refused or failed,
replies are written, threads end.
"""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Any

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.core import AdmissionLimits, QueryCoordinator, CoordinatorFactory
from gingervane.coordinator.request_senders import SenderLimits
from gingervane.telemetry import daemon_log
from gingervane.telemetry.daemon_metrics import Metrics
from gingervane.settings.daemon_settings import Config
from gingervane.fronts import http_server, remote_read
from gingervane.fronts.routing import FrontQueryClass, Front, Route, Router
from gingervane.fronts.http_server import HttpServer, Reply, ServerLimits, plain
from gingervane.fronts.read_request import FrontLimits
from gingervane.fronts.remote_read import RemoteReadFront, TreeConfig
from gingervane.fronts.shard_matching import ShardIndex
from gingervane.membership.service import MembershipService, Rings
from gingervane.tree import plan
from gingervane.limits.concurrency_limit import Gate
from gingervane.vectors import front as vectors
from gingervane.vectors.service import VectorService
from gingervane.wire.http1 import Limits, Request
from gingervane.wire.pool import Pool

_UNKNOWN = "no server list has come yet"


class _Observer:
    """Logs and metrics of what passes. Runs on the decision thread."""

    def __init__(self, config: Config, metrics: Metrics) -> None:
        self._log, self._metrics = daemon_log.get("coordinator"), metrics
        self._classes = [c.name for c in config.classes for _ in range(3)]
        self._debug = config.log.level == "debug"
        self.answered: Callable[[int], None] = lambda replica: None  # told of each good answer

    def query_completed(self, query: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        verdict = final.status.value
        self._metrics.query_seconds.add((self._classes[plan.query_class], verdict), seconds)
        told = self._log.debug if final.status is t.QueryStatus.COMPLETE else self._log.info
        if self._debug or final.status is not t.QueryStatus.COMPLETE:
            told(
                "query settled",
                query=query,
                query_class=plan.tag,
                verdict=verdict,
                seconds=round(seconds, 4),
                parts=len(plan.parts),
                coverage=round(final.coverage, 4),
                attempts=len(final.attempts),
                reason=final.reason.value,
                further=sum(step.attempt > 0 for step in final.attempts),
                why=final.detail,
            )

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        if outcome is api.AttemptOutcome.OK:
            self.answered(replica)
        self._metrics.attempt_seconds.add((outcome.value,), seconds)
        if self._debug:
            self._log.debug("attempt", outcome=outcome.value, replica=replica, seconds=round(seconds, 4))

    def log_message(self, text: str) -> None:
        self._log.info("remark", text=text)

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        _log_health(self._log, change)

    def internal_error(self, error: BaseException) -> None:
        self._log.error("decision thread broke", exc_info=error)


def _log_health(log: Any, change: api.ReplicaHealthChange) -> None:
    if isinstance(change, api.ReplicaEjected):
        log.info(
            "replica ejected", replica=change.replica, seconds=change.seconds, reason=change.reason.value
        )
    else:
        log.info("replica reinstated", replica=change.replica)


class _Branches:
    """What passes between this co-ordinator and its children: remarks in the log, the rest in metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._log, self._metrics = daemon_log.get("tree"), metrics

    def query_completed(self, query: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        self._metrics.subtree_seconds.add((plan.tag, final.status.value), seconds)
        if final.status not in (t.QueryStatus.COMPLETE, t.QueryStatus.CLIENT_DISCONNECTED):
            steps = [f"{step.replica}:{step.outcome}" for step in final.attempts]
            verdict = final.status.value
            self._log.info(
                "subtree lost", query_class=plan.tag, verdict=verdict, why=final.detail, path=steps
            )

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        self._metrics.child_seconds.add((outcome.value,), seconds)

    def log_message(self, text: str) -> None:
        self._log.info("remark", text=text.replace("replica", "co-ordinator"))

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        _log_health(self._log, change)

    def internal_error(self, error: BaseException) -> None:
        self._log.error("decision thread of the tree broke", exc_info=error)


class _Vectors:
    """What passes at one core of the vector front."""

    def __init__(self, metrics: Metrics, core: str) -> None:
        self._log, self._metrics, self._core = daemon_log.get("vectors"), metrics, core

    def query_completed(self, query: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        verdict = final.status.value
        self._metrics.vector_seconds.add((self._core, plan.tag, verdict), seconds)
        if final.status in (t.QueryStatus.REJECTED, t.QueryStatus.FAILED):
            self._log.info(
                "query settled",
                core=self._core,
                query_class=plan.tag,
                verdict=verdict,
                parts=len(plan.parts),
                why=final.detail,
            )

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        self._metrics.vector_attempt_seconds.add((self._core, outcome.value), seconds)

    def log_message(self, text: str) -> None:
        self._log.info("remark", core=self._core, text=text)

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        _log_health(self._log.bind(core=self._core), change)

    def internal_error(self, error: BaseException) -> None:
        self._log.error("decision thread broke", core=self._core, exc_info=error)


class App:
    """A co-ordinator that serves. `start`, then `stop`; or `run` for a process of its own."""

    def __init__(self, config: Config, seed: int | None = None) -> None:
        self.config, self.metrics, self._log = config, Metrics(), daemon_log.get("daemon")
        self._began, self._ready = time.monotonic(), False
        threading.stack_size(config.listen.stack_bytes)
        settings, limits = config.module_settings(), config.limits
        observer = _Observer(config, self.metrics)
        pool = Pool(Limits(16384, limits.reply_bytes), limits.idle_connections, limits.idle_age)
        bounds = SenderLimits(
            limits.senders, limits.waiting_calls, limits.calls_per_replica, limits.connect_timeout
        )
        cores = CoordinatorFactory(pool, bounds, AdmissionLimits(limits.open, limits.result_bytes), seed)
        self.core = cores.make(settings, observer)
        self._pool = pool
        classes = {
            c.name: FrontQueryClass(3 * i, 3 * i + 1, 3 * i + 2, i, c.deadline, c.semantics, c.least_share)
            for i, c in enumerate(config.classes)
        }
        self.branch, tree = self._make_branch(config, cores)
        listen = config.listen
        shares = {remote_read.NAME: limits.front_shares[0], vectors.NAME: limits.front_shares[1]}
        self.gate = Gate(shares, limits.front_slots, limits.front_waiting)
        self._front = RemoteReadFront(
            self.core,
            ShardIndex(config.shards.label, config.shards.names),
            classes,
            config.default_class or config.classes[0].name,
            FrontLimits(listen.max_message_bytes, listen.max_queries, listen.max_matchers),
            limits.reply_bytes,
            config.shards.keep_label,
            self.gate,
            tree,
        )
        fronts: list[Front] = [self._front]
        self._server = HttpServer(
            listen.host,
            listen.port,
            self._handle,
            ServerLimits(
                listen.max_connections,
                listen.idle_timeout,
                listen.head_timeout,
                listen.body_timeout,
                listen.write_timeout,
                Limits(listen.max_head_bytes, listen.max_body_bytes),
                listen.stack_bytes,
            ),
        )
        self._server.on_fault = lambda error: self._log.error("request broke", exc_info=error)
        rings = Rings(config.shards.cells, config.tree.ring if config.tree else 1)
        self.membership = MembershipService(
            config.membership,
            config.fleet,
            config.tree,
            rings,
            self.address,
            self._listed,
            self._peers_listed,
            lambda what: self._log.error("server list", fault=what),
            random.Random(),
        )
        observer.answered = self.membership.nodes.answered
        self.vectors: VectorService | None = None
        if config.vectors:
            self.vectors = VectorService(
                config,
                classes,
                cores,
                lambda core: _Vectors(self.metrics, core),
                self.address,
                lambda what: self._log.error("vectors", fault=what),
                self.gate,
            )
            fronts.append(self.vectors.front)
        self._router = Router([*self._own_pages(), *(route for front in fronts for route in front.routes())])
        self.metrics.read = lambda: self.core.driver_counts
        self.metrics.gauges = self._gauges

    def _make_branch(
        self, config: Config, cores: CoordinatorFactory
    ) -> tuple[QueryCoordinator | None, TreeConfig | None]:
        """The core that decides among child co-ordinators: the same module, with subtrees as parts."""
        self._peers, tree = plan.PeerCoordinators({}, frozenset()), config.tree
        if tree is None:
            return None, None
        core = cores.make(config.branch_settings(), _Branches(self.metrics), 1)
        levels = plan.TreeLimits(tree.fan_out, tree.levels, tree.ring, tree.width, tree.leaf_attempts)
        return core, TreeConfig(core, tree.name, levels, lambda: self._peers)

    def _listed(self, listed: t.EndpointsUpdated) -> None:
        """News of nodes; with the first, queries are taken."""
        self.core.endpoints_updated(listed)
        self.core.admission.reopen(_UNKNOWN)

    def _peers_listed(self, listed: t.EndpointsUpdated) -> None:
        """News of co-ordinators: all but this one may take its subtrees."""
        if self.branch is None or self.config.tree is None:
            return
        own, members = self.config.tree.name, self.membership.peers.members
        rows = tuple(
            row._replace(state=api.ReplicaState.GONE)
            if row.id in members and members[row.id].name == own
            else row
            for row in listed.membership.replicas
        )
        ready = frozenset(
            m.name for m in members.values() if m.state is api.ReplicaState.READY and m.name != own
        )
        self._peers = plan.PeerCoordinators({member.name: member.cell for member in members.values()}, ready)
        self.branch.endpoints_updated(listed._replace(membership=listed.membership._replace(replicas=rows)))

    @property
    def address(self) -> tuple[str, int]:
        return self._server.address

    def start(self) -> None:
        """Serve. Raises ListError if the server list cannot be read and nothing stands in for it."""
        self.core.admission.close(_UNKNOWN)
        self.core.start()
        if self.branch:
            self.branch.start()
        self.membership.start()
        if self.vectors:
            self.vectors.start()
        self._server.start()
        self._ready = True

    def stop(self) -> None:
        """Answer or refuse what is held, then end."""
        self._ready = False
        self.membership.leave()
        self.membership.stop()
        if self.vectors:
            self.vectors.stop()
        stopped = [
            threading.Thread(target=core.stop, args=(self.config.shutdown.grace,)) for core in self._cores()
        ]
        for thread in stopped:
            thread.start()
        for thread in stopped:
            thread.join()
        self._server.stop(self.config.listen.write_timeout)
        self.membership.gone()
        if self.vectors:
            self.vectors.close()
        self._pool.close()

    def run(self) -> int:
        """Serve until a signal; the exit status."""
        stop = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stop.set())
        self.start()
        print(f"listening on {self.address[0]}:{self.address[1]}", flush=True)
        while not stop.wait(0.2) and not any(c.broken.is_set() for c in self._cores()):
            pass
        self._log.info("stopping", open=self.core.admission.open)
        self.stop()
        return 1 if any(c.broken.is_set() for c in self._cores()) else 0

    def _cores(self) -> list[QueryCoordinator]:
        return [
            core for core in (self.branch, self.core, *(self.vectors.cores if self.vectors else ())) if core
        ]

    def _gauges(self) -> dict[str, float]:
        return {
            "open": self.core.admission.open,
            "result_bytes": self.core.admission.reserved_bytes,
            "calls_out": self.core.requests_in_flight,
            "client_connections": self._server.connections,
            "turns_refused": self.gate.refused,
            "turns_waiting": sum(map(self.gate.waiting, self.gate.names)),
            "connections_refused": self._server.refused,
            "standstills": self._server.standstills,
            "threads": threading.active_count(),
            "queries_cut": self._front.queries_split,
            "children_listed": len(self._peers.ready),
            "subtrees_open": self.branch.admission.open if self.branch else 0,
            "uptime_seconds": time.monotonic() - self._began,
            "server_list_age_seconds": self.membership.nodes.age(time.monotonic()),
            **(self.vectors.figures() if self.vectors else {}),
            "consul_calls": self.membership.calls,
            "consul_registered": self.membership.registered,
        }

    def _handle(self, request: Request, body: bytes, arrived: float, client: http_server.Exchange) -> Reply:
        found = self._router.find(request.method, request.target.partition("?")[0])
        if isinstance(found, Reply):
            return found
        route, words = found
        return route.handle(request, body, arrived, client, words)

    def _own_pages(self) -> list[Route]:
        return [
            Route("GET", "/metrics", lambda *_: self._metrics_page()),
            Route("GET", "/-/healthy", lambda *_: plain(200, "healthy")),
            Route("GET", "/-/ready", lambda *_: self._ready_page()),
        ]

    def _metrics_page(self) -> Reply:
        return Reply(200, [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")], self.metrics.text())

    def _ready_page(self) -> Reply:
        ready = self._ready and self.membership.known and not self.core.broken.is_set()
        return plain(200, "ready") if ready else plain(503, "not ready", fields=(("Retry-After", "1"),))
