"""The node: one co-ordinator on the platform's protocol, its start and its graceful shutdown.

Threads: the main thread builds the node, waits for signals and stops it; the other modules state their own threads.
"""

from __future__ import annotations

import faulthandler
import logging
import os
import signal
import sys
import threading
import time
from pathlib import Path

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import AdmissionLimits
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.ports import ClusterPorts
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.decisions.engine import DecisionEngine
from gingervane.decisions.watch_options import WatchOptions
from gingervane.fronts.client_connection import ClosedConnection
from gingervane.fronts.http_server import HttpServer, ServerLimits
from gingervane.limits.memory_budget import MemoryBudget
from gingervane.node import config as configuration
from gingervane.node.client_front import ClientFront
from gingervane.node.config import ConfigError, NodeConfig
from gingervane.node.descriptor_budget import DescriptorBudget, divide_descriptors
from gingervane.node.discovery import DiscoveryWatch
from gingervane.node.endpoint_list import EndpointListError, EndpointListReader
from gingervane.node.memory_limits import budget_totals, divide_memory, process_status
from gingervane.node.peer_socket import PeerSocket
from gingervane.node.query_log import QueryLog
from gingervane.node.replica_connection_types import ReplicaConnectionClosed, ReplicaConnectionLimits
from gingervane.node.replica_connections import ReplicaConnections
from gingervane.node.settings_log import log_memory, log_settings
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import error_fields
from gingervane.telemetry.node_telemetry import Telemetry
from gingervane.wire.http1 import Limits
from gingervane.wire.socket_recorder import SOCKET_RECORDER

# The platform sends SIGKILL no sooner than `KILL_DELAY` plus the longest deadline of a query class, counted up to
# `MAX_COUNTED_DEADLINE`, after SIGTERM.
KILL_DELAY = 0.7  # seconds
MAX_COUNTED_DEADLINE = 3.0  # seconds
SHUTDOWN_RESERVE = 0.3  # seconds before the earliest SIGKILL at which all open requests are answered
REPLY_WRITE_TIMEOUT = 0.25  # seconds of the reserve in which replies are written and read by the clients

# Calls to discovery that may wait for an answer at once: one that stalls, one in a slow queue, and a new one.
PARALLEL_WATCH_CALLS = 3
# Platform protocol: seconds after a change at a reachable discovery by which a co-ordinator counts as notified of it.
NOTIFIED_WITHIN = 6.0
WATCH_OPTIONS = WatchOptions(
    PARALLEL_WATCH_CALLS, NOTIFIED_WITHIN, pushed_on_request=True, reports_readiness=True
)
_MAX_RESULT_BYTES = 64 << 20  # results of all open queries
_MAX_HEAD_BYTES = 16384  # head of a client's request
_MAX_BODY_BYTES = 65536  # body of a client's request
_HEAD_TIMEOUT = 1.5  # seconds to read the head of a request
_BODY_TIMEOUT = 1.0  # seconds to read the body of a request
_WRITE_TIMEOUT = 5.0  # seconds to write a reply
_FIRST_BYTE_TIMEOUT = 2.0  # seconds until the first byte on a new connection
_IDLE_SHARE = 0.8  # share of the replicas' idle timeout after which a connection is no longer written to

_EXIT_INVALID_CONFIGURATION = 2
_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1}  # SIGUSR1: write the counters


class Node:
    """One co-ordinator with its client server, replica connections, discovery watch and peer socket."""

    def __init__(self, path: Path, config: NodeConfig, telemetry: Telemetry | None = None) -> None:
        """Build all components and bind the port. `telemetry`: if None, the node starts its own."""
        self._path = path
        self._config = config
        self._is_stopping = False  # a co-ordinator that becomes ready meanwhile is not reported as such
        self.telemetry = telemetry or _started_telemetry(config)
        descriptors = divide_descriptors(config.max_sockets)
        reader = EndpointListReader(config.zones, ReplicaStartTimes(), self.telemetry.info)
        self.core = self._make_core(reader, descriptors)
        self.watch = self._make_watch(reader)
        self._peers = self._make_peer_socket()
        cached = self._read_cached_endpoints(reader)
        if cached:
            self.core.endpoints_updated(cached)
        self.memory = divide_memory(config.memory_bytes, process_status().resident * 1024)
        self.budget = MemoryBudget(self.memory.budget)
        self.front = ClientFront(self.core, config.class_names, config.shards, self.budget)
        self.server = self._make_server(descriptors)
        self.server.on_handler_failure = self._request_handler_failed
        self.server.on_closed = self._client_connection_closed
        self._add_counters()

    def _make_core(self, reader: EndpointListReader, descriptors: DescriptorBudget) -> QueryCoordinator:
        config = self._config
        settings = config.settings
        limits = ReplicaConnectionLimits(
            config.streams_per_connection,
            descriptors.replica_connections,
            _IDLE_SHARE * config.idle_timeout,
            config.connect_timeout,
        )
        # Enough for every part of as many queries as there can be connections: the descriptors are the limit.
        admission = AdmissionLimits(config.max_sockets * (1 + config.shards), _MAX_RESULT_BYTES)
        return QueryCoordinator(
            DecisionEngine(settings, config.seed, WATCH_OPTIONS),
            settings,
            admission,
            QueryLog(self.telemetry, config.class_names, reader.host_name),
            lambda report: ReplicaConnections(limits, report, on_closed=self._replica_connection_closed),
            ClusterPorts(self._watch_membership, self._send_to_peers, self._report_ready),
            batch_interval=settings.timer_granularity,
        )

    def _make_watch(self, reader: EndpointListReader) -> DiscoveryWatch:
        return DiscoveryWatch(
            self._config.discovery, reader, self.core, self.telemetry.info, PARALLEL_WATCH_CALLS
        )

    def _make_peer_socket(self) -> PeerSocket | None:
        config = self._config
        if not config.peer_listen or not config.settings.gossip_allowed:
            return None
        return PeerSocket(
            config.peer_listen,
            config.peers,
            config.peer_broadcast,
            config.ordinal,
            self.core.peer_message_received,
        )

    def _read_cached_endpoints(self, reader: EndpointListReader) -> t.EndpointsUpdated | None:
        """Return the endpoint list cached in the configuration, or None if it is missing or invalid."""
        if not self._config.cached_endpoints:
            return None
        try:
            return reader.read(self._config.cached_endpoints, cached=True)
        except EndpointListError as error:
            self.telemetry.warning(LogEvent.CACHED_ENDPOINTS_INVALID, error=str(error))
            return None

    def _make_server(self, descriptors: DescriptorBudget) -> HttpServer:
        limits = ServerLimits(
            max_connections=descriptors.client_connections,
            head_timeout=_HEAD_TIMEOUT,
            body_timeout=_BODY_TIMEOUT,
            write_timeout=_WRITE_TIMEOUT,
            message_limits=Limits(_MAX_HEAD_BYTES, _MAX_BODY_BYTES),
            first_byte_timeout=_FIRST_BYTE_TIMEOUT,
            eviction_threshold=descriptors.client_soft_limit,
            handler_waits=False,
        )
        return HttpServer(*self._config.listen, self.front.handle, limits, self.budget)

    def _add_counters(self) -> None:
        """Add the counters of the core, the watch and the server to the telemetry's dump."""
        counts = self.core.driver_counts
        self.telemetry.add_source("attempts", lambda: counts.outcomes)
        self.telemetry.add_source("driver", counts.totals)
        self.telemetry.add_source("discovery_calls", self.watch.call_ends)
        self.telemetry.add_source("discovery_silence", self.watch.longest_gap)
        self.telemetry.add_source("client_connections_ended", lambda: self.server.close_reasons)
        self.telemetry.add_source("client_requests_refused", lambda: self.front.refusals)
        self.telemetry.add_source("client_calls_failed", lambda: self.server.failures)
        self.telemetry.add_source("client_connections", self.server.phase_counts)
        self.telemetry.add_source("memory_refused", lambda: self.budget.refusals)
        self.telemetry.add_source("memory_budget_bytes", lambda: budget_totals(self.budget.use()))
        self.telemetry.add_source("process", lambda: process_status().as_totals())

    def _request_handler_failed(self, error: BaseException) -> None:
        """Log an error of a request handler, after the client got status 500. Called by the client's thread."""
        self.telemetry.error(LogEvent.REQUEST_HANDLER_FAILED, **error_fields(error))

    def _client_connection_closed(self, closed: ClosedConnection) -> None:
        """Log a closed connection of a client. Called by the thread of all connections."""
        self.telemetry.info(
            LogEvent.CLIENT_CONNECTION_CLOSED,
            reason=closed.reason,
            phase=closed.phase.name.lower(),
            port=closed.port,
            requests=closed.requests,
            held_bytes=closed.held_bytes,
            request_seconds=closed.seconds,
        )

    def _replica_connection_closed(self, closed: ReplicaConnectionClosed) -> None:
        """Count and log a closed connection. Called by the decision thread or the reader of replica connections."""
        self.telemetry.counters.add("replica_connections_ended", closed.reason)
        if closed.parts_in_flight or self.telemetry.debug_enabled:
            self.telemetry.info(
                LogEvent.REPLICA_CONNECTION_CLOSED,
                address=f"{closed.address[0]}:{closed.address[1]}",
                reason=closed.reason,
                detail=closed.detail,
                attempts_in_flight=closed.parts_in_flight,
                attempts_unsent=closed.parts_unsent,
            )

    def _watch_membership(self) -> None:
        self.watch.request_watch()

    def _report_ready(self, cached_list_age: float | None) -> None:
        self.front.ready = True
        if self._is_stopping:  # checked last, as the main thread may begin to stop at any moment
            self.front.ready = False
        if cached_list_age is None:
            self.telemetry.info(LogEvent.READY)
        else:
            age = round(cached_list_age, 1)
            self.telemetry.warning(LogEvent.READY_ON_CACHED_LIST, assumed_age_seconds=age)

    def _send_to_peers(self, payload: bytes) -> None:
        if self._peers:
            self._peers.send(payload)

    def start(self) -> None:
        """Start all threads and serve requests."""
        self.server.start()  # first: it sets the stack size of new threads
        self.watch.start()
        if self._peers:
            self._peers.start()
        self.core.start()

    def reload(self) -> None:
        """Read the configuration file again and watch discovery at the address that it now has."""
        try:
            new_config = configuration.read_config(self._path)
        except ConfigError as error:
            self.telemetry.warning(LogEvent.CONFIGURATION_RELOAD_FAILED, error=str(error))
            return
        address = f"{new_config.discovery[0]}:{new_config.discovery[1]}"
        self.telemetry.info(LogEvent.CONFIGURATION_RELOADED, discovery=address)
        self.watch.change_address(new_config.discovery)

    def stop(self) -> None:
        """Shut down gracefully: serve open connections until just before SIGKILL may come, then end.

        Clients keep using open connections, and ending early would move their load to the other co-ordinators, one of
        which may be restarting too. Queries still open at the end are rejected, or failed where a rejection would be
        unsafe, early enough for the clients to read the reply.
        """
        self._is_stopping = True
        self.front.ready = False
        time.sleep(self._draining_seconds())
        self.end()
        self.telemetry.info(LogEvent.SHUTDOWN_COMPLETED)
        self.telemetry.stop()

    def _draining_seconds(self) -> float:
        """Seconds to continue serving before all open requests are answered."""
        longest = max(query_class.deadline for query_class in self._config.settings.query_classes)
        return min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY - SHUTDOWN_RESERVE

    def end(self) -> None:
        """Answer all open requests now and end the threads."""
        self.core.close()  # first, so that a request read while connections are closed is rejected, not forwarded
        self.server.stop_accepting()
        self.core.stop(0.0)
        self.server.stop(REPLY_WRITE_TIMEOUT)
        self.watch.stop()


def run(path: Path) -> int:
    """Serve in the foreground until SIGTERM or SIGINT, configured by the file at `path`; return the exit status."""
    # Blocked before any thread starts, so that all threads inherit the mask and only `sigwait` takes these signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    telemetry = Telemetry(level=logging.DEBUG if os.environ.get("GINGERVANE_DEBUG") else logging.INFO)
    if trace := os.environ.get("GINGERVANE_TRACE"):
        SOCKET_RECORDER.open(Path(trace))
    try:
        config = configuration.read_config(path)
        telemetry.name(config.name)
        node = Node(path, config, telemetry)
    except (ConfigError, OSError) as error:
        sys.stderr.write(f"gingervane: {error}\n")
        return _EXIT_INVALID_CONFIGURATION
    telemetry.start()
    threading.excepthook = lambda failure: _log_failed_thread(telemetry, failure)
    faulthandler.enable()  # a crash of the interpreter leaves its stack in the log
    log_settings(telemetry, config)
    log_memory(telemetry, node.memory)
    node.start()
    address = f"{node.server.address[0]}:{node.server.address[1]}"
    telemetry.info(LogEvent.LISTENING, address=address, threads=threading.active_count())
    _serve_until_stopped(node)
    return 0


def _log_failed_thread(telemetry: Telemetry, failure: threading.ExceptHookArgs) -> None:
    thread = failure.thread.name if failure.thread else "unknown"
    if failure.exc_value is not None:
        telemetry.error(LogEvent.THREAD_FAILED, thread=thread, **error_fields(failure.exc_value))


def _serve_until_stopped(node: Node) -> None:
    """Handle signals until one stops the node."""
    while True:
        number = signal.sigwait(_SIGNALS)
        if number == signal.SIGHUP:
            node.reload()
        elif number == signal.SIGUSR1:
            node.telemetry.dump()
        else:
            node.telemetry.info(LogEvent.SHUTDOWN_STARTED, signal=signal.Signals(number).name)
            node.stop()
            return


def _started_telemetry(config: NodeConfig) -> Telemetry:
    telemetry = Telemetry()
    telemetry.name(config.name)
    telemetry.start()
    return telemetry
