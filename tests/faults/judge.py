"""Checks the rules on the traffic recorded at clients and replicas; uses no log, metric or report of a node."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from math import inf

from faults.bad_clients import BAD_PREFIX
from faults.ledger import EndpointChange, Ledger, NodeRun, PartReceived, Request
from faults.plans import ClassPlan, Plan
from faults.replicas import score_of, value_of

WEIGHT_SUM_TOLERANCE = 1e-4  # the platform's tolerance for sums of weights
# An answer that misses its deadline by less than this earns nothing, but breaks no rule.
LATE_ANSWER_TOLERANCE_SECONDS = 0.5
# A part may still arrive this long after the answer, or after the client closed.
PART_AFTER_END_TOLERANCE_SECONDS = 0.1
DEADLINE_TOLERANCE_SECONDS = 0.15  # a part's timeout may exceed the client's remaining time by this much
# Seconds in which parts may still be sent after a node was notified that a replica drains or is gone.
DRAIN_GRACE_SECONDS = 0.5 + 0.05 + 0.15
# Seconds after which a node counts as notified of a change, provided that discovery can be reached.
NOTIFIED_WITHIN_SECONDS = 6.0
WAKE_UP_SECONDS = 0.005  # time that a thread of the rig takes to wake up, in addition to its longest stall
# A client may see its connection end this long before the kill is recorded.
KILL_RECORDING_TOLERANCE_SECONDS = 0.05


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
        self.second_steps = self.partial_answers = 0
        self.races = Counter[str]()  # by kind: how often two events raced
        self._parts: dict[str, list[PartReceived]] = defaultdict(list)
        for received in ledger.parts:
            self._parts[received.id.partition(".")[0]].append(received)
            self.races["part whose time is not exact"] += received.earliest < received.at
        self._served_at: dict[str, float] = {}
        self._skipped_at: dict[str, list[float]] = defaultdict(list)
        for answer in ledger.answers:
            if answer.end == "served" and answer.value == value_of(answer.id):
                self._served_at.setdefault(answer.id, answer.at)
            elif answer.end == "skipped":
                self._skipped_at[answer.id].append(answer.at)

    def check(self) -> list[Violation]:
        known_ids = {request.id for request in self._ledger.requests}
        for request in self._ledger.requests:
            class_plan = self._plan.classes[request.query_class]
            self._check_outcome(request)
            self._check_parts(request, class_plan)
            self._check_second_step(request, class_plan)
            if request.status == 200:
                self._check_answer(request, class_plan)
        for received in self._ledger.parts:
            name = received.id.partition(".")[0]
            if name not in known_ids and not name.startswith(BAD_PREFIX):
                self._add("void", f"part {received.id} that no client asked for")
        self._check_drains()
        self._check_memory()
        self._check_repeated_ids()
        return self.violations

    def _add(self, rule: str, description: str, timed: bool = False) -> None:
        self.violations.append(Violation(rule, description, timed))

    def _check_memory(self) -> None:
        for run in self._ledger.runs:
            if run.peak_memory_mb > self._plan.memory_mb:
                description = f"node {run.node} took {run.peak_memory_mb:.1f} of {self._plan.memory_mb} MB"
                self._add("memory", description)

    def _check_repeated_ids(self) -> None:
        """Check that no process sent a part of an unsafe id twice for a client that had left and sent it again."""
        runs = Counter(
            (received.id, received.node, self._ledger.run_of(received.node, received.at).started_at)
            for received in self._ledger.parts
            if received.id.startswith(f"{BAD_PREFIX}repeated-ids")
        )
        for (part, node, _), count in runs.items():
            executions = count - len(self._skipped_at[part])
            if executions > 1:
                self._add(
                    "duplicate", f"unsafe {part} of a client that left sent {count} times by node {node}"
                )

    # ---- one final answer

    def _check_outcome(self, request: Request) -> None:
        if request.disconnected_at is not None:
            return
        run = self._ledger.run_of(request.node, request.sent_at)
        elapsed = request.answered_at - request.sent_at
        if request.status:
            if elapsed > request.timeout + LATE_ANSWER_TOLERANCE_SECONDS:
                lateness = elapsed - request.timeout
                self._add("lost", f"{request.id}: answered {lateness:.3f} s late", timed=True)
        elif self._should_have_been_answered(request, run):
            self._add("lost", f"{request.id}: {request.ended} after {elapsed:.3f} s of {request.timeout:g}")

    def _should_have_been_answered(self, request: Request, run: NodeRun) -> bool:
        """Return whether a request that got no answer should have had one.

        A request that the node has not read is sent again to another node. A node that sent parts of a request
        has read it. A request that was open at SIGKILL needs an answer only if SIGTERM came first.
        """
        if (
            request.answered_at > run.killed_at - KILL_RECORDING_TOLERANCE_SECONDS
            and run.terminated_at == inf
        ):
            return False
        if self._parts[request.id] or request.ended.startswith("TimeoutError"):
            return True
        # The node did not read the request: its process had ended, or it closed the connection at the same time, in
        # a graceful shutdown or to make room among many idle clients.
        of_ended_process = request.connected_at < run.started_at
        if of_ended_process or request.sent_at >= run.terminated_at + 0.5 or self._plan.is_crowded:
            self.races["request crossed the end of a connection"] += 1
            return False
        return True

    # ---- attempts

    def _check_parts(self, request: Request, class_plan: ClassPlan) -> None:
        end = (
            request.disconnected_at
            if request.disconnected_at is not None
            else request.answered_at or float("inf")
        )
        send_counts: dict[str, int] = defaultdict(int)
        for received in self._parts[request.id]:
            after = self._earliest(received) - end
            if after > PART_AFTER_END_TOLERANCE_SECONDS and not self._was_paused(
                request.node, end - 0.05, received.at
            ):
                self._add(
                    "lost", f"{received.id} sent {after:.3f} s after the end of its request", timed=True
                )
            remaining = request.sent_at + request.timeout - self._earliest(received)
            was_paused = self._was_paused(request.node, received.at - 0.2, received.at)
            if received.timeout > max(remaining, 0.0) + DEADLINE_TOLERANCE_SECONDS and not was_paused:
                description = (
                    f"{received.id} told {received.timeout:.3f} s, its client has {remaining:.3f} s left"
                )
                self._add("deadline", description, timed=True)
            send_counts[received.id] += 1
        if class_plan.retry_safety != "unsafe":
            return
        for part, count in send_counts.items():
            executions = count - len(self._skipped_at[part])
            if executions > 1:
                self._add(
                    "duplicate", f"unsafe {part} sent {count} times, {len(self._skipped_at[part])} skipped"
                )
            if executions > 0 and request.status in (429, 503):
                self._add("duplicate", f"{request.id} refused though {part} may have run")

    def _earliest(self, received: PartReceived) -> float:
        """Return the earliest time at which a part can have arrived: its time, if that is exact."""
        return max(received.earliest, received.woke_at - self._ledger.longest_stall - WAKE_UP_SECONDS)

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
        for received in self._ledger.parts:
            before = [change for change in changes[received.replica] if change.at <= self._earliest(received)]
            if not before or before[-1].health == "SERVING":
                continue
            if self._may_serve_again(changes[received.replica], received):
                continue
            first = next(c for c in reversed(before) if c is before[0] or self._serves_before(before, c))
            self._check_drained_part(received, first)

    def _may_serve_again(self, changes: list[EndpointChange], received: PartReceived) -> bool:
        """Return whether a replica served again between the earliest and the latest time of a part's arrival."""
        earliest = self._earliest(received)
        return any(change.health == "SERVING" and earliest < change.at <= received.at for change in changes)

    @staticmethod
    def _serves_before(changes: list[EndpointChange], change: EndpointChange) -> bool:
        """Return whether the replica served up to this change, so that it starts a drain or a removal."""
        previous = changes[changes.index(change) - 1]
        return previous.health == "SERVING"

    def _check_drained_part(self, received: PartReceived, change: EndpointChange) -> None:
        notified_at = self._notified_at(received.node, received.at, change)
        earliest = self._earliest(received)
        if earliest <= notified_at + DRAIN_GRACE_SECONDS:
            return
        self.races["part to a drained replica"] += 1
        if not self._was_paused(received.node, notified_at, received.at):
            description = (
                f"{received.id} to replica {received.replica} {earliest - notified_at:.3f} s "
                f"after node {received.node} was told"
            )
            self._add("drain", description, timed=True)

    def _notified_at(self, node: int, at: float, change: EndpointChange) -> float:
        """Return when the process that a node had at `at` counts as notified of a change.

        The process is notified once discovery has written the change to it. It counts as notified at the
        latest `NOTIFIED_WITHIN_SECONDS` after discovery had the change and could be reached, even if the
        change did not arrive. For a process that was started later, this period begins at its start. If the
        list in its configuration had the change, the process was notified at its start.
        """
        run = self._ledger.run_of(node, at)
        if run.known_version >= change.version:
            return run.started_at
        reachable_offset = self._plan.discovery.reachable_from(change.at - self._ledger.discovery_began_at)
        reachable_at = self._ledger.discovery_began_at + reachable_offset
        latest = max(reachable_at, run.started_at) + NOTIFIED_WITHIN_SECONDS
        written = [
            item.at
            for item in self._ledger.lists
            if item.node == node and item.called_at >= run.started_at and item.version >= change.version
        ]
        return min([latest, *written])

    # ---- partial answers

    def _check_second_step(self, request: Request, class_plan: ClassPlan) -> None:
        """Check the `from` field of second-step parts: it names the shards that answered the first step."""
        steps = [received for received in self._parts[request.id] if received.id.endswith(".b")]
        if not steps:
            return
        self.second_steps += 1
        if len({(received.fields["from"], received.fields["whole"]) for received in steps}) != 1:
            self._add("partial", f"{request.id}: second steps of one request rest on different answers")
        for received in steps:
            shards = [int(word) for word in received.fields["from"].split("+") if word]
            missing = [
                s for s in shards if self._served_at.get(f"{request.id}.{s}", float("inf")) > received.at
            ]
            if missing or len(set(shards)) != len(shards):
                self._add("partial", f"{received.id}: from names {missing}, which have not answered")
            share = sum(request.weights.get(s, 0.0) for s in shards)
            if share < min(class_plan.required_coverage, class_plan.complete_coverage) - WEIGHT_SUM_TOLERANCE:
                self._add("partial", f"{received.id}: second step from {share:.4f} of the weight")
            if (
                received.fields["whole"] == "1"
                and share < class_plan.complete_coverage - WEIGHT_SUM_TOLERANCE
            ):
                self._add("partial", f"{received.id}: first step marked whole at {share:.4f}")
            best = sorted(shards, key=lambda s: (-score_of(f"{request.id}.{s}"), s))[
                : class_plan.second_step_parts
            ]
            if received.shard not in best:
                self._add(
                    "partial", f"{received.id}: shard {received.shard} is not of the highest scores {best}"
                )

    def _check_answer(self, request: Request, class_plan: ClassPlan) -> None:
        suffix = ".b" if class_plan.second_step_parts else ""
        for shard, value in request.pieces.items():
            part = f"{request.id}.{shard}{suffix}"
            lateness = self._served_at.get(part, float("inf")) - request.answered_at
            if value != value_of(part) or lateness > 0:
                correctness = "the right" if value == value_of(part) else "a wrong"
                description = (
                    f"{part}: served with {correctness} value, "
                    f"which came from a replica {lateness:.6f} s after the answer"
                )
                self._add("lost", description)
        if class_plan.second_step_parts:
            self._check_two_steps(request, class_plan)
            return
        share = sum(request.weights.get(shard, 0.0) for shard in request.pieces)
        if share < min(class_plan.required_coverage, class_plan.complete_coverage) - WEIGHT_SUM_TOLERANCE:
            self._add(
                "partial", f"{request.id}: answered from {share:.4f}, least {class_plan.required_coverage}"
            )
        if request.full and share < class_plan.complete_coverage - WEIGHT_SUM_TOLERANCE:
            self._add(
                "partial", f"{request.id}: marked whole at {share:.4f}, whole {class_plan.complete_coverage}"
            )
        self.partial_answers += not request.full

    def _check_two_steps(self, request: Request, class_plan: ClassPlan) -> None:
        steps = [received for received in self._parts[request.id] if received.id.endswith(".b")]
        if not steps:
            count = len(request.pieces)
            self._add(
                "partial", f"{request.id}: {count} pieces, full={request.full}, and no second step was asked"
            )
            return
        first = [word for word in steps[0].fields["from"].split("+") if word]
        expected_count = min(class_plan.second_step_parts, len(first))
        share = len(request.pieces) / expected_count
        required_share = (
            class_plan.required_coverage
            if class_plan.required_coverage < class_plan.complete_coverage
            else 1.0
        )
        if share < required_share - WEIGHT_SUM_TOLERANCE:
            self._add(
                "partial", f"{request.id}: {share:.4f} of the second step, {required_share} is the least"
            )
        if request.full and (share < 1.0 - WEIGHT_SUM_TOLERANCE or steps[0].fields["whole"] != "1"):
            self._add("partial", f"{request.id}: marked whole with {share:.4f} of the second step")
        self.partial_answers += not request.full
