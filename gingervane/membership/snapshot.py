"""Snapshot of a co-ordinator's server list, which it restores after a restart.

It holds the reconciled list, the state of the reconciliation with the indexes of its sources, and the start times
that slow start needs. Version 3 is JSON in an `AtomicFile`. Versions 1 and 2, a JSON object with a CRC over its rows,
can be read; the next save replaces them by version 3.
"""

from __future__ import annotations

import json
import time
import zlib
from pathlib import Path
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.coordinator import boot_clock
from gingervane.membership.atomic_file import MAGIC, AtomicFile, Disk, NewerVersionError, StoreError
from gingervane.membership.view import Member

VERSION = 3


class StoredState(NamedTuple):
    """A snapshot as read: the list, its age in seconds, and the states of reconciliation and view if present."""

    members: tuple[Member, ...]
    age: float
    offset: float  # seconds to add to the stored Unix times to get the members' clock
    reconciliation: dict[str, Any] | None = None
    view: dict[str, Any] | None = None


class Snapshot:
    """The snapshot file of one co-ordinator."""

    def __init__(self, path: Path, offset: float, zones: int, cells: int, disk: Disk | None = None) -> None:
        """`offset`: seconds to add to Unix time to get the members' clock. `zones`, `cells`: configured numbers.

        Raises StoreError if another process has the file open, OSError if its directory cannot be used.
        """
        self._file = AtomicFile(path, VERSION, disk)
        self._offset = offset
        self._zones = zones
        self._cells = cells

    def close(self) -> None:
        """Release the file's lock."""
        self._file.close()

    def save(
        self,
        members: tuple[Member, ...],
        reconciliation: dict[str, Any] | None = None,
        view: dict[str, Any] | None = None,
    ) -> None:
        """Write a snapshot. Raises StoreError or OSError; the previous one then stays."""
        body = {
            "at": time.time(),
            "boot": list(boot_clock.moment()),
            "offset": self._offset,
            "rows": _rows(members, self._offset),
            "merge": reconciliation,
            "view": view,
        }
        self._file.save(json.dumps(body, separators=(",", ":")).encode())

    def load(self) -> StoredState | None:
        """Read the snapshot; None if there is none. Raises StoreError or OSError."""
        path = self._file.path
        try:
            loaded = self._file.load()
            if loaded is None:
                return None
            body = json.loads(loaded[1])
        except NewerVersionError:
            raise
        except StoreError:
            body = _load_legacy(path)
            if body is None:
                raise
        except ValueError as error:
            raise StoreError(f"{path}: not valid JSON: {error}") from None
        return self._read(path, body)

    def _read(self, path: Path, body: Any) -> StoredState:
        try:
            age, offset = self._age(body)
            members = tuple(
                Member(
                    number,
                    name,
                    (host, port),
                    zone,
                    cell,
                    api.ReplicaState(state),
                    None if started is None else started + offset,
                    *created,
                )
                for number, name, host, port, zone, cell, state, started, *created in body["rows"]
            )
            stored = StoredState(members, age, offset, body.get("merge"), body.get("view"))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise StoreError(f"{path}: malformed content: {error}") from None
        if not members or any(
            not 0 <= m.zone < self._zones or not 0 <= m.cell < self._cells for m in members
        ):
            raise StoreError(f"{path}: empty, or written with other settings of zones or cells")
        return stored

    def _age(self, body: Any) -> tuple[float, float]:
        """Return the age of a stored list in seconds, and the offset of its times.

        Both are exact if the list was stored since the last boot, even if the wall clock was stepped. Otherwise they
        come from the wall clock. Raises ValueError, TypeError or KeyError if the body is malformed.
        """
        at = float(body["at"])
        boot, seconds = body.get("boot", ("", 0.0))
        age = boot_clock.since(boot_clock.Moment(str(boot), float(seconds)))
        if age is None:
            return max(time.time() - at, 0.0), self._offset
        return age, float(body["offset"])


def _rows(members: tuple[Member, ...], offset: float) -> list[list[Any]]:
    return [
        [
            m.id,
            m.name,
            m.address[0],
            m.address[1],
            m.zone,
            m.cell,
            m.state.value,
            None if m.started_at is None else m.started_at - offset,
            m.create_index,
        ]
        for m in members
    ]


def _load_legacy(path: Path) -> dict[str, Any] | None:
    """Read a file of version 1 or 2; None if it has neither form. Raises StoreError if it cannot be used."""
    data = path.read_bytes()
    if data.startswith(MAGIC):
        return None
    try:
        body = json.loads(data)
        version, rows, crc = body["version"], body["rows"], body["crc"]
    except (ValueError, KeyError, TypeError):
        return None
    if version not in (1, 2):
        raise StoreError(f"{path}: version {version!r}, this program reads versions 1 to {VERSION}")
    stored = rows if version == 1 else [rows, body.get("merge")]
    if zlib.crc32(json.dumps(stored, separators=(",", ":")).encode()) != crc:
        raise StoreError(f"{path}: checksum mismatch in the rows")
    assert isinstance(body, dict)
    return body
