"""The rules, checked on what passed at clients and replicas. Nothing that a node says of itself is used."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from faults.ledger import Ledger, PartReceived, Request
from faults.plans import ClassPlan, Plan
from faults.replicas import cell_of, score_of

SUM_SLACK = 1e-4  # of sums of weights, by the bench's page
LATE = 0.5  # seconds past a client's time in which an answer only earns nothing
AFTER_END = 0.1  # seconds after an answer, or after the client closed, in which a part may still arrive
DEADLINE_SLACK = 0.15  # seconds by which a replica may be told more than the client has left
GRACE = 0.5 + 0.05 + 0.15  # seconds after a list has told that a replica drains or is gone


@dataclass(frozen=True)
class Violation:
    """One break of a rule."""

    rule: str
    what: str
    timed: bool = False  # rests on some 0.1 s, which a machine that is starved of its processors cannot keep


class RuleChecker:
    """Checks one run. `violations` has what it found."""

    def __init__(self, plan: Plan, ledger: Ledger) -> None:
        self._plan, self._ledger = plan, ledger
        self.violations: list[Violation] = []
        self.second_steps = self.short = 0
        self._parts: dict[str, list[PartReceived]] = defaultdict(list)
        for seen in ledger.parts:
            self._parts[seen.id.partition(".")[0]].append(seen)
        self._served: dict[str, float] = {}
        self._skipped: dict[str, list[float]] = defaultdict(list)
        for answer in ledger.answers:
            if answer.end == "served" and answer.value == cell_of(answer.id):
                self._served.setdefault(answer.id, answer.at)
            elif answer.end == "skipped":
                self._skipped[answer.id].append(answer.at)

    def check(self) -> list[Violation]:
        known = {request.id for request in self._ledger.requests}
        for request in self._ledger.requests:
            kind = self._plan.classes[request.query_class]
            self._check_ending(request)
            self._check_parts(request, kind)
            self._check_second_step(request, kind)
            if request.status == 200:
                self._check_answer(request, kind)
        for seen in self._ledger.parts:
            if seen.id.partition(".")[0] not in known:
                self._add("void", f"part {seen.id} that no client asked for")
        self._check_drains()
        return self.violations

    def _add(self, rule: str, what: str, timed: bool = False) -> None:
        self.violations.append(Violation(rule, what, timed))

    # ---- one final answer

    def _check_ending(self, request: Request) -> None:
        ending = self._ledger.ending.get(request.node, float("inf"))
        if request.disconnected_at is not None or request.node in self._ledger.killed:
            return
        if not request.status:
            if request.sent_at < ending + 0.5:
                took = request.answered_at - request.sent_at
                self._add("lost", f"{request.id}: {request.ended} after {took:.3f} s of {request.timeout:g}")
        elif request.answered_at > request.sent_at + request.timeout + LATE:
            late = request.answered_at - request.sent_at - request.timeout
            self._add("lost", f"{request.id}: answered {late:.3f} s late", timed=True)

    # ---- attempts

    def _check_parts(self, request: Request, kind: ClassPlan) -> None:
        end = (
            request.disconnected_at
            if request.disconnected_at is not None
            else request.answered_at or float("inf")
        )
        runs: dict[str, int] = defaultdict(int)
        for seen in self._parts[request.id]:
            if seen.at > end + AFTER_END and not self._was_paused(request.node, end - 0.05, seen.at):
                self._add(
                    "lost", f"{seen.id} sent {seen.at - end:.3f} s after the end of its request", timed=True
                )
            left = request.sent_at + request.timeout - seen.at
            held = self._was_paused(request.node, seen.at - 0.2, seen.at)
            if seen.timeout > max(left, 0.0) + DEADLINE_SLACK and not held:
                what = f"{seen.id} told {seen.timeout:.3f} s, its client has {left:.3f} s left"
                self._add("deadline", what, timed=True)
            runs[seen.id] += 1
        if kind.retry_safety != "unsafe":
            return
        for part, count in runs.items():
            ran = count - len(self._skipped[part])
            if ran > 1:
                self._add(
                    "duplicate", f"unsafe {part} sent {count} times, {len(self._skipped[part])} skipped"
                )
            if ran > 0 and request.status in (429, 503):
                self._add("duplicate", f"{request.id} refused though {part} may have run")

    def _was_paused(self, node: int, since: float, until: float) -> bool:
        """Whether a node was stopped at some time in a span."""
        return any(n == node and start < until and end > since for start, end, n in self._ledger.pauses)

    def _check_drains(self) -> None:
        closed: dict[int, float] = {}
        changes = sorted(self._ledger.endpoint_changes)
        for seen in sorted(self._ledger.parts, key=lambda part: part.at):
            while changes and changes[0][0] <= seen.at:
                at, replica, health = changes.pop(0)
                if health == "SERVING":
                    closed.pop(replica, None)
                else:
                    closed.setdefault(replica, at)
            told = closed.get(seen.replica)
            if told is not None and seen.at > told + GRACE and not self._was_paused(seen.node, told, seen.at):
                what = f"{seen.id} to replica {seen.replica} {seen.at - told:.3f} s after it was told"
                self._add("drain", what, timed=True)

    # ---- partial answers

    def _check_second_step(self, request: Request, kind: ClassPlan) -> None:
        """What second steps say of the first: each part of them names the shards that were in."""
        steps = [seen for seen in self._parts[request.id] if seen.id.endswith(".b")]
        if not steps:
            return
        self.second_steps += 1
        if len({(seen.fields["from"], seen.fields["whole"]) for seen in steps}) != 1:
            self._add("partial", f"{request.id}: second steps of one request rest on different answers")
        for seen in steps:
            shards = [int(word) for word in seen.fields["from"].split("+") if word]
            missing = [s for s in shards if self._served.get(f"{request.id}.{s}", float("inf")) > seen.at]
            if missing or len(set(shards)) != len(shards):
                self._add("partial", f"{seen.id}: from names {missing}, which have not answered")
            share = sum(request.weights.get(s, 0.0) for s in shards)
            if share < min(kind.required_coverage, kind.complete_coverage) - SUM_SLACK:
                self._add("partial", f"{seen.id}: second step from {share:.4f} of the weight")
            if seen.fields["whole"] == "1" and share < kind.complete_coverage - SUM_SLACK:
                self._add("partial", f"{seen.id}: first step marked whole at {share:.4f}")
            best = sorted(shards, key=lambda s: (-score_of(f"{request.id}.{s}"), s))[: kind.second_step_parts]
            if seen.shard not in best:
                self._add("partial", f"{seen.id}: shard {seen.shard} is not of the highest scores {best}")

    def _check_answer(self, request: Request, kind: ClassPlan) -> None:
        suffix = ".b" if kind.second_step_parts else ""
        for shard, cell in request.pieces.items():
            part = f"{request.id}.{shard}{suffix}"
            if cell != cell_of(part) or self._served.get(part, float("inf")) > request.answered_at:
                self._add("lost", f"{part}: served with a value that no replica gave")
        if kind.second_step_parts:
            self._check_two_steps(request, kind)
            return
        share = sum(request.weights.get(shard, 0.0) for shard in request.pieces)
        if share < min(kind.required_coverage, kind.complete_coverage) - SUM_SLACK:
            self._add("partial", f"{request.id}: answered from {share:.4f}, least {kind.required_coverage}")
        if request.full and share < kind.complete_coverage - SUM_SLACK:
            self._add("partial", f"{request.id}: marked whole at {share:.4f}, whole {kind.complete_coverage}")
        self.short += not request.full

    def _check_two_steps(self, request: Request, kind: ClassPlan) -> None:
        steps = [seen for seen in self._parts[request.id] if seen.id.endswith(".b")]
        if not steps:
            count = len(request.pieces)
            self._add(
                "partial", f"{request.id}: {count} pieces, full={request.full}, and no second step was asked"
            )
            return
        first = [word for word in steps[0].fields["from"].split("+") if word]
        wanted = min(kind.second_step_parts, len(first))
        share = len(request.pieces) / wanted
        need = kind.required_coverage if kind.required_coverage < kind.complete_coverage else 1.0
        if share < need - SUM_SLACK:
            self._add("partial", f"{request.id}: {share:.4f} of the second step, {need} is the least")
        if request.full and (share < 1.0 - SUM_SLACK or steps[0].fields["whole"] != "1"):
            self._add("partial", f"{request.id}: marked whole with {share:.4f} of the second step")
        self.short += not request.full
