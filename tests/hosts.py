"""A minimal host for the decision engine: feeds events by hand, and raises if an action breaks a rule."""

from __future__ import annotations

from collections import defaultdict
from math import inf

from gingervane import interface as api
from gingervane.decisions.engine import DecisionEngine
from gingervane.decisions.latency import MAX_QUEUEING_RATIO
from gingervane.decisions.watch_options import DEFAULT_WATCH_OPTIONS, WatchOptions

ANSWER_GRACE = 0.02  # seconds after a query's deadline in which an answer is still accepted
OK, READY = api.AttemptOutcome.OK, api.ReplicaState.READY


def query_class(
    aim: float = 2.0,
    deadline: float = 6.0,
    semantics: api.RetrySafety = api.RetrySafety.IDEMPOTENT,
    window: float | None = None,
    second: int = 0,
    least: float = 1.0,
    whole: float = 1.0,
    late: float = 0.0,
    short: float = 1.0,
) -> api.QueryClass:
    """A query class from short names for its fields.

    `aim`: latency objective in seconds. `semantics`: retry safety. `window`: idempotency window in seconds.
    `second`: parts of the second step. `least` and `whole`: required and complete coverage. `late` and
    `short`: values of a late and of a partial answer.
    """
    return api.QueryClass(aim, deadline, semantics, window, second, least, whole, None, late, short)


BASE = api.Settings(
    coordinator_count=3,
    zone=0,
    query_classes=(query_class(),),
    tenant_quotas=(),
    timer_granularity=0.005,
    cell_count=1,
    cells_per_replica=1,
    max_parts_per_request=1,
    max_attempts=3,
    cancellation_allowed=True,
    gossip_allowed=False,
    hedging_allowed=True,
    retry_after_allowed=True,
    max_retry_after=1.0,
    membership_polled=False,
    slow_start_capacity=0.2,
    slow_start_duration=16.0,
    overload_window=2.0,
    overload_multiple=4.0,
    retry_budget_free=None,
    retry_budget_share=None,
    retry_budget_window=None,
)


def replica(
    number: int,
    cell: int = 0,
    zone: int = 0,
    state: api.ReplicaState = READY,
    started: float = 0.0,
) -> api.Replica:
    return api.Replica(number, cell, zone, 1.0, state, started)


class RuleViolationError(AssertionError):
    """An action that breaks a rule of the co-ordinator."""


class Host:
    """Drives one decision engine; time advances only when a test advances it."""

    def __init__(
        self,
        settings: api.Settings = BASE,
        replicas: int = 3,
        seed: int = 1,
        watch_options: WatchOptions = DEFAULT_WATCH_OPTIONS,
    ) -> None:
        self.settings, self.now, self.paused_until = settings, 1000.0, 0.0
        self.engine = DecisionEngine(settings, seed, watch_options)
        self.timers: list[tuple[float, int]] = []  # due time and label
        # By query id: its class, its deadline, the parts of its current step, and the action that ended it.
        self.classes: dict[int, int] = {}
        self.expires: dict[int, float] = {}
        self.query_of: dict[int, int] = {}  # by part id
        self.step_parts: dict[int, list[int]] = {}
        self.weight: dict[int, float] = {}  # by part id
        self.shard: dict[int, int] = {}  # by part id
        self.ended: dict[int, api.Action] = {}
        self.current_step: dict[int, int] = defaultdict(lambda: 1)  # by query id
        self.first_step_complete: dict[int, bool] = {}
        self.received_parts: set[int] = set()
        self.sends: dict[int, list[tuple[float, int]]] = defaultdict(
            list
        )  # by part id: times and replica ids
        # By part id and attempt number: outcomes, and the replica ids of attempts that have not ended.
        self.results: dict[tuple[int, int], api.AttemptOutcome] = {}
        self.open_attempts: dict[tuple[int, int], int] = {}
        self.cancelled: list[tuple[int, int]] = []  # part ids and attempt numbers
        self.further_attempt_times: list[float] = []
        self.arrival_times: list[float] = []
        self.listed_replicas: dict[int, api.Replica] = {}
        self.log: list[api.Action] = []
        self.next_id, self.next_query = 1, 0
        rows = tuple(replica(10 + i, cell=i % settings.cell_count, zone=i) for i in range(replicas))
        self.update_membership(api.MembershipUpdateKind.CACHED, *rows)

    # ---- feeding

    def feed(self, *events: api.Event) -> list[api.Action]:
        actions = self.engine.handle(self.now, events)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def update_membership(self, kind: api.MembershipUpdateKind, *rows: api.Replica) -> list[api.Action]:
        if kind in (api.MembershipUpdateKind.FULL, api.MembershipUpdateKind.CACHED):
            listed_ids = {row.id for row in rows}
            for number, row in self.listed_replicas.items():
                if number not in listed_ids:
                    self.listed_replicas[number] = row._replace(state=api.ReplicaState.GONE)
        for row in rows:
            self.listed_replicas[row.id] = row
        return self.feed(api.MembershipChanged(kind, rows))

    def query(
        self,
        *shards: int,
        query_class: int = 0,
        time: float | None = None,
        tenant: int = 0,
        is_client_retry: bool = False,
    ) -> int:
        number, self.next_query = self.next_query, self.next_query + 1
        query, self.next_id = self.next_id, self.next_id + 1
        kind = self.settings.query_classes[query_class]
        self.classes[query] = query_class
        self.expires[query] = self.now + (kind.deadline if time is None else time)
        self.arrival_times.append(self.now)
        count, expires = len(shards), self.expires[query]
        arrival = api.QueryArrived(query, number, query_class, tenant, count, expires, is_client_retry, 0.0)
        self.feed(arrival, *self.make_parts(query, number, shards))
        return query

    def make_parts(self, query: int, number: int, shards: tuple[int, ...]) -> list[api.PartArrived]:
        self.step_parts[query], events = [], []
        for shard in shards:
            part, self.next_id = self.next_id, self.next_id + 1
            self.query_of[part], self.weight[part], self.shard[part] = query, 1 / len(shards), shard
            self.step_parts[query].append(part)
            self.arrival_times.append(self.now)
            events.append(api.PartArrived(part, number, shard, 1 / len(shards)))
        return events

    def finish(self, part: int, outcome: api.AttemptOutcome = OK, attempt: int = 0) -> list[api.Action]:
        replica_id = self.open_attempts.pop((part, attempt))
        self.results[part, attempt] = outcome
        if outcome is OK:
            self.received_parts.add(part)
        latency = self.now - self.sends[part][attempt][0]
        return self.feed(api.AttemptEnded(part, attempt, replica_id, outcome, latency))

    def wait(self, seconds: float) -> list[api.Action]:
        """Advance time and fire due timers, one per batch; cancelled attempts end in the next batch."""
        until, fired_actions = self.now + seconds, list[api.Action]()
        while True:
            for key in [k for k in self.cancelled if k in self.open_attempts]:
                fired_actions += self.finish(key[0], api.AttemptOutcome.CANCELLED, key[1])
            due = min((t for t in self.timers if t[0] <= until), default=None)
            if due is None:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            fired_actions += self.feed(api.TimerFired(due[1]))
        self.now = until
        return fired_actions

    def pause_process(self, seconds: float) -> list[api.Action]:
        """Pause the co-ordinator; all timers that became due meanwhile then fire in one batch."""
        self.now += seconds
        self.paused_until = self.now
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        return self.feed(*(api.TimerFired(label) for _, label in due))

    def warm_up(self, count: int = 40, latency: float = 0.1) -> None:
        """Answer enough queries for the latency percentiles to be estimated."""
        for i in range(count):
            query = self.query(i % self.settings.cell_count)
            part = self.step_parts[query][0]
            self.wait(latency)
            self.finish(part)
            self.wait(0.05)

    def set_mean_latency(self, seconds: float) -> None:
        """Have the engine take this for the mean latency of the latest parts of its first class."""
        latency = self.engine.latency
        latency.mean_latency, latency.mean_latency_at = seconds, self.now
        if latency.baseline[0] < inf:
            latency.mean_ratio = seconds / latency.baseline[0]
            latency.mean_queueing_ratio = min(latency.mean_ratio, MAX_QUEUEING_RATIO)

    def where(self, part: int, attempt: int = 0) -> int:
        """The id of the replica to which an attempt was sent."""
        return self.sends[part][attempt][1]

    # ---- the rules

    def _check(self, action: api.Action) -> None:
        match action:
            case api.Send(part, replica_id, expires_at):
                self._check_send(part, replica_id, expires_at)
            case api.Answer(query, complete):
                self._check_answer(query, complete)
            case api.Reject(query, _) | api.Fail(query):
                self._end(query, action)
                if isinstance(action, api.Reject):
                    self._check_refusal(query)
            case api.Cancel(part, attempt):
                if attempt >= len(self.sends[part]) or not self.settings.cancellation_allowed:
                    raise RuleViolationError("cancelled an unknown attempt, or cancellation is not allowed")
                self.cancelled.append((part, attempt))
            case api.SetTimer(delay, label):
                self.timers.append((self.now + delay, label))

    def _end(self, query: int, action: api.Action) -> None:
        if query in self.ended:
            raise RuleViolationError(f"query {query} completed twice")
        if self.now > self.expires[query] + ANSWER_GRACE and self.now != self.paused_until:
            raise RuleViolationError(f"query {query} completed after its deadline")
        self.ended[query] = action

    def possible_run_times(self, part: int) -> list[float]:
        """Send times of the attempts that may have run."""
        return [
            at
            for n, (at, _) in enumerate(self.sends[part])
            if (part, n) not in self.results or not self.results[part, n].never_ran
        ]

    def attempts_possibly_sent(self, part: int) -> int:
        """Number of attempts not known to be unsent: the platform counts the attempts that reach replicas."""
        never_sent = api.AttemptOutcome.NEVER_SENT
        return sum(self.results.get((part, n)) is not never_sent for n in range(len(self.sends[part])))

    def _check_refusal(self, query: int) -> None:
        kind = self.settings.query_classes[self.classes[query]]
        parts = [p for p, q in self.query_of.items() if q == query]
        if kind.retry_safety is api.RetrySafety.NOT_IDEMPOTENT and any(
            self.possible_run_times(p) for p in parts
        ):
            raise RuleViolationError("rejected an unsafe query of which a part may have run")

    def _check_send(self, part: int, replica_id: int, expires_at: float) -> None:
        query, now = self.query_of[part], self.now
        kind = self.settings.query_classes[self.classes[query]]
        if query in self.ended or part in self.received_parts or part not in self.step_parts[query]:
            raise RuleViolationError("sent a part that is already completed")
        if self.listed_replicas[replica_id].state is not READY:
            raise RuleViolationError("sent to a replica that is draining or gone")
        candidate_cells = {
            (self.shard[part] + j) % self.settings.cell_count for j in range(self.settings.cells_per_replica)
        }
        if self.listed_replicas[replica_id].cell not in candidate_cells:
            raise RuleViolationError("sent to a replica that does not hold the shard")
        run_times = self.possible_run_times(part)
        if kind.retry_safety is api.RetrySafety.NOT_IDEMPOTENT and run_times:
            raise RuleViolationError("sent an unsafe part again that may have run")
        if (
            kind.retry_safety is api.RetrySafety.IDEMPOTENCY_KEY
            and run_times
            and now > run_times[0] + (kind.idempotency_window or 0.0)
        ):
            raise RuleViolationError("sent a keyed part again after its idempotency window")
        if not self.settings.hedging_allowed and any(key[0] == part for key in self.open_attempts):
            raise RuleViolationError("sent a hedged request although hedging is not allowed")
        if (
            self.attempts_possibly_sent(part) >= self.settings.max_attempts
            or expires_at > self.expires[query]
        ):
            raise RuleViolationError("too many attempts, or a timeout after the query's deadline")
        if self.sends[part]:
            self.further_attempt_times.append(now)
            window = self.settings.retry_budget_window
            if window is not None:
                sent = sum(at > now - window for at in self.further_attempt_times)
                requests_received = sum(at > now - window for at in self.arrival_times)
                if (
                    sent
                    > (self.settings.retry_budget_free or 0)
                    + (self.settings.retry_budget_share or 0) * requests_received
                ):
                    raise RuleViolationError("exceeded the retry budget")
        self.open_attempts[part, len(self.sends[part])] = replica_id
        self.sends[part].append((now, replica_id))

    def _check_answer(self, query: int, complete: bool) -> None:
        kind, parts = self.settings.query_classes[self.classes[query]], self.step_parts[query]
        weight = sum(self.weight[p] for p in parts if p in self.received_parts)
        step = self.current_step[query]
        if weight < min(kind.required_coverage, kind.complete_coverage) - 1e-4 and step == 1:
            raise RuleViolationError("answered below the required coverage")
        required = kind.complete_coverage if step == 1 else 1.0
        if complete and (weight < required - 1e-4 or not self.first_step_complete.get(query, True)):
            raise RuleViolationError("marked an incomplete answer as complete")
        if kind.second_step_parts and step == 1:
            self.current_step[query], self.first_step_complete[query], self.step_parts[query] = (
                2,
                complete,
                [],
            )
        else:
            self._end(query, api.Answer(query, complete))
