"""Encodes the state of a reconciliation as JSON-compatible data for the snapshot, and decodes it. Free of I/O.

Times are stored as ages in seconds, as the monotonic clock does not outlive a boot. Keys and the order of fields are
part of the stored format.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from math import inf
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.membership.server_record import ServerEntry, ServerRecord
from gingervane.membership.source_ordering import SourceState
from gingervane.membership.view import Member


class RestoredState(NamedTuple):
    """The decoded state: valid-from time and index of each source's newest report, and the servers by ID."""

    latest_valid_from: dict[str, float]
    source_index: dict[str, int]
    servers: dict[int, ServerRecord]


def encode(
    sources: Mapping[str, SourceState], servers: Mapping[int, ServerRecord], now: float
) -> dict[str, Any]:
    """Return the state as JSON-compatible data."""
    rows = {str(server_id): _encode_server(server, now) for server_id, server in servers.items()}
    return {
        "now": now,
        "last": {name: _age(now, source.latest_valid_from) for name, source in sources.items()},
        "index": {name: source.index for name, source in sources.items()},
        "servers": rows,
    }


def decode(stored: dict[str, Any], sources: Container[str], stored_at: float) -> RestoredState:
    """Decode what `encode` returned at `stored_at` on this process's clock. Raises ValueError if it is malformed.

    Entries of sources that are not in `sources` are dropped, and so are servers without any other entry.
    """
    try:
        clock_shift = stored_at - float(stored["now"]) if "now" in stored else 0.0
        latest_valid_from = {
            name: -inf if age is None else stored_at - age
            for name, age in stored["last"].items()
            if name in sources
        }
        source_index = {
            name: int(index) for name, index in stored.get("index", {}).items() if name in sources
        }
        servers = {
            int(server_id): _decode_server(row, sources, stored_at, clock_shift)
            for server_id, row in stored["servers"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise ValueError(f"malformed reconciliation state: {error!r}") from None
    servers_with_entries = {server_id: server for server_id, server in servers.items() if server.entries}
    return RestoredState(latest_valid_from, source_index, servers_with_entries)


def _encode_server(server: ServerRecord, now: float) -> dict[str, Any]:
    return {
        "entries": {source: _encode_entry(entry, now) for source, entry in server.entries.items()},
        "away": server.unavailable,
        "ready_in": server.ready_from - now,
        "returns": [now - at for at in server.recovery_times],
    }


def _encode_entry(entry: ServerEntry, now: float) -> list[Any]:
    return [
        *entry.member[:5],
        entry.member.state.value,
        entry.member.started_at,
        now - entry.valid_from,
        _age(now, entry.missing_since),
        entry.retained,
        entry.member.create_index,
        None if entry.recreated_at is None else now - entry.recreated_at,
    ]


def _decode_server(
    row: dict[str, Any], sources: Container[str], stored_at: float, clock_shift: float
) -> ServerRecord:
    server = ServerRecord(unavailable=bool(row["away"]), ready_from=stored_at + row["ready_in"])
    server.recovery_times = [stored_at - age for age in row["returns"]]
    for source, fields in row["entries"].items():
        entry = _decode_entry(fields, stored_at, clock_shift, source in sources)
        if entry is not None:
            server.entries[source] = entry
    return server


def _decode_entry(
    fields: list[Any], stored_at: float, clock_shift: float, is_configured: bool
) -> ServerEntry | None:
    """Decode an entry; None for a well-formed one whose source is no longer configured."""
    server_id, name, address, zone, cell, state, started, age, missing_for, retained, *optional_fields = (
        fields
    )
    create_index, recreated_for = optional_fields or (0, None)  # older versions do not store these
    if not is_configured:
        return None
    member = Member(
        server_id,
        name,
        (address[0], address[1]),
        zone,
        cell,
        api.ReplicaState(state),
        None if started is None else started + clock_shift,
        create_index,
    )
    return ServerEntry(
        member,
        valid_from=stored_at - age,
        missing_since=inf if missing_for is None else stored_at - missing_for,
        retained=bool(retained),
        recreated_at=None if recreated_for is None else stored_at - recreated_for,
    )


def _age(now: float, at: float) -> float | None:
    return None if at in (inf, -inf) else now - at
