"""Server lists from a TOML file, which is read again when it changes.

    [[node]]
    id = 1                      # whole number, the same for every co-ordinator; orders the replicas of a shard
    name = "grid1"
    address = "127.0.0.1:9001"
    zone = "hall-a"
    cell = 0                    # holds cells cell, cell-1, ..., cell-width+1 of the ring
    state = "ready"             # ready, draining or gone; ready if left out
    started = 1764600000.0      # Unix time of its start; unknown if left out

Co-ordinators that take subtrees of wide queries are listed as [[coordinator]], with the same keys.

If the file cannot be read or is invalid, its faults are logged with their places, and the last valid list stays.
The watcher's thread owns all state in here and only passes lists on.
"""

from __future__ import annotations

import threading
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.membership.view import Member

_KEYS = {"id", "name", "address", "zone", "cell", "state", "started"}
_TABLES = ("node", "coordinator")


class EndpointFileError(ValueError):
    """An invalid list; the message has a line for each fault."""


class EndpointLists(NamedTuple):
    """The lists of one file. The `cell` of a co-ordinator is its position on the co-ordinators' own ring."""

    nodes: tuple[Member, ...]
    coordinators: tuple[Member, ...]


def parse(text: str, zones: tuple[str, ...], cells: int, offset: float, ring: int = 1) -> EndpointLists:
    """Parse the text of a list file. Raises EndpointFileError with every fault.

    `offset`: seconds to add to Unix time to get the members' clock. `ring`: positions on the co-ordinators' ring.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise EndpointFileError(str(error)) from None
    faults = [
        f"{key}: not a known table ([[node]] and [[coordinator]] are)" for key in table if key not in _TABLES
    ]
    nodes = _parse_members(table.get("node", []), "node", zones, cells, offset, faults)
    coordinators = _parse_members(table.get("coordinator", []), "coordinator", zones, ring, offset, faults)
    if not nodes and not faults:
        # A file that is being rewritten may be read while it is empty: that must not remove every server.
        faults.append("node: the list is empty")
    if faults:
        raise EndpointFileError("\n".join(faults))
    return EndpointLists(nodes, coordinators)


def _parse_members(
    rows: Any,
    table: str,
    zones: tuple[str, ...],
    cells: int,
    offset: float,
    faults: list[str],
) -> tuple[Member, ...]:
    members: list[Member] = []
    places: list[int] = []  # index of each member's row
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        faults.append(f"{table}: must be an array of tables, [[{table}]]")
        return ()
    for index, row in enumerate(rows):
        location = f"{table}[{index}]"
        parsed = _parse_member(row, location, zones, cells, offset)
        faults += parsed if isinstance(parsed, list) else []
        if isinstance(parsed, Member):
            members.append(parsed)
            places.append(index)
    faults += _duplicates(members, places, table)
    return tuple(members)


def _duplicates(members: list[Member], places: list[int], table: str) -> list[str]:
    """Return a message for each ID or name that an earlier member has."""
    faults: list[str] = []
    for field in ("id", "name"):
        seen: dict[Any, int] = {}
        for index, member in zip(places, members, strict=True):
            value = getattr(member, field)
            if seen.setdefault(value, index) != index:
                faults.append(f"{table}[{index}].{field}: {value!r} is a duplicate")
    return faults


def _parse_member(
    row: dict[str, Any], location: str, zones: tuple[str, ...], cells: int, offset: float
) -> Member | list[str]:
    faults = [f"{location}.{key}: not a known key" for key in row if key not in _KEYS]

    def check(key: str, is_valid: bool, description: str) -> None:
        if not is_valid:
            faults.append(f"{location}.{key}: {description}")

    member_id = row.get("id")
    cell = row.get("cell")
    started = row.get("started")
    name = row.get("name", str(member_id))
    zone = row.get("zone")
    state = row.get("state", "ready")
    check("id", type(member_id) is int and 0 <= member_id < 1 << 63, "must be a whole number from 0")
    check("cell", type(cell) is int and 0 <= cell < cells, f"must be a whole number from 0 to {cells - 1}")
    check("name", isinstance(name, str) and bool(name), "must be a string")
    check("zone", zone in zones, f"must be one of {', '.join(zones)}")
    check("state", state in ("ready", "draining", "gone"), "must be ready, draining or gone")
    check("started", started is None or isinstance(started, int | float), "must be a Unix time")
    host, _, port = str(row.get("address", "")).rpartition(":")
    has_port = bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536
    check("address", has_port, "must be HOST:PORT")
    if faults:
        return faults
    return Member(
        row["id"],
        name,
        (host.strip("[]"), int(port)),
        zones.index(row["zone"]),
        row["cell"],
        api.ReplicaState(state),
        None if started is None else started + offset,
    )


class FileWatcher:
    """Reads the list file at start, and again whenever its time of change, size or inode differs."""

    def __init__(
        self,
        path: Path,
        zones: tuple[str, ...],
        cells: int,
        ring: int,
        interval: float,
        offset: float,
        report: Callable[[EndpointLists], None],
        log_warning: Callable[[str], None],
    ) -> None:
        """`report` is called with each valid list: the first time by `start`, then on the watcher's thread.

        `interval`: seconds between two checks of the file. For `ring` and `offset` see `parse`.
        """
        self._path = path
        self._zones = zones
        self._cells = cells
        self._ring = ring
        self._interval = interval
        self._offset = offset
        self._report = report
        self._log_warning = log_warning
        self._last_stat = (0, 0, 0)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="membership", daemon=True)
        self.error = ""

    def start(self) -> None:
        """Read and report the list, then start the watcher's thread.

        `error` is empty if the file could be used, else it describes the fault.
        """
        self._poll()
        self._thread.start()

    def stop(self) -> None:
        """Request the end of the watcher's thread."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(self._interval):
            self._poll()

    def _poll(self) -> None:
        try:
            stat = self._path.stat()
            fingerprint = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if fingerprint == self._last_stat:
                return
            lists = parse(self._path.read_text(), self._zones, self._cells, self._offset, self._ring)
        except (EndpointFileError, OSError, UnicodeDecodeError) as error:
            description = error.strerror or str(error) if isinstance(error, OSError) else str(error)
            if description != self.error:
                self.error = description
                self._log_warning(f"{self._path}: {description}; the last valid list stays in use")
            return
        self._last_stat = fingerprint
        self.error = ""
        self._report(lists)
