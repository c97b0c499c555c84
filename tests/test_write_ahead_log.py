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


def make_record(number: int, state: WriteState = WriteState.IN_PROGRESS) -> IdempotencyRecord:
    return IdempotencyRecord(state, f"digest {number}", number, float(number), float(number), {"r": number})


def test_a_truncated_or_corrupt_log_is_read_up_to_the_first_fault() -> None:
    records = [encode_record(f"k{n}", make_record(n)) for n in range(4)]
    data, ends = b"".join(records), [sum(map(len, records[: n + 1])) for n in range(4)]
    for cut in range(len(data) + 1):
        recovered: dict[str, IdempotencyRecord] = {}
        count, valid_bytes, fault = read_segment(data[:cut], recovered)
        complete_count = sum(end <= cut for end in ends)
        assert (
            count == complete_count
            and valid_bytes == ([0, *ends][complete_count])
            and bool(fault) == (valid_bytes != cut)
        )
        assert recovered == {f"k{n}": make_record(n) for n in range(complete_count)}
    for flipped_byte in range(0, len(data), 7):  # a flipped bit is never read as another record
        corrupted = bytearray(data)
        corrupted[flipped_byte] ^= 4
        recovered = {}
        count, valid_bytes, fault = read_segment(bytes(corrupted), recovered)
        assert (
            fault
            and all(recovered[key] == make_record(int(key[1:])) for key in recovered)
            and valid_bytes <= flipped_byte
        )


def test_recovery_reads_all_segments_and_truncates_a_torn_tail(tmp_path: Path) -> None:
    clock = [1000.0]
    log = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert log.recover().record_count == 0
    for n in range(12):
        log.append_durably(f"k{n}", make_record(n))
    log.append("k3", make_record(3, WriteState.COMPLETED))
    log.close()
    with pytest.raises(WriteAheadLogError):
        log.append_durably("late", make_record(1))
    paths = sorted(tmp_path.glob("intents-*.log"))
    assert len(paths) > 3, "the log has several segments"
    with paths[-1].open("ab") as file:
        file.write(encode_record("torn", make_record(99))[:-5])
    corrupted = bytearray(paths[1].read_bytes())
    corrupted[-3] ^= 1
    paths[1].write_bytes(bytes(corrupted))
    second = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    recovered = second.recover()
    assert "torn" not in recovered.records and recovered.records["k3"].state is WriteState.COMPLETED
    assert (
        len(recovered.faults) == 1
        and str(paths[1]) in recovered.faults[0]
        and "checksum" in recovered.faults[0]
    )
    second.close()
    third = WriteAheadLog(tmp_path, 50.0, lambda: clock[0], segment_bytes=200)
    assert len(third.recover().faults) == 1, "the torn tail was truncated by the earlier recovery"
    clock[0] += 60.0
    for n in range(12):
        third.append_durably(f"n{n}", make_record(n))
    third.close()
    assert not set(paths) & set(tmp_path.glob("intents-*.log")), "expired segments are removed"


def test_records_confirmed_before_a_kill_are_recovered(tmp_path: Path) -> None:
    """A process is repeatedly killed during a write: records confirmed by `append_durably` are recovered."""
    rng, confirmed = random.Random(2), dict[str, int]()
    for turn in range(12):
        read_end, write_end = os.pipe()
        child = os.fork()
        if not child:
            remaining_bytes = [rng.randrange(50, 1500)]

            def write(file: int, data: bytes, remaining_bytes: list[int] = remaining_bytes) -> int:
                if remaining_bytes[0] <= len(data):
                    os.write(file, data[: remaining_bytes[0]])
                    os.kill(os.getpid(), 9)
                remaining_bytes[0] -= len(data)
                return os.write(file, data)

            log = WriteAheadLog(tmp_path, 1e9, time.time, 2000, write)
            log.recover()
            for n in range(1000):
                log.append_durably(f"{turn}-{n}", make_record(n))
                os.write(write_end, f"{turn}-{n} {n}\n".encode())
            os._exit(1)
        os.close(write_end)
        with os.fdopen(read_end) as lines:
            confirmed |= {key: int(n) for key, n in (line.split() for line in lines)}
        assert os.WTERMSIG(os.waitpid(child, 0)[1]) == 9
        rng.random()
    log = WriteAheadLog(tmp_path, 1e9, time.time)
    recovered = log.recover()
    log.close()
    assert not recovered.faults and len(confirmed) > 20
    assert all(recovered.records[key] == make_record(n) for key, n in confirmed.items())


def test_a_failed_write_is_not_confirmed(tmp_path: Path) -> None:
    failing = [False]

    def write(file: int, data: bytes) -> int:
        if failing[0]:
            os.write(file, data[:10])
            raise OSError(28, "No space left on device")
        return os.write(file, data)

    log = WriteAheadLog(tmp_path, 1e9, time.time, write=write)
    log.recover()
    log.append_durably("a", make_record(1))
    failing[0] = True
    with pytest.raises(WriteAheadLogError, match="No space left"):
        log.append_durably("b", make_record(2))
    failing[0] = False
    log.append_durably("c", make_record(3))
    log.close()
    recovered_log = WriteAheadLog(tmp_path, 1e9, time.time)
    recovered = recovered_log.recover()
    recovered_log.close()
    assert set(recovered.records) == {"a", "c"} and not recovered.faults


class FailingDisk:
    """Disk calls of a log, some of which fail. `sync_file` blocks while `unblocked` is cleared."""

    def __init__(self) -> None:
        self.failing_writes = self.failing_syncs = 0
        self.unblocked = threading.Event()
        self.unblocked.set()
        self.synced_inodes: list[int] = []

    def write(self, file: int, data: bytes) -> int:
        if self.failing_writes:
            self.failing_writes -= 1
            raise OSError(errno.EIO, "Input/output error")
        return os.write(file, data)

    def sync_file(self, file: int) -> None:
        self.unblocked.wait(30.0)
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.synced_inodes.append(os.fstat(file).st_ino)
        os.fdatasync(file)


def open_log(folder: Path, disk: FailingDisk) -> WriteAheadLog:
    log = WriteAheadLog(folder, 1e9, boot_clock.seconds, write=disk.write, sync=disk.sync_file)
    log.recover()
    return log


def stored_keys(folder: Path) -> set[str]:
    log = open_log(folder, FailingDisk())
    log.close()
    records: dict[str, IdempotencyRecord] = {}
    for path in folder.glob("intents-*.log"):
        read_segment(path.read_bytes(), records)
    return set(records)


def test_a_segment_is_not_written_again_after_a_failed_sync(tmp_path: Path) -> None:
    """The kernel marks pages that it failed to write as clean, so a later sync succeeds without them."""
    disk = FailingDisk()
    log = open_log(tmp_path, disk)
    log.append_durably("a", make_record(1))
    disk.failing_syncs = 1
    with pytest.raises(WriteAheadLogError):
        log.append_durably("b", make_record(2))
    log.append_durably("c", make_record(3))
    log.close()
    assert (
        len(disk.synced_inodes) == 2 and disk.synced_inodes[0] != disk.synced_inodes[1]
    ), "the second record is in another file"
    assert {"a", "c"} <= stored_keys(tmp_path)


@pytest.mark.parametrize("call", ["folder", "head", "cut"])
def test_no_record_is_confirmed_in_a_segment_that_cannot_be_opened(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
) -> None:
    """Guards against use of a new file whose folder was not synced: a crash could lose the file."""
    disk = FailingDisk()
    log = open_log(tmp_path, disk)
    log.append_durably("a", make_record(1))
    name = "ftruncate" if call == "cut" else "fsync"
    real_call, failing = getattr(os, name), [call != "head"]

    def failing_call(*args: Any) -> Any:
        if failing[0]:
            raise OSError(errno.EIO, "Input/output error")
        return real_call(*args)

    monkeypatch.setattr(os, name, failing_call)
    disk.failing_syncs = 1
    with pytest.raises(WriteAheadLogError):
        log.append_durably("b", make_record(2))
    if call != "cut":  # the next segment cannot be opened either
        disk.failing_writes = call == "head"
        with pytest.raises(WriteAheadLogError):
            log.append_durably("b2", make_record(2))
    failing[0] = False
    log.append_durably("c", make_record(3))
    log.close()
    assert {"a", "c"} <= stored_keys(tmp_path)


def test_a_disk_that_does_not_answer_blocks_only_until_the_deadline(tmp_path: Path) -> None:
    disk = FailingDisk()
    log = open_log(tmp_path, disk)
    disk.unblocked.clear()
    with pytest.raises(WriteAheadLogError, match="in time"):
        log.append_durably("a", make_record(1), time.monotonic() + 0.05)
    disk.unblocked.set()
    log.append_durably("b", make_record(2), time.monotonic() + 30.0)
    log.close()


def test_pending_records_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_ahead_log, "MAX_PENDING_RECORDS", 5)
    disk = FailingDisk()
    log = open_log(tmp_path, disk)
    disk.unblocked.clear()
    with pytest.raises(WriteAheadLogError, match="wait for the disk"):
        for number in range(50):
            log.append(f"k{number}", make_record(number))
    disk.unblocked.set()
    log.close()


def test_a_key_of_another_boot_is_outside_its_window(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """How long ago the key was sent is unknown, so it must not be sent again."""
    now = boot_clock.seconds()
    log = open_log(tmp_path, FailingDisk())
    log.append_durably("k", IdempotencyRecord(WriteState.IN_PROGRESS, "d", 1, now, now))
    log.close()
    for boot, expected in ((boot_clock.boot_id(), KeyAction.SEND), ("another", KeyAction.WINDOW_EXPIRED)):
        monkeypatch.setattr(boot_clock, "boot_id", lambda boot=boot: boot)
        records = IdempotencyRecords(LIMITS)
        recovered_log = WriteAheadLog(tmp_path, 1e9, boot_clock.seconds)
        recovered = recovered_log.recover().records["k"]
        recovered_log.close()
        records.restore("k", recovered)
        assert records.begin("k", "d", 2, boot_clock.seconds()).action is expected


def test_concurrent_records_share_a_sync(tmp_path: Path) -> None:
    sync_count, unblocked = [0], threading.Event()

    def count_sync(file: int) -> None:
        sync_count[0] += 1
        unblocked.wait(30.0)

    log = WriteAheadLog(tmp_path, 1e9, time.time, sync=count_sync)
    log.recover()
    threads = [threading.Thread(target=log.append_durably, args=(f"k{n}", make_record(n))) for n in range(40)]
    for thread in threads:
        thread.start()
    unblocked.set()
    for thread in threads:
        thread.join()
    log.close()
    assert sync_count[0] < 40
    assert len(encode_frame(b"x")) == 9
