"""Clients that disconnect: before, while and after something is sent for them."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from connection_tools import Held, asked, lies_unread, rested
from platform_fakes import (
    PATIENCE,
    SETTINGS,
    Part,
    Platform,
    Replica,
    Waiter,
    Wire,
    connections_of,
    query,
    until,
)

from gingervane.coordinator.core import QueryCoordinator
from gingervane.fronts.client_connection import is_disconnected


def closes(sock: socket.socket) -> None:
    sock.close()


def resets(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def closes_behind_bytes(sock: socket.socket) -> None:
    sock.sendall(query("behind", {1: 1.0}))
    sock.close()


def shuts_its_side(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


LEAVING = [closes, resets, closes_behind_bytes, shuts_its_side]


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_leaves_with_a_part_out(tmp_path: Path, leave: Callable[[socket.socket], None]) -> None:
    silent = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, silent)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    silent.parts.wait(1, lambda part: part.id == "q.0")
    leave(sock)
    assert silent.cancels.wait() == ["q.0"]
    until(lambda: not connections_of(platform)._open, "its connection is gone")
    assert asked(platform) == ["q.0"], "what came behind it is nobody's any more"
    sock.close()
    platform.close()


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_left_before_its_request_was_read(
    platform: Platform,
    looking: Held,
    leave: Callable[[socket.socket], None],
) -> None:
    sock = rested(platform)
    looking.hold()
    sock.sendall(query("q", {0: 1.0}))
    until(lambda: lies_unread(platform), "the request lies unread")
    leave(sock)
    looking.let_go()
    until(lambda: not connections_of(platform)._open, "its connection is gone")
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(platform) == ["first.0", "after.0"]
    sock.close()


def test_a_client_that_left_while_it_waited_for_the_decision_thread(
    platform: Platform,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    turning = Held(monkeypatch, QueryCoordinator, "_turn")
    left, leave = Waiter(), QueryCoordinator.client_disconnected

    def note(self: QueryCoordinator, number: int) -> None:
        leave(self, number)
        left.put(number)

    monkeypatch.setattr(QueryCoordinator, "client_disconnected", note)
    turning.hold()
    assert turning.entered.wait(PATIENCE)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    until(lambda: platform.node.core.admission.open, "the query is in the inbox")
    sock.close()
    left.wait()
    turning.let_go()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(platform) == ["after.0"]


# What is about to be decided as the client leaves: the next step, a copy, a retry.
NEXT = ["its second step", "a copy", "a retry"]


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("first", ["leaves", "is due", "stays"])
@pytest.mark.parametrize("due", NEXT)
def test_a_client_that_leaves_as_more_is_about_to_be_sent_for_it(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    due: str,
    first: str,
    cancelling: bool,
) -> None:
    """Both lie before the decision thread in the same turn, in either order: nothing more is sent.

    For a client that stays it is, so that the others prove something.
    """

    def behave(wire: Wire, part: Part) -> None:
        if part.id.startswith("after"):
            wire.answer(part.id)

    turning, left, leave = (
        Held(monkeypatch, QueryCoordinator, "_turn"),
        Waiter(),
        QueryCoordinator.client_disconnected,
    )
    turning.go.set()

    def note(self: QueryCoordinator, number: int) -> None:
        leave(self, number)
        left.put(number)

    monkeypatch.setattr(QueryCoordinator, "client_disconnected", note)
    limits = SETTINGS["Limits"] | {"Cancelling": cancelling}
    replicas = Replica(0, behave), Replica(0, behave)
    platform = Platform(tmp_path, *replicas, settings=SETTINGS | {"Limits": limits})
    core, sock = platform.node.core, platform.client()
    turning.go.clear()
    module: Any = core._driver._module
    module.latency.samples[0].extend([0.4] * 25)  # after which a copy follows

    def out() -> list[tuple[Replica, Part]]:
        return [(replica, part) for replica in replicas for part in replica.parts.items]

    def hold_the_next_turn() -> None:
        turning.hold()
        core._inbox.put([])
        assert turning.entered.wait(PATIENCE)

    sock.sendall(query("q", {0: 1.0}, "/rank" if due == NEXT[0] else "/look"))
    until(out, "its part is out")
    hold_the_next_turn()
    ((replica, part),) = out()

    def goes() -> None:
        sock.close()
        left.wait()

    def comes() -> None:
        if due == "a copy":
            until(lambda: core._driver.next_due() < time.monotonic(), "it is due")
            return
        if due == "a retry":
            replica.wires[0].reset()
        else:
            replica.wires[0].answer(part.id)
        until(lambda: core._inbox.qsize() > len(left.items), "its end is told")

    acts = {"leaves": [goes, comes], "is due": [comes, goes], "stays": [comes]}
    for act in acts[first]:
        act()
    turning.let_go()
    if first == "stays":
        until(lambda: len(out()) > 1, "more is sent")
    else:
        assert platform.ask("after", {0: 1.0})[0] == 200
        assert [part.id for _, part in out() if not part.id.startswith("after")] == ["q.0"]
    sock.close()
    platform.close()


def test_a_client_s_leaving_is_looked_for_again_after_news_that_was_none(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each piece of news comes once; one that proved to be none left its connection unwatched."""
    silent, asks = Replica(0, lambda wire, part: None), Waiter()

    def not_at_first(sock: socket.socket) -> bool:
        asks.put(sock)
        return len(asks.items) > 1 and is_disconnected(sock)

    platform = Platform(tmp_path, silent)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    silent.parts.wait()
    monkeypatch.setattr("gingervane.fronts.connections.is_disconnected", not_at_first)
    sock.close()
    assert silent.cancels.wait() == ["q.0"] and len(asks.items) == 2
    platform.close()


def test_a_client_that_leaves_as_its_reply_is_written_harms_nobody(platform: Platform) -> None:
    left = [platform.client() for _ in range(30)]
    for number, sock in enumerate(left):
        sock.sendall(query(f"q{number}", {0: 1.0}))
        sock.close()
    until(lambda: not connections_of(platform)._open, "all are gone")
    until(lambda: not platform.node.core.admission.open, "nothing is held for them")
    assert platform.ask("after", {0: 1.0})[0] == 200
