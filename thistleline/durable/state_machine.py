"""The state machine of a server with a ledger.

A run with an idempotency key (called an effect here) starts only once its intent, the record that announces
the run, is on disk. `LedgerState` (ledger/state.py) decides what is written; this module connects it to the
server's tables of attempts, runs and idempotency keys and to the policy.
"""

from typing import Any

from thistleline.durable.effects import WriteLedger
from thistleline.durable.events import EffectsRecovered, WriteCompleted, WriteFailed
from thistleline.interface import EffectRemembered, RunOutcome
from thistleline.ledger.format import ATTEMPT_ID_SIZE
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.state.attempts import Attempt, Run
from thistleline.state.events import AgentGreeted, RunCompleted
from thistleline.state.limits import EXIT_MARGIN, IN_DOUBT_WAIT_DIVISOR, SECOND
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.state.state_machine import EventHandler, ServerStateMachine

# Value of `measurements_before` for a run that was not started: higher than any measurement, so that the
# run's start is never considered lost with a link.
NOT_STARTED = 1 << 62
RETRY_AFTER = SECOND  # ns; Retry-After time for clients whose task the ledger can't record now
# The numbers of expired effects are removed once more numbers are kept than this plus twice the number of
# effects in the ledger.
STALE_NUMBERS_SLACK = 64


class DurableStateMachine(ServerStateMachine):
    """A `ServerStateMachine` that records the intents and outcomes of runs with a key in a ledger."""

    def __init__(
        self,
        options: MachineOptions,
        now: int,
        lifecycle: Lifecycle,
        *,
        max_disk_bytes: int,
        boot_offset: int,
    ) -> None:
        """Create the state with an empty ledger.

        Args:
            options: Settings and limits.
            now: Time of the server's clock, ns.
            lifecycle: The phase of the process.
            max_disk_bytes: Maximum size of the ledger on disk.
            boot_offset: Time since boot, which the ledger uses, minus the server's clock, ns.
        """
        super().__init__(options, now, lifecycle)
        self.boot_offset = boot_offset
        self.ledger = LedgerState(
            max_disk_bytes, options.max_result_bytes, self._boot_time(), self._cached_result
        )
        self.effect_numbers: dict[str, int] = {}  # effect numbers by run name
        self.effect_names: dict[int, str] = {}  # run names by effect number; the reverse of `effect_numbers`
        self.unwritten_intents: dict[int, str] = {}  # run names by effect number, for intents not durable yet
        self.unsettled: dict[str, None] = {}  # runs of earlier processes with unknown outcome
        # Time, as recorded in the ledger, until which the outcome of an unsettled run is awaited, by name.
        self.doubt_deadlines: dict[str, int] = {}
        # Effects of earlier processes that the policy is notified of, by name: when they expire.
        self.remembered: dict[str, int] = {}

    def _event_handlers(self) -> dict[type, EventHandler]:
        return {
            **super()._event_handlers(),
            EffectsRecovered: self._on_effects_recovered,
            WriteCompleted: self._on_write_completed,
            WriteFailed: self._on_write_failed,
        }

    def handle(self, now: int, event: Any) -> list[Any]:
        """Handle one event at the time `now`; return its effects, with a write to the ledger last."""
        effects = super().handle(now, event)
        write = self.ledger.next_write(self._boot_time())
        if write is not None:
            effects.append(WriteLedger(write))
        return effects

    def next_deadline(self) -> int:
        """Return when the next `DeadlineReached` is due, ns."""
        deadline = super().next_deadline()
        ledger_deadline = self.ledger.next_deadline()
        if ledger_deadline is None:
            return deadline
        return min(deadline, max(ledger_deadline - self.boot_offset, self.context.now))

    def diagnostics(self) -> dict[str, Any]:
        """Return the policy's view of the load and the state of the ledger."""
        ledger = self.ledger
        return {
            **super().diagnostics(),
            "ledger": {
                "phase": ledger.phase,
                "effects": len(ledger.effects),
                "bytes": ledger.disk_size(),
                "segments": len(ledger.segments),
                "refused": ledger.refusals,
                "failures": ledger.write_failures,
            },
        }

    def _boot_time(self) -> int:
        return self.context.now + self.boot_offset

    # ---- effects recovered from earlier processes

    def _on_effects_recovered(self, event: EffectsRecovered) -> None:
        for effect in event.effects:
            self._restore_effect(effect)
        self.attempt_ids.trim()
        self.context.count("recovered")
        self._notify_remembered()

    def _restore_effect(self, effect: RecoveredEffect) -> None:
        """Add a recovered effect to the tables; an effect without an outcome may have run."""
        now = self.context.now
        name = self._new_name()
        key = (effect.stage, effect.digest)
        expires_at = now + effect.remaining
        self.idempotency.put(key, name, expires_at).runner = name
        attempt_id = effect.attempt_id.decode("ascii", "replace")
        self.attempt_ids.by_id[attempt_id] = key, expires_at
        self.remembered[name] = expires_at
        self._number_effect(name, effect.number)
        if effect.outcome is not None:
            self.idempotency.record_outcome(key, effect.outcome, now, effect.result)
            return
        run = self.runs[name] = Run(Attempt(0, 0, attempt_id, effect.stage, now, now, key, b""), NOT_STARTED)
        run.sent = True
        self.at_agent[attempt_id] = name
        self.unsettled[name] = None
        self.in_doubt[name] = expires_at
        if effect.doubt_deadline is not None:
            self.doubt_deadlines[name] = effect.doubt_deadline - self.boot_offset

    def _notify_remembered(self) -> None:
        for name, expires_at in self.remembered.items():
            self.notify_policy(EffectRemembered(name, expires_at))

    def _can_restart_policy(self) -> bool:
        return not self.attempts and len(self.runs) == len(self.unsettled)

    def _on_agent_greeted(self, event: AgentGreeted) -> None:
        policy = self.policy
        super()._on_agent_greeted(event)
        if self.policy is not policy:
            self._notify_remembered()
        self.remembered.clear()
        if event.cold_start:
            for name in list(self.unsettled):  # runs end with the agent process that ran them
                self.end_run(name, "failed", 0, b"")
            for attempt_id in list(self.ledger.unmatched.awaited):
                self._end_unmatched(attempt_id, "failed", b"")

    def _on_run_completed(self, event: RunCompleted) -> None:
        """End a run; record the outcome also if the settings do not have the run's stage any more."""
        attempt_id = event.attempt_id.encode("ascii", "replace")[:ATTEMPT_ID_SIZE]
        if event.attempt_id not in self.at_agent and attempt_id in self.ledger.unmatched.awaited:
            self._end_unmatched(attempt_id, event.outcome, event.result)
        super()._on_run_completed(event)

    def _end_unmatched(self, attempt_id: bytes, outcome: RunOutcome, result: bytes | memoryview) -> None:
        stored = bytes(result) if outcome == "finished" else b""
        self.ledger.record_unmatched_outcome(self._boot_time(), attempt_id, outcome, stored)

    def _restart_runs(self, mark: int) -> None:
        """Await the runs of earlier processes whose end is not in the notices that the agent retained.

        The deadline is written to the ledger. Otherwise each of several short-lived processes would start the
        wait again, and repeats would stay unanswered.
        """
        super()._restart_runs(mark)
        for name in self.unsettled:
            objective = self.settings.stages[self.runs[name].stage].latency_objective
            awaited_until = self.context.now + objective // IN_DOUBT_WAIT_DIVISOR
            if name in self.doubt_deadlines:
                awaited_until = min(awaited_until, self.doubt_deadlines[name])
            else:
                self.doubt_deadlines[name] = awaited_until
                self.ledger.record_doubt(
                    self._boot_time(), self.effect_numbers[name], awaited_until + self.boot_offset
                )
            self.in_doubt[name] = min(self.in_doubt.get(name, NOT_STARTED), awaited_until)
        self._fail_runs_in_doubt()

    # ---- starts and ends

    def launch(self, name: str, run: Run) -> None:
        """Start a run; a run with an idempotency key is started once its intent is durable."""
        entry = self.idempotency.by_key.get(run.key) if run.key is not None else None
        if entry is None or self.settings.stages[run.stage].effect != "keyed":
            super().launch(name, run)
            return
        assert run.key is not None
        remaining = entry.expires_at - self.context.now + self.max_timeout
        attempt_id = run.id.encode("ascii", "replace")
        number = self.ledger.record_intent(self._boot_time(), run.stage, run.key[1], remaining, attempt_id)
        if number is None:
            self._refuse(name)
            return
        run.measurements_before = NOT_STARTED
        self._number_effect(name, number)
        self.unwritten_intents[number] = name

    def _refuse(self, name: str) -> None:
        """Reject an attempt whose intent can't be recorded, with a retry delay; it is not started."""
        self.context.count("unrecorded")
        self.decisions.reject(name, False, min(RETRY_AFTER, self.settings.max_retry_after))
        self.end_run(name, "moot", 0, b"")

    def _on_write_completed(self, event: WriteCompleted) -> None:
        for number in self.ledger.write_completed(self._boot_time()):
            name = self.unwritten_intents.pop(number, "")
            run = self.runs.get(name)
            if run is None:
                continue
            if name not in self.attempts and not run.repeats:
                self.end_run(name, "moot", 0, b"")  # no client waits any more, and nothing was started
                continue
            run.measurements_before = self.session.measurements_requested
            super().launch(name, run)

    def _on_write_failed(self, event: WriteFailed) -> None:
        self.context.log("ledger", state="failing", why=event.reason)
        for number in self.ledger.write_failed(self._boot_time()):
            name = self.unwritten_intents.pop(number, "")
            if name in self.runs:
                self._unnumber_effect(name)
                self._refuse(name)

    def end_run(self, name: str, outcome: RunOutcome, duration: int, result: bytes | memoryview) -> None:
        """Record the end of a run in the tables and its outcome in the ledger."""
        self.unsettled.pop(name, None)
        self.doubt_deadlines.pop(name, None)
        number = self.effect_numbers.get(name)
        if number is not None:
            stored = bytes(result) if outcome == "finished" else b""
            self.ledger.record_outcome(self._boot_time(), number, outcome, stored)
            if outcome == "moot":
                self._unnumber_effect(name)
                self.remembered.pop(name, None)
        super().end_run(name, outcome, duration, result)

    # ---- numbers of effects

    def _number_effect(self, name: str, number: int) -> None:
        self.effect_numbers[name] = number
        self.effect_names[number] = name

    def _unnumber_effect(self, name: str) -> None:
        self.effect_names.pop(self.effect_numbers.pop(name, 0), None)

    def _cached_result(self, number: int) -> bytes | None:
        """Return the result of an effect if it is still cached, for the ledger's compaction."""
        key = self.idempotency.by_attempt.get(self.effect_names.get(number, ""))
        return None if key is None else self.idempotency.by_key[key].result

    def _sweep(self) -> None:
        super()._sweep()
        effects = self.ledger.effects
        if len(self.effect_numbers) > 2 * len(effects) + STALE_NUMBERS_SLACK:
            numbers = self.effect_numbers.items()
            self.effect_numbers = {name: number for name, number in numbers if number in effects}
            self.effect_names = {number: name for name, number in self.effect_numbers.items()}

    def _end_if_done(self) -> None:
        """End the process only once the ledger is written, or just before the stop if the disk is slow."""
        assert self.stop_at is not None
        if not self.ledger.has_unwritten() or self.context.now >= self.stop_at - EXIT_MARGIN:
            super()._end_if_done()
