"""The order in which the daemon stops its parts."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from gingervane.daemon.app import App


# Guards against queries that are taken after SIGTERM by a daemon that follows no list any more: it waited up
# to 10 s for a repair, with its membership stopped and its cores open.
def test_lists_are_followed_until_no_query_is_open() -> None:
    calls: list[str] = []

    def part(name: str, *methods: str) -> Any:
        return SimpleNamespace(
            **{method: lambda *_, call=f"{name}.{method}": calls.append(call) for method in methods}
        )

    core = part("core", "stop")
    app = SimpleNamespace(
        config=SimpleNamespace(
            listen=SimpleNamespace(write_timeout=0.0), shutdown=SimpleNamespace(grace=0.0)
        ),
        cores=[core],
        membership=part("membership", "drain", "stop", "deregister"),
        vectors=part("vectors", "stop", "close"),
        _server=part("server", "stop"),
        _pool=part("pool", "close"),
    )
    app._stop_cores = lambda: App._stop_cores(app)  # type: ignore[arg-type]
    App.stop(app)  # type: ignore[arg-type]
    assert calls.index("membership.drain") < calls.index("core.stop")
    for stopped_later in ("membership.stop", "vectors.stop"):
        assert calls.index("core.stop") < calls.index("server.stop") < calls.index(stopped_later)
    assert calls.index("vectors.stop") < calls.index("vectors.close")
