"""The writer of the config feed: fencing, lost answers, recovery, record ring, validation and archive.

The record ring is the fixed set of records in the consensus cluster that store the newest groups of changes.
"""

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
from thistleline.lease.table import LeaseTable, encode_decision
from thistleline.reducer.events import DeadlineReached
from thistleline.store.disk import Disk

KEEPERS = ("a", "b", "c")
Effect = TypeVar("Effect", bound=WriterEffect)


def tenant_value(number: int) -> bytes:
    return json.dumps({"share": 0.25, "allowance_per_s": number}).encode()


def make_proposal(
    request: str, key: str = "tenant/x", value: bytes | None = b'{"share":0.5}', **options: Any
) -> Propose:
    return Propose(request, ((key, value),), **options)


class FakeCluster:
    """A consensus cluster that decides each request at once, as a client sees a real cluster.
    It records every committed group; the tests derive the expected results from these."""

    def __init__(self) -> None:
        self.table = LeaseTable()
        self.index = self.grant_count = 0
        self.epoch = 0
        self.groups: list[Group] = []

    def _decide(self, decision: Any) -> Any:
        self.index += 1
        return self.table.apply(self.index, encode_decision(decision))

    def grant(self, owner: str) -> int:
        """Grant a new lease to `owner` without notifying the previous holder."""
        if self.epoch:
            self._decide(Break("feed", self.epoch, "test"))
        self.grant_count += 1
        granted = self._decide(Acquire("feed", f"{owner}.{self.grant_count}", 10 * SECOND))
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
    """A writer's state machine with a minimal caller, which stores unsent requests, effects and answers."""

    def __init__(self, cluster: FakeCluster, id: str, table: FeedTable | None = None) -> None:
        self.cluster, self.id, self.now = cluster, id, 0
        self.history = History(table)
        self.writer = FeedWriter(id, self.history, KEEPERS, 0)
        self.requests: list[ReadRecord | WriteRecord] = []  # not delivered to the cluster yet
        self.answers: dict[Any, ProposeResult] = {}
        self.effects: list[WriterEffect] = []

    @property
    def phase(self) -> str:
        return self.writer.phase

    def handle(self, event: WriterEvent, after: int = 0) -> None:
        self.now += after
        for effect in self.writer.handle(self.now, event):
            self.effects.append(effect)
            if isinstance(effect, ReadRecord | WriteRecord):
                self.requests.append(effect)
            elif isinstance(effect, AnswerProposal):
                assert effect.ticket not in self.answers, "a proposal is answered twice"
                self.answers[effect.ticket] = effect.result

    def deliver(
        self, request: ReadRecord | WriteRecord, answered: bool = True, unknown: bool = False
    ) -> None:
        """Deliver one request to the cluster; its answer arrives, is lost, or is reported as lost."""
        slot = request.slot
        if isinstance(request, ReadRecord):
            got = self.cluster.table.get(request.key)
            if answered:
                self.handle(RecordRead(slot, got.value, got.version))
            return
        answer = self.cluster.put(request.put)
        if unknown:
            self.handle(WriteUnanswered(slot))
        elif answered and isinstance(answer, Done):
            self.handle(RecordWritten(slot, answer.version))
        elif answered:
            assert isinstance(answer, Denied)
            self.handle(WriteDenied(slot, answer.reason))

    def deliver_all(self) -> "Keeper":
        while self.requests:
            self.deliver(self.requests.pop(0))
        return self

    def acquire_lease(self) -> "Keeper":
        self.handle(LeaseAcquired(self.cluster.grant(self.id)))
        return self

    def propose(self, request: str, *item: Any, ticket: Any = None, **options: Any) -> None:
        self.handle(ProposalReceived(ticket or request, make_proposal(request, *item, **options)))

    def acknowledge_all(self) -> None:
        for id in KEEPERS:
            self.handle(KeeperDurable(id, self.history.table.sequence))

    def write_changes(self, count: int, durable: bool = True) -> None:
        """Write this many changes, each in a separate group."""
        for _ in range(count):
            number = self.history.table.sequence + 1
            self.propose(f"r{number}", f"tenant/{number % 7}", tenant_value(number))
            self.deliver_all()
            if durable:
                self.acknowledge_all()

    def follow(self, source: "Keeper") -> None:
        """Advance to the newest state of `source` in one step, as a follower would."""
        table = self.history.table
        if table.sequence < source.history.table.sequence:
            delta = None
            if source.history.contains(table.sequence, table.digest("all"), "all"):
                delta = source.history.delta(table.sequence, "all")
            if delta is None:
                self.history.reset(source.history.table)
            else:
                self.history.advance(delta.last, delta.items)

    def effects_of(self, kind: type[Effect]) -> list[Effect]:
        return [effect for effect in self.effects if isinstance(effect, kind)]


def tables_by_sequence(changes: list[Change]) -> list[FeedTable]:
    """Return the expected table at each sequence number, by applying the changes in order."""
    tables = [FeedTable()]
    for index, change in enumerate(changes):
        assert change.sequence == index + 1, "a gap, or a sequence number used twice"
        tables.append(tables[-1].apply(change))
    return tables


def start_writer(cluster: FakeCluster | None = None, id: str = "a", table: FeedTable | None = None) -> Keeper:
    return Keeper(cluster or FakeCluster(), id, table).acquire_lease().deliver_all()


# ---- proposals


def test_a_committed_change_is_answered_with_its_sequence_number() -> None:
    keeper = start_writer()
    keeper.propose("r", "route/x", b'{"limit_ms":100,"effect":"restartable"}')
    assert keeper.answers == {}
    assert keeper.history.table.sequence == 0
    keeper.deliver_all()
    assert keeper.answers["r"] == ProposeResult("r", 1)
    assert keeper.history.table.get("route/x") == (b'{"limit_ms":100,"effect":"restartable"}', 1)


def test_a_refused_change_gets_a_reason_and_no_sequence_number() -> None:
    keeper = start_writer()
    keeper.propose("bad", "tenant/x", b'{"share":2,"colour":"red"}')
    keeper.propose("good")
    keeper.deliver_all()
    assert keeper.answers["good"].sequence == 1
    assert "'colour'" in keeper.answers["bad"].reason
    assert "share" in keeper.answers["bad"].reason


def test_expected_versions_include_pending_changes() -> None:
    keeper = start_writer()
    keeper.propose("1", expected=(("tenant/x", 0),))
    keeper.propose("2", expected=(("tenant/x", 0),))  # conflicts with 1, which is in flight
    keeper.propose("3", expected=(("tenant/x", 1),))
    keeper.propose("4", expected=(("tenant/x", 1),))  # conflicts with 3, which is queued
    keeper.propose("5", expected=(("tenant/x", 2),))
    keeper.deliver_all()
    assert [keeper.answers[str(each)].sequence for each in range(1, 6)] == [1, 0, 2, 0, 3]
    assert "has version 1, 0 was expected" in keeper.answers["2"].reason


def test_a_repeated_request_gets_one_sequence_number_in_flight_queued_or_committed() -> None:
    keeper = start_writer()
    keeper.propose("r", ticket="first")
    keeper.propose("r", ticket="while in flight")
    keeper.propose("s", ticket="s")
    keeper.propose("s", ticket="while queued")
    keeper.deliver_all()
    keeper.propose("r", ticket="later")
    assert {ticket: result.sequence for ticket, result in keeper.answers.items()} == {
        "first": 1,
        "while in flight": 1,
        "s": 2,
        "while queued": 2,
        "later": 1,
    }
    assert keeper.history.table.sequence == 2


def test_a_request_repeated_after_two_takeovers_gets_its_original_sequence_number() -> None:
    """The second writer overwrote all records of the first."""
    first = start_writer()
    first.write_changes(4)
    second = start_writer(first.cluster, "b", first.history.table)
    second.write_changes(20)
    third = start_writer(first.cluster, "c", second.history.table)
    for request in ("r4", "r1"):
        third.propose(request)
    third.deliver_all()
    assert [third.answers[request].sequence for request in ("r4", "r1")] == [4, 1]
    assert len(first.cluster.sequence()) == 24


def test_deduplication_keeps_only_the_newest_request_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pending_queue, "DEDUPLICATION_SLOTS", 8)
    keeper = start_writer()
    keeper.write_changes(10)
    for writer in (keeper, start_writer(keeper.cluster, "b", keeper.history.table)):
        assert list(writer.writer.committed.items()) == [(f"r{number}", number) for number in range(3, 11)]
    assert sum(key.startswith("made/") for key, _, _ in keeper.history.table.entries("all")) == 8


def test_ten_thousand_changes_are_committed_in_order_in_few_groups() -> None:
    keeper = start_writer()
    for first in range(0, 10_000, 2000):
        for number in range(first, first + 2000):
            keeper.propose(f"r{number}", f"tenant/{number}", tenant_value(number))
        while keeper.requests:
            keeper.deliver(keeper.requests.pop(0))
            keeper.acknowledge_all()
    assert [keeper.answers[f"r{number}"].sequence for number in range(10_000)] == list(range(1, 10_001))
    assert len(keeper.cluster.groups) < 40
    assert all(len(encode(group)) <= GROUP_SIZE_LIMIT for group in keeper.cluster.groups)
    assert max(len(encode(group)) for group in keeper.cluster.groups) > GROUP_SIZE_LIMIT // 2


def test_the_number_of_pending_proposals_is_bounded() -> None:
    keeper = start_writer()
    for number in range(PENDING_PROPOSALS_LIMIT + 1):
        keeper.propose(f"r{number}", f"tenant/{number}")
    assert "are pending already" in keeper.answers[f"r{PENDING_PROPOSALS_LIMIT}"].reason
    keeper.propose("r5", ticket="again")
    assert "are pending already" in keeper.answers["again"].reason  # tickets are bounded too
    while keeper.requests:
        keeper.deliver(keeper.requests.pop(0))
        keeper.acknowledge_all()
    assert len(keeper.cluster.sequence()) == PENDING_PROPOSALS_LIMIT
    keeper.propose("after")
    keeper.deliver_all()
    assert keeper.answers["after"].sequence == PENDING_PROPOSALS_LIMIT + 1


def test_the_size_of_pending_changes_is_bounded() -> None:
    keeper = start_writer()
    large = tuple((f"common/{index}", b'{"text":"%s"}' % (b"x" * 4000)) for index in range(5))
    for number in range(PENDING_PROPOSALS_LIMIT):
        keeper.handle(ProposalReceived(number, Propose(f"r{number}", large)))
        if number in keeper.answers:
            break
    assert keeper.writer.pending.size < PENDING_SIZE_LIMIT + CHANGE_SIZE_LIMIT
    assert "bytes of changes are pending already" in keeper.answers[number].reason
    assert number < PENDING_PROPOSALS_LIMIT // 8


def test_a_keeper_that_is_not_the_writer_refuses_proposals() -> None:
    keeper = Keeper(FakeCluster(), "a")
    keeper.propose("r")
    assert keeper.answers["r"] == ProposeResult("r", reason="a is not the writer")
    keeper.acquire_lease()
    keeper.propose("s")
    assert "reading" in keeper.answers["s"].reason


# ---- fencing


@pytest.mark.parametrize("first", ["new", "old"])
def test_a_write_under_an_older_lease_is_denied(first: str) -> None:
    old = start_writer()
    old.write_changes(3)
    old.propose("late")
    old.propose("waits")
    delayed = old.requests.pop()
    new = start_writer(old.cluster, "b", old.history.table)
    for sender in ("new", "old") if first == "new" else ("old", "new"):
        if sender == "new":
            new.propose("n")
            new.deliver_all()
        else:
            old.deliver(delayed)  # delayed until now
            old.deliver_all()
    assert old.phase == "standby"
    assert old.answers["late"].unknown
    assert old.answers["late"].sequence == 0
    assert old.answers["waits"].sequence == 0
    assert not old.answers["waits"].unknown
    assert old.effects_of(ReleaseLease)
    assert new.answers["n"].sequence == 4
    new.write_changes(2)
    assert [change.sequence for change in old.cluster.sequence()] == [1, 2, 3, 4, 5, 6]


def test_a_write_committed_just_before_a_newer_lease_is_recovered() -> None:
    old = start_writer()
    old.propose("r")
    old.deliver(old.requests.pop(), answered=False)
    new = start_writer(old.cluster, "b")
    old.handle(LeaseLost("lease expired"))
    assert old.answers["r"].unknown
    new.propose("r", ticket="again")
    new.propose("s")
    new.deliver_all()
    assert (new.answers["again"].sequence, new.answers["s"].sequence) == (1, 2)


def test_an_answer_to_a_write_under_an_earlier_lease_does_not_commit_the_current_write() -> None:
    keeper = start_writer()
    keeper.propose("r", "tenant/old")
    stale = keeper.requests.pop()
    empty = keeper.cluster.table.get(record_key(0))
    keeper.deliver(stale, answered=False)  # committed, but its answer is delayed
    keeper.handle(LeaseAcquired(keeper.cluster.grant("a")))
    for read in list(keeper.requests):  # answers from before that write
        keeper.handle(RecordRead(read.slot, empty.value, empty.version))
    keeper.requests.clear()
    keeper.propose("s", "tenant/new")
    assert isinstance(keeper.requests[-1], WriteRecord)
    assert keeper.requests[-1].put.version == 0
    keeper.handle(RecordWritten(0, 1))
    assert "s" not in keeper.answers
    keeper.deliver_all()
    assert keeper.answers["s"].sequence == 0
    assert keeper.history.table.sequence == 0
    assert [change.request_id for change in keeper.cluster.sequence()] == ["r"]


# ---- lost answers


@pytest.mark.parametrize("is_reported", [True, False])
def test_a_lost_answer_to_a_committed_write_is_settled_by_reading(is_reported: bool) -> None:
    keeper = start_writer()
    keeper.propose("r")
    keeper.deliver(keeper.requests.pop(), answered=False, unknown=is_reported)
    if not is_reported:
        keeper.handle(DeadlineReached(), after=6 * SECOND)
    assert keeper.phase == "settling"
    keeper.deliver_all()
    assert keeper.answers["r"] == ProposeResult("r", 1)
    keeper.write_changes(1)
    assert keeper.history.table.sequence == 2
    assert len(keeper.cluster.groups) == 2


def test_a_lost_write_is_repeated_with_the_same_version_and_committed_once() -> None:
    keeper = start_writer()
    keeper.propose("r")
    lost = keeper.requests.pop()
    keeper.handle(WriteUnanswered(0))
    keeper.deliver(keeper.requests.pop())  # the read finds an empty record
    again = keeper.requests.pop()
    assert again == lost
    keeper.deliver(lost, answered=False)  # it was only delayed
    keeper.deliver(again)  # denied by its version, as the first write was committed
    keeper.deliver_all()
    assert keeper.answers["r"] == ProposeResult("r", 1)
    assert len(keeper.cluster.groups) == 1


def test_reads_and_writes_are_rate_limited_while_the_cluster_does_not_answer() -> None:
    keeper = start_writer()
    keeper.propose("r")
    attempts = 0
    for _ in range(100):
        if keeper.requests:
            request = keeper.requests.pop()
            attempts += 1
            if isinstance(request, WriteRecord):
                keeper.handle(WriteUnanswered(request.slot))
            else:
                keeper.deliver(request)
        else:
            keeper.handle(DeadlineReached(), after=SECOND // 20)
    assert attempts < 60
    while not keeper.answers:
        keeper.deliver_all()
        keeper.handle(DeadlineReached(), after=SECOND // 20)
    assert keeper.answers["r"].sequence == 1


def test_a_record_written_in_a_newer_epoch_stops_the_old_writer() -> None:
    old = start_writer()
    old.propose("r")
    old.handle(WriteUnanswered(0))
    new = start_writer(old.cluster, "b")
    new.propose("n")
    new.deliver_all()
    old.requests = [request for request in old.requests if isinstance(request, ReadRecord)]
    old.deliver_all()
    assert old.phase == "standby"
    assert old.answers["r"].unknown
    assert old.history.table.sequence == 0
    assert "written by another writer" in old.effects_of(ReleaseLease)[0].reason


def test_a_write_denied_by_a_full_cluster_releases_the_lease_with_an_unknown_outcome() -> None:
    keeper = start_writer()
    keeper.propose("r")
    keeper.requests.clear()
    keeper.handle(WriteDenied(0, "the records are too large together"))
    keeper.deliver_all()
    assert keeper.answers["r"].unknown
    assert "too large together" in keeper.answers["r"].reason
    assert keeper.phase == "standby"


# ---- recovery of a new writer


def test_recovery_accepts_records_in_any_order_and_empty_slots() -> None:
    first = start_writer()
    first.write_changes(5)
    for order in ([*range(RING_SLOTS)], [*reversed(range(RING_SLOTS))], [3, 0, 15, 1, *range(4, 15), 2]):
        second = Keeper(first.cluster, "b").acquire_lease()
        second.requests.sort(key=lambda request: order.index(request.slot))
        second.deliver_all()
        assert second.phase == "writing"
        assert second.history.table == first.history.table


def test_unanswered_reads_are_repeated() -> None:
    keeper = Keeper(FakeCluster(), "a").acquire_lease()
    del keeper.requests[3:]
    keeper.deliver_all()
    assert keeper.phase == "reading"
    assert keeper.writer.next_deadline() == READ_RETRY_NS
    keeper.handle(DeadlineReached(), after=READ_RETRY_NS)
    assert len(keeper.requests) == RING_SLOTS - 3
    assert keeper.deliver_all().phase == "writing"


def test_a_table_older_than_the_ring_follows_another_keeper_first() -> None:
    first = start_writer()
    first.write_changes(3)
    behind = first.history.table
    first.write_changes(30)
    second = Keeper(first.cluster, "b", behind).acquire_lease()
    second.deliver_all()
    assert second.phase == "catching_up"
    assert len(second.effects_of(FollowKeepers)) == 1
    second.propose("r")
    assert "catching up" in second.answers["r"].reason
    third = Keeper(first.cluster, "c", behind)
    third.history.reset(tables_by_sequence(first.cluster.sequence())[10])
    second.follow(third)  # progress, but still before the oldest record
    second.handle(CatchUpAdvanced())
    assert second.phase == "catching_up"
    assert second.history.table.sequence == 10
    second.follow(first)
    second.handle(CatchUpAdvanced())
    assert second.phase == "writing"
    assert second.history.table == first.history.table
    second.acknowledge_all()
    second.write_changes(1)
    assert second.answers["r34"].sequence == 34


def test_a_writer_that_cannot_catch_up_releases_the_lease() -> None:
    first = start_writer()
    first.write_changes(20)
    second = Keeper(first.cluster, "b").acquire_lease()
    second.deliver_all()
    second.handle(DeadlineReached(), after=CATCH_UP_TIMEOUT_NS - 1)
    second.history.reset(tables_by_sequence(first.cluster.sequence())[2])
    second.handle(CatchUpAdvanced())  # progress restarts the timeout
    second.handle(DeadlineReached(), after=CATCH_UP_TIMEOUT_NS - 1)
    assert second.phase == "catching_up"
    second.handle(DeadlineReached(), after=1)
    assert second.phase == "standby"
    assert "no other keeper" in second.effects_of(ReleaseLease)[0].reason


def corrupt_record(cluster: FakeCluster, slot: int, corrupt: Callable[[Group], Any]) -> None:
    records = cluster.table.state.records
    value, version = records[record_key(slot)]
    corrupted = corrupt(decode_group(value))
    records[record_key(slot)] = (corrupted if isinstance(corrupted, bytes) else encode(corrupted), version)


CORRUPT_GROUPS: dict[str, tuple[Callable[[Group], Any], str]] = {
    "bytes": (lambda group: b"\xc1", "can't be read"),
    "a gap": (
        lambda group: Group(
            group.epoch,
            tuple(Change(change.sequence + 1, change.request_id, change.items) for change in group.changes),
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
            tuple(
                Change(change.sequence, change.request_id, (("tenant/y", b"{}"),)) for change in group.changes
            ),
            group.digest_before,
            group.digest_after,
        ),
        "after the group at 3 the local table at 3 does not match the digest",
    ),
    "a digest": (lambda group: Group(group.epoch, group.changes, b"", group.digest_after), "does not follow"),
}


@pytest.mark.parametrize("how", CORRUPT_GROUPS)
def test_a_corrupt_or_inconsistent_group_is_never_applied(how: str) -> None:
    corrupt, reason = CORRUPT_GROUPS[how]
    first = start_writer()
    first.write_changes(4)
    corrupt_record(first.cluster, 2, corrupt)
    second = start_writer(first.cluster, "b")
    assert second.phase == "standby"
    assert second.history.table.sequence == 0
    assert reason in second.effects_of(ReleaseLease)[0].reason
    second.propose("r")
    second.deliver_all()
    assert second.answers["r"].sequence == 0


def test_a_missing_record_in_the_middle_fails_recovery() -> None:
    first = start_writer()
    first.write_changes(4)
    del first.cluster.table.state.records[record_key(1)]
    second = start_writer(first.cluster, "b")
    assert second.phase == "standby"
    assert "does not follow" in second.effects_of(ReleaseLease)[0].reason


def test_a_keeper_whose_table_contradicts_the_records_does_not_become_the_writer() -> None:
    first = start_writer()
    first.write_changes(4)
    wrong = FeedTable().update(2, [("tenant/x", b"{}", 2)])
    second = start_writer(first.cluster, "b", wrong)
    assert second.phase == "standby"
    assert second.history.table is wrong
    same_number = FeedTable().update(4, [("tenant/x", b"{}", 4)])
    third = start_writer(first.cluster, "c", same_number)
    assert third.phase == "standby"
    assert (
        "after the group at 4 the local table at 4 does not match the digest"
        in third.effects_of(ReleaseLease)[0].reason
    )
    newer = FeedTable().update(9, [("tenant/x", b"{}", 9)])
    fourth = start_writer(first.cluster, "b", newer)
    assert fourth.phase == "standby"
    assert "records end at 4" in fourth.effects_of(ReleaseLease)[0].reason


def test_a_lease_lost_while_reading_or_catching_up_stops_recovery() -> None:
    first = start_writer()
    first.write_changes(20)
    second = Keeper(first.cluster, "b").acquire_lease()
    second.handle(LeaseLost("lease expired"))
    second.deliver_all()
    assert second.phase == "standby"
    second.acquire_lease().deliver_all()
    assert second.phase == "catching_up"
    second.handle(LeaseLost("lease expired"))
    second.follow(first)
    second.handle(CatchUpAdvanced())
    assert second.phase == "standby"
    assert second.writer.next_deadline() > 1 << 60


# ---- the ring


def test_a_slot_is_not_overwritten_before_a_majority_has_its_group_on_disk() -> None:
    keeper = start_writer()
    keeper.write_changes(RING_SLOTS, durable=False)
    keeper.propose("r", "tenant/r")
    assert keeper.requests == []
    keeper.handle(KeeperDurable("a", RING_SLOTS))
    assert keeper.requests == []  # only one of three keepers has the oldest group on disk
    keeper.handle(KeeperDurable("unknown", RING_SLOTS))
    assert keeper.requests == []
    keeper.handle(KeeperDurable("b", 0))
    assert keeper.requests == []
    keeper.handle(KeeperDurable("b", 1))  # now a second keeper has the group in the oldest slot on disk
    assert [type(request) for request in keeper.requests] == [WriteRecord]
    keeper.deliver_all()
    assert keeper.answers["r"].sequence == RING_SLOTS + 1
    keeper.propose("s", "tenant/s")
    assert keeper.requests == []  # the next slot holds change 2


def test_changes_are_refused_without_a_durable_majority_and_resume_once_there_is_one() -> None:
    keeper = start_writer()
    keeper.write_changes(RING_SLOTS, durable=False)
    keeper.handle(KeeperDurable("a", RING_SLOTS))
    keeper.propose("r", "tenant/r")
    keeper.handle(DeadlineReached(), after=STALL_TIMEOUT_NS - 1)
    assert "r" not in keeper.answers  # the keepers may only be slow
    keeper.handle(DeadlineReached(), after=1)
    assert "change 1 is on the disks of 1 of 3 keepers" in keeper.answers["r"].reason
    keeper.propose("s")
    assert "1 of 3 keepers" in keeper.answers["s"].reason
    keeper.propose("r7", ticket="known")
    assert keeper.answers["known"].sequence == 7
    assert keeper.writer.counters()["stopped"] == 1
    assert keeper.writer.next_deadline() > 1 << 60
    keeper.handle(KeeperDurable("c", RING_SLOTS))
    keeper.propose("t")
    keeper.deliver_all()
    assert keeper.answers["t"].sequence == RING_SLOTS + 1
    assert keeper.writer.counters()["stopped"] == 0


def test_a_keeper_that_lost_its_disk_is_not_counted() -> None:
    keeper = start_writer()
    keeper.write_changes(RING_SLOTS, durable=False)
    keeper.handle(KeeperDurable("a", RING_SLOTS))
    keeper.handle(KeeperDurable("b", RING_SLOTS))
    keeper.handle(KeeperDurable("b", 0))  # keeper b restarts with an empty disk
    keeper.propose("r")
    assert keeper.requests == []


def test_the_previous_writers_disk_counts_for_the_next_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One of three keepers is down, so without the previous writer's disk the ring would stay full."""

    def is_down(name: str) -> bool:
        return name == "k2"

    monkeypatch.setattr(record_ring, "RING_SLOTS", 2)
    world = commit_changes(build_fleet(relays=0, instances=0), 3, is_down)
    world.move_lease("k1")
    world.lose_lease("k0")
    for _ in range(4):
        settle(world, is_down)
        world.ticks += 1  # k0 tries k2 first, which does not answer
    for _ in range(2):
        world.propose("k1")
        settle(world, is_down)
    assert world.acknowledged == {f"c{index}": index + 1 for index in range(5)}


def test_a_keeper_that_lost_its_disk_is_not_counted_even_if_its_connection_is_refused() -> None:
    relay = FeedRelay("a", 0, FeedTable(), ("b", "c"), 0, lambda span: 0, KEEPERS, max_followers=0)
    assert relay.writer is not None
    relay.handle(0, KeeperDurable("b", 5))
    for peer in range(8):  # connections that are reserved for keepers
        relay.handle(0, SubscriberJoined(peer))
    effects = relay.handle(0, SubscriberJoined(8))
    assert [type(effect) for effect in effects] == [SendDownstream, CloseDownstream]
    relay.handle(0, SubscriberMessage(8, Follow("b", "all", 0, bytes(16))))
    assert relay.writer.durable.sequences == {"b": 0}


def test_a_keeper_names_the_writer_only_while_it_follows_it() -> None:
    world = build_fleet(relays=0, instances=0)

    def known_leaders(name: str) -> tuple[str, str]:
        node = world.nodes[name]
        assert isinstance(node, FeedRelay)
        return node.leader, node.source.leader

    assert [known_leaders(name) for name in ("k0", "k1", "k2")] == [("", ""), ("k0", "k0"), ("k0", "k0")]
    world.break_connection("k1")
    assert known_leaders("k1") == ("", "")
    world.deliver("k1", DeadlineReached())  # it tries k2, which is not the writer
    assert known_leaders("k1") == ("", "")


def test_after_a_new_lease_only_the_writers_own_earlier_acknowledgement_counts() -> None:
    keeper = start_writer()
    keeper.write_changes(RING_SLOTS)
    keeper.acquire_lease().deliver_all()
    keeper.propose("r")
    assert keeper.requests == []
    keeper.handle(KeeperDurable("c", RING_SLOTS))
    keeper.deliver_all()
    assert keeper.answers["r"].sequence == RING_SLOTS + 1


# ---- random sequences of all operations


class KeeperFleet(RuleBasedStateMachine):
    """Three keepers: requests and answers are lost or delayed, lease holders are not notified of a new lease,
    and keepers lag, restart and lose their disks, one disk at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = FakeCluster()
        self.keepers = {id: Keeper(self.cluster, id) for id in KEEPERS}
        self.disks = dict.fromkeys(KEEPERS, FeedTable())
        self.delayed: list[tuple[Keeper, ReadRecord | WriteRecord]] = []
        self.committed: dict[str, int] = {}
        self.request_count = 0
        self.keeper_without_disk, self.required_sequence = "", 0
        self.tables: list[FeedTable] = [FeedTable()]

    names = st.sampled_from(KEEPERS)

    @rule(name=names)
    def acquire_lease(self, name: str) -> None:
        self.keepers[name].acquire_lease()

    @rule(name=names)
    def notice_lost_lease(self, name: str) -> None:
        keeper = self.keepers[name]
        if keeper.writer.epoch != self.cluster.epoch:
            keeper.handle(LeaseLost("lease expired"))

    @rule(name=names, key=st.integers(0, 3), old=st.booleans(), expected=st.none() | st.integers(0, 3))
    def propose(self, name: str, key: int, old: bool, expected: int | None) -> None:
        keeper = self.keepers[name]
        if not old:
            self.request_count += 1
        request = f"q{self.request_count}"
        versions: tuple[tuple[str, int], ...] = ()
        if expected is not None:
            versions = ((f"tenant/{key}", expected),)
        keeper.propose(
            request,
            f"tenant/{key}",
            tenant_value(key),
            ticket=(request, len(keeper.answers), keeper.now),
            expected=versions,
        )
        keeper.now += 1

    @rule(
        name=names,
        how=st.sampled_from(["delivered", "delivered", "lost", "unanswered", "unknown", "delayed"]),
    )
    def deliver(self, name: str, how: str) -> None:
        keeper = self.keepers[name]
        while keeper.requests:
            request = keeper.requests.pop(0)
            if how == "delivered":
                keeper.deliver(request)
                continue
            if how == "delayed":
                self.delayed.append((keeper, request))
            elif how == "lost":
                if isinstance(request, WriteRecord):
                    keeper.handle(WriteUnanswered(request.slot))
            else:
                keeper.deliver(
                    request, answered=False, unknown=how == "unknown" and isinstance(request, WriteRecord)
                )
            return

    @precondition(lambda self: self.delayed)
    @rule(index=st.integers(0, 20), answered=st.booleans())
    def deliver_delayed(self, index: int, answered: bool) -> None:
        keeper, request = self.delayed.pop(index % len(self.delayed))
        keeper.deliver(request, answered=answered)

    @rule(name=names, after=st.sampled_from([SECOND // 10, SECOND, 6 * SECOND]))
    def elapse(self, name: str, after: int) -> None:
        self.keepers[name].handle(DeadlineReached(), after=after)

    @rule(name=names, source=names)
    def follow(self, name: str, source: str) -> None:
        keeper = self.keepers[name]
        if keeper.phase in ("standby", "catching_up"):
            keeper.follow(self.keepers[source])
            keeper.handle(CatchUpAdvanced())

    @rule(name=names)
    def persist(self, name: str) -> None:
        keeper = self.keepers[name]
        self.disks[name] = keeper.history.table
        for other in self.keepers.values():
            other.handle(KeeperDurable(name, keeper.history.table.sequence))
        if name == self.keeper_without_disk and self.disks[name].sequence >= self.required_sequence:
            self.keeper_without_disk = ""

    @rule(
        name=names,
        count=st.integers(1, 2 * RING_SLOTS),
        durable_count=st.integers(0, 3),
        afterwards=st.sampled_from(["", "lose disk"]),
    )
    def commit_many_groups(self, name: str, count: int, durable_count: int, afterwards: str) -> None:
        """Acquire the lease, catch up and write `count` groups, each made durable at once by `durable_count`
        keepers, beginning with the writer. The writer's disk may be lost afterwards."""
        keeper = self._make_writer(name)
        index = KEEPERS.index(name)
        for _ in range(count):
            self._propose_next(keeper)
            keeper.deliver_all()
            for other in (KEEPERS[index:] + KEEPERS[:index])[:durable_count]:
                if other != name:
                    self.follow(other, name)
                self.persist(other)
        request = f"q{self.request_count}"
        keeper.propose(request, ticket=(request, "again", len(keeper.answers)))
        keeper.deliver_all()
        if afterwards:
            self.lose_disk(name)

    @rule(
        name=names, other=names, count=st.integers(0, 3), how=st.sampled_from(["before", "after", "unknown"])
    )
    def write_during_takeover(self, name: str, other: str, count: int, how: str) -> None:
        """Another keeper acquires the lease and writes while a write of the old writer is in flight. The old
        writer's write reaches the cluster before or after the new writer's, or the old writer learns that no
        answer will arrive."""
        keeper = self._make_writer(name)
        self._propose_next(keeper)
        if name == other or not keeper.requests:
            return
        put = keeper.requests.pop()
        other_keeper = self._make_writer(other)
        if how == "before":
            keeper.deliver(put)
        for _ in range(count):
            self._propose_next(other_keeper)
            other_keeper.deliver_all()
        if how == "after":
            keeper.deliver(put)
        elif how == "unknown":
            keeper.handle(WriteUnanswered(put.slot))
        keeper.deliver_all()

    def _make_writer(self, name: str) -> Keeper:
        keeper = self.keepers[name].acquire_lease().deliver_all()
        for source in KEEPERS:
            self.follow(name, source)
        return keeper.deliver_all()

    def _propose_next(self, keeper: Keeper) -> None:
        self.request_count += 1
        keeper.propose(
            f"q{self.request_count}", f"tenant/{self.request_count % 4}", tenant_value(self.request_count)
        )

    @rule(name=names)
    def restart(self, name: str) -> None:
        self._restart_keeper(name)

    @rule(name=names)
    def lose_disk(self, name: str) -> None:
        if self.keeper_without_disk in ("", name):
            self.keeper_without_disk = name
            self.required_sequence = max(self.required_sequence, len(self.cluster.sequence()))
            self.disks[name] = FeedTable()
            self._restart_keeper(name)

    def _restart_keeper(self, name: str) -> None:
        now = self.keepers[name].now
        self._check_answers(self.keepers[name])
        self.delayed += [(self.keepers[name], request) for request in self.keepers[name].requests]
        self.keepers[name] = Keeper(self.cluster, name, self.disks[name])
        self.keepers[name].now = now
        self.keepers[name].handle(KeeperDurable(name, self.disks[name].sequence))

    def _check_answers(self, keeper: Keeper) -> None:
        for (request, *_), result in (
            (t, result) for t, result in keeper.answers.items() if isinstance(t, tuple)
        ):
            if result.sequence:
                assert self.committed.setdefault(request, result.sequence) == result.sequence

    @invariant()
    def acknowledged_changes_are_committed(self) -> None:
        changes = self.cluster.sequence()
        for change in changes[len(self.tables) - 1 :]:
            self.tables.append(self.tables[-1].apply(change))  # raises for a gap or a repeated number
        for keeper in self.keepers.values():
            self._check_answers(keeper)
            table = keeper.history.table
            assert table == self.tables[table.sequence] or (
                table.digest("all") == self.tables[table.sequence].digest("all")
            )
            for request, result in keeper.answers.items():
                if result.sequence and isinstance(request, str):
                    assert self.committed.setdefault(request, result.sequence) == result.sequence
            if (
                keeper.phase == "writing"
                and not keeper.writer.in_flight
                and keeper.writer.epoch == self.cluster.epoch
            ):
                assert table.sequence == len(changes), "the writer does not have all committed changes"
        for request, number in self.committed.items():
            assert changes[number - 1].request_id == request

    def teardown(self) -> None:
        """Without further faults any keeper can become the writer, with all acknowledged changes."""
        for name in KEEPERS:
            keeper = self._make_writer(name)
            assert keeper.phase == "writing", keeper.effects_of(ReleaseLease)
            self.acknowledged_changes_are_committed()
            keeper.acknowledge_all()
            keeper.write_changes(1)
            assert keeper.history.table.sequence == len(self.cluster.sequence())


KeeperFleet.TestCase.settings = settings(
    derandomize=True, database=None, max_examples=200, stateful_step_count=30, deadline=None
)
test_acknowledged_changes_are_in_the_table_of_every_later_writer = KeeperFleet.TestCase


def test_a_copy_for_exploration_is_independent() -> None:
    keeper = start_writer()
    keeper.write_changes(2)
    keeper.propose("r")
    before = keeper.writer.state_key()
    hash(before)
    copied = keeper.writer.copy()
    assert copied.state_key() == before
    copied.handle(keeper.now, RecordWritten(2, 1))
    copied.handle(keeper.now, ProposalReceived("t", make_proposal("s")))
    assert copied.history.table.sequence == 3
    assert keeper.writer.state_key() == before
    assert keeper.history.table.sequence == 2
    keeper.deliver_all()
    assert keeper.answers["r"].sequence == 3


# ---- validation of a change

ROUTE = {"limit_ms": 500, "effect": "restartable"}


def faults_of(key: str, value: Any, table: FeedTable | None = None) -> str:
    encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
    return find_faults(Propose("r", ((key, encoded),)), table or FeedTable())


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
def test_valid_values_are_accepted(key: str, value: Any) -> None:
    assert faults_of(key, value) == ""


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
def test_invalid_keys_and_values_are_reported(key: str, value: Any, reason: str) -> None:
    faults = faults_of(key, value)
    assert faults
    assert reason in faults


def test_all_faults_of_a_change_are_reported_together_within_a_size_limit() -> None:
    items = (
        ("tenant/x", b'{"share":2,"allowance_per_s":-1,"colour":1}'),
        ("tenant/y", b"{"),
        ("tenant/y", None),
        ("nowhere/z", b"{}"),
    )
    faults = find_faults(Propose("r", items, (("tenant/x", 3),)), FeedTable())
    for part in (
        "share: ",
        "allowance_per_s: ",
        "'colour'",
        "not valid JSON",
        "'tenant/y' is listed twice",
        "nowhere",
    ):
        assert part in faults
    assert "'tenant/x' has version 0, 3 was expected" in faults
    many_items = tuple((f"other/{'x' * 190}{index}", b"{}") for index in range(100))
    assert len(find_faults(Propose("r", many_items), FeedTable())) < 5000


def test_the_limits_of_a_change() -> None:
    good = b'{"share":0.1}'
    assert "1 to 1000 are allowed" in find_faults(Propose("r", ()), FeedTable())
    assert (
        find_faults(
            Propose("r", tuple((f"tenant/{number}", good) for number in range(CHANGE_ITEMS_LIMIT))),
            FeedTable(),
        )
        == ""
    )
    assert find_faults(
        Propose("r", tuple((f"tenant/{number}", good) for number in range(CHANGE_ITEMS_LIMIT + 1))),
        FeedTable(),
    )
    large = tuple((f"common/{number}", b'{"a":"%s"}' % (b"x" * 4000)) for number in range(7))
    assert f"{CHANGE_SIZE_LIMIT} at most" in find_faults(Propose("r", large), FeedTable())
    for request in ("", "x" * 65, "a\nb"):
        assert "the request id does not have" in find_faults(
            Propose(request, (("tenant/x", good),)), FeedTable()
        )
    versions = tuple((f"tenant/{number}", 0) for number in range(CHANGE_ITEMS_LIMIT + 1))
    assert "expected versions" in find_faults(Propose("r", (("tenant/x", good),), versions), FeedTable())


def test_a_full_table_accepts_changed_values_but_no_new_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.config_feed.validation.TABLE_ENTRIES_LIMIT", 2)
    table = FeedTable().update(1, [("tenant/a", b"{}", 1), ("tenant/b", b"{}", 1)])
    assert "more than 2 entries" in faults_of("tenant/c", {"share": 0}, table)
    assert faults_of("tenant/a", {"share": 0}, table) == ""
    swap = Propose("r", (("tenant/c", b'{"share":0}'), ("tenant/a", None)))
    assert find_faults(swap, table) == ""


@settings(derandomize=True, database=None)
@given(st.text(max_size=300), st.binary(max_size=100), st.text(max_size=80))
def test_arbitrary_proposals_never_crash_the_validation(key: str, value: bytes, request: str) -> None:
    for candidate in (key, f"route/{key}", f"common/{key}"):
        assert isinstance(
            find_faults(Propose(request, ((candidate, value),), ((candidate, 1),)), FeedTable()), str
        )


# ---- the archive


def make_tables(count: int, first: FeedTable | None = None) -> list[FeedTable]:
    tables = [first or FeedTable()]
    for _ in range(count):
        number = tables[-1].sequence + 1
        items = (f"tenant/{number}", tenant_value(number)), (f"route/{number % 3}", b"%d" % number)
        tables.append(tables[-1].apply(Change(number, f"r{number}", items)))
    return tables


def make_step(before: FeedTable, after: FeedTable) -> ArchivedStep:
    number = after.sequence
    keys = (f"tenant/{number}", f"route/{number % 3}")
    items: Any = tuple((key, *(after.get(key) or (None, 0))) for key in keys)
    return ArchivedStep(before.sequence, number, items)


class FailingDisk(Disk):
    """Counts the calls and fails in a given range of calls; as on a full disk, half of a write succeeds."""

    def __init__(self, folder: Path, kind: str = "feed") -> None:
        super().__init__(folder, kind)
        self.calls, self.fails_from, self.fails_until = 0, 1 << 60, 1 << 60
        self.removal_works = True
        self.order: list[str] = []

    def _call(self, call: str) -> bool:
        self.calls += 1
        self.order.append(call)
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
        if not self.removal_works or self._call("remove"):
            raise OSError(errno.EIO, "broken")
        super().remove(number)


def recover_archive(folder: Path, kind: Any = "all") -> tuple[FeedTable | None, str]:
    archive = Archive(Disk(folder, "feed"), kind)
    return archive.recover(), archive.recovery_failure


def write_archive(folder: Path, tables: list[FeedTable]) -> Archive:
    archive = Archive(FailingDisk(folder), "all")
    archive.disk.acquire()
    assert archive.recover() is None
    archive.write(tables[0])
    for before, after in pairwise(tables):
        assert archive.write(after, [make_step(before, after)]) == after.sequence
    archive.disk.release()
    return archive


def is_table(table: FeedTable | None, expected: FeedTable) -> bool:
    return table is not None and table == expected


def test_a_written_table_is_recovered(tmp_path: Path) -> None:
    tables = make_tables(9)
    write_archive(tmp_path, tables)
    table, _ = recover_archive(tmp_path)
    assert is_table(table, tables[-1])
    assert len(list(tmp_path.glob("*.feed"))) == 1


def test_steps_are_written_together_and_missing_steps_cause_a_snapshot(tmp_path: Path) -> None:
    tables = make_tables(6)
    disk = FailingDisk(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(tables[0])
    calls = disk.calls
    archive.write(tables[3], [make_step(tables[index], tables[index + 1]) for index in range(3)])
    assert disk.calls == calls + 2
    assert archive.segment == 1
    archive.write(tables[3])
    assert disk.calls == calls + 2  # nothing is written for an unchanged state
    # The step to 4 is missing.
    archive.write(tables[6], [make_step(tables[4], tables[5]), make_step(tables[5], tables[6])])
    assert archive.segment == 2
    assert is_table(recover_archive(tmp_path)[0], tables[6])
    archive.write(tables[2])  # an older table, loaded as a snapshot
    assert is_table(recover_archive(tmp_path)[0], tables[2])


def test_an_instances_archive_has_no_tenants(tmp_path: Path) -> None:
    tables = make_tables(3)
    disk = Disk(tmp_path, "feed")
    disk.acquire()
    archive = Archive(disk, "wide")
    wide = [FeedTable().update(table.sequence, table.entries("wide"), "wide") for table in tables]
    archive.write(wide[1])
    archive.write(wide[2], [make_step(tables[1], tables[2])])
    table, _ = recover_archive(tmp_path, "wide")
    assert table == wide[2]
    assert recover_archive(tmp_path, "all")[0] is None  # an archive of another kind


def test_after_a_torn_last_write_the_previous_state_is_recovered(tmp_path: Path) -> None:
    tables = make_tables(4)
    write_archive(tmp_path / "x", tables[:4])
    path = next((tmp_path / "x").glob("*.feed"))
    complete_size = path.stat().st_size
    write_archive(tmp_path / "y", tables)
    data = next((tmp_path / "y").glob("*.feed")).read_bytes()
    half = complete_size + (len(data) - complete_size) // 2
    for end in range(complete_size, len(data) + 1):
        path.write_bytes(data[:end])
        table, _ = recover_archive(tmp_path / "x")
        assert is_table(table, tables[3] if end < half else tables[4]), end


def test_a_torn_first_snapshot_recovers_nothing(tmp_path: Path) -> None:
    tables = make_tables(4)
    write_archive(tmp_path, tables[4:])
    path = next(tmp_path.glob("*.feed"))
    data = path.read_bytes()
    for end in range(len(data)):
        path.write_bytes(data[:end])
        assert recover_archive(tmp_path)[0] is None, end


def test_a_flipped_bit_is_repaired_from_the_copy_or_reported(tmp_path: Path) -> None:
    tables = make_tables(3)
    write_archive(tmp_path, tables)
    path = next(tmp_path.glob("*.feed"))
    data = bytearray(path.read_bytes())
    for index in range(len(data)):
        data[index] ^= 1 << index % 8
        path.write_bytes(data)
        table, failure = recover_archive(tmp_path)
        assert is_table(table, tables[3]) or (table is None and failure), index
        data[index] ^= 1 << index % 8


def test_missing_steps_in_the_middle_are_reported_as_corruption(tmp_path: Path) -> None:
    tables = make_tables(3)
    sizes = []
    for index in range(3):
        write_archive(tmp_path / str(index), tables[: index + 2])
        sizes.append(next((tmp_path / str(index)).glob("*.feed")).stat().st_size)
    path = next((tmp_path / "2").glob("*.feed"))
    data = bytearray(path.read_bytes())
    data[sizes[0] : sizes[1]] = bytes(sizes[1] - sizes[0])
    path.write_bytes(data)
    table, failure = recover_archive(tmp_path / "2")
    assert table is None
    assert "can't be read, but later frames can" in failure
    disk = Disk(tmp_path / "2", "feed")
    disk.acquire()
    archive = Archive(disk, "all")
    archive.recover()
    archive.write(tables[3])  # loaded as a snapshot
    assert is_table(recover_archive(tmp_path / "2")[0], tables[3])
    assert len(disk.segments()) == 1


def test_a_full_disk_keeps_the_durable_state_and_later_writes_use_a_new_segment(tmp_path: Path) -> None:
    tables = make_tables(4)
    for failing_call in range(1, 3):  # the call that fails: the append, then the sync
        folder = tmp_path / str(failing_call)
        disk = FailingDisk(folder)
        disk.acquire()
        archive = Archive(disk, "all")
        archive.write(tables[1])
        archive.write(tables[2], [make_step(tables[1], tables[2])])
        disk.fails_from = disk.calls + failing_call
        with pytest.raises(OSError, match=r"full|broken"):
            archive.write(tables[3], [make_step(tables[2], tables[3])])
        assert archive.durable == 2
        for _ in range(5):
            with pytest.raises(OSError, match=r"full|broken"):
                archive.write(tables[3], [make_step(tables[2], tables[3])])
        assert len(disk.segments()) <= 7
        table, _ = recover_archive(folder)
        assert is_table(table, tables[2]) or is_table(table, tables[3])
        disk.fails_from = 1 << 60
        assert (
            archive.write(tables[4], [make_step(tables[2], tables[3]), make_step(tables[3], tables[4])]) == 4
        )
        assert archive.segment > 1
        assert is_table(recover_archive(folder)[0], tables[4])
        assert len(disk.segments()) == 1


def test_repeated_failed_snapshots_do_not_use_more_disk_space(tmp_path: Path) -> None:
    tables = make_tables(300)
    disk = FailingDisk(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(tables[100])
    size = sum(size for _, size in disk.segments())
    for _ in range(10):
        # The append of a part fails, but the removal of the segment succeeds.
        archive.needs_snapshot = True
        disk.fails_from, disk.fails_until = disk.calls + 3, disk.calls + 4
        with pytest.raises(OSError, match="full"):
            archive.write(tables[300])
    assert sum(size for _, size in disk.segments()) == size


def test_a_snapshot_interrupted_at_any_call_loses_no_durable_state(tmp_path: Path) -> None:
    tables = make_tables(3)
    for removal_works in (True, False):
        for failing_call in range(1, 12):
            folder = tmp_path / f"{removal_works}-{failing_call}"
            disk = FailingDisk(folder)
            disk.acquire()
            archive = Archive(disk, "all")
            archive.write(tables[1])
            archive.write(tables[2], [make_step(tables[1], tables[2])])
            disk.release()
            # After a restart the next write is a snapshot; from the given call on, all disk calls fail.
            disk = FailingDisk(folder)
            disk.acquire()
            archive = Archive(disk, "all")
            assert is_table(archive.recover(), tables[2])
            assert archive.durable == 2
            disk.removal_works, disk.fails_from = removal_works, failing_call
            try:
                durable = archive.write(tables[3])
            except OSError:
                durable = 2
            disk.release()
            table, failure = recover_archive(folder)
            assert table is not None, failure
            assert table.sequence >= durable
            assert is_table(table, tables[table.sequence])


def test_older_segments_are_removed_after_the_new_one_and_its_name_are_durable(tmp_path: Path) -> None:
    tables = make_tables(3)
    disk = FailingDisk(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(tables[1])
    assert disk.order == ["begin", "append", "append", "append", "sync", "sync_folder"]
    disk.order.clear()
    archive.write(tables[2], [make_step(tables[1], tables[2])])
    assert disk.order == ["append", "sync"]
    disk.order.clear()
    archive.needs_snapshot = True
    archive.write(tables[3])
    assert disk.order == ["begin", "append", "append", "append", "sync", "sync_folder", "remove"]


def test_a_snapshot_with_an_unwritten_page_is_skipped_for_the_previous_segment(
    tmp_path: Path,
) -> None:
    tables = make_tables(3)
    write_archive(tmp_path, tables[:3])
    write_archive(tmp_path / "other", tables[3:])
    data = bytearray(next((tmp_path / "other").glob("*.feed")).read_bytes())
    data[20:60] = bytes(40)  # a page that was not written before the crash
    (tmp_path / f"{2:012}.feed").write_bytes(data)
    assert is_table(recover_archive(tmp_path)[0], tables[2])


def test_the_size_on_disk_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.config_feed.archive.LOG_SIZE_MIN", 4096)
    disk = FailingDisk(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    table = FeedTable()
    archive.write(table)
    max_size = 0
    for number in range(1, 1500):
        items = ((f"tenant/{number % 5}", tenant_value(number), number),)
        after = table.update(number, items)
        archive.write(after, [ArchivedStep(table.sequence, number, items)])
        table = after
        if number % 50 == 0:
            max_size = max(max_size, sum(size for _, size in disk.segments()))
    assert max_size < 3 * 4096
    assert archive.segment > 10
    assert is_table(recover_archive(tmp_path)[0], table)


def test_sixty_thousand_entries_are_written_and_read_back(tmp_path: Path) -> None:
    table = FeedTable().update(
        7,
        (
            (f"{'route' if number % 20 else 'tenant'}/{number}", tenant_value(number), 7)
            for number in range(60_000)
        ),
    )
    disk = FailingDisk(tmp_path)
    disk.acquire()
    archive = Archive(disk, "all")
    archive.write(table)
    assert disk.calls > 40  # the snapshot is written in parts
    recovered, _ = recover_archive(tmp_path)
    assert is_table(recovered, table)


# ---- redirection of proposers


def contacted_keepers(
    monkeypatch: pytest.MonkeyPatch, answers: Mapping[str, ProposeResult | None]
) -> list[str]:
    """Return the keepers that a proposer contacts, k0 first, until one answers with a sequence number."""
    asked: list[str] = []

    async def ask(address: tuple[str, int], *arguments: Any) -> ProposeResult | None:
        asked.append(address[0])
        return answers[address[0]]

    monkeypatch.setattr(operations, "request", ask)
    monkeypatch.setattr(operations, "RETRY_DELAY", 0.001)
    keepers = {name: (name, 1) for name in answers}
    random = next(
        candidate for candidate in map(Random, range(99)) if candidate.choice(sorted(keepers)) == "k0"
    )
    monkeypatch.setattr(random, "choice", min)
    anyio.run(operations.propose, keepers, Propose("x", ()), 1.0, random)
    return asked


def redirect_to(leader: str) -> ProposeResult:
    return ProposeResult("x", reason="it is not the writer", unknown=True, leader=leader)


def test_a_proposer_is_not_redirected_to_a_keeper_that_did_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = {"k0": None, "k1": redirect_to("k0"), "k2": ProposeResult("x", 7)}
    assert contacted_keepers(monkeypatch, answers) == ["k0", "k1", "k2"]


def test_a_proposer_tries_the_next_keeper_when_two_redirect_to_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = {"k0": redirect_to("k1"), "k1": redirect_to("k0"), "k2": ProposeResult("x", 7)}
    assert contacted_keepers(monkeypatch, answers) == ["k0", "k1", "k2"]


def test_a_proposer_follows_a_redirect_to_the_writer_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = {"k0": redirect_to("k2"), "k1": redirect_to("k2"), "k2": ProposeResult("x", 7)}
    assert contacted_keepers(monkeypatch, answers) == ["k0", "k2"]
