"""What a conductor decides: who changes next, when a stage is judged, when all goes back. No I/O, no clock.

Inputs:  seen [Seen] | wanted {id: Version} | order Order | recorded | elapsed
Effects: (record Roll)      decided by the council under the lease; `recorded` answers it
         (want id Version turn)  idempotent, under the lease; what is wanted already costs nothing
         (log event facts)

Whatever it does follows from the record that is decided and from what members show, so that a successor goes
on where it stopped. Only how far a stage has been judged is in memory: a successor judges it anew.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from thistleline.rollout.canary import Judge, Slot
from thistleline.rollout.record import PAST_BOUND, Order, Past, Phase, Roll, Seen, controls, targets, wrong
from thistleline.supervisor.model import Version

SECOND = 1_000_000_000


class Spans:
    """How long things may take, ns."""

    __slots__ = ("alpha", "change", "enough", "patience", "slot")

    def __init__(
        self, slot: int = 5 * SECOND, change: int = 120 * SECOND, enough: int = 36, patience: int = 240
    ) -> None:
        """`slot`: of what is compared. `change`: for a server to come up with a version; past that it counts
        as one that does not. `enough`, `patience`: slots for 'not worse', and before a person is asked."""
        self.slot, self.change, self.enough, self.patience = slot, change, enough, patience
        self.alpha = 0.02


class Conducting:
    def __init__(
        self,
        now: int,
        wall: Callable[[], int],
        roll: Roll | None,
        spans: Spans,
        judge: Callable[..., Judge] = Judge,
    ) -> None:
        """`roll`: as the council has it, of this or an earlier conductor. `judge` makes one a stage."""
        self.make_judge = judge
        self.now, self.wall, self.spans = now, wall, spans
        self.roll = roll
        self.crashes = dict(roll.crashes) if roll is not None else {}  # as the stage began; 0 where not told
        self.recording: Roll | None = None
        self.members: dict[str, Seen] = {}
        self.seen_once = False
        self.effects: list[tuple[Any, ...]] = []
        self.changing: dict[str, tuple[Version, int]] = {}  # wanted of whom, since when
        self.judge: Judge | None = None
        self.next_slot = now + spans.slot
        self.before: dict[str, tuple[int, ...]] = {}  # figures at the last slot
        self.restarted: set[str] = set()  # controls of this stage, once each
        self.cold_old: dict[str, tuple[int, float]] = {}  # what judges of this change have learned of it
        self.no_room: tuple[str, ...] = ()  # who would be changed next, if others were not down
        self.no_room_since = now
        self.verdict: tuple[str, list[Any], str] = ("can't tell", [], "")

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def copy(self) -> "Conducting":
        made = Conducting.__new__(Conducting)
        made.__dict__.update(self.__dict__)
        made.members, made.changing = dict(self.members), dict(self.changing)
        made.before, made.crashes, made.effects = dict(self.before), dict(self.crashes), []
        made.restarted = set(self.restarted)
        return made

    def frozen(self) -> tuple[Any, ...]:
        """All that what it decides can depend on, but for how far a stage is judged."""
        return (
            *(self.roll, self.recording, tuple(self.members.items()), tuple(self.changing.items())),
            *(self.judge is None, frozenset(self.restarted), self.seen_once),
        )

    def _log(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, facts))

    # ---- what is recorded

    def _record(self, what: str, why: str, **changes: Any) -> None:
        """Nothing is done on a change of the roll before it is decided."""
        assert self.roll is not None
        past = (*self.roll.past, Past(self.wall(), what, why))[-PAST_BOUND:]
        self.recording = msgspec.structs.replace(self.roll, past=past, why=why, **changes)
        self.effects.append(("record", self.recording))
        self._log("roll", number=self.roll.number, what=what, why=why)

    def _recorded(self) -> None:
        assert self.recording is not None
        before, self.roll, self.recording = self.roll, self.recording, None
        self.no_room_since = self.now
        self.crashes = dict(self.roll.crashes)
        if before is None or (before.number, before.stage) != (self.roll.number, self.roll.stage):
            self._begin_stage()
        if before is None or before.number != self.roll.number:
            self.cold_old = {}

    def _begin_stage(self) -> None:
        self.judge = None
        self.restarted = set()
        self.changing = {id: told for id, told in self.changing.items() if not self._is(id, told[0])}

    def _is(self, id: str, version: Version) -> bool:
        return id in self.members and self.members[id].runs(version)

    # ---- orders

    def _order(self, order: Order) -> None:
        """Each once; one that makes no sense now is answered in the log and nowhere else."""
        roll = self.roll
        if self.recording is not None or (roll is not None and order.number <= roll.order):
            return
        why = order.why or "by hand"
        if order.what == "start":
            fault = wrong(order)
            if roll is not None and not roll.over:
                fault = f"change {roll.number} is under way"
            if fault:
                self._log("order refused", number=order.number, why=fault)
                return
            assert order.version is not None
            assert order.base is not None
            number = 1 if roll is None else roll.number + 1
            past = (Past(self.wall(), "start", why),)
            bounds = (order.stages, order.down, order.down_zone)
            fresh = Roll(number, order.version, order.base, *bounds)
            self.recording = msgspec.structs.replace(fresh, why=why, order=order.number, past=past)
            self.effects.append(("record", self.recording))
            self._log("roll", number=number, what="start", why=why)
            return
        allowed: dict[str, tuple[tuple[Phase, ...], Phase]] = {
            "pause": (("going", "asking"), "paused"),
            "resume": (("paused", "asking"), "going"),
            "back": (("going", "paused", "asking", "done"), "backing"),
            "skip": (("going", "paused", "asking"), "going"),
        }
        phases, to = allowed[order.what]
        if roll is None or roll.phase not in phases:
            self._log("order refused", number=order.number, why="nothing to " + order.what)
        elif order.what == "skip":
            self._next_stage(f"skipped: {why}", order=order.number)
        else:
            self.judge = None
            self._record(order.what, why, phase=to, order=order.number)

    # ---- what is seen

    def _seen(self, members: list[Seen]) -> None:
        self.members = {one.id: one for one in members}
        self.seen_once = True

    def _wanted(self, wants: dict[str, Version]) -> None:
        """What earlier conductors wanted of servers, and may not have come about yet; guards the bounds
        against a successor that takes for up what is about to go down."""
        for id, version in wants.items():
            if not self._is(id, version):
                self.changing.setdefault(id, (version, self.now))

    def _elapsed(self) -> None:
        if self.now >= self.next_slot:
            self.next_slot = self.now + self.spans.slot
            self._slot()
        if self.recording is not None or not self.seen_once or self.roll is None:
            return
        roll = self.roll
        if roll.phase == "going":
            self._go(roll)
        elif roll.phase == "backing":
            self._back(roll)
        elif roll.over:
            # Who was away comes back with what it had then.
            self._bring(
                roll, dict.fromkeys(self.members, roll.version if roll.phase == "done" else roll.base)
            )

    def _go(self, roll: Roll) -> None:
        chosen = targets(roll.stages[roll.stage], roll.targets, list(self.members.values()))
        if len(chosen) > len(roll.targets) and (not roll.targets or self.judge is None):
            stage = roll.stages[roll.stage]
            beside = controls(stage, chosen, list(self.members.values()))
            # In the record, so that a successor counts from the same.
            counts = tuple((one.id, one.figures[6]) for one in self.members.values() if any(one.figures[6:7]))
            self._record("stage", stage, targets=chosen, controls=beside, crashes=counts)
            return
        if self.judge is None:
            zones = {one.zone for one in self.members.values()}
            self.judge = self.make_judge(sorted(zones), self.spans.alpha, self.spans.enough)
            self.judge.cold_old = self.cold_old  # how the base does cold is true of all stages
        new = set(roll.targets)
        self._bring(roll, {id: roll.version if id in new else roll.base for id in self.members})
        late = [
            id
            for id, (version, since) in self.changing.items()
            if version == roll.version and self.now - since >= self.spans.change
        ]
        if late:
            self._record("back", f"{late[0]} does not come up with it", phase="backing")
            return
        if self.no_room and self.now - self.no_room_since >= self.spans.change:
            down = [one.id for one in self.members.values() if not one.up]
            why = f"no room to change {self.no_room[0]}: down are {', '.join(down[:8]) or 'none'}"
            self._record("ask", why, phase="asking")
            return
        self._judged(roll)

    def _judged(self, roll: Roll) -> None:
        assert self.judge is not None
        zone_of = {one.id: one.zone for one in self.members.values()}
        self.verdict = verdict, findings, why = self.judge.verdict(zone_of)
        if verdict == "worse":
            self._log("verdict", verdict=verdict, why=why, findings=[one._asdict() for one in findings[:5]])
            self._record("back", why, phase="backing")
            return
        here = [self.members[id] for id in roll.targets if id in self.members]
        if not all(one.runs(roll.version) for one in here if one.alive):
            return
        if verdict == "not worse":
            self._log("verdict", verdict=verdict, why=why)
            self._next_stage(why)
        elif self.judge.slots >= self.spans.patience:
            self._log("verdict", verdict=verdict, why=why, findings=[one._asdict() for one in findings[:5]])
            self._record("ask", f"can't tell: {why}", phase="asking")

    def _next_stage(self, why: str, **more: Any) -> None:
        roll = self.roll
        assert roll is not None
        self.judge = None
        if roll.stage + 1 < len(roll.stages):
            self._record("next stage", why, phase="going", stage=roll.stage + 1, **more)
        else:
            self._record("done", why, phase="done", **more)

    def _back(self, roll: Roll) -> None:
        self._bring(roll, dict.fromkeys(self.members, roll.base))
        if all(self._is(one.id, roll.base) for one in self.members.values() if one.alive):
            self._record("back", roll.why, phase="back")

    # ---- servers

    def _bring(self, roll: Roll, should: dict[str, Version]) -> None:
        """Towards what each should run, with no more down at once than is allowed, whoever took them down."""
        moved = False
        for id in list(self.changing):
            if id not in self.members or self._is(id, self.changing[id][0]):
                del self.changing[id]
                moved = True
        down: dict[str, int] = {}
        no_room: list[str] = []
        for one in self.members.values():
            if not one.up or one.id in self.changing:
                down[one.zone] = down.get(one.zone, 0) + 1
        for id, version in sorted(should.items()):
            one = self.members[id]
            if one.runs(version) or not one.alive:
                continue
            wanted = self.changing.get(id)
            if wanted is not None and wanted[0] == version:
                continue
            counted = not one.up or id in self.changing  # down already: a change takes no other down
            room = sum(down.values()) < roll.down and down.get(one.zone, 0) < roll.down_zone
            if counted or room:
                if not counted:
                    down[one.zone] = down.get(one.zone, 0) + 1
                self.changing[id] = version, self.now
                self.effects.append(("want", id, version, 0))
                moved = True
            else:
                no_room.append(id)
        if moved or not no_room:
            self.no_room_since = self.now
        self.no_room = tuple(no_room)
        if roll.phase == "going":
            self._restart_controls(roll, down)

    def _restart_controls(self, roll: Roll, down: dict[str, int]) -> None:
        """Old ones, once each, and within what may be down: how they do cold is what cold new ones are held
        against."""
        for id in roll.controls:
            one = self.members.get(id)
            if one is None or id in self.restarted or not one.runs(roll.base):
                continue
            if sum(down.values()) < roll.down and down.get(one.zone, 0) < roll.down_zone:
                down[one.zone] = down.get(one.zone, 0) + 1
                self.restarted.add(id)
                self.effects.append(("want", id, roll.base, roll.number * 100 + roll.stage + 1))

    # ---- what is compared

    def _slot(self) -> None:
        roll, judge = self.roll, self.judge
        changing = frozenset(roll.targets if roll is not None else ())
        told: list[Slot] = []
        # Where one does not say what its work was worth, counts are compared; guards against holding the
        # worth of new ones against the counts of old ones.
        says_worth = all(one.worth[0] for one in self.members.values() if one.up and one.figures[:1] > (0,))
        for one in self.members.values():
            if len(one.figures) < 8:
                continue
            before, here = self.before.get(one.id), (*one.figures[:8], *one.worth)
            self.before[one.id] = here
            # Of the same life, or of one whose figures began anew.
            if before is None or not one.up or roll is None:
                continue
            since = before if before[7] == here[7] else (0,) * len(here)
            tasks, finished, rejected, abandoned, slow = (max(0, here[k] - since[k]) for k in range(5))
            came = max(1, tasks)
            worth, done = (max(0, here[k] - since[k]) for k in (8, 9))
            served = done / worth if says_worth and worth else finished / came
            tried = one.id in changing and not one.runs(roll.version)  # its crashes are counted below
            told.append(
                Slot(one.id, one.zone, one.runs(roll.version), not one.warm, tasks, min(1.0, served),
                     min(1.0, rejected / came), min(1.0, abandoned / came), min(1.0, slow / max(1, finished)),
                     here[5] / MEMORY_SCALE, 0 if tried else here[6] - self.crashes.get(one.id, 0), 0)
            )  # fmt: skip
        if judge is not None and roll is not None and roll.phase == "going":
            # A crashed one that comes and goes is in no slot; its crashes count all the same.
            for one in self.members.values():
                crashed = one.figures[6] - self.crashes.get(one.id, 0) if len(one.figures) > 6 else 0
                # One whose heirs die serves on with the old version; those deaths are the new one's.
                if one.id in changing and not one.runs(roll.version) and crashed > 0:
                    told.append(Slot(one.id, one.zone, True, True, 0, 0.0, 0.0, 0.0, 0.0, 0.0, crashed, 0))
            judge.take(told, [id for id in roll.targets if self._is(id, roll.version)])


MEMORY_SCALE = 1_000_000  # kB that count as the whole, so that growth is a small part
