"""Rollout state machine: chooses which servers change next, judges each stage, and rolls back if it is worse.

It does no I/O and reads no clock: `handle` takes the events of `events.py` and returns the effects of
`effects.py`. All decisions follow from the committed record and from the facts that members publish, so that
a succeeding controller continues where its predecessor stopped. Only the analysis of the current stage is
kept in memory alone: a succeeding controller restarts it.

A stage is a step of the rollout: its targets run the new version, and some other servers, the controls, are
restarted on the old one for comparison. A slot is a measuring interval of that comparison.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.canary import CanaryAnalysis, ColdBaseline, Judgement
from thistleline.rollout.effects import Effect, StoreRecord
from thistleline.rollout.events import (
    DesiredVersionsRecovered,
    Event,
    OrderReceived,
    RecordStored,
    ServersObserved,
)
from thistleline.rollout.order import TRANSITIONS, Order, start_fault
from thistleline.rollout.record import MAX_HISTORY, HistoryEntry, RolloutRecord
from thistleline.rollout.server_changes import ServerChanges
from thistleline.rollout.server_status import CRASHES, ServerStatus
from thistleline.rollout.slot_sampler import SlotSampler, crashed_targets
from thistleline.rollout.stages import choose_controls, choose_targets
from thistleline.rollout.timing import RolloutTiming
from thistleline.supervisor.model import Version

MAX_FINDINGS_LOGGED = 5
MAX_DOWN_NAMED = 8  # servers that are down, listed in a reason


class RolloutController:
    """Carries out a rollout across the fleet.

    Attributes:
        record: The rollout record that was last committed.
        pending_record: The record that is being committed; no other step is taken until it is.
        servers: The servers as last observed, by server id.
        changes: Version changes that were requested for individual servers.
        analysis: Canary analysis of the rollout's current stage; None while no stage is being judged.
        sampler: Converts cumulative counters into one sample per server and measuring interval (slot).
        next_slot: When the current measuring interval ends, ns.
    """

    def __init__(
        self,
        now: int,
        wall_clock: Callable[[], int],
        record: RolloutRecord | None,
        timing: RolloutTiming,
        make_analysis: Callable[..., CanaryAnalysis] = CanaryAnalysis,
    ) -> None:
        """Continue from the recorded state.

        Args:
            now: Boot time, ns.
            wall_clock: Returns wall clock ms.
            record: The rollout record in the replicated log, written by this or an earlier controller.
            timing: Durations and limits of a rollout.
            make_analysis: Creates the canary analysis for a stage of the rollout.
        """
        self.now = now
        self.wall_clock = wall_clock
        self.timing = timing
        self.record = record
        self.pending_record: RolloutRecord | None = None
        self.servers: dict[str, ServerStatus] = {}
        self.changes = ServerChanges(now)
        self.analysis: CanaryAnalysis | None = None
        self.sampler = SlotSampler()
        self.next_slot = now + timing.slot
        self._make_analysis = make_analysis
        self._observed = False  # whether the servers were observed at least once
        self._crashes_before = dict(record.crashes) if record is not None else {}  # at the start of the stage
        self._cold_baseline = ColdBaseline()  # for all stages, as they have the same base
        self._effects: list[Effect] = []

    def copy(self) -> "RolloutController":
        """Return an independent copy, except for the analysis, for state-space exploration."""
        duplicate = RolloutController.__new__(RolloutController)
        duplicate.__dict__.update(self.__dict__)
        duplicate.servers = dict(self.servers)
        duplicate.changes = self.changes.copy()
        duplicate.sampler = self.sampler.copy()
        duplicate._crashes_before = dict(self._crashes_before)
        duplicate._effects = []
        return duplicate

    def state_key(self) -> tuple[Any, ...]:
        """Return all that decisions depend on as a hashable key, except the progress of the analysis."""
        return (
            self.record,
            self.pending_record,
            tuple(self.servers.items()),
            tuple(self.changes.pending.items()),
            self.analysis is None,
            frozenset(self.changes.restarted_controls),
            self._observed,
        )

    def handle(self, now: int, event: Event) -> list[Effect]:
        """Handle an event at boot time `now` (ns) and return the effects to carry out, in order."""
        self.now = max(self.now, now)
        match event:
            case ServersObserved(servers):
                self._on_servers_observed(servers)
            case DeadlineReached():
                self._on_timer()
            case OrderReceived(order):
                self._on_order(order)
            case RecordStored():
                self._on_record_stored()
            case DesiredVersionsRecovered(versions):
                self._on_desired_versions_recovered(versions)
        effects = self._effects
        self._effects = []
        return effects

    def _log(self, event: str, **fields: Any) -> None:
        self._effects.append(LogEvent(event, fields))

    # ---- record

    def _store_step(self, step: str, reason: str, **changes: Any) -> None:
        """Commit a step of the rollout: its record with `changes` to the fields and a new history entry."""
        assert self.record is not None
        history = (*self.record.history, HistoryEntry(self.wall_clock(), step, reason))
        changed = msgspec.structs.replace(
            self.record, history=history[-MAX_HISTORY:], reason=reason, **changes
        )
        self._store(changed, step)

    def _store(self, record: RolloutRecord, step: str) -> None:
        self.pending_record = record
        self._effects.append(StoreRecord(record))
        self._log("roll", number=record.number, what=step, why=record.reason)

    def _on_record_stored(self) -> None:
        assert self.pending_record is not None
        before = self.record
        record = self.record = self.pending_record
        self.pending_record = None
        self.changes.blocked_since = self.now
        self._crashes_before = dict(record.crashes)
        if before is None or (before.number, before.stage_index) != (record.number, record.stage_index):
            self.analysis = None
            self.changes.begin_stage(self.servers)
        if before is None or before.number != record.number:
            self._cold_baseline = ColdBaseline()

    # ---- orders

    def _on_order(self, order: Order) -> None:
        """Execute an order once; an order that does not apply now is only logged as refused."""
        record = self.record
        if self.pending_record is not None or (record is not None and order.number <= record.last_order):
            return
        reason = order.reason or "by hand"
        if order.command == "start":
            self._start(order, reason)
            return
        transition = TRANSITIONS[order.command]
        if record is None or record.phase not in transition.allowed_in:
            self._log(
                "order refused", number=order.number, why="no rollout in a phase that allows " + order.command
            )
        elif order.command == "skip":
            self._next_stage(f"skipped: {reason}", last_order=order.number)
        else:
            self.analysis = None
            self._store_step(order.command, reason, phase=transition.to, last_order=order.number)

    def _start(self, order: Order, reason: str) -> None:
        fault = start_fault(order)
        if self.record is not None and not self.record.is_over:
            fault = f"rollout {self.record.number} is in progress"
        if fault:
            self._log("order refused", number=order.number, why=fault)
            return
        assert order.version is not None
        assert order.base is not None
        record = RolloutRecord(
            number=1 if self.record is None else self.record.number + 1,
            version=order.version,
            base=order.base,
            stages=order.stages,
            max_down=order.max_down,
            max_down_per_zone=order.max_down_per_zone,
            reason=reason,
            last_order=order.number,
            history=(HistoryEntry(self.wall_clock(), "start", reason),),
        )
        self._store(record, "start")

    # ---- servers

    def _on_servers_observed(self, servers: list[ServerStatus]) -> None:
        self.servers = {server.id: server for server in servers}
        self._observed = True

    def _on_desired_versions_recovered(self, versions: dict[str, Version]) -> None:
        """Adopt an earlier controller's changes, so that servers that are about to restart count as down."""
        for server_id, version in versions.items():
            if not self._runs(server_id, version):
                self.changes.recover(server_id, version, self.now)

    def _runs(self, server_id: str, version: Version) -> bool:
        return server_id in self.servers and self.servers[server_id].runs(version)

    def _converge_servers(self, record: RolloutRecord, desired: dict[str, Version]) -> None:
        """Issue the next changes of servers to their desired versions, within the limits on servers down."""
        self._effects += self.changes.plan(self.now, record, self.servers, desired)

    # ---- timers

    def _on_timer(self) -> None:
        if self.now >= self.next_slot:
            self.next_slot = self.now + self.timing.slot
            self._end_slot()
        record = self.record
        if self.pending_record is not None or not self._observed or record is None:
            return
        if record.phase == "going":
            self._advance(record)
        elif record.phase == "backing":
            self._roll_back(record)
        elif record.is_over:
            # A server that was down during the rollout may return with another version; it is changed then.
            version = record.version if record.phase == "done" else record.base
            self._converge_servers(record, dict.fromkeys(self.servers, version))

    def _advance(self, record: RolloutRecord) -> None:
        """Advance the rollout's current stage: choose its target servers, change them and judge them."""
        if self._choose_targets(record):
            return
        if self.analysis is None:
            zones = sorted({server.zone for server in self.servers.values()})
            self.analysis = self._make_analysis(
                zones, self.timing.alpha, self.timing.min_slots, self._cold_baseline
            )
        targets = set(record.targets)
        desired = {
            server_id: record.version if server_id in targets else record.base for server_id in self.servers
        }
        self._converge_servers(record, desired)
        late = self.changes.late_server(record.version, self.now, self.timing.change_timeout)
        if late:
            self._store_step("back", f"{late} did not start the new version in time", phase="backing")
        elif self.changes.blocked and self.now - self.changes.blocked_since >= self.timing.change_timeout:
            down = [server.id for server in self.servers.values() if not server.up]
            named = ", ".join(down[:MAX_DOWN_NAMED]) or "none"
            reason = f"servers that are down block the change of {self.changes.blocked[0]}: {named}"
            self._store_step("ask", reason, phase="asking")
        else:
            self._judge(record, self.analysis)

    def _choose_targets(self, record: RolloutRecord) -> bool:
        """Choose the servers of the current stage and commit them, unless that was done already.

        Returns:
            Whether targets and controls were chosen, so that the caller waits for the commit.
        """
        servers = list(self.servers.values())
        targets = choose_targets(record.stage, record.targets, servers)
        if len(targets) <= len(record.targets) or (record.targets and self.analysis is not None):
            return False
        controls = choose_controls(record.stage, targets, servers)
        # Recorded, so that a succeeding controller counts the crashes since the same time.
        crashes = tuple((server.id, server.figures[CRASHES]) for server in servers if server.crashes)
        self._store_step("stage", record.stage, targets=targets, controls=controls, crashes=crashes)
        return True

    def _judge(self, record: RolloutRecord, analysis: CanaryAnalysis) -> None:
        """Act on the analysis: on 'worse' at once, on others once all live targets run the new version."""
        zone_of = {server.id: server.zone for server in self.servers.values()}
        judgement = analysis.judge(zone_of)
        if judgement.verdict == "worse":
            self._log_findings(judgement)
            self._store_step("back", judgement.reason, phase="backing")
            return
        present = [self.servers[server_id] for server_id in record.targets if server_id in self.servers]
        if not all(server.runs(record.version) for server in present if server.alive):
            return
        if judgement.verdict == "not worse":
            self._log("verdict", verdict=judgement.verdict, why=judgement.reason)
            self._next_stage(judgement.reason)
        elif analysis.slots >= self.timing.max_slots:
            self._log_findings(judgement)
            self._store_step("ask", f"can't tell: {judgement.reason}", phase="asking")

    def _log_findings(self, judgement: Judgement) -> None:
        findings = [finding.log_fields() for finding in judgement.findings[:MAX_FINDINGS_LOGGED]]
        self._log("verdict", verdict=judgement.verdict, why=judgement.reason, findings=findings)

    def _next_stage(self, reason: str, **changes: Any) -> None:
        record = self.record
        assert record is not None
        self.analysis = None
        if record.stage_index + 1 < len(record.stages):
            index = record.stage_index + 1
            self._store_step("next stage", reason, phase="going", stage_index=index, **changes)
        else:
            self._store_step("done", reason, phase="done", **changes)

    def _roll_back(self, record: RolloutRecord) -> None:
        self._converge_servers(record, dict.fromkeys(self.servers, record.base))
        if all(server.runs(record.base) for server in self.servers.values() if server.alive):
            self._store_step("back", record.reason, phase="back")

    # ---- slots

    def _end_slot(self) -> None:
        """End a measuring interval: pass the servers' samples to the analysis of the current stage."""
        record = self.record
        servers = self.servers.values()
        targets = frozenset(record.targets if record is not None else ())
        samples = self.sampler.sample(servers, record, targets, self._crashes_before)
        if self.analysis is None or record is None or record.phase != "going":
            return
        samples += crashed_targets(servers, record, targets, self._crashes_before)
        running = [server_id for server_id in record.targets if self._runs(server_id, record.version)]
        self.analysis.add_slot(samples, running)
