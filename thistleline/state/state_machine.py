"""Every change of state, for whatever protocol: an input goes in, effects come out. No I/O, no clock here.

Inputs are a kind and its values:

    opened connection | task connection seq Task word body | check connection seq deep
    malformed connection seq method text | drained connection part | ended connection why
    agent_up fresh age | run_over number id how took result | measured tag values | deep_checked tag good
    wants_call number id body | declined what id | remark number | unknown text | agent_lost why
    call_over id how result
    listening | leave by | round

Effects are plain tuples:

    (read connection) (close connection) (dismiss connection) (stop_accepting)
    (finished connection seq result level) (abandoned connection seq level)
    (rejected connection seq nowhere_else stay_away level)
    (health connection seq good level) (misunderstood connection seq method text)
    (start id stage body) (stop id) (measure tag) (deep_check tag)
    (deliver id result) (skip_call id number) (call id patience body) (cancel_call id)
    (report taking) (log event facts) (end by)

The module is called once a round with all that came in; `Reducer` is the writer that its decisions go to.

An id on the wire is a peer's word. It names a try to that peer and to the agent, and nothing else: inside,
a try is known by a name that is made here for it, used once in the life of the program. What identifies an
effect is its key (stage, mark, digest of the body); the names under which tables and module know it can't be
said by a peer. The ids of what is in hand are in `by_id`, of what is at the agent in `at_agent`; `owned` says
whose effect an id was read with, so that it starts no other.
"""

import traceback
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from thistleline.interface import (
    CallEnded,
    CallOutcome,
    CallRequested,
    ClientGone,
    DrainRequested,
    PolicyEvent,
    RunEnded,
    RunOutcome,
    ServerSettings,
    Task,
    TaskArrived,
    TimerFired,
)
from thistleline.policy import Policy
from thistleline.state.phases import Phases
from thistleline.state.tables import Alarms, Connection, Entries, Key, Run, Try, key_of

MS, SECOND = 1_000_000, 1_000_000_000
OPEN_BOUND = 32  # tasks in hand on a connection; past it the connection is not read
SILENCE_SPAN = (
    2 * SECOND
)  # a connection that carries no whole message for so long after its opening is closed
PART_SPAN = 2 * SECOND  # for so long a message that has begun to come keeps its connection
UNREAD_SPAN = SECOND // 4  # for so long what came on a new connection may not have been read
PLAUSIBLE_SPAN = 60 * SECOND  # a task that is said to have come longer ago, or so far ahead, makes no sense
OFFENCES_BOUND = 16  # past it a connection is read no more, and closed once nothing is open on it
COMPLAIN_EVERY = SECOND  # a line of the log on what peers do wrong; a flood is counted, not told
SWEEP = SECOND // 4  # how often connections and entries are looked through
DISMISSAL_SPAN = SECOND // 5  # after that a dismissed connection with nothing open is closed
END_EARLY, END_PART = SECOND // 10, 8  # before the stop; where that is near, this part of the time to it
OWNED_COST = 512  # bytes of the bound on results for each id that is known; past that the oldest go
DOUBT_PART = 2  # of a due span, in which the end of what may have been started is awaited
CALL_SLACK = SECOND // 2  # past its patience; a back end that is silent for so long has given the call up
LOST_SPAN = SECOND // 10  # before a link's end; what was written then may be lost with it
DEEP_CHECKS_BOUND = 64
DEEP_CHECK_SPAN = SECOND  # a check that the agent leaves unanswered for so long has failed

INPUTS = (
    *("opened", "task", "check", "malformed", "drained", "ended"),
    *("agent_up", "run_over", "measured", "deep_checked", "declined", "remark", "unknown", "agent_lost"),
    *("wants_call", "call_over"),
    *("listening", "leave", "round"),
)
Effect = tuple[Any, ...]


class Reducer:
    def __init__(
        self,
        settings: ServerSettings,
        gauges: tuple[str, ...],
        granularity: int,
        connections: int,
        results_bound: int,
        seed: int,
        now: int,
        phases: Phases,
    ) -> None:
        self.settings, self.gauges, self.granularity = settings, gauges, granularity
        self.connections_bound, self.seed, self.now, self.phases = connections, seed, now, phases
        self.effects: list[Effect] = []
        self.came_in: list[PolicyEvent] = []
        self.last_round = 0
        self.next_sweep = now
        self.faulty_until = 0  # after the module has failed
        self.entry_slack = max(stage.timeout for stage in settings.stages)
        self.connections: OrderedDict[int, Connection] = OrderedDict()  # the longest idle first
        self.silent: OrderedDict[int, None] = (
            OrderedDict()
        )  # of these: no whole message yet, the oldest first
        self.once: OrderedDict[int, None] = OrderedDict()  # of these: a single whole message
        self.names = 0  # made so far
        self.tries: dict[str, Try] = {}  # by name,
        self.runs: dict[str, Run] = {}
        self.by_id: dict[str, str] = {}  # and their names by id
        self.at_agent: dict[str, str] = {}
        self.in_doubt: dict[str, int] = {}  # runs whose start may be lost, awaited until
        self.owned: OrderedDict[str, tuple[Key | None, int]] = OrderedDict()  # ids: whose, until when
        self.owned_bound = max(64, results_bound // OWNED_COST)
        self.entries = Entries(results_bound)
        self.this_round: dict[Key, str] = {}  # marked tasks that the module has not seen yet
        self.alarms = Alarms()
        self.ringing: list[str] = []  # alarms that wait for their gauges,
        self.ring_by = 0  # until then
        # the agent
        self.linked = self.greeted = False
        self.notice = 0  # number of the last one read
        self.measures = 0  # asked for so far; a tag is the number of its measure
        self.answered = 0  # number of the last one answered,
        self.answered_at = now  # when,
        self.gauged: list[float] = []  # and what it said
        self.mark: int | None = None  # the measure after which all missed notices were read
        self.deep_checks: dict[str, tuple[int, int, int]] = {}  # connection, sequence number, asked when
        self.lost_at = now
        self.calls: dict[str, tuple[int, int]] = {}  # out below, by id: since when, until when awaited
        # what the module has said
        self.good, self.from_store = True, True
        self.level: float | None = None
        self.idle_span = 0
        self.stop_by: int | None = None
        self.end_early = END_EARLY
        self.figures: dict[str, int] = {}
        self.complained: dict[str, int] = {}  # when last, by event
        self.does: dict[str, Callable[..., None]] = {kind: getattr(self, f"_{kind}") for kind in INPUTS}
        self.module = Policy(settings, seed, now)
        self._call_module()

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[Effect]:
        self.now = max(self.now, now)
        self.does[kind](*told)
        effects, self.effects = self.effects, []
        return effects

    def failed(self, kind: str, *told: Any) -> list[Effect]:
        """After `take` of this input has raised: what it asked for until then. A task that was not taken gets
        an answer all the same."""
        if kind == "task":
            name, seq, task = told[:3]
            if name in self.connections and self.by_id.get(task.id) not in self.connections[name].open:
                self.effects.append(("misunderstood", name, seq, None, "it could not be taken"))
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        """When the next `round` is wanted."""
        due = self.next_sweep
        alarm = self.alarms.due()
        if alarm is not None:
            due = min(due, alarm)
        if self.ringing:
            due = min(due, self.ring_by)
        if self.came_in:
            due = min(due, self.last_round + self.granularity)
        return due

    def _round(self) -> None:
        """What the clock brings: alarms, then one call of the module for all that lies read."""
        names = self.alarms.take(self.now)
        if names:
            self.ringing += names
            if self.linked and self.mark is None:
                self._measure()
                self.ring_by = self.now + self.granularity
            else:
                self.ring_by = self.now
        if self.ringing and self.now >= self.ring_by:
            self._ring({})  # without an answer: time limits hang on it
        if self.came_in and self.now >= self.last_round + self.granularity:
            self._call_module()
        if self.now >= self.next_sweep:
            self._sweep()
        if self.phases.leaving:
            self._end_if_done()

    def _call_module(self) -> None:
        came_in, self.came_in = self.came_in, []
        for event in came_in:
            if isinstance(event, TaskArrived):
                self.tries[event.task.id].told = True
        self.this_round.clear()
        self.last_round = self.now
        try:
            self.module.round(self.now, came_in, self)
        except Exception:
            self._mend_round(came_in)

    def _mend_round(self, came_in: list[PolicyEvent]) -> None:
        """The module has failed. Guards against tasks without an answer: what it did not come to is told once
        more, one by one; what it can't take is abandoned; its timer rings again."""
        self.faulty_until = self.now + self.entry_slack + SECOND
        self._fault("round")
        pending_timers = {name for _, name in self.alarms.heap}
        for event in came_in:
            match event:
                case TimerFired(name):
                    if name not in pending_timers:
                        self.alarms.put(self.now + max(self.granularity, MS), name)
                    continue
                case TaskArrived(task):
                    if task.id not in self.tries or task.id in self.module.tasks:
                        continue
                case DrainRequested():
                    if self.module.shut is not None:
                        continue
                case _:
                    if event.task_id not in self.module.tasks:
                        continue
            try:
                self.module.round(self.now, [event], self)
            except Exception:
                self._fault(type(event).__name__)
                if isinstance(event, TaskArrived) and event.task.id not in self.module.tasks:
                    self.abandon(event.task.id)

    def _fault(self, where: str) -> None:
        self._count("faults")
        if self.now - self.complained.get("fault", 0) >= COMPLAIN_EVERY:
            self.complained["fault"] = self.now
            self._log("fault", input=where, trace=traceback.format_exc()[-2000:])

    def _answer_overdue(self) -> None:
        """While the module fails nothing is left without an answer: its own timer may not come to that."""
        for task, held in list(self.tries.items()):
            if held.until <= self.next_sweep:
                self.abandon(task)
                self.came_in.append(ClientGone(task))

    def _ring(self, gauges: dict[str, float]) -> None:
        self.came_in += [TimerFired(name, gauges) for name in self.ringing]
        self.ringing = []

    def _measure(self) -> None:
        self.measures += 1
        self.effects.append(("measure", str(self.measures)))

    def _log(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, facts))

    def _count(self, what: str) -> None:
        self.figures[what] = self.figures.get(what, 0) + 1

    def _complain(self, event: str, **facts: Any) -> None:
        self._count(event)
        if self.now - self.complained.get(event, 0) >= COMPLAIN_EVERY:
            self.complained[event] = self.now
            self._log(event, **facts)

    def believed(self) -> dict[str, Any]:
        """What the module takes to be so, beside what the agent said last: the two should not drift apart."""
        gauged = {name: round(value, 3) for name, value in zip(self.gauges, self.gauged, strict=False)}
        return {
            "believed": [len(self.module.tasks), self.module.running, int(self.module.memory)],
            "gauged": {**gauged, "age_ms": (self.now - self.answered_at) // 1_000_000},
            "good": self.good,
            "level": self.level,
            "cap": self.module.cap,
        }

    # ---- start and stop

    def _listening(self) -> None:
        self.phases.move("awaiting agent")
        self._log("phase", phase=self.phases.name)

    def _leave(self, by: int) -> None:
        if self.phases.leaving:
            return
        self.phases.move("leaving")
        self._log("phase", phase=self.phases.name, held=len(self.tries), runs=len(self.runs))
        self.stop_by, self.end_early = by, max(0, min(END_EARLY, (by - self.now) // END_PART))
        self.came_in.append(DrainRequested(by))
        self.effects.append(("report", False))

    def _shut(self) -> None:
        """Nothing new is wanted: a refused connection and a farewell send what comes elsewhere at once."""
        if self.phases.shut:
            return
        self.phases.move("closing")
        self._log("phase", phase=self.phases.name, held=len(self.tries), runs=len(self.runs))
        self.effects.append(("stop_accepting",))
        for name, connection in self.connections.items():
            self._dismiss(name, connection)

    def _end_if_done(self) -> None:
        """Ends once nothing is owed and no connection is left, or just before the stop."""
        if self.stop_by is None or self.phases.name == "ended":
            return
        owed, left = len(self.tries), len(self.connections)
        idle = not (owed or left or self.came_in)
        if (idle and self.phases.shut) or self.now >= self.stop_by - self.end_early:
            self.phases.move("ended")
            self._log("phase", phase=self.phases.name, owed=owed, connections=left)
            for task in list(self.tries):  # guards against a stop too near for the module's own timer
                self.abandon(task)
            self.effects.append(("end", self.stop_by - self.end_early * 2 // 3))
        elif idle:
            self._shut()  # nobody comes: all know already

    # ---- connections

    def _opened(self, name: int) -> None:
        connection = self.connections[name] = Connection(self.now)
        self.silent[name] = None
        self._count("connections")
        self.effects.append(("read", name))
        if self.phases.shut:
            self._dismiss(name, connection)
        if len(self.connections) > self.connections_bound:
            # Guards the descriptors: one that never carried a whole message gives way, then one that carried
            # a single one, then the longest idle, so that a crowd costs no client stub its connection. The
            # first message of one just opened may lie unread; guards against closing a burst of newcomers.
            gives_way = next(iter(self.silent))
            if self.now - self.connections[gives_way].carried < UNREAD_SPAN:
                once = (other for other in self.once if not self.connections[other].open)
                gives_way = next(once, gives_way)
            if gives_way == name:
                gives_way = next(other for other, told in self.connections.items() if not told.open)
            self._close(gives_way)

    def _drained(self, name: int, part: bool = False) -> None:
        """All that was read is taken; `part`: the beginning of a message lies there, the rest is to come."""
        connection = self.connections.get(name)
        if connection is not None:
            if not part:
                connection.part = None
            elif connection.part is None:
                connection.part = self.now
            connection.stalled = len(connection.open) >= OPEN_BOUND or connection.offences >= OFFENCES_BOUND
            if not connection.stalled:
                self.effects.append(("read", name))

    def _heard(self, name: int) -> Connection | None:
        """A whole message came. What drips counts as nothing; guards against those who hold on so."""
        connection = self.connections.get(name)
        if connection is not None:
            connection.messages += 1
            if connection.messages == 1:
                del self.silent[name]
                self.once[name] = None
            else:
                self.once.pop(name, None)
            self._carried(name, connection)
        return connection

    def _carried(self, name: int, connection: Connection) -> None:
        connection.carried, connection.part = self.now, None
        self.connections.move_to_end(name)

    def _offended(self, name: int, event: str, **facts: Any) -> None:
        """Guards the processor: who goes on sending what no client stub sends is read no more."""
        self._complain(event, connection=name, **facts)
        connection = self.connections.get(name)
        if connection is not None:
            connection.offences += 1

    def _ended(self, name: int, why: str) -> None:
        """Lets the connection's tasks go. An effect that runs goes on, for its repeats' sake."""
        connection = self.connections.pop(name, None)
        if connection is None:
            return
        self.silent.pop(name, None)
        self.once.pop(name, None)
        if why or connection.open:
            self._complain("connection ended", connection=name, why=why, open=len(connection.open))
        unseen = set()
        for task in connection.open:
            held = self.tries.pop(task)
            del self.by_id[held.id]
            if held.told:
                self.came_in.append(ClientGone(task))
            else:
                unseen.add(task)
        if unseen:
            # The module takes all that is gone before it reads; guards against starting what nobody awaits.
            self.came_in = [
                event
                for event in self.came_in
                if not isinstance(event, TaskArrived) or event.task.id not in unseen
            ]
            # Another try of the same effect may stand among the rest; guards against running both.
            self.this_round = {key: task for key, task in self.this_round.items() if task not in unseen}
            for event in self.came_in:
                if isinstance(event, TaskArrived):
                    self._note_mark(event.task.id)

    def _close(self, name: int) -> None:
        self.effects.append(("close", name))
        self._ended(name, "")

    def _dismiss(self, name: int, connection: Connection) -> None:
        if connection.dismissed is None:
            connection.dismissed = self.now
            self.effects.append(("dismiss", name))

    def _sweep(self) -> None:
        self.next_sweep = self.now + SWEEP
        if self.now < self.faulty_until:
            self._answer_overdue()
        for name, connection in list(self.connections.items()):
            if connection.open or (connection.part is not None and self.now - connection.part < PART_SPAN):
                continue
            idle = self.now - connection.carried
            dismissed = self.now if connection.dismissed is None else connection.dismissed
            if (
                (self.now - dismissed >= DISMISSAL_SPAN <= idle)
                or (name in self.silent and idle >= SILENCE_SPAN)
                or connection.offences >= OFFENCES_BOUND
            ):
                self._close(name)
            elif self.idle_span and idle >= self.idle_span:
                self._dismiss(name, connection)
        for tag, (_, _, asked) in list(self.deep_checks.items()):
            if self.now - asked >= DEEP_CHECK_SPAN:
                self._deep_checked(tag, False)
        self._end_doubts()
        for id, (_, until) in list(self.calls.items()):
            if until <= self.now:
                self.effects.append(("cancel_call", id))
                self._call_over(id, "timed_out", b"")
        self.entries.expire(self.now - self.entry_slack, self.runs)
        while self.owned and next(iter(self.owned.values()))[1] < self.now:
            self.owned.popitem(last=False)

    # ---- tasks

    def _task(self, name: int, seq: int, task: Task, word: str | None, body: memoryview) -> None:
        connection = self._heard(name)
        if connection is None:
            return
        nonsense = None
        if task.id in self.by_id or task.id in self.at_agent:
            nonsense = "this try is in hand already"
        elif abs(self.now - task.arrived_at) > PLAUSIBLE_SPAN:
            nonsense = "it came at no likely time"  # guards the module, to which it would be a jam of reading
        if nonsense is not None:
            self.effects.append(("misunderstood", name, seq, None, nonsense))
            self._offended(name, "nonsense", id=task.id, text=nonsense)
            return
        self._count("tasks")
        key = None if word is None else key_of(task.stage, word, body)
        since = min(task.arrived_at, self.now)
        until = since + self.settings.stages[task.stage].timeout if task.deadline is None else task.deadline
        held = Try(name, seq, task.id, task.stage, since, until, key, bytes(body))
        repeats = None if key is None else self._repeated(key, held.since)
        self.names += 1
        # Guards the tables and the module against an id that was used before, by whomever.
        named = str(self.names)
        self.by_id[task.id] = named
        self.tries[named] = held
        if key is not None and self.settings.stages[task.stage].effect == "keyed":
            self._own(task.id, key, task.stage)
        self._note_mark(named)
        connection.open[named] = None
        self.came_in.append(TaskArrived(replace(task, id=named, duplicate_of=repeats, arrived_at=held.since)))

    def _own(self, id: str, key: Key | None, stage: int, anew: bool = False) -> None:
        """Lets an id stand for this effect, unless it stands for one; `anew`: whatever it stood for."""
        if anew or id not in self.owned:
            span = max(self.settings.stages[stage].idempotency_window, self.entry_slack) + self.entry_slack
            self.owned[id] = key, self.now + span
            self.owned.move_to_end(id)
            if len(self.owned) > self.owned_bound:
                self.owned.popitem(last=False)

    def _is_anothers(self, id: str, key: Key | None) -> bool:
        """Whether this id came with another effect before. The agent knows tries by id alone; guards against
        a stranger who sends a known id and body under a mark of his own: it would run twice. Could harm one
        whose id a stranger guessed first: 64 bits of chance."""
        if id not in self.owned:
            return False
        owner = self.owned[id][0]
        return owner is None or owner != key  # none: a side-effecting one, started before

    def _note_mark(self, task: str) -> None:
        """Lets the other tries of one effect that come in before the next round know of this one."""
        key = self.tries[task].key
        if key is not None and self.settings.stages[key[0]].effect == "keyed":
            self.this_round[key] = task

    def _repeated(self, key: Key, since: int) -> str | None:
        """The task that one with this key repeats. What reached us in time counts, however late read."""
        entry = self.entries.by_key.get(key)
        if self.settings.stages[key[0]].effect == "keyed":
            # What came in with it goes first. Guards against two tries that name a run which outlived its
            # window, and so its effect in the module: each would be a new one.
            if key in self.this_round:
                return self.this_round[key]
            if entry is not None and (entry.until > since or entry.ran in self.runs):
                return entry.task
            return None
        if entry is None or entry.until <= since or entry.how not in (None, "finished"):
            return None
        if entry.how and (entry.result is None or entry.ended + self.settings.cached_result_ttl <= since):
            return None
        return entry.task

    def _check(self, name: int, seq: int, deep: bool) -> None:
        self._heard(name)
        if deep and not self.from_store and self.linked and len(self.deep_checks) < DEEP_CHECKS_BOUND:
            tag = f"check-{name}-{seq}"
            self.deep_checks[tag] = (name, seq, self.now)
            self.effects.append(("deep_check", tag))
            return
        self._tell_health(name, seq, not deep or self.from_store or self.linked)

    def _tell_health(self, name: int, seq: int, good: bool) -> None:
        self.effects.append(("health", name, seq, self.good and self.greeted and good, self.level))

    def _malformed(self, name: int, seq: int | None, method: bytes | None, text: str) -> None:
        if self._heard(name) is None:
            return
        self._offended(name, "malformed", text=text)
        if seq is None:
            self._close(name)
        else:
            self.effects.append(("misunderstood", name, seq, method, text))

    def _answered(self, task: str) -> Try | None:
        """The one place where a try stops being owed an answer: whoever gets it from here answers it."""
        held = self.tries.pop(task, None)
        if held is not None:
            del self.by_id[held.id]
            connection = self.connections[held.connection]
            connection.open.pop(task, None)
            self._carried(held.connection, connection)
            if connection.stalled:
                self._drained(held.connection, connection.part is not None)
        return held

    def _finish(self, task: str, result: bytes | memoryview) -> bool:
        held = self._answered(task)
        if held is not None:
            self._count("finished")
            self.effects.append(("finished", held.connection, held.seq, result, self.level))
        return held is not None

    # ---- the agent

    def _agent_up(self, fresh: bool, age: int) -> None:
        self.linked = True
        self._log("agent", state="up", fresh=fresh, age_ms=age // 1_000_000, notice=self.notice)
        self._measure()
        self.mark = self.measures
        if self.greeted:
            return
        self.greeted = True
        if self.phases.name == "awaiting agent":
            self.phases.move("serving")
            self._log("phase", phase=self.phases.name)
        if self._untouched() and not self.phases.leaving:
            # Only the agent knows how long the machine has been up and whether it began cold.
            self.settings = replace(self.settings, cold_start=fresh)
            self.alarms, self.ringing, self.came_in = Alarms(), [], []
            self.module = Policy(self.settings, self.seed, self.now - age)
            self._call_module()

    def _untouched(self) -> bool:
        return not self.tries and not self.runs

    def _agent_lost(self, why: str) -> None:
        if self.linked:
            self._log("agent", state="lost", why=why, runs=len(self.runs))
            self.lost_at = self.now
        self.linked, self.mark = False, None
        for tag in list(self.deep_checks):
            self._deep_checked(tag, False)

    def _seen(self, number: int) -> bool:
        """Whether a notice came before: after a link's end some come twice."""
        if number <= self.notice:
            return True
        self.notice = number
        return False

    def _run_over(self, number: int, id: str, how: RunOutcome, took: int, result: memoryview) -> None:
        if not self._seen(number) and id in self.at_agent:
            self._ended_run(self.at_agent[id], how, took, result)

    def _ended_run(self, task: str, how: RunOutcome, took: int, result: bytes | memoryview) -> None:
        run = self.runs.pop(task)
        del self.at_agent[run.id]
        if self.calls.pop(run.id, None) is not None:
            self.effects.append(("cancel_call", run.id))
        if how == "finished":
            self._finish(task, result)
        else:
            self.abandon(task)
        if self.settings.stages[run.stage].effect != "idempotent":  # what may run again owns no id
            if how == "moot":
                self.owned.pop(run.id, None)  # it names nothing that ran
            else:
                self._own(run.id, run.key, run.stage, anew=True)
        self.came_in.append(RunEnded(task, how, took))
        if run.key is not None:
            entry = self.entries.by_key.get(run.key)
            if entry is not None and entry.ran == task:
                self.entries.keep(run.key, how, self.now, bytes(result) if how == "finished" else None)
        for repeat in run.waiting:
            self._repeat_over(repeat, result if how == "finished" else None)

    def _repeat_over(self, task: str, result: bytes | memoryview | None) -> None:
        if result is not None:
            if self._finish(task, result):
                self.came_in.append(RunEnded(task, "finished", 0))
        elif task in self.tries:
            self.abandon(task)
            self.came_in.append(RunEnded(task, "failed", 0))

    def _measured(self, tag: str, values: list[float]) -> None:
        number = int(tag) if tag.isdecimal() else 0
        if number <= self.answered:
            return
        if self.mark is not None and number >= self.mark:
            mark, self.mark = self.mark, None
            self._restart(mark)
        self.answered, self.answered_at, self.gauged = number, self.now, values
        if self.ringing and number == self.measures:
            self._ring(dict(zip(self.gauges, values, strict=False)))

    def _restart(self, mark: int) -> None:
        """All notices missed were read: what was started before the mark, ended in none of them and was not
        known to have arrived is started again, if it may run twice or was never written. What may not is in
        doubt: it may run, and a second start that crosses its end would run it again. Its end is awaited for
        a while. A stop does no harm twice, so all are repeated; guards against a run that holds its cores
        because its stop was lost with the link."""
        for task, run in self.runs.items():
            if self.answered <= run.measures < mark:
                stage = self.settings.stages[run.stage]
                if stage.effect == "idempotent" or not run.sent:
                    self._send(run)
                else:
                    self.in_doubt.setdefault(task, self.now + stage.latency_objective // DOUBT_PART)
            if run.frozen:
                self.effects.append(("stop", run.id))
            if run.given is not None and run.given[0] >= self.lost_at - LOST_SPAN:
                self._tell_on(run)  # it stands at the call still: no notice came since

    def _end_doubts(self) -> None:
        """Guards the room for runs against those whose start was lost: they count as run."""
        for task, until in list(self.in_doubt.items()):
            if task not in self.runs:
                del self.in_doubt[task]
            elif until <= self.now:
                del self.in_doubt[task]
                self._count("doubtful")
                self._ended_run(task, "failed", 0, b"")

    def _launch(self, task: str, run: Run) -> None:
        if self.linked:
            self._send(run)

    def _send(self, run: Run) -> None:
        run.sent, run.measures = True, self.measures
        self.effects.append(("start", run.id, self.settings.stages[run.stage].name, run.body))

    def _deep_checked(self, tag: str, good: bool) -> None:
        asked = self.deep_checks.pop(tag, None)
        if asked is not None and asked[0] in self.connections:
            self._tell_health(asked[0], asked[1], good)

    def _wants_call(self, number: int, id: str, body: bytes) -> None:
        if self._seen(number) or id not in self.at_agent:
            return
        task = self.at_agent[id]
        run = self.runs[task]
        run.call, run.given = (number, body), None
        run.measures = -1  # it is known to have been started
        self.came_in.append(CallRequested(task))

    def _call_over(self, id: str, how: CallOutcome, result: bytes) -> None:
        out = self.calls.pop(id, None)
        if out is None or id not in self.at_agent:
            return  # it was given up, or its run is over
        task = self.at_agent[id]
        if how == "finished":
            self._let_go_on(self.runs[task], result)
        self.came_in.append(CallEnded(task, how, self.now - out[0]))

    def _let_go_on(self, run: Run, result: bytes | None) -> None:
        """A run goes on from its call, with a result or without one. Without a link it is told once there is
        one, in `_restart`."""
        assert run.call is not None
        run.given = self.now, run.call[0], result
        run.call = None
        if self.linked and self.mark is None:
            self._tell_on(run)

    def _tell_on(self, run: Run) -> None:
        assert run.given is not None
        _, number, result = run.given
        if result is None:
            self.effects.append(("skip_call", run.id, number))
        else:
            self.effects.append(("deliver", run.id, result))

    def _declined(self, what: str, id: str) -> None:
        task = self.at_agent.get(id, "") if what == "start" else ""
        held = self.tries.get(task)
        if held is not None:
            self._offended(held.connection, "declined", what=what, id=id)
        else:
            self._complain("declined", what=what, id=id)
        if task:
            self._ended_run(task, "moot", 0, b"")
        elif what == "deep_check":
            self._deep_checked(id, True)  # such checks are not made here: the state alone tells

    def _remark(self, number: int) -> None:
        self._seen(number)

    def _unknown(self, text: str) -> None:
        self._log("unknown notice", text=text)

    # ---- the module's decisions

    def start(self, task: str) -> None:
        held = self.tries.get(task)
        if held is None:
            self.came_in.append(RunEnded(task, "moot", 0))
            return
        effect = self.settings.stages[held.stage].effect
        if effect != "idempotent":
            if self._is_anothers(held.id, held.key):
                self._offended(held.connection, "another's id", id=held.id)
                self.abandon(task)
                self.came_in.append(RunEnded(task, "moot", 0))
                return
            self._own(held.id, held.key, held.stage, anew=True)
        run = self.runs[task] = Run(held, self.measures)
        self.at_agent[run.id] = task
        if held.key is not None and effect == "keyed":
            window = held.since + self.settings.stages[held.stage].idempotency_window
            entry = self.entries.by_key.get(held.key) or self.entries.put(held.key, task, window)
            entry.ran, entry.how = task, None
        self._launch(task, run)

    def stop(self, task: str) -> None:
        run = self.runs.get(task)
        if run is None:
            return
        run.frozen = True
        if not run.sent:
            self._ended_run(task, "stopped", 0, b"")
        elif self.linked:
            self.effects.append(("stop", run.id))

    def reject(self, task: str, nowhere_else: bool, stay_away: int) -> None:
        held = self._answered(task)
        if held is not None:
            self._count("rejected")
            self.effects.append(("rejected", held.connection, held.seq, nowhere_else, stay_away, self.level))

    def abandon(self, task: str) -> None:
        held = self._answered(task)
        if held is not None:
            self._count("abandoned")
            self.effects.append(("abandoned", held.connection, held.seq, self.level))

    def replay_result(self, task: str) -> None:
        held = self.tries.get(task)
        if held is None or held.key is None:
            return
        entry = self.entries.by_key.get(held.key)
        source = entry.ran if entry is not None else None
        if source is not None and source in self.runs:
            self.runs[source].waiting.append(task)
        else:
            self._count("repeats")
            self._repeat_over(task, entry.result if entry is not None else None)

    def remember_key(self, task: str, span: int) -> None:
        held = self.tries.get(task)
        if held is not None and held.key is not None:
            entry = self.entries.put(held.key, task, self.now + span)
            if task in self.runs:
                entry.ran, entry.how = task, None

    def forget_key(self, task: str) -> None:
        self.entries.forget(task)

    def start_call(self, task: str, patience: int) -> None:
        run = self.runs.get(task)
        stands = None if run is None else run.call
        if run is not None and stands is not None and run.id not in self.calls:
            self.calls[run.id] = self.now, self.now + patience + CALL_SLACK
            self.effects.append(("call", run.id, patience, stands[1]))

    def skip_call(self, task: str) -> None:
        run = self.runs.get(task)
        if run is not None and run.call is not None:
            self._let_go_on(run, None)

    def set_health(self, good: bool, from_store: bool) -> None:
        self.good, self.from_store = good, from_store
        if self.phases.leaving and not good:
            self._shut()

    def publish_load_hint(self, value: float) -> None:
        self.level = value

    def set_idle_timeout(self, span: int) -> None:
        self.idle_span = span

    def set_timer(self, name: str, span: int) -> None:
        self.alarms.put(self.now + span, name)
