"""Clients that disconnect before, while and after their query is sent to replicas."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from connection_tools import BlockableMethod, has_unread_request, idle_client, received_part_ids
from platform_fakes import (
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    Part,
    Platform,
    Replica,
    Waiter,
    Wire,
    connections_of,
    query,
    wait_until,
)

from gingervane.coordinator.core import QueryCoordinator
from gingervane.fronts.client_connection import is_disconnected

FULL_BUFFER_SECONDS = 0.3  # without progress of a send, after which the buffers count as full


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


DISCONNECTS = [closes, resets, closes_behind_bytes, shuts_its_side]


@pytest.mark.parametrize("disconnect_client", DISCONNECTS)
def test_a_client_that_disconnects_with_a_part_in_flight(
    tmp_path: Path, disconnect_client: Callable[[socket.socket], None]
) -> None:
    unresponsive = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, unresponsive)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    unresponsive.parts.wait(1, lambda part: part.id == "q.0")
    disconnect_client(sock)
    assert unresponsive.cancels.wait() == ["q.0"]
    wait_until(lambda: not connections_of(platform).table.open, "its connection is closed")
    assert received_part_ids(platform) == [
        "q.0"
    ], "the request pipelined before the disconnect is not executed"
    sock.close()
    platform.close()


# Guards against an end of stream that stays hidden while the client's further bytes fill the receive buffer.
def test_a_client_that_disconnects_behind_a_full_receive_buffer(tmp_path: Path) -> None:
    unresponsive = Replica(0, lambda wire, part: None)
    classes = [kind | {"AimS": 50.0, "DeadlineS": 60.0} for kind in SETTINGS["Classes"]]
    platform = Platform(tmp_path, unresponsive, settings=SETTINGS | {"Classes": classes})
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}, timeout_ms=60_000))
    unresponsive.parts.wait(1, lambda part: part.id == "q.0")
    sock.settimeout(FULL_BUFFER_SECONDS)
    with contextlib.suppress(TimeoutError, ConnectionError):
        while True:
            sock.sendall(query("behind", {1: 1.0}))
    sock.close()
    assert unresponsive.cancels.wait() == ["q.0"]
    assert received_part_ids(platform) == ["q.0"]
    platform.close()


@pytest.mark.parametrize("disconnect_client", DISCONNECTS)
def test_a_client_that_disconnected_before_its_request_was_read(
    platform: Platform,
    connection_events: BlockableMethod,
    disconnect_client: Callable[[socket.socket], None],
) -> None:
    sock = idle_client(platform)
    connection_events.block()
    sock.sendall(query("q", {0: 1.0}))
    wait_until(lambda: has_unread_request(platform), "the request is unread")
    disconnect_client(sock)
    connection_events.unblock()
    wait_until(lambda: not connections_of(platform).table.open, "its connection is closed")
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert received_part_ids(platform) == ["first.0", "after.0"]
    sock.close()


def test_a_client_that_disconnects_while_its_query_waits_for_the_decision_thread(
    platform: Platform,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decision_turn = BlockableMethod(monkeypatch, QueryCoordinator, "_turn")
    disconnected, original = Waiter(), QueryCoordinator.client_disconnected

    def record_disconnect(self: QueryCoordinator, number: int) -> None:
        original(self, number)
        disconnected.put(number)

    monkeypatch.setattr(QueryCoordinator, "client_disconnected", record_disconnect)
    decision_turn.block()
    assert decision_turn.entered.wait(WAIT_TIMEOUT_SECONDS)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    wait_until(lambda: platform.node.core.admission.open, "the query is in the inbox")
    sock.close()
    disconnected.wait()
    decision_turn.unblock()
    assert platform.ask("after", {0: 1.0})[0] == 200
    assert received_part_ids(platform) == ["after.0"]


# The next send that is due as the client disconnects: of the second step, a hedged request or a retry.
NEXT_SENDS = ["its second step", "a copy", "a retry"]


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("first_event", ["leaves", "is due", "stays"])
@pytest.mark.parametrize("due", NEXT_SENDS)
def test_a_client_that_disconnects_as_a_further_send_is_due(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    due: str,
    first_event: str,
    cancelling: bool,
) -> None:
    """The disconnect and the event that makes the send due reach the decision thread in one batch.

    In either order, nothing more is sent. In the control case the client stays, and more is sent.
    """

    def behave(wire: Wire, part: Part) -> None:
        if part.id.startswith("after"):
            wire.answer(part.id)

    decision_turn, disconnected, original = (
        BlockableMethod(monkeypatch, QueryCoordinator, "_turn"),
        Waiter(),
        QueryCoordinator.client_disconnected,
    )
    decision_turn.unblocked.set()

    def record_disconnect(self: QueryCoordinator, number: int) -> None:
        original(self, number)
        disconnected.put(number)

    monkeypatch.setattr(QueryCoordinator, "client_disconnected", record_disconnect)
    limits = SETTINGS["Limits"] | {"Cancelling": cancelling}
    replicas = Replica(0, behave), Replica(0, behave)
    platform = Platform(tmp_path, *replicas, settings=SETTINGS | {"Limits": limits})
    core, sock = platform.node.core, platform.client()
    decision_turn.unblocked.clear()
    engine: Any = core._driver._engine
    engine.latency.samples[0].extend([0.4] * 25)  # seconds; latencies that make a hedged request due

    def sent_parts() -> list[tuple[Replica, Part]]:
        return [(replica, part) for replica in replicas for part in replica.parts.items]

    def block_next_turn() -> None:
        decision_turn.block()
        core._inbox.put([])
        assert decision_turn.entered.wait(WAIT_TIMEOUT_SECONDS)

    sock.sendall(query("q", {0: 1.0}, "/rank" if due == NEXT_SENDS[0] else "/look"))
    wait_until(sent_parts, "its part is sent")
    block_next_turn()
    ((replica, part),) = sent_parts()

    def disconnect() -> None:
        sock.close()
        disconnected.wait()

    def trigger_next_send() -> None:
        if due == "a copy":
            wait_until(lambda: core._driver.next_due() < time.monotonic(), "the hedged request is due")
            return
        if due == "a retry":
            replica.wires[0].reset()
        else:
            replica.wires[0].answer(part.id)
        wait_until(lambda: core._inbox.qsize() > len(disconnected.items), "the outcome is in the inbox")

    actions_by_order = {
        "leaves": [disconnect, trigger_next_send],
        "is due": [trigger_next_send, disconnect],
        "stays": [trigger_next_send],
    }
    for action in actions_by_order[first_event]:
        action()
    decision_turn.unblock()
    if first_event == "stays":
        wait_until(lambda: len(sent_parts()) > 1, "more is sent")
    else:
        assert platform.ask("after", {0: 1.0})[0] == 200
        assert [part.id for _, part in sent_parts() if not part.id.startswith("after")] == ["q.0"]
    sock.close()
    platform.close()


def test_a_connection_is_watched_again_after_an_event_that_was_no_disconnect(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each event must be requested anew; after an event that was no disconnect, none was requested."""
    unresponsive, checks = Replica(0, lambda wire, part: None), Waiter()

    def connected_at_first_check(sock: socket.socket) -> bool:
        checks.put(sock)
        return len(checks.items) > 1 and is_disconnected(sock)

    platform = Platform(tmp_path, unresponsive)
    sock = platform.client()
    sock.sendall(query("q", {0: 1.0}))
    unresponsive.parts.wait()
    monkeypatch.setattr("gingervane.fronts.connections.is_disconnected", connected_at_first_check)
    sock.close()
    assert unresponsive.cancels.wait() == ["q.0"] and len(checks.items) == 2
    platform.close()


def test_clients_that_disconnect_before_their_replies_leave_nothing_open(platform: Platform) -> None:
    disconnected = [platform.client() for _ in range(30)]
    for number, sock in enumerate(disconnected):
        sock.sendall(query(f"q{number}", {0: 1.0}))
        sock.close()
    wait_until(lambda: not connections_of(platform).table.open, "all connections are closed")
    wait_until(lambda: not platform.node.core.admission.open, "no query is open for them")
    assert platform.ask("after", {0: 1.0})[0] == 200
