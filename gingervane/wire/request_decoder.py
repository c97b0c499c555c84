"""Decoder of the remote read ReadRequest, bounded and tolerant of unknown fields."""

from __future__ import annotations

from gingervane.wire import protobuf as pb
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read_types import Match, Matcher, Query, ReadRequest

_MATCH_TYPES = (0, 1, 2, 3)  # the values of Match
_HINT_WIRE_TYPES = {
    1: pb.VARINT,
    2: pb.BYTES,
    3: pb.VARINT,
    4: pb.VARINT,
    5: pb.BYTES,
    6: pb.VARINT,
    7: pb.VARINT,
}  # by field number of ReadHints


def read_request(data: bytes, max_queries: int, max_matchers: int) -> ReadRequest:
    """Decode a ReadRequest. Raises ProtobufError if it is malformed or has too many queries or matchers."""
    queries: list[Query] = []
    accepts: list[int] = []
    for field in pb.read_fields(data, 0, len(data), "ReadRequest"):
        if field.number == 1:
            pb.expect_wire_type(field, pb.BYTES, "ReadRequest.queries")
            if len(queries) == max_queries:
                raise ProtobufError(f"ReadRequest: more than {max_queries} queries", field.start)
            queries.append(_read_query(data, field, len(queries), max_matchers))
        elif field.number == 2 and field.wire_type == pb.BYTES:  # packed
            at = field.start
            while at < field.end:
                value, at = pb.read_varint(data, at, field.end, "ReadRequest.accepted_response_types")
                accepts.append(value)
        elif field.number == 2:
            pb.expect_wire_type(field, pb.VARINT, "ReadRequest.accepted_response_types")
            accepts.append(field.value)
    return ReadRequest(tuple(queries), tuple(accepts))


def _read_query(data: bytes, message: pb.Field, index: int, max_matchers: int) -> Query:
    name = f"queries[{index}]"
    start = end = 0
    matchers: list[Matcher] = []
    hints: bytes | None = None
    for field in pb.read_fields(data, message.start, message.end, name):
        if field.number == 1:
            pb.expect_wire_type(field, pb.VARINT, name + ".start_timestamp_ms")
            start = pb.decode_int64(field.value)
        elif field.number == 2:
            pb.expect_wire_type(field, pb.VARINT, name + ".end_timestamp_ms")
            end = pb.decode_int64(field.value)
        elif field.number == 3:
            pb.expect_wire_type(field, pb.BYTES, name + ".matchers")
            if len(matchers) == max_matchers:
                raise ProtobufError(f"{name}: more than {max_matchers} matchers", field.start)
            matchers.append(_read_matcher(data, field, f"{name}.matchers[{len(matchers)}]"))
        elif field.number == 4:
            pb.expect_wire_type(field, pb.BYTES, name + ".hints")
            _check_hints(data, field, name + ".hints")
            hints = data[field.start : field.end]
    if end < start:
        raise ProtobufError(f"{name}: ends at {end} ms, before its start at {start} ms", message.start)
    return Query(start, end, tuple(matchers), hints)


def _read_matcher(data: bytes, message: pb.Field, name: str) -> Matcher:
    kind, label, value = 0, "", ""
    for field in pb.read_fields(data, message.start, message.end, name):
        if field.number == 1:
            pb.expect_wire_type(field, pb.VARINT, name + ".type")
            kind = field.value
        elif field.number == 2:
            label = pb.decode_text(data, field, name + ".name")
        elif field.number == 3:
            value = pb.decode_text(data, field, name + ".value")
    if kind not in _MATCH_TYPES:
        raise ProtobufError(f"{name}: type {kind} is not known", message.start)
    if not label:
        raise ProtobufError(f"{name}: no label name", message.start)
    return Matcher(Match(kind), label, value)


def _check_hints(data: bytes, message: pb.Field, name: str) -> None:
    """Check the wire types of the known fields of ReadHints, whose bytes are passed on unchanged."""
    for field in pb.read_fields(data, message.start, message.end, name):
        if field.number in _HINT_WIRE_TYPES:
            pb.expect_wire_type(field, _HINT_WIRE_TYPES[field.number], name)
