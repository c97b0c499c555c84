"""JSON streams in any layout and chunking, endpoint lists from discovery, and changes of its address."""

from __future__ import annotations

import json
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_fakes import Discovery, MembershipRecorder, RecordedLog

from gingervane.coordinator import types as t
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.node import discovery_call
from gingervane.node.config import parse_address
from gingervane.node.discovery import DiscoveryWatch
from gingervane.node.endpoint_list import EndpointListReader
from gingervane.wire.json_values import JsonSplitter, JsonValue, ValueTooLongError

_SYN_SENT = b"\2"  # the first byte of Linux's struct tcp_info

Json = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=8)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)
Values = st.lists(st.dictionaries(st.text(max_size=4), Json, max_size=4), max_size=4)


def entry(number: int, version: int = 1) -> dict[str, Any]:
    return {
        "host": f"s-{number:04}",
        "dial": "10.1.0.1:8000",
        "site": "a",
        "class": "m",
        "block": number,
        "health": "SERVING",
        "share": 1.0,
        "born_ms": version,
    }


def full_list(count: int, version: int) -> dict[str, Any]:
    return {"seq": version, "whole": True, "hosts": [entry(i, version) for i in range(count)]}


class WatchedDiscovery:
    """A watch of discovery at `address`, with the updates that it reports and its log."""

    def __init__(self, address: str) -> None:
        self.updates, self.log = MembershipRecorder(), RecordedLog()
        reader = EndpointListReader(("a",), ReplicaStartTimes(), self.log)
        self.watch = DiscoveryWatch(parse_address(address, "discovery"), reader, self.updates, self.log)
        self.updates.request_watch = self.watch.request_watch
        self.watch.start()
        self.watch.request_watch()

    def change_address(self, address: str) -> None:
        self.watch.change_address(parse_address(address, "discovery"))


def is_list(update: object) -> bool:
    """Whether a report is a list: a call that is moved before it follows is reported as interrupted too."""
    return isinstance(update, EndpointsUpdated)


def split_at(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


@given(Values, st.sampled_from([None, 0, 2]), st.lists(st.integers(0, 40), max_size=8), st.booleans())
def test_values_are_split_the_same_in_any_layout_and_chunking(
    values: list[Any],
    indent: int | None,
    sizes: list[int],
    adjacent: bool,
) -> None:
    data = (b"" if adjacent else b"\n\n").join(json.dumps(value, indent=indent).encode() for value in values)
    reader = JsonSplitter(1 << 20)
    split_values = [split_value for piece in split_at(data, sizes) for split_value in reader.feed(piece)]
    assert [json.loads(split_value.data) for split_value in split_values] == values and all(
        split_value.well_formed for split_value in split_values
    )


@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_split_at_every_byte(indent: int | None) -> None:
    data = f"{json.dumps(full_list(2, 4), indent=indent)}\n\n{json.dumps(full_list(1, 5))}\n".encode()
    for at in range(len(data) + 1):
        reader = JsonSplitter(1 << 20)
        split_values = [split_value for piece in (data[:at], data[at:]) for split_value in reader.feed(piece)]
        assert [json.loads(split_value.data) for split_value in split_values] == [
            full_list(2, 4),
            full_list(1, 5),
        ]


@pytest.mark.parametrize(
    "malformed",
    [
        b'{"seq":4,"whole":tr\n',
        b'{"seq":4,"hosts":[{"host":"s-1\n',
        b"noise\n",
        b'}]"\n',
        b'{"seq":4,\n\n',
        b'{"a":"\\\n',
        b"{" * 50 + b"\n\n",
    ],
)
def test_values_after_a_malformed_one_are_found(malformed: bytes) -> None:
    good = json.dumps(full_list(2, 5), indent=1).encode()
    reader = JsonSplitter(1 << 20)
    split_values = [split_value for byte in malformed + good for split_value in reader.feed(bytes([byte]))]
    assert (
        split_values[-1] == JsonValue(good, True)
        and not any(split_value.well_formed for split_value in split_values[:-1])
        and len(split_values) > 1
    )


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_bounded(noise: bytes) -> None:
    reader = JsonSplitter(100)
    try:
        for byte in noise:
            list(reader.feed(bytes([byte])))
            assert len(reader._buffer) <= 100
    except ValueTooLongError:
        assert len(reader._buffer) == 101


def test_an_indented_list_of_1024_replicas_fits_the_bound() -> None:
    """Discovery may indent its lists. Guards against a reader of lines, which skipped every indented list."""
    service = Discovery([])
    watched = WatchedDiscovery(service.address)
    watched.updates.wait()
    data = json.dumps(full_list(1024, 7), indent=4).encode() + b"\n"
    for start in range(0, len(data), 3001):
        service.push(data[start : start + 3001])
    update: t.EndpointsUpdated = watched.updates.wait(2)[1]
    assert len(update.membership.replicas) == len(update.addresses) == 1024
    assert not watched.log.named("endpoint_list_invalid")
    watched.watch.stop()
    service.close()


def test_a_sequence_number_that_restarts_is_accepted() -> None:
    """Sequence numbers at a new address may be smaller. Guards against dropping all further changes."""
    first, other = Discovery([entry(1)]), Discovery([entry(2)])
    first.version, other.version = 41, 3
    watched = WatchedDiscovery(first.address)
    watched.updates.wait(1, is_list)
    watched.change_address(other.address)
    assert other.watches.wait()[0].endswith("since=0")
    watched.updates.wait(2, is_list)
    other.change(entry(3))
    assert [u.membership.replicas[0].cell for u in watched.updates.wait(3, is_list)] == [1, 2, 3]
    watched.watch.stop()
    first.close()
    other.close()


def test_an_address_change_does_not_wait_for_a_silent_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """A change must apply within 4 s of SIGHUP. Guards against 3 s spent connecting to the old address."""
    monkeypatch.setattr(discovery_call, "_INTERRUPTION_POLL", 3600.0)
    full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    connections = list[socket.socket]()
    for _ in range(8):  # fills the accept queue, so that further connections are not answered
        connections.append(socket.socket())
        connections[-1].setblocking(False)
        connections[-1].connect_ex(full_listener.getsockname())
    other = Discovery([entry(2)])
    watched = WatchedDiscovery(f"127.0.0.1:{full_listener.getsockname()[1]}")
    watch = watched.watch
    for _ in range(2000):  # waits until the watch is connecting
        with watch._change:
            sock = watch._calls[0]._sock if watch._calls else None
            if sock and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) == _SYN_SENT:
                break
            watch._change.wait(0.01)
    watched.change_address(other.address)
    assert watched.updates.wait()[0].membership.replicas[0].cell == 2
    watch.stop()
    for sock in (*connections, full_listener):
        sock.close()
    other.close()
