"""Every decision, table and tuned value of thistleline.

One `Policy` lives in each server, from `Policy(settings, seed, now)` to the end of the process. The host
calls `round(now, events, out)` once at the start with no events and then once a round with all that came in
since, in order; decisions go straight into the writer `out`. Types and the writer: thistleline/interface.py.
The ordinary path of a task is `_pass`; the overload mechanism is `_sense`, `_steer` and `_cut_for`.
"""

from collections import Counter, deque
from itertools import islice, takewhile
from random import Random
from statistics import fmean, median_high

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

MS = 1_000_000
SECOND = 1_000 * MS

TICK = 25 * MS  # the detectors' timer; it also looks after the nearest time limit
WINDOW, HIGH, FIRE_AFTER = 8, 0.9, 3  # ticks a window, its percentile that counts, windows that make a firing
QUEUE_PER_CORE, INFLECTION = 2.0, 0.25  # in violation: run queue; part of a held task's spare time gone
FAST, SLOW = SECOND, 200  # span of the fast latency average; calm samples in the slow one
CROSSING, CALM_SAMPLES = 1.1, 12  # fast over slow latency that confirms; fewer calm samples are no history

SEED_SPAN, SAMPLES = 2 * SECOND, 8192  # throughput just before is counted over this; no span holds more
CUT_BACK, PROBE_STEP = 0.9, 1.1  # what a firing leaves of the cap, what a probe makes of it
PROBE_FIRST, PROBE_LAST = SECOND, 8 * SECOND
SETTLE, LIFT_AFTER = SECOND, 4 * SECOND  # a firing sooner is the old crowd's; calm this long lifts the cap
SHARE_SPAN, SHARE_SLACK = 4 * SECOND, 1.2  # an owner past this many times its share is beyond it
ARRIVALS_SPAN, WIDE_SPAN = 3 * SECOND, 6 * SECOND  # the latter for rejections that show a wide overload
BUCKETS, CUT_FALL = 16, SECOND  # user buckets a level; the cut comes down by buckets, a level in this long

START_CROWD, CROWD_WINDOWS = 1.5, 100  # running a core before there is history; calm windows remembered
CROWD_GUARD, MEMORY_GUARD = 0.7, 0.9  # parts of the crowd bound, at the present warmth, and of memory, used
PACE_SAMPLES, SLOWNESS_SAMPLES = 48, 8  # calm run times kept a stage; recent runs over these, all stages
TRUSTED, OVERTAKEN = 0.25, 1.5  # a pace's percentile that is trusted; of the time foreseen, for a stopped run
SAME_PATIENCE, HABIT = 0.01, 32  # of the time limit; one in so many tries alike makes a caller's habit
CALL_TRIES = 2  # for one run, the first included
CALL_SAMPLES, CALL_LEAST, CALL_MOST = 16, 2, 4  # calls remembered; patience of one over what they take
ANSWER_EARLY, LEAVE_EARLY = 2 * TICK, 200 * MS
GRACE_USED, STAY_USED = 0.9, 0.6  # parts of the grace and of the time to the stop that still take tasks
MANY = 6  # servers, of which the others take a leaving one's part at once
SAY_PART = 0.6  # of the cut; what callers withhold is unseen here, so the level stays well under it
UNREAD_BEARABLE, STAY_SHORT = 0.1, 200 * MS  # part of a due span unread, past that a jam; advice for no level
USUAL_PACE = 2.0  # median slowness under which a server is itself well
RETRY_BUDGET, STORM = 0.2, 0.5  # parts of arrivals: tries or rejected, so elsewhere is no better; tries alone
CALLERS_SEEN, SELDOM, IDLE_SHORT = 48, 0.5, SECOND  # of callers that seldom return: recent tasks, part, span
SHORT_HOLD = 1.45  # tasks waiting for a core under which no cut applies, over the root of the cores


class Effect:
    """One effect, however many tries ask for it: which try ran, which is held, which wait for the answer."""

    __slots__ = ("followers", "holder", "ran", "until")

    def __init__(self, until: int) -> None:
        self.ran = False
        self.holder: Exec | None = None
        self.followers: list[Exec] = []
        self.until = until


class Exec:
    """A task in hand: held, running, at a call, awaiting a repeat's answer, or answered but still working."""

    __slots__ = ("due", "effect", "limit", "place", "started", "state", "task", "tries", "until")

    def __init__(self, task: Task, due: int, limit: int, place: int) -> None:
        self.task, self.due, self.limit, self.place = task, due, limit, place
        self.until = limit - ANSWER_EARLY  # when it is answered in whatever state
        self.state = "held"
        self.started = 0
        self.tries = 0  # calls made
        self.effect: Effect | None = None


class Row:
    """What the module reads of a stage."""

    __slots__ = ("level", "pace", "stage", "usual")

    def __init__(self, settings: ServerSettings, place: int) -> None:
        self.stage = settings.stages[place]
        self.level = sorted({stage.utility for stage in settings.stages}).index(self.stage.utility)
        self.pace: deque[float] = deque(maxlen=PACE_SAMPLES)  # run time for each ns of hinted work
        self.usual = 0.0  # the trusted percentile of the pace


class Policy:
    def __init__(self, settings: ServerSettings, seed: int, now: int) -> None:
        self.settings = settings
        self.chance = Random(seed).random
        self.rows = [Row(settings, place) for place in range(len(settings.stages))]
        self.levels = max((row.level for row in self.rows), default=0) + 1
        self.short_hold = settings.cores + SHORT_HOLD * settings.cores**0.5
        self.latency_objective = min(stage.latency_objective for stage in settings.stages)
        self.begun = False
        self.born = self.now = now
        self.tasks: dict[str, Exec] = {}
        self.effects: dict[str, Effect] = {}
        self.entries: dict[str, int] = {}  # remembered fingerprints, each until when
        self.running = 0  # takes running memory and may stand on a core
        self.shut: int | None = None  # leaving: what reaches the machine later than this is not run
        self.leave_by = 0
        # detectors
        self.queue_samples, self.wait_samples = deque[float](maxlen=WINDOW), deque[float](maxlen=WINDOW)
        self.violations = [0, 0]
        self.latencies: deque[tuple[int, int]] = deque(maxlen=SLOW)
        self.calm: deque[int] = deque(maxlen=SLOW)
        self.peaks: deque[float] = deque(maxlen=CROWD_WINDOWS)
        self.unread: deque[tuple[int, int]] = deque(maxlen=64)  # when read, how long it had lain unread
        self.slowness: deque[float] = deque(maxlen=SLOWNESS_SAMPLES)  # recent runs over their usual pace
        self.waiting = 0  # held at the end of the last round, and taken since
        # cap and cut
        self.limit = float(settings.cores)
        self.finishes: deque[int] = deque(maxlen=SAMPLES)
        self.rejections: deque[tuple[int, int]] = deque(maxlen=SAMPLES)  # when, how old its next try will be
        self.arrivals = deque[tuple[int, int, bool]]()  # of the last span, looked through each window
        self.asked: list[deque[int]] = [
            deque(maxlen=SAMPLES) for _ in settings.tenants
        ]  # first tries by owner
        self.over = [0.0 for _ in settings.tenants]  # part of an owner's traffic that is beyond its share
        self.cap: float | None = None
        self.before_probe: float | None = None
        self.probe_wait = PROBE_FIRST
        self.changed = self.fired = now
        self.cut = self.idle_span = self.ticks = self.marked = 0
        self.memory = self.on_cores = self.said = 0.0
        self.patience: deque[float] = deque(maxlen=3 * HABIT)  # of first tries, as parts of the time limit
        self.callers: deque[int] = deque(maxlen=CALLERS_SEEN)
        # calls
        self.at_call: list[Exec] = []
        self.calls = deque[tuple[int, int]]()  # from, until of those over, a span back
        self.calling: dict[str, tuple[int, int]] = {}  # from, until when at the latest it is in hand below
        self.call_times: deque[int] = deque(maxlen=CALL_SAMPLES)

    # ---- a round

    def round(self, now: int, events: list[PolicyEvent], out: DecisionSink) -> None:
        self.now = now
        if not self.begun:
            self.begun = True
            out.set_health(True, True)
            out.set_timer("tick", TICK)
        fresh: list[Task] = []
        for event in events:
            match event:
                case TaskArrived(task):
                    fresh.append(task)
                case RunEnded(task_id, outcome, duration):
                    self._over(task_id, outcome, duration, out)
                case ClientGone(task_id):
                    self._gone(task_id, out)
                case CallRequested(task_id):
                    held = self.tasks.get(task_id)
                    if held is not None and held.state == "running":
                        held.state = "at_call"
                        self.at_call.append(held)
                case CallEnded(task_id, outcome, _):
                    self._call_over(task_id, outcome, out)
                case EffectRemembered(task_id, expires_at):
                    # Prevents an effect from running twice over a restart: it has run, whoever knows of it.
                    effect = self.effects[task_id] = Effect(expires_at)
                    effect.ran = True
                    self.entries[task_id] = expires_at
                case DrainRequested(stop_at):
                    # Callers learn late who leaves and who is new, and few others can't take one's part at
                    # once. Prevents cores idle through the grace while these and cold successors are jammed.
                    self.leave_by = stop_at
                    stay = min(GRACE_USED * self.settings.drain_grace, STAY_USED * (stop_at - now))
                    self.shut = now + int(stay)
                    out.set_timer("shut", self.shut - now if self.settings.fleet_size < MANY else MS)
                case TimerFired("shut"):
                    out.set_health(False, True)
                    if self.settings.load_hint == "threshold":
                        out.publish_load_hint(1.0)
                case TimerFired(_, gauges):
                    out.set_timer("tick", TICK)
                    self._sense(gauges)
                    self._steer(out)
                    self._answer_due(out)
        self._pass(fresh, out)
        self._make_calls(out)

    def _pass(self, fresh: list[Task], out: DecisionSink) -> None:
        """The ordinary path: read, cut or hold, then start the held by due time while there is room."""
        now, settings = self.now, self.settings
        for task in fresh:
            row = self.rows[task.stage]
            stage = row.stage
            limit = task.deadline if task.deadline is not None else task.arrived_at + stage.timeout
            due = (
                task.arrived_at
                + stage.latency_objective
                + int(stage.objective_per_work * (task.estimated_work or 0))
            )
            # Callers give their tries a usual part of the time limit and the last one what is left, so an
            # unusual part tells a try's age, under a cap even unmarked. Guards against running what can only
            # be late; could harm a caller of rare habits until enough of its tries were seen.
            again = task.is_retry
            if task.deadline is not None:
                part = (limit - task.arrived_at) / stage.timeout
                alike = sum(1 for seen in self.patience if abs(seen - part) < SAME_PATIENCE)
                told = (again or self.cap is not None) and len(self.patience) >= HABIT
                if told and alike * HABIT < len(self.patience):
                    again, due = True, due - int(stage.timeout * (1 - part))
                if not task.is_retry:
                    self.patience.append(part)
            # A marked try of untold age was most likely rejected where things are as they are here.
            if task.is_retry and due > task.arrived_at and self.rejections:
                ages = [age for _, age in islice(reversed(self.rejections), HABIT)]
                due = min(due, task.arrived_at + stage.latency_objective - median_high(ages))
            bucket = self._bucket(task)
            within = int(bucket >= self.over[task.tenant] * BUCKETS) if self.over else 1
            place = (2 * row.level + within) * BUCKETS + bucket
            held = Exec(task, min(due, limit), limit, place)
            self.tasks[task.id] = held
            self.memory += task.queued_memory_kb
            self.arrivals.append((now, place, again))
            self.marked += again
            self.callers.append(task.client)
            if not again and task.tenant < len(self.over):
                self.asked[task.tenant].append(now)
            self.unread.append((now, now - task.arrived_at))
            if stage.effect == "keyed" and self._joins(held, out):
                self.waiting += 1
                continue
            if stage.effect == "idempotent" and task.duplicate_of is not None:
                other = self.tasks.get(task.duplicate_of)
                if other is None or other.state == "running":
                    self._answer_from(held, out)
                    continue
            # A core free at once is proof of no overload now, whatever the cap learned a second ago. It
            # guards against a cut that outlives its crowd when callers shift between servers.
            idle = max(self.waiting + self.running, self.on_cores) < self.short_hold
            if limit - ANSWER_EARLY <= now or self._too_late_to_run(task) or (place < self.cut and not idle):
                self._reject(held, out)
            elif self._memory_short(settings.idempotency_key_kb if held.effect else 0.0):
                self._reject(held, out)  # memory: what was read last gives way, never the table of what ran
            else:
                self.waiting += 1
                if held.effect is not None:
                    self._remember(held, out)

        if not self.waiting:
            return
        times, room = self._times(), self._room()
        held_now = sorted((held for held in self.tasks.values() if held.state == "held"), key=_by_due)
        for held in held_now:
            if held.effect is not None and held.effect.holder is not held:
                continue
            probe = self.running == 0 and now < held.due
            hopeless = not probe and now + self._estimate(held.task, times) > held.due
            if hopeless or self._too_late_to_run(held.task):
                self._reject(held, out)  # cannot be answered in time to be worth anything
                continue
            if self.running < room and not self._memory_short(
                held.task.queued_memory_kb * (settings.running_memory_factor - 1)
            ):
                self._start(held, out)
        self.waiting = sum(1 for held in held_now if held.state == "held")

    def _bucket(self, task: Task) -> int:
        """The user's bucket, the same in every server and life: the hashed key, or the rank if keyless."""
        if task.user is not None:
            return (task.user * 0x9E3779B97F4A7C15 >> 40) % BUCKETS
        return int(task.priority_rank * len(self.rows) % 1 * BUCKETS)

    def _times(self) -> float:
        """How many times its usual pace a run should take: hopefully while there is room for all, soberly
        once a cap stands, when the room belongs to those that will make it. Guards against giving up on big
        tasks in quiet hours (waits off the cores do not grow with the work, so a middling pace overrates)."""
        slowness = sorted(self.slowness) or [1.0]
        return slowness[0 if self.cap is None else len(slowness) // 4]

    def _estimate(self, task: Task, times: float) -> int:
        return int(self.rows[task.stage].usual * times * (task.estimated_work or 1))

    def _room(self) -> int:
        """How many may run: the grown limit, under the crowd survived before and the guard for the cores."""
        settings = self.settings
        warmth = 1.0
        if settings.cold_start:
            age = (self.now - self.born) / max(1, settings.warmup_duration)
            warmth = min(1.0, settings.cold_speed_share + (1 - settings.cold_speed_share) * age)
        guard = settings.cores * (1 + (settings.max_concurrency_per_core - 1) * warmth) * CROWD_GUARD
        return max(1, int(min(self.limit, guard)))

    def _memory_short(self, more: float) -> bool:
        entries = len(self.entries) * self.settings.idempotency_key_kb
        return self.memory + entries + more > self.settings.memory_kb * MEMORY_GUARD

    def _too_late_to_run(self, task: Task) -> bool:
        """Guards the drain: nothing that came later than the grace is started, nor what can't end in time."""
        if self.shut is None:
            return False
        end = self.now + self._estimate(task, self._times())
        return task.arrived_at > self.shut or end > self.leave_by - LEAVE_EARLY

    def _start(self, held: Exec, out: DecisionSink) -> None:
        held.state, held.started = "running", self.now
        # Work that may run again and is worth nothing once late ends at its due time where it can be
        # stopped. Guards the cores against runs that a slowdown has overtaken.
        stage = self.rows[held.task.stage].stage
        if (
            self.settings.cancellation != "none"
            and stage.effect == "idempotent"
            and not stage.late_utility_share
        ):
            held.until = min(held.until, held.due)
        self.running += 1
        self.memory += held.task.queued_memory_kb * (self.settings.running_memory_factor - 1)
        out.start(held.task.id)
        if held.effect is not None:
            held.effect.ran = True
            for follower in held.effect.followers:
                self._answer_from(follower, out)
            held.effect.followers.clear()
        elif self.settings.cached_result_ttl and held.task.user is not None and not self._memory_short(0):
            self._keep(held.task.id, held.limit + self.settings.cached_result_ttl, out)

    # ---- detectors, cap and cut

    def _sense(self, gauges: dict[str, float]) -> None:
        """Run queue per core and hold wait, a window at a time; latency confirms."""
        now, settings = self.now, self.settings
        self.on_cores = gauges.get("on_cores", float(self.running))
        self.queue_samples.append(self.on_cores / settings.cores)
        # Rejected tasks never enter the hold, so the wait of the unread is told by those just read. Guards
        # against a jam of reading, which the run limit can't relieve and the hold doesn't show.
        worst = self._unread_wait() / self.latency_objective
        times = self._times()
        for held in self.tasks.values() if self.waiting else ():
            if held.state == "held":
                spare = held.due - self._estimate(held.task, times) - held.task.arrived_at
                worst = max(worst, (now - held.task.arrived_at) / max(spare, TICK))
        self.wait_samples.append(worst)
        self.ticks += 1
        if self.ticks % WINDOW == 0:
            watched = (self.queue_samples, QUEUE_PER_CORE), (self.wait_samples, INFLECTION)
            for place, (samples, bound) in enumerate(watched):
                high = sorted(samples)[int(HIGH * (len(samples) - 1))]
                self.violations[place] = self.violations[place] + 1 if high > bound else 0
            if self.violations == [0, 0]:
                self.peaks.append(max(self.queue_samples))
        if self.waiting and self.on_cores < settings.cores:
            self.limit = max(self.limit, self.running + settings.cores - self.on_cores)
        survived = max(self.peaks) if len(self.peaks) >= WINDOW else START_CROWD
        crowd = settings.cores * min(max(1.0, survived), START_CROWD)
        if self.on_cores > crowd:
            self.limit = max(float(settings.cores), min(self.limit, self.running) - 1)

    def _unread_wait(self) -> int:
        since = self.now - WINDOW * TICK
        recent = [waited for _, waited in takewhile(lambda read: read[0] > since, reversed(self.unread))]
        return median_high(recent) if recent else 0

    def _confirmed(self) -> bool:
        """Fast latency over the slow one. What is in hand counts by its age, so a standstill shows."""
        now = self.now
        slow = fmean(self.calm) if len(self.calm) >= CALM_SAMPLES else 0.0
        fast = [took for when, took in self.latencies if when > now - FAST]
        fast += [waited for when, waited in self.unread if when > now - FAST and waited > slow]
        ages = [
            now - held.task.arrived_at for held in self.tasks.values() if held.state in ("held", "running")
        ]
        fast += [age for age in ages if age > slow]
        if not slow:
            slow = fmean([row.stage.latency_objective for row in self.rows]) / 3
        return bool(fast) and fmean(fast) > slow * CROSSING

    def _arriving(self) -> float:
        while self.arrivals and self.arrivals[0][0] <= self.now - ARRIVALS_SPAN:
            self.marked -= self.arrivals.popleft()[2]
        return len(self.arrivals) * SECOND / ARRIVALS_SPAN

    def _steer(self, out: DecisionSink) -> None:
        """A confirmed firing seeds the cap; firings bring it down, calm probes it up and lifts it."""
        if self.ticks % WINDOW:
            return
        now = self.now
        throughput = sum(1 for when in self.finishes if when > now - SEED_SPAN) * SECOND / SEED_SPAN
        firing = max(self.violations) >= FIRE_AFTER and self._confirmed()
        if firing:
            self.fired = now
            if self.cap is None:
                self.cap = max(1.0, throughput)
                self.probe_wait = PROBE_FIRST
                self.before_probe = None
                self.changed = now
            elif now - self.changed >= SETTLE:
                if self.before_probe is not None:
                    self.cap = self.before_probe
                    self.probe_wait = min(PROBE_LAST, self.probe_wait * 2)
                    self.before_probe = None
                else:
                    self.cap = max(1.0, min(self.cap, throughput) * CUT_BACK)
                self.changed = now
        elif self.cap is not None:
            # What is finished in calm is proof of room. Guards against a cap, and a level, that outlive a
            # slowdown of all servers; could harm where runs end in bursts of seconds.
            self.cap = max(self.cap, 0.0 if any(self.violations) else throughput)
            if now - self.fired >= LIFT_AFTER or self.cap > self._arriving() * PROBE_STEP:
                self.cap = None
            elif now - max(self.changed, self.fired) >= self.probe_wait:
                self.before_probe = self.cap
                self.cap *= PROBE_STEP
                self.changed = now
        self._weigh_owners()
        # A connection whose caller seldom returns costs room and work for nothing. Guards against a table
        # that fills until callers get no connection; could harm where opening one costs very much.
        # In a storm of further tries a full table is left: what it turns away costs nothing to read.
        storm = self._arriving() * STORM * ARRIVALS_SPAN / SECOND < self.marked
        idle_span = IDLE_SHORT if len(set(self.callers)) > SELDOM * CALLERS_SEEN and not storm else 0
        if idle_span != self.idle_span:
            self.idle_span = idle_span
            out.set_idle_timeout(idle_span)
        # A cold server jammed with unread tasks is off the list until it has read them. Guards against cold
        # successors that take a warm one's traffic; could harm where all of a fleet starts at once.
        age, cold = now - self.born, self.settings.warmup_duration
        if self.settings.cold_start and age < cold + SECOND and self.shut is None:
            out.set_health(
                age > cold or self._unread_wait() <= UNREAD_BEARABLE * self.latency_objective, True
            )
        self.cut = max(self._cut_for(self.cap), self.cut - max(1, BUCKETS * WINDOW * TICK // CUT_FALL))
        if self.settings.load_hint == "threshold" and self.shut is None:
            value = self._rank_at(self.cut) * SAY_PART
            if value != self.said:
                self.said = value
                out.publish_load_hint(value)

    def _rank_at(self, cut: int) -> float:
        """The rank under which the cut lies: stages take equal parts of the ranks in order of utility."""
        level, part = divmod(cut, 2 * BUCKETS)
        under = sum(1 for row in self.rows if row.level < level)
        at = sum(1 for row in self.rows if row.level == level)
        return (under + at * max(0, part - BUCKETS) / BUCKETS) / len(self.rows)

    def _weigh_owners(self) -> None:
        """The part of each owner's traffic beyond its share, taking this server for one of equals."""
        since = self.now - SHARE_SPAN
        for place, (owner, asked) in enumerate(zip(self.settings.tenants, self.asked, strict=True)):
            while asked and asked[0] <= since:
                asked.popleft()
            within = owner.allowance * SHARE_SPAN / SECOND / self.settings.fleet_size
            self.over[place] = max(0.0, 1.0 - (within * SHARE_SLACK + within**0.5) / max(len(asked), 1))

    def _cut_for(self, cap: float | None) -> int:
        """The lowest cut whose rest fits the cap; empty levels and buckets are skipped."""
        spare = 0.0 if cap is None else self._arriving() - cap
        counts = Counter(place for _, place, _ in self.arrivals if spare > 0)
        cut = 0
        for place in sorted(counts):
            if spare <= 0:
                break
            spare -= counts[place] * SECOND / ARRIVALS_SPAN
            cut = place + 1
        return min(cut, 2 * BUCKETS * self.levels - 1)

    # ---- effects

    def _joins(self, held: Exec, out: DecisionSink) -> bool:
        """Guards against an effect twice: a repeat waits for what is held and is answered by what ran."""
        task = held.task
        effect = self.effects.get(task.duplicate_of) if task.duplicate_of is not None else None
        if effect is None:
            effect = Effect(0)
        window = self.rows[task.stage].stage.idempotency_window
        effect.until = max(effect.until, max(task.arrived_at + window, held.limit) + window)
        held.effect = self.effects[task.id] = effect
        if effect.ran:
            self._answer_from(held, out)
            return True
        if effect.holder is not None:
            effect.followers.append(held)
            return True
        effect.holder = held
        return False

    def _remember(self, held: Exec, out: DecisionSink) -> None:
        window = self.rows[held.task.stage].stage.idempotency_window
        self._keep(held.task.id, max(held.task.arrived_at + window, held.limit) + SECOND, out)

    def _keep(self, name: str, until: int, out: DecisionSink) -> None:
        self.entries[name] = until
        out.remember_key(name, until - self.now)

    def _answer_from(self, held: Exec, out: DecisionSink) -> None:
        held.state = "repeat"
        out.replay_result(held.task.id)

    def _unrun(self, held: Exec, out: DecisionSink) -> None:
        """A held effect went without running: its entry goes, and the next try in line takes its place."""
        effect = held.effect
        if effect is None or effect.ran:
            return
        if held in effect.followers:
            effect.followers.remove(held)
        if effect.holder is held:
            effect.holder = None
            if self.entries.pop(held.task.id, None) is not None:
                out.forget_key(held.task.id)
            if effect.followers:
                effect.holder = effect.followers.pop(0)
                self._remember(effect.holder, out)

    # ---- answers and ends

    def _reject(self, held: Exec, out: DecisionSink) -> None:
        # What is turned away comes back when what lies unread has been read: a rejection costs a reading too,
        # so a jam of reading ends only if less is sent. Guards against storms of further tries.
        stay_away = self._unread_wait()
        if self.shut is not None:
            stay_away = self.settings.max_retry_after
        if stay_away < UNREAD_BEARABLE * self.latency_objective:
            stay_away = STAY_SHORT if self.cap is not None and self.settings.load_hint == "none" else 0
        stay_away = min(int(stay_away * (0.5 + self.chance())), self.settings.max_retry_after)
        self.rejections.append((self.now, self.now - held.task.arrived_at + stay_away))
        out.reject(held.task.id, self._widespread(), stay_away)
        self._drop(held)
        self._unrun(held, out)

    def _widespread(self) -> bool:
        """Whether elsewhere is no better: marked tries beyond a budget, or rejections beyond it while this
        server keeps its usual pace, so that too much is sent rather than too little done. Guards against
        tries that walk the whole list; could harm where one server alone gets a crowd for long."""
        budget = int(RETRY_BUDGET * self._arriving() * WIDE_SPAN / SECOND)
        wide = len(self.rejections) > budget and self.rejections[-1 - budget][0] > self.now - WIDE_SPAN
        usual = bool(self.slowness) and median_high(self.slowness) < USUAL_PACE
        return self.shut is None and (self.marked > RETRY_BUDGET * len(self.arrivals) or (wide and usual))

    def _drop(self, held: Exec) -> None:
        self.tasks.pop(held.task.id, None)
        self.memory -= held.task.queued_memory_kb

    def _answer_due(self, out: DecisionSink) -> None:
        """Guards against a task lost: whatever its state, it is answered before its time limit or our end."""
        leaving = self.shut is not None and self.now >= self.leave_by - LEAVE_EARLY
        for held in [held for held in self.tasks.values() if leaving or held.until <= self.now]:
            if held.state == "held":
                self._reject(held, out)
            elif held.state != "over":
                out.abandon(held.task.id)
                self._gone(held.task.id, out)
        if self.ticks % WINDOW == 0:
            self.entries = {name: until for name, until in self.entries.items() if until > self.now}
            self.effects = {name: effect for name, effect in self.effects.items() if effect.until > self.now}

    def _gone(self, name: str, out: DecisionSink) -> None:
        """Nobody waits for it: what may run again is stopped; an effect goes on, for its repeats' sake."""
        held = self.tasks.get(name)
        if held is None or held.state == "over":
            return
        if held.state in ("held", "repeat"):
            self._drop(held)
            self._unrun(held, out)
            return
        self.at_call = [other for other in self.at_call if other is not held]
        may_run_again = self.rows[held.task.stage].stage.effect == "idempotent"
        if held.state == "running" and self.settings.cancellation != "none" and may_run_again:
            out.stop(name)
        held.state = "over"

    def _over(self, name: str, how: str, took: int, out: DecisionSink) -> None:
        held = self.tasks.pop(name, None)
        if held is None:
            return
        self.at_call = [other for other in self.at_call if other is not held]
        self._call_ended(name, True)
        if held.started:
            self.running -= 1
            self.memory -= held.task.queued_memory_kb * (self.settings.running_memory_factor - 1)
        self.memory -= held.task.queued_memory_kb
        if how == "moot" and held.effect is not None:
            held.effect.ran = False  # nothing ran; guards the table against what the agent does not know
            self._unrun(held, out)
        if how == "finished" and held.started:
            self.finishes.append(self.now)
            self.latencies.append((self.now, self.now - held.task.arrived_at))
            if self.cap is None and not any(self.violations):
                self.calm.append(self.now - held.task.arrived_at)
        overtaken = how == "stopped" and self.now >= held.due
        if held.started and (how == "finished" or overtaken):
            # A run stopped at its due time counts as longer than foreseen. Guards against judging by those
            # alone that finished in time, and so starting ever more that cannot.
            took = max(took, int(OVERTAKEN * self._estimate(held.task, self._times()))) if overtaken else took
            row, pace = self.rows[held.task.stage], took / (held.task.estimated_work or 1)
            if row.usual:
                self.slowness.append(pace / row.usual)
            if self.cap is None or len(row.pace) < SLOWNESS_SAMPLES:
                row.pace.append(pace)
                row.usual = sorted(row.pace)[int(TRUSTED * len(row.pace))]

    # ---- calls below

    def _make_calls(self, out: DecisionSink) -> None:
        """Calls have their own bound: this server's share of what lies below, as a mean over its span. What
        is out is booked to the end of its patience, so the share holds when all below stands still; a
        patience follows what calls took lately, so that those which end soon leave room for the next."""
        settings, now = self.settings, self.now
        share, likely = int(settings.downstream_quota * settings.downstream_quota_window), 0
        left = share
        if self.at_call and settings.downstream == "shared":
            since = now - settings.downstream_quota_window
            while self.calls and self.calls[0][1] <= since:
                self.calls.popleft()
            spans = [*self.calls, *((begun, max(until, now)) for begun, until in self.calling.values())]
            left -= sum(max(0, until - max(since, begun)) for begun, until in spans)
            likely = self._likely_call()
        for held in sorted(self.at_call, key=_by_due):
            stage = self.rows[held.task.stage].stage
            patience = max(MS, (held.due - now) // 2)
            if settings.downstream == "shared":
                patience = min(patience, CALL_MOST * likely or patience)
                room, least = (
                    left - settings.downstream_linger,
                    min(patience, CALL_LEAST * likely or patience),
                )
                # Guards against a share that is counted too low, should there be more than are remembered.
                if (left < share and room < least) or len(self.calls) >= SAMPLES:
                    if stage.utility_share_without_call > 0:
                        out.skip_call(held.task.id)
                        held.state = "running"
                        self.at_call.remove(held)
                    continue
                patience = max(least, min(patience, room))
                left -= patience + settings.downstream_linger
            self.at_call.remove(held)
            held.state = "calling"
            self.calling[held.task.id] = now, now + patience + settings.downstream_linger
            out.start_call(held.task.id, patience)

    def _likely_call(self) -> int:
        """How long a call takes, slow ones counted and those out already longer; 0: nothing is known."""
        likely = 0
        took = list(self.call_times)
        if took:
            likely = sorted(took)[int(HIGH * (len(took) - 1))]
            took += [age for begun, _ in self.calling.values() if (age := self.now - begun) > likely]
            likely = max(MS, sorted(took)[int(HIGH * (len(took) - 1))])
        return likely

    def _call_ended(self, name: str, given_up: bool) -> int:
        """What is given up may stay in hand below for a while. Returns how long the call took."""
        if name not in self.calling:
            return 0
        begun, _ = self.calling.pop(name)
        if self.settings.downstream == "shared":
            self.calls.append((begun, self.now + self.settings.downstream_linger * given_up))
        return self.now - begun

    def _call_over(self, name: str, how: str, out: DecisionSink) -> None:
        held = self.tasks.get(name)
        took = self._call_ended(name, how in ("timed_out", "aborted"))
        if how in ("finished", "failed", "timed_out"):
            self.call_times.append(took)
        if held is None or held.state == "over":
            return
        held.state = "running"
        if how == "finished":
            return
        stage = self.rows[held.task.stage].stage
        held.tries += 1
        may_repeat = stage.effect == "idempotent" or how in ("rejected", "unreachable")
        if stage.utility_share_without_call > 0:
            out.skip_call(name)
        elif held.tries <= CALL_TRIES and self.now < held.due and may_repeat:
            held.state = "at_call"  # repeated only where it may be: restartable, or known not to have run
            self.at_call.append(held)
        else:
            out.abandon(name)
            held.state = "over"


def _by_due(held: Exec) -> tuple[int, int]:
    return held.due, held.task.arrived_at
