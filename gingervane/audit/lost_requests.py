"""The rule on lost requests: exactly one answer in time, and no further request for the query after it."""

from __future__ import annotations

from gingervane.audit import attempts
from gingervane.audit.records import Day, Part, Record
from gingervane.audit.verdict import Verdict

# Seconds past a client's deadline up to which an answer has no value but the request is not lost.
_LATE_ANSWER_GRACE = 0.5
# Seconds after SIGCONT within which requests that expired during the pause are failed.
_FAILURE_AFTER_PAUSE_GRACE = 0.15
_CLOCK_ERROR = 0.002  # seconds by which the clock readings of two processes may differ


def judge(day: Day) -> Verdict:
    """Judge every attempt whose client stayed connected and whose co-ordinator was not killed."""
    verdict = Verdict()
    for record in day.tries:
        if record["outcome"] in ("left", "unreached") or attempts.coordinator_was_killed(day, record):
            continue
        name = attempts.describe(record)
        if record["outcome"] != "reply":
            verdict.tested += 1
            verdict.count_breach(f"{name}: {record['outcome']}, no answer: {record.get('why')}")
            continue
        replies = record["replies"]
        if len(replies) != 1 or record["extra"]:
            verdict.count_breach(f"{name}: {len(replies)} replies on its connection")
            continue
        if not failed_late_after_pause(day, record):
            verdict.count_test((replies[0] - record["sent"]) / record["timeout"], f"{name}: answered late")
        _judge_sends_after_answer(day, record, verdict)
    return verdict


def _judge_sends_after_answer(day: Day, record: Record, verdict: Verdict) -> None:
    """Check that the answering co-ordinator sends nothing for a query after its answer.

    Requests that a child sends before it receives the cancellation are counted by `figures.stray_work`
    instead.
    """
    replied = record["replies"][0]
    for tile in record["tiles"]:
        for send in day.by_part.get(Part(record["start"], tile), []):
            if send.t > replied + _CLOCK_ERROR and send.tap == record["tap"]:
                late_ms = (send.t - replied) * 1000
                verdict.count_breach(
                    f"{attempts.describe(record)}: {tile} sent {late_ms:.1f} ms after its answer"
                )


def failed_late_after_pause(day: Day, record: Record) -> bool:
    """Whether an attempt expired while its co-ordinator was stopped and was failed right after SIGCONT.

    A stopped process cannot answer. By the users' requirements, an answer up to `_LATE_ANSWER_GRACE` after
    the deadline has no value but the request is not lost; a request whose connection closes without an answer
    is lost.
    """
    deadline = record["sent"] + record["timeout"]
    replied = record["replies"][0]
    if record["status"] < 500 or replied > deadline + _LATE_ANSWER_GRACE:
        return False
    signals = [r for r in day.director if r["kind"] == "signal" and r["coordinator"] == record["coordinator"]]
    for stop in [r["t"] for r in signals if r["signal"] == "SIGSTOP"]:
        resumed = next((r["t"] for r in signals if r["signal"] == "SIGCONT" and r["t"] > stop), None)
        if resumed is None:
            continue
        if (
            stop <= deadline <= resumed + _FAILURE_AFTER_PAUSE_GRACE
            and replied <= resumed + _FAILURE_AFTER_PAUSE_GRACE
        ):
            return True
    return False
