"""The intents on disk: a log in segments, durable in groups, bounded, read back at a start.

A record is a head (length and CRC-32 of its content, little-endian) and a JSON list. A write waits in `intend` until
its record is on the disk; one thread writes all that wait and forces it once. An end is written behind: one that is
lost in a crash leaves an intent that may have run, which is safe. A segment that has grown to its size is closed; one
whose every record is older than what is kept is removed.

Read back, a torn tail of the last segment is cut off: what it held had not been promised to anyone. Damage anywhere
else is told with its place; the rest of that segment is passed over, and the log says so (`damaged`), as keys in it
may have run.

Times are of `boot_clock.seconds`, which no step of the wall clock touches. Each segment says of which boot of the
machine
they are: of an entry from before another boot it is not known how long ago its key may have been sent, so it counts
as out of its window.

A disk that fails: a segment whose writing or forcing failed is left, since after a failed forcing the same descriptor
proves nothing of what it held, and the next record opens a new one. What such a segment may hold beyond what was
promised reads as a write that may have run, which is safe. A disk that hangs holds up nobody past its own time.

Owners: `_lock` is over what waits to be written; the file is the writer thread's.
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
from math import inf
from pathlib import Path
from typing import NamedTuple

import orjson

from gingervane.coordinator import boot_clock
from gingervane.writes.idempotency import IdempotencyRecord, WriteState

_NO_BOOT = "no boot"  # where the system tells no id: no entry is of the same boot
_HEAD = struct.Struct("<II")
MAX_RECORD_BYTES = 1 << 20
MAX_PENDING_RECORDS = 100_000  # records that may wait for the disk


class WriteAheadLogError(OSError):
    """The log cannot take an intent: nothing of the write may be sent."""


class RecoveredLog(NamedTuple):
    """What a start read: entries by key, the last word on each, and what was wrong."""

    records: dict[str, IdempotencyRecord]
    faults: list[str]
    record_count: int


def encode_frame(content: bytes) -> bytes:
    return _HEAD.pack(len(content), zlib.crc32(content)) + content


def encode_record(key: str, entry: IdempotencyRecord) -> bytes:
    """One record. Results are kept as they are, and must be JSON."""
    return encode_frame(
        orjson.dumps(
            [
                key,
                entry.state.value,
                entry.digest,
                entry.version,
                entry.first_sent_at,
                entry.updated_at,
                entry.result,
            ]
        )
    )


def decode_record(content: bytes) -> tuple[str, IdempotencyRecord]:
    """Raises ValueError."""
    key, state, digest, version, first, at, result = orjson.loads(content)
    return key, IdempotencyRecord(WriteState(state), digest, version, first, at, result)


def encode_boot_id(boot: str) -> bytes:
    """Says that the times of what follows are of this boot."""
    return encode_frame(orjson.dumps(["", boot]))


def read_segment(
    data: bytes, into: dict[str, IdempotencyRecord], boot: str = "", now: float = 0.0
) -> tuple[int, int, str]:
    """Records of one segment: how many, how many bytes of it are good, and what is wrong after them.

    `boot` and `now`: of the reader. Entries of another boot are out of their window, as of now; a reader that gives
    no boot takes all times as they are.
    """
    at = count = 0
    written_in = ""
    while at < len(data):
        if at + _HEAD.size > len(data):
            return count, at, "torn head"
        length, crc = _HEAD.unpack_from(data, at)
        content = data[at + _HEAD.size : at + _HEAD.size + length]
        if length > MAX_RECORD_BYTES or len(content) < length:
            return count, at, "torn record"
        if zlib.crc32(content) != crc:
            return count, at, "a record does not fit its checksum"
        try:
            if content.startswith(b'["",'):
                _, written_in = orjson.loads(content)
                at += _HEAD.size + length
                continue
            key, entry = decode_record(content)
        except (ValueError, TypeError) as error:
            return count, at, f"a record makes no sense: {error}"
        into[key] = (
            entry if written_in == boot or not boot else entry._replace(first_sent_at=-inf, updated_at=now)
        )
        at += _HEAD.size + length
        count += 1
    return count, at, ""


class WriteAheadLog:
    """A folder of segments `intents-N.log`. Raises OSError if it cannot be used."""

    def __init__(
        self,
        folder: Path,
        retention: float,
        now: Callable[[], float],
        segment_bytes: int = 8 << 20,
        write: Callable[[int, bytes], int] = os.write,
        sync: Callable[[int], None] = os.fdatasync,
    ) -> None:
        """`now`: as `boot_clock.seconds`. `write` and `force` stand for the disk."""
        self._folder, self._keep, self._now, self._size = folder, retention, now, segment_bytes
        self._write_to, self._force = write, sync
        self._turn = threading.Condition()
        self._waiting: list[tuple[bytes, threading.Event | None, list[BaseException]]] = []
        self._stopped = False
        folder.mkdir(parents=True, exist_ok=True)
        self._closed: dict[Path, float] = {}  # full segments and the time of their newest record
        self._number, self._file, self._at = 0, -1, 0
        self._thread = threading.Thread(target=self._run, name="intents", daemon=True)

    def recover(self) -> RecoveredLog:
        """Read what is there, cut a torn tail off, and start to write. Called once, before anything else."""
        entries: dict[str, IdempotencyRecord] = {}
        faults: list[str] = []
        records = 0
        paths = sorted(self._folder.glob("intents-*.log"))
        for path in paths:
            count, good, fault = read_segment(
                path.read_bytes(), entries, boot_clock.boot_id() or _NO_BOOT, self._now()
            )
            records += count
            if fault and path == paths[-1] and fault.startswith("torn"):
                with path.open("r+b") as file:
                    file.truncate(good)
                    os.fsync(file.fileno())
            elif fault:
                faults.append(f"{path}: byte {good}: {fault}")
            self._closed[path] = self._now()
            self._number = int(path.stem.rpartition("-")[2])
        self._open_next()
        self._thread.start()
        return RecoveredLog(entries, faults, records)

    def append_durably(self, key: str, entry: IdempotencyRecord, until: float = inf) -> None:
        """Returns once the intent is on the disk. Raises LogError if it is not known to be by `until` (monotonic)."""
        done, failed = threading.Event(), list[BaseException]()
        self._put(encode_record(key, entry), done, failed)
        if not done.wait(None if until == inf else max(until - time.monotonic(), 0.0)):
            raise WriteAheadLogError("the intent was not on the disk in time")
        if failed:
            raise WriteAheadLogError(f"the intent could not be written: {failed[0]}") from failed[0]

    def append(self, key: str, entry: IdempotencyRecord) -> None:
        """Write down an end, behind."""
        self._put(encode_record(key, entry), None, [])

    def close(self) -> None:
        """Write what waits, and end."""
        with self._turn:
            self._stopped = True
            self._turn.notify()
        if self._thread.ident:
            self._thread.join(10.0)

    def _put(self, data: bytes, done: threading.Event | None, failed: list[BaseException]) -> None:
        if len(data) > MAX_RECORD_BYTES:
            raise WriteAheadLogError(f"a record of {len(data)} bytes is over the bound of {MAX_RECORD_BYTES}")
        with self._turn:
            if self._stopped:
                raise WriteAheadLogError("the log is closed")
            if len(self._waiting) >= MAX_PENDING_RECORDS:
                raise WriteAheadLogError(f"{len(self._waiting)} records wait for the disk")
            self._waiting.append((data, done, failed))
            self._turn.notify()

    def _run(self) -> None:
        while True:
            with self._turn:
                while not self._waiting and not self._stopped:
                    self._turn.wait()
                batch, self._waiting = self._waiting, []
            if not batch:
                if self._file >= 0:
                    os.close(self._file)
                return
            fault = self._write([data for data, _, _ in batch])
            for _, done, failed in batch:
                if fault:
                    failed.append(fault)
                if done:
                    done.set()

    def _write(self, records: list[bytes]) -> OSError | None:
        """Write and force; after a fault the segment is left, so that nothing stands behind a tear."""
        data = memoryview(b"".join(records))
        try:
            if self._file < 0 or self._at >= self._size:
                self._open_next()
            done = 0
            while done < len(data):
                done += self._write_to(self._file, bytes(data[done:]))
            self._force(self._file)
            self._at += len(data)
        except OSError as error:
            self._leave()
            return error
        return None

    def _leave(self) -> None:
        """Be done with the segment. What the fault left is cut off if that can be; nothing rests on it."""
        if self._file < 0:
            return
        with suppress(OSError):
            os.ftruncate(self._file, self._at)
        self._close_file()

    def _close_file(self) -> None:
        file, self._file = self._file, -1
        self._closed[self._folder / f"intents-{self._number:08d}.log"] = self._now()
        with suppress(OSError):
            os.close(file)

    def _open_next(self) -> None:
        """A new segment; old ones that hold nothing that is still kept are removed. Raises OSError."""
        now = self._now()
        if self._file >= 0:
            self._close_file()
        for path, newest in list(self._closed.items()):
            if now - newest > self._keep:
                with suppress(OSError):  # it only takes room; tried again with the next segment
                    path.unlink(missing_ok=True)
                    del self._closed[path]
        self._number += 1
        path = self._folder / f"intents-{self._number:08d}.log"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o644)
        self._at = 0
        try:
            folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
            head = encode_boot_id(boot_clock.boot_id())
            if self._write_to(self._file, head) != len(head):
                raise OSError(errno.ENOSPC, "a short write at the head of a segment")
            self._at = len(head)
        except OSError:
            # Its name may not last, or its times cannot be read: nothing may be promised in it.
            self._close_file()
            raise
