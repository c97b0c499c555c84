"""The form of the query driver's recordings, and the one place that names what is recorded.

The form outlives renames: a value is a positional list `[index of its type in TYPES, field values in order]`, an
enumeration member is its ordinal in definition order, and an object with an identity is a number given in order of
first appearance. Text of our own is stored as a marker, or as a short digest where it reaches a client. When a type
is renamed, change its name here; the fixtures stay as they are. Floats are stored with all their digits.
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
CALLER_TEXT = "~"  # begins each text that the generator made up; such text is stored as it is
OWN_TEXT = "?"  # stands for any text of ours that no client sees

SEQUENCE, MAPPING, BYTES, MEMBER, RAISED = -1, -2, -3, -4, -5  # tags of what has no index in TYPES

# Append only: the position is what the fixtures hold.
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

# Append only, as TYPES.
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
    """What stands for a type in the fixtures."""
    return TYPES.index(kind)


def encode_member(member: Enum) -> list[int]:
    """An enumeration member, by its ordinals."""
    return [MEMBER, *member_position(ENUMERATIONS, member)]


def encode_member_or_value(kind: type[Enum], value: Any) -> list[int]:
    """A member that may still be carried as its value, an untyped string."""
    return encode_member(value if isinstance(value, kind) else kind(value))


def encode_text(text: str, seen_by_clients: bool = False) -> str:
    """Text of the generator as it is; our own as a marker, or a digest where it goes on the wire."""
    if not text or text.startswith(CALLER_TEXT):
        return text
    return "#" + hashlib.sha256(text.encode()).hexdigest()[:10] if seen_by_clients else OWN_TEXT


def encode(value: Any) -> Any:
    """Values without an identity, as what JSON holds."""
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
    raise TypeError(f"no form for {type(value)}")


def decode(form: Any) -> Any:
    """What `encode` was given; sequences come back as tuples."""
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


class RecordedExchange:
    """A protocol that is never asked to write; `number` stands for it and sets the sizes of results."""

    def __init__(self, number: int) -> None:
        self.number = number

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 0 if result is None else 10 * self.number + int(result) % 7


class RecordedSettled:
    """Where a query's final answer goes: only its identity is looked at."""

    def __init__(self, query: int) -> None:
        self.query = query

    def __call__(self, final: t.QueryResult) -> None:
        raise NotImplementedError


class ScriptedModule:
    """In place of the decision module: its answers are written down, for what the real one never does."""

    def __init__(self, script: Sequence[list[api.Action]]) -> None:
        self._script = list(script)
        self.events: list[api.Event] = []

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.events += events
        return self._script.pop(0) if self._script else []


class Operation(Enum):
    """What a sender does with calls between two batches."""

    CLAIM = 0
    GO = 1
    SECONDS_LEFT = 2


class Batch(NamedTuple):
    """One turn: what the sender did since the last one and what that gave, the driver's inputs and its outputs."""

    operations: list[Any]
    operation_results: list[Any]
    now: float
    inputs: list[Any]
    effects: list[Any]
    state: list[Any]
    observed: list[Any]


class Recording(NamedTuple):
    """One run of a driver. `script`: of a scripted module, or None for the real one. `closing`: counts and what
    `abandon` gave at the end."""

    settings: list[Any]
    seed: int
    script: list[Any] | None
    batches: list[Batch]
    closing: list[Any]


class Session:
    """A driver with its module, fed and read in the form of the recordings."""

    def __init__(self, settings: list[Any], seed: int, script: list[Any] | None) -> None:
        self.settings: api.Settings = decode(settings)
        self._scripted = None if script is None else ScriptedModule([list(decode(a)) for a in script])
        module = self._scripted or DecisionEngine(self.settings, seed)
        self.driver = Driver(module, self.settings, self._observe)
        self.calls: list[t.BatchRequest] = []
        self.errands: list[t.AttemptRequest] = []
        self._exchanges: dict[int, RecordedExchange] = {}
        self._observed: list[Any] = []
        self._finals: list[tuple[t.QueryResult, list[Any]]] = []  # as they were when they were given

    # ---- what a sender does

    def operate(self, form: list[Any]) -> Any:
        """Carry out one operation and give its result."""
        operation, *arguments = form
        match Operation(operation):
            case Operation.CLAIM:
                return self.errands[arguments[0]].claim()
            case Operation.GO:
                call, now = arguments
                return [self._numbers(found) for found in self.calls[call].claim_sendable(now)]
            case Operation.SECONDS_LEFT:
                call, errands, now = arguments
                return self.calls[call].seconds_left([self.errands[n] for n in errands], now)

    def _numbers(self, errands: list[t.AttemptRequest]) -> list[int]:
        return [self.errand_number(errand) for errand in errands]

    def call_number(self, call: t.BatchRequest) -> int:
        return next(n for n, known in enumerate(self.calls) if known is call)

    def errand_number(self, errand: t.AttemptRequest) -> int:
        return next(n for n, known in enumerate(self.errands) if known is errand)

    # ---- turns

    def step(self, now: float, inputs: list[Any]) -> tuple[list[t.Effect], list[Any], list[Any], list[Any]]:
        """One batch: the effects as they are, and the forms of effects, of the driver's state and of what it
        observed, asked for a second step, and (a scripted module) was told."""
        self._observed = []
        items = [self._input(form) for form in inputs]
        try:
            effects = self.driver.step(now, items)
        except Exception:  # of any type: what is recorded is that its books can no longer be trusted
            return [], [[RAISED]], self._state(), self._take_observed()
        forms = [self._effect(effect) for effect in effects]
        return effects, forms, self._state(), self._take_observed()

    def _state(self) -> list[Any]:
        driver = self.driver
        return [driver.next_due(), driver.open_queries, driver.attempts_in_flight, driver.open_result_bytes]

    def _take_observed(self) -> list[Any]:
        if self._scripted:
            self._observed += [encode(event) for event in self._scripted.events]
            self._scripted.events = []
        return self._observed

    def closing(self) -> list[Any]:
        """The running totals, and the queries that `abandon` names."""
        counts = self.driver.counts
        totals, by_name = list(counts.totals().values()), []
        for kind, found in (
            (t.QueryStatus, counts.verdicts),
            (api.AttemptOutcome, counts.outcomes),
            (api.QueryEndReason, counts.reasons),
        ):
            by_name.append([[encode_member_or_value(kind, key), count] for key, count in found.items()])
        changed = sum(self._final_form(final) != form for final, form in self._finals)
        assert not changed, "final answers that changed after they were given"
        return [totals, by_name, [self._settled_number(settled) for settled in self.driver.abandon()]]

    # ---- forms of what has an identity

    def _observe(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        self._observed.append([encode(outcome), replica, seconds])

    def _input(self, form: list[Any]) -> t.Input:
        if TYPES[form[0]] is not t.QuerySubmitted:
            item: t.Input = decode(form)
            return item
        _, number, plan = form
        _, query_class, deadline, parts, exchange, tag, is_repeat, cost, second = plan
        found = self._exchanges.setdefault(exchange, RecordedExchange(exchange))
        step = None if second is None else self._second_step(number, second)
        decoded = t.QueryPlan(query_class, deadline, decode(parts), found, decode(tag), is_repeat, cost, step)
        return t.QuerySubmitted(number, decoded, RecordedSettled(number))

    def _second_step(self, query: int, count: int) -> t.SecondStep:
        """Asks again for the first `count` parts that are in."""

        def begin(results: dict[int, Any], whole: bool) -> tuple[t.PartPlan, ...]:
            self._observed.append([query, encode(results), whole])
            chosen = sorted(results)[:count]
            return tuple(t.PartPlan(index, 1 / len(chosen), -1 - index) for index in chosen)

        return begin

    def _settled_number(self, settled: t.ResultCallback) -> int:
        assert isinstance(settled, RecordedSettled)
        return settled.query

    def _effect(self, effect: t.Effect) -> Any:
        tag = type_index(type(effect))
        match effect:
            case t.StartRequest(call):
                return [tag, self._call(call)]
            case t.CancelRequest(call):
                return [tag, self._call(call), call.open_attempts]
            case t.AbandonAttempt(call, errand, tell, over):
                return [tag, self._call(call), self.errand_number(errand), tell, over]
            case t.CompleteQuery(settled, final, number):
                return [tag, self._settled_number(settled), self._final(final), number]
        return encode(effect)

    def _final(self, final: t.QueryResult) -> list[Any]:
        """The form of a final answer, which is kept to see that it does not change later."""
        form = self._final_form(final)
        self._finals.append((final, form))
        return form

    def _final_form(self, final: t.QueryResult) -> list[Any]:
        """The reason goes to the client, so that its text is pinned."""
        form: list[Any] = [type_index(t.QueryResult), *(encode(item) for item in field_values(final))]
        form[1 + [field.name for field in fields(final)].index("detail")] = encode_text(final.detail, True)
        return form

    def _call(self, call: t.BatchRequest) -> Any:
        """All of a call where it is met first (which may be as it is called off), then its number."""
        if any(known is call for known in self.calls):
            return self.call_number(call)
        self.calls.append(call)
        errands = []
        for errand in call.attempts:
            self.errands.append(errand)
            encoded = [encode(errand.content), encode(errand.retry_safety), errand.expires_at]
            errands.append([type_index(t.AttemptRequest), errand.part, errand.attempt, *encoded])
        assert isinstance(call.codec, RecordedExchange)
        parts = [call.id, call.replica, encode(call.address), call.codec.number]
        times = [call.expires_at, call.open_attempts, call.decided_at]
        return [type_index(t.BatchRequest), *parts, errands, *times]


def encode_input(item: t.Input, second_parts: int | None = None) -> list[Any]:
    """An input of the generator; `second_parts`: of an arrival whose class has a second step."""
    if not isinstance(item, t.QuerySubmitted):
        form: list[Any] = encode(item)
        return form
    plan, exchange = item.plan, item.plan.codec
    assert isinstance(exchange, RecordedExchange)
    head = [plan.query_class, plan.deadline, encode(plan.parts), exchange.number, encode(plan.tag)]
    rest = [plan.is_client_retry, plan.predicted_cost, second_parts]
    return [type_index(t.QuerySubmitted), item.id, [type_index(t.QueryPlan), *head, *rest]]


def write_fixture(name: str, content: Any) -> int:
    """Write a fixture; its size in bytes. The same content gives the same bytes."""
    text = json.dumps(content, separators=(",", ":")).encode()
    packed = gzip.compress(text, 9, mtime=0)
    (DIRECTORY / name).write_bytes(packed)
    return len(packed)


def read_fixture(path: Path) -> Any:
    return json.loads(gzip.decompress(path.read_bytes()))


def read_recording(path: Path) -> Recording:
    settings, seed, script, batches, closing = read_fixture(path)
    return Recording(settings, seed, script, [Batch(*batch) for batch in batches], closing)


def first_difference(expected: Any, found: Any, where: str = "") -> str:
    """Where two forms differ first, and how; empty if they are bit-equal."""
    if isinstance(expected, list) and isinstance(found, list):
        for index, (left, right) in enumerate(zip(expected, found, strict=False)):
            if text := first_difference(left, right, f"{where}[{index}]"):
                return text
        if len(expected) != len(found):
            longer = max(expected, found, key=len)[min(len(expected), len(found))]
            return (
                f"{where}: {len(expected)} items recorded, {len(found)} found; first without a pair: {longer}"
            )
        return ""
    same = type(expected) is type(found) and repr(expected) == repr(found)
    return "" if same else f"{where}: recorded {expected!r}, found {found!r}"
