"""Frames between a co-ordinator and a replica: split, malformed and oversized streams."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_fakes import answer

from gingervane.wire import frames


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(frames.OUTCOMES)), max_size=6), st.data())
def test_frames_decode_the_same_however_the_stream_is_split(
    parts: list[tuple[int, str]],
    data: st.DataObject,
) -> None:
    stream = b"".join(answer(f"a.{n}", expected, n) for n, expected in parts)
    reader = frames.FrameReader()
    replies = []
    at = 0
    while at < len(stream):
        step = data.draw(st.integers(1, len(stream) - at))
        reader.feed(stream[at : at + step])
        at += step
        while (frame := reader.next_frame()) is not None:
            replies.append(frames.decode_reply(frame[1]))
    assert [(reply.id, reply.outcome, reply.score) for reply in replies] == [
        (f"a.{n}", expected, n if expected == "served" else None) for n, expected in parts
    ]
    assert not reader.buffered_bytes


# Guards against memory for answers that are longer than any valid one, on each of hundreds of connections.
@given(st.lists(st.integers(0, 3000), min_size=1, max_size=5), st.integers(1, 700))
def test_of_a_long_payload_its_first_bytes_alone_are_held(sizes: list[int], step: int) -> None:
    payloads = [bytes([number]) * size for number, size in enumerate(sizes)]
    stream = b"".join(frames.encode_frame(b"a", payload) for payload in payloads)
    reader, received = frames.FrameReader(max_payload_bytes=100), []
    for start in range(0, len(stream), step):
        reader.feed(stream[start : start + step])
        while (frame := reader.next_frame()) is not None:
            received.append(frame)
        assert reader.buffered_bytes <= 105
    assert received == [(b"a", payload[:100]) for payload in payloads]


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_frames_or_an_error_and_buffered_within_the_bound(noise: bytes) -> None:
    reader = frames.FrameReader(max_bytes=64)
    reader.feed(noise)
    try:
        while (frame := reader.next_frame()) is not None:
            frames.decode_reply(frame[1])
    except frames.FrameError:
        return
    assert reader.buffered_bytes <= 4 + 64


@pytest.mark.parametrize(
    "malformed",
    [
        b"a.1 served 7\n",
        b"a.1 served 7 -",
        b"a.1 eaten 7 -\n",
        b"a 1 served 7 -\n",
        b"a.1 served x -\n",
        b" served 7 -\n",
        b"a.1 served 123456789012345678901 -\n",
    ],
)
def test_a_malformed_reply_line_is_an_error(malformed: bytes) -> None:
    with pytest.raises(frames.FrameError):
        frames.decode_reply(malformed)


def test_a_claimed_length_of_3_gb_is_rejected_at_once() -> None:
    reader = frames.FrameReader()
    reader.feed(struct.pack("<I", 3 << 30) + b"a")
    with pytest.raises(frames.FrameError, match="length"):
        reader.next_frame()
