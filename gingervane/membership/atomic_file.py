"""One small file that survives a crash at any moment: the old content or the new, whole, or nothing that is believed.

The file is a line `gingervane-kept VERSION BYTES CRC32` and then that many bytes. It is written beside, forced to the
disk and renamed into place, and the folder is forced too. What cannot be read (torn, another version, a wrong
checksum) is told with its cause and not used; a file of a newer version is set aside before it is written over.

One process keeps a file at a time (a lock on `PATH.lock`, which ends with the process). Owner: the one thread that
calls it.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from contextlib import suppress
from pathlib import Path

MAGIC = b"gingervane-kept"
WRITE_CHUNK_BYTES = 1 << 16
MAX_BYTES = 64 << 20


class StoreError(ValueError):
    """A file that cannot be used, and why."""


class NewerVersionError(StoreError):
    """Written by a later version of this program."""

    def __init__(self, path: Path, version: int, own: int) -> None:
        super().__init__(f"{path}: version {version}, this program reads up to {own}")
        self.version = version


class Disk:
    """What a store does to a disk, one call each, so that a test can end the process or the disk between any two."""

    def create(self, path: Path) -> int:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)

    def write(self, file: int, data: bytes) -> int:
        return os.write(file, data)

    def fsync(self, file: int) -> None:
        os.fsync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def fsync_directory(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class AtomicFile:
    """A file under a lock. Raises StoreError if another process keeps it, OSError if its folder cannot be used."""

    def __init__(self, path: Path, version: int, disk: Disk | None = None) -> None:
        self.path, self._version, self._disk = path, version, disk or Disk()
        self._newer_version = 0  # version of what stands there and must not be written over
        self._lock = os.open(
            path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise StoreError(f"{path}: kept by another process") from None

    def close(self) -> None:
        os.close(self._lock)

    def load(self) -> tuple[int, bytes] | None:
        """Version and content; None if nothing was ever kept. Raises StoreError, or OSError."""
        try:
            size = self.path.stat().st_size
            if size > MAX_BYTES:
                raise StoreError(f"{self.path}: {size} bytes, over the bound of {MAX_BYTES}")
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        try:
            found = parse(data, self.path, self._version)
        except NewerVersionError as error:
            self._newer_version = error.version
            raise
        return found

    def save(self, content: bytes) -> None:
        """Keep `content` in place of what was kept. Raises StoreError, or OSError; the old content then stands."""
        data = frame(content, self._version)
        if len(data) > MAX_BYTES:
            raise StoreError(f"{self.path}: {len(data)} bytes, over the bound of {MAX_BYTES}")
        disk, part = self._disk, self.path.with_name(self.path.name + ".part")
        file = disk.create(part)
        try:
            view = memoryview(data)
            at = 0
            while at < len(data):
                at += disk.write(file, bytes(view[at : at + WRITE_CHUNK_BYTES]))
            disk.fsync(file)
        except OSError:
            with suppress(OSError):
                part.unlink()  # on a full disk it would only take room
            raise
        finally:
            disk.close(file)
        if self._newer_version:
            disk.rename(self.path, self.path.with_name(f"{self.path.name}.v{self._newer_version}"))
            self._newer_version = 0
        disk.rename(part, self.path)
        disk.fsync_directory(self.path.parent)


def frame(content: bytes, version: int) -> bytes:
    """Content under its head line."""
    return b"%s %d %d %08x\n" % (MAGIC, version, len(content), zlib.crc32(content)) + content


def parse(data: bytes, path: Path, own: int) -> tuple[int, bytes]:
    """Version and content of a file's bytes. Raises StoreError."""
    head, line, content = data[:80].partition(b"\n")
    fields = head.split(b" ")
    if not line or len(fields) != 4 or fields[0] != MAGIC or not all(f.isdigit() for f in fields[1:3]):
        raise StoreError(f"{path}: torn or not a kept list")
    content = data[len(head) + 1 :]
    version, length = int(fields[1]), int(fields[2])
    if version > own:
        raise NewerVersionError(path, version, own)
    if length != len(content):
        raise StoreError(f"{path}: torn: {len(content)} bytes of {length}")
    if fields[3] != b"%08x" % zlib.crc32(content):
        raise StoreError(f"{path}: its content does not fit its checksum")
    return version, content


class WriteSchedule:
    """When to write: at most once in `least` seconds, and after failures more and more seldom up to `most`."""

    def __init__(self, least: float = 1.0, most: float = 60.0) -> None:
        self._min_interval, self._max_interval = least, most
        self._not_before, self._interval, self.has_unsaved_changes = -1e18, least, False

    def mark_changed(self) -> None:
        """There is something to write."""
        self.has_unsaved_changes = True

    def is_due(self, now: float) -> bool:
        return self.has_unsaved_changes and now >= self._not_before

    def next_attempt_at(self) -> float:
        """When `ready` turns true without more news."""
        return self._not_before if self.has_unsaved_changes else float("inf")

    def record_result(self, now: float, good: bool, due: bool = False) -> None:
        """A writing has ended; one that failed is still due, and so is what came meanwhile (`due`)."""
        self.has_unsaved_changes = due or not good
        self._interval = self._min_interval if good else min(self._interval * 2, self._max_interval)
        self._not_before = now + self._interval
