"""One member's protocol as a state machine: failure detection, dissemination and anti-entropy.

No I/O and no clock; docs/design/members.md discusses the design. It is SWIM (Das, Gupta, Motivala 2002) with
suspicion and round-robin probes, Lifeguard's local health and confirmations (Dadgar, Phillips, Currey 2018),
and digests that pairs of members compare periodically, to detect lost updates.

A probe is a ping to one member that waits for an Ack. A probe period is the time between two probes. A seed
is the configured address of a member through which others join the fleet.
"""

from collections.abc import Callable
from math import ceil, log
from random import Random
from typing import Any, NamedTuple

from thistleline.membership.anti_entropy import HEADER_SIZE, bucket_messages
from thistleline.membership.effects import GossipEffect, MemberChanged, SendMessage, WriteLog
from thistleline.membership.events import FactsChanged, GossipEvent, LeaveRequested, MessageReceived
from thistleline.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_DATAGRAM_SIZE,
    MAX_INCARNATION,
    STATUS_NAMES,
    SUSPECT,
    Ack,
    BucketDigest,
    BucketRecords,
    Join,
    MemberFacts,
    MemberRecord,
    Message,
    Nack,
    Ping,
    PingRequest,
    encode,
)
from thistleline.membership.probes import LocalHealth, Probe, ProbeOrder
from thistleline.membership.suspicion import SuspicionTable
from thistleline.membership.view import BUCKETS, MAX_MEMBERS, MembershipView, is_valid, merge_records
from thistleline.reducer.events import DeadlineReached

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
HELPER_COUNT = 3  # members that are asked to ping one that does not answer (SWIM's indirect probe)
TRANSMITS_FACTOR = 4  # an update is sent this many times the decimal logarithm of the fleet's size
DEAD_PING_EVERY = 4  # probe periods between two pings of dead members
DIGEST_EVERY = 5  # probe periods between two comparisons of digests with another member
SEED_EVERY = 10  # probe periods between two Joins to a seed that is not known to be alive
FORGET_AFTER = 3600 * SECOND  # dead members are pinged periodically for this long, as a partition may heal
MAX_PROBES = 256
JOIN_INTERVAL = 20 * MS  # least time between two Joins that are answered


class GossipTiming(NamedTuple):
    """Durations of the failure detector, ns."""

    period: int  # time between two probes
    ack_timeout: int  # how long to wait for an Ack before other members are asked to ping the target


class Gossip:
    """The protocol state machine of one member.

    Attributes:
        view: The known records of all members.
        own_record: The record that this member publishes about itself.
        next_period: When the next probe period begins, ns.
        periods: Number of probe periods that have begun.
        bytes_sent: Total size of all messages sent.
    """

    def __init__(
        self,
        id: str,
        address: str,
        incarnation: int,
        facts: MemberFacts,
        seeds: tuple[str, ...],
        now: int,
        timing: GossipTiming,
        rng: Random,
    ) -> None:
        """Start as a member that knows no other member.

        Args:
            id: The member's id: unique in the fleet, and the same after a restart.
            address: Address that this member listens on.
            incarnation: Greater than any before under this id, such as the wall clock's ms at the start.
            facts: Facts that this member publishes about itself.
            seeds: Addresses of some members through which this one joins the fleet.
            now: Current time, ns.
            timing: Durations of the failure detector.
            rng: Source of all random choices.
        """
        self.id = id
        self.address = address
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.now = now
        self.timing = timing
        self.rng = rng
        self.view = MembershipView()
        self.health = LocalHealth()
        self.order = ProbeOrder(id, rng)
        self.suspicions = SuspicionTable(timing.period)
        self.effects: list[GossipEffect] = []
        self.leaving = False
        self.last_number = 0
        self.probes: dict[int, Probe] = {}
        self.died_at: dict[str, int] = {}  # when its death became known, ns, by id of a dead member
        self.periods = 0
        self.next_period = now + self.rng.randrange(timing.period)
        self.next_join = now  # earliest time at which a Join is answered
        self.bytes_sent = 0
        self._put_own(incarnation, ALIVE, 1, facts)

    @property
    def own_record(self) -> MemberRecord:
        """The record that this member publishes about itself."""
        return self.view.records[self.id]

    # ---- events

    def handle(self, now: int, event: GossipEvent) -> list[GossipEffect]:
        """Handle one event at time `now` (ns) and return the effects to carry out."""
        self.now = max(self.now, now)
        match event:
            case MessageReceived(address, message):
                self._on_message(address, message)
            case DeadlineReached():
                self._on_deadline()
            case FactsChanged(facts):
                self._on_facts(facts)
            case LeaveRequested():
                self._on_leave()
        effects, self.effects = self.effects, []
        return effects

    def next_deadline(self) -> int:
        """Return when the next `DeadlineReached` is to be handled, ns."""
        deadline = self.next_period
        for probe in self.probes.values():
            deadline = min(deadline, probe.deadline)
        return deadline

    def _on_deadline(self) -> None:
        for number, probe in list(self.probes.items()):
            if self.now >= probe.deadline:
                self._on_probe_timeout(number, probe)
        if self.now >= self.next_period:
            self.next_period = self.now + self.timing.period * self.health.multiplier
            self.periods += 1
            self._run_period()

    def _on_facts(self, facts: MemberFacts) -> None:
        own = self.own_record
        if facts != own.facts and not self.leaving:
            self._put_own(own.incarnation, own.status, own.version + 1, facts)

    def _on_leave(self) -> None:
        """Announce to a few members that this one leaves; they spread it, so that no probe must detect it."""
        own = self.own_record
        self.leaving = True
        self._put_own(own.incarnation, LEFT, own.version, own.facts)
        others = [record for record in self.view.live_members() if record.id != self.id]
        for record in self.rng.sample(others, min(2 * HELPER_COUNT, len(others))):
            self._send(record.address, lambda records: Ping(0, records), self.id)

    # ---- sending

    def _send(
        self, address: str, make_message: Callable[[tuple[MemberRecord, ...]], Message], first: str = ""
    ) -> None:
        """Send a message with as many updates as fit; the record of member `first` comes first."""
        max_transmits = TRANSMITS_FACTOR * self._fleet_size_log()
        updates = self.view.select_updates(MAX_DATAGRAM_SIZE - HEADER_SIZE, max_transmits, first)
        self._send_message(address, make_message(tuple(updates)))

    def _send_message(self, address: str, message: Message) -> None:
        self.bytes_sent += len(encode(message))
        self.effects.append(SendMessage(address, message))

    def _fleet_size_log(self) -> int:
        return max(1, ceil(log(len(self.view.records) + 1, 10)))

    # ---- periods

    def _run_period(self) -> None:
        self._end_suspicions()
        if self.leaving:
            return
        if len(self.view.records) == 1:
            if self.seeds:
                self._send_join(self.seeds)
            return
        target = self.order.next_target(self.view)
        if target is not None:
            self._probe(target)
        if self.periods % DEAD_PING_EVERY == 0:
            self._ping_dead()
        if self.periods % DIGEST_EVERY == 0:
            self._send_digest()
        if self.periods % SEED_EVERY == 0:
            self._join_unknown_seed()

    def _send_join(self, seeds: tuple[str, ...] | list[str]) -> None:
        seed = seeds[self.rng.randrange(len(seeds))]
        self._send(seed, Join, self.id)

    def _join_unknown_seed(self) -> None:
        """Send a Join to a seed that is not known to be alive; prevents permanently separate groups.

        Members that start at the same time may know some others before all seeds are up, and a member never
        probes one that it does not know.
        """
        live = {record.address for record in self.view.live_members()}
        unknown = [seed for seed in self.seeds if seed not in live]
        if unknown:
            self._send_join(unknown)

    def _ping_dead(self) -> None:
        """Ping a dead member, as a partition may have healed; remove members dead for over `FORGET_AFTER`."""
        dead = [record for record in self.view.dead_members() if record.status == DEAD]
        for record in dead:
            if self.now - self.died_at.get(record.id, self.now) > FORGET_AFTER:
                self.view.remove(record.id)
                self.died_at.pop(record.id, None)
        dead = [record for record in dead if record.id in self.view.records]
        if dead:
            record = self.rng.choice(dead)
            self._send(record.address, lambda records: Ping(0, records), record.id)

    # ---- failure detection

    def _probe(self, target: MemberRecord) -> None:
        multiplier = self.health.multiplier
        deadline = self.now + self.timing.ack_timeout * multiplier
        period_end = self.now + self.timing.period * multiplier
        self._send_ping(target, Probe(target.id, deadline, period_end))

    def _send_ping(self, target: MemberRecord, probe: Probe) -> None:
        self.last_number += 1
        number = self.last_number
        self.probes[number] = probe
        self._send(target.address, lambda records: Ping(number, records), target.id)

    def _on_probe_timeout(self, number: int, probe: Probe) -> None:
        """Request indirect probes first, as the network path may be at fault; then suspect the target."""
        if probe.requester:
            del self.probes[number]
            self._send(probe.requester, lambda records: Nack(probe.requester_number, records))
            return
        target = self.view.records.get(probe.target)
        if target is None or target.status >= DEAD:
            del self.probes[number]
            return
        if not probe.helpers and probe.deadline < probe.period_end:
            self._probe_indirectly(number, probe)
            if probe.helpers:
                return
        del self.probes[number]
        # A member that gets no answer even from the members asked to help may itself be the slow one.
        self.health.worsen(max(1, probe.helpers - probe.nacks) if probe.helpers else 1)
        self._suspect(target, self.id)

    def _probe_indirectly(self, number: int, probe: Probe) -> None:
        probe.deadline = probe.period_end
        others = [record for record in self.view.live_members() if record.id not in (self.id, probe.target)]
        helpers = self.rng.sample(others, min(HELPER_COUNT, len(others)))
        probe.helpers = len(helpers)
        for helper in helpers:
            self._send(helper.address, lambda records: PingRequest(number, probe.target, records))

    def _suspect(self, target: MemberRecord, suspected_by: str) -> None:
        if target.status == ALIVE:
            self._merge_update(target.with_status(SUSPECT, suspected_by))
        elif target.status == SUSPECT and target.id in self.suspicions:
            self._confirm_suspicion(target.id, suspected_by)

    def _confirm_suspicion(self, id: str, suspected_by: str) -> None:
        if self.suspicions.confirm(id, suspected_by):
            record = self.view.records[id]
            if record.suspected_by != suspected_by:  # spread the additional suspecting member
                self.view.put(record.with_status(SUSPECT, suspected_by))

    def _end_suspicions(self) -> None:
        for id in list(self.suspicions.suspicions):
            record = self.view.records.get(id)
            if record is None or record.status != SUSPECT:
                self.suspicions.clear(id)
            elif self.suspicions.is_expired(id, self.now, self._fleet_size_log(), self.health.multiplier):
                self._merge_update(record.with_status(DEAD))

    # ---- updates

    def _merge_update(self, update: MemberRecord) -> None:
        if not is_valid(update):
            return
        if update.id == self.id:
            self._refute_update(update)
            return
        known = self.view.records.get(update.id)
        if known is None:
            self._add_member(update)
            return
        merged = merge_records(known, update)
        if merged is not known:
            self._update_member(known, merged)
        elif update.status == SUSPECT == known.status and update.incarnation == known.incarnation:
            self._confirm_suspicion(update.id, update.suspected_by)

    def _add_member(self, record: MemberRecord) -> None:
        if len(self.view.records) >= MAX_MEMBERS:
            return
        if record.status >= DEAD:
            self.died_at[record.id] = self.now
        self.view.put(record)
        if record.status == SUSPECT:
            self.suspicions.start(record.id, self.now, record.suspected_by)
        if record.status < DEAD:
            self.order.insert(record.id)
        self.effects.append(MemberChanged(record, None))

    def _update_member(self, known: MemberRecord, record: MemberRecord) -> None:
        self.view.put(record)
        if record.status != SUSPECT:
            self.suspicions.clear(record.id)
        elif known.status != SUSPECT or known.incarnation != record.incarnation:
            self.suspicions.start(record.id, self.now, record.suspected_by)
        if record.status >= DEAD > known.status:
            self.died_at[record.id] = self.now
        elif record.status < DEAD <= known.status:
            self.died_at.pop(record.id, None)
            self.order.insert(record.id)
        if (record.status, record.incarnation) != (known.status, known.incarnation):
            fields: dict[str, Any] = {
                "id": record.id,
                "status": STATUS_NAMES[record.status],
                "incarnation": record.incarnation,
                "by": record.suspected_by,
            }
            self.effects.append(WriteLog("member", fields))
        self.effects.append(MemberChanged(record, known))

    def _refute_update(self, update: MemberRecord) -> None:
        """Refute an update that says that this member is suspected, dead or has left.

        If an earlier process of this member used a greater incarnation, take an even greater one.
        """
        own = self.own_record
        if self.leaving or update.incarnation < own.incarnation:
            return
        if update.status != ALIVE or update.incarnation > own.incarnation:
            if update.status == SUSPECT:
                self.health.worsen(1)
            self._put_own(min(update.incarnation + 1, MAX_INCARNATION), ALIVE, own.version + 1, own.facts)

    def _put_own(self, incarnation: int, status: int, version: int, facts: MemberFacts) -> None:
        self.view.put(MemberRecord(self.id, self.address, incarnation, status, version, facts))

    # ---- messages

    def _on_message(self, address: str, message: Message) -> None:
        for record in message.records:
            self._merge_update(record)
        if self.leaving:
            return
        match message:
            case Ping(number):
                self._send(address, lambda records: Ack(number, records), self.id)
            case Ack(number):
                self._on_ack(number)
            case PingRequest():
                self._on_ping_request(address, message)
            case Nack(number):
                probe = self.probes.get(number)
                if probe is not None:
                    probe.nacks += 1
            case BucketDigest():
                self._on_digest(address, message)
            case BucketRecords():
                if message.reply_wanted:
                    self._send_bucket(address, message.bucket, reply_wanted=False)
            case Join():
                self._on_join(address)

    def _on_ack(self, number: int) -> None:
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        if probe.requester:
            self._send(probe.requester, lambda records: Ack(probe.requester_number, records))
        else:
            self.health.improve()

    def _on_ping_request(self, address: str, request: PingRequest) -> None:
        target = self.view.records.get(request.target)
        if target is None or len(self.probes) >= MAX_PROBES:
            return
        deadline = self.now + self.timing.ack_timeout
        probe = Probe(target.id, deadline, self.now, requester=address, requester_number=request.number)
        self._send_ping(target, probe)

    def _on_join(self, address: str) -> None:
        # Rate-limited, as the answer is much larger than a Join, whose sender address may be forged.
        if self.now >= self.next_join:
            self.next_join = self.now + JOIN_INTERVAL
            for bucket in range(BUCKETS):
                self._send_bucket(address, bucket, reply_wanted=False)

    # ---- anti-entropy

    def _send_digest(self) -> None:
        others = [record for record in self.view.live_members() if record.id != self.id]
        if others:
            bucket = self.rng.randrange(BUCKETS)
            digest = self.view.digests[bucket]
            address = self.rng.choice(others).address
            self._send(address, lambda records: BucketDigest(bucket, digest, records))

    def _on_digest(self, address: str, message: BucketDigest) -> None:
        bucket = message.bucket
        if 0 <= bucket < BUCKETS and self.view.digests[bucket] != message.digest:
            self._send_bucket(address, bucket, reply_wanted=True)

    def _send_bucket(self, address: str, bucket: int, reply_wanted: bool) -> None:
        """Send all records of a bucket, in as many datagrams as needed; the last one may request a reply."""
        if not 0 <= bucket < BUCKETS:
            return
        for message in bucket_messages(bucket, self.view.bucket_records(bucket), reply_wanted):
            self._send_message(address, message)
