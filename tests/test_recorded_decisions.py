"""Replays `recordings/` against the decision module: its actions must equal the recorded ones bit by bit.

Each recording holds the batches that a simulated host gave to one co-ordinator, the actions that it returned,
and the position of its random generator. Names and texts, on which decisions do not depend, are not recorded.

By branch coverage (coverage.py) the recordings execute each line and branch of the package `decisions` except
the body of `RankedSamples.extend`, which only tests call.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from enum import Enum
from functools import cache
from typing import Any

import pytest
from recordings.codec import ENUMERATIONS, MEMBER, TYPES, Recording, exact, names, read, replay

from gingervane import interface as api

NAMES = names()
MIN_RECORDINGS, MIN_BATCHES, MIN_ACTIONS = 35, 20_000, 40_000
# Reasons that only the host gives, never the decision module.
HOST_REASONS: set[Enum] = {
    api.QueryEndReason.SHUTDOWN,
    api.QueryEndReason.CLIENT_DISCONNECTED,
    api.QueryEndReason.COVERAGE_CHECK_FAILED,
    api.QueryEndReason.INTERNAL,
    api.QueryEndReason.UNSTATED,
}
NEVER_EMITTED: set[type] = {api.LogMessage}  # actions that the decision module does not use


@cache
def recording(name: str) -> Recording:
    """Read a recording; cached."""
    return read(name)


@pytest.mark.parametrize("name", NAMES)
def test_decisions_are_as_recorded(name: str) -> None:
    expected = recording(name)
    got = replay(expected)
    for number, (before, now) in enumerate(zip(expected.batches, got.batches, strict=True)):
        if exact(before) != exact(now):
            pytest.fail(f"{name}, batch {number} at {before.now}:\n{first_difference(before, now)}")
    assert got.recording().random_digest == expected.random_digest, f"{name}: random numbers at the end"


def first_difference(expected: Any, got: Any) -> str:
    """Describe the first difference between two batches."""
    for number, (a, b) in enumerate(zip(expected.actions, got.actions, strict=False)):
        if exact(a) != exact(b):
            return f"action {number}: expected {exact(a)}, got {exact(b)}"
    if len(expected.actions) != len(got.actions):
        counts = f"expected {len(expected.actions)} actions, got {len(got.actions)}"
        return f"{counts}: {exact(expected.actions)} and {exact(got.actions)}"
    return f"expected {exact(expected)}, got {exact(got)}"


def encoded_records(value: Any) -> Iterator[list[Any]]:
    """All encoded records, enumeration members and tuples within an encoded value, itself included."""
    if isinstance(value, list):
        if value and isinstance(value[0], int):
            yield value
        for inner in value:
            yield from encoded_records(inner)


@cache
def count_occurrences() -> tuple[Counter[type], Counter[Enum]]:
    """Count the occurrences of each type and each enumeration member in the recordings."""
    kinds, members = Counter[type](), Counter[Enum]()
    for name in NAMES:
        recorded = recording(name)
        for batch in recorded.batches:
            for value in (*batch.events, *batch.actions):
                for record in encoded_records(value):
                    if record[0] >= 0:
                        kinds[TYPES[record[0]]] += 1
                    elif record[0] == MEMBER:
                        members[list(ENUMERATIONS[record[1]])[record[2]]] += 1
        for record in encoded_records(recorded.settings):
            if record[0] == MEMBER:
                members[list(ENUMERATIONS[record[1]])[record[2]]] += 1
    return kinds, members


def test_recordings_are_large_enough() -> None:
    batches = [batch for name in NAMES for batch in recording(name).batches]
    assert len(NAMES) >= MIN_RECORDINGS
    assert len(batches) >= MIN_BATCHES
    assert sum(len(batch.actions) for batch in batches) >= MIN_ACTIONS
    assert any(sum(e[0] == TYPES.index(api.PartArrived) for e in b.events) >= 100 for b in batches)


def test_each_recording_sends_parts_and_completes_queries() -> None:
    completion_types = {TYPES.index(kind) for kind in (api.Answer, api.Reject, api.Fail)}
    for name in NAMES:
        action_types = {action[0] for batch in recording(name).batches for action in batch.actions}
        assert TYPES.index(api.Send) in action_types and action_types & completion_types, name


def test_each_event_and_action_occurs() -> None:
    kinds, _ = count_occurrences()
    in_settings_only = {api.Settings, api.QueryClass}
    assert set(TYPES) - set(kinds) == NEVER_EMITTED | in_settings_only


def test_each_outcome_list_state_and_reason_occurs() -> None:
    _, members = count_occurrences()
    expected_members: set[Enum] = {member for enumeration in ENUMERATIONS for member in enumeration}
    assert expected_members - set(members) == HOST_REASONS


def test_random_numbers_are_consumed() -> None:
    assert all(len({batch.random_position for batch in recording(name).batches}) > 1 for name in NAMES)
