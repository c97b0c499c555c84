"""The watch of discovery: calls that stall at each stage, changes of address, backoffs and stale lists.

The fake discovery sends exactly the bytes that a test writes.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from platform_fakes import (
    HEAD,
    NO_LENGTH,
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    MembershipRecorder,
    Platform,
    RecordedLog,
    Replica,
    ScriptedDiscovery,
    chunk,
    endpoint_entry,
    host,
    line,
    wait_until,
)

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.node import discovery_call
from gingervane.node.discovery import DiscoveryWatch, WatchState
from gingervane.node.endpoint_list import EndpointListReader


def entry(health: str = "SERVING") -> dict[str, Any]:
    return endpoint_entry("s-1", "127.0.0.1:80", health=health)


class WatchHarness:
    """A watch without a node: its updates and log, and two fake discoveries, of which it calls the first."""

    def __init__(self, max_calls: int = 3) -> None:
        self.updates, self.log = MembershipRecorder(), RecordedLog()
        self.first_discovery, self.second_discovery = ScriptedDiscovery(), ScriptedDiscovery()
        reader = EndpointListReader(("a",), ReplicaStartTimes(), self.log)
        self.watch = DiscoveryWatch(self.first_discovery.where, reader, self.updates, self.log, max_calls)
        self.updates.request_watch = self.watch.request_watch
        self.watch.start()
        self.watch.request_watch()

    def states(self) -> list[str]:
        """The updates, oldest first: 'failed', 'interrupted', 'no change' or the state of the one replica."""
        return [
            "interrupted"
            if isinstance(update, float)
            else "failed"
            if update.membership.kind is api.MembershipUpdateKind.FAILED
            else update.membership.replicas[0].state.name
            if update.membership.replicas
            else "no change"
            for update in self.updates.items
        ]

    def ends(self) -> dict[str, int]:
        """Number of ended calls by reason."""
        return dict(self.watch.call_ends())

    def close(self) -> None:
        self.watch.stop()
        self.first_discovery.close()
        self.second_discovery.close()


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[WatchHarness]:
    # Shorter than the protocol's 2.5 s, to keep the tests fast.
    monkeypatch.setattr(discovery_call, "STALL_TIMEOUT", 0.3)
    created = WatchHarness()
    yield created
    created.close()


def send_without_line_ends(sock: socket.socket) -> None:
    """Send bytes without a line end until the connection is closed."""

    def keep_sending() -> None:
        pause = threading.Event()
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(b"1\r\n \r\n")
                pause.wait(0.02)

    sock.sendall(HEAD)
    threading.Thread(target=keep_sending, daemon=True).start()


STALLS_BEFORE_A_LIST: dict[str, Callable[[socket.socket], None]] = {
    "once connected": lambda sock: sock.sendall(b""),
    "inside the head": lambda sock: sock.sendall(HEAD[:-7]),
    "behind the head": lambda sock: sock.sendall(HEAD),
    "inside a chunk": lambda sock: sock.sendall(HEAD + chunk(line(1, entry()))[:-20]),
    "inside a value": lambda sock: sock.sendall(HEAD + chunk(line(1, entry())[:-20])),
    "behind an empty line": lambda sock: sock.sendall(HEAD + chunk(b"\n")),
    "with bytes that end no line": send_without_line_ends,
    "where no length is given": lambda sock: sock.sendall(NO_LENGTH + line(1, entry())[:-20]),
}
STALLS_OF_A_WATCH: dict[str, Callable[[socket.socket], None]] = {
    "behind a list": lambda sock: None,
    "behind an empty line": lambda sock: sock.sendall(chunk(b"\n")),
    "inside a change": lambda sock: sock.sendall(chunk(line(2, entry("DRAINING"), whole=False))[:-9]),
    "with bytes that end no line": lambda sock: sock.sendall(chunk(b" ") * 20),
}


@pytest.mark.parametrize("stage", STALLS_BEFORE_A_LIST)
def test_a_stalled_call_does_not_block_other_calls(harness: WatchHarness, stage: str) -> None:
    """Guards against calls made one after another, each timed out after 3 s: two that stalled exceeded the 6
    s within which a node must be notified."""
    STALLS_BEFORE_A_LIST[stage](harness.first_discovery.sock(1))
    harness.watch.request_watch()
    harness.first_discovery.sock(2)
    harness.watch.request_watch()
    harness.first_discovery.sock(3).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    harness.updates.wait()
    assert harness.states() == ["DRAINING"]
    wait_until(lambda: len(harness.watch._calls) == 1, "both stalled calls have ended")
    assert harness.ends() == {"another call was answered": 2}


@pytest.mark.parametrize("stage", STALLS_OF_A_WATCH)
def test_a_stalled_watch_is_reported(harness: WatchHarness, stage: str) -> None:
    """Guards against bytes without a line end that postpone the timeout indefinitely."""
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait()
    STALLS_OF_A_WATCH[stage](harness.first_discovery.sock(1))
    harness.updates.wait(2)
    assert harness.states() == ["READY", "interrupted"] and harness.updates.items[1] >= 0.3
    harness.watch.request_watch()
    harness.first_discovery.sock(2).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    harness.updates.wait(3)
    assert harness.states() == ["READY", "interrupted", "DRAINING"]
    wait_until(lambda: harness.ends() == {"another call was answered": 1}, "the stalled watch has ended")


def test_a_stalled_watch_that_receives_data_again_stays_the_watch(harness: WatchHarness) -> None:
    """Guards against closing a watch, and losing its place in discovery's queue, because a line is a little
    late."""
    first = harness.first_discovery.sock(1)
    first.sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait(2)
    harness.watch.request_watch()
    harness.first_discovery.sock(2)
    first.sendall(chunk(b"\n"))
    harness.updates.wait(3)
    first.sendall(chunk(line(2, entry("DRAINING"), whole=False)))
    harness.updates.wait(4)
    assert harness.states() == ["READY", "interrupted", "no change", "DRAINING"]
    wait_until(lambda: harness.ends() == {"another call was answered": 1}, "the parallel call has ended")


def test_the_oldest_call_is_never_superseded(harness: WatchHarness) -> None:
    """Guards against a timeout of 3 s on each call: a discovery that takes longer never got to answer."""
    first = harness.first_discovery.sock(1)
    for number in range(2, 8):
        harness.watch.request_watch()
        harness.first_discovery.sock(number)
        wait_until(lambda: len(harness.watch._calls) <= 3, "one call was superseded")
    first.sendall(HEAD + chunk(line(1, entry("DRAINING"))))
    harness.updates.wait()
    assert harness.states() == ["DRAINING"]
    wait_until(lambda: len(harness.watch._calls) == 1, "all other calls have ended")
    assert harness.ends() == {"gave way to a newer call": 4, "another call was answered": 2}


def test_a_superseded_answer_restores_no_draining_replica(harness: WatchHarness) -> None:
    """Both calls requested changes from the same version: the older list does not mean that versions
    restarted."""
    read, read_started, proceed = EndpointListReader.read, threading.Event(), threading.Event()
    first = harness.first_discovery.sock(1)
    harness.watch.request_watch()
    second = harness.first_discovery.sock(2)

    def delayed(self: EndpointListReader, data: Any, *args: Any, **kwargs: Any) -> t.EndpointsUpdated | None:
        update = read(self, data, *args, **kwargs)
        if data["seq"] == 5 and not read_started.is_set():
            read_started.set()
            proceed.wait(WAIT_TIMEOUT_SECONDS)
        return update

    EndpointListReader.read = delayed  # type: ignore[method-assign]
    try:
        second.sendall(HEAD + chunk(line(5, entry("DRAINING"))))
        assert read_started.wait(WAIT_TIMEOUT_SECONDS)
        first.sendall(HEAD + chunk(line(4, entry())))  # read after the newer list was reported
        wait_until(lambda: harness.watch._calls[0].progress.lines == 1, "the older answer waits to be read")
        proceed.set()
        harness.updates.wait()
        wait_until(lambda: len(harness.watch._calls) == 1, "one of the calls has ended")
    finally:
        EndpointListReader.read = read  # type: ignore[method-assign]
    assert "READY" not in harness.states() and harness.states()[0] == "DRAINING"


def test_parallel_calls_that_fail_are_reported_once(harness: WatchHarness) -> None:
    """Each reported failure leads to one more call."""
    for number in (1, 2, 3):
        harness.first_discovery.sock(number)
        if number < 3:
            harness.watch.request_watch()
    for number in (1, 2, 3):
        harness.first_discovery.sock(number).close()
    wait_until(lambda: not harness.watch._calls, "all calls have ended")
    assert harness.states() == ["failed"]


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_drain_during_a_stall_is_applied(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    mode: str,
) -> None:
    monkeypatch.setattr(discovery_call, "STALL_TIMEOUT", 0.3)
    calls, draining, serving = ScriptedDiscovery(), Replica(0), Replica(0)
    settings = SETTINGS | {"MembershipMode": mode}
    platform = Platform(tmp_path, draining, serving, settings=settings, where=calls.where)
    hosts = host(draining), host(serving)
    calls.sock(1).sendall(HEAD + chunk(line(1, *hosts)))  # and nothing more
    calls.sock(2).sendall(HEAD + chunk(line(2, host(draining, health="DRAINING"), whole=False)))
    assert "since=1" in calls.calls.items[1][1]
    wait_until(lambda: platform.node.watch._reader.version == 2, "the drain was received")
    before = len(draining.parts.items)
    for number in range(10):
        assert platform.ask(f"q{number}", {0: 1.0})[0] == 200
    assert len(draining.parts.items) == before
    calls.close()
    platform.close()


@pytest.mark.parametrize("framing", ["chunked", "no length", "a length"])
def test_lists_are_read_in_any_framing(harness: WatchHarness, framing: str) -> None:
    data = line(1, entry())
    harness.first_discovery.sock(1).sendall(
        {
            "chunked": HEAD + chunk(data),
            "no length": NO_LENGTH + data,
            "a length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data,
        }[framing]
    )
    harness.updates.wait()
    assert harness.states()[0] == "READY"


# Guards against an internal error that ended a watch whose first list was received before its line end.
def test_a_list_that_is_received_before_its_line_end_starts_a_watch(harness: WatchHarness) -> None:
    first = harness.first_discovery.sock(1)
    first.sendall(HEAD + chunk(line(1, entry()).rstrip()))
    harness.updates.wait()
    first.sendall(chunk(b"\n") + chunk(line(2, entry("DRAINING"), whole=False)))
    harness.updates.wait(2)
    assert harness.states() == ["READY", "DRAINING"] and not harness.ends()
    harness.updates.wait(3)
    assert harness.states()[2:] == ["interrupted"], "without a further line it stalls"


def test_a_reset_inside_a_list_without_length_is_a_failure(harness: WatchHarness) -> None:
    first = harness.first_discovery.sock(1)
    first.sendall(NO_LENGTH + line(1, entry("DRAINING"))[:-3])
    wait_until(lambda: harness.watch._calls[0]._sock is not None, "the call is under way")
    first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    first.close()
    harness.updates.wait()
    assert harness.states() == ["failed"]


def test_an_older_complete_list_after_a_newer_change_is_ignored(harness: WatchHarness) -> None:
    first = harness.first_discovery.sock(1)
    first.sendall(HEAD + chunk(line(5, entry())) + chunk(line(7, entry("DRAINING"), whole=False)))
    first.sendall(chunk(line(6, entry())) + chunk(line(8, entry("DRAINING"), whole=False)))
    harness.updates.wait(3)
    assert harness.states() == ["READY", "DRAINING", "DRAINING"]
    first.close()
    harness.updates.wait(4)
    harness.watch.request_watch()
    assert "since=8" in harness.first_discovery.calls.wait(2)[1][1]
    # A version below 8: discovery has restarted its versions.
    harness.first_discovery.sock(2).sendall(HEAD + chunk(line(2, entry())))
    harness.updates.wait(5)
    assert harness.states()[3:] == ["interrupted", "READY"]


def test_a_call_without_changes_has_succeeded(harness: WatchHarness) -> None:
    """Guards against not reporting the success: the next call kept the backoff of the failures before it."""
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(5, entry())))
    harness.updates.wait()
    harness.first_discovery.sock(1).close()
    harness.updates.wait(2)
    harness.watch.request_watch()
    second = harness.first_discovery.sock(2)
    second.sendall(HEAD + chunk(line(5, whole=False)))
    harness.updates.wait(3)
    second.sendall(chunk(line(4, entry("DRAINING"), whole=False)))
    second.sendall(chunk(line(6, entry("DRAINING"), whole=False)))
    harness.updates.wait(4)
    assert harness.states() == [
        "READY",
        "interrupted",
        "no change",
        "DRAINING",
    ], "a stale change was applied"


def test_an_address_change_skips_the_backoff_and_requests_a_complete_list(harness: WatchHarness) -> None:
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(9, entry())))
    harness.updates.wait()
    harness.first_discovery.sock(1).close()
    harness.updates.wait(2)  # the decision engine would run a backoff now
    harness.watch.change_address(harness.second_discovery.where)
    assert harness.second_discovery.calls.wait()[0][1] == "/v1/endpoints?follow=1&since=0"
    harness.second_discovery.sock(1).sendall(HEAD + chunk(line(1, entry("DRAINING"))))
    harness.updates.wait(3)
    assert harness.states() == ["READY", "interrupted", "DRAINING"]


def test_failures_at_the_old_and_the_new_address_are_reported_once_each(harness: WatchHarness) -> None:
    """Each reported failure leads to one more call. That those do not add up after a change of address is
    tested with the engine, which makes both."""
    harness.first_discovery.sock(1).close()
    harness.updates.wait()
    harness.watch.change_address(harness.second_discovery.where)
    harness.second_discovery.sock(1).sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
    harness.log.wait(2, lambda item: item[0] == "watch_state_changed" and item[1]["new"] is WatchState.IDLE)
    assert harness.states() == ["failed", "failed"] and len(harness.updates.address_changes) == 1
    harness.watch.request_watch()  # as at the end of the backoff
    harness.second_discovery.sock(2).sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait(3)
    assert harness.states() == ["failed", "failed", "READY"]
    assert len(harness.second_discovery.calls.items) == 2


def test_a_call_requested_during_a_watch_is_not_made(harness: WatchHarness) -> None:
    """Otherwise all co-ordinators would call at once, without backoff, when their watches end."""
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait()
    harness.watch.request_watch()
    harness.first_discovery.sock(1).close()
    harness.updates.wait(2)
    assert not harness.watch._call_requested and len(harness.first_discovery.calls.items) == 1
    harness.watch.request_watch()
    harness.first_discovery.calls.wait(2)


def test_two_address_changes_end_at_the_last_address(harness: WatchHarness) -> None:
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(9, entry())))
    harness.updates.wait()
    harness.watch.change_address(harness.second_discovery.where)
    harness.watch.change_address(harness.first_discovery.where)
    harness.first_discovery.sock(2).sendall(HEAD + chunk(line(3, entry("DRAINING"))))
    harness.updates.wait(2)
    assert harness.states() == ["READY", "DRAINING"]
    assert harness.first_discovery.calls.items[1][1].endswith("since=0")


def test_an_address_change_interrupts_a_connecting_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_await_connection, connect_started, proceed = (
        discovery_call.DiscoveryCall._await_connection,
        threading.Event(),
        threading.Event(),
    )

    def delayed(*args: Any) -> None:
        if not connect_started.is_set():
            connect_started.set()
            proceed.wait(WAIT_TIMEOUT_SECONDS)
        real_await_connection(*args)

    monkeypatch.setattr(discovery_call.DiscoveryCall, "_await_connection", delayed)
    harness = WatchHarness()
    assert connect_started.wait(WAIT_TIMEOUT_SECONDS)
    harness.watch.change_address(harness.second_discovery.where)
    proceed.set()
    harness.second_discovery.sock(1).sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait()
    assert harness.states() == ["READY"]
    harness.close()


def test_a_list_of_the_old_address_read_after_the_change_does_not_hide_the_new_list(
    harness: WatchHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read, read_started, proceed = EndpointListReader.read, threading.Event(), threading.Event()

    def delayed(self: EndpointListReader, *args: Any, **kwargs: Any) -> t.EndpointsUpdated | None:
        if not read_started.is_set():
            read_started.set()
            proceed.wait(WAIT_TIMEOUT_SECONDS)
        return read(self, *args, **kwargs)

    monkeypatch.setattr(EndpointListReader, "read", delayed)
    harness.first_discovery.sock(1).sendall(HEAD + chunk(line(50, entry())))
    assert read_started.wait(WAIT_TIMEOUT_SECONDS)
    harness.watch.change_address(harness.second_discovery.where)
    proceed.set()
    harness.second_discovery.sock(1).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    harness.second_discovery.sock(1).sendall(chunk(line(3, entry("DELETED"), whole=False)))
    harness.updates.wait(4)
    # The list of an interrupted call is no watch, so that an interruption follows it.
    assert harness.states() == ["READY", "interrupted", "DRAINING", "GONE"]


def test_a_shortage_of_descriptors_is_reported_as_a_failure(
    harness: WatchHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class SocketModuleWithoutDescriptors:
        """Replaces `socket` in the watch's module alone, so that the fake discovery can still create
        sockets."""

        def __getattr__(self, name: str) -> Any:
            if name == "socket":
                raise OSError(24, "Too many open files")
            return getattr(socket, name)

    first = harness.first_discovery.sock(1)
    monkeypatch.setattr(discovery_call, "socket", SocketModuleWithoutDescriptors())
    first.close()
    harness.updates.wait()
    harness.watch.request_watch()
    harness.updates.wait(2)
    monkeypatch.undo()
    harness.watch.request_watch()
    harness.first_discovery.sock(2).sendall(HEAD + chunk(line(1, entry())))
    harness.updates.wait(3)
    assert harness.states() == ["failed", "failed", "READY"]
