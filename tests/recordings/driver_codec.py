"""The format of the query driver's recordings; no other module names the recorded types.

The format is independent of names in the code: a value is a positional list `[index of its type in TYPES, field
values in order]`, an enumeration member is stored as its ordinals in definition order, and an object with an identity
as a number given in order of first appearance. Text of the program is stored as a marker, or as a short digest if it
is sent to a client. When a type is renamed, change its name here; the fixtures stay as they are. Floats are stored
with all their digits.
"""

from __future__ import annotations

import gzip
import hashlib
import json
from collections.abc import Sequence
from dataclasses import fields
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.attempt_outcome import ExchangePhase
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine

from .values import field_values, member_at, member_position

DIRECTORY = Path(__file__).parent
CALLER_TEXT = "~"  # prefix of each text that the generator creates; such text is stored unchanged
OWN_TEXT = "?"  # stored in place of any text of the program that no client sees

SEQUENCE, MAPPING, BYTES, MEMBER, RAISED = -1, -2, -3, -4, -5  # tags of values without an index in TYPES

# Append only: the fixtures contain the positions.
TYPES: tuple[type, ...] = (
    api.Settings,
    api.QueryClass,
    api.Replica,
    api.MembershipChanged,
    t.QuerySubmitted,
    t.QueryPlan,
    t.PartPlan,
    t.AttemptFinished,
    t.ClientDisconnected,
    t.EndpointsUpdated,
    t.Shutdown,
    t.PeerMessageReceived,
    t.StartRequest,
    t.CancelRequest,
    t.AbandonAttempt,
    t.CloseIdleConnections,
    t.CompleteQuery,
    t.LogMessage,
    t.ReplicaHealthChanged,
    t.WatchMembership,
    t.SendToPeers,
    t.BatchRequest,
    t.AttemptRequest,
    t.QueryResult,
    t.AttemptRecord,
    api.QueryArrived,
    api.PartArrived,
    api.AttemptEnded,
    api.QueryAbandoned,
    api.TimerFired,
    api.PeerMessageReceived,
    api.Send,
    api.Cancel,
    api.CloseIdle,
    api.Answer,
    api.Reject,
    api.Fail,
    api.SetTimer,
    api.WatchMembership,
    api.SendToPeers,
    api.LogMessage,
    api.ReplicaEjected,
    api.ReplicaReinstated,
)
INPUTS = (
    t.QuerySubmitted,
    t.AttemptFinished,
    t.ClientDisconnected,
    t.EndpointsUpdated,
    t.Shutdown,
    t.PeerMessageReceived,
)
EFFECTS = (
    t.StartRequest,
    t.CancelRequest,
    t.AbandonAttempt,
    t.CloseIdleConnections,
    t.CompleteQuery,
    t.LogMessage,
    t.ReplicaHealthChanged,
    t.WatchMembership,
    t.SendToPeers,
)

# Append only, like TYPES.
ENUMERATIONS: tuple[type[Enum], ...] = (
    api.RetrySafety,
    api.ReplicaState,
    api.MembershipUpdateKind,
    api.AttemptOutcome,
    api.EjectionReason,
    api.QueryEndReason,
    t.QueryStatus,
    ExchangePhase,
)


def type_index(kind: type) -> int:
    """Return the number that represents a type in the fixtures."""
    return TYPES.index(kind)


def encode_member(member: Enum) -> list[int]:
    """Encode an enumeration member by its ordinals."""
    return [MEMBER, *member_position(ENUMERATIONS, member)]


def encode_member_or_value(kind: type[Enum], value: Any) -> list[int]:
    """Encode an enumeration member given as the member or as its value, an untyped string."""
    return encode_member(value if isinstance(value, kind) else kind(value))


def encode_text(text: str, seen_by_clients: bool = False) -> str:
    """Return the generator's text unchanged, and the program's as a marker, or as a digest if clients see it."""
    if not text or text.startswith(CALLER_TEXT):
        return text
    return "#" + hashlib.sha256(text.encode()).hexdigest()[:10] if seen_by_clients else OWN_TEXT


def encode(value: Any) -> Any:
    """Encode a value without an identity as JSON-compatible data."""
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, str):
        return encode_text(value)
    if isinstance(value, bytes):
        return [BYTES, value.hex()]
    if isinstance(value, Enum):
        return encode_member(value)
    if isinstance(value, dict):
        return [MAPPING, *([encode(key), encode(item)] for key, item in value.items())]
    if isinstance(value, t.AttemptRecord):
        encoded = [type_index(t.AttemptRecord), *(encode(item) for item in value)]
        encoded[1 + t.AttemptRecord._fields.index("outcome")] = encode_member_or_value(
            api.AttemptOutcome, value.outcome
        )
        return encoded
    if type(value) in TYPES:
        return [type_index(type(value)), *(encode(item) for item in field_values(value))]
    if isinstance(value, list | tuple):
        return [SEQUENCE, *(encode(item) for item in value)]
    raise TypeError(f"cannot encode {type(value)}")


def decode(form: Any) -> Any:
    """Return the value that `encode` was given; sequences are returned as tuples."""
    if not isinstance(form, list):
        return form
    tag, *rest = form
    if tag == SEQUENCE:
        return tuple(decode(item) for item in rest)
    if tag == MAPPING:
        return {decode(key): decode(item) for key, item in rest}
    if tag == BYTES:
        return bytes.fromhex(rest[0])
    if tag == MEMBER:
        return member_at(ENUMERATIONS, *rest)
    return TYPES[tag](*(decode(item) for item in rest))


class RecordedCodec:
    """A codec that never encodes; recordings store its `number`, which also determines the sizes of results."""

    def __init__(self, number: int) -> None:
        self.number = number

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 0 if result is None else 10 * self.number + int(result) % 7


class RecordedResultCallback:
    """The callback for a query's result; it is never called, and only identifies the query."""

    def __init__(self, query: int) -> None:
        self.query = query

    def __call__(self, result: t.QueryResult) -> None:
        raise NotImplementedError


class ScriptedModule:
    """Replaces the decision engine with scripted actions, also such as the real engine never takes."""

    def __init__(self, script: Sequence[list[api.Action]]) -> None:
        self._script = list(script)
        self.events: list[api.Event] = []

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.events += events
        return self._script.pop(0) if self._script else []


class Operation(Enum):
    """An operation of a sender on a batch request or an attempt between two turns."""

    CLAIM = 0
    CLAIM_SENDABLE = 1
    SECONDS_LEFT = 2


class Batch(NamedTuple):
    """One turn: the senders' operations since the last turn, their results, and the driver's inputs and outputs."""

    operations: list[Any]
    operation_results: list[Any]
    now: float
    inputs: list[Any]
    effects: list[Any]
    state: list[Any]
    observed: list[Any]


class Recording(NamedTuple):
    """One run of a driver.

    `script`: actions of a scripted module; None for the real module. `closing`: the counts and the result of
    `abandon` at the end.
    """

    settings: list[Any]
    seed: int
    script: list[Any] | None
    batches: list[Batch]
    closing: list[Any]


class Session:
    """A driver with its module, whose inputs and outputs are in the format of the recordings."""

    def __init__(self, settings: list[Any], seed: int, script: list[Any] | None) -> None:
        self.settings: api.Settings = decode(settings)
        self._scripted = None if script is None else ScriptedModule([list(decode(a)) for a in script])
        module = self._scripted or DecisionEngine(self.settings, seed)
        self.driver = Driver(module, self.settings, self._observe)
        self.batch_requests: list[t.BatchRequest] = []
        self.attempt_requests: list[t.AttemptRequest] = []
        self._codecs: dict[int, RecordedCodec] = {}
        self._observed: list[Any] = []
        self._results: list[tuple[t.QueryResult, list[Any]]] = []  # each with its form when it was passed on

    # ---- operations of a sender

    def operate(self, form: list[Any]) -> Any:
        """Execute one operation and return its result."""
        operation, *arguments = form
        match Operation(operation):
            case Operation.CLAIM:
                return self.attempt_requests[arguments[0]].claim()
            case Operation.CLAIM_SENDABLE:
                batch, now = arguments
                return [self._numbers(group) for group in self.batch_requests[batch].claim_sendable(now)]
            case Operation.SECONDS_LEFT:
                batch, numbers, now = arguments
                return self.batch_requests[batch].seconds_left(
                    [self.attempt_requests[n] for n in numbers], now
                )

    def _numbers(self, requests: list[t.AttemptRequest]) -> list[int]:
        return [self.request_number(request) for request in requests]

    def batch_number(self, batch: t.BatchRequest) -> int:
        return next(n for n, known in enumerate(self.batch_requests) if known is batch)

    def request_number(self, request: t.AttemptRequest) -> int:
        return next(n for n, known in enumerate(self.attempt_requests) if known is request)

    # ---- turns

    def step(self, now: float, inputs: list[Any]) -> tuple[list[t.Effect], list[Any], list[Any], list[Any]]:
        """Run one turn; return the effects, and encoded the effects, the driver's state and its calls.

        The calls are those to the observer of attempts, to the second steps of queries, and to a scripted module.
        """
        self._observed = []
        items = [self._decode_input(form) for form in inputs]
        try:
            effects = self.driver.step(now, items)
        except Exception:  # of any type: after it, the driver's state may be inconsistent
            return [], [[RAISED]], self._state(), self._take_observed()
        encoded_effects = [self._encode_effect(effect) for effect in effects]
        return effects, encoded_effects, self._state(), self._take_observed()

    def _state(self) -> list[Any]:
        driver = self.driver
        return [driver.next_due(), driver.open_queries, driver.attempts_in_flight, driver.open_result_bytes]

    def _take_observed(self) -> list[Any]:
        if self._scripted:
            self._observed += [encode(event) for event in self._scripted.events]
            self._scripted.events = []
        return self._observed

    def closing(self) -> list[Any]:
        """Return the running totals, and the queries whose callbacks `abandon` returns."""
        counts = self.driver.counts
        totals, by_name = list(counts.totals().values()), []
        for kind, counts_by_value in (
            (t.QueryStatus, counts.verdicts),
            (api.AttemptOutcome, counts.outcomes),
            (api.QueryEndReason, counts.reasons),
        ):
            by_name.append(
                [[encode_member_or_value(kind, key), count] for key, count in counts_by_value.items()]
            )
        changed = sum(self._result_form(result) != form for result, form in self._results)
        assert not changed, "results of queries that changed after they were passed on"
        return [totals, by_name, [self._query_of(on_result) for on_result in self.driver.abandon()]]

    # ---- forms of objects with an identity

    def _observe(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        self._observed.append([encode(outcome), replica, seconds])

    def _decode_input(self, form: list[Any]) -> t.Input:
        if TYPES[form[0]] is not t.QuerySubmitted:
            item: t.Input = decode(form)
            return item
        _, number, plan = form
        _, query_class, deadline, parts, codec_number, tag, is_client_retry, cost, second_parts = plan
        codec = self._codecs.setdefault(codec_number, RecordedCodec(codec_number))
        second_step = None if second_parts is None else self._second_step(number, second_parts)
        decoded = t.QueryPlan(
            query_class, deadline, decode(parts), codec, decode(tag), is_client_retry, cost, second_step
        )
        return t.QuerySubmitted(number, decoded, RecordedResultCallback(number))

    def _second_step(self, query: int, count: int) -> t.SecondStep:
        """Return a second step that repeats the first `count` parts that have results."""

        def begin(results: dict[int, Any], complete: bool) -> tuple[t.PartPlan, ...]:
            self._observed.append([query, encode(results), complete])
            indexes = sorted(results)[:count]
            return tuple(t.PartPlan(index, 1 / len(indexes), -1 - index) for index in indexes)

        return begin

    def _query_of(self, on_result: t.ResultCallback) -> int:
        assert isinstance(on_result, RecordedResultCallback)
        return on_result.query

    def _encode_effect(self, effect: t.Effect) -> Any:
        tag = type_index(type(effect))
        match effect:
            case t.StartRequest(batch):
                return [tag, self._encode_batch(batch)]
            case t.CancelRequest(batch):
                return [tag, self._encode_batch(batch), batch.open_attempts]
            case t.AbandonAttempt(batch, request, notify_replica, expired):
                return [tag, self._encode_batch(batch), self.request_number(request), notify_replica, expired]
            case t.CompleteQuery(on_result, result, number):
                return [tag, self._query_of(on_result), self._encode_result(result), number]
        return encode(effect)

    def _encode_result(self, result: t.QueryResult) -> list[Any]:
        """Encode the result of a query, and store the form: `closing` checks that the result has not changed."""
        form = self._result_form(result)
        self._results.append((result, form))
        return form

    def _result_form(self, result: t.QueryResult) -> list[Any]:
        """Return the form of a result. `detail` is sent to the client, so a digest of its text is stored."""
        form: list[Any] = [type_index(t.QueryResult), *(encode(item) for item in field_values(result))]
        form[1 + [field.name for field in fields(result)].index("detail")] = encode_text(result.detail, True)
        return form

    def _encode_batch(self, batch: t.BatchRequest) -> Any:
        """Return all of a batch request at its first appearance, which may be its cancellation, then its number."""
        if any(known is batch for known in self.batch_requests):
            return self.batch_number(batch)
        self.batch_requests.append(batch)
        encoded_attempts = []
        for request in batch.attempts:
            self.attempt_requests.append(request)
            encoded = [encode(request.content), encode(request.retry_safety), request.expires_at]
            encoded_attempts.append([type_index(t.AttemptRequest), request.part, request.attempt, *encoded])
        assert isinstance(batch.codec, RecordedCodec)
        head = [batch.id, batch.replica, encode(batch.address), batch.codec.number]
        times = [batch.expires_at, batch.open_attempts, batch.decided_at]
        return [type_index(t.BatchRequest), *head, encoded_attempts, *times]


def encode_input(item: t.Input, second_parts: int | None = None) -> list[Any]:
    """Encode an input of the generator. `second_parts`: number of parts of the query's second step; None without."""
    if not isinstance(item, t.QuerySubmitted):
        form: list[Any] = encode(item)
        return form
    plan, recorded_codec = item.plan, item.plan.codec
    assert isinstance(recorded_codec, RecordedCodec)
    head = [plan.query_class, plan.deadline, encode(plan.parts), recorded_codec.number, encode(plan.tag)]
    rest = [plan.is_client_retry, plan.predicted_cost, second_parts]
    return [type_index(t.QuerySubmitted), item.id, [type_index(t.QueryPlan), *head, *rest]]


def write_fixture(name: str, content: Any) -> int:
    """Write a fixture and return its size in bytes. The same content gives the same bytes."""
    text = json.dumps(content, separators=(",", ":")).encode()
    packed = gzip.compress(text, 9, mtime=0)
    (DIRECTORY / name).write_bytes(packed)
    return len(packed)


def read_fixture(path: Path) -> Any:
    return json.loads(gzip.decompress(path.read_bytes()))


def read_recording(path: Path) -> Recording:
    settings, seed, script, batches, closing = read_fixture(path)
    return Recording(settings, seed, script, [Batch(*batch) for batch in batches], closing)


def first_difference(recorded: Any, actual: Any, path: str = "") -> str:
    """Return the path and description of the first difference of two forms; empty if they are bit-equal."""
    if isinstance(recorded, list) and isinstance(actual, list):
        for index, (left, right) in enumerate(zip(recorded, actual, strict=False)):
            if difference := first_difference(left, right, f"{path}[{index}]"):
                return difference
        if len(recorded) != len(actual):
            unmatched = max(recorded, actual, key=len)[min(len(recorded), len(actual))]
            return f"{path}: recorded {len(recorded)} items, got {len(actual)}; first unmatched item: {unmatched}"
        return ""
    equal = type(recorded) is type(actual) and repr(recorded) == repr(actual)
    return "" if equal else f"{path}: recorded {recorded!r}, got {actual!r}"
