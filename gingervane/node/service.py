"""The node: the program's one co-ordinator on the platform's protocol, put together and taken apart.

Owners: the main thread makes it, waits for signals and ends it; everything else is owned as its modules say.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from math import inf
from pathlib import Path

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.core import Bounds, Core, Outside
from gingervane.fronts.connections import MOST_ENDING
from gingervane.fronts.http_server import HttpServer, ServerLimits
from gingervane.node import config as configuration
from gingervane.node.clients import ClientFront
from gingervane.node.config import Config, ConfigError
from gingervane.node.discovery import ListError, ListReader, Watch, clock_offset
from gingervane.node.links import SPARE, LinkLimits, Links
from gingervane.node.peers import Peers
from gingervane.policy import Coordinator
from gingervane.wire.http1 import Limits
from gingervane.wire.tap import TAP

# SIGKILL comes no sooner than this after SIGTERM, plus the longest deadline, which counts as 3 s where it is longer.
KILL_AFTER, LONGEST_COUNTED = 0.7, 3.0
LAST_ANSWERS = 0.3  # seconds before SIGKILL may come, by when all that is still open has been answered
OWN_DESCRIPTORS = 24  # the listener, discovery, datagrams, epoll, standard streams, and some to spare
LAST_WRITES = 0.25  # of them, to write the replies and to have them read, before the process takes them with it
_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def log(text: str) -> None:
    sys.stderr.write(text + "\n")
    sys.stderr.flush()


class Lines:
    """What the core tells an operator: few lines, nothing for each query."""

    def settled(self, query: int, plan: t.QueryPlan, final: t.Final, seconds: float) -> None:
        if TAP.on:
            TAP.put("settled", 0, 0, query=plan.tag, verdict=final.verdict.value, seconds=seconds, why=final.why)

    def attempt(self, outcome: api.Outcome, replica: int, seconds: float) -> None:
        if TAP.on:
            TAP.put("told", 0, 0, outcome=outcome.value, replica=replica, seconds=seconds)

    def remark(self, text: str) -> None:
        log(text)

    def broke(self, error: BaseException) -> None:
        log(f"the decision thread broke: {type(error).__name__}: {error}")


class Node:
    def __init__(self, path: Path, config: Config) -> None:
        self._path, self._config = path, config
        settings = config.settings
        # Half for replicas, half for clients, who need no more than a third for requests.
        links = max(config.sockets // 2 - OWN_DESCRIPTORS - SPARE, 1)
        limits = LinkLimits(config.streams, links, 0.8 * config.conn_idle, config.connect_timeout)
        # Room for every part of as many queries as there can be connections: descriptors bound it, not this.
        most = Bounds(config.sockets * (1 + config.shards), 64 << 20)
        self.core = Core(
            Coordinator(settings, config.seed), settings, most, Lines(), lambda report: Links(limits, report),
            Outside(self._subscribe, self._tell_peers), gather=settings.granularity,
        )
        self.front = ClientFront(self.core, config.class_names, config.shards)
        reader = ListReader(config.zones, clock_offset(), log)
        # Where lists are pushed, all counts as told as soon as discovery is back: a call that hangs since before
        # must not outlast the grace.
        patience = inf if settings.must_ask_membership else settings.drain_grace or inf
        self.watch = Watch(config.discovery, reader, self.core.listed, log, patience)
        self._peers = (
            Peers(config.peer_listen, config.peers, config.peers_all, config.me, self.core.heard)
            if config.peer_listen and settings.may_message_peers else None
        )
        try:
            known = reader.read(config.known, cached=True) if config.known else None
        except ListError as error:
            log(f"known: {error}")
            known = None
        if known:
            self.core.listed(known)
        connections = max(config.sockets - links - SPARE - OWN_DESCRIPTORS - MOST_ENDING, 1)
        self.server = HttpServer(*config.listen, self.front.handle, ServerLimits(
            connections=connections, head=1.5, body=1.0, write=5.0, message=Limits(16384, 65536), silent=2.0,
            crowd=config.sockets // 6,  # half of what clients may hold for requests
        ))

    def _subscribe(self) -> None:
        self.watch.follow()

    def _tell_peers(self, payload: bytes) -> None:
        if self._peers:
            self._peers.tell(payload)

    def start(self) -> None:
        self.server.start()  # before the others: it sets the stack of new threads
        self.watch.start()
        if self._peers:
            self._peers.start()
        if not self._config.settings.must_ask_membership:
            self.watch.follow()
        self.core.start()
        self.front.ready = True

    def reload(self) -> None:
        """SIGHUP: follow discovery to where the file now says it is."""
        try:
            new = configuration.read(self._path)
        except ConfigError as error:
            log(f"configuration kept: {error}")
            return
        log(f"configuration read again: discovery at {new.discovery[0]}:{new.discovery[1]}")
        self.watch.move(new.discovery)

    def stop(self) -> None:
        """SIGTERM: serve on the connections there are for as long as the platform surely lets us, then end.

        Clients keep using those they have, and a co-ordinator that ends early leaves them to the others, of which
        one may be on its way back itself. What is still open at the end is refused, or failed where that could do
        harm, in time to be heard.
        """
        self.front.ready = False
        longest = max(kind.deadline for kind in self._config.settings.classes)
        time.sleep(min(longest, LONGEST_COUNTED) + KILL_AFTER - LAST_ANSWERS)
        self.end()
        log("ended")

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
    if trace := os.environ.get("GINGERVANE_TRACE"):
        TAP.open(Path(trace))
    try:
        config = configuration.read(path)
        node = Node(path, config)
    except (ConfigError, OSError) as error:
        log(f"gingervane: {error}")
        return 2
    node.start()
    log(f"{config.name} listens on {config.listen[0]}:{config.listen[1]}, {threading.active_count()} threads")
    while True:
        number = signal.sigwait(_SIGNALS)
        if number == signal.SIGHUP:
            node.reload()
            continue
        log(f"ending on {signal.Signals(number).name}")
        node.stop()
        return 0
