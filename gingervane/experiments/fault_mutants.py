"""Faults put into a co-ordinator, each of which breaks one rule, to show that the audit sees it.

They change classes of the running process; `gingervane.cli.serve_mutant` starts a co-ordinator with one of them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from gingervane import interface as api
from gingervane.coordinator import driver as driving
from gingervane.coordinator import types as t
from gingervane.settings.daemon_settings import Config
from gingervane.fronts.read_reply import ReadReplyEncoder
from gingervane.membership.endpoint_file import FileWatcher
from gingervane.membership.source_owner import EndpointSources


def _settings(change: Callable[[api.Settings], api.Settings]) -> None:
    honest = Config.module_settings
    Config.module_settings = lambda self: change(honest(self))  # type: ignore[method-assign]


def lost() -> None:
    """One query in eight is never settled."""
    settle = driving.Driver._complete_query

    def forget(self: driving.Driver, now: float, query_id: int, *args: Any, **kwargs: Any) -> None:
        if query_id % 8:
            settle(self, now, query_id, *args, **kwargs)

    driving.Driver._complete_query = forget  # type: ignore[method-assign]


def duplicate() -> None:
    """Every class is taken to be safe to repeat."""
    _settings(
        lambda s: s._replace(
            query_classes=tuple(
                c._replace(retry_safety=api.RetrySafety.IDEMPOTENT, idempotency_window=None)
                for c in s.query_classes
            )
        )
    )


def drain() -> None:
    """The server list is read once and never again, and so is each source of a catalogue."""
    FileWatcher._run = lambda self: None  # type: ignore[method-assign]
    report, heard = EndpointSources.report, set[tuple[int, str]]()

    def once(self: EndpointSources, source: str, *args: Any) -> None:
        if (id(self), source) not in heard:
            heard.add((id(self), source))
            report(self, source, *args)

    EndpointSources.report = once  # type: ignore[method-assign, assignment]


def cold() -> None:
    """No slow start, no ejection, no copies held back: what has just started gets its share at once, and more."""
    step = driving.Driver.step

    def warm(self: driving.Driver, now: float, inputs: Sequence[t.Input]) -> list[t.Effect]:
        told = []
        for item in inputs:
            if isinstance(item, t.EndpointsUpdated):
                rows = tuple(r._replace(started_at=0.0) for r in item.membership.replicas)
                item = item._replace(membership=item.membership._replace(replicas=rows))
            told.append(item)
        return step(self, now, told)

    driving.Driver.step = warm  # type: ignore[method-assign]
    from gingervane.decisions.outlier_ejection import OutlierDetector

    OutlierDetector.record_outcome = (  # type: ignore[method-assign]
        lambda self, replica, failure_weight, reason=None: None
    )


def honest() -> None:
    """Short answers are marked whole."""
    answer = ReadReplyEncoder.answer

    def lie(self: ReadReplyEncoder, *args: Any) -> Any:
        reply = answer(self, *args)
        fields = [
            (k, "1" if k == "Gingervane-Coverage" else v)
            for k, v in reply.fields
            if k != "Gingervane-Missing"
        ]
        return reply._replace(fields=fields)

    ReadReplyEncoder.answer = lie  # type: ignore[method-assign, assignment]


def budget() -> None:
    """The budget is not told to the module."""
    _settings(lambda s: s._replace(retry_budget_free=None, retry_budget_share=None, retry_budget_window=None))


# The faults by the name of the rule that each breaks.
MUTANTS: dict[str, Callable[[], None]] = {
    "lost": lost,
    "duplicate": duplicate,
    "drain": drain,
    "cold": cold,
    "honest": honest,
    "budget": budget,
}
