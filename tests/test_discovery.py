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
    PATIENCE,
    SETTINGS,
    Calls,
    MembershipRecorder,
    Platform,
    Recorded,
    Replica,
    chunk,
    host,
    line,
    until,
)

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.node import discovery_call
from gingervane.node.discovery import DiscoveryWatch, WatchState
from gingervane.node.endpoint_list import EndpointListReader


def entry(health: str = "SERVING") -> dict[str, Any]:
    return {
        "host": "s-1",
        "dial": "127.0.0.1:80",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


class Watched:
    """A watch without a node: its updates and log, and two fake discoveries, of which it calls the first."""

    def __init__(self, max_calls: int = 3) -> None:
        self.told, self.log = MembershipRecorder(), Recorded()
        self.here, self.there = Calls(), Calls()
        reader = EndpointListReader(("a",), ReplicaStartTimes(), self.log)
        self.watch = DiscoveryWatch(self.here.where, reader, self.told, self.log, max_calls)
        self.watch.start()
        self.watch.request_watch()

    def states(self) -> list[str]:
        """The updates, oldest first: 'failed', 'interrupted', 'no change' or the state of the one replica."""
        return [
            "interrupted"
            if isinstance(told, float)
            else "failed"
            if told.membership.kind is api.MembershipUpdateKind.FAILED
            else told.membership.replicas[0].state.name
            if told.membership.replicas
            else "no change"
            for told in self.told.items
        ]

    def ends(self) -> dict[str, int]:
        """Number of ended calls by reason."""
        return dict(self.watch.call_ends())

    def close(self) -> None:
        self.watch.stop()
        self.here.close()
        self.there.close()


@pytest.fixture
def watched(monkeypatch: pytest.MonkeyPatch) -> Iterator[Watched]:
    # Shorter than the protocol's 2.5 s, to keep the tests fast.
    monkeypatch.setattr(discovery_call, "STALL_TIMEOUT", 0.3)
    made = Watched()
    yield made
    made.close()


def drip(sock: socket.socket) -> None:
    """Send bytes without a line end until the connection is closed."""

    def go_on() -> None:
        pause = threading.Event()
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(b"1\r\n \r\n")
                pause.wait(0.02)

    sock.sendall(HEAD)
    threading.Thread(target=go_on, daemon=True).start()


WAITING: dict[str, Callable[[socket.socket], None]] = {
    "once connected": lambda sock: sock.sendall(b""),
    "inside the head": lambda sock: sock.sendall(HEAD[:-7]),
    "behind the head": lambda sock: sock.sendall(HEAD),
    "inside a chunk": lambda sock: sock.sendall(HEAD + chunk(line(1, entry()))[:-20]),
    "inside a value": lambda sock: sock.sendall(HEAD + chunk(line(1, entry())[:-20])),
    "behind an empty line": lambda sock: sock.sendall(HEAD + chunk(b"\n")),
    "with bytes that end no line": drip,
    "where no length is given": lambda sock: sock.sendall(NO_LENGTH + line(1, entry())[:-20]),
}
WATCHING: dict[str, Callable[[socket.socket], None]] = {
    "behind a list": lambda sock: None,
    "behind an empty line": lambda sock: sock.sendall(chunk(b"\n")),
    "inside a change": lambda sock: sock.sendall(chunk(line(2, entry("DRAINING"), whole=False))[:-9]),
    "with bytes that end no line": lambda sock: sock.sendall(chunk(b" ") * 20),
}


@pytest.mark.parametrize("stage", WAITING)
def test_a_call_that_hangs_at_any_stage_keeps_no_other_from_being_answered(
    watched: Watched, stage: str
) -> None:
    """Guards against calls made one after another, each timed out after 3 s: two that stalled exceeded the 6 s within
    which a node must be notified."""
    WAITING[stage](watched.here.sock(1))
    watched.watch.request_watch()
    watched.here.sock(2)
    watched.watch.request_watch()
    watched.here.sock(3).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    watched.told.wait()
    assert watched.states() == ["DRAINING"]
    until(lambda: len(watched.watch._calls) == 1, "both stalled calls have ended")
    assert watched.ends() == {"another call was answered": 2}


@pytest.mark.parametrize("stage", WATCHING)
def test_a_watch_that_falls_silent_at_any_stage_is_told(watched: Watched, stage: str) -> None:
    """Guards against bytes without a line end that postpone the timeout indefinitely."""
    watched.here.sock(1).sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait()
    WATCHING[stage](watched.here.sock(1))
    watched.told.wait(2)
    assert watched.states() == ["READY", "interrupted"] and watched.told.items[1] >= 0.3
    watched.watch.request_watch()
    watched.here.sock(2).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    watched.told.wait(3)
    assert watched.states() == ["READY", "interrupted", "DRAINING"]
    until(lambda: watched.ends() == {"another call was answered": 1}, "the stalled watch has ended")


def test_a_silent_watch_that_speaks_again_is_the_watch(watched: Watched) -> None:
    """Guards against closing a watch, and losing its place in discovery's queue, because a line is a little late."""
    first = watched.here.sock(1)
    first.sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait(2)
    watched.watch.request_watch()
    watched.here.sock(2)
    first.sendall(chunk(b"\n"))
    watched.told.wait(3)
    first.sendall(chunk(line(2, entry("DRAINING"), whole=False)))
    watched.told.wait(4)
    assert watched.states() == ["READY", "interrupted", "no change", "DRAINING"]
    until(lambda: watched.ends() == {"another call was answered": 1}, "the parallel call has ended")


def test_the_oldest_call_waits_on_however_many_come_beside_it(watched: Watched) -> None:
    """Guards against a timeout of 3 s on each call: a discovery that takes longer never got to answer."""
    first = watched.here.sock(1)
    for number in range(2, 8):
        watched.watch.request_watch()
        watched.here.sock(number)
        until(lambda: len(watched.watch._calls) <= 3, "one call was superseded")
    first.sendall(HEAD + chunk(line(1, entry("DRAINING"))))
    watched.told.wait()
    assert watched.states() == ["DRAINING"]
    until(lambda: len(watched.watch._calls) == 1, "all other calls have ended")
    assert watched.ends() == {"gave way to a newer call": 4, "another call was answered": 2}


def test_an_answer_that_another_has_overtaken_brings_nothing_back(watched: Watched) -> None:
    """Both calls requested changes from the same version: the older list does not mean that versions restarted."""
    read, reads, go = EndpointListReader.read, threading.Event(), threading.Event()
    first = watched.here.sock(1)
    watched.watch.request_watch()
    second = watched.here.sock(2)

    def held(self: EndpointListReader, data: Any, *args: Any, **kwargs: Any) -> t.EndpointsUpdated | None:
        found = read(self, data, *args, **kwargs)
        if data["seq"] == 5 and not reads.is_set():
            reads.set()
            go.wait(PATIENCE)
        return found

    EndpointListReader.read = held  # type: ignore[method-assign]
    try:
        second.sendall(HEAD + chunk(line(5, entry("DRAINING"))))
        assert reads.wait(PATIENCE)
        first.sendall(HEAD + chunk(line(4, entry())))  # read after the newer list was reported
        until(lambda: watched.watch._calls[0].progress.lines == 1, "the older answer waits to be read")
        go.set()
        watched.told.wait()
        until(lambda: len(watched.watch._calls) == 1, "one of the calls has ended")
    finally:
        EndpointListReader.read = read  # type: ignore[method-assign]
    assert "READY" not in watched.states() and watched.states()[0] == "DRAINING"


def test_of_calls_that_fail_side_by_side_one_is_told(watched: Watched) -> None:
    """Each reported failure leads to one more call."""
    for number in (1, 2, 3):
        watched.here.sock(number)
        if number < 3:
            watched.watch.request_watch()
    for number in (1, 2, 3):
        watched.here.sock(number).close()
    until(lambda: not watched.watch._calls, "all calls have ended")
    assert watched.states() == ["failed"]


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_drain_made_while_the_watch_was_silent_is_kept(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    mode: str,
) -> None:
    monkeypatch.setattr(discovery_call, "STALL_TIMEOUT", 0.3)
    calls, drains, stays = Calls(), Replica(0), Replica(0)
    settings = SETTINGS | {"MembershipMode": mode}
    platform = Platform(tmp_path, drains, stays, settings=settings, where=calls.where)
    both = host(drains), host(stays)
    calls.sock(1).sendall(HEAD + chunk(line(1, *both)))  # and nothing more
    calls.sock(2).sendall(HEAD + chunk(line(2, host(drains, health="DRAINING"), whole=False)))
    assert "since=1" in calls.calls.items[1][1]
    until(lambda: platform.node.watch._reader.version == 2, "the drain was received")
    before = len(drains.parts.items)
    for number in range(10):
        assert platform.ask(f"q{number}", {0: 1.0})[0] == 200
    assert len(drains.parts.items) == before
    calls.close()
    platform.close()


@pytest.mark.parametrize("framing", ["chunked", "no length", "a length"])
def test_lists_come_in_any_framing(watched: Watched, framing: str) -> None:
    data = line(1, entry())
    watched.here.sock(1).sendall(
        {
            "chunked": HEAD + chunk(data),
            "no length": NO_LENGTH + data,
            "a length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data,
        }[framing]
    )
    watched.told.wait()
    assert watched.states()[0] == "READY"


def test_a_reset_inside_a_list_of_no_length_is_no_end_of_it(watched: Watched) -> None:
    first = watched.here.sock(1)
    first.sendall(NO_LENGTH + line(1, entry("DRAINING"))[:-3])
    until(lambda: watched.watch._calls[0]._sock is not None, "the call is under way")
    first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    first.close()
    watched.told.wait()
    assert watched.states() == ["failed"]


def test_an_older_whole_list_behind_a_newer_change_brings_nothing_back(watched: Watched) -> None:
    first = watched.here.sock(1)
    first.sendall(HEAD + chunk(line(5, entry())) + chunk(line(7, entry("DRAINING"), whole=False)))
    first.sendall(chunk(line(6, entry())) + chunk(line(8, entry("DRAINING"), whole=False)))
    watched.told.wait(3)
    assert watched.states() == ["READY", "DRAINING", "DRAINING"]
    first.close()
    watched.told.wait(4)
    watched.watch.request_watch()
    assert "since=8" in watched.here.calls.wait(2)[1][1]
    watched.here.sock(2).sendall(HEAD + chunk(line(2, entry())))  # a version below 8: its versions restarted
    watched.told.wait(5)
    assert watched.states()[3:] == ["interrupted", "READY"]


def test_a_call_that_brings_no_news_has_succeeded(watched: Watched) -> None:
    """Guards against not reporting the success: the next call kept the backoff of the failures before it."""
    watched.here.sock(1).sendall(HEAD + chunk(line(5, entry())))
    watched.told.wait()
    watched.here.sock(1).close()
    watched.told.wait(2)
    watched.watch.request_watch()
    second = watched.here.sock(2)
    second.sendall(HEAD + chunk(line(5, whole=False)))
    watched.told.wait(3)
    second.sendall(chunk(line(4, entry("DRAINING"), whole=False)))
    second.sendall(chunk(line(6, entry("DRAINING"), whole=False)))
    watched.told.wait(4)
    assert watched.states() == [
        "READY",
        "interrupted",
        "no change",
        "DRAINING",
    ], "a stale change was applied"


def test_a_move_waits_for_no_pause_and_asks_for_all(watched: Watched) -> None:
    watched.here.sock(1).sendall(HEAD + chunk(line(9, entry())))
    watched.told.wait()
    watched.here.sock(1).close()
    watched.told.wait(2)  # the decision engine would run a backoff now
    watched.watch.change_address(watched.there.where)
    assert watched.there.calls.wait()[0][1] == "/v1/endpoints?follow=1&since=0"
    watched.there.sock(1).sendall(HEAD + chunk(line(1, entry("DRAINING"))))
    watched.told.wait(3)
    assert watched.states() == ["READY", "interrupted", "DRAINING"]


def test_a_failure_at_the_new_address_is_told_once_while_a_pause_runs(watched: Watched) -> None:
    """Each reported failure leads to one more call: those of the address change and of the backoff would add up."""
    watched.here.sock(1).close()
    watched.told.wait()
    watched.watch.change_address(watched.there.where)
    watched.there.sock(1).sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
    watched.log.wait(2, lambda item: item[0] == "watch_state_changed" and item[1]["new"] is WatchState.IDLE)
    assert watched.states() == ["failed"]
    watched.watch.request_watch()  # as at the end of the first backoff
    watched.there.sock(2).sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait(2)
    assert watched.states() == ["failed", "READY"]


def test_a_wish_that_came_during_a_watch_does_not_outlive_it(watched: Watched) -> None:
    """Otherwise all co-ordinators would call at once, without backoff, when their watches end."""
    watched.here.sock(1).sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait()
    watched.watch.request_watch()
    watched.here.sock(1).close()
    watched.told.wait(2)
    assert not watched.watch._requested and len(watched.here.calls.items) == 1
    watched.watch.request_watch()
    watched.here.calls.wait(2)


def test_two_moves_in_a_row_end_at_the_last_address(watched: Watched) -> None:
    watched.here.sock(1).sendall(HEAD + chunk(line(9, entry())))
    watched.told.wait()
    watched.watch.change_address(watched.there.where)
    watched.watch.change_address(watched.here.where)
    watched.here.sock(2).sendall(HEAD + chunk(line(3, entry("DRAINING"))))
    watched.told.wait(2)
    assert watched.states() == ["READY", "DRAINING"]
    assert watched.here.calls.items[1][1].endswith("since=0")


def test_a_move_in_the_moment_of_connecting_does_not_wait_for_the_old_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    awaited, waits, go = discovery_call.DiscoveryCall._await_connection, threading.Event(), threading.Event()

    def held(*args: Any) -> None:
        if not waits.is_set():
            waits.set()
            go.wait(PATIENCE)
        awaited(*args)

    monkeypatch.setattr(discovery_call.DiscoveryCall, "_await_connection", held)
    watched = Watched()
    assert waits.wait(PATIENCE)
    watched.watch.change_address(watched.there.where)
    go.set()
    watched.there.sock(1).sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait()
    assert watched.states() == ["READY"]
    watched.close()


def test_the_list_of_the_old_address_read_after_a_move_is_followed_by_the_new_one(
    watched: Watched,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read, reads, go = EndpointListReader.read, threading.Event(), threading.Event()

    def held(self: EndpointListReader, *args: Any, **kwargs: Any) -> t.EndpointsUpdated | None:
        if not reads.is_set():
            reads.set()
            go.wait(PATIENCE)
        return read(self, *args, **kwargs)

    monkeypatch.setattr(EndpointListReader, "read", held)
    watched.here.sock(1).sendall(HEAD + chunk(line(50, entry())))
    assert reads.wait(PATIENCE)
    watched.watch.change_address(watched.there.where)
    go.set()
    watched.there.sock(1).sendall(HEAD + chunk(line(2, entry("DRAINING"))))
    watched.there.sock(1).sendall(chunk(line(3, entry("DELETED"), whole=False)))
    watched.told.wait(3)
    assert watched.states() == ["READY", "DRAINING", "GONE"]


def test_out_of_descriptors_is_a_failure_like_any_other(
    watched: Watched,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class NoneLeft:
        """Replaces `socket` in the watch's module alone, so that the fake discovery can still create sockets."""

        def __getattr__(self, name: str) -> Any:
            if name == "socket":
                raise OSError(24, "Too many open files")
            return getattr(socket, name)

    first = watched.here.sock(1)
    monkeypatch.setattr(discovery_call, "socket", NoneLeft())
    first.close()
    watched.told.wait()
    watched.watch.request_watch()
    watched.told.wait(2)
    monkeypatch.undo()
    watched.watch.request_watch()
    watched.here.sock(2).sendall(HEAD + chunk(line(1, entry())))
    watched.told.wait(3)
    assert watched.states() == ["failed", "failed", "READY"]
