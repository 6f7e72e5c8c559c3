"""The policy of one server, which turns rounds of events into decisions."""

from thistleline.interface import (
    CallEnded,
    CallRequested,
    ClientGone,
    DecisionSink,
    DrainRequested,
    EffectRemembered,
    PolicyEvent,
    RunEnded,
    ServerSettings,
    Task,
    TaskArrived,
    TimerFired,
)
from thistleline.policy.admission import Admission
from thistleline.policy.completion import Completion
from thistleline.policy.rejections import tolerable_unread_wait
from thistleline.policy.state import PolicyState
from thistleline.policy.tasks import TaskRecord
from thistleline.policy.tuning import LOAD_HINT_SHARE, SECOND, TICK, WINDOW


class Policy:
    """Makes all overload-control decisions of one server process.

    Attributes:
        settings: The server's settings.
        state: The state of admission control, overload detection and the other parts of the policy.
        load_hint: The last load hint published, as a priority rank; 0 before the first.
    """

    def __init__(self, settings: ServerSettings, seed: int, now: int) -> None:
        """Create the policy for a server that starts at `now`, ns; `seed` seeds its random numbers."""
        self.settings = settings
        self.state = PolicyState(settings, seed, now)
        self._completion = Completion(self.state)
        self._admission = Admission(self.state, self._completion)
        self._has_begun = False
        self._ticks = 0
        self.load_hint = 0.0

    @property
    def now(self) -> int:
        """The time of the last round, ns."""
        return self.state.now

    @property
    def tasks(self) -> dict[str, TaskRecord]:
        """The tasks that have not ended, by id."""
        return self.state.tasks.by_id

    @property
    def running(self) -> int:
        """The number of runs that were started and have not ended."""
        return self.state.tasks.running

    @property
    def memory_kb(self) -> float:
        """Memory used by the tasks that have not ended, kB."""
        return self.state.tasks.memory_kb

    @property
    def cap(self) -> float | None:
        """The rate cap, tasks per second; None while no cap applies."""
        return self.state.rate_cap.cap

    @property
    def accept_until(self) -> int | None:
        """While draining, the time in ns after which arriving tasks are not run; otherwise None."""
        return self.state.drain.accept_until

    def round(self, now: int, events: list[PolicyEvent], out: DecisionSink) -> None:
        """Process all events since the last round.

        The first round must have no events.

        Args:
            now: The time, ns.
            events: The events in order.
            out: Receives each decision at once.
        """
        self.state.now = now
        if not self._has_begun:
            self._has_begun = True
            out.set_health(True, True)
            out.set_timer("tick", TICK)
        arrived: list[Task] = []
        for event in events:
            match event:
                case TaskArrived(task):
                    arrived.append(task)
                case RunEnded(task_id, outcome, duration):
                    self._completion.run_ended(task_id, outcome, duration, out)
                case ClientGone(task_id):
                    self._completion.client_gone(task_id, out)
                case CallRequested(task_id):
                    self._completion.call_requested(task_id)
                case CallEnded(task_id, outcome, _):
                    self._completion.call_ended(task_id, outcome, out)
                case EffectRemembered(task_id, expires_at):
                    self.state.idempotency.restore(task_id, expires_at)
                case DrainRequested(stop_at):
                    out.set_timer("shut", self.state.drain.begin(now, stop_at, self.settings))
                case TimerFired("shut"):
                    self._leave_fleet(out)
                case TimerFired(_, gauges):
                    self._tick(gauges, out)
        self._admission.process(arrived, out)
        self.state.downstream.start_calls(now, out)

    def _leave_fleet(self, out: DecisionSink) -> None:
        """Make clients use other servers while this one drains."""
        out.set_health(False, True)
        if self.settings.load_hint == "threshold":
            out.publish_load_hint(1.0)

    def _tick(self, gauges: dict[str, float], out: DecisionSink) -> None:
        out.set_timer("tick", TICK)
        self._sample(gauges)
        is_window_end = self._ticks % WINDOW == 0
        if is_window_end:
            self._control(out)
        self._completion.answer_due(out)
        if is_window_end:
            self.state.idempotency.expire(self.state.now)

    def _sample(self, gauges: dict[str, float]) -> None:
        """Take a sample for the detectors and adapt the concurrency limit."""
        state = self.state
        tasks = state.tasks
        detector = state.detector
        state.on_cores = gauges.get("on_cores", float(tasks.running))
        queued = tasks.by_id.values() if tasks.queue_length else ()
        detector.sample(state.now, state.on_cores, queued, state.estimator, state.slowdown())
        self._ticks += 1
        if self._ticks % WINDOW == 0:
            detector.close_window()
        state.concurrency.adapt(state.on_cores, tasks.running, tasks.queue_length, detector.peaks)

    def _control(self, out: DecisionSink) -> None:
        """Update rate cap, quotas, idle timeout, health, cutoff and load hint after a detector window."""
        state = self.state
        now = state.now
        is_firing = state.detector.is_firing(now, state.tasks.by_id.values())
        arrival_rate = state.shedder.arrival_rate(now)
        state.rate_cap.update(now, is_firing, state.detector.in_violation, arrival_rate)
        state.quotas.update(now)
        state.connections.update(state.shedder.is_retry_storm(now), out)
        self._update_cold_health(out)
        state.shedder.update_cutoff(now, state.rate_cap.cap)
        self._update_load_hint(out)

    def _update_cold_health(self, out: DecisionSink) -> None:
        """Report a cold server as unhealthy while it has a backlog of unread tasks.

        This removes the server from the clients' endpoint list. Prevents a cold server that replaces a warm
        one from receiving a warm server's traffic; could harm where a whole fleet starts at once.
        """
        state = self.state
        age = state.now - state.started_at
        warmup = self.settings.warmup_duration
        if self.settings.cold_start and age < warmup + SECOND and not state.drain.is_draining:
            tolerable_wait = tolerable_unread_wait(state.detector.least_objective)
            out.set_health(age > warmup or state.detector.unread_wait(state.now) <= tolerable_wait, True)

    def _update_load_hint(self, out: DecisionSink) -> None:
        if self.settings.load_hint != "threshold" or self.state.drain.is_draining:
            return
        load_hint = self.state.shedder.rank_at_cutoff() * LOAD_HINT_SHARE
        if load_hint != self.load_hint:
            self.load_hint = load_hint
            out.publish_load_hint(load_hint)
