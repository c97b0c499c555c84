"""Records of the simulator's wire protocol (WIRE-gingervane.md), in both directions."""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any, TypeVar

from gingervane import interface as api

T = TypeVar("T")


class RecordCode(IntEnum):
    """First byte of each record that the simulator sends."""

    LAUNCH = 0
    ENDPOINTS = 1
    WORK_ITEM = 2
    STARTED = 3
    RESULT = 4
    EXPIRED = 5
    FIRED = 6
    PROBE_RESULT = 7
    NOTE_FROM = 8
    STOP = 9
    TABLE = 10
    ABOUT = 11


class ReplyCode(IntEnum):
    """First byte of each record that the adapter sends."""

    SEND = 64
    REJECT = 65
    FAIL = 66
    CANCEL = 67
    SET_TIMER = 68
    CLOSE_IDLE = 70
    SEND_TO_PEERS = 71
    LOG = 72
    FAULT = 73
    WATCH_MEMBERSHIP = 74
    ANSWER = 76
    INSTANCE = 77


# Frame headers.
BATCH_HEADER = struct.Struct("<dIII")  # time, length, number of records, batch number
REPLY_HEADER = struct.Struct("<III")  # number of records, length, batch number

# Bodies of the records that the simulator sends, after the code byte.
TABLE = struct.Struct("<HI")
_REPLICA = struct.Struct("<HHHBIfd")
_WORK_ITEM = struct.Struct("<QffHfHQIdd")
_RESULT = struct.Struct("<QdIBBH")
_PROBE_RESULT = struct.Struct("<IHd")
ENDPOINTS = struct.Struct("<QHB")
INSTANCE = struct.Struct("<H")
_IDENTIFIER = struct.Struct("<Q")
LAUNCH = struct.Struct("<QI")
_STARTED = struct.Struct("<QIBd")
_NOTE_FROM = struct.Struct("<HH")

_OUTCOMES = {
    0: api.AttemptOutcome.ERROR,
    1: api.AttemptOutcome.OK,
    2: api.AttemptOutcome.REJECTED,
    3: api.AttemptOutcome.TIMED_OUT,
    4: api.AttemptOutcome.CONNECT_FAILED,
    5: api.AttemptOutcome.RESET,
    6: api.AttemptOutcome.CANCELLED,
    7: api.AttemptOutcome.NEVER_SENT,
}
_STATES = {0: api.ReplicaState.GONE, 1: api.ReplicaState.READY, 2: api.ReplicaState.DRAINING}
UPDATE_KINDS = {
    0: api.MembershipUpdateKind.DELTA,
    1: api.MembershipUpdateKind.FULL,
    2: api.MembershipUpdateKind.CACHED,
    3: api.MembershipUpdateKind.FAILED,
}
# Bit of a work item's flags: the query is a client retry.
_CLIENT_RETRY_BIT = 2
# Destination that stands for all peers.
_ALL_PEERS = 0xFFFFFFFF
# Longest fault text, in bytes.
_MAX_FAULT_TEXT = 500


class WireError(Exception):
    """The input violates the wire protocol."""


def _encode_send(action: api.Send) -> bytes:
    return struct.pack("<BQId", ReplyCode.SEND, action.part, action.replica, action.stop_at)


def _encode_reject(action: api.Reject) -> bytes:
    return struct.pack("<BQd", ReplyCode.REJECT, action.query, action.retry_after)


def _encode_fail(action: api.Fail) -> bytes:
    return struct.pack("<BQ", ReplyCode.FAIL, action.query)


def _encode_cancel(action: api.Cancel) -> bytes:
    return struct.pack("<BQB", ReplyCode.CANCEL, action.part, action.attempt)


def _encode_close_idle(action: api.CloseIdle) -> bytes:
    return struct.pack("<BI", ReplyCode.CLOSE_IDLE, action.replica)


def _encode_set_timer(action: api.SetTimer) -> bytes:
    return struct.pack("<BdQ", ReplyCode.SET_TIMER, action.delay, action.label)


def _encode_answer(action: api.Answer) -> bytes:
    return struct.pack("<BQB", ReplyCode.ANSWER, action.query, action.complete)


def _encode_watch_membership(_: api.WatchMembership) -> bytes:
    return struct.pack("<BB", ReplyCode.WATCH_MEMBERSHIP, 1)


def _encode_send_to_peers(action: api.SendToPeers) -> bytes:
    head = struct.pack("<BIH", ReplyCode.SEND_TO_PEERS, _ALL_PEERS, len(action.payload))
    return head + action.payload


def _encode_log_message(action: api.LogMessage) -> bytes:
    return _encode_text(ReplyCode.LOG, action.text.encode())


def _encode_ejected(action: api.ReplicaEjected) -> bytes:
    text = f"replica {action.replica} ejected for {action.seconds:g} s: {action.reason.value}"
    return _encode_text(ReplyCode.LOG, text.encode())


def _encode_reinstated(action: api.ReplicaReinstated) -> bytes:
    return _encode_text(ReplyCode.LOG, f"replica {action.replica} reinstated".encode())


def _encode_text(code: ReplyCode, text: bytes) -> bytes:
    return struct.pack("<BH", code, len(text)) + text


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.Send: _encode_send,
    api.Reject: _encode_reject,
    api.Fail: _encode_fail,
    api.Cancel: _encode_cancel,
    api.CloseIdle: _encode_close_idle,
    api.SetTimer: _encode_set_timer,
    api.Answer: _encode_answer,
    api.WatchMembership: _encode_watch_membership,
    api.SendToPeers: _encode_send_to_peers,
    api.LogMessage: _encode_log_message,
    api.ReplicaEjected: _encode_ejected,
    api.ReplicaReinstated: _encode_reinstated,
}


def encode(action: api.Action) -> bytes:
    """Encode an action of the decision engine as a record."""
    return _ENCODERS[type(action)](action)


def encode_fault(error: BaseException) -> bytes:
    """Encode the record that reports an exception of the decision engine."""
    text = f"{type(error).__name__}: {error}".encode()[:_MAX_FAULT_TEXT]
    return _encode_text(ReplyCode.FAULT, text)


def encode_instance(instance: int) -> bytes:
    """Encode the record that precedes the reply records of an instance."""
    return struct.pack("<BH", ReplyCode.INSTANCE, instance)


class RecordReader:
    """A cursor over the records of one batch; its errors name the batch and the byte offset."""

    def __init__(self, data: bytes, batch: int) -> None:
        self._data = data
        self._position = 0
        self._batch = batch

    def error(self, description: str) -> WireError:
        """An error at the current offset."""
        return WireError(f"batch {self._batch}, byte {self._position + BATCH_HEADER.size}: {description}")

    def read_fields(self, layout: struct.Struct, description: str) -> tuple[Any, ...]:
        """Read the fields of a structure."""
        if self._position + layout.size > len(self._data):
            raise self.error(f"frame ends inside {description}")
        fields = layout.unpack_from(self._data, self._position)
        self._position += layout.size
        return fields

    def read_bytes(self, length: int, description: str) -> bytes:
        """Read `length` bytes."""
        if self._position + length > len(self._data):
            raise self.error(f"frame ends inside {description}")
        self._position += length
        return self._data[self._position - length : self._position]

    def read_code(self) -> int:
        """Read the code of the next record."""
        return self.read_bytes(1, "a record")[0]

    def look_up(self, table: dict[int, T], code: int, description: str) -> T:
        """The value of a code; an unknown code is a `WireError`."""
        if code not in table:
            raise self.error(f"unknown {description} {code}")
        return table[code]

    def read_load(self) -> tuple[float, ...]:
        """Read a load report: a count, followed by as many numbers."""
        count = self.read_bytes(1, "load report")[0]
        return struct.unpack(f"<{count}f", self.read_bytes(4 * count, "load report"))

    def expect_end(self) -> None:
        """Raise a `WireError` if bytes remain after the last record."""
        if self._position != len(self._data):
            raise self.error("bytes left over after the last record")


def read_replica(reader: RecordReader) -> api.Replica:
    """Read an entry of an endpoint table."""
    cell, zone, _, state, replica_id, weight, started_at = reader.read_fields(_REPLICA, "a table entry")
    return api.Replica(
        replica_id, cell, zone, weight, reader.look_up(_STATES, state, "lifecycle"), started_at
    )


def _read_work_item(reader: RecordReader) -> api.Event:
    """Read a query, which has a negative shard, or a part."""
    item_id, shard, query, query_class, weight_or_part_count, flags, _, tenant, expires_at, cost = (
        reader.read_fields(_WORK_ITEM, "work_item")
    )
    if shard >= 0:
        return api.PartArrived(item_id, int(query), int(shard), weight_or_part_count)
    is_client_retry = bool(flags & _CLIENT_RETRY_BIT)
    return api.QueryArrived(
        item_id, int(query), query_class, tenant, int(weight_or_part_count), expires_at, is_client_retry, cost
    )


def _read_started(reader: RecordReader) -> None:
    """Skip the start of an attempt, which the decision engine does not use."""
    reader.read_fields(_STARTED, "started")


def _read_result(reader: RecordReader) -> api.Event:
    part, latency, replica, _, attempt, outcome = reader.read_fields(_RESULT, "result")
    reader.read_load()
    return api.AttemptEnded(part, attempt, replica, reader.look_up(_OUTCOMES, outcome, "ending"), latency)


def _read_expired(reader: RecordReader) -> api.Event:
    return api.QueryAbandoned(*reader.read_fields(_IDENTIFIER, "expired"))


def _read_fired(reader: RecordReader) -> api.Event:
    return api.TimerFired(*reader.read_fields(_IDENTIFIER, "fired"))


def _read_probe_result(reader: RecordReader) -> api.Event:
    replica, code, latency = reader.read_fields(_PROBE_RESULT, "probe_result")
    outcome = reader.look_up(_OUTCOMES, code, "ending")
    return api.HealthCheckEnded(replica, outcome, latency, reader.read_load())


def _read_note_from(reader: RecordReader) -> api.Event:
    sender, length = reader.read_fields(_NOTE_FROM, "note_from")
    return api.PeerMessageReceived(sender, reader.read_bytes(length, "note_from"))


# Readers of the events that consist of a single record.
EVENT_READERS: dict[int, Callable[[RecordReader], api.Event | None]] = {
    RecordCode.WORK_ITEM: _read_work_item,
    RecordCode.STARTED: _read_started,
    RecordCode.RESULT: _read_result,
    RecordCode.EXPIRED: _read_expired,
    RecordCode.FIRED: _read_fired,
    RecordCode.PROBE_RESULT: _read_probe_result,
    RecordCode.NOTE_FROM: _read_note_from,
}
