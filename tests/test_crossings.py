"""Two events that cross at the node's sockets, each order forced: a hook or a stand-in holds one back.

The table in docs/design/node.md names the place that each of these forces.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gingervane.coordinator import types as t
from gingervane.interface import Outcome, Semantics
from gingervane.node import links as links_module
from gingervane.node.links import FrameTravel, LinkLimits, Links, _Link
from gingervane.node.service import Lines
from gingervane.wire.frames import Asked
from platform_standins import (
    PATIENCE, SETTINGS, Platform, Replica, Waiter, answer, query, request, until,
)


def with_limits(**changes: object) -> dict[str, Any]:
    return SETTINGS | {"Limits": SETTINGS["Limits"] | changes}


@pytest.fixture
def settled(monkeypatch: pytest.MonkeyPatch) -> Waiter:
    """Ids and verdicts of queries as the decision thread settles them."""
    seen, settle = Waiter(), Lines.settled

    def note(self: Lines, number: int, plan: t.QueryPlan, final: t.Final, seconds: float) -> None:
        settle(self, number, plan, final, seconds)
        seen.put((plan.tag, final.verdict))

    monkeypatch.setattr(Lines, "settled", note)
    return seen


@pytest.fixture
def rising(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """No connection to a replica comes up before this is set."""
    up, came_up = threading.Event(), _Link._came_up

    def held(self: _Link) -> None:
        up.wait(PATIENCE)
        came_up(self)

    monkeypatch.setattr(_Link, "_came_up", held)
    yield up
    up.set()


def links_of(platform: Platform) -> Links:
    links = platform.node.core._senders
    assert isinstance(links, Links)
    return links


def asked(*replicas: Replica) -> list[str]:
    return [part.id for replica in replicas for part in replica.parts.items]


def test_an_answer_that_comes_after_its_part_s_time_spoils_nothing(tmp_path: Path) -> None:
    """Its place on the connection has been given to another part by then, which ended with the connection."""
    replica, told = Replica(0, lambda wire, part: None), Waiter()
    links = Links(LinkLimits(streams=1, links=4, idle=PATIENCE, connect=PATIENCE), told.put)
    where = "127.0.0.1", replica.port

    def asked(number: int, name: str) -> t.Call:
        errand = t.Errand(number, 0, Asked(name, 0, "", b"x"), Semantics.SAFE)
        call = t.Call(number, 1, where, FrameTravel(), [errand], time.monotonic())
        assert links.start(call)
        while len(replica.parts.items) < number:
            until(lambda: links._ready or len(replica.parts.items) == number, "the connection is up")
            links.tend()
        return call

    first = asked(1, "a.0")
    links.withdraw(first, first.errands[0], True)
    asked(2, "b.0")
    assert len(replica.wires) == 1
    replica.wires[0].raw(answer("a.0") + answer("b.0"))
    (ended,) = told.wait(1, bool)[0]
    assert (ended.part, ended.outcome) == (2, Outcome.OK)
    links.close()
    replica.close()


def test_out_of_descriptors_a_part_ends_unsent_and_nothing_else_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The decision thread broke, and with it every query after."""
    platform = Platform(tmp_path, Replica(0))

    def none_left(self: _Link, *args: object) -> None:
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(_Link, "__init__", none_left)
        assert platform.ask("q", {0: 1.0}, "/book", wait=500)[0] == 503
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()


# ---- a part that waits, and the end of its query


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("path", ["/look", "/book"])
def test_a_part_that_waits_for_its_connection_does_not_leave_after_its_client(
    tmp_path: Path, settled: Waiter, rising: threading.Event, cancelling: bool, path: str,
) -> None:
    """Where attempts may not be cancelled the module cancels none: the part left later."""
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=PATIENCE)
    platform = Platform(tmp_path, replica, settings=limits)
    sock = platform.client()
    sock.sendall(query("gone", {0: 0.5, 1: 0.5}, path))
    until(lambda: links_of(platform).held == 2, "the parts wait for their connection")
    sock.close()
    assert settled.wait() == [("gone", t.Verdict.LEFT)]
    rising.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_part_that_waits_for_its_connection_does_not_leave_after_its_query_s_answer(
    tmp_path: Path, rising: threading.Event, cancelling: bool,
) -> None:
    replica = Replica(0)
    limits = with_limits(Cancelling=cancelling, ConnectTimeoutS=PATIENCE)
    platform = Platform(tmp_path, replica, settings=limits)
    assert platform.ask("late", {0: 1.0}, wait=200)[0] == 503
    rising.set()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert asked(replica) == ["after.0"]
    platform.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_frame_that_has_left_in_part_is_not_finished_for_a_client_that_has_gone(
    tmp_path: Path, settled: Waiter, monkeypatch: pytest.MonkeyPatch, cancelling: bool,
) -> None:
    connect = _Link.connect

    def small(self: _Link) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connect(self)

    monkeypatch.setattr(links_module._Link, "connect", small)
    replica = Replica(0)
    replica._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    replica.reading.clear()
    platform = Platform(tmp_path, replica, settings=with_limits(Cancelling=cancelling))
    sock = platform.client()
    text = json.dumps({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x" * 60000})
    sock.sendall(request("gone", text))
    links = links_of(platform)._by_number
    until(lambda: any(link._half for link in links.values()), "half of the frame has left")
    sock.close()
    assert settled.wait() == [("gone", t.Verdict.LEFT)]
    replica.reading.set()
    replica.ended.wait()
    assert asked(replica) == []
    assert platform.ask("after", {0: 1.0})[0] == 200
    platform.close()
