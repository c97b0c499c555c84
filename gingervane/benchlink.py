"""Adapter between the simulator's wire (WIRE-gingervane.md) and the decision module. It decides nothing.

One process may host many co-ordinators; each is a `Coordinator` of its own and they share nothing but
the decoding tables below.
"""

from __future__ import annotations

import struct
import sys
from typing import Any, BinaryIO, TypeVar

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine
from gingervane.startup import SettingsError, read_settings

T = TypeVar("T")

_BATCH = struct.Struct("<dIII")
_REPLY = struct.Struct("<III")
_REPLICA = struct.Struct("<HHHBIfd")
_WORK = struct.Struct("<QffHfHQIdd")
_RESULT = struct.Struct("<QdIBBH")
_PROBE = struct.Struct("<IHd")
_MEMBERS = struct.Struct("<QHB")
_TWO = struct.Struct("<H")
_FOUR = struct.Struct("<I")
_EIGHT = struct.Struct("<Q")
_START = struct.Struct("<QI")
_STREAM = struct.Struct("<QIBd")
_PEER = struct.Struct("<HH")

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
_KINDS = {
    0: api.MembershipUpdateKind.DELTA,
    1: api.MembershipUpdateKind.FULL,
    2: api.MembershipUpdateKind.CACHED,
    3: api.MembershipUpdateKind.FAILED,
}
_REPEAT_BIT = 2


class WireError(Exception):
    """The other side sent something that this adapter cannot read."""


def parse_settings(text: str) -> api.Settings:
    """Read the start-up settings; unknown keys are skipped, a needed key that is absent or bad is named."""
    return read_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def encode(action: api.Action) -> bytes:
    """One action of the module as a record of the wire."""
    match action:
        case api.Send(part, replica, stop_at):
            return struct.pack("<BQId", 64, part, replica, stop_at)
        case api.Reject(query, wait):
            return struct.pack("<BQd", 65, query, wait)
        case api.Fail(query):
            return struct.pack("<BQ", 66, query)
        case api.Cancel(part, attempt):
            return struct.pack("<BQB", 67, part, attempt)
        case api.CloseIdle(replica):
            return struct.pack("<BI", 70, replica)
        case api.SetTimer(delay, label):
            return struct.pack("<BdQ", 68, delay, label)
        case api.Answer(query, whole):
            return struct.pack("<BQB", 76, query, whole)
        case api.WatchMembership():
            return struct.pack("<BB", 74, 1)
        case api.SendToPeers(payload):
            return struct.pack("<BIH", 71, 0xFFFFFFFF, len(payload)) + payload
        case api.LogMessage(text):
            return _remark(text)
        case api.ReplicaEjected(replica, seconds, reason):
            return _remark(f"replica {replica} ejected for {seconds:g} s: {reason.value}")
        case api.ReplicaReinstated(replica):
            return _remark(f"replica {replica} reinstated")


def _remark(text: str) -> bytes:
    raw = text.encode()
    return struct.pack("<BH", 72, len(raw)) + raw


def encode_fault(error: BaseException) -> bytes:
    """The wire's word for a module that broke."""
    raw = f"{type(error).__name__}: {error}".encode()[:500]
    return struct.pack("<BH", 73, len(raw)) + raw


class _Reader:
    """A cursor over one frame that names the place where the frame stops making sense."""

    def __init__(self, data: bytes, batch: int) -> None:
        self.data, self.at, self.batch = data, 0, batch

    def fail(self, what: str) -> WireError:
        return WireError(f"batch {self.batch}, byte {self.at + _BATCH.size}: {what}")

    def take(self, shape: struct.Struct, what: str) -> tuple[Any, ...]:
        if self.at + shape.size > len(self.data):
            raise self.fail(f"frame ends inside {what}")
        fields = shape.unpack_from(self.data, self.at)
        self.at += shape.size
        return fields

    def blob(self, length: int, what: str) -> bytes:
        if self.at + length > len(self.data):
            raise self.fail(f"frame ends inside {what}")
        self.at += length
        return self.data[self.at - length : self.at]

    def known(self, table: dict[int, T], code: int, what: str) -> T:
        if code not in table:
            raise self.fail(f"unknown {what} {code}")
        return table[code]

    def load(self) -> tuple[float, ...]:
        count = self.blob(1, "load report")[0]
        return struct.unpack(f"<{count}f", self.blob(4 * count, "load report"))


class Host:
    """Decodes batches, keeps one co-ordinator per instance number and encodes what each decides."""

    def __init__(self) -> None:
        self._instances: dict[int, DecisionEngine] = {}
        self._tables: dict[int, tuple[api.Replica, ...]] = {}

    def answer(self, now: float, count: int, batch: int, body: bytes) -> bytes:
        """The reply frame to one batch."""
        reader, replies, total = _Reader(body, batch), bytearray(), 0
        current = -1
        pending: list[api.Event] = []
        order: dict[int, list[bytes]] = {}

        def flush() -> None:
            if pending and current in self._instances:
                out = order.setdefault(current, [])
                try:
                    out.extend(encode(a) for a in self._instances[current].handle(now, pending))
                except Exception as error:  # the wire has a record for any failure of the module
                    out.append(encode_fault(error))
            pending.clear()

        for _ in range(count):
            (code,) = reader.blob(1, "a record")
            if code == 11:
                flush()
                (current,) = reader.take(_TWO, "about")
            elif code == 0:
                flush()
                seed, length = reader.take(_START, "launch")
                raw = reader.blob(length, "the settings")
                try:
                    settings = parse_settings(raw.decode())
                except UnicodeDecodeError:
                    raise reader.fail("settings are not text") from None
                self._instances[current] = DecisionEngine(settings, seed)
            elif code == 9:
                flush()
                self._instances.pop(current, None)
            elif code == 10:
                number, rows = reader.take(struct.Struct("<HI"), "table")
                self._tables[number] = tuple(self._replica(reader) for _ in range(rows))
            else:
                event = self._event(reader, code)
                if event is not None:
                    pending.append(event)
        if reader.at != len(body):
            raise reader.fail("bytes left over after the last record")
        flush()
        for instance, records in order.items():
            if records:
                replies += struct.pack("<BH", 77, instance) + b"".join(records)
                total += len(records) + 1
        return _REPLY.pack(total, _REPLY.size + len(replies), batch) + bytes(replies)

    def _replica(self, reader: _Reader) -> api.Replica:
        cell, zone, _, state, number, weight, boot = reader.take(_REPLICA, "a table entry")
        return api.Replica(number, cell, zone, weight, reader.known(_STATES, state, "lifecycle"), boot)

    def _event(self, reader: _Reader, code: int) -> api.Event | None:
        if code == 1:
            _, table, form = reader.take(_MEMBERS, "endpoints")
            kind = reader.known(_KINDS, form, "list form")
            failed = kind is api.MembershipUpdateKind.FAILED
            return api.MembershipChanged(kind, () if failed else reader.known(self._tables, table, "table"))
        if code == 2:
            item, shard, query, klass, heft, marks, _, tenant, until, cost = reader.take(_WORK, "work_item")
            if shard < 0:
                repeat = bool(marks & _REPEAT_BIT)
                return api.QueryArrived(item, int(query), klass, tenant, int(heft), until, repeat, cost)
            return api.PartArrived(item, int(query), int(shard), heft)
        if code == 3:
            reader.take(_STREAM, "started")
            return None
        if code == 4:
            part, latency, replica, _, attempt, ending = reader.take(_RESULT, "result")
            reader.load()
            outcome = reader.known(_OUTCOMES, ending, "ending")
            return api.AttemptEnded(part, attempt, replica, outcome, latency)
        if code == 5:
            return api.QueryAbandoned(*reader.take(_EIGHT, "expired"))
        if code == 6:
            return api.TimerFired(*reader.take(_EIGHT, "fired"))
        if code == 7:
            replica, ending, latency = reader.take(_PROBE, "probe_result")
            outcome = reader.known(_OUTCOMES, ending, "ending")
            return api.HealthCheckEnded(replica, outcome, latency, reader.load())
        if code == 8:
            sender, length = reader.take(_PEER, "note_from")
            return api.PeerMessageReceived(sender, reader.blob(length, "note_from"))
        raise reader.fail(f"unknown event code {code}")


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    host = Host()
    while head := source.read(_BATCH.size):
        if len(head) < _BATCH.size:
            raise WireError(f"input ends inside a batch header after {len(head)} bytes")
        now, length, count, batch = _BATCH.unpack(head)
        if length < _BATCH.size:
            raise WireError(f"batch {batch}: frame length {length} is shorter than its header")
        body = source.read(length - _BATCH.size)
        if len(body) < length - _BATCH.size:
            raise WireError(f"batch {batch}: frame of {length} bytes is cut short")
        sink.write(host.answer(now, count, batch, body))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"gingervane: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
