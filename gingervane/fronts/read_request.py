"""Parsing of remote read requests: parameters, context, queries, and a part for each shard they touch."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple
from urllib.parse import parse_qsl

from gingervane.coordinator import types as t
from gingervane.fronts.leaf_codec import CONTENT_TYPE, VERSION, VERSION_HEADER, LeafContent, LeafQuery
from gingervane.fronts.routing import FrontQueryClass, duration, flag
from gingervane.fronts.shard_matching import ShardIndex
from gingervane.fronts.subtree_codec import read_context
from gingervane.tree.subquery_context import SubqueryContext
from gingervane.wire import remote_read, snappy
from gingervane.wire.http1 import Headers, HttpError, Request
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read import Accepts, Match, Matcher, Query

_SUPPORTED_VERSIONS = "0.1."


class FrontLimits(NamedTuple):
    """Bounds on one request."""

    max_message_bytes: int  # after decompression
    max_queries: int
    max_matchers: int  # in one query


class ReadParameters(NamedTuple):
    """The parameters in the target of a request."""

    query_class: str
    timeout: float | None  # seconds
    partial_allowed: bool
    attempts_listed: bool  # whether the reply is to list the attempts


class ReadRequest(NamedTuple):
    """A remote read request that has been parsed."""

    parameters: ReadParameters
    context: SubqueryContext | None  # sent by a parent co-ordinator; None if a client sent the request
    queries: Sequence[Query]
    parts: list[t.PartPlan]
    leaves: tuple[str, ...]  # of the parts, in order
    arrived: float
    deadline: float


class ReadRequestParser:
    """Parses requests against the configured classes, shards and limits."""

    def __init__(
        self,
        shards: ShardIndex,
        classes: Mapping[str, FrontQueryClass],
        default_class: str,
        limits: FrontLimits,
    ) -> None:
        self._shards = shards
        self._classes = classes
        self._default_class = default_class
        self._limits = limits

    def deadline(self, parameters: ReadParameters, arrived: float) -> float:
        """Return the end of the caller's time: what it asks for, at most its class's deadline."""
        class_deadline = self._classes[parameters.query_class].deadline
        return arrived + min(parameters.timeout or class_deadline, class_deadline)

    def parse(self, request: Request, body: bytes, arrived: float, parameters: ReadParameters) -> ReadRequest:
        """Parse a request. Raises HttpError, or PatternError for a matcher's regular expression."""
        context = read_context(request.headers)
        _check_headers(request.headers)
        queries = self._read_queries(body)
        matching_shards = [self._shards.matching_shards(query.matchers) for query in queries]
        parts = self._plan_parts(queries, matching_shards)
        deadline = self.deadline(parameters, arrived)
        leaves = tuple(part.content.leaf for part in parts)
        return ReadRequest(parameters, context, queries, parts, leaves, arrived, deadline)

    def read_parameters(self, target: str) -> ReadParameters:
        """Read the parameters in the target of a request. Raises HttpError."""
        values = dict(parse_qsl(target.partition("?")[2], keep_blank_values=True))
        name = values.get("class", self._default_class)
        if name not in self._classes:
            raise HttpError(400, f"parameter class: {name!r} is not one of {', '.join(self._classes)}", True)
        timeout = duration(values["timeout"], "parameter timeout") if "timeout" in values else None
        partial_allowed = flag(values.get("partial_response", "0"), "parameter partial_response")
        attempts_listed = flag(values.get("path", "0"), "parameter path")
        return ReadParameters(name, timeout, partial_allowed, attempts_listed)

    def _read_queries(self, body: bytes) -> Sequence[Query]:
        limits = self._limits
        try:
            message = snappy.decompress(body, limits.max_message_bytes)
            request = remote_read.read_request(message, limits.max_queries, limits.max_matchers)
        except snappy.SnappyError as error:
            raise HttpError(400, f"body: snappy: {error}", True) from None
        except ProtobufError as error:
            raise HttpError(400, f"body: {error}", True) from None
        if request.accepts and Accepts.SAMPLES not in request.accepts:
            raise HttpError(406, "accepted_response_types: only SAMPLES can be sent", True)
        return request.queries

    def _plan_parts(self, queries: Sequence[Query], matching_shards: list[list[int]]) -> list[t.PartPlan]:
        """Return a part for each shard that any query touches, with all queries that touch the shard."""
        by_shard: dict[int, list[LeafQuery]] = {}
        label = self._shards.label
        for index, (query, shards) in enumerate(zip(queries, matching_shards, strict=True)):
            other_matchers = tuple(matcher for matcher in query.matchers if matcher.name != label)
            for shard in shards:
                # The shard satisfies every matcher on the shard label: one equality matcher replaces them.
                leaf_matcher = Matcher(Match.EQUAL, label, self._shards.names[shard])
                body = remote_read.write_query(query._replace(matchers=(*other_matchers, leaf_matcher)))
                by_shard.setdefault(shard, []).append(LeafQuery(index, body, query.start_ms, query.end_ms))
        weight = 1.0 / max(len(by_shard), 1)
        return [
            t.PartPlan(shard, weight, LeafContent(self._shards.names[shard], tuple(leaf_queries)))
            for shard, leaf_queries in sorted(by_shard.items())
        ]


def _check_headers(headers: Headers) -> None:
    """Raise HttpError if the body's content type, encoding or protocol version is not supported."""
    content_type = headers.get("content-type", CONTENT_TYPE).partition(";")[0].strip().lower()
    if content_type != CONTENT_TYPE:
        raise HttpError(415, f"header Content-Type: {content_type!r} is not {CONTENT_TYPE}", True)
    if headers.get("content-encoding", "snappy").lower() != "snappy":
        raise HttpError(415, "header Content-Encoding: only snappy is spoken here", True)
    version = headers.get(VERSION_HEADER.lower(), VERSION)
    if not version.startswith(_SUPPORTED_VERSIONS):
        raise HttpError(400, f"header {VERSION_HEADER}: {version!r} is not 0.1.x", True)
