"""The write-ahead log: truncation at every byte, failing disks, crashes, and reboots."""

from __future__ import annotations

import errno
import os
import random
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from test_idempotency import LIMITS

from gingervane.coordinator import boot_clock
from gingervane.writes import write_ahead_log
from gingervane.writes.idempotency import IdempotencyRecord, IdempotencyRecords, KeyAction, WriteState
from gingervane.writes.write_ahead_log import (
    WriteAheadLog,
    WriteAheadLogError,
    encode_frame,
    encode_record,
    read_segment,
)


def entry(number: int, state: WriteState = WriteState.IN_PROGRESS) -> IdempotencyRecord:
    return IdempotencyRecord(state, f"digest {number}", number, float(number), float(number), {"r": number})


def test_a_log_cut_at_every_byte() -> None:
    records = [encode_record(f"k{n}", entry(n)) for n in range(4)]
    data, ends = b"".join(records), [sum(map(len, records[: n + 1])) for n in range(4)]
    for cut in range(len(data) + 1):
        found: dict[str, IdempotencyRecord] = {}
        count, good, fault = read_segment(data[:cut], found)
        whole = sum(end <= cut for end in ends)
        assert count == whole and good == ([0, *ends][whole]) and bool(fault) == (good != cut)
        assert found == {f"k{n}": entry(n) for n in range(whole)}
    for at in range(0, len(data), 7):  # a flipped bit is never read as another record
        bent = bytearray(data)
        bent[at] ^= 4
        found = {}
        count, good, fault = read_segment(bytes(bent), found)
        assert fault and all(found[k] == entry(int(k[1:])) for k in found) and good <= at


def test_a_log_is_recovered_in_its_folder(tmp_path: Path) -> None:
    clock = [1000.0]
    log = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert log.recover().record_count == 0
    for n in range(12):
        log.append_durably(f"k{n}", entry(n))
    log.append("k3", entry(3, WriteState.COMPLETED))
    log.close()
    with pytest.raises(WriteAheadLogError):
        log.append_durably("late", entry(1))
    paths = sorted(tmp_path.glob("intents-*.log"))
    assert len(paths) > 3, "the log has several segments"
    with paths[-1].open("ab") as file:
        file.write(encode_record("torn", entry(99))[:-5])
    bent = bytearray(paths[1].read_bytes())
    bent[-3] ^= 1
    paths[1].write_bytes(bytes(bent))
    again = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    found = again.recover()
    assert "torn" not in found.records and found.records["k3"].state is WriteState.COMPLETED
    assert len(found.faults) == 1 and str(paths[1]) in found.faults[0] and "checksum" in found.faults[0]
    again.close()
    third = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert len(third.recover().faults) == 1, "the torn tail was truncated by the earlier recovery"
    clock[0] += 60.0
    for n in range(12):
        third.append_durably(f"n{n}", entry(n))
    third.close()
    assert not set(paths) & set(tmp_path.glob("intents-*.log")), "expired segments are removed"


def test_killed_at_any_record_nothing_promised_is_lost(tmp_path: Path) -> None:
    """A process is repeatedly killed during a write. Every record that `append_durably` returned for is recovered."""
    rng, promised = random.Random(2), dict[str, int]()
    for turn in range(12):
        out, into = os.pipe()
        child = os.fork()
        if not child:
            budget = [rng.randrange(50, 1500)]

            def write(file: int, data: bytes, budget: list[int] = budget) -> int:
                if budget[0] <= len(data):
                    os.write(file, data[: budget[0]])
                    os.kill(os.getpid(), 9)
                budget[0] -= len(data)
                return os.write(file, data)

            log = WriteAheadLog(tmp_path, 1e9, time.time, 2000, write)
            log.recover()
            for n in range(1000):
                log.append_durably(f"{turn}-{n}", entry(n))
                os.write(into, f"{turn}-{n} {n}\n".encode())
            os._exit(1)
        os.close(into)
        with os.fdopen(out) as lines:
            promised |= {key: int(n) for key, n in (line.split() for line in lines)}
        assert os.WTERMSIG(os.waitpid(child, 0)[1]) == 9
        rng.random()
    log = WriteAheadLog(tmp_path, 1e9, time.time)
    found = log.recover()
    log.close()
    assert not found.faults and len(promised) > 20
    assert all(found.records[key] == entry(n) for key, n in promised.items())


def test_a_disk_that_fails_promises_nothing(tmp_path: Path) -> None:
    broken = [False]

    def write(file: int, data: bytes) -> int:
        if broken[0]:
            os.write(file, data[:10])
            raise OSError(28, "No space left on device")
        return os.write(file, data)

    log = WriteAheadLog(tmp_path, 1e9, time.time, write=write)
    log.recover()
    log.append_durably("a", entry(1))
    broken[0] = True
    with pytest.raises(WriteAheadLogError, match="No space left"):
        log.append_durably("b", entry(2))
    broken[0] = False
    log.append_durably("c", entry(3))
    log.close()
    again = WriteAheadLog(tmp_path, 1e9, time.time)
    found = again.recover()
    again.close()
    assert set(found.records) == {"a", "c"} and not found.faults


class FailingDisk:
    """Disk calls of a log, some of which fail. `force` blocks while `held` is cleared."""

    def __init__(self) -> None:
        self.write_fails = self.force_fails = 0
        self.held = threading.Event()
        self.held.set()
        self.forced: list[int] = []

    def write(self, file: int, data: bytes) -> int:
        if self.write_fails:
            self.write_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        return os.write(file, data)

    def force(self, file: int) -> None:
        self.held.wait(30.0)
        if self.force_fails:
            self.force_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.forced.append(os.fstat(file).st_ino)
        os.fdatasync(file)


def logged(folder: Path, disk: FailingDisk) -> WriteAheadLog:
    log = WriteAheadLog(folder, 1e9, boot_clock.seconds, write=disk.write, sync=disk.force)
    log.recover()
    return log


def entries_of(folder: Path) -> set[str]:
    log = logged(folder, FailingDisk())
    log.close()
    found: dict[str, IdempotencyRecord] = {}
    for path in folder.glob("intents-*.log"):
        read_segment(path.read_bytes(), found)
    return set(found)


def test_after_a_failed_forcing_its_descriptor_is_used_no_more(tmp_path: Path) -> None:
    """The kernel marks pages that it could not write as clean, so a later sync of the file succeeds without them."""
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    log.append_durably("a", entry(1))
    disk.force_fails = 1
    with pytest.raises(WriteAheadLogError):
        log.append_durably("b", entry(2))
    log.append_durably("c", entry(3))
    log.close()
    assert len(disk.forced) == 2 and disk.forced[0] != disk.forced[1], "the second record is in another file"
    assert {"a", "c"} <= entries_of(tmp_path)


@pytest.mark.parametrize("call", ["folder", "head", "cut"])
def test_a_segment_that_cannot_be_begun_promises_nothing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
) -> None:
    """Guards against use of a new file whose folder was not synced: a crash could lose the file with its records."""
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    log.append_durably("a", entry(1))
    name = "ftruncate" if call == "cut" else "fsync"
    real, failing = getattr(os, name), [call != "head"]

    def fails(*args: Any) -> Any:
        if failing[0]:
            raise OSError(errno.EIO, "Input/output error")
        return real(*args)

    monkeypatch.setattr(os, name, fails)
    disk.force_fails = 1
    with pytest.raises(WriteAheadLogError):
        log.append_durably("b", entry(2))
    if call != "cut":  # the next segment cannot be opened either
        disk.write_fails = call == "head"
        with pytest.raises(WriteAheadLogError):
            log.append_durably("b2", entry(2))
    failing[0] = False
    log.append_durably("c", entry(3))
    log.close()
    assert {"a", "c"} <= entries_of(tmp_path)


def test_a_disk_that_hangs_outlasts_no_client(tmp_path: Path) -> None:
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    disk.held.clear()
    with pytest.raises(WriteAheadLogError, match="in time"):
        log.append_durably("a", entry(1), time.monotonic() + 0.05)
    disk.held.set()
    log.append_durably("b", entry(2), time.monotonic() + 30.0)
    log.close()


def test_what_waits_for_a_disk_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_ahead_log, "MAX_PENDING_RECORDS", 5)
    disk = FailingDisk()
    log = logged(tmp_path, disk)
    disk.held.clear()
    with pytest.raises(WriteAheadLogError, match="wait for the disk"):
        for number in range(50):
            log.append(f"k{number}", entry(number))
    disk.held.set()
    log.close()


def test_a_key_from_before_another_boot_is_out_of_its_window(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """How long ago the key was sent is unknown, so it must not be sent again."""
    now = boot_clock.seconds()
    log = logged(tmp_path, FailingDisk())
    log.append_durably("k", IdempotencyRecord(WriteState.IN_PROGRESS, "d", 1, now, now))
    log.close()
    for boot, expected in ((boot_clock.boot_id(), KeyAction.SEND), ("another", KeyAction.WINDOW_EXPIRED)):
        monkeypatch.setattr(boot_clock, "boot_id", lambda boot=boot: boot)
        records = IdempotencyRecords(LIMITS)
        again = WriteAheadLog(tmp_path, 1e9, boot_clock.seconds)
        found = again.recover().records["k"]
        again.close()
        records.restore("k", found)
        assert records.begin("k", "d", 2, boot_clock.seconds()).action is expected


def test_many_intents_share_a_forcing(tmp_path: Path) -> None:
    forced, gate = [0], threading.Event()

    def force(file: int) -> None:
        forced[0] += 1
        gate.wait(30.0)

    log = WriteAheadLog(tmp_path, 1e9, time.time, sync=force)
    log.recover()
    threads = [threading.Thread(target=log.append_durably, args=(f"k{n}", entry(n))) for n in range(40)]
    for thread in threads:
        thread.start()
    gate.set()
    for thread in threads:
        thread.join()
    log.close()
    assert forced[0] < 40
    assert len(encode_frame(b"x")) == 9
