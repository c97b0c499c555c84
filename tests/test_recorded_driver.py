"""Replays the recordings of `recordings/record_driver.py`; the driver's outputs must be equal bit by bit."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from recordings import driver_codec as codec
from recordings.driver_codec import Batch, Session
from recordings.driver_tools import TOOLS, ToolUse

from gingervane import interface as api
from gingervane.coordinator import types as t

TOOLS_FIXTURE = codec.DIRECTORY / "driver-tools.json.gz"
FIXTURES = sorted(set(codec.DIRECTORY.glob("driver-*.json.gz")) - {TOOLS_FIXTURE})

# Minimum content of the recordings; detects emptied or missing fixtures.
MIN_RECORDINGS, MIN_BATCHES, MIN_TOOL_CALLS = 39, 8000, 2000
MIN_INPUTS = {
    t.QuerySubmitted: 1200,
    t.AttemptFinished: 2000,
    t.ClientDisconnected: 40,
    t.EndpointsUpdated: 50,
    t.Shutdown: 4,
    t.PeerMessageReceived: 24,
}
MIN_EFFECTS = {
    t.StartRequest: 2000,
    t.CancelRequest: 2000,
    t.AbandonAttempt: 250,
    t.CloseIdleConnections: 30,
    t.CompleteQuery: 1100,
    t.LogMessage: 1,
    t.ReplicaHealthChanged: 100,
    t.WatchMembership: 5,
    t.SendToPeers: 8,
}


def name_of(path: Path) -> str:
    return path.name.removeprefix("driver-").removesuffix(".json.gz")


def replay(session: Session, batch: Batch) -> list[Any]:
    """Return the driver's outputs for a batch: results of operations, effects, state, and observed calls."""
    results = [session.operate(encoded) for encoded in batch.operations]
    _, effects, state, observed = session.step(batch.now, batch.inputs)
    return [results, effects, state, observed]


@pytest.mark.parametrize("path", FIXTURES, ids=name_of)
def test_the_driver_does_what_was_recorded(path: Path) -> None:
    recording = codec.read_recording(path)
    session = Session(recording.settings, recording.seed, recording.script)
    for number, batch in enumerate(recording.batches):
        expected = [batch.operation_results, batch.effects, batch.state, batch.observed]
        for description, recorded, actual in zip(
            ("operation results", "effects", "state", "observed"),
            expected,
            replay(session, batch),
            strict=True,
        ):
            difference = codec.first_difference(recorded, actual, description)
            assert not difference, f"batch {number} at {batch.now}: {difference}"
    difference = codec.first_difference(recording.closing, session.closing(), "closing")
    assert not difference, difference


def test_the_helpers_of_the_driver_do_what_was_recorded() -> None:
    for number, (tool, arguments, calls) in enumerate(codec.read_fixture(TOOLS_FIXTURE)):
        use = ToolUse(tool, arguments)
        for position, (call, given, recorded) in enumerate(calls):
            difference = codec.first_difference(recorded, use.call(call, given))
            assert not difference, f"use {number} of tool {tool}, call {position}: {difference}"


def test_recordings_contain_every_input_effect_and_outcome() -> None:
    """Each type of input and effect occurs often enough, and each query status, outcome and reason occurs."""
    inputs, effects, members, batches = Counter[int](), Counter[int](), Counter[tuple[int, int]](), 0
    for path in FIXTURES:
        recording = codec.read_recording(path)
        batches += len(recording.batches)
        assert recording.batches and any(batch.effects for batch in recording.batches), path.name
        for batch in recording.batches:
            inputs.update(encoded[0] for encoded in batch.inputs)
            effects.update(encoded[0] for encoded in batch.effects)
            count_members(batch.effects, members)
            count_members(batch.observed, members)
    assert len(FIXTURES) >= MIN_RECORDINGS and batches >= MIN_BATCHES
    assert {*MIN_INPUTS} == {*codec.INPUTS} and {*MIN_EFFECTS} == {*codec.EFFECTS}
    for kind, minimum in MIN_INPUTS.items():
        assert inputs[codec.type_index(kind)] >= minimum, kind
    for kind, minimum in MIN_EFFECTS.items():
        assert effects[codec.type_index(kind)] >= minimum, kind
    assert effects[codec.RAISED], "no step that raised an exception"
    for enumeration in (t.QueryStatus, api.AttemptOutcome):
        for member in enumeration:
            _, kind_index, ordinal = codec.encode_member(member)
            assert members[kind_index, ordinal], member
    reasons = {codec.encode_member(reason)[2] for reason in api.QueryEndReason}
    never = {codec.encode_member(api.QueryEndReason.INTERNAL)[2]}  # used only by `coordinator.core`
    actual = {ordinal for kind, ordinal in members if codec.ENUMERATIONS[kind] is api.QueryEndReason}
    assert actual == reasons - never


def test_every_helper_is_recorded() -> None:
    used: Counter[tuple[int, int]] = Counter()
    for tool, _, calls in codec.read_fixture(TOOLS_FIXTURE):
        used.update((tool, call) for call, _, _ in calls)
    assert set(used) == {(n, call) for n, tool in enumerate(TOOLS) for call in range(len(tool.calls))}
    assert used.total() >= MIN_TOOL_CALLS


def count_members(encoded: Any, members: Counter[tuple[int, int]]) -> None:
    """Count the enumeration members in an encoded value."""
    if isinstance(encoded, list):
        if len(encoded) == 3 and encoded[0] == codec.MEMBER:
            members[encoded[1], encoded[2]] += 1
        for item in encoded:
            count_members(item, members)


@pytest.mark.parametrize(
    "recorded, actual",
    [
        (1, 1.0),
        (0.1 + 0.2, 0.3),
        ([1, 2], [1]),
        ([1], [1, 2]),
        (None, False),
        ([[0.0]], [[-0.0]]),
        ("a", "b"),
    ],
)
def test_encoded_values_are_compared_bit_by_bit(recorded: Any, actual: Any) -> None:
    assert codec.first_difference(recorded, actual)
    assert not codec.first_difference(recorded, recorded)
