"""A small file that is replaced atomically: after a crash it holds the old content or the new, never a mixture.

The file is a line `gingervane-kept VERSION BYTES CRC32` followed by that many bytes. A save writes a temporary file,
syncs it, renames it into place and syncs the directory. A file that cannot be read (torn, newer version, wrong
checksum) is reported with the cause and not used; a file of a newer version is renamed before a save replaces it.

One process has the file open at a time: it holds a lock on `PATH.lock`, which ends with the process.
Not thread-safe: one thread makes all calls.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from contextlib import suppress
from math import inf
from pathlib import Path

MAGIC = b"gingervane-kept"  # first word of the header line
WRITE_CHUNK_BYTES = 1 << 16  # most bytes passed to one write call
MAX_BYTES = 64 << 20  # largest file that is read or written
_MAX_HEAD_BYTES = 80  # longest header line
_LONG_AGO = -1e18  # seconds on the monotonic clock; before any reading of it


class StoreError(ValueError):
    """A file that cannot be used; the message names the cause."""


class NewerVersionError(StoreError):
    """The file was written by a later version of this program."""

    def __init__(self, path: Path, version: int, supported_version: int) -> None:
        super().__init__(f"{path}: version {version}, this program reads up to {supported_version}")
        self.version = version


class Disk:
    """The file system operations, one call each, so that a test can kill the process or fail the disk between two."""

    def create(self, path: Path) -> int:
        """Create or truncate a file and open it for writing; return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)

    def write(self, file: int, data: bytes) -> int:
        """Write data; return the number of bytes written, which may be fewer than given."""
        return os.write(file, data)

    def fsync(self, file: int) -> None:
        """Sync a file's content to the disk."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        """Atomically replace `new` by `old`."""
        old.replace(new)

    def fsync_directory(self, path: Path) -> None:
        """Sync a directory's entries to the disk."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class AtomicFile:
    """A versioned file that is replaced atomically, under an exclusive lock from construction to `close`."""

    def __init__(self, path: Path, version: int, disk: Disk | None = None) -> None:
        """`version`: the format version to write, and the newest that can be read.

        Raises StoreError if another process has the file open, OSError if its directory cannot be used.
        """
        self.path = path
        self._version = version
        self._disk = disk or Disk()
        self._newer_version = 0  # of the present file; 0 unless newer than ours: `save` must not overwrite it
        self._lock = os.open(
            path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise StoreError(f"{path}: kept by another process") from None

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock)

    def load(self) -> tuple[int, bytes] | None:
        """Return version and content, None if there is no file. Raises StoreError or OSError."""
        try:
            size = self.path.stat().st_size
            if size > MAX_BYTES:
                raise StoreError(f"{self.path}: {size} bytes, over the limit of {MAX_BYTES}")
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        try:
            return parse(data, self.path, self._version)
        except NewerVersionError as error:
            self._newer_version = error.version
            raise

    def save(self, content: bytes) -> None:
        """Replace the content. A file of a newer version is renamed to `PATH.vVERSION` first.

        Raises StoreError or OSError. The old content then stays, unless only the sync of the directory failed.
        """
        data = frame(content, self._version)
        if len(data) > MAX_BYTES:
            raise StoreError(f"{self.path}: {len(data)} bytes, over the limit of {MAX_BYTES}")
        disk = self._disk
        temporary = self.path.with_name(self.path.name + ".part")
        self._write(temporary, data)
        if self._newer_version:
            disk.rename(self.path, self.path.with_name(f"{self.path.name}.v{self._newer_version}"))
            self._newer_version = 0
        disk.rename(temporary, self.path)
        disk.fsync_directory(self.path.parent)

    def _write(self, path: Path, data: bytes) -> None:
        """Write and sync a new file; remove it on failure."""
        disk = self._disk
        file = disk.create(path)
        try:
            view = memoryview(data)
            written = 0
            while written < len(data):
                written += disk.write(file, bytes(view[written : written + WRITE_CHUNK_BYTES]))
            disk.fsync(file)
        except OSError:
            with suppress(OSError):
                path.unlink()  # frees its space on a full disk
            raise
        finally:
            disk.close(file)


def frame(content: bytes, version: int) -> bytes:
    """Return the bytes of a file: the header line and the content."""
    return b"%s %d %d %08x\n" % (MAGIC, version, len(content), zlib.crc32(content)) + content


def parse(data: bytes, path: Path, supported_version: int) -> tuple[int, bytes]:
    """Return version and content of a file's bytes. `supported_version`: newest readable one. Raises StoreError."""
    head, newline, content = data[:_MAX_HEAD_BYTES].partition(b"\n")
    fields = head.split(b" ")
    if not newline or len(fields) != 4 or fields[0] != MAGIC or not all(f.isdigit() for f in fields[1:3]):
        raise StoreError(f"{path}: torn, or not a file of this program")
    content = data[len(head) + 1 :]
    version = int(fields[1])
    length = int(fields[2])
    if version > supported_version:
        raise NewerVersionError(path, version, supported_version)
    if length != len(content):
        raise StoreError(f"{path}: torn: {len(content)} bytes of {length}")
    if fields[3] != b"%08x" % zlib.crc32(content):
        raise StoreError(f"{path}: checksum mismatch")
    return version, content


class WriteSchedule:
    """Rate limit for writes: one per `min_interval`; the interval doubles with each failure, up to `max_interval`."""

    def __init__(self, min_interval: float = 1.0, max_interval: float = 60.0) -> None:
        """Both intervals are in seconds."""
        self._min_interval = min_interval
        self._max_interval = max_interval
        self._interval = min_interval
        self._not_before = _LONG_AGO
        self.has_unsaved_changes = False

    def mark_changed(self) -> None:
        """Record that there are changes to write."""
        self.has_unsaved_changes = True

    def is_due(self, now: float) -> bool:
        """Return whether there are changes and the interval since the last write has passed."""
        return self.has_unsaved_changes and now >= self._not_before

    def next_attempt_at(self) -> float:
        """Return the time from which `is_due` is true; infinite without changes."""
        return self._not_before if self.has_unsaved_changes else inf

    def record_result(self, now: float, succeeded: bool, has_changed: bool = False) -> None:
        """Record the end of a write. After a failure, or with changes made meanwhile, another write stays due."""
        self.has_unsaved_changes = has_changed or not succeeded
        self._interval = self._min_interval if succeeded else min(self._interval * 2, self._max_interval)
        self._not_before = now + self._interval
