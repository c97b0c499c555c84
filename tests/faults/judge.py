"""The rules, checked on what passed at clients and replicas. Nothing that a node says of itself is used."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from math import inf

from faults.ledger import EndpointChange, Ledger, NodeRun, PartReceived, Request
from faults.plans import ClassPlan, Plan
from faults.replicas import cell_of, score_of

SUM_SLACK = 1e-4  # of sums of weights, by the bench's page
LATE = 0.5  # seconds past a client's time in which an answer only earns nothing
AFTER_END = 0.1  # seconds after an answer, or after the client closed, in which a part may still arrive
DEADLINE_SLACK = 0.15  # seconds by which a replica may be told more than the client has left
GRACE = 0.5 + 0.05 + 0.15  # seconds after a node was told that a replica drains or is gone
TOLD_WITHIN = 6.0  # seconds after discovery had a change and could be reached, by when it counts as told
WAKE_UP = 0.005  # seconds that a thread of the rig takes to wake up, beside its longest stall
KILL_CROSSING = 0.05  # seconds by which a client sees the end of a connection before the kill is written down


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
        self.crossings = Counter[str]()  # how often two events came close enough to each other to matter
        self._parts: dict[str, list[PartReceived]] = defaultdict(list)
        for seen in ledger.parts:
            self._parts[seen.id.partition(".")[0]].append(seen)
            self.crossings["part whose time is not exact"] += seen.earliest < seen.at
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
        if request.disconnected_at is not None:
            return
        run = self._ledger.run_of(request.node, request.sent_at)
        took = request.answered_at - request.sent_at
        if request.status:
            if took > request.timeout + LATE:
                late = took - request.timeout
                self._add("lost", f"{request.id}: answered {late:.3f} s late", timed=True)
        elif self._was_owed(request, run):
            self._add("lost", f"{request.id}: {request.ended} after {took:.3f} s of {request.timeout:g}")

    def _was_owed(self, request: Request, run: NodeRun) -> bool:
        """Whether a request that got no answer should have had one.

        A request that has not been read is sent again elsewhere; one whose parts were seen had been read. What
        SIGKILL finds open is owed only where SIGTERM went before it.
        """
        if request.answered_at > run.killed_at - KILL_CROSSING and run.terminated_at == inf:
            return False
        if self._parts[request.id] or request.ended.startswith("TimeoutError"):
            return True
        # Nobody has read it: its connection was of a process that has ended, or a close crosses it at a graceful
        # end, or where a crowd has connections ended.
        of_ended_process = request.connected_at < run.started_at
        if of_ended_process or request.sent_at >= run.terminated_at + 0.5 or self._plan.crowds:
            self.crossings["request crossed the end of a connection"] += 1
            return False
        return True

    # ---- attempts

    def _check_parts(self, request: Request, kind: ClassPlan) -> None:
        end = (
            request.disconnected_at
            if request.disconnected_at is not None
            else request.answered_at or float("inf")
        )
        runs: dict[str, int] = defaultdict(int)
        for seen in self._parts[request.id]:
            after = self._earliest(seen) - end
            if after > AFTER_END and not self._was_paused(request.node, end - 0.05, seen.at):
                self._add("lost", f"{seen.id} sent {after:.3f} s after the end of its request", timed=True)
            left = request.sent_at + request.timeout - self._earliest(seen)
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

    def _earliest(self, seen: PartReceived) -> float:
        """The earliest moment at which a part can have come: its time, where that is exact."""
        return max(seen.earliest, seen.woke_at - self._ledger.longest_stall - WAKE_UP)

    def _was_paused(self, node: int, since: float, until: float) -> bool:
        """Whether a node was stopped at some time in a span."""
        return any(n == node and start < until and end > since for start, end, n in self._ledger.pauses)

    def _check_drains(self) -> None:
        """Nothing new to what drains or is gone, from the grace after the node was told until it serves again."""
        changes: dict[int, list[EndpointChange]] = defaultdict(list)
        for change in self._ledger.endpoint_changes:
            changes[change.replica].append(change)
        for seen in self._ledger.parts:
            before = [change for change in changes[seen.replica] if change.at <= self._earliest(seen)]
            if not before or before[-1].health == "SERVING":
                continue
            first = next(c for c in reversed(before) if c is before[0] or self._serves_before(before, c))
            self._check_drained_part(seen, first)

    @staticmethod
    def _serves_before(changes: list[EndpointChange], change: EndpointChange) -> bool:
        """Whether the replica served up to this change, which was its first word of draining or going."""
        previous = changes[changes.index(change) - 1]
        return previous.health == "SERVING"

    def _check_drained_part(self, seen: PartReceived, change: EndpointChange) -> None:
        told = self._told_at(seen.node, seen.at, change)
        earliest = self._earliest(seen)
        if earliest <= told + GRACE:
            return
        self.crossings["part to a drained replica"] += 1
        if not self._was_paused(seen.node, told, seen.at):
            what = (
                f"{seen.id} to replica {seen.replica} {earliest - told:.3f} s after node {seen.node} was told"
            )
            self._add("drain", what, timed=True)

    def _told_at(self, node: int, at: float, change: EndpointChange) -> float:
        """When the process that a node had at some moment counts as told of a change, by the pages' clock.

        Once discovery has written it to that process, and at the latest `TOLD_WITHIN` after discovery had it and
        could be reached, arrived or not. A process that was started later counts from its start; where the list in
        its configuration had the change, it was told then.
        """
        run = self._ledger.run_of(node, at)
        if run.known_version >= change.version:
            return run.started_at
        second = self._plan.discovery.reachable_from(change.at - self._ledger.discovery_began_at)
        reachable_at = self._ledger.discovery_began_at + second
        latest = max(reachable_at, run.started_at) + TOLD_WITHIN
        written = [
            item.at
            for item in self._ledger.lists
            if item.node == node and item.called_at >= run.started_at and item.version >= change.version
        ]
        return min([latest, *written])

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
            late = self._served.get(part, float("inf")) - request.answered_at
            if cell != cell_of(part) or late > 0:
                right = "the right" if cell == cell_of(part) else "a wrong"
                what = f"{part}: served with {right} value, which came from a replica {late:.6f} s after the answer"
                self._add("lost", what)
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
