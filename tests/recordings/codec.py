"""The form of a recording, and how it is read, written and played.

A recording holds no name of the code, so that it stays valid while types, fields and values are renamed:
a record is a list of its type's position in `TYPES` and its fields in order, a member of an enumeration is
its position in the order of definition. Whoever renames a type edits the tuples here and nothing else.
Positions are never reused: a new type goes at the end of its tuple.
"""

from __future__ import annotations

import gzip
import hashlib
import json
import random
from collections.abc import Callable, Sequence
from enum import Enum
from math import isfinite
from pathlib import Path
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine

from .values import field_values, member_at, member_position

DIRECTORY = Path(__file__).parent
PREFIX, SUFFIX = "decisions-", ".json.gz"

TYPES: tuple[type, ...] = (
    api.QueryClass,
    api.Settings,
    api.Replica,
    api.MembershipChanged,
    api.QueryArrived,
    api.PartArrived,
    api.AttemptEnded,
    api.HealthCheckEnded,
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
    api.WatchInterrupted,
    api.DiscoveryAddressChanged,
)
ENUMERATIONS: tuple[type[Enum], ...] = (
    api.RetrySafety,
    api.ReplicaState,
    api.MembershipUpdateKind,
    api.AttemptOutcome,
    api.EjectionReason,
    api.QueryEndReason,
)
WITHOUT_FIELDS = (api.LogMessage,)  # its text is for people and may be reworded

# First items of JSON lists that are not records.
TUPLE, MEMBER = -1, -2
# First characters of JSON strings: hexadecimal bytes, or a float that JSON cannot represent.
BYTES, NOT_FINITE = "b", "f"

JsonValue = Any


def random_generator(coordinator: DecisionEngine) -> random.Random:
    """The one source of randomness of the decision engine."""
    return coordinator.context.random


def encode(value: Any) -> JsonValue:
    """A value of the interface as JSON without names."""
    if isinstance(value, Enum):
        return [MEMBER, *member_position(ENUMERATIONS, value)]
    if type(value) in TYPES:
        fields = () if type(value) in WITHOUT_FIELDS else field_values(value)
        return [TYPES.index(type(value)), *map(encode, fields)]
    if isinstance(value, tuple):
        return [TUPLE, *map(encode, value)]
    if isinstance(value, bytes):
        return BYTES + value.hex()
    if isinstance(value, float) and not isfinite(value):
        return NOT_FINITE + repr(value)
    if value is None or isinstance(value, bool | int | float):
        return value
    raise TypeError(f"a recording cannot hold {value!r}")


def decode(value: JsonValue) -> Any:
    """The value that `encode` was given."""
    if isinstance(value, str):
        return bytes.fromhex(value[1:]) if value[0] == BYTES else float(value[1:])
    if not isinstance(value, list):
        return value
    tag, *rest = value
    if tag == MEMBER:
        return member_at(ENUMERATIONS, *rest)
    fields = tuple(map(decode, rest))
    return fields if tag == TUPLE else TYPES[tag](*fields)


class Batch(NamedTuple):
    """One call of the decision engine, encoded."""

    now: float
    events: list[JsonValue]
    actions: list[JsonValue]
    random_position: int  # of the generator within its block of numbers; shows how many numbers were drawn


class Recording(NamedTuple):
    """The settings, events and actions of one co-ordinator, encoded."""

    settings: JsonValue
    seed: int
    batches: list[Batch]
    random_digest: str  # of the generator's state at the end


class Recorder:
    """A co-ordinator whose batches are kept in the form of a recording."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.seed = settings, seed
        self.coordinator = DecisionEngine(settings, seed)
        self.batches = list[Batch]()

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Pass one batch to the co-ordinator, record it with the resulting actions, and return these."""
        actions = self.coordinator.handle(now, events)
        position = random_generator(self.coordinator).getstate()[1][-1]
        self.batches.append(Batch(now, [encode(e) for e in events], [encode(a) for a in actions], position))
        return actions

    def recording(self) -> Recording:
        """All batches so far."""
        state = repr(random_generator(self.coordinator).getstate()).encode()
        digest = hashlib.sha256(state).hexdigest()
        return Recording(encode(self.settings), self.seed, self.batches, digest)


def replay(
    recording: Recording,
    settings: api.Settings | None = None,
    change: Callable[[api.Event], api.Event] = lambda event: event,
) -> Recorder:
    """Play a recording's events to a new co-ordinator, if asked with other settings or changed events."""
    recorder = Recorder(settings or decode(recording.settings), recording.seed)
    for batch in recording.batches:
        recorder.handle(batch.now, [change(decode(event)) for event in batch.events])
    return recorder


def exact(value: JsonValue) -> str:
    """A text that differs where a value differs in any bit, or in being an integer, a float or a truth value."""
    return json.dumps(value)


def write(name: str, recording: Recording) -> None:
    """Write a recording as a fixture; the same recording always gives the same file."""
    text = json.dumps(recording, separators=(",", ":"))
    (DIRECTORY / f"{PREFIX}{name}{SUFFIX}").write_bytes(gzip.compress(text.encode(), 9, mtime=0))


def names() -> list[str]:
    """Names of the recordings in the directory."""
    files = DIRECTORY.glob(f"{PREFIX}*{SUFFIX}")
    return sorted(file.name.removeprefix(PREFIX).removesuffix(SUFFIX) for file in files)


def read(name: str) -> Recording:
    """Read the recording of that name."""
    text = gzip.decompress((DIRECTORY / f"{PREFIX}{name}{SUFFIX}").read_bytes())
    settings, seed, batches, digest = json.loads(text)
    return Recording(settings, seed, [Batch(*batch) for batch in batches], digest)
