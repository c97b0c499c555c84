"""One small file that survives a crash at any moment: after it, the content is the old or the new, never a mixture.

The file is a line `gingervane-kept VERSION BYTES CRC32` and then that many bytes. It is written beside, forced to the
disk and renamed into place, and the directory is forced too. What cannot be read (torn, another version, a wrong
checksum) is reported with its cause and not used; a file of a newer version is set aside before it is written over.

One process has a file open at a time (a lock on `PATH.lock`, which ends with the process). Owner: the one thread that
calls it.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from contextlib import suppress
from math import inf
from pathlib import Path

MAGIC = b"gingervane-kept"  # first word of the head line
WRITE_CHUNK_BYTES = 1 << 16  # of one write call
MAX_BYTES = 64 << 20  # of a file
_MAX_HEAD_BYTES = 80  # of the head line
_LONG_AGO = -1e18  # seconds on the monotonic clock


class StoreError(ValueError):
    """A file that cannot be used, and why."""


class NewerVersionError(StoreError):
    """Written by a later version of this program."""

    def __init__(self, path: Path, version: int, own: int) -> None:
        super().__init__(f"{path}: version {version}, this program reads up to {own}")
        self.version = version


class Disk:
    """The operations on the disk, one call each, so that a test can end the process or the disk between any two."""

    def create(self, path: Path) -> int:
        """Open a new or emptied file for writing; return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)

    def write(self, file: int, data: bytes) -> int:
        """Write data; return how many bytes were taken."""
        return os.write(file, data)

    def fsync(self, file: int) -> None:
        """Force a file's content to the disk."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file over another in one step."""
        old.replace(new)

    def fsync_directory(self, path: Path) -> None:
        """Force a directory's entries to the disk."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class AtomicFile:
    """A file under a lock."""

    def __init__(self, path: Path, version: int, disk: Disk | None = None) -> None:
        """Raises StoreError if another process has it open, OSError if its directory cannot be used."""
        self.path = path
        self._version = version
        self._disk = disk or Disk()
        self._newer_version = 0  # of the file that stands there and must not be written over
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
        """Return version and content; None if nothing was ever saved. Raises StoreError, or OSError."""
        try:
            size = self.path.stat().st_size
            if size > MAX_BYTES:
                raise StoreError(f"{self.path}: {size} bytes, over the bound of {MAX_BYTES}")
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        try:
            return parse(data, self.path, self._version)
        except NewerVersionError as error:
            self._newer_version = error.version
            raise

    def save(self, content: bytes) -> None:
        """Replace the content. Raises StoreError, or OSError; the old content then stands."""
        data = frame(content, self._version)
        if len(data) > MAX_BYTES:
            raise StoreError(f"{self.path}: {len(data)} bytes, over the bound of {MAX_BYTES}")
        disk = self._disk
        part = self.path.with_name(self.path.name + ".part")
        self._write(part, data)
        if self._newer_version:
            disk.rename(self.path, self.path.with_name(f"{self.path.name}.v{self._newer_version}"))
            self._newer_version = 0
        disk.rename(part, self.path)
        disk.fsync_directory(self.path.parent)

    def _write(self, path: Path, data: bytes) -> None:
        """Write a new file and force it to the disk; remove it if that fails."""
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
                path.unlink()  # on a full disk it would only take room
            raise
        finally:
            disk.close(file)


def frame(content: bytes, version: int) -> bytes:
    """Put content under its head line."""
    return b"%s %d %d %08x\n" % (MAGIC, version, len(content), zlib.crc32(content)) + content


def parse(data: bytes, path: Path, own: int) -> tuple[int, bytes]:
    """Return version and content of a file's bytes. Raises StoreError."""
    head, line, content = data[:_MAX_HEAD_BYTES].partition(b"\n")
    fields = head.split(b" ")
    if not line or len(fields) != 4 or fields[0] != MAGIC or not all(f.isdigit() for f in fields[1:3]):
        raise StoreError(f"{path}: torn or not a kept list")
    content = data[len(head) + 1 :]
    version = int(fields[1])
    length = int(fields[2])
    if version > own:
        raise NewerVersionError(path, version, own)
    if length != len(content):
        raise StoreError(f"{path}: torn: {len(content)} bytes of {length}")
    if fields[3] != b"%08x" % zlib.crc32(content):
        raise StoreError(f"{path}: its content does not fit its checksum")
    return version, content


class WriteSchedule:
    """When to write: at most once in `min_interval` seconds; with each failure the interval doubles to a maximum."""

    def __init__(self, min_interval: float = 1.0, max_interval: float = 60.0) -> None:
        """Intervals in seconds."""
        self._min_interval = min_interval
        self._max_interval = max_interval
        self._interval = min_interval
        self._not_before = _LONG_AGO
        self.has_unsaved_changes = False

    def mark_changed(self) -> None:
        """Note that there is something to write."""
        self.has_unsaved_changes = True

    def is_due(self, now: float) -> bool:
        """Tell whether to write now."""
        return self.has_unsaved_changes and now >= self._not_before

    def next_attempt_at(self) -> float:
        """Return when `is_due` turns true without further changes."""
        return self._not_before if self.has_unsaved_changes else inf

    def record_result(self, now: float, succeeded: bool, has_changed: bool = False) -> None:
        """Note the end of a write; one that failed is still due, and so is what changed meanwhile."""
        self.has_unsaved_changes = has_changed or not succeeded
        self._interval = self._min_interval if succeeded else min(self._interval * 2, self._max_interval)
        self._not_before = now + self._interval
