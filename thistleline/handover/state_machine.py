"""How one server follows another on the same machine: both sides, as one reducer. No I/O, no clock.

Inputs of an elder, beside all others; what the agent says comes as ever, by whichever way:

    heir_ready by       all is prepared there; `by`: when this one has to be gone
    heir_again by       this one has handed over before, and another heir came in place of the first
    heir_gone           also before anything was handed over
    away_over name kind told

Effects of an elder:

    (hand notice runs owned again)  from here on nothing with an effect starts here; carried out at once
    (later why)
    (forward name Task stage owner word body)  (heir_ended number how result)

Inputs of an heir:

    inherited notice runs owned
    lodge id stage body | lodger_stop id | lodger_measure tag | elder_ended number how result
    forwarded name Task word body | elder_gone

Effects of an heir, beside answers on the connection ELDER:

    (elder_told kind told)  of the agent, as an input of the elder

What holds:

- Until `hand` the elder alone starts effects, after it the heir alone; `hand` comes when all that the elder
  meant to start is written and has reached the agent, so that the heir reads of every effect that may run.
- A fingerprinted task that the elder has not started by then, and every task that it reads later, is the
  heir's: it goes over the line, and its answer comes back on it. Nothing is refused for the change.
- What the elder had running goes on, the heir holding the one link that the agent has. Its end is told to
  both: to the elder, which owes the answer, and to the ledger and its repeats here.
- Until the elder is gone it vouches for what it started: nothing of that comes to be in doubt here.
"""

from dataclasses import replace
from typing import Any, Literal

from thistleline.durable.reducer import KeepingReducer
from thistleline.durable.served_value import Worth
from thistleline.interface import DrainRequested, RunEnded, RunOutcome, Task
from thistleline.ledger.state import LedgerState
from thistleline.state.state_machine import SECOND, Effect, Reducer
from thistleline.state.tables import Connection, Run, Try

FREEZE_SPAN = 2 * SECOND  # in which nothing starts before the change; past it the elder serves on
HANDED_BOUND = 4096  # runs, and ids, that go over in one message
ELDER = -1  # the heir's connection that stands for its elder's
ELDERS_TAG = "e"  # before the tag of a measure that the elder asked for

INPUTS = (
    *("heir_ready", "heir_again", "heir_gone", "away_over", "inherited", "lodge", "lodger_stop"),
    *("lodger_measure", "elder_ended", "forwarded", "elder_gone"),
)
Stands = Literal["sole", "freezing", "handed"]


class Succeeding(Worth, KeepingReducer):
    def __init__(self, *told: Any, **more: Any) -> None:
        super().__init__(*told, **more)
        self.stands: Stands = "sole"
        self.freeze_by = self.frozen_at = 0
        self.froze_for = 0  # ns, the last time it came to something
        self.freeze_mark: int | None = None  # the measure that says that all starts reached the agent
        self.leave_by = 0
        self.held_back: list[str] = []
        self.came: dict[str, tuple[Task, str | None]] = {}  # fingerprinted ones in hand, as they were read
        self.away: dict[str, None] = {}  # the heir decides on them
        self.handed_numbers: dict[str, int] = {}
        self.has_heir = False
        self.has_elder = False
        self.lodgers: dict[str, None] = {}  # ids that run at the agent for the elder
        for kind in INPUTS:
            self.does[kind] = getattr(self, f"_{kind}")

    def take(self, now: int, kind: str, *told: Any) -> list[Effect]:
        effects = super().take(now, kind, *told)
        if self.stands == "freezing":
            self._try_to_hand()
            effects += self.effects
            self.effects = []
            work = self.ledger.next_write(self.now + self.boot_ahead)  # what a thaw let go on
            if work is not None:
                effects.append(("write", work))
        return effects

    def due(self) -> int:
        return min(super().due(), self.freeze_by) if self.stands == "freezing" else super().due()

    def believed(self) -> dict[str, Any]:
        return {**super().believed(), "stands": self.stands, "lodgers": len(self.lodgers),
                "away": len(self.away)}  # fmt: skip

    def _round(self) -> None:
        if self.stands == "freezing" and self.now >= self.freeze_by:
            self._thaw("what was begun is not written, or not known to have reached the agent")
        super()._round()

    def _sweep(self) -> None:
        super()._sweep()
        self.came = {task: told for task, told in self.came.items() if task in self.tries}

    # ---- the elder, before it hands over

    def _heir_ready(self, by: int) -> None:
        if self.has_elder:
            self.effects.append(("later", "it follows another itself, which is not gone yet"))
        elif self.stands == "sole":
            self.stands, self.leave_by, self.freeze_mark = "freezing", by, None
            self.frozen_at, self.freeze_by = self.now, self.now + FREEZE_SPAN

    def _try_to_hand(self) -> None:
        """Nothing is begun while it freezes; what was begun has to be written, then known at the agent."""
        ledger = self.ledger
        if ledger.has_unwritten() or self.waiting:
            return
        if self.linked:
            if self.freeze_mark is None:
                self._measure()
                self.freeze_mark = self.measures
            if self.mark is not None or self.answered < self.freeze_mark:
                return
        runs = tuple(run.id for run in self.runs.values() if run.sent)
        if len(runs) > HANDED_BOUND:
            self._thaw(f"{len(runs)} runs, {HANDED_BOUND} go over at the most")
            return
        self._hand(runs)

    def _thaw(self, why: str) -> None:
        held_back, self.held_back = self.held_back, []
        self.stands = "sole"
        self.effects.append(("later", why))
        for task in held_back:
            if task in self.runs:
                self._launch(task, self.runs[task])

    def _heir_gone(self) -> None:
        if self.stands == "freezing":
            self._thaw("the heir is gone")
        elif self.stands == "handed":
            self.has_heir = False
            if self.linked:
                self._agent_lost("the heir is gone")
            for task in list(self.away):  # it may have run there
                del self.away[task]
                self.abandon(task)

    # ---- the elder hands over

    def _hand(self, runs: tuple[str, ...]) -> None:
        self.stands, self.has_heir = "handed", True
        self.froze_for = self.now - self.frozen_at
        self.effects.append(("hand", self.notice, runs, self._owned_beside(), False))
        # The ledger is another's: nothing more is written here.
        self.handed_numbers, self.numbers, self.named = self.numbers, {}, {}
        self.ledger = LedgerState(self.ledger.max_disk_bytes, 0, self.now + self.boot_ahead, lambda _: None)
        if self.linked:
            self._agent_lost("handed over")
        if not self.phases.leaving:
            self.phases.move("leaving")
            self._log("phase", phase=self.phases.name, held=len(self.tries), runs=len(self.runs))
            self.stop_by = self.leave_by
            self.came_in.append(DrainRequested(self.leave_by))
        self._shut()
        held_back, self.held_back = self.held_back, []
        unsent = [task for task, run in self.runs.items() if not run.sent and task not in held_back]
        for task in (*held_back, *unsent):
            if task in self.runs and self._is_fingerprinted(self.runs[task].stage):
                self._pass_on(task)

    def _owned_beside(self) -> tuple[tuple[str, int], ...]:
        """Ids of effects that the ledger does not know; the newest, as many as go over."""
        found = [
            (id, until - self.now)
            for id, (key, until) in self.owned.items()
            if key is None or not self._is_fingerprinted(key[0])
        ]
        return tuple(found[-HANDED_BOUND:])

    def _heir_again(self, by: int) -> None:
        """Another heir in place of the first, which has the ledger from the folder."""
        self.has_heir = True
        runs = tuple(run.id for run in self.runs.values() if run.sent)[:HANDED_BOUND]
        self.effects.append(("hand", self.notice, runs, self._owned_beside(), True))
        if self.linked:
            self._agent_lost("handed over")

    def _is_fingerprinted(self, stage: int) -> bool:
        return self.settings.stages[stage].effect == "keyed"

    def _launch(self, task: str, run: Run) -> None:
        if self.stands == "freezing":
            self.held_back.append(task)
        elif self.stands == "handed" and self._is_fingerprinted(run.stage):
            self._pass_on(task)
        else:
            super()._launch(task, run)

    def _pass_on(self, task: str) -> None:
        """What was not started here, and its repeats, are the heir's. Its intent, where there is one, is told
        to be moot first."""
        run = self.runs[task]
        waiting, run.waiting = run.waiting, []
        number = self.handed_numbers.pop(task, None)
        if number is not None:
            self.effects.append(("heir_ended", number, "moot", b""))
        held = self.tries.pop(task, None)  # so that its end here is no answer
        super()._ended_run(task, "moot", 0, b"")
        if held is not None:
            self.tries[task] = held
            self._send_away(task, held)
        for repeat in waiting:
            other = self.tries.get(repeat)
            if other is not None:
                self.came_in.append(RunEnded(repeat, "failed", 0))
                self._send_away(repeat, other)

    def _send_away(self, task: str, held: Try) -> None:
        held.told = False  # the module here has nothing to do with it any more
        if not self.has_heir:
            self.abandon(task)  # nobody here knows whether it ran
            return
        told, word = self.came[task]
        self.away[task] = None
        stage, owner = self.settings.stages[held.stage].name, self.settings.tenants[told.owner].name
        whole = replace(told, id=held.id, repeats=None, reached=held.since)
        self.effects.append(("forward", task, whole, stage, owner, word, held.body))

    def _away_over(self, task: str, kind: str, told: list[Any]) -> None:
        self.away.pop(task, None)
        held = self._answered(task)
        if held is not None:
            self._count(kind)
            self.effects.append((kind, held.connection, held.seq, *told))

    def _ended_run(self, task: str, how: RunOutcome, took: int, result: bytes | memoryview) -> None:
        number = self.handed_numbers.pop(task, None)
        if number is not None:
            self.effects.append(("heir_ended", number, how, bytes(result)))
        super()._ended_run(task, how, took, result)

    # ---- tasks, on both sides

    def _task(self, name: int, seq: int, task: Task, word: str | None, body: memoryview) -> None:
        if task.id in self.lodgers:
            self._heard(name)
            self.effects.append(("misunderstood", name, seq, None, "this try is in hand already"))
            return
        before = self.names
        super()._task(name, seq, task, word, body)
        if self.names == before:
            return
        named = str(self.names)
        if self.stands == "handed":
            self.came_in.pop()
            held = self.tries[named]
            if held.key is not None and self.this_round.get(held.key) == named:
                del self.this_round[held.key]
            self.came[named] = task, word
            self._send_away(named, held)
        elif self._is_fingerprinted(task.stage):
            self.came[named] = task, word

    # ---- the heir

    def _inherited(self, notice: int, runs: tuple[str, ...], owned: tuple[tuple[str, int], ...]) -> None:
        """After `recovered` and before anything else, the link to the agent too."""
        self.has_elder = True
        self.notice = max(self.notice, notice)
        self.lodgers = dict.fromkeys(runs)
        for id, left in owned:
            self.owned.setdefault(id, (None, self.now + left))

    def _lodge(self, id: str, stage: str, body: bytes) -> None:
        if id in self.at_agent or id in self.by_id:
            self.effects.append(("elder_told", "declined", ["start", id]))
        elif self.linked:  # else the elder hears of the link, and says it again
            self.lodgers[id] = None
            self.effects.append(("start", id, stage, body))

    def _lodger_stop(self, id: str) -> None:
        if id in self.lodgers and self.linked:
            self.effects.append(("stop", id))

    def _lodger_measure(self, tag: str) -> None:
        if self.linked:
            self.effects.append(("measure", ELDERS_TAG + tag))

    def _elder_ended(self, number: int, how: RunOutcome, result: bytes) -> None:
        """The agent may have said so here already."""
        task = self.named.get(number)
        if task is not None and task in self.open:
            self._ended_run(task, how, 0, result)

    def _forwarded(self, name: int, task: Task, word: str | None, body: bytes) -> None:
        if ELDER not in self.connections:
            self.connections[ELDER] = Connection(self.now)
            self.silent[ELDER] = None
        self._task(ELDER, name, task, word, memoryview(body))

    def _elder_gone(self) -> None:
        """What it vouched for and has not ended is awaited as after any restart."""
        self.has_elder = False
        self.lodgers.clear()
        if ELDER in self.connections:
            self._ended(ELDER, "the elder is gone")
        if self.linked and self.mark is None:
            self._restart(0)

    def _restart(self, mark: int) -> None:
        if self.has_elder:
            Reducer._restart(self, mark)
        else:
            super()._restart(mark)

    def _agent_up(self, fresh: bool, age: int) -> None:
        super()._agent_up(fresh, age)
        if self.has_elder:
            self.effects.append(("elder_told", "agent_up", [fresh, age]))

    def _agent_lost(self, why: str) -> None:
        super()._agent_lost(why)
        if self.has_elder:
            self.effects.append(("elder_told", "agent_lost", [why]))

    def _run_over(self, number: int, id: str, how: RunOutcome, took: int, result: memoryview) -> None:
        if number > self.notice and id in self.lodgers:
            del self.lodgers[id]
            self.effects.append(("elder_told", "run_over", [number, id, how, took, bytes(result)]))
        super()._run_over(number, id, how, took, result)

    def _measured(self, tag: str, values: list[float]) -> None:
        if tag.startswith(ELDERS_TAG):
            self.effects.append(("elder_told", "measured", [tag.removeprefix(ELDERS_TAG), values]))
        else:
            super()._measured(tag, values)

    def _declined(self, what: str, id: str) -> None:
        if id in self.lodgers:
            if what == "start":
                del self.lodgers[id]
            self.effects.append(("elder_told", "declined", [what, id]))
        else:
            super()._declined(what, id)
