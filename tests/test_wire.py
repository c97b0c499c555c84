"""HTTP/1.1 and remote read messages: strict, bounded, and independent of the split of the stream."""

from __future__ import annotations

import contextlib
import re

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gingervane.fronts.shard_matching import ShardIndex
from gingervane.merge import series as merging
from gingervane.wire import protobuf as pb
from gingervane.wire import remote_read, snappy
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Reader
from gingervane.wire.remote_read import Match, Matcher, Query, ReadRequest, Series

LIMITS = Limits(head=400, body=1000)
START = b"POST /api/v1/read HTTP/1.1\r\nHost: x\r\n"


def reader(data: bytes, step: int = 1 << 16) -> Reader:
    pieces = iter([data[i : i + step] for i in range(0, len(data), step)])
    return Reader(lambda max_bytes: next(pieces, b""), LIMITS)


def read(data: bytes, step: int = 1 << 16) -> list[tuple[str, bytes]]:
    source = reader(data, step)
    out = []
    try:
        while True:
            request = source.request()
            out.append((request.target, source.body(request.headers)))
    except ConnectionClosedError as closed:
        if not closed.clean:
            raise
    return out


REJECTED = {
    "two lengths": (START + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, "Content-Length"),
    "length list": (START + b"Content-Length: 3, 3\r\n\r\nabc", 400, "Content-Length"),
    "signed length": (START + b"Content-Length: +3\r\n\r\nabc", 400, "Content-Length"),
    "both": (START + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "beside"),
    "other coding": (START + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501, "Transfer-Encoding"),
    "hidden coding": (START + b"Transfer-Encoding: \x0bchunked\r\n\r\n", 400, "control"),
    "bare LF": (START + b"A: b\n\r\n", 400, "header 2"),
    "bare CR": (START + b"A: b\rc\r\n\r\n", 400, "header 2"),
    "folded": (START + b"A: b\r\n c\r\n\r\n", 400, "header 3"),
    "space before colon": (START + b"Content-Length : 3\r\n\r\nabc", 400, "header 2"),
    "no colon": (START + b"nonsense\r\n\r\n", 400, "header 2"),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400, "Host"),
    "two hosts": (START + b"Host: y\r\n\r\n", 400, "Host"),
    "words": (b"GET  / HTTP/1.1\r\nHost: x\r\n\r\n", 400, "request line"),
    "version": (b"GET / HTTP/2.0\r\nHost: x\r\n\r\n", 505, "request line"),
    "no version": (b"GET /\r\n\r\n", 400, "request line"),
    "long line": (b"GET /" + b"a" * 500 + b" HTTP/1.1\r\n", 431, "request line"),
    "long head": (START + b"A: " + b"a" * 380 + b"\r\nB: " + b"b" * 300 + b"\r\n\r\n", 431, "header"),
    "large body": (START + b"Content-Length: 1001\r\n\r\n", 413, "1001"),
    "chunk size": (START + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400, "chunk 1"),
    "chunk end": (START + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400, "chunk 1"),
    "large chunks": (
        START + b"Transfer-Encoding: chunked\r\n\r\n" + b"190\r\n" + b"a" * 400 + b"\r\n" + b"300\r\n",
        413,
        "chunk 2",
    ),
}


@pytest.mark.parametrize("name", REJECTED)
@pytest.mark.parametrize("step", [1, 1 << 16])
def test_ambiguous_and_oversized_requests_are_rejected(name: str, step: int) -> None:
    data, status, where = REJECTED[name]
    with pytest.raises(HttpError) as caught:
        read(data, step)
    assert caught.value.status == status and where in caught.value.detail


CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
EXTENDED_CHUNK = b"1;" + b"e" * 1000 + b"\r\na\r\n"
COSTLY = {
    "many fields": (START + b"a:\r\n" * 99 + b"\r\n", 431, "header 101"),
    "many fields without end": (START + b"a:\r\n" * 110, 431, "header 101"),
    "many empty lines": (b"\r\n" * 102 + START + b"\r\n", 431, "request line"),
    "many trailers": (CHUNKED + b"0\r\n" + b"a:\r\n" * 101 + b"\r\n", 431, "trailer"),
    "many chunks": (CHUNKED + b"1\r\na\r\n" * 1025 + b"0\r\n\r\n", 400, "chunks of under 64"),
    "many extensions": (CHUNKED + EXTENDED_CHUNK * 17 + b"0\r\n\r\n", 400, "extensions"),
}
FREQUENT = {
    "fields": START + b"a:\r\n" * 98 + b"\r\n",
    "empty lines": b"\r\n" * 98 + START + b"\r\n",
    "trailers": CHUNKED + b"0\r\n" + b"a:\r\n" * 100 + b"\r\n",
    "small chunks": CHUNKED + b"1\r\na\r\n" * 1024 + b"0\r\n\r\n",
    "large chunks": CHUNKED + (b"40\r\n" + b"a" * 64 + b"\r\n") * 1024 + b"0\r\n\r\n",
    "extensions": CHUNKED + EXTENDED_CHUNK * 16 + b"0\r\n\r\n",
}


def read_with_usual_limits(data: bytes, step: int) -> bytes:
    """Read one request with the limits of a node; return its body."""
    pieces = iter([data[i : i + step] for i in range(0, len(data), step)])
    source = Reader(lambda max_bytes: next(pieces, b""), Limits(16 << 10, 64 << 10))
    return source.body(source.request().headers)


# Guards against messages within the bounds on bytes that take 10 to 900 ms of processor time each.
@pytest.mark.parametrize("name", COSTLY)
@pytest.mark.parametrize("step", [1, 1 << 16])
def test_messages_of_very_many_pieces_are_rejected(name: str, step: int) -> None:
    data, status, where = COSTLY[name]
    with pytest.raises(HttpError) as caught:
        read_with_usual_limits(data, step)
    assert caught.value.status == status and where in caught.value.detail


@pytest.mark.parametrize("name", FREQUENT)
def test_messages_of_as_many_pieces_as_are_allowed_are_read(name: str) -> None:
    expected = {"small chunks": b"a" * 1024, "large chunks": b"a" * 65536, "extensions": b"a" * 16}
    assert read_with_usual_limits(FREQUENT[name], 1 << 16) == expected.get(name, b"")


@given(st.lists(st.tuples(st.booleans(), st.binary(max_size=300)), max_size=4), st.integers(1, 40))
def test_requests_parse_the_same_however_the_stream_is_split(
    bodies: list[tuple[bool, bytes]], step: int
) -> None:
    data, expected = b"", []
    for index, (chunked, body) in enumerate(bodies):
        head = f"POST /{index} HTTP/1.1\r\nHost: x\r\n".encode()
        if chunked:
            pieces = [body[i : i + 7] for i in range(0, len(body), 7)]
            coded = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in pieces)
            data += head + b"Transfer-Encoding: chunked\r\n\r\n" + coded + b"0\r\nTrailer: x\r\n\r\n"
        else:
            data += head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        expected.append((f"/{index}", body))
    assert read(data, step) == expected


@given(
    st.one_of(
        st.binary(max_size=600),
        st.lists(
            st.sampled_from(
                [
                    b"POST / HTTP/1.1",
                    b"\r\n",
                    b"\n",
                    b"Host: x",
                    b"Content-Length: 5",
                    b"Transfer-Encoding: chunked",
                    b"5",
                    b"0",
                    b"abcde",
                    b" ",
                    b":",
                    b"\r",
                    b"HTTP/1.1 200 OK",
                ]
            ),
            max_size=20,
        ).map(b"".join),
    ),
    st.integers(1, 9),
)
def test_arbitrary_bytes_parse_or_raise_a_known_error(data: bytes, step: int) -> None:
    for parse in (lambda: read(data, step), lambda: reader(data, step).response()):
        with contextlib.suppress(HttpError, ConnectionClosedError):
            parse()


names = st.text(st.characters(min_codepoint=97, max_codepoint=122), min_size=1, max_size=5)
matchers = st.builds(Matcher, st.sampled_from(list(Match)), names, st.text(max_size=5))
times = st.integers(-(1 << 40), 1 << 45)
queries = st.tuples(times, times, st.lists(matchers, max_size=3)).map(
    lambda q: Query(min(q[:2]), max(q[:2]), tuple(q[2]), None)
)


@given(st.lists(queries, max_size=3), st.lists(st.sampled_from([0, 1]), max_size=2))
def test_read_requests_round_trip(sent: list[Query], accepts: list[int]) -> None:
    data = remote_read.write_request([remote_read.write_query(q) for q in sent], accepts)
    assert remote_read.read_request(data, 5, 5) == ReadRequest(tuple(sent), tuple(accepts))


def series(samples: dict[int, float], **labels: str) -> Series:
    at = sorted(samples)
    return Series(
        tuple(sorted(labels.items())), np.array(at, np.int64), np.array([samples[t] for t in at], np.float64)
    )


def same_series(a: Series, b: Series) -> bool:
    return (
        a.labels == b.labels
        and a.timestamps.tolist() == b.timestamps.tolist()
        and a.values.tobytes() == b.values.tobytes()
        and a.histograms == b.histograms
    )


samples = st.dictionaries(
    st.one_of(st.integers(1_700_000_000_000, 1_700_000_100_000), times), st.floats(width=64), max_size=60
)


@given(st.lists(st.tuples(names, samples), max_size=3))
def test_read_responses_round_trip(rows: list[tuple[str, dict[int, float]]]) -> None:
    sent = [series(points, a=name) for name, points in rows]
    (decoded,) = remote_read.read_response(remote_read.write_response([sent]), 1)
    assert len(decoded) == len(sent) and all(same_series(a, b) for a, b in zip(decoded, sent, strict=True))


@given(st.binary(max_size=200), st.data())
def test_truncated_or_corrupted_messages_decode_or_raise_a_known_error(
    noise: bytes, data: st.DataObject
) -> None:
    row = series({1_700_000_000_000 + i: float(i) for i in range(30)}, a="b", c="d")
    good = remote_read.write_response([[row], [row]])
    cut = data.draw(st.integers(0, len(good)))
    at = data.draw(st.integers(0, len(good)))
    for message in (good[:cut], good[:at] + noise + good[at:], noise):
        for decode in (remote_read.read_response, lambda m, n: remote_read.read_request(m, n, n)):
            try:
                decode(message, 4)
            except pb.ProtobufError as error:
                assert 0 <= error.at <= len(message)


def test_snappy_is_bounded_before_it_is_decompressed() -> None:
    block = snappy.compress(b"a" * 5000)
    assert snappy.decompress(block, 5000) == b"a" * 5000
    for rejected, expected_error in (
        (block, "over the limit"),
        (pb.encode_varint(4000) + b"\x00a", "claims"),
        (b"", "length"),
        (b"\xff" * 6, "length"),
        (pb.encode_varint(10) + b"\x00ab", "malformed"),
    ):
        with pytest.raises(snappy.SnappyError, match=expected_error):
            snappy.decompress(rejected, 4999)


@given(st.lists(st.tuples(names, samples), min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_merging_is_independent_of_order(rows: list[tuple[str, dict[int, float]]], rng: object) -> None:
    parts = [[series(points, a=name)] for name, points in rows]
    first = merging.merge(parts)
    rng.shuffle(parts)  # type: ignore[attr-defined]
    again = merging.merge(parts)
    assert [s.labels for s in first] == sorted({s.labels for p in parts for s in p})
    assert all(same_series(a, b) for a, b in zip(first, again, strict=True))
    for merged in first:
        expected_times = {t for name, points in rows for t in points if merged.labels == (("a", name),)}
        assert merged.timestamps.tolist() == sorted(expected_times)


@given(
    st.lists(st.sampled_from(["a", "b", "ab", "", "a.b", "c|d"]), unique=True, min_size=1),
    st.lists(
        st.tuples(
            st.sampled_from(list(Match)),
            st.sampled_from(["a", "a|b", "a.*", ".+", "", "|a", "[ab]", "a.b", "(a|ab)", "zz|b"]),
        ),
        max_size=3,
    ),
)
def test_shards_found_are_those_that_match(shards: list[str], conditions: list[tuple[Match, str]]) -> None:
    index = ShardIndex("tile", shards)
    found = index.matching_shards([Matcher(kind, "tile", value) for kind, value in conditions])
    expected = [
        i
        for i, name in enumerate(shards)
        if all(
            (
                name == value
                if kind in (Match.EQUAL, Match.NOT_EQUAL)
                else re.fullmatch(value, name, re.DOTALL) is not None
            )
            == (kind in (Match.EQUAL, Match.REGEX))
            for kind, value in conditions
        )
    ]
    assert found == expected
