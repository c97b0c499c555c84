"""Builds the components of the daemon from its settings. It starts no thread; the server binds its port."""

from __future__ import annotations

from gingervane.coordinator.admission import AdmissionLimits
from gingervane.coordinator.core import CoordinatorFactory, QueryCoordinator
from gingervane.coordinator.request_senders import SenderLimits
from gingervane.fronts import remote_read
from gingervane.fronts.http_server import Handler, HttpServer, ServerLimits
from gingervane.fronts.read_request import FrontLimits
from gingervane.fronts.remote_read import RemoteReadFront, TreeConfig
from gingervane.fronts.routing import FrontQueryClass
from gingervane.fronts.shard_matching import ShardIndex
from gingervane.limits.concurrency_limit import ConcurrencyLimit
from gingervane.settings.daemon_settings import Config
from gingervane.vectors import front as vectors
from gingervane.wire.http1 import Limits
from gingervane.wire.pool import Pool

_MAX_REPLY_HEAD_BYTES = 16384  # bytes of the head of a replica's reply


def make_pool(config: Config) -> Pool:
    """Return the pool of connections to replicas, which all cores share."""
    limits = config.limits
    message = Limits(_MAX_REPLY_HEAD_BYTES, limits.reply_bytes)
    return Pool(message, limits.idle_connections, limits.idle_age)


def make_core_factory(config: Config, pool: Pool, seed: int | None) -> CoordinatorFactory:
    """Return the factory of the cores. `seed`: of their decision engines; random if None."""
    limits = config.limits
    senders = SenderLimits(
        limits.senders, limits.waiting_calls, limits.calls_per_replica, limits.connect_timeout
    )
    return CoordinatorFactory(pool, senders, AdmissionLimits(limits.open, limits.result_bytes), seed)


def make_query_classes(config: Config) -> dict[str, FrontQueryClass]:
    """Return the query classes by name, numbered as in `Config.module_settings` and `Config.subtree_settings`."""
    return {
        c.name: FrontQueryClass(3 * i, 3 * i + 1, 3 * i + 2, i, c.deadline, c.semantics, c.least_share)
        for i, c in enumerate(config.classes)
    }


def make_concurrency_limit(config: Config) -> ConcurrencyLimit:
    """Return the limit on requests that are parsed, merged or written at once, which the fronts share."""
    limits = config.limits
    weights = {remote_read.NAME: limits.front_shares[0], vectors.NAME: limits.front_shares[1]}
    return ConcurrencyLimit(weights, limits.front_slots, limits.front_waiting)


def make_remote_read_front(
    config: Config,
    core: QueryCoordinator,
    classes: dict[str, FrontQueryClass],
    concurrency_limit: ConcurrencyLimit,
    tree: TreeConfig | None,
) -> RemoteReadFront:
    """Return the front of the remote read protocol. `tree`: how wide queries are split; None if they are not."""
    listen = config.listen
    return RemoteReadFront(
        core,
        ShardIndex(config.shards.label, config.shards.names),
        classes,
        config.default_class or config.classes[0].name,
        FrontLimits(listen.max_message_bytes, listen.max_queries, listen.max_matchers),
        config.limits.reply_bytes,
        config.shards.keep_label,
        concurrency_limit,
        tree,
    )


def make_server(config: Config, handler: Handler) -> HttpServer:
    """Return the server for all fronts and status pages, with its port bound."""
    listen = config.listen
    limits = ServerLimits(
        max_connections=listen.max_connections,
        idle_timeout=listen.idle_timeout,
        head_timeout=listen.head_timeout,
        body_timeout=listen.body_timeout,
        write_timeout=listen.write_timeout,
        message_limits=Limits(listen.max_head_bytes, listen.max_body_bytes),
        thread_stack_bytes=listen.stack_bytes,
        memory_bytes=listen.max_request_memory,
    )
    return HttpServer(listen.host, listen.port, handler, limits)
