"""The node: the program's one co-ordinator on the platform's protocol, put together and taken apart.

Owners: the main thread makes it, waits for signals and ends it; everything else is owned as its modules say.
"""

from __future__ import annotations

import logging
import os
import signal
import sys
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from math import inf
from pathlib import Path

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.core import AdmissionLimits, QueryCoordinator, ClusterPorts
from gingervane.fronts.connections import MOST_ENDING
from gingervane.fronts.http_server import HttpServer, ServerLimits
from gingervane.node import config as configuration
from gingervane.node.client_front import ClientFront
from gingervane.node.config import Config, ConfigError
from gingervane.node.discovery import DiscoveryWatch
from gingervane.node.endpoint_list import EndpointListError, EndpointListReader
from gingervane.node.replica_connection import LinkEnded, LinkLimits
from gingervane.node.replica_connections import ReplicaConnections, SPARE
from gingervane.node.peer_socket import PeerSocket
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.telemetry.node_telemetry import Telemetry
from gingervane.decisions.engine import DecisionEngine
from gingervane.wire.http1 import Limits
from gingervane.wire.socket_recorder import SOCKET_RECORDER

# SIGKILL comes no sooner than this after SIGTERM, plus the longest deadline, which counts as 3 s where it is longer.
KILL_AFTER, LONGEST_COUNTED = 0.7, 3.0
LAST_ANSWERS = 0.3  # seconds before SIGKILL may come, by when all that is still open has been answered
OWN_DESCRIPTORS = 24  # the listener, discovery, datagrams, epoll, standard streams, and some to spare
LAST_WRITES = (
    0.25  # of them, to write the replies and to have them read, before the process takes them with it
)
_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1}  # SIGUSR1: write the counters


class CoreLog:
    """What the core tells of: counters for all of it, lines for what went wrong and for what changed.

    `host` names a replica. Called on the decision thread.
    """

    def __init__(
        self, telemetry: Telemetry, class_names: tuple[str, ...], host: Callable[[int], str]
    ) -> None:
        self._telemetry, self._classes, self._host = telemetry, class_names, host

    def query_completed(self, query: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float) -> None:
        verdict = final.status
        self._telemetry.counters.add(f"queries_{verdict.value}", final.reason)
        if SOCKET_RECORDER.on:
            SOCKET_RECORDER.put(
                "settled", 0, 0, query=plan.tag, verdict=verdict.value, seconds=seconds, why=final.detail
            )
        if final.reason in _MUST_NOT_HAPPEN:
            write = self._telemetry.error
        elif verdict in _WORTH_A_LINE and final.reason is not api.QueryEndReason.OVERLOAD:
            write = self._telemetry.info
        elif self._telemetry.debug_on:
            write = self._telemetry.debug
        else:
            return
        ends = Counter(step.outcome for step in final.attempts)
        write(
            "query_settled",
            request=plan.tag,
            query=query,
            query_class=self._classes[plan.query_class],
            verdict=verdict,
            reason=final.reason,
            step=final.step,
            parts=final.parts_requested,
            parts_in=final.parts_received,
            coverage=final.coverage,
            marked_whole=final.marked_complete,
            seconds=seconds,
            attempts=" ".join(f"{count}x{outcome}" for outcome, count in ends.items()),
            detail=final.detail,
        )

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        if SOCKET_RECORDER.on:
            SOCKET_RECORDER.put("told", 0, 0, outcome=outcome.value, replica=replica, seconds=seconds)
        if self._telemetry.debug_on:
            self._telemetry.debug(
                "attempt_ended", replica=self._host(replica), outcome=outcome, seconds=seconds
            )

    def log_message(self, text: str) -> None:
        self._telemetry.info("remark", text=text)

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        replica = self._host(change.replica)
        if isinstance(change, api.ReplicaEjected):
            self._telemetry.counters.add("replicas_ejected", change.reason)
            self._telemetry.info(
                "replica_ejected", replica=replica, seconds=change.seconds, reason=change.reason
            )
        else:
            self._telemetry.counters.add("replicas_reinstated", "any")
            self._telemetry.info("replica_reinstated", replica=replica)

    def internal_error(self, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))
        self._telemetry.error("decision_thread_broke", error=f"{type(error).__name__}: {error}", trace=trace)


# Verdicts that get a line each (load shedding is only counted), and ends that show a fault of this program.
_WORTH_A_LINE = frozenset({t.QueryStatus.PARTIAL, t.QueryStatus.FAILED, t.QueryStatus.REJECTED})
_MUST_NOT_HAPPEN = frozenset(
    {api.QueryEndReason.COVERAGE_CHECK_FAILED, api.QueryEndReason.INTERNAL, api.QueryEndReason.UNSTATED}
)


class Node:
    def __init__(self, path: Path, config: Config, telemetry: Telemetry | None = None) -> None:
        """`telemetry`: one of its own, already started, if none is given."""
        self._path, self._config = path, config
        if telemetry is None:
            telemetry = Telemetry()
            telemetry.name(config.name)
            telemetry.start()
        self.telemetry = telemetry
        settings = config.settings
        # Half for replicas, half for clients, who need no more than a third for requests.
        links = max(config.sockets // 2 - OWN_DESCRIPTORS - SPARE, 1)
        limits = LinkLimits(config.streams, links, 0.8 * config.conn_idle, config.connect_timeout)
        reader = EndpointListReader(config.zones, ReplicaStartTimes(), telemetry.info)
        # Room for every part of as many queries as there can be connections: descriptors bound it, not this.
        most = AdmissionLimits(config.sockets * (1 + config.shards), 64 << 20)
        self.core = QueryCoordinator(
            DecisionEngine(settings, config.seed),
            settings,
            most,
            CoreLog(telemetry, config.class_names, reader.host_name),
            lambda report: ReplicaConnections(limits, report, on_end=self._link_ended),
            ClusterPorts(self._subscribe, self._tell_peers),
            gather=settings.timer_granularity,
        )
        self.front = ClientFront(self.core, config.class_names, config.shards)
        # Where lists are pushed, all counts as told as soon as discovery is back: a call that hangs since before
        # must not outlast the grace.
        patience = inf if settings.membership_polled else settings.drain_grace or inf
        self.watch = DiscoveryWatch(
            config.discovery, reader, self.core.endpoints_updated, telemetry.info, patience
        )
        self._peers = (
            PeerSocket(
                config.peer_listen, config.peers, config.peers_all, config.me, self.core.peer_message_received
            )
            if config.peer_listen and settings.gossip_allowed
            else None
        )
        try:
            known = reader.read(config.known, cached=True) if config.known else None
        except EndpointListError as error:
            telemetry.warning("known_list_unusable", error=str(error))
            known = None
        if known:
            self.core.endpoints_updated(known)
        connections = max(config.sockets - links - SPARE - OWN_DESCRIPTORS - MOST_ENDING, 1)
        self.server = HttpServer(
            *config.listen,
            self.front.handle,
            ServerLimits(
                connections=connections,
                head=1.5,
                body=1.0,
                write=5.0,
                message=Limits(16384, 65536),
                silent=2.0,
                crowd=config.sockets // 6,  # half of what clients may hold for requests
            ),
        )

        counts = self.core.driver_counts
        telemetry.add_source("attempts", lambda: counts.outcomes)
        telemetry.add_source("driver", counts.totals)
        telemetry.add_source("client_connections_ended", lambda: self.server.ends)
        telemetry.add_source("client_calls_failed", lambda: self.server.failures)
        self.server.on_fault = self._request_broke

    def _request_broke(self, error: BaseException) -> None:
        """From a client's thread: its request has been answered with 500."""
        trace = "".join(traceback.format_exception(error))
        self.telemetry.error("request_broke", error=f"{type(error).__name__}: {error}", trace=trace)

    def _link_ended(self, ended: LinkEnded) -> None:
        """From the decision thread or the links' reader."""
        self.telemetry.counters.add("replica_connections_ended", ended.reason)
        if ended.out or self.telemetry.debug_on:
            self.telemetry.info(
                "replica_connection_ended",
                address=f"{ended.address[0]}:{ended.address[1]}",
                reason=ended.reason,
                detail=ended.detail,
                out=ended.out,
                unsent=ended.unsent,
            )

    def _subscribe(self) -> None:
        self.watch.request_watch()

    def _tell_peers(self, payload: bytes) -> None:
        if self._peers:
            self._peers.tell(payload)

    def start(self) -> None:
        self.server.start()  # before the others: it sets the stack of new threads
        self.watch.start()
        if self._peers:
            self._peers.start()
        if not self._config.settings.membership_polled:
            self.watch.request_watch()
        self.core.start()
        self.front.ready = True

    def reload(self) -> None:
        """SIGHUP: follow discovery to where the file now says it is."""
        try:
            new = configuration.read(self._path)
        except ConfigError as error:
            self.telemetry.warning("configuration_kept", error=str(error))
            return
        where = f"{new.discovery[0]}:{new.discovery[1]}"
        self.telemetry.info("configuration_read_again", discovery=where)
        self.watch.change_address(new.discovery)

    def stop(self) -> None:
        """SIGTERM: serve on the connections there are for as long as the platform surely lets us, then end.

        Clients keep using those they have, and a co-ordinator that ends early leaves them to the others, of which
        one may be on its way back itself. What is still open at the end is refused, or failed where that could do
        harm, in time to be heard.
        """
        self.front.ready = False
        longest = max(kind.deadline for kind in self._config.settings.query_classes)
        time.sleep(min(longest, LONGEST_COUNTED) + KILL_AFTER - LAST_ANSWERS)
        self.end()
        self.telemetry.info("ended")
        self.telemetry.stop()

    def end(self) -> None:
        """Answer all that is held, now, and be gone."""
        self.core.close()  # first: a request that is read while connections are ended is refused, not sent on
        self.server.stop_accepting()
        self.core.stop(0.0)
        self.server.stop(LAST_WRITES)
        self.watch.stop()


def run(path: Path) -> int:
    # Blocked before any thread starts, so that all inherit it and none of these is lost or ends the program.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    telemetry = Telemetry(level=logging.DEBUG if os.environ.get("GINGERVANE_DEBUG") else logging.INFO)
    if trace := os.environ.get("GINGERVANE_TRACE"):
        SOCKET_RECORDER.open(Path(trace))
    try:
        config = configuration.read(path)
        telemetry.name(config.name)
        node = Node(path, config, telemetry)
    except (ConfigError, OSError) as error:
        sys.stderr.write(f"gingervane: {error}\n")
        return 2
    telemetry.start()
    _log_settings(telemetry, config)
    node.start()
    where = f"{node.server.address[0]}:{node.server.address[1]}"
    telemetry.info("listens", address=where, threads=threading.active_count())
    while True:
        number = signal.sigwait(_SIGNALS)
        if number == signal.SIGHUP:
            node.reload()
        elif number == signal.SIGUSR1:
            telemetry.dump()
        else:
            telemetry.info("ending", signal=signal.Signals(number).name)
            node.stop()
            return 0


def _log_settings(telemetry: Telemetry, config: Config) -> None:
    """What the platform asks of each class: without it no log of an answer can be judged."""
    settings = config.settings
    for name, kind in zip(config.class_names, settings.query_classes, strict=True):
        telemetry.info(
            "class_settings",
            query_class=name,
            semantics=kind.retry_safety,
            aim=kind.latency_objective,
            deadline=kind.deadline,
            repeat_window=kind.idempotency_window or 0.0,
            second_step_parts=kind.second_step_parts,
            least_share=kind.required_coverage,
            whole_share=kind.complete_coverage,
        )
    telemetry.info(
        "settings",
        coordinators=settings.coordinator_count,
        shards=config.shards,
        streams=config.streams,
        parts_per_call=settings.max_parts_per_request,
        most_attempts=settings.max_attempts,
        may_cancel=settings.cancellation_allowed,
        may_copy=settings.hedging_allowed,
        drain_grace=settings.drain_grace,
        must_ask_membership=settings.membership_polled,
        sockets=config.sockets,
    )
