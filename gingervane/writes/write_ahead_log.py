"""Write-ahead log of idempotency records: segment files, group commit, bounded size, recovery at start-up.

A frame is a header (length and CRC-32 of the content, little-endian) and a JSON list. `append_durably`
returns once its record is on the disk: one thread writes all pending records and syncs the file once for all
of them. `append` does not wait: if the record of an outcome is lost in a crash, the write counts as possibly
executed, which is safe. A segment that has reached its maximum size is closed. A segment is removed once all
its records are older than the retention.

On recovery, a torn tail of the last segment is truncated: none of its records had been confirmed to a caller.
Corruption anywhere else is reported with its position, and the rest of that segment is skipped.

Times are of `boot_clock.seconds`, which steps of the wall clock do not affect. Each segment names the boot of
the machine that its times belong to. How long ago a key of another boot was sent is unknown, so its record
counts as outside its window.

Disk failures: after a failed sync, a later successful sync of the same descriptor does not prove that earlier
data is on the disk. A segment whose write or sync failed is therefore abandoned, and the next record opens a
new one. Records in an abandoned segment that were not confirmed are read as writes that may have been
executed, which is safe. A disk that does not answer delays a caller at most to its deadline.

Ownership: `_condition` guards the pending records; the file belongs to the writer thread.
"""

from __future__ import annotations

import errno
import os
import struct
import threading
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import NamedTuple

import orjson

from gingervane.coordinator import boot_clock
from gingervane.writes.idempotency import IdempotencyRecord, WriteState

MAX_RECORD_BYTES = 1 << 20
MAX_PENDING_RECORDS = 100_000  # records that may wait for the disk

_FRAME_HEADER = struct.Struct("<II")  # length and CRC-32 of the content
_BOOT_ID_PREFIX = b'["",'  # start of the content of a boot id frame: a list with an empty key
_NO_BOOT_ID = "no boot"  # used where the system has no boot id; matches no record, so all are of another boot
_TORN_HEADER = "truncated frame header"
_TORN_RECORD = "truncated record"
_CLOSE_TIMEOUT = 10.0  # seconds to wait for the end of the writer thread


class WriteAheadLogError(OSError):
    """The log cannot store a record, so no part of the write may be sent."""


class RecoveredLog(NamedTuple):
    """Result of `recover`."""

    records: dict[str, IdempotencyRecord]  # the last record of each key
    faults: list[str]  # descriptions of corrupt segments, with path and position
    record_count: int


class SegmentRead(NamedTuple):
    """Result of `read_segment`."""

    record_count: int
    valid_bytes: int
    fault: str  # description of the corruption after the valid bytes; empty if there is none

    @property
    def is_torn(self) -> bool:
        """Whether the segment ends within a frame, as after a crash."""
        return self.fault in (_TORN_HEADER, _TORN_RECORD)


@dataclass(slots=True)
class _PendingRecord:
    """A record to be written. `done`, if a thread waits, is set after the write succeeds or fails."""

    data: bytes
    done: threading.Event | None
    error: OSError | None = None


def encode_frame(content: bytes) -> bytes:
    """Return a frame: the header with length and checksum, then the content."""
    return _FRAME_HEADER.pack(len(content), zlib.crc32(content)) + content


def encode_record(key: str, record: IdempotencyRecord) -> bytes:
    """Encode one record as a frame. `record.result` must be serializable as JSON."""
    return encode_frame(
        orjson.dumps(
            [
                key,
                record.state.value,
                record.digest,
                record.version,
                record.first_sent_at,
                record.updated_at,
                record.result,
            ]
        )
    )


def decode_record(content: bytes) -> tuple[str, IdempotencyRecord]:
    """Decode the content of a frame to its key and record.

    Raises ValueError or TypeError if the content is not a record.
    """
    key, state, digest, version, first_sent_at, updated_at, result = orjson.loads(content)
    return key, IdempotencyRecord(WriteState(state), digest, version, first_sent_at, updated_at, result)


def encode_boot_id(boot_id: str) -> bytes:
    """Encode the boot id frame: the times of all later frames of the segment belong to this boot."""
    return encode_frame(orjson.dumps(["", boot_id]))


def read_segment(
    data: bytes, records: dict[str, IdempotencyRecord], boot_id: str = "", now: float = 0.0
) -> SegmentRead:
    """Add the records of one segment to `records`, up to the first corrupt frame.

    `boot_id` and `now` are of the current boot. A record of another boot gets times that put it outside its
    window, and counts as updated now. Without `boot_id`, all times are kept as stored.
    """
    position = record_count = 0
    written_in_boot = ""
    while position < len(data):
        if position + _FRAME_HEADER.size > len(data):
            return SegmentRead(record_count, position, _TORN_HEADER)
        length, checksum = _FRAME_HEADER.unpack_from(data, position)
        end = position + _FRAME_HEADER.size + length
        content = data[position + _FRAME_HEADER.size : end]
        if length > MAX_RECORD_BYTES or len(content) < length:
            return SegmentRead(record_count, position, _TORN_RECORD)
        if zlib.crc32(content) != checksum:
            return SegmentRead(record_count, position, "checksum mismatch of a record")
        try:
            if content.startswith(_BOOT_ID_PREFIX):
                _, written_in_boot = orjson.loads(content)
            else:
                key, record = decode_record(content)
                if boot_id and written_in_boot != boot_id:
                    record = record._replace(first_sent_at=-inf, updated_at=now)
                records[key] = record
                record_count += 1
        except (ValueError, TypeError) as error:
            return SegmentRead(record_count, position, f"a record cannot be decoded: {error}")
        position = end
    return SegmentRead(record_count, position, "")


class WriteAheadLog:
    """A log that is stored as segments `intents-N.log` in a folder.

    `recover` must be called once, before any other method. Raises OSError if the folder cannot be used.
    """

    def __init__(
        self,
        folder: Path,
        retention: float,
        now: Callable[[], float],
        segment_bytes: int = 8 << 20,
        write: Callable[[int, bytes], int] = os.write,
        sync: Callable[[int], None] = os.fdatasync,
    ) -> None:
        """`retention` is in seconds of `now` (`boot_clock.seconds`). `write` and `sync` do the disk I/O."""
        self._folder = folder
        self._retention = retention
        self._now = now
        self._segment_bytes = segment_bytes
        self._write_to = write
        self._sync = sync
        self._condition = threading.Condition()
        self._pending: list[_PendingRecord] = []
        self._stopped = False
        self._closed_at: dict[Path, float] = {}  # time at which each segment was closed or recovered
        self._segment_number = 0  # of the open segment
        self._file = -1  # descriptor of the open segment; -1 if none is open
        self._confirmed_bytes = 0  # bytes of the open segment that are on the disk
        self._thread = threading.Thread(target=self._run, name="intents", daemon=True)
        folder.mkdir(parents=True, exist_ok=True)

    def recover(self) -> RecoveredLog:
        """Read all segments, truncate a torn tail, and start the writer thread."""
        records: dict[str, IdempotencyRecord] = {}
        faults: list[str] = []
        record_count = 0
        paths = sorted(self._folder.glob("intents-*.log"))
        for path in paths:
            segment = read_segment(
                path.read_bytes(), records, boot_clock.boot_id() or _NO_BOOT_ID, self._now()
            )
            record_count += segment.record_count
            if segment.is_torn and path == paths[-1]:
                _truncate(path, segment.valid_bytes)
            elif segment.fault:
                faults.append(f"{path}: byte {segment.valid_bytes}: {segment.fault}")
            self._closed_at[path] = self._now()
            self._segment_number = int(path.stem.rpartition("-")[2])
        self._open_segment()
        self._thread.start()
        return RecoveredLog(records, faults, record_count)

    def append_durably(self, key: str, record: IdempotencyRecord, deadline: float = inf) -> None:
        """Append a record and wait until it is on the disk.

        Raises WriteAheadLogError if that is not confirmed by `deadline` (monotonic clock).
        """
        done = threading.Event()
        pending = _PendingRecord(encode_record(key, record), done)
        self._enqueue(pending)
        if not done.wait(None if deadline == inf else max(deadline - time.monotonic(), 0.0)):
            raise WriteAheadLogError("the intent was not on the disk in time")
        if pending.error:
            raise WriteAheadLogError(f"the intent could not be written: {pending.error}") from pending.error

    def append(self, key: str, record: IdempotencyRecord) -> None:
        """Append a record without waiting for the disk. Raises WriteAheadLogError if it is not accepted."""
        self._enqueue(_PendingRecord(encode_record(key, record), None))

    def close(self) -> None:
        """Write all pending records, and stop the writer thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        if self._thread.ident:
            self._thread.join(_CLOSE_TIMEOUT)

    def _enqueue(self, pending: _PendingRecord) -> None:
        size = len(pending.data)
        if size > MAX_RECORD_BYTES:
            raise WriteAheadLogError(f"a record of {size} bytes is over the bound of {MAX_RECORD_BYTES}")
        with self._condition:
            if self._stopped:
                raise WriteAheadLogError("the log is closed")
            if len(self._pending) >= MAX_PENDING_RECORDS:
                raise WriteAheadLogError(f"{len(self._pending)} records wait for the disk")
            self._pending.append(pending)
            self._condition.notify()

    # The methods below run on the writer thread; `recover` calls some of them before it starts the thread.

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._pending and not self._stopped:
                    self._condition.wait()
                batch = self._pending
                self._pending = []
            if not batch:
                if self._file >= 0:
                    os.close(self._file)
                return
            error = self._write_batch([pending.data for pending in batch])
            for pending in batch:
                pending.error = error
                if pending.done:
                    pending.done.set()

    def _write_batch(self, records: list[bytes]) -> OSError | None:
        """Write and sync records. An error abandons the segment, so that no record follows a torn one."""
        data = memoryview(b"".join(records))
        try:
            if self._file < 0 or self._confirmed_bytes >= self._segment_bytes:
                self._open_segment()
            written = 0
            while written < len(data):
                written += self._write_to(self._file, bytes(data[written:]))
            self._sync(self._file)
            self._confirmed_bytes += len(data)
        except OSError as error:
            self._abandon_segment()
            return error
        return None

    def _abandon_segment(self) -> None:
        """Close the segment after an error, and truncate it to its confirmed bytes if possible."""
        if self._file < 0:
            return
        with suppress(OSError):  # correctness does not depend on the truncation
            os.ftruncate(self._file, self._confirmed_bytes)
        self._close_segment()

    def _close_segment(self) -> None:
        file = self._file
        self._file = -1
        self._closed_at[self._segment_path()] = self._now()
        with suppress(OSError):
            os.close(file)

    def _open_segment(self) -> None:
        """Open the next segment, and remove expired ones. Raises OSError."""
        now = self._now()
        if self._file >= 0:
            self._close_segment()
        self._remove_expired_segments(now)
        self._segment_number += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._file = os.open(self._segment_path(), flags, 0o644)
        self._confirmed_bytes = 0
        try:
            _sync_folder(self._folder)
            self._write_boot_id()
        except OSError:
            # The file name may not survive a crash, or the times of its records cannot be read.
            # No record may be confirmed in such a segment.
            self._close_segment()
            raise

    def _write_boot_id(self) -> None:
        frame = encode_boot_id(boot_clock.boot_id())
        if self._write_to(self._file, frame) != len(frame):
            raise OSError(errno.ENOSPC, "a short write at the head of a segment")
        self._confirmed_bytes = len(frame)

    def _remove_expired_segments(self, now: float) -> None:
        for path, closed_at in list(self._closed_at.items()):
            if now - closed_at > self._retention:
                with suppress(OSError):  # removal is retried when the next segment is opened
                    path.unlink(missing_ok=True)
                    del self._closed_at[path]

    def _segment_path(self) -> Path:
        return self._folder / f"intents-{self._segment_number:08d}.log"


def _truncate(path: Path, size: int) -> None:
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
