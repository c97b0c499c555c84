"""Adapter between the simulator's wire protocol (WIRE-gingervane.md) and the decision engine.

It makes no decisions. One process may host many co-ordinators; each has its own `DecisionEngine`, and they
share only the decoding tables of `benchlink_records`.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from gingervane import interface as api
from gingervane.benchlink_records import (
    BATCH_HEADER,
    ENDPOINTS,
    EVENT_READERS,
    INSTANCE,
    LAUNCH,
    REPLY_HEADER,
    TABLE,
    UPDATE_KINDS,
    RecordCode,
    RecordReader,
    WireError,
    encode,
    encode_fault,
    encode_instance,
    read_replica,
)
from gingervane.decisions.engine import DecisionEngine
from gingervane.startup import SettingsError, read_settings

__all__ = ["Host", "WireError", "encode", "encode_fault", "parse_settings", "serve"]


def parse_settings(text: str) -> api.Settings:
    """Read the start-up settings. Unknown keys are ignored; a missing or bad key is a `SettingsError`."""
    return read_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


class Host:
    """Decodes batches, keeps a decision engine per instance number, and encodes the actions of each."""

    def __init__(self) -> None:
        self._engines: dict[int, DecisionEngine] = {}
        self._endpoint_tables: dict[int, tuple[api.Replica, ...]] = {}

    def answer(self, now: float, count: int, batch: int, body: bytes) -> bytes:
        """Return the reply frame to one batch."""
        reader = RecordReader(body, batch)
        processor = _BatchProcessor(now, self._engines, self._endpoint_tables)
        for _ in range(count):
            processor.process_record(reader, reader.read_code())
        reader.expect_end()
        processor.flush()
        return processor.reply(batch)


class _BatchProcessor:
    """One batch in progress: the instance that its records apply to, and the reply records so far."""

    def __init__(
        self,
        now: float,
        engines: dict[int, DecisionEngine],
        endpoint_tables: dict[int, tuple[api.Replica, ...]],
    ) -> None:
        self._now = now
        self._engines = engines
        self._endpoint_tables = endpoint_tables
        self._instance = -1
        self._events = list[api.Event]()  # events of that instance, not handled yet
        self._replies = dict[int, list[bytes]]()  # by instance, in the order of their first events

    def process_record(self, reader: RecordReader, code: int) -> None:
        """Read and process a record."""
        if code == RecordCode.ABOUT:
            self.flush()
            (self._instance,) = reader.read_fields(INSTANCE, "about")
        elif code == RecordCode.LAUNCH:
            self.flush()
            self._launch(reader)
        elif code == RecordCode.STOP:
            self.flush()
            self._engines.pop(self._instance, None)
        elif code == RecordCode.TABLE:
            table_number, rows = reader.read_fields(TABLE, "table")
            self._endpoint_tables[table_number] = tuple(read_replica(reader) for _ in range(rows))
        elif code == RecordCode.ENDPOINTS:
            self._events.append(self._read_endpoints(reader))
        elif code in EVENT_READERS:
            event = EVENT_READERS[code](reader)
            if event is not None:
                self._events.append(event)
        else:
            raise reader.error(f"unknown event code {code}")

    def _launch(self, reader: RecordReader) -> None:
        seed, length = reader.read_fields(LAUNCH, "launch")
        text = reader.read_bytes(length, "the settings")
        try:
            settings = parse_settings(text.decode())
        except UnicodeDecodeError:
            raise reader.error("settings are not text") from None
        self._engines[self._instance] = DecisionEngine(settings, seed)

    def _read_endpoints(self, reader: RecordReader) -> api.Event:
        _, table, kind_code = reader.read_fields(ENDPOINTS, "endpoints")
        kind = reader.look_up(UPDATE_KINDS, kind_code, "list form")
        if kind is api.MembershipUpdateKind.FAILED:
            return api.MembershipChanged(kind, ())
        return api.MembershipChanged(kind, reader.look_up(self._endpoint_tables, table, "table"))

    def flush(self) -> None:
        """Pass the collected events to the current instance."""
        engine = self._engines.get(self._instance)
        if self._events and engine is not None:
            replies = self._replies.setdefault(self._instance, [])
            try:
                replies.extend(map(encode, engine.handle(self._now, self._events)))
            except Exception as error:  # noqa: BLE001 - the protocol reports any exception of the engine
                replies.append(encode_fault(error))
        self._events.clear()

    def reply(self, batch: int) -> bytes:
        """The frame with all reply records."""
        body = bytearray()
        record_count = 0
        for instance, records in self._replies.items():
            if records:
                body += encode_instance(instance) + b"".join(records)
                record_count += len(records) + 1
        return REPLY_HEADER.pack(record_count, REPLY_HEADER.size + len(body), batch) + bytes(body)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of input."""
    host = Host()
    while head := source.read(BATCH_HEADER.size):
        if len(head) < BATCH_HEADER.size:
            raise WireError(f"input ends inside a batch header after {len(head)} bytes")
        now, length, count, batch = BATCH_HEADER.unpack(head)
        if length < BATCH_HEADER.size:
            raise WireError(f"batch {batch}: frame length {length} is shorter than its header")
        body = source.read(length - BATCH_HEADER.size)
        if len(body) < length - BATCH_HEADER.size:
            raise WireError(f"batch {batch}: frame of {length} bytes is cut short")
        sink.write(host.answer(now, count, batch, body))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return 2 if the input or the settings are invalid."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"gingervane: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
