"""Faults of a co-ordinator, each of which breaks one rule, for tests that the audit detects them.

Each replaces methods of classes in the running process; `gingervane.cli.serve_mutant` starts a co-ordinator
with one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from gingervane import interface as api
from gingervane.coordinator import driver as driving
from gingervane.coordinator import types as t
from gingervane.decisions.outlier_ejection import OutlierDetector
from gingervane.fronts.read_reply import ReadReplyEncoder
from gingervane.membership.endpoint_file import FileWatcher
from gingervane.membership.source_owner import EndpointSources
from gingervane.settings.daemon_settings import Config


def _change_settings(change: Callable[[api.Settings], api.Settings]) -> None:
    module_settings = Config.module_settings
    Config.module_settings = lambda self: change(module_settings(self))  # type: ignore[method-assign]


def drop_every_eighth_query() -> None:
    """Never complete one query in eight."""
    complete = driving.Driver._complete_query

    def complete_others(self: driving.Driver, now: float, query_id: int, *args: Any, **kwargs: Any) -> None:
        if query_id % 8:
            complete(self, now, query_id, *args, **kwargs)

    driving.Driver._complete_query = complete_others  # type: ignore[method-assign]


def treat_all_as_idempotent() -> None:
    """Treat every query class as idempotent."""
    _change_settings(
        lambda s: s._replace(
            query_classes=tuple(
                c._replace(retry_safety=api.RetrySafety.IDEMPOTENT, idempotency_window=None)
                for c in s.query_classes
            )
        )
    )


def ignore_list_changes() -> None:
    """Read the list file, and each source of a catalogue, only once."""
    FileWatcher._run = lambda _: None  # type: ignore[method-assign, assignment]
    report = EndpointSources.report
    reported = set[tuple[int, str]]()

    def report_once(self: EndpointSources, source: str, *args: Any) -> None:
        if (id(self), source) not in reported:
            reported.add((id(self), source))
            report(self, source, *args)

    EndpointSources.report = report_once  # type: ignore[method-assign, assignment]


def ignore_slow_start() -> None:
    """Disable slow start and ejection: a replica that has just started gets its full share and more."""
    step = driving.Driver.step

    def step_without_starts(self: driving.Driver, now: float, inputs: Sequence[t.Input]) -> list[t.Effect]:
        return step(self, now, [without_starts(item) for item in inputs])

    def without_starts(item: t.Input) -> t.Input:
        if not isinstance(item, t.EndpointsUpdated):
            return item
        replicas = tuple(r._replace(started_at=0.0) for r in item.membership.replicas)
        return item._replace(membership=item.membership._replace(replicas=replicas))

    def never_eject(self: OutlierDetector, *args: Any, **kwargs: Any) -> None:
        pass

    driving.Driver.step = step_without_starts  # type: ignore[method-assign]
    OutlierDetector.record_outcome = never_eject  # type: ignore[method-assign]


def mark_partial_answers_complete() -> None:
    """Mark partial answers as complete."""
    answer = ReadReplyEncoder.answer

    def answer_as_complete(self: ReadReplyEncoder, *args: Any) -> Any:
        reply = answer(self, *args)
        fields = [
            (k, "1" if k == "Gingervane-Coverage" else v)
            for k, v in reply.fields
            if k != "Gingervane-Missing"
        ]
        return reply._replace(fields=fields)

    ReadReplyEncoder.answer = answer_as_complete  # type: ignore[method-assign, assignment]


def remove_retry_budget() -> None:
    """Remove the retry budget from the decision engine's settings."""
    _change_settings(
        lambda s: s._replace(retry_budget_free=None, retry_budget_share=None, retry_budget_window=None)
    )


# The faults, keyed by the name of the rule that each breaks.
MUTANTS: dict[str, Callable[[], None]] = {
    "lost": drop_every_eighth_query,
    "duplicate": treat_all_as_idempotent,
    "drain": ignore_list_changes,
    "cold": ignore_slow_start,
    "honest": mark_partial_answers_complete,
    "budget": remove_retry_budget,
}
