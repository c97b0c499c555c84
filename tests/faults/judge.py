"""Checks the rules on the traffic recorded at clients and replicas; uses no log, metric or report of a node."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from math import inf

from faults.ledger import EndpointChange, Ledger, NodeRun, PartReceived, Request
from faults.plans import ClassPlan, Plan
from faults.replicas import cell_of, score_of

SUM_SLACK = 1e-4  # the platform's tolerance for sums of weights
LATE = 0.5  # past its deadline, an answer that is late by less earns nothing but breaks no rule
AFTER_END = 0.1  # a part may still arrive this long after the answer, or after the client closed
DEADLINE_SLACK = 0.15  # by which a part's timeout may exceed the client's remaining time
GRACE = (
    0.5 + 0.05 + 0.15
)  # seconds in which parts may still be sent after a node was notified of a drain or removal
TOLD_WITHIN = 6.0  # seconds after which a node counts as notified of a change, if discovery could be reached
WAKE_UP = 0.005  # that a thread of the rig takes to wake up, in addition to its longest stall
KILL_CROSSING = 0.05  # by which a client may see its connection end before the kill is recorded


@dataclass(frozen=True)
class Violation:
    """One violation of a rule."""

    rule: str
    what: str
    timed: bool = False  # rests on about 0.1 s, which a machine short of processor time cannot keep


class RuleChecker:
    """Checks one run, and collects its violations."""

    def __init__(self, plan: Plan, ledger: Ledger) -> None:
        self._plan, self._ledger = plan, ledger
        self.violations: list[Violation] = []
        self.second_steps = self.short = 0
        self.crossings = Counter[str]()  # by kind: how often two events raced
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
        """Return whether a request that got no answer should have had one.

        A request that the node has not read is sent again elsewhere; a request had been read if parts of it were
        sent. Requests open at SIGKILL must have been answered only if SIGTERM preceded it.
        """
        if request.answered_at > run.killed_at - KILL_CROSSING and run.terminated_at == inf:
            return False
        if self._parts[request.id] or request.ended.startswith("TimeoutError"):
            return True
        # The node did not read the request: its process had ended, or it closed the connection at the same time, in
        # a graceful shutdown or to make room among many idle clients.
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
        """Return the earliest time at which a part can have arrived: its time, if that is exact."""
        return max(seen.earliest, seen.woke_at - self._ledger.longest_stall - WAKE_UP)

    def _was_paused(self, node: int, since: float, until: float) -> bool:
        """Return whether a node was paused at any time in a time span."""
        return any(n == node and start < until and end > since for start, end, n in self._ledger.pauses)

    def _check_drains(self) -> None:
        """Check that a replica that drains or is gone gets no parts, from the end of the grace until it serves again.

        The grace starts when the node is notified.
        """
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
        """Return whether the replica served up to this change, so that it starts a drain or a removal."""
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
        """Return when the process that a node had at `at` counts as notified of a change.

        It is notified once discovery has written the change to it, and at the latest `TOLD_WITHIN` after discovery
        had the change and could be reached, whether it arrived or not. For a process that was started later, that
        time counts from its start; if the list in its configuration had the change, it was notified at its start.
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
        """Check the `from` field of second-step parts: it names the shards that answered the first step."""
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
