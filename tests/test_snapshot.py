"""Snapshots across restarts: a crash at any point of a save, disks that fail, and files of other versions."""

from __future__ import annotations

import errno
import json
import os
import random
import resource
import signal
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from test_consul import wait_until
from test_membership import member

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.membership.atomic_file import (
    WRITE_CHUNK_BYTES,
    AtomicFile,
    Disk,
    NewerVersionError,
    StoreError,
    WriteSchedule,
    frame,
    parse,
)
from gingervane.membership.endpoint_file import EndpointFileError
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.source_owner import EndpointSources
from gingervane.membership.view import EndpointView, Member

OLD, NEW = b"old" * 5, random.Random(3).randbytes(3 * WRITE_CHUNK_BYTES + 99)
OPS = ("create", "write", "write", "write", "write", "fsync", "close", "rename", "fsync_directory")


class ObservedDisk(Disk):
    """Calls `before_operation` before each operation, with its number, its name and the bytes to be
    written."""

    def __init__(self, before_operation: Callable[[int, str, bytes], None]) -> None:
        self.before_operation, self.done = before_operation, list[str]()

    def _next(self, name: str, data: bytes = b"") -> None:
        self.before_operation(len(self.done), name, data)
        self.done.append(name)

    def create(self, path: Path) -> int:
        self._next("create")
        return super().create(path)

    def write(self, file: int, data: bytes) -> int:
        self._next("write", data)
        return super().write(file, data)

    def fsync(self, file: int) -> None:
        self._next("fsync")
        super().fsync(file)

    def close(self, file: int) -> None:
        self._next("close")
        super().close(file)

    def rename(self, old: Path, new: Path) -> None:
        self._next("rename")
        super().rename(old, new)

    def fsync_directory(self, path: Path) -> None:
        self._next("fsync_directory")
        super().fsync_directory(path)


def run_in_child(work: Callable[[], None]) -> int:
    """Run `work` in a child process; return its wait status."""
    child = os.fork()
    if not child:
        try:
            work()
        finally:
            os._exit(0)
    return os.waitpid(child, 0)[1]


@pytest.mark.parametrize("cut", range(len(OPS) + 1))
@pytest.mark.parametrize("half", [False, True])
def test_killed_at_any_point_of_a_save(tmp_path: Path, cut: int, half: bool) -> None:
    path = tmp_path / "kept"
    first = AtomicFile(path, 3)
    first.save(OLD)
    first.close()

    def kill(number: int, name: str, data: bytes) -> None:
        if number == cut:
            if half and data:
                part = os.open(path.with_name("kept.part"), os.O_WRONLY | os.O_APPEND)
                os.write(part, data[: len(data) // 2])
            os.kill(os.getpid(), signal.SIGKILL)

    def write() -> None:
        AtomicFile(path, 3, ObservedDisk(kill)).save(NEW)

    status = run_in_child(write)
    assert (os.WTERMSIG(status) == signal.SIGKILL) if cut < len(OPS) else status == 0
    again = AtomicFile(path, 3)  # the lock ended with the process
    loaded_content = again.load()
    assert loaded_content == (3, NEW if cut > OPS.index("rename") else OLD)
    again.save(b"later")
    assert again.load() == (3, b"later")
    again.close()


class PowerLossModel:
    """A disk in memory that loses unsynced data on a power loss: any tail of a file's bytes, and the latest
    changes of the directory's entries. Descriptors are inode numbers."""

    def __init__(self, path: Path, content: bytes) -> None:
        self.inodes = {0: (content, content)}  # inode -> synced bytes, all bytes
        self.synced = {path.name: 0}
        self.changes: list[dict[str, int]] = []  # the directory's entries after each change not synced yet

    @property
    def names(self) -> dict[str, int]:
        return self.changes[-1] if self.changes else self.synced

    def possible_contents(self, path: Path) -> Iterator[bytes]:
        """Yield every content that the file may have after a power loss."""
        for names in (self.synced, *self.changes):
            synced, written = self.inodes[names[path.name]]
            for length in {len(synced), (len(synced) + len(written)) // 2, len(written)}:
                yield written[:length]


class PowerLossDisk(Disk):
    def __init__(self, model: PowerLossModel, check: Callable[[], None]) -> None:
        self.disk, self.check = model, check

    def create(self, path: Path) -> int:
        number = len(self.disk.inodes)
        self.disk.inodes[number] = b"", b""
        self.disk.changes.append(self.disk.names | {path.name: number})
        self.check()
        return number

    def write(self, file: int, data: bytes) -> int:
        synced, written = self.disk.inodes[file]
        data = data[: max(len(data) * 2 // 3, 1)]  # a short write
        self.disk.inodes[file] = synced, written + data
        self.check()
        return len(data)

    def fsync(self, file: int) -> None:
        self.disk.inodes[file] = (self.disk.inodes[file][1],) * 2
        self.check()

    def close(self, file: int) -> None:
        pass

    def rename(self, old: Path, new: Path) -> None:
        names = dict(self.disk.names)
        names[new.name] = names.pop(old.name)
        self.disk.changes.append(names)
        self.check()

    def fsync_directory(self, path: Path) -> None:
        self.disk.synced, self.disk.changes = self.disk.names, []
        self.check()


def test_power_loss_at_any_point(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    disk, checks = PowerLossModel(path, frame(OLD, 3)), [0]

    def check() -> None:
        checks[0] += 1
        for content in disk.possible_contents(path):
            assert parse(content, path, 3)[1] in (OLD, NEW)

    store = AtomicFile(path, 3, PowerLossDisk(disk, check))
    store.save(NEW)
    store.close()
    assert checks[0] > 8 and {parse(c, path, 3)[1] for c in disk.possible_contents(path)} == {NEW}

    class UnsyncedDisk(PowerLossDisk):
        def fsync(self, file: int) -> None:
            pass

    bad = AtomicFile(path, 3, UnsyncedDisk(PowerLossModel(path, frame(OLD, 3)), check))
    disk = bad._disk.disk  # type: ignore[attr-defined]
    with pytest.raises(StoreError, match="torn"):  # the model detects a file that is not synced
        bad.save(NEW)
    bad.close()


@pytest.mark.parametrize("op", range(len(OPS)))
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_disks_that_fail(tmp_path: Path, op: int, code: int) -> None:
    path = tmp_path / "kept"
    broken = [True]

    def fail(number: int, name: str, data: bytes) -> None:
        if broken[0] and number == op:
            raise OSError(code, os.strerror(code))

    store = AtomicFile(path, 3)
    store.save(OLD)
    store._disk = ObservedDisk(fail)
    with pytest.raises(OSError, match=r"\[Errno"):
        store.save(NEW)
    after = store.load()
    assert after == (3, NEW if OPS[op] == "fsync_directory" else OLD)
    broken[0] = False
    store.save(NEW)
    assert store.load() == (3, NEW)
    store.close()


def test_a_disk_that_is_really_full(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    store = AtomicFile(path, 3)
    store.save(OLD)
    store.close()

    def fill() -> None:
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (WRITE_CHUNK_BYTES + 5, WRITE_CHUNK_BYTES + 5))
        inner = AtomicFile(path, 3)
        try:
            inner.save(NEW)
        except OSError:
            os._exit(7 if not path.with_name("kept.part").exists() else 8)

    assert os.WEXITSTATUS(run_in_child(fill)) == 7, "the error is raised, and the temporary file is removed"
    store = AtomicFile(path, 3)
    assert store.load() == (3, OLD)
    store.close()


def test_the_lock_and_the_size_limit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "kept"
    store = AtomicFile(path, 3)
    with pytest.raises(StoreError, match="kept by another process"):
        AtomicFile(path, 3)
    assert store.load() is None
    monkeypatch.setattr("gingervane.membership.atomic_file.MAX_BYTES", 100)
    with pytest.raises(StoreError, match="over the limit"):
        store.save(NEW)
    path.write_bytes(NEW)
    with pytest.raises(StoreError, match="over the limit"):
        store.load()
    store.close()
    with pytest.raises(OSError):
        AtomicFile(tmp_path / "none" / "kept", 3)


def members() -> tuple[Member, ...]:
    return (
        member(1),
        member(2)._replace(started_at=5.5, create_index=9),
        member(3, api.ReplicaState.DRAINING),
    )


def test_other_versions(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    snapshot = Snapshot(path, 0.0, 1, 1)
    saved_reconciliation = Reconciliation(("consul",), MassRemovalGuard())
    saved_reconciliation.apply_report(SourceReport("consul", members(), 0.0, 7), 50.0)
    snapshot.save(members(), saved_reconciliation.dump(51.0), EndpointView().dump(0.0))
    loaded = snapshot.load()
    assert (
        loaded
        and loaded.members == members()
        and loaded.reconciliation
        and loaded.reconciliation["index"] == {"consul": 7}
    )
    rows = [[1, "n1", "h", 1, 0, 0, "ready", None], [2, "n2", "h", 1, 0, 0, "gone", 5.5]]
    for version, content in ((1, rows), (2, [rows, None])):  # as earlier versions of the program wrote them
        crc = zlib.crc32(json.dumps(content, separators=(",", ":")).encode())
        head = {"version": version, "at": time.time(), "crc": crc}
        path.write_text(json.dumps(head | {"rows": rows, "merge": None}))
        old = snapshot.load()
        assert (
            old
            and old.members[0] == member(1)
            and old.members[1].started_at == 5.5
            and old.reconciliation is None
        )
        path.write_text(path.read_text().replace("gone", "ready"))
        with pytest.raises(StoreError, match="checksum"):
            snapshot.load()
    later = frame(b"what a later program wrote", 4)
    path.write_bytes(later)
    with pytest.raises(NewerVersionError, match="version 4, this program reads up to 3"):
        snapshot.load()
    snapshot.save(members())
    assert (tmp_path / "kept.v4").read_bytes() == later, "renamed, not lost"
    good = path.read_bytes()
    flipped = good.replace(b"ready", b"gone!")
    for bad in (good[:-9], good[:9], b"", b"[]", flipped, frame(b"{}", 3), frame(b"x", 3)):
        path.write_bytes(bad)
        with pytest.raises(StoreError):
            snapshot.load()
    path.write_bytes(good)
    snapshot.close()
    with pytest.raises(StoreError, match="other settings"):
        Snapshot(path, 0.0, 0, 1).load()


def test_writes_are_rate_limited() -> None:
    schedule, now, writes = WriteSchedule(1.0, 8.0), 0.0, list[float]()
    assert not schedule.is_due(0.0) and schedule.next_attempt_at() == float("inf")
    while now < 40.0:
        schedule.mark_changed()
        if schedule.is_due(now):
            writes.append(now)
            schedule.record_result(now, succeeded=now < 10.0)
        now += 0.125
    assert writes == [*range(11), 12, 16, 24, 32], "one per second; failures double the interval up to 8 s"


def test_service_continues_when_no_snapshot_can_be_written(tmp_path: Path) -> None:
    updates, warnings = list[EndpointsUpdated](), list[str]()

    def fail(number: int, name: str, data: bytes) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    snapshot = Snapshot(tmp_path / "kept", 0.0, 1, 1, ObservedDisk(fail))
    sources = EndpointSources(("consul",), MassRemovalGuard(), updates.append, warnings.append, snapshot)
    sources.report("consul", members(), 0.0, 5)
    assert sources.start(30.0)
    wait_until(lambda: any("No space left" in text for text in warnings))
    sources.report("consul", members()[:2], 0.0, 6)
    wait_until(lambda: len(updates) == 2)
    sources.stop()


def test_a_slow_disk_does_not_delay_a_drain(tmp_path: Path) -> None:
    updates, release = list[EndpointsUpdated](), threading.Event()

    class Slow(Disk):
        def fsync(self, file: int) -> None:
            release.wait(60.0)
            super().fsync(file)

    snapshot = Snapshot(tmp_path / "kept", 0.0, 1, 1, Slow())
    sources = EndpointSources(("consul",), MassRemovalGuard(), updates.append, lambda text: None, snapshot)
    sources.report("consul", (member(1), member(2)), 0.0, 5)
    assert sources.start(30.0)
    wait_until(lambda: (tmp_path / "kept.part").exists())
    sources.report("consul", (member(1), member(2, api.ReplicaState.DRAINING)), 0.0, 6)
    wait_until(lambda: len(updates) == 2)
    assert not (tmp_path / "kept").exists()
    release.set()
    sources.stop()
    again = Snapshot(tmp_path / "kept", 0.0, 1, 1)
    loaded = again.load()
    assert loaded and [m.state.value for m in loaded.members] == ["ready", "draining"], "written at the stop"


def test_a_start_without_its_list_file_uses_the_snapshot(tmp_path: Path) -> None:
    from gingervane.experiments.embedded import EmbeddedFleet

    snapshot_path = str(tmp_path / "kept")
    first = EmbeddedFleet(overrides={"membership": {"kept": snapshot_path}})
    first.write_list({2: "draining"})
    nodes = first.app.membership.nodes
    try:
        wait_until(lambda: nodes.members[2].state is api.ReplicaState.DRAINING)
        first.app.stop()
        first.stopped.add(0)
        first.list_file.unlink()
        from gingervane.daemon.app import App

        second = App(first.config)
        second.start()
        try:
            states = {n: m.state for n, m in second.membership.nodes.members.items()}
            assert states == {n: api.ReplicaState("draining" if n == 2 else "ready") for n in range(6)}
            first.write_list()  # restores the list file
            wait_until(lambda: second.membership.nodes.members[2].state is api.ReplicaState.READY)
        finally:
            second.stop()
        Path(snapshot_path).unlink()
        first.list_file.unlink()
        with pytest.raises(EndpointFileError, match="No such file"):
            App(first.config).start()
    finally:
        first.close()
