"""One allocation fails, in each place where the thread of all clients takes memory; the node goes on."""

from __future__ import annotations

from typing import Any

import pytest
from platform_fakes import WAIT_TIMEOUT_SECONDS, Platform, query, reply, wait_until

from gingervane.fronts.connection_acceptor import ConnectionAcceptor
from gingervane.fronts.connection_input import ConnectionInput
from gingervane.fronts.connection_poller import ConnectionPoller
from gingervane.fronts.connections import ConnectionManager
from gingervane.node.client_front import ClientFront

FAILING_PLACES = [
    (ConnectionInput, "receive"),
    (ConnectionInput, "parse"),
    (ConnectionInput, "release_request"),
    (ClientFront, "_read_query"),
    (ClientFront, "reply"),
    (ConnectionAcceptor, "_add"),
    (ConnectionManager, "send"),
    (ConnectionManager, "_turn"),
    (ConnectionPoller, "wait"),
]


# Guards against a process that serves nobody any more after one allocation failed.
@pytest.mark.parametrize(("owner", "name"), FAILING_PLACES, ids=[name for _, name in FAILING_PLACES])
def test_a_node_serves_on_after_memory_ran_out_once(
    platform: Platform, monkeypatch: pytest.MonkeyPatch, owner: type, name: str
) -> None:
    failures, real = [MemoryError()], getattr(owner, name)

    def fail_once(*args: Any, **kwargs: Any) -> Any:
        if failures:
            raise failures.pop()
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail_once)
    with platform.client() as sock:
        sock.settimeout(WAIT_TIMEOUT_SECONDS)
        sock.sendall(query("q1", {0: 1.0}))
        assert reply(sock)[0] in (0, 200, 500)
    wait_until(lambda: not failures, "the allocation has failed")
    assert platform.ask("q2", {0: 1.0})[0] == 200
    wait_until(lambda: not platform.node.budget.used, "nothing is held for either")
    wait_until(lambda: not platform.node.core.admission.open, "no query is open")
