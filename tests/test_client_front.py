"""The node's client front: class names, query ids, invalid requests and rejections."""

from __future__ import annotations

import contextlib
from pathlib import Path
from urllib.parse import quote

import pytest
from node_tools import assert_served
from platform_fakes import (
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    Platform,
    Replica,
    query,
    reply,
    request,
    wait_until,
)

UNUSUAL_CLASS_NAMES = ("ready", "hut nights, s\u00f8k/100%", "v1.%20_x~")


@pytest.mark.parametrize("number", range(3))
def test_a_class_may_have_any_name(tmp_path: Path, number: int) -> None:
    """Guards against `/ready` hiding a class of that name, and against names that are not percent-decoded."""
    classes = [
        kind | {"Name": name} for kind, name in zip(SETTINGS["Classes"], UNUSUAL_CLASS_NAMES, strict=True)
    ]
    extra = SETTINGS["Extra"] | {"ClassFetch": [0, 0, 0]}
    platform = Platform(tmp_path, Replica(0), settings=SETTINGS | {"Classes": classes, "Extra": extra})
    assert_served(platform.ask("q", {0: 1.0}, "/" + quote(UNUSUAL_CLASS_NAMES[number], safe="")), "q", 0)
    # A name that is valid in a path may also be sent without encoding.
    if quote(UNUSUAL_CLASS_NAMES[number], safe="%") == UNUSUAL_CLASS_NAMES[number]:
        assert_served(platform.ask("r", {0: 1.0}, "/" + UNUSUAL_CLASS_NAMES[number]), "r", 0)
    with platform.client() as sock:
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert reply(sock)[0] == 200
    platform.close()


@pytest.mark.parametrize("advises", [True, False])
def test_a_rejection_has_retry_after_only_where_that_is_allowed(tmp_path: Path, advises: bool) -> None:
    limits = SETTINGS["Limits"] | {"RetryAfter": advises}
    platform = Platform(tmp_path, Replica(0), settings=SETTINGS | {"Limits": limits})
    platform.node.core.close()
    status, fields, _ = platform.ask("q", {0: 1.0})
    assert status == 503 and ("retry-after" in fields) is advises
    platform.close()


def test_every_valid_query_id_is_accepted_in_a_replicas_answer(platform: Platform) -> None:
    """Guards against an underscore that is valid in a client's query id and invalid in a replica's answer."""
    assert_served(platform.ask("a_B-9", {0: 0.5, 1: 0.5}), "a_B-9", 0, 1)
    assert sum(len(replica.parts.items) for replica in platform.replicas) == 2


VALID_REQUEST = query("id", {0: 0.5, 1: 0.5})


INVALID_REQUESTS = {
    "no id": VALID_REQUEST.replace(b"X-Request-ID: id\r\n", b""),
    "two ids": VALID_REQUEST.replace(b"X-Request-ID: id\r\n", b"X-Request-ID: id\r\nX-Request-ID: ie\r\n"),
    "an id with a line in it": VALID_REQUEST.replace(b"ID: id", b"ID: i.d 1"),
    "a deadline that is no number": VALID_REQUEST.replace(b"Ms: 6000", b"Ms: soon"),
    "a negative deadline": VALID_REQUEST.replace(b"Ms: 6000", b"Ms: -5"),
    "an unknown class": VALID_REQUEST.replace(b"/look", b"/nosuch"),
    "an unknown shard": query("id", {0: 0.5, 99: 0.5}),
    "weights under 1": query("id", {0: 0.5, 1: 0.3}),
    "a weight out of range": query("id", {0: 1.5, 1: -0.5}),
    "no parts": query("id", {}),
    "a shard twice": request(
        "id",
        '{"tablets":[{"tablet":0,"fraction":0.5},{"tablet":0,"fraction":0.5}],"statement":""}',
    ),
    "a shard that is true": request("id", '{"tablets":[{"tablet":true,"fraction":1}],"statement":""}'),
    "both framings": VALID_REQUEST.replace(b"Host: x\r\n", b"Host: x\r\nTransfer-Encoding: chunked\r\n"),
    "a negative length": VALID_REQUEST.replace(b"Content-Length: ", b"Content-Length: -"),
    "a huge length": b"POST /look HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 100000,
    "no JSON": request("id", "{]"),
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "an endless head": b"POST /look HTTP/1.1\r\nHost: x\r\n" + b"X-A: b\r\n" * 5000,
    "half a request": VALID_REQUEST[:-20],
    "silence": b"",
}


@pytest.mark.parametrize("kind", INVALID_REQUESTS)
def test_an_invalid_request_gets_an_error_or_a_close_and_reaches_no_replica(
    platform: Platform, kind: str
) -> None:
    with platform.client() as sock:
        sock.settimeout(WAIT_TIMEOUT_SECONDS)
        with contextlib.suppress(ConnectionError):
            sock.sendall(INVALID_REQUESTS[kind])
        status = reply(sock)[0]
    assert status == 0 or 400 <= status < 600
    assert not any(r.parts.items for r in platform.replicas)
    assert_served(platform.ask("after", {0: 1.0}), "after", 0)


def test_the_id_of_an_open_request_is_rejected(tmp_path: Path) -> None:
    silent = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, silent)
    with platform.client() as sock:
        sock.sendall(query("q", {0: 1.0}))
        silent.parts.wait()
        assert platform.ask("q", {0: 1.0})[0] == 409
        assert len([p for p in silent.parts.items if p.id == "q.0"]) == 1
    platform.close()


# Guards against an effect that happens twice because an id is free as soon as its client leaves.
def test_the_id_of_an_unsafe_request_that_may_have_run_is_not_executed_again(tmp_path: Path) -> None:
    silent = Replica(0, lambda wire, part: None)
    platform = Platform(tmp_path, silent)
    with platform.client() as sock:
        sock.sendall(query("q", {0: 1.0}, "/book"))
        silent.parts.wait()
    wait_until(lambda: not platform.node.core.admission.open, "the query has ended")
    assert platform.ask("q", {0: 1.0}, "/book")[0] == 409
    assert [part.id for part in silent.parts.items] == ["q.0"]
    platform.close()


# Guards against an effect that happens twice because an id is free once it is answered.
def test_the_id_of_an_answered_unsafe_request_is_not_executed_again(platform: Platform) -> None:
    with platform.client() as sock:
        assert platform.ask("q", {0: 1.0}, "/book", sock=sock)[0] == 200
        assert platform.ask("q", {0: 1.0}, "/book", sock=sock)[0] == 409
    assert sum(len(replica.parts.items) for replica in platform.replicas) == 1


def test_the_id_of_an_unsafe_request_that_never_ran_is_free_again(platform: Platform) -> None:
    platform.node.core.close()
    assert platform.ask("q", {0: 1.0}, "/book")[0] == 503
    platform.node.core.admission.reopen("shutting down")
    assert platform.ask("q", {0: 1.0}, "/book")[0] == 200


def test_the_id_of_an_idempotent_request_may_come_again(platform: Platform) -> None:
    assert [platform.ask("q", {0: 1.0})[0] for _ in range(2)] == [200, 200]
