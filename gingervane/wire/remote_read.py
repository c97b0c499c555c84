"""Messages of Prometheus remote read 1.0: the public names of the types, the encoder and the decoders."""

from __future__ import annotations

from gingervane.wire.remote_read_encoder import write_query, write_request, write_response
from gingervane.wire.remote_read_types import (
    NO_TIMES,
    NO_VALUES,
    Accepts,
    Labels,
    Match,
    Matcher,
    Query,
    ReadRequest,
    Series,
    Times,
    Values,
)
from gingervane.wire.request_decoder import read_request
from gingervane.wire.response_decoder import read_response

__all__ = [
    "NO_TIMES",
    "NO_VALUES",
    "Accepts",
    "Labels",
    "Match",
    "Matcher",
    "Query",
    "ReadRequest",
    "Series",
    "Times",
    "Values",
    "read_request",
    "read_response",
    "write_query",
    "write_request",
    "write_response",
]
