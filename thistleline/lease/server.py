"""One voter with the leases on top: what clients ask goes in, answers come out. No I/O, no clock.

Inputs beside the voter's (consensus/replica.py):  asked ticket Op
Effects beside its send, write, log, led, leading:  (answer ticket Answer)  (hint name asker): it holds now
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from thistleline.consensus.messages import Member
from thistleline.consensus.replica import Effect, Voter
from thistleline.lease.liveness import LivenessTracker
from thistleline.lease.protocol import (
    DECISIONS,
    ChangeReplicas,
    CreateCluster,
    Denied,
    Describe,
    Done,
    Get,
    GetStatus,
    LeaseList,
    Op,
    Question,
    Renew,
    Renewed,
    ReplicaStatus,
    Unavailable,
)
from thistleline.lease.table import LeaseTable, encode_decision, validate

LIST_BOUND = 1000
OWN = None  # the ticket of what the office itself proposes


class Office:
    __slots__ = ("proposals", "questions", "table", "voter", "wall", "watch")

    def __init__(self, voter: Voter, wall: Callable[[], int]) -> None:
        """`voter` decides on a Table. `wall`: ms, only for people to read."""
        assert isinstance(voter.machine, LeaseTable)
        self.voter, self.wall = voter, wall
        self.table: LeaseTable = voter.machine
        self.watch = LivenessTracker()
        self.proposals: list[tuple[Any, bytes]] = []
        self.questions: list[Any] = []

    def copy(self) -> "Office":
        made = Office(self.voter.copy(), self.wall)
        made.watch = self.watch.copy()
        return made

    def frozen(self, names: Mapping[str, str] = MappingProxyType({})) -> tuple[Any, ...]:
        led = self.watch.state_key() if self.voter.phase == "leading" else ()
        return self.voter.frozen(names), led

    def due(self) -> int:
        due, watched = self.voter.due(), self.watch.next_deadline()
        return due if watched is None or self.voter.phase != "leading" else min(due, watched)

    def take(self, now: int, *inputs: tuple[Any, ...]) -> list[Effect]:
        """All that came in at once: what is asked goes to the log together."""
        effects: list[Effect] = []
        for kind, *told in inputs:
            if kind == "asked":
                self._asked(now, told[0], told[1], effects)
            else:
                self._voter(now, effects, kind, *told)
        if self.proposals:
            proposals, self.proposals = self.proposals, []
            self._voter(now, effects, "propose", proposals)
        if self.questions:
            questions, self.questions = self.questions, []
            self._voter(now, effects, "read", questions)
        if self.voter.phase == "leading":
            over = self.watch.expired(now, self.wall(), self.table)
            if over:
                self._voter(now, effects, "propose", [(OWN, encode_decision(one)) for one in over])
        return effects

    def _asked(self, now: int, ticket: Any, op: Op, effects: list[Effect]) -> None:
        voter = self.voter
        if isinstance(op, GetStatus):
            told = (voter.id, voter.council, voter.phase, voter.term, voter.leader, voter.committed)
            rest = (voter.applied, voter.log.last, voter.log.base)
            known = tuple((one.id, one.address) for one in voter.members)
            leases = len(self.table.state.leases)
            effects.append(("answer", ticket, ReplicaStatus(*told, *rest, known, leases, voter.failing)))
        elif isinstance(op, CreateCluster):
            if voter.phase == "unformed":
                members = tuple(sorted(Member(*one) for one in op.members))
                self._voter(now, effects, "form", op.cluster, members)
            formed = voter.council == op.cluster
            effects.append(
                ("answer", ticket, Done("formed") if formed else Denied("it has a council already"))
            )
        elif isinstance(op, ChangeReplicas):
            self._voter(now, effects, "change", (ticket, op), op.action, Member(op.id, op.address))
        elif isinstance(op, DECISIONS):
            wrong = validate(op)
            if wrong:
                effects.append(("answer", ticket, Denied(wrong)))
            else:
                self.proposals.append(((ticket, op), encode_decision(_stamped(op, self.wall()))))
        else:
            if isinstance(op, Renew) and voter.phase == "leading":
                for name, asker in op.leases:
                    self.watch.renew(now, name, asker, self.table)
            self.questions.append((ticket, op))

    def _voter(self, now: int, effects: list[Effect], kind: str, *told: Any) -> None:
        for effect in self.voter.take(now, kind, *told):
            if effect[0] == "decided":
                if effect[1] is not OWN:
                    answer = effect[2]
                    effects.append(
                        ("answer", effect[1][0], Done(answer) if isinstance(answer, str) else answer)
                    )
            elif effect[0] == "readable":
                effects.append(("answer", effect[1][0], self._look(effect[1][1])))
            elif effect[0] == "refused":
                if effect[1] is not OWN:
                    effects.append(("answer", effect[1][0], Unavailable(effect[2], effect[3])))
            elif effect[0] == "leading":
                self.watch.reset(now, self.table)
                effects.append(effect)
            else:
                effects.append(effect)
        table = self.table
        if table.changed:
            if self.voter.phase == "leading":
                for name in table.changed:
                    known = self.watch.leases.get(name)
                    self.watch.update(now, name, table)
                    lease = table.state.leases.get(name)
                    if known is not None and lease is not None and lease.epoch != known[0]:
                        effects.append(("hint", name, lease.holder))
            table.changed = {}

    def _look(self, op: Question) -> Any:
        table = self.table
        if isinstance(op, Renew):
            return Renewed(tuple(table.status_of(name, asker) for name, asker in op.leases))
        if isinstance(op, Get):
            return table.get(op.key)
        assert isinstance(op, Describe)
        if not op.name.endswith("*"):
            return table.describe(op.name)
        names = sorted(one for one in table.state.leases if one.startswith(op.name[:-1]) and one > op.after)
        return LeaseList(tuple(table.describe(name) for name in names[:LIST_BOUND]))


def _stamped(op: Any, at: int) -> Any:
    return type(op)(**{**{name: getattr(op, name) for name in op.__struct_fields__}, "wall_ms": at})
