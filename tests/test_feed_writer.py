"""Who numbers the changes of configuration: fences, lost answers, takeovers, the ring, the disk."""

import errno
import json
from collections.abc import Callable, Mapping
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any, TypeVar

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from thistleline.config_feed import operations, pending_queue, record_ring
from thistleline.config_feed.archive import Archive
from thistleline.config_feed.archive_format import ArchivedStep
from thistleline.config_feed.effects import CloseDownstream, SendDownstream
from thistleline.config_feed.events import SubscriberJoined, SubscriberMessage
from thistleline.config_feed.group_commit import READ_RETRY_NS
from thistleline.config_feed.history import History
from thistleline.config_feed.limits import (
    CHANGE_ITEMS_LIMIT,
    CHANGE_SIZE_LIMIT,
    GROUP_SIZE_LIMIT,
    KEY_LENGTH_LIMIT,
    PENDING_PROPOSALS_LIMIT,
    RING_SLOTS,
    SECOND,
    STALL_TIMEOUT_NS,
    VALUE_SIZE_LIMIT,
)
from thistleline.config_feed.messages import (
    Change,
    Follow,
    Group,
    Propose,
    ProposeResult,
    decode_group,
    encode,
)
from thistleline.config_feed.recovery import record_key
from thistleline.config_feed.relay import FeedRelay
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.validation import find_faults
from thistleline.config_feed.writer import CATCH_UP_TIMEOUT_NS, PENDING_SIZE_LIMIT, FeedWriter
from thistleline.config_feed.writer_effects import (
    AnswerProposal,
    FollowKeepers,
    ReadRecord,
    ReleaseLease,
    WriteRecord,
    WriterEffect,
)
from thistleline.config_feed.writer_events import (
    CatchUpAdvanced,
    KeeperDurable,
    LeaseAcquired,
    LeaseLost,
    ProposalReceived,
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriterEvent,
    WriteUnanswered,
)
from thistleline.lab.simulation.feed_world import build_fleet, commit_changes, settle
from thistleline.lease.protocol import Acquire, Break, Denied, Done, Granted, Put
from thistleline.lease.table import LeaseTable as Council
from thistleline.lease.table import encode_decision
from thistleline.reducer.events import DeadlineReached
from thistleline.store.disk import Disk

KEEPERS = ("a", "b", "c")
Effect = TypeVar("Effect", bound=WriterEffect)


def share(number: int) -> bytes:
    return json.dumps({"share": 0.25, "allowance_per_s": number}).encode()


def wish(request: str, key: str = "tenant/x", value: bytes | None = b'{"share":0.5}', **more: Any) -> Propose:
    return Propose(request, ((key, value),), **more)


class Voters:
    """The council as one place where each request is decided at once: as a real one looks from outside.
    Keeps all that was ever written, as the oracle of what may be said."""

    def __init__(self) -> None:
        self.table = Council()
        self.index = self.grants = 0
        self.epoch = 0
        self.groups: list[Group] = []

    def _decide(self, decision: Any) -> Any:
        self.index += 1
        return self.table.apply(self.index, encode_decision(decision))

    def grant(self, who: str) -> int:
        """To `who` a new lease; who had it is not told."""
        if self.epoch:
            self._decide(Break("feed", self.epoch, "a test"))
        self.grants += 1
        granted = self._decide(Acquire("feed", f"{who}.{self.grants}", 10 * SECOND))
        assert isinstance(granted, Granted)
        self.epoch = granted.epoch
        return self.epoch

    def put(self, put: Put) -> Done | Denied:
        answer = self._decide(put)
        assert isinstance(answer, Done | Denied)
        if isinstance(answer, Done):
            self.groups.append(decode_group(put.value))
        return answer

    def sequence(self) -> list[Change]:
        return [change for group in self.groups for change in group.changes]


class Keeper:
    """A writer with what its service would be: requests that are out, what was answered."""

    def __init__(self, voters: Voters, id: str, table: FeedTable | None = None) -> None:
        self.voters, self.id, self.now = voters, id, 0
        self.history = History(table)
        self.writer = FeedWriter(id, self.history, KEEPERS, 0)
        self.out: list[ReadRecord | WriteRecord] = []  # that the council has not seen yet
        self.answers: dict[Any, ProposeResult] = {}
        self.seen: list[WriterEffect] = []

    @property
    def phase(self) -> str:
        return self.writer.phase

    def tell(self, event: WriterEvent, after: int = 0) -> None:
        self.now += after
        for effect in self.writer.handle(self.now, event):
            self.seen.append(effect)
            if isinstance(effect, ReadRecord | WriteRecord):
                self.out.append(effect)
            elif isinstance(effect, AnswerProposal):
                assert effect.ticket not in self.answers, "a proposer is answered twice"
                self.answers[effect.ticket] = effect.result

    def carry(self, request: ReadRecord | WriteRecord, answered: bool = True, unknown: bool = False) -> None:
        """One request reaches the council; its answer comes, is lost, or is known to be lost."""
        slot = request.slot
        if isinstance(request, ReadRecord):
            got = self.voters.table.get(request.key)
            if answered:
                self.tell(RecordRead(slot, got.value, got.version))
            return
        answer = self.voters.put(request.put)
        if unknown:
            self.tell(WriteUnanswered(slot))
        elif answered and isinstance(answer, Done):
            self.tell(RecordWritten(slot, answer.version))
        elif answered:
            assert isinstance(answer, Denied)
            self.tell(WriteDenied(slot, answer.reason))

    def serve(self) -> "Keeper":
        while self.out:
            self.carry(self.out.pop(0))
        return self

    def hold(self) -> "Keeper":
        self.tell(LeaseAcquired(self.voters.grant(self.id)))
        return self

    def propose(self, request: str, *told: Any, ticket: Any = None, **more: Any) -> None:
        self.tell(ProposalReceived(ticket or request, wish(request, *told, **more)))

    def all_durable(self) -> None:
        for id in KEEPERS:
            self.tell(KeeperDurable(id, self.history.table.sequence))

    def write(self, count: int, durable: bool = True) -> None:
        """So many changes, a group each."""
        for _ in range(count):
            number = self.history.table.sequence + 1
            self.propose(f"r{number}", f"tenant/{number % 7}", share(number))
            self.serve()
            if durable:
                self.all_durable()

    def follow(self, above: "Keeper") -> None:
        """As a follower would, at once to the newest there."""
        table = self.history.table
        if table.sequence < above.history.table.sequence:
            delta = None
            if above.history.contains(table.sequence, table.digest("all"), "all"):
                delta = above.history.delta(table.sequence, "all")
            if delta is None:
                self.history.reset(above.history.table)
            else:
                self.history.advance(delta.last, delta.items)

    def kinds(self, kind: type[Effect]) -> list[Effect]:
        return [effect for effect in self.seen if isinstance(effect, kind)]


def states(changes: list[Change]) -> list[FeedTable]:
    """What the table is at each number, by the oracle's own fold."""
    found = [FeedTable()]
    for place, change in enumerate(changes):
        assert change.sequence == place + 1, "a gap, or a number used twice"
        found.append(found[-1].apply(change))
    return found


def leading(voters: Voters | None = None, id: str = "a", table: FeedTable | None = None) -> Keeper:
    return Keeper(voters or Voters(), id, table).hold().serve()


# ---- proposals


def test_a_change_is_answered_with_its_number_once_it_is_written() -> None:
    one = leading()
    one.propose("r", "route/x", b'{"limit_ms":100,"effect":"restartable"}')
    assert one.answers == {}
    assert one.history.table.sequence == 0
    one.serve()
    assert one.answers["r"] == ProposeResult("r", 1)
    assert one.history.table.get("route/x") == (b'{"limit_ms":100,"effect":"restartable"}', 1)


def test_a_refused_change_takes_no_number_and_its_reason_is_told() -> None:
    one = leading()
    one.propose("bad", "tenant/x", b'{"share":2,"colour":"red"}')
    one.propose("good")
    one.serve()
    assert one.answers["good"].sequence == 1
    assert "'colour'" in one.answers["bad"].reason
    assert "share" in one.answers["bad"].reason


def test_expected_versions_count_what_waits_in_front() -> None:
    one = leading()
    one.propose("1", expected=(("tenant/x", 0),))
    one.propose("2", expected=(("tenant/x", 0),))  # 1 is out, and will have changed it
    one.propose("3", expected=(("tenant/x", 1),))
    one.propose("4", expected=(("tenant/x", 1),))  # 3 waits in front
    one.propose("5", expected=(("tenant/x", 2),))
    one.serve()
    assert [one.answers[str(each)].sequence for each in range(1, 6)] == [1, 0, 2, 0, 3]
    assert "has version 1, 0 was expected" in one.answers["2"].reason


def test_the_same_request_gets_one_number_out_waiting_and_done() -> None:
    one = leading()
    one.propose("r", ticket="first")
    one.propose("r", ticket="while it is out")
    one.propose("s", ticket="s")
    one.propose("s", ticket="while it waits")
    one.serve()
    one.propose("r", ticket="later")
    assert {ticket: told.sequence for ticket, told in one.answers.items()} == {
        "first": 1,
        "while it is out": 1,
        "s": 2,
        "while it waits": 2,
        "later": 1,
    }
    assert one.history.table.sequence == 2


def test_the_same_request_after_two_takeovers_gets_its_number_however_many_groups_ago() -> None:
    """The writer between wrote over every record of the first one's."""
    one = leading()
    one.write(4)
    two = leading(one.voters, "b", one.history.table)
    two.write(20)
    three = leading(one.voters, "c", two.history.table)
    for request in ("r4", "r1"):
        three.propose(request)
    three.serve()
    assert [three.answers[request].sequence for request in ("r4", "r1")] == [4, 1]
    assert len(one.voters.sequence()) == 24


def test_the_newest_requests_are_remembered_and_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pending_queue, "DEDUPLICATION_SLOTS", 8)
    one = leading()
    one.write(10)
    for writer in (one, leading(one.voters, "b", one.history.table)):
        assert list(writer.writer.committed.items()) == [(f"r{number}", number) for number in range(3, 11)]
    assert sum(key.startswith("made/") for key, _, _ in one.history.table.entries("all")) == 8


def test_ten_thousand_changes_go_out_in_few_groups_and_in_order() -> None:
    one = leading()
    for first in range(0, 10_000, 2000):
        for number in range(first, first + 2000):
            one.propose(f"r{number}", f"tenant/{number}", share(number))
        while one.out:
            one.carry(one.out.pop(0))
            one.all_durable()
    assert [one.answers[f"r{number}"].sequence for number in range(10_000)] == list(range(1, 10_001))
    assert len(one.voters.groups) < 40
    assert all(len(encode(group)) <= GROUP_SIZE_LIMIT for group in one.voters.groups)
    assert max(len(encode(group)) for group in one.voters.groups) > GROUP_SIZE_LIMIT // 2


def test_past_its_bound_the_line_takes_no_more() -> None:
    one = leading()
    for number in range(PENDING_PROPOSALS_LIMIT + 1):
        one.propose(f"r{number}", f"tenant/{number}")
    assert "are pending already" in one.answers[f"r{PENDING_PROPOSALS_LIMIT}"].reason
    one.propose("r5", ticket="again")
    assert "are pending already" in one.answers["again"].reason  # tickets are bounded too
    while one.out:
        one.carry(one.out.pop(0))
        one.all_durable()
    assert len(one.voters.sequence()) == PENDING_PROPOSALS_LIMIT
    one.propose("after")
    one.serve()
    assert one.answers["after"].sequence == PENDING_PROPOSALS_LIMIT + 1


def test_the_line_is_bounded_in_bytes_too() -> None:
    one = leading()
    large = tuple((f"common/{place}", b'{"text":"%s"}' % (b"x" * 4000)) for place in range(5))
    for number in range(PENDING_PROPOSALS_LIMIT):
        one.tell(ProposalReceived(number, Propose(f"r{number}", large)))
        if number in one.answers:
            break
    assert one.writer.pending.size < PENDING_SIZE_LIMIT + CHANGE_SIZE_LIMIT
    assert "bytes of changes are pending already" in one.answers[number].reason
    assert number < PENDING_PROPOSALS_LIMIT // 8


def test_who_does_not_write_refuses_and_says_so() -> None:
    one = Keeper(Voters(), "a")
    one.propose("r")
    assert one.answers["r"] == ProposeResult("r", reason="a is not the writer")
    one.hold()
    one.propose("s")
    assert "reading" in one.answers["s"].reason


# ---- the fence


@pytest.mark.parametrize("first", ["new", "late"])
def test_an_older_writers_put_after_a_newer_lease_is_refused(first: str) -> None:
    old = leading()
    old.write(3)
    old.propose("late")
    old.propose("waits")
    late = old.out.pop()
    new = leading(old.voters, "b", old.history.table)
    for who in ("new", "late") if first == "new" else ("late", "new"):
        if who == "new":
            new.propose("n")
            new.serve()
        else:
            old.carry(late)  # held up until now
            old.serve()
    assert old.phase == "standby"
    assert old.answers["late"].unknown
    assert old.answers["late"].sequence == 0
    assert old.answers["waits"].sequence == 0
    assert not old.answers["waits"].unknown
    assert old.kinds(ReleaseLease)
    assert new.answers["n"].sequence == 4
    new.write(2)
    assert [change.sequence for change in old.voters.sequence()] == [1, 2, 3, 4, 5, 6]


def test_a_put_that_was_decided_just_before_the_newer_lease_counts_there() -> None:
    old = leading()
    old.propose("r")
    old.carry(old.out.pop(), answered=False)
    new = leading(old.voters, "b")
    old.tell(LeaseLost("not heard"))
    assert old.answers["r"].unknown
    new.propose("r", ticket="again")
    new.propose("s")
    new.serve()
    assert (new.answers["again"].sequence, new.answers["s"].sequence) == (1, 2)


def test_an_answer_to_an_earlier_holds_put_is_not_taken_for_this_ones() -> None:
    one = leading()
    one.propose("r", "tenant/old")
    stale = one.out.pop()
    empty = one.voters.table.get(record_key(0))
    one.carry(stale, answered=False)  # written, and its answer is under way
    one.tell(LeaseAcquired(one.voters.grant("a")))
    for read in list(one.out):  # reads that are answered by what stood there before
        one.tell(RecordRead(read.slot, empty.value, empty.version))
    one.out.clear()
    one.propose("s", "tenant/new")
    assert isinstance(one.out[-1], WriteRecord)
    assert one.out[-1].put.version == 0
    one.tell(RecordWritten(0, 1))
    assert "s" not in one.answers
    one.serve()
    assert one.answers["s"].sequence == 0
    assert one.history.table.sequence == 0
    assert [change.request_id for change in one.voters.sequence()] == ["r"]


# ---- answers that are lost


@pytest.mark.parametrize("told", [True, False])
def test_a_lost_answer_to_what_was_written_is_settled_by_reading(told: bool) -> None:
    one = leading()
    one.propose("r")
    one.carry(one.out.pop(), answered=False, unknown=told)
    if not told:
        one.tell(DeadlineReached(), after=6 * SECOND)
    assert one.phase == "settling"
    one.serve()
    assert one.answers["r"] == ProposeResult("r", 1)
    one.write(1)
    assert one.history.table.sequence == 2
    assert len(one.voters.groups) == 2


def test_a_lost_put_is_made_again_with_the_same_version_and_counts_once() -> None:
    one = leading()
    one.propose("r")
    lost = one.out.pop()
    one.tell(WriteUnanswered(0))
    one.carry(one.out.pop())  # the read: nothing there
    again = one.out.pop()
    assert again == lost
    one.carry(lost, answered=False)  # it was only held up
    one.carry(again)  # refused by its version: the first one stands there
    one.serve()
    assert one.answers["r"] == ProposeResult("r", 1)
    assert len(one.voters.groups) == 1


def test_while_the_council_does_not_answer_reads_and_puts_are_spaced_out() -> None:
    one = leading()
    one.propose("r")
    tries = 0
    for _ in range(100):
        if one.out:
            request = one.out.pop()
            tries += 1
            if isinstance(request, WriteRecord):
                one.tell(WriteUnanswered(request.slot))
            else:
                one.carry(request)
        else:
            one.tell(DeadlineReached(), after=SECOND // 20)
    assert tries < 60
    while not one.answers:
        one.serve()
        one.tell(DeadlineReached(), after=SECOND // 20)
    assert one.answers["r"].sequence == 1


def test_a_record_written_by_a_newer_epoch_ends_this_one() -> None:
    old = leading()
    old.propose("r")
    old.tell(WriteUnanswered(0))
    new = leading(old.voters, "b")
    new.propose("n")
    new.serve()
    old.out = [one for one in old.out if isinstance(one, ReadRecord)]
    old.serve()
    assert old.phase == "standby"
    assert old.answers["r"].unknown
    assert old.history.table.sequence == 0
    assert "written by another writer" in old.kinds(ReleaseLease)[0].reason


def test_a_council_that_is_full_ends_the_hold_and_the_answer_is_unknown() -> None:
    one = leading()
    one.propose("r")
    one.out.clear()
    one.tell(WriteDenied(0, "the records are too large together"))
    one.serve()
    assert one.answers["r"].unknown
    assert "too large together" in one.answers["r"].reason
    assert one.phase == "standby"


# ---- taking over


def test_records_that_come_in_any_order_and_some_of_them_empty_are_put_together() -> None:
    one = leading()
    one.write(5)
    for order in ([*range(RING_SLOTS)], [*reversed(range(RING_SLOTS))], [3, 0, 15, 1, *range(4, 15), 2]):
        two = Keeper(one.voters, "b").hold()
        two.out.sort(key=lambda request: order.index(request.slot))
        two.serve()
        assert two.phase == "writing"
        assert two.history.table == one.history.table


def test_reads_without_an_answer_are_asked_anew() -> None:
    one = Keeper(Voters(), "a").hold()
    del one.out[3:]
    one.serve()
    assert one.phase == "reading"
    assert one.writer.next_deadline() == READ_RETRY_NS
    one.tell(DeadlineReached(), after=READ_RETRY_NS)
    assert len(one.out) == RING_SLOTS - 3
    assert one.serve().phase == "writing"


def test_a_table_older_than_the_ring_follows_another_keeper_first() -> None:
    one = leading()
    one.write(3)
    behind = one.history.table
    one.write(30)
    two = Keeper(one.voters, "b", behind).hold()
    two.serve()
    assert two.phase == "catching_up"
    assert len(two.kinds(FollowKeepers)) == 1
    two.propose("r")
    assert "catching up" in two.answers["r"].reason
    third = Keeper(one.voters, "c", behind)
    third.history.reset(states(one.voters.sequence())[10])
    two.follow(third)  # nearer, but not there
    two.tell(CatchUpAdvanced())
    assert two.phase == "catching_up"
    assert two.history.table.sequence == 10
    two.follow(one)
    two.tell(CatchUpAdvanced())
    assert two.phase == "writing"
    assert two.history.table == one.history.table
    two.all_durable()
    two.write(1)
    assert two.answers["r34"].sequence == 34


def test_who_finds_nobody_to_catch_up_from_gives_the_lease_back() -> None:
    one = leading()
    one.write(20)
    two = Keeper(one.voters, "b").hold()
    two.serve()
    two.tell(DeadlineReached(), after=CATCH_UP_TIMEOUT_NS - 1)
    two.history.reset(states(one.voters.sequence())[2])
    two.tell(CatchUpAdvanced())  # nearer: it has its span anew
    two.tell(DeadlineReached(), after=CATCH_UP_TIMEOUT_NS - 1)
    assert two.phase == "catching_up"
    two.tell(DeadlineReached(), after=1)
    assert two.phase == "standby"
    assert "no other keeper" in two.kinds(ReleaseLease)[0].reason


def spoiled(voters: Voters, slot: int, spoil: Callable[[Group], Any]) -> None:
    records = voters.table.state.records
    value, version = records[record_key(slot)]
    told = spoil(decode_group(value))
    records[record_key(slot)] = (told if isinstance(told, bytes) else encode(told), version)


SPOILED: dict[str, tuple[Callable[[Group], Any], str]] = {
    "bytes": (lambda group: b"\xc1", "can't be read"),
    "a gap": (
        lambda group: Group(
            group.epoch,
            tuple(Change(one.sequence + 1, one.request_id, one.items) for one in group.changes),
            group.digest_before,
            group.digest_after,
        ),
        "does not follow",
    ),
    "no change": (
        lambda group: Group(group.epoch, (), group.digest_before, group.digest_after),
        "contains no changes",
    ),
    "a later epoch": (
        lambda group: Group(99, group.changes, group.digest_before, group.digest_after),
        "does not follow",
    ),
    "another value": (
        lambda group: Group(
            group.epoch,
            tuple(Change(one.sequence, one.request_id, (("tenant/y", b"{}"),)) for one in group.changes),
            group.digest_before,
            group.digest_after,
        ),
        "after the group at 3 the local table at 3 does not match the digest",
    ),
    "a digest": (lambda group: Group(group.epoch, group.changes, b"", group.digest_after), "does not follow"),
}


@pytest.mark.parametrize("how", SPOILED)
def test_a_group_that_does_not_fit_is_never_applied(how: str) -> None:
    spoil, why = SPOILED[how]
    one = leading()
    one.write(4)
    spoiled(one.voters, 2, spoil)
    two = leading(one.voters, "b")
    assert two.phase == "standby"
    assert two.history.table.sequence == 0
    assert why in two.kinds(ReleaseLease)[0].reason
    two.propose("r")
    two.serve()
    assert two.answers["r"].sequence == 0


def test_a_missing_record_in_the_middle_is_a_gap() -> None:
    one = leading()
    one.write(4)
    del one.voters.table.state.records[record_key(1)]
    two = leading(one.voters, "b")
    assert two.phase == "standby"
    assert "does not follow" in two.kinds(ReleaseLease)[0].reason


def test_a_table_that_is_not_what_the_groups_were_written_on_does_not_lead() -> None:
    one = leading()
    one.write(4)
    wrong = FeedTable().update(2, [("tenant/x", b"{}", 2)])
    two = leading(one.voters, "b", wrong)
    assert two.phase == "standby"
    assert two.history.table is wrong
    same_number = FeedTable().update(4, [("tenant/x", b"{}", 4)])
    three = leading(one.voters, "c", same_number)
    assert three.phase == "standby"
    assert (
        "after the group at 4 the local table at 4 does not match the digest"
        in three.kinds(ReleaseLease)[0].reason
    )
    newer = FeedTable().update(9, [("tenant/x", b"{}", 9)])
    four = leading(one.voters, "b", newer)
    assert four.phase == "standby"
    assert "records end at 4" in four.kinds(ReleaseLease)[0].reason


def test_a_lease_lost_while_reading_or_catching_up_ends_that() -> None:
    one = leading()
    one.write(20)
    two = Keeper(one.voters, "b").hold()
    two.tell(LeaseLost("not heard"))
    two.serve()
    assert two.phase == "standby"
    two.hold().serve()
    assert two.phase == "catching_up"
    two.tell(LeaseLost("not heard"))
    two.follow(one)
    two.tell(CatchUpAdvanced())
    assert two.phase == "standby"
    assert two.writer.next_deadline() > 1 << 60


# ---- the ring


def test_a_slot_is_not_written_over_before_a_majority_has_its_group() -> None:
    one = leading()
    one.write(RING_SLOTS, durable=False)
    one.propose("r", "tenant/r")
    assert one.out == []
    one.tell(KeeperDurable("a", RING_SLOTS))
    assert one.out == []  # one of three
    one.tell(KeeperDurable("stranger", RING_SLOTS))
    assert one.out == []
    one.tell(KeeperDurable("b", 0))
    assert one.out == []
    one.tell(KeeperDurable("b", 1))  # has what stands in the oldest slot
    assert [type(request) for request in one.out] == [WriteRecord]
    one.serve()
    assert one.answers["r"].sequence == RING_SLOTS + 1
    one.propose("s", "tenant/s")
    assert one.out == []  # the next slot holds change 2


def test_with_too_few_keepers_changes_are_refused_and_go_on_by_themselves_later() -> None:
    one = leading()
    one.write(RING_SLOTS, durable=False)
    one.tell(KeeperDurable("a", RING_SLOTS))
    one.propose("r", "tenant/r")
    one.tell(DeadlineReached(), after=STALL_TIMEOUT_NS - 1)
    assert "r" not in one.answers  # keepers may just be slow
    one.tell(DeadlineReached(), after=1)
    assert "change 1 is on the disks of 1 of 3 keepers" in one.answers["r"].reason
    one.propose("s")
    assert "1 of 3 keepers" in one.answers["s"].reason
    one.propose("r7", ticket="known")
    assert one.answers["known"].sequence == 7
    assert one.writer.counters()["stopped"] == 1
    assert one.writer.next_deadline() > 1 << 60
    one.tell(KeeperDurable("c", RING_SLOTS))
    one.propose("t")
    one.serve()
    assert one.answers["t"].sequence == RING_SLOTS + 1
    assert one.writer.counters()["stopped"] == 0


def test_a_keeper_that_lost_its_disk_counts_no_more() -> None:
    one = leading()
    one.write(RING_SLOTS, durable=False)
    one.tell(KeeperDurable("a", RING_SLOTS))
    one.tell(KeeperDurable("b", RING_SLOTS))
    one.tell(KeeperDurable("b", 0))  # it is back, with nothing
    one.propose("r")
    assert one.out == []


def test_who_wrote_counts_for_the_next_writer_with_all_that_its_disk_has(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Of three keepers one is away: without the disk of who wrote before, the ring of the next is full."""

    def away(name: str) -> bool:
        return name == "k2"

    monkeypatch.setattr(record_ring, "RING_SLOTS", 2)
    world = commit_changes(build_fleet(relays=0, instances=0), 3, away)
    world.move_lease("k1")
    world.lose_lease("k0")
    for _ in range(4):
        settle(world, away)
        world.ticks += 1  # k0 asked k2 first, which is silent
    for _ in range(2):
        world.propose("k1")
        settle(world, away)
    assert world.acknowledged == {f"c{place}": place + 1 for place in range(5)}


def test_a_keeper_that_lost_its_disk_counts_no_more_also_where_it_finds_no_place() -> None:
    one = FeedRelay("a", 0, FeedTable(), ("b", "c"), 0, lambda span: 0, KEEPERS, max_followers=0)
    assert one.writer is not None
    one.handle(0, KeeperDurable("b", 5))
    for peer in range(8):  # places that are for keepers alone
        one.handle(0, SubscriberJoined(peer))
    effects = one.handle(0, SubscriberJoined(8))
    assert [type(effect) for effect in effects] == [SendDownstream, CloseDownstream]
    one.handle(0, SubscriberMessage(8, Follow("b", "all", 0, bytes(16))))
    assert one.writer.durable.sequences == {"b": 0}


def test_a_keeper_says_who_writes_while_it_follows_that_one_and_no_longer() -> None:
    world = build_fleet(relays=0, instances=0)

    def said(name: str) -> tuple[str, str]:
        node = world.nodes[name]
        assert isinstance(node, FeedRelay)
        return node.leader, node.source.leader

    assert [said(name) for name in ("k0", "k1", "k2")] == [("", ""), ("k0", "k0"), ("k0", "k0")]
    world.break_connection("k1")
    assert said("k1") == ("", "")
    world.deliver("k1", DeadlineReached())  # it asks k2, who does not write
    assert said("k1") == ("", "")


def test_what_was_durable_in_an_earlier_hold_does_not_count_but_the_own_disk_does() -> None:
    one = leading()
    one.write(RING_SLOTS)
    one.hold().serve()
    one.propose("r")
    assert one.out == []
    one.tell(KeeperDurable("c", RING_SLOTS))
    one.serve()
    assert one.answers["r"].sequence == RING_SLOTS + 1


# ---- all of it by chance


class Fleet(RuleBasedStateMachine):
    """Three keepers; requests and answers that are lost or late; holders that are not told of the next one;
    keepers that lag, start anew and lose a disk, one at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.voters = Voters()
        self.keepers = {id: Keeper(self.voters, id) for id in KEEPERS}
        self.disks = dict.fromkeys(KEEPERS, FeedTable())
        self.late: list[tuple[Keeper, ReadRecord | WriteRecord]] = []
        self.made: dict[str, int] = {}
        self.requests = 0
        self.lost_disk, self.lost_at = "", 0
        self.folded: list[FeedTable] = [FeedTable()]

    who = st.sampled_from(KEEPERS)

    @rule(who=who)
    def hold(self, who: str) -> None:
        self.keepers[who].hold()

    @rule(who=who)
    def hear_of_the_loss(self, who: str) -> None:
        one = self.keepers[who]
        if one.writer.epoch != self.voters.epoch:
            one.tell(LeaseLost("not heard"))

    @rule(who=who, key=st.integers(0, 3), old=st.booleans(), expected=st.none() | st.integers(0, 3))
    def propose(self, who: str, key: int, old: bool, expected: int | None) -> None:
        one = self.keepers[who]
        if not old:
            self.requests += 1
        request = f"q{self.requests}"
        versions: tuple[tuple[str, int], ...] = ()
        if expected is not None:
            versions = ((f"tenant/{key}", expected),)
        one.propose(
            request,
            f"tenant/{key}",
            share(key),
            ticket=(request, len(one.answers), one.now),
            expected=versions,
        )
        one.now += 1

    @rule(who=who, how=st.sampled_from(["served", "served", "lost", "unanswered", "unknown", "late"]))
    def carry(self, who: str, how: str) -> None:
        one = self.keepers[who]
        while one.out:
            request = one.out.pop(0)
            if how == "served":
                one.carry(request)
                continue
            if how == "late":
                self.late.append((one, request))
            elif how == "lost":
                if isinstance(request, WriteRecord):
                    one.tell(WriteUnanswered(request.slot))
            else:
                one.carry(
                    request, answered=False, unknown=how == "unknown" and isinstance(request, WriteRecord)
                )
            return

    @precondition(lambda self: self.late)
    @rule(place=st.integers(0, 20), answered=st.booleans())
    def come_late(self, place: int, answered: bool) -> None:
        one, request = self.late.pop(place % len(self.late))
        one.carry(request, answered=answered)

    @rule(who=who, after=st.sampled_from([SECOND // 10, SECOND, 6 * SECOND]))
    def elapse(self, who: str, after: int) -> None:
        self.keepers[who].tell(DeadlineReached(), after=after)

    @rule(who=who, above=who)
    def follow(self, who: str, above: str) -> None:
        one = self.keepers[who]
        if one.phase in ("standby", "catching_up"):
            one.follow(self.keepers[above])
            one.tell(CatchUpAdvanced())

    @rule(who=who)
    def persist(self, who: str) -> None:
        one = self.keepers[who]
        self.disks[who] = one.history.table
        for other in self.keepers.values():
            other.tell(KeeperDurable(who, one.history.table.sequence))
        if who == self.lost_disk and self.disks[who].sequence >= self.lost_at:
            self.lost_disk = ""

    @rule(
        who=who,
        count=st.integers(1, 2 * RING_SLOTS),
        kept=st.integers(0, 3),
        then=st.sampled_from(["", "gone"]),
    )
    def busy(self, who: str, count: int, kept: int, then: str) -> None:
        """A quiet stretch: one takes the lease, catches up and writes many groups; so many keepers, itself
        the first, have them on disk at once. Its own disk may be gone right after."""
        one = self._lead(who)
        place = KEEPERS.index(who)
        for _ in range(count):
            self._ask(one)
            one.serve()
            for other in (KEEPERS[place:] + KEEPERS[:place])[:kept]:
                if other != who:
                    self.follow(other, who)
                self.persist(other)
        request = f"q{self.requests}"
        one.propose(request, ticket=(request, "again", len(one.answers)))
        one.serve()
        if then:
            self.lose_disk(who)

    @rule(who=who, other=who, count=st.integers(0, 3), how=st.sampled_from(["before", "after", "unknown"]))
    def overtaken(self, who: str, other: str, count: int, how: str) -> None:
        """A Put is under way while another takes the lease and writes; it reaches the council before that
        one's, after them, or the writer asks what became of it."""
        one = self._lead(who)
        self._ask(one)
        if who == other or not one.out:
            return
        put = one.out.pop()
        two = self._lead(other)
        if how == "before":
            one.carry(put)
        for _ in range(count):
            self._ask(two)
            two.serve()
        if how == "after":
            one.carry(put)
        elif how == "unknown":
            one.tell(WriteUnanswered(put.slot))
        one.serve()

    def _lead(self, who: str) -> Keeper:
        one = self.keepers[who].hold().serve()
        for above in KEEPERS:
            self.follow(who, above)
        return one.serve()

    def _ask(self, one: Keeper) -> None:
        self.requests += 1
        one.propose(f"q{self.requests}", f"tenant/{self.requests % 4}", share(self.requests))

    @rule(who=who)
    def start_anew(self, who: str) -> None:
        self._anew(who)

    @rule(who=who)
    def lose_disk(self, who: str) -> None:
        if self.lost_disk in ("", who):
            self.lost_disk = who
            self.lost_at = max(self.lost_at, len(self.voters.sequence()))
            self.disks[who] = FeedTable()
            self._anew(who)

    def _anew(self, who: str) -> None:
        now = self.keepers[who].now
        self._look(self.keepers[who])
        self.late += [(self.keepers[who], request) for request in self.keepers[who].out]
        self.keepers[who] = Keeper(self.voters, who, self.disks[who])
        self.keepers[who].now = now
        self.keepers[who].tell(KeeperDurable(who, self.disks[who].sequence))

    def _look(self, one: Keeper) -> None:
        for (request, *_), told in ((t, told) for t, told in one.answers.items() if isinstance(t, tuple)):
            if told.sequence:
                assert self.made.setdefault(request, told.sequence) == told.sequence

    @invariant()
    def what_was_told_stands(self) -> None:
        changes = self.voters.sequence()
        for change in changes[len(self.folded) - 1 :]:
            self.folded.append(self.folded[-1].apply(change))  # raises for a gap or a second use
        for one in self.keepers.values():
            self._look(one)
            table = one.history.table
            assert table == self.folded[table.sequence] or (
                table.digest("all") == self.folded[table.sequence].digest("all")
            )
            for request, told in one.answers.items():
                if told.sequence and isinstance(request, str):
                    assert self.made.setdefault(request, told.sequence) == told.sequence
            if one.phase == "writing" and not one.writer.in_flight and one.writer.epoch == self.voters.epoch:
                assert table.sequence == len(changes), "a writer that does not know what was made"
        for request, number in self.made.items():
            assert changes[number - 1].request_id == request

    def teardown(self) -> None:
        """All is well again: any keeper can lead, with all that was ever told."""
        for who in KEEPERS:
            one = self._lead(who)
            assert one.phase == "writing", one.kinds(ReleaseLease)
            self.what_was_told_stands()
            one.all_durable()
            one.write(1)
            assert one.history.table.sequence == len(self.voters.sequence())


Fleet.TestCase.settings = settings(
    derandomize=True, database=None, max_examples=200, stateful_step_count=30, deadline=None
)
test_what_was_acknowledged_is_in_every_later_writers_table = Fleet.TestCase


def test_a_copy_for_exploration_goes_its_own_way() -> None:
    one = leading()
    one.write(2)
    one.propose("r")
    before = one.writer.state_key()
    hash(before)
    copied = one.writer.copy()
    assert copied.state_key() == before
    copied.handle(one.now, RecordWritten(2, 1))
    copied.handle(one.now, ProposalReceived("t", wish("s")))
    assert copied.history.table.sequence == 3
    assert one.writer.state_key() == before
    assert one.history.table.sequence == 2
    one.serve()
    assert one.answers["r"].sequence == 3


# ---- what a change may say

ROUTE = {"limit_ms": 500, "effect": "restartable"}


def why(key: str, value: Any, table: FeedTable | None = None) -> str:
    told = value if isinstance(value, bytes) else json.dumps(value).encode()
    return find_faults(Propose("r", ((key, told),)), table or FeedTable())


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("route/x", ROUTE),
        ("route/x/y", {**ROUTE, "stage": "search", "due_ms": 120.5, "utility": 3, "calls": True}),
        ("route/x", {**ROUTE, "due_stretch": 2, "window_ms": 0, "late_share": 0.5, "skip_share": 1}),
        ("tenant/x", {"share": 0}),
        ("tenant/x", {"share": 1, "allowance_per_s": 12.5}),
        ("common/tenant", {"share": 0.1}),
        ("common/x", {"any": [1, {"thing": None}], "text": "é\n"}),
    ],
)
def test_what_may_stand(key: str, value: Any) -> None:
    assert why(key, value) == ""


@pytest.mark.parametrize(
    ("key", "value", "reason"),
    [
        ("route/x", {**ROUTE, "colour": 1}, "unknown field 'colour'"),
        ("route/x", {"limit_ms": 500}, "effect is missing"),
        ("route/x", {**ROUTE, "effect": "read_like"}, "effect: "),
        ("route/x", {**ROUTE, "limit_ms": 0}, "limit_ms: "),
        ("route/x", {**ROUTE, "limit_ms": "500"}, "limit_ms: "),
        ("route/x", {**ROUTE, "limit_ms": True}, "limit_ms: "),
        ("route/x", {**ROUTE, "limit_ms": 1e12}, "limit_ms: "),
        ("route/x", {**ROUTE, "due_ms": 501}, "due_ms is above limit_ms"),
        ("route/x", {**ROUTE, "utility": -1}, "utility: "),
        ("route/x", {**ROUTE, "late_share": 1.5}, "late_share: "),
        ("tenant/x", {"share": 1.1}, "share: "),
        ("tenant/x", {"allowance_per_s": 1}, "share is missing"),
        ("common/tenant", {"sharing": 1}, "unknown field 'sharing'"),
        ("common/x", b'{"a":NaN}', "not valid JSON"),
        ("common/x", b'{"a":1e999}', ""),
        ("common/x", b'{"a":-1e300}', "too large"),
        ("common/x", b'{"a":' + b"9" * 400 + b"}", ""),
        ("common/x", b"[" * 4000, "not valid JSON"),
        ("common/x", b'{"a":' + b"[" * 40 + b"]" * 40 + b"}", "levels deep"),
        ("common/x", b"[]", "not a JSON object"),
        ("common/x", b"\xff", "not valid JSON"),
        ("common/x", {"a\u0007": 1}, "not a valid field name"),
        ("common/x", {"a": "\u0000"}, "unprintable characters"),
        ("common/x", {"a": "x" * VALUE_SIZE_LIMIT}, f"{VALUE_SIZE_LIMIT} at most"),
        ("other/x", {}, "none of the sections"),
        ("route", ROUTE, "no name"),
        ("route/", ROUTE, "no name"),
        ("route/ x", ROUTE, "spaces"),
        ("route/x\n", ROUTE, "unprintable characters"),
        ("route/" + "x" * KEY_LENGTH_LIMIT, ROUTE, f"{KEY_LENGTH_LIMIT} at most"),
    ],
)
def test_what_may_not_stand(key: str, value: Any, reason: str) -> None:
    told = why(key, value)
    assert told
    assert reason in told


def test_all_faults_of_a_change_are_told_at_once_and_within_bounds() -> None:
    items = (
        ("tenant/x", b'{"share":2,"allowance_per_s":-1,"colour":1}'),
        ("tenant/y", b"{"),
        ("tenant/y", None),
        ("nowhere/z", b"{}"),
    )
    told = find_faults(Propose("r", items, (("tenant/x", 3),)), FeedTable())
    for part in (
        "share: ",
        "allowance_per_s: ",
        "'colour'",
        "not valid JSON",
        "'tenant/y' is listed twice",
        "nowhere",
    ):
        assert part in told
    assert "'tenant/x' has version 0, 3 was expected" in told
    many = tuple((f"other/{'x' * 190}{place}", b"{}") for place in range(100))
    assert len(find_faults(Propose("r", many), FeedTable())) < 5000


def test_the_bounds_of_a_change() -> None:
    good = b'{"share":0.1}'
    assert "1 to 1000 are allowed" in find_faults(Propose("r", ()), FeedTable())
    assert (
        find_faults(
            Propose("r", tuple((f"tenant/{one}", good) for one in range(CHANGE_ITEMS_LIMIT))), FeedTable()
        )
        == ""
    )
    assert find_faults(
        Propose("r", tuple((f"tenant/{one}", good) for one in range(CHANGE_ITEMS_LIMIT + 1))), FeedTable()
    )
    large = tuple((f"common/{one}", b'{"a":"%s"}' % (b"x" * 4000)) for one in range(7))
    assert f"{CHANGE_SIZE_LIMIT} at most" in find_faults(Propose("r", large), FeedTable())
    for request in ("", "x" * 65, "a\nb"):
        assert "the request id does not have" in find_faults(
            Propose(request, (("tenant/x", good),)), FeedTable()
        )
    versions = tuple((f"tenant/{one}", 0) for one in range(CHANGE_ITEMS_LIMIT + 1))
    assert "expected versions" in find_faults(Propose("r", (("tenant/x", good),), versions), FeedTable())


def test_a_table_that_is_full_takes_no_new_entry_but_other_values(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.config_feed.validation.TABLE_ENTRIES_LIMIT", 2)
    table = FeedTable().update(1, [("tenant/a", b"{}", 1), ("tenant/b", b"{}", 1)])
    assert "more than 2 entries" in why("tenant/c", {"share": 0}, table)
    assert why("tenant/a", {"share": 0}, table) == ""
    swap = Propose("r", (("tenant/c", b'{"share":0}'), ("tenant/a", None)))
    assert find_faults(swap, table) == ""


@settings(derandomize=True, database=None)
@given(st.text(max_size=300), st.binary(max_size=100), st.text(max_size=80))
def test_no_strangers_bytes_end_the_check(key: str, value: bytes, request: str) -> None:
    for one in (key, f"route/{key}", f"common/{key}"):
        assert isinstance(find_faults(Propose(request, ((one, value),), ((one, 1),)), FeedTable()), str)


# ---- on disk


def tables(count: int, first: FeedTable | None = None) -> list[FeedTable]:
    found = [first or FeedTable()]
    for _ in range(count):
        number = found[-1].sequence + 1
        items = (f"tenant/{number}", share(number)), (f"route/{number % 3}", b"%d" % number)
        found.append(found[-1].apply(Change(number, f"r{number}", items)))
    return found


def step(before: FeedTable, after: FeedTable) -> ArchivedStep:
    number = after.sequence
    keys = (f"tenant/{number}", f"route/{number % 3}")
    items: Any = tuple((key, *(after.get(key) or (None, 0))) for key in keys)
    return ArchivedStep(before.sequence, number, items)


class Troubled(Disk):
    """Counts its calls; fails from the given one on, as a full disk does: a write goes half of its way."""

    def __init__(self, folder: Path, kept: str = "feed") -> None:
        super().__init__(folder, kept)
        self.calls, self.fails_from, self.fails_until = 0, 1 << 60, 1 << 60
        self.removes = True
        self.order: list[str] = []

    def _call(self, what: str) -> bool:
        self.calls += 1
        self.order.append(what)
        return self.fails_from <= self.calls < self.fails_until

    def begin(self, number: int) -> None:
        if self._call("begin"):
            raise OSError(errno.ENOSPC, "full")
        super().begin(number)

    def append(self, data: bytes) -> None:
        if self._call("append"):
            super().append(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "full")
        super().append(data)

    def sync(self) -> None:
        if self._call("sync"):
            raise OSError(errno.EIO, "broken")
        super().sync()

    def sync_folder(self) -> None:
        if self._call("sync_folder"):
            raise OSError(errno.EIO, "broken")
        super().sync_folder()

    def remove(self, number: int) -> None:
        if not self.removes or self._call("remove"):
            raise OSError(errno.EIO, "broken")
        super().remove(number)


def found(folder: Path, kind: Any = "all") -> tuple[FeedTable | None, str]:
    archive = Archive(Disk(folder, "feed"), kind)
    return archive.recover(), archive.recovery_failure


def filled(folder: Path, many: list[FeedTable]) -> Archive:
    archive = Archive(Troubled(folder), "all")
    archive.disk.acquire()
    assert archive.recover() is None
    archive.write(many[0])
    for before, after in pairwise(many):
        assert archive.write(after, [step(before, after)]) == after.sequence
    archive.disk.release()
    return archive


def same(one: FeedTable | None, other: FeedTable) -> bool:
    return one is not None and one == other


def test_what_was_written_is_found_again(tmp_path: Path) -> None:
    many = tables(9)
    filled(tmp_path, many)
    table, _ = found(tmp_path)
    assert same(table, many[-1])
    assert len(list(tmp_path.glob("*.feed"))) == 1


def test_several_steps_go_in_one_write_and_a_step_that_leads_elsewhere_is_a_snapshot(tmp_path: Path) -> None:
    many = tables(6)
    disk = Troubled(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(many[0])
    calls = disk.calls
    archive.write(many[3], [step(many[place], many[place + 1]) for place in range(3)])
    assert disk.calls == calls + 2
    assert archive.segment == 1
    archive.write(many[3])
    assert disk.calls == calls + 2  # nothing new, nothing written
    archive.write(many[6], [step(many[4], many[5]), step(many[5], many[6])])  # 4 is missing
    assert archive.segment == 2
    assert same(found(tmp_path)[0], many[6])
    archive.write(many[2])  # loaded anew from another, older
    assert same(found(tmp_path)[0], many[2])


def test_an_instances_side_holds_no_tenants(tmp_path: Path) -> None:
    many = tables(3)
    disk = Disk(tmp_path, "feed")
    disk.acquire()
    archive = Archive(disk, "wide")
    wide = [FeedTable().update(one.sequence, one.entries("wide"), "wide") for one in many]
    archive.write(wide[1])
    archive.write(wide[2], [step(many[1], many[2])])
    table, _ = found(tmp_path, "wide")
    assert table == wide[2]
    assert found(tmp_path, "all")[0] is None  # that is another kind of archive


def test_a_torn_last_write_leaves_the_one_before(tmp_path: Path) -> None:
    many = tables(4)
    filled(tmp_path / "x", many[:4])
    path = next((tmp_path / "x").glob("*.feed"))
    whole_before = path.stat().st_size
    filled(tmp_path / "y", many)
    data = next((tmp_path / "y").glob("*.feed")).read_bytes()
    half = whole_before + (len(data) - whole_before) // 2
    for end in range(whole_before, len(data) + 1):
        path.write_bytes(data[:end])
        table, _ = found(tmp_path / "x")
        assert same(table, many[3] if end < half else many[4]), end


def test_a_torn_first_snapshot_is_nothing(tmp_path: Path) -> None:
    many = tables(4)
    filled(tmp_path, many[4:])
    path = next(tmp_path.glob("*.feed"))
    data = path.read_bytes()
    for end in range(len(data)):
        path.write_bytes(data[:end])
        assert found(tmp_path)[0] is None, end


def test_a_flipped_bit_is_mended_by_the_copy_or_seen(tmp_path: Path) -> None:
    many = tables(3)
    filled(tmp_path, many)
    path = next(tmp_path.glob("*.feed"))
    data = bytearray(path.read_bytes())
    for place in range(len(data)):
        data[place] ^= 1 << place % 8
        path.write_bytes(data)
        table, told = found(tmp_path)
        assert same(table, many[3]) or (table is None and told), place
        data[place] ^= 1 << place % 8


def test_steps_that_are_gone_in_the_middle_are_damage(tmp_path: Path) -> None:
    many = tables(3)
    sizes = []
    for place in range(3):
        filled(tmp_path / str(place), many[: place + 2])
        sizes.append(next((tmp_path / str(place)).glob("*.feed")).stat().st_size)
    path = next((tmp_path / "2").glob("*.feed"))
    data = bytearray(path.read_bytes())
    data[sizes[0] : sizes[1]] = bytes(sizes[1] - sizes[0])
    path.write_bytes(data)
    table, told = found(tmp_path / "2")
    assert table is None
    assert "can't be read, but later frames can" in told
    disk = Disk(tmp_path / "2", "feed")
    disk.acquire()
    archive = Archive(disk, "all")
    archive.recover()
    archive.write(many[3])  # loaded anew
    assert same(found(tmp_path / "2")[0], many[3])
    assert len(disk.segments()) == 1


def test_a_full_disk_leaves_what_was_durable_and_goes_on_in_a_new_segment(tmp_path: Path) -> None:
    many = tables(4)
    for fails in range(1, 3):  # the append, the sync
        folder = tmp_path / str(fails)
        disk = Troubled(folder)
        disk.acquire()
        archive = Archive(disk, "all")
        archive.write(many[1])
        archive.write(many[2], [step(many[1], many[2])])
        disk.fails_from = disk.calls + fails
        with pytest.raises(OSError, match=r"full|broken"):
            archive.write(many[3], [step(many[2], many[3])])
        assert archive.durable == 2
        for _ in range(5):
            with pytest.raises(OSError, match=r"full|broken"):
                archive.write(many[3], [step(many[2], many[3])])
        assert len(disk.segments()) <= 7
        table, _ = found(folder)
        assert same(table, many[2]) or same(table, many[3])
        disk.fails_from = 1 << 60
        assert archive.write(many[4], [step(many[2], many[3]), step(many[3], many[4])]) == 4
        assert archive.segment > 1
        assert same(found(folder)[0], many[4])
        assert len(disk.segments()) == 1


def test_a_disk_that_is_full_is_not_filled_by_trying(tmp_path: Path) -> None:
    many = tables(300)
    disk = Troubled(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(many[100])
    size = sum(size for _, size in disk.segments())
    for _ in range(10):
        # The append of a part fails, and removing goes well again.
        archive.needs_snapshot = True
        disk.fails_from, disk.fails_until = disk.calls + 3, disk.calls + 4
        with pytest.raises(OSError, match="full"):
            archive.write(many[300])
    assert sum(size for _, size in disk.segments()) == size


def test_a_rewrite_that_is_interrupted_at_any_step_loses_nothing(tmp_path: Path) -> None:
    many = tables(3)
    for removes in (True, False):
        for fails in range(1, 12):
            folder = tmp_path / f"{removes}-{fails}"
            disk = Troubled(folder)
            disk.acquire()
            archive = Archive(disk, "all")
            archive.write(many[1])
            archive.write(many[2], [step(many[1], many[2])])
            disk.release()
            # A new start, so that the next write is a rewrite; all ends at the given call.
            disk = Troubled(folder)
            disk.acquire()
            archive = Archive(disk, "all")
            assert same(archive.recover(), many[2])
            assert archive.durable == 2
            disk.removes, disk.fails_from = removes, fails
            try:
                durable = archive.write(many[3])
            except OSError:
                durable = 2
            disk.release()
            table, told = found(folder)
            assert table is not None, told
            assert table.sequence >= durable
            assert same(table, many[table.sequence])


def test_older_segments_go_once_the_new_one_and_its_name_are_durable(tmp_path: Path) -> None:
    many = tables(3)
    disk = Troubled(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(many[1])
    assert disk.order == ["begin", "append", "append", "append", "sync", "sync_folder"]
    disk.order.clear()
    archive.write(many[2], [step(many[1], many[2])])
    assert disk.order == ["append", "sync"]
    disk.order.clear()
    archive.needs_snapshot = True
    archive.write(many[3])
    assert disk.order == ["begin", "append", "append", "append", "sync", "sync_folder", "remove"]


def test_a_snapshot_whose_parts_reached_the_disk_out_of_order_gives_way_to_the_one_before(
    tmp_path: Path,
) -> None:
    many = tables(3)
    filled(tmp_path, many[:3])
    filled(tmp_path / "other", many[3:])
    data = bytearray(next((tmp_path / "other").glob("*.feed")).read_bytes())
    data[20:60] = bytes(40)  # a page that was not written when all ended
    (tmp_path / f"{2:012}.feed").write_bytes(data)
    assert same(found(tmp_path)[0], many[2])


def test_the_size_on_disk_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.config_feed.archive.LOG_SIZE_MIN", 4096)
    disk = Troubled(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    table = FeedTable()
    archive.write(table)
    most = 0
    for number in range(1, 1500):
        items = ((f"tenant/{number % 5}", share(number), number),)
        after = table.update(number, items)
        archive.write(after, [ArchivedStep(table.sequence, number, items)])
        table = after
        if number % 50 == 0:
            most = max(most, sum(size for _, size in disk.segments()))
    assert most < 3 * 4096
    assert archive.segment > 10
    assert same(found(tmp_path)[0], table)


def test_sixty_thousand_entries_are_written_and_read_back(tmp_path: Path) -> None:
    table = FeedTable().update(
        7, ((f"{'route' if one % 20 else 'tenant'}/{one}", share(one), 7) for one in range(60_000))
    )
    disk = Troubled(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(table)
    assert disk.calls > 40  # by parts
    table_found, _ = found(tmp_path)
    assert same(table_found, table)


# ---- who asks for a change


def asked_of(monkeypatch: pytest.MonkeyPatch, answers: Mapping[str, ProposeResult | None]) -> list[str]:
    """Whom it asks, k0 first, till one answers with a number."""
    asked: list[str] = []

    async def ask(address: tuple[str, int], *told: Any) -> ProposeResult | None:
        asked.append(address[0])
        return answers[address[0]]

    monkeypatch.setattr(operations, "request", ask)
    monkeypatch.setattr(operations, "RETRY_DELAY", 0.001)
    keepers = {name: (name, 1) for name in answers}
    chance = next(one for one in map(Random, range(99)) if one.choice(sorted(keepers)) == "k0")
    monkeypatch.setattr(chance, "choice", min)
    anyio.run(operations.propose, keepers, Propose("x", ()), 1.0, chance)
    return asked


def elsewhere(leader: str) -> ProposeResult:
    return ProposeResult("x", reason="it does not write", unknown=True, leader=leader)


def test_who_asks_for_a_change_is_not_sent_back_to_the_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = {"k0": None, "k1": elsewhere("k0"), "k2": ProposeResult("x", 7)}
    assert asked_of(monkeypatch, answers) == ["k0", "k1", "k2"]


def test_two_that_name_each_other_don_t_keep_who_asks_for_a_change(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = {"k0": elsewhere("k1"), "k1": elsewhere("k0"), "k2": ProposeResult("x", 7)}
    assert asked_of(monkeypatch, answers) == ["k0", "k1", "k2"]


def test_who_asks_for_a_change_goes_at_once_to_who_is_said_to_write(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = {"k0": elsewhere("k2"), "k1": elsewhere("k2"), "k2": ProposeResult("x", 7)}
    assert asked_of(monkeypatch, answers) == ["k0", "k2"]
