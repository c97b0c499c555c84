"""A request that is refused or fails is told so when that is decided, not when its caller's time ends."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from test_hard_cases import ask
from test_vectors import Fleet

from gingervane.coordinator import types as t
from gingervane.coordinator.dispatch import DispatchResult, QueryDispatcher
from gingervane.limits.concurrency_limit import ConcurrencyLimit


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    instance = Fleet(limits={"front_slots": 1})
    yield instance
    instance.close()


class BusySlots:
    """Holds the only slot of the fronts on a thread of its own, and counts who waits for it meanwhile."""

    def __init__(self, limit: ConcurrencyLimit, monkeypatch: pytest.MonkeyPatch) -> None:
        self._limit = limit
        self._release = threading.Event()
        self._held = threading.Event()
        self.waits = 0
        wait = ConcurrencyLimit._wait

        def counted_wait(*arguments: Any) -> Any:
            self.waits += self._held.is_set()
            return wait(*arguments)

        monkeypatch.setattr(ConcurrencyLimit, "_wait", counted_wait)

    def hold(self) -> None:
        threading.Thread(target=self._hold, daemon=True).start()
        assert self._held.wait(30.0)

    def _hold(self) -> None:
        with self._limit.slot("vectors", float("inf"), admit_always=True):
            self._held.set()
            self._release.wait(30.0)

    def release(self) -> None:
        self._release.set()


@contextmanager
def busy_after_parsing(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, status: t.QueryStatus
) -> Iterator[BusySlots]:
    """All slots are busy from the time at which a request has been parsed; its query ends in `status`."""
    slots = BusySlots(fleet.app.concurrency_limit, monkeypatch)

    def dispatch(*_: Any) -> DispatchResult:
        slots.hold()
        return DispatchResult(t.QueryResult(status, detail="nobody there"), 0.0, lambda: None)

    monkeypatch.setattr(QueryDispatcher, "dispatch", dispatch)
    yield slots
    slots.release()


ENDINGS = [(t.QueryStatus.REJECTED, 503), (t.QueryStatus.FAILED, 502)]


@pytest.mark.parametrize(("status", "code"), ENDINGS)
def test_a_search_that_is_refused_waits_for_no_slot(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, status: t.QueryStatus, code: int
) -> None:
    with busy_after_parsing(fleet, monkeypatch, status) as slots:
        search = {"vector": [1.0, 0.0, 0.0, 0.0], "limit": 1}
        assert fleet.call("POST", "cos/points/search?timeout=2s", search)[0] == code
        assert slots.waits == 0


@pytest.mark.parametrize(("status", "code"), ENDINGS)
def test_a_read_that_is_refused_waits_for_no_slot(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, status: t.QueryStatus, code: int
) -> None:
    with busy_after_parsing(fleet, monkeypatch, status) as slots:
        assert ask(fleet, timeout="2s").status == code
        assert slots.waits == 0


def test_a_request_waits_for_its_turn_no_longer_than_its_caller(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller with 0.2 s was kept until the longest deadline of any class, 4 s, had passed."""
    slots = BusySlots(fleet.app.concurrency_limit, monkeypatch)
    slots.hold()
    search = {"vector": [1.0, 0.0, 0.0, 0.0], "limit": 1}
    status, content, headers = fleet.call("POST", "cos/points/search?timeout=200ms", search)
    assert status == 503 and "no turn" in content["status"]["error"]
    assert headers.get("gingervane-began") == "no" and ask(fleet, timeout="200ms").status == 503
    slots.release()
