"""Calls to discovery that nobody answers: another call has to follow, whatever made the first one.

A node runs against a discovery that this file scripts. The connections that are named silent stay open for
the whole test, so that only a further call brings the list.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from platform_fakes import (
    HEAD,
    SETTINGS,
    Platform,
    Replica,
    ScriptedDiscovery,
    Wire,
    chunk,
    host,
    line,
    wait_until,
)

PUSH_SETTINGS = SETTINGS | {
    "MembershipMode": "push",
    "Rules": SETTINGS["Rules"] | {"StopSendingWithinS": 0.5},
}
SETTINGS_BY_MODE: dict[str, Any] = {"asked": SETTINGS, "pushed": PUSH_SETTINGS}
QUERIES = 10


def send_cut_list(sock: socket.socket) -> None:
    """Send the first half of a list."""
    data = HEAD + chunk(line(1))
    sock.sendall(data[: len(data) - 8])


# What discovery does with a call before it falls silent.
SILENCES: dict[str, Callable[[socket.socket], None]] = {
    "nothing": lambda sock: None,
    "its head alone": lambda sock: sock.sendall(HEAD),
    "half of a list": send_cut_list,
}


class Deployment:
    """A node, two replicas that hold all shards, and two discoveries, of which it calls the first."""

    def __init__(self, folder: Path, mode: str) -> None:
        self.first, self.second = ScriptedDiscovery(), ScriptedDiscovery()
        self.removed, self.kept = Replica(0), Replica(0)
        self.platform = Platform(
            folder, self.removed, self.kept, settings=SETTINGS_BY_MODE[mode], where=self.first.where
        )

    def move(self, discovery: ScriptedDiscovery) -> None:
        """Give the node a new configuration, in which discovery has another address."""
        self.platform.configure(f"{discovery.where[0]}:{discovery.where[1]}")
        self.platform.node.reload()

    def list_both(self, sock: socket.socket) -> None:
        """Answer a call with a list of both replicas, and wait until the watch is up."""
        sock.sendall(HEAD + chunk(line(40, host(self.removed), host(self.kept))))
        watch = self.platform.node.watch
        wait_until(watch._has_watch, "the first list was read")

    def assert_removal_is_learnt(self, sock: socket.socket) -> None:
        """Answer a call with a list without one replica, and check that it is sent nothing from then on."""
        sock.sendall(HEAD + chunk(line(41, host(self.kept))))
        reader = self.platform.node.watch._reader
        wait_until(lambda: reader.version == 41, "the list without the removed replica was read")
        before = len(self.removed.parts.items)
        for number in range(QUERIES):
            assert self.platform.ask(f"q{number}", {0: 1.0})[0] == 200
        assert len(self.removed.parts.items) == before

    def close(self) -> None:
        self.first.close()
        self.second.close()
        self.platform.close()


@pytest.fixture(params=SETTINGS_BY_MODE)
def deployment(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Deployment]:
    created = Deployment(tmp_path, request.param)
    yield created
    created.close()


# Guards against a first call that nothing watches: where lists are pushed it was waited for without end.
@pytest.mark.parametrize("silence", SILENCES)
def test_a_silent_first_call_after_the_start_is_followed_by_another(
    deployment: Deployment, silence: str
) -> None:
    SILENCES[silence](deployment.first.sock(1))
    deployment.assert_removal_is_learnt(deployment.first.sock(2))


# Guards against a first call after SIGHUP that nothing watches: a removed replica got parts to the end.
@pytest.mark.parametrize("silence", SILENCES)
def test_a_silent_first_call_after_a_change_of_address_is_followed_by_another(
    deployment: Deployment, silence: str
) -> None:
    deployment.list_both(deployment.first.sock(1))
    deployment.move(deployment.second)
    SILENCES[silence](deployment.second.sock(1))
    deployment.assert_removal_is_learnt(deployment.second.sock(2))


# Guards against a further call that is made once only: the second may meet the same silence.
def test_two_silent_calls_after_a_change_of_address_are_followed_by_a_third(deployment: Deployment) -> None:
    deployment.list_both(deployment.first.sock(1))
    deployment.move(deployment.second)
    deployment.second.sock(2)
    deployment.assert_removal_is_learnt(deployment.second.sock(3))


# Guards against a second SIGHUP that ends the first's calls and leaves its own without a further call.
def test_two_changes_of_address_that_both_meet_silence(deployment: Deployment) -> None:
    deployment.list_both(deployment.first.sock(1))
    deployment.move(deployment.second)
    deployment.second.sock(1)
    deployment.move(deployment.first)
    deployment.first.sock(2)
    deployment.assert_removal_is_learnt(deployment.first.sock(3))


# Guards against a failed call after SIGHUP whose retry is made without a further call beside it.
def test_a_reset_call_after_a_change_of_address_and_then_a_silent_one(deployment: Deployment) -> None:
    deployment.list_both(deployment.first.sock(1))
    deployment.move(deployment.second)
    Wire(deployment.second.sock(1)).reset()
    deployment.second.sock(2)
    deployment.assert_removal_is_learnt(deployment.second.sock(3))


# Guards against a SIGHUP that arrives while calls wait: their timers no longer count at the new address.
def test_a_change_of_address_while_two_calls_wait(deployment: Deployment) -> None:
    deployment.first.sock(2)
    deployment.move(deployment.second)
    deployment.second.sock(1)
    deployment.assert_removal_is_learnt(deployment.second.sock(2))


# Guards against a first call that waited for the first query, as nothing else started the decisions.
def test_a_node_without_a_cached_list_calls_discovery_at_its_start(tmp_path: Path) -> None:
    discovery, replica = ScriptedDiscovery(), Replica(0)
    platform = Platform(tmp_path, replica, where=discovery.where, cached=False)
    try:
        discovery.sock(1).sendall(HEAD + chunk(line(1, host(replica))))
        wait_until(lambda: platform.node.watch._reader.version == 1, "the list was read")
        assert platform.ask("q", {0: 1.0})[0] == 200
    finally:
        discovery.close()
        platform.close()


# Guards against a node that is ready on the list of its configuration, which may hold a removed replica.
def test_where_lists_are_pushed_a_node_is_ready_with_its_first_list(tmp_path: Path) -> None:
    discovery, replica = ScriptedDiscovery(), Replica(0)
    platform = Platform(tmp_path, replica, settings=PUSH_SETTINGS, where=discovery.where)
    try:
        sock = discovery.sock(1)
        assert not platform.node.front.ready
        sock.sendall(HEAD + chunk(line(1, host(replica))))
        wait_until(lambda: platform.node.front.ready, "the node is ready")
    finally:
        discovery.close()
        platform.close()


# Guards against an early query on an open connection: it was sent by the old list, to a removed replica.
def test_where_lists_are_pushed_queries_before_the_first_list_are_refused(tmp_path: Path) -> None:
    discovery, removed, kept = ScriptedDiscovery(), Replica(0), Replica(0)
    platform = Platform(tmp_path, removed, kept, settings=PUSH_SETTINGS, where=discovery.where)
    try:
        sock = discovery.sock(1)
        for number in range(QUERIES):
            assert platform.ask(f"early{number}", {0: 1.0})[0] == 503
        sock.sendall(HEAD + chunk(line(1, host(kept))))
        wait_until(lambda: platform.node.front.ready, "the node is ready")
        assert platform.ask("later", {0: 1.0})[0] == 200
        assert not removed.parts.items
    finally:
        discovery.close()
        platform.close()
