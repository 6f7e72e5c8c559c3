"""The reducer of a server that keeps a ledger: nothing with an effect starts before its intent is durable.

Further inputs:

    recovered effects | recorded | unrecorded why

Further effects:

    (write work)

The ledger's choices are made by `LedgerState` (ledger/state.py); here they meet the tables and the module.
"""

from collections.abc import Iterable
from typing import Any

from thistleline.interface import EffectRemembered, RunOutcome
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.state.state_machine import DOUBT_PART, END_EARLY, SECOND, Effect, Reducer
from thistleline.state.tables import Run, Try

NOT_YET = 1 << 62  # measures of a run that was not started: no break of the link can have lost its start
STAY_AWAY = SECOND  # for whom the ledger takes nothing just now


class KeepingReducer(Reducer):
    def __init__(self, *told: Any, disk_bound: int, boot_ahead: int, **more: Any) -> None:
        """`disk_bound` in bytes; `boot_ahead`: how far the boot time is ahead of this clock, ns."""
        super().__init__(*told, **more)
        self.boot_ahead = boot_ahead
        self.ledger = LedgerState(disk_bound, self.entries.results_bound, self.now + boot_ahead, self._result)
        self.numbers: dict[str, int] = {}  # of effects by the name of the run
        self.named: dict[int, str] = {}  # and back, while results may be asked for
        self.waiting: dict[int, str] = {}  # of these: not yet durable
        self.open: dict[str, None] = {}  # runs of an earlier life whose end is not known
        self.awaited: dict[str, int] = {}  # of these, by what earlier lives wrote down: until when
        self.remembered: dict[str, int] = {}  # what the module was told of earlier lives, until when
        self.does |= {
            "recovered": self._recovered,
            "recorded": self._recorded,
            "unrecorded": self._unrecorded,
        }

    def take(self, now: int, kind: str, *told: Any) -> list[Effect]:
        effects = super().take(now, kind, *told)
        work = self.ledger.next_write(self.now + self.boot_ahead)
        if work is not None:
            effects.append(("write", work))
        return effects

    def due(self) -> int:
        due, wanted = super().due(), self.ledger.next_deadline()
        return due if wanted is None else min(due, max(wanted - self.boot_ahead, self.now))

    def believed(self) -> dict[str, Any]:
        ledger = self.ledger
        return {
            **super().believed(),
            "ledger": {
                "phase": ledger.phase,
                "effects": len(ledger.effects),
                "bytes": ledger.disk_size(),
                "segments": len(ledger.segments),
                "refused": ledger.refusals,
                "failures": ledger.write_failures,
            },
        }

    # ---- what an earlier life left

    def _recovered(self, effects: Iterable[RecoveredEffect]) -> None:
        """Before the first round that knows of tasks. An effect without an end may have run."""
        for found in effects:
            self.names += 1
            name, key, until = str(self.names), (found.stage, found.digest), self.now + found.remaining
            entry = self.entries.put(key, name, until)
            entry.ran = name
            id = found.attempt_id.decode("ascii", "replace")
            self.owned[id] = key, until
            self.remembered[name] = until
            self._name(name, found.number)
            if found.outcome is not None:
                self.entries.keep(key, found.outcome, self.now, found.result)
            else:
                held = Try(0, 0, id, found.stage, self.now, self.now, key, b"")
                run = self.runs[name] = Run(held, NOT_YET)
                run.sent = True
                self.at_agent[id] = name
                self.open[name] = None
                self.in_doubt[name] = until
                if found.doubt_deadline is not None:
                    self.awaited[name] = found.doubt_deadline - self.boot_ahead
        while len(self.owned) > self.owned_bound:
            self.owned.popitem(last=False)
        self._count("recovered")
        self._tell_remembered()

    def _tell_remembered(self) -> None:
        self.came_in += [EffectRemembered(name, until) for name, until in self.remembered.items()]

    def _untouched(self) -> bool:
        return not self.tries and len(self.runs) == len(self.open)

    def _agent_up(self, fresh: bool, age: int) -> None:
        module = self.module
        super()._agent_up(fresh, age)
        if self.module is not module:
            self._tell_remembered()
        self.remembered.clear()
        if fresh:
            for name in list(self.open):  # what ran is gone with the agent that ran it
                self._ended_run(name, "failed", 0, b"")

    def _restart(self, mark: int) -> None:
        """All that the agent kept was read: what did not end in it is awaited as any that is in doubt. Until
        when is written down; guards against lives too short to see it out, each of which began anew, so that
        repeats stayed without an answer."""
        super()._restart(mark)
        for name in self.open:
            until = self.now + self.settings.stages[self.runs[name].stage].latency_objective // DOUBT_PART
            if name in self.awaited:
                until = min(until, self.awaited[name])
            else:
                self.awaited[name] = until
                self.ledger.record_doubt(
                    self.now + self.boot_ahead, self.numbers[name], until + self.boot_ahead
                )
            self.in_doubt[name] = min(self.in_doubt.get(name, NOT_YET), until)
        self._end_doubts()

    # ---- starts and ends

    def _launch(self, task: str, run: Run) -> None:
        entry = self.entries.by_key.get(run.key) if run.key is not None else None
        if entry is None or self.settings.stages[run.stage].effect != "keyed":
            super()._launch(task, run)
            return
        assert run.key is not None
        span = entry.until - self.now + self.entry_slack
        number = self.ledger.record_intent(
            self.now + self.boot_ahead, run.stage, run.key[1], span, run.id.encode("ascii", "replace")
        )
        if number is None:
            self._refuse(task)
            return
        run.measures = NOT_YET
        self._name(task, number)
        self.waiting[number] = task

    def _refuse(self, task: str) -> None:
        """What can't be recorded is not started: its client is told so at once, and when to come back."""
        self._count("unrecorded")
        self.reject(task, False, min(STAY_AWAY, self.settings.max_retry_after))
        self._ended_run(task, "moot", 0, b"")

    def _recorded(self) -> None:
        for number in self.ledger.write_completed(self.now + self.boot_ahead):
            task = self.waiting.pop(number, "")
            run = self.runs.get(task)
            if run is None:
                continue
            if task not in self.tries and not run.waiting:
                self._ended_run(task, "moot", 0, b"")  # nobody waits any more, nothing was started
                continue
            run.measures = self.measures
            super()._launch(task, run)

    def _unrecorded(self, why: str) -> None:
        self._log("ledger", state="failing", why=why)
        for number in self.ledger.write_failed(self.now + self.boot_ahead):
            task = self.waiting.pop(number, "")
            if task in self.runs:
                self._unname(task)
                self._refuse(task)

    def _ended_run(self, task: str, how: RunOutcome, took: int, result: bytes | memoryview) -> None:
        self.open.pop(task, None)
        self.awaited.pop(task, None)
        number = self.numbers.get(task)
        if number is not None:
            kept = bytes(result) if how == "finished" else b""
            self.ledger.record_outcome(self.now + self.boot_ahead, number, how, kept)
            if how == "moot":
                self._unname(task)
        super()._ended_run(task, how, took, result)

    def _name(self, task: str, number: int) -> None:
        self.numbers[task], self.named[number] = number, task

    def _unname(self, task: str) -> None:
        self.named.pop(self.numbers.pop(task, 0), None)

    def _result(self, number: int) -> bytes | None:
        """For the ledger's compaction: what is still kept of a result."""
        key = self.entries.by_task.get(self.named.get(number, ""))
        return None if key is None else self.entries.by_key[key].result

    def _sweep(self) -> None:
        super()._sweep()
        if len(self.numbers) > 2 * len(self.ledger.effects) + 64:
            kept = self.ledger.effects
            self.numbers = {name: number for name, number in self.numbers.items() if number in kept}
            self.named = {number: name for name, number in self.numbers.items()}

    def _end_if_done(self) -> None:
        """A drain leaves nothing unwritten, unless the disk keeps it till just before the stop."""
        assert self.stop_by is not None
        ledger = self.ledger
        unwritten = ledger.has_unwritten()
        if not unwritten or self.now >= self.stop_by - END_EARLY:
            super()._end_if_done()
