"""What a co-ordinator knows of its servers, saved across its restarts.

That is the reconciled list, the state of the reconciliation with the indexes of its sources, and what slow start
needs. Version 3 is JSON in an `AtomicFile`. Versions 1 and 2, a JSON object with a CRC over its rows, are read
and replaced by the next writing.
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
    """What was read back: the list, its age in seconds, and the states of reconciliation and view if present."""

    members: tuple[Member, ...]
    age: float
    offset: float  # turns the stored Unix times into the members' clock
    reconciliation: dict[str, Any] | None = None
    view: dict[str, Any] | None = None


class Snapshot:
    """The snapshot file of one co-ordinator. `offset` turns Unix time into the members' clock."""

    def __init__(self, path: Path, offset: float, zones: int, cells: int, disk: Disk | None = None) -> None:
        """Raises StoreError if another process has it open, OSError if its folder cannot be used."""
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
        """Write a snapshot. Raises StoreError, or OSError; the one before then stands."""
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
        """Read the snapshot; None if none was ever written. Raises StoreError, or OSError."""
        path = self._file.path
        try:
            found = self._file.load()
            if found is None:
                return None
            body = json.loads(found[1])
        except NewerVersionError:
            raise
        except StoreError:
            body = _load_legacy(path)
            if body is None:
                raise
        except ValueError as error:
            raise StoreError(f"{path}: no JSON: {error}") from None
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
            kept = StoredState(members, age, offset, body.get("merge"), body.get("view"))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise StoreError(f"{path}: a row does not make sense: {error}") from None
        if not members or any(
            not 0 <= m.zone < self._zones or not 0 <= m.cell < self._cells for m in members
        ):
            raise StoreError(f"{path}: kept under other settings of zones or cells")
        return kept

    def _age(self, body: Any) -> tuple[float, float]:
        """Return the age of a stored list, and the offset of its times.

        Of the same boot both are exact, whatever the wall clock did since. Else the wall clock is all there is.
        Raises ValueError, TypeError or KeyError for a body that makes no sense.
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
    """Read a file of version 1 or 2; None if it is neither. Raises StoreError if it is one and broken."""
    data = path.read_bytes()
    if data.startswith(MAGIC):
        return None
    try:
        body = json.loads(data)
        version, rows, crc = body["version"], body["rows"], body["crc"]
    except (ValueError, KeyError, TypeError):
        return None
    if version not in (1, 2):
        raise StoreError(f"{path}: version {version!r}, this program reads 1 to {VERSION}")
    kept = rows if version == 1 else [rows, body.get("merge")]
    if zlib.crc32(json.dumps(kept, separators=(",", ":")).encode()) != crc:
        raise StoreError(f"{path}: its rows do not fit their checksum")
    assert isinstance(body, dict)
    return body
