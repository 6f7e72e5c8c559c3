"""State machine of a follower: selects a source, resumes or loads the feed's table, holds the newest state.

A follower is a keeper that is not the writer, a relay, or an instance, which is a process that uses the
configuration. The follower's source is the keeper or relay that it receives the table from. The kind of a
follower says which entries it holds: "all", or "wide" for all except the tenants. A snapshot is sent in
parts; a delta updates one state to a later one.
It does no I/O and reads no clock. After `DeltaApplied` and `SnapshotLoaded` the new state is `table`. After
`DisconnectUpstream`, and after `UpstreamLost` was passed in, the caller must pass in no more events of that
connection. Only `DeadlineReached` checks for a silent source: messages that arrived during a pause of the
process and are still unread must be passed in before it. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy as shallow_copy
from typing import Any, Literal

from thistleline.config_feed.effects import (
    ConnectUpstream,
    DeltaApplied,
    DisconnectUpstream,
    FollowerEffect,
    SendUpstream,
    SnapshotLoaded,
)
from thistleline.config_feed.events import (
    FollowerEvent,
    FollowingResumed,
    FollowingSuspended,
    SourcesChanged,
    StateDurable,
    UpstreamConnected,
    UpstreamLost,
    UpstreamMessage,
)
from thistleline.config_feed.limits import NEVER, RECONNECT_JITTER_NS, SOURCE_TIMEOUT_NS, TABLE_ENTRIES_LIMIT
from thistleline.config_feed.messages import (
    Acknowledge,
    Delta,
    FetchPart,
    Follow,
    FollowAccepted,
    FollowerMessage,
    FollowRejected,
    Heartbeat,
    Kind,
    SnapshotPart,
    SourceMessage,
)
from thistleline.config_feed.table import FeedTable
from thistleline.reducer.events import DeadlineReached

Phase = Literal["quiet", "waiting", "connecting", "greeting", "loading", "following"]
PART_WINDOW = 4  # snapshot parts requested ahead: avoids a round trip per part on links with high latency
MAX_REASON_LENGTH = 100  # characters of a source's reason for a rejection, as reported in the log


class Follower:
    """Follows one source at a time and holds the newest complete state that it has received.

    Attributes:
        table: The newest state held.
        phase: `waiting` for the next attempt, `connecting`, `greeting` until the source has answered
            `Follow`, `loading` a snapshot, `following`; or `quiet` while following is suspended.
        upstream: The source that is followed or being connected to; empty in the phases waiting and quiet.
        accepted: The last `FollowAccepted` received.
        durable: The sequence number of the state on this process's disk, which a restart would recover.
    """

    __slots__ = (
        "_effects",
        "accept_any_source",
        "accepted",
        "durable",
        "epoch",
        "follow_until",
        "id",
        "kind",
        "last_received_at",
        "level",
        "next_fetch",
        "next_part",
        "next_source",
        "now",
        "phase",
        "random_delay",
        "redirected",
        "retry_at",
        "snapshot",
        "sources",
        "state_suspect",
        "table",
        "upstream",
    )

    def __init__(
        self,
        id: str,
        kind: Kind,
        table: FeedTable,
        sources: tuple[str, ...],
        now: int,
        random_delay: Callable[[int], int],
        level: int = 0,
    ) -> None:
        """Start with the first attempt due within `RECONNECT_JITTER_NS`.

        Args:
            id: The id that this follower sends to its sources.
            kind: Which entries to hold: "all", or "wide" for all except the tenants.
            table: The state to start from.
            sources: Names of the sources, in order of preference.
            now: Time in ns.
            random_delay: Draws a random part of a duration in ns, for the backoff between attempts.
            level: Distance of this follower from the keepers; 0 for a keeper, and for an instance, which has
                no followers.
        """
        self.id = id
        self.kind = kind
        self.table = table
        self.sources = sources
        self.now = now
        self.random_delay = random_delay
        self.level = level
        self.phase: Phase = "waiting"
        self.upstream = ""
        self.next_source = 0  # index into `sources` of the next source to try
        self.retry_at = now + random_delay(RECONNECT_JITTER_NS)
        self.last_received_at = now
        self.accepted: FollowAccepted | None = None
        self.epoch = 0  # the highest epoch of a writer seen so far
        self.accept_any_source = False
        self.durable = 0
        self.state_suspect = False  # a digest differed: the next source must send a snapshot
        self.redirected = False  # the next attempt goes to the writer that the last source named
        self.follow_until = 0  # up to this sequence number, a keeper follows one that is not the writer
        self.snapshot: FeedTable | None = None  # the entries of the snapshot parts received so far
        self.next_part = 0  # index of the snapshot part expected next
        self.next_fetch = 0  # index of the snapshot part to request next
        self._effects: list[FollowerEffect] = []

    def copy(self) -> Follower:
        """Return an independent copy."""
        clone = shallow_copy(self)
        clone._effects = []
        return clone

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines how this follower behaves.

        Tables are represented by sequence number and digest, and times are relative to now.
        """
        snapshot = self.snapshot
        return (
            self.id,
            self.kind,
            self.level,
            self.table.sequence,
            self.table.digest(self.kind),
            self.sources,
            self.phase,
            self.upstream,
            self.next_source,
            self.accepted,
            self.epoch,
            self.accept_any_source,
            self.durable,
            self.state_suspect,
            snapshot and (snapshot.sequence, snapshot.digest(self.kind)),
            self.next_part,
            self.next_fetch,
            self.redirected,
            self.follow_until,
            self.retry_at - self.now if self.phase == "waiting" else 0,
            self.last_received_at - self.now if self.upstream else 0,
        )

    # ---- events

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerEffect]:
        """Handle one event at the time `now` and return the effects to carry out."""
        self.now = max(self.now, now)
        match event:
            case UpstreamMessage():
                self._on_message(event.source, event.message)
            case DeadlineReached():
                self._on_timer()
            case StateDurable():
                self._on_durable(event.sequence)
            case UpstreamConnected():
                self._on_connected(event.source)
            case UpstreamLost():
                self._on_lost(event.source)
            case SourcesChanged():
                self._on_sources(event.sources)
            case FollowingSuspended():
                self._suspend()
            case FollowingResumed():
                self._resume(event.any_source, event.table)
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> int:
        """Return when `DeadlineReached` is to be passed in, in ns."""
        if self.phase == "quiet" or not self.sources:
            return NEVER
        return self.retry_at if self.phase == "waiting" else self.last_received_at + SOURCE_TIMEOUT_NS

    def _on_sources(self, sources: tuple[str, ...]) -> None:
        self.sources = sources
        self.next_source = 0
        if self.upstream in sources:
            self.next_source = sources.index(self.upstream)
        elif self.upstream:
            self._disconnect("no longer a configured source")
            self.next_source = 0
        elif self.phase == "waiting":
            self.retry_at = min(self.retry_at, self.now + self.random_delay(RECONNECT_JITTER_NS))

    def _suspend(self) -> None:
        if self.upstream:
            self._disconnect("this keeper takes over as the writer")
        self.phase = "quiet"

    def _resume(self, any_source: bool, table: FeedTable | None) -> None:
        self.accept_any_source = any_source
        if table is not None and self.phase == "quiet" and table.sequence >= self.table.sequence:
            self.table = table
        if self.phase == "quiet":
            self._back_off()
        elif self.phase in ("loading", "following") and self.accepted and not self._eligible(self.accepted):
            self._disconnect("not the writer")

    def _on_durable(self, sequence: int) -> None:
        if self.phase != "quiet":  # while suspended, `table` is outdated until `FollowingResumed`
            sequence = min(sequence, self.table.sequence)
        if sequence > self.durable:
            self.durable = sequence
            if self.kind == "all" and self.phase in ("loading", "following"):
                self._acknowledge()  # the durable state of "wide" followers is not counted

    def _on_timer(self) -> None:
        if self.now < self.next_deadline():
            return
        if self.phase != "waiting":
            self._disconnect("silent")
            return
        self.upstream = self.sources[self.next_source % len(self.sources)]
        self.phase = "connecting"
        self.last_received_at = self.now
        self._effects.append(ConnectUpstream(self.upstream))

    def _on_connected(self, source: str) -> None:
        if source == self.upstream and self.phase == "connecting":
            self.phase = "greeting"
            self.last_received_at = self.now
            digest = b"" if self.state_suspect else self.table.digest(self.kind)
            self._send(Follow(self.id, self.kind, self.table.sequence, digest, self.level))

    def _on_lost(self, source: str) -> None:
        if self.upstream and source == self.upstream:
            self._back_off()

    def _on_message(self, source: str, message: SourceMessage) -> None:
        if source != self.upstream or self.phase not in ("greeting", "loading", "following"):
            return
        self.last_received_at = self.now
        match message:
            case FollowRejected():
                self._disconnect(f"refused: {message.reason}"[:MAX_REASON_LENGTH])
            case FollowAccepted():
                self._on_accepted(message)
            case _ if self.phase == "greeting":
                self._disconnect("message before FollowAccepted")
            case Heartbeat():
                self._on_heartbeat(message)
            case Delta():
                self._apply_delta(message)
            case SnapshotPart():
                self._add_part(message)

    # ---- to the source

    def _send(self, message: FollowerMessage) -> None:
        self._effects.append(SendUpstream(self.upstream, message))

    def _acknowledge(self) -> None:
        self._send(Acknowledge(self.table.sequence, self.durable))

    def _fetch_next_part(self) -> None:
        assert self.accepted is not None
        self._send(FetchPart(self.accepted.sequence, self.next_fetch))
        self.next_fetch += 1

    def _disconnect(self, reason: str) -> None:
        self._effects.append(DisconnectUpstream(self.upstream, reason))
        self._back_off()

    def _back_off(self) -> None:
        """Schedule an attempt at the next source after a random delay.

        The delay prevents all followers of a failed source from connecting to the next one at once. Keepers
        use a shorter delay: there are few of them, and the relays get no changes until they have connected.
        """
        self.phase = "waiting"
        self.upstream = ""
        self.snapshot = None
        self.redirected = False
        self.follow_until = 0
        self.next_source = (self.next_source + 1) % max(1, len(self.sources))
        is_keeper = self.kind == "all" and not self.level
        self.retry_at = self.now + self.random_delay(
            RECONNECT_JITTER_NS // 4 if is_keeper else RECONNECT_JITTER_NS
        )

    def _suspect_state(self) -> None:
        """Load a snapshot from the next source: this follower's state or the source's is corrupt."""
        self.state_suspect = True
        self.durable = 0
        self._disconnect("digest mismatch")

    # ---- from the source

    def _eligible(self, accepted: FollowAccepted) -> bool:
        """Return whether this follower may follow a source that has sent this `FollowAccepted`."""
        if self.level:
            return accepted.level < self.level
        if self.kind == "wide":
            return True
        if accepted.level:
            return False
        return self.accept_any_source or (accepted.is_writer and accepted.epoch >= self.epoch)

    def _on_accepted(self, accepted: FollowAccepted) -> None:
        if min(accepted.sequence, accepted.epoch, accepted.level) < 0:
            self._disconnect("field out of range")
            return
        self.accepted = accepted
        if self._eligible_until_writer_found(accepted):
            self.phase = "following"
            self.follow_until = accepted.newest
        elif not self._eligible(accepted):
            self._disconnect_ineligible(accepted)
        else:
            self.epoch = max(self.epoch, accepted.epoch)
            self.follow_until = 0
            self._load_or_resume(accepted)

    def _eligible_until_writer_found(self, accepted: FollowAccepted) -> bool:
        """Return whether a keeper that finds no writer may apply deltas from this other keeper meanwhile.

        Such deltas contain committed changes only. A snapshot is not loaded, because without a writer nothing
        proves that it belongs to this feed.
        """
        return (
            (self.kind, self.level, accepted.level, self.phase) == ("all", 0, 0, "greeting")
            and not (
                self._eligible(accepted) or accepted.leader or accepted.load_snapshot or self.state_suspect
            )
            and accepted.sequence == self.table.sequence < accepted.newest
        )

    def _disconnect_ineligible(self, accepted: FollowAccepted) -> None:
        # At most one redirect in a row: prevents two keepers that name each other as the writer from
        # redirecting this keeper back and forth endlessly without a delay.
        redirect = not self.level and not self.redirected and accepted.leader in self.sources
        self._disconnect("level not lower than the follower's" if self.level else "not the writer")
        if redirect:
            self.redirected = True
            self.next_source = self.sources.index(accepted.leader)
            self.retry_at = self.now

    def _load_or_resume(self, accepted: FollowAccepted) -> None:
        """Load the snapshot that the source offers, or resume from the current state."""
        if accepted.load_snapshot:
            self._begin_snapshot(accepted)
        elif self.phase == "greeting" and accepted.sequence == self.table.sequence and not self.state_suspect:
            self.phase = "following"
            if self.durable:
                self._acknowledge()
        elif self.phase != "following":  # while following, the message only announces a change of the writer
            self._disconnect("unexpected FollowAccepted")

    def _begin_snapshot(self, accepted: FollowAccepted) -> None:
        if accepted.sequence < self.table.sequence:
            self._disconnect("snapshot older than the current state")
            return
        self.phase = "loading"
        self.snapshot = FeedTable()
        self.next_part = 0
        self.next_fetch = 0
        while self.next_fetch < PART_WINDOW:
            self._fetch_next_part()

    def _apply_delta(self, delta: Delta) -> None:
        if self.phase != "following" or delta.first != self.table.sequence or delta.last <= delta.first:
            self._disconnect("delta does not start at the current state")
            return
        table = self.table.update(delta.last, delta.items, self.kind)
        if table.digest(self.kind) != delta.digest:
            self._suspect_state()
        elif table.entry_count(self.kind) > TABLE_ENTRIES_LIMIT:
            self._disconnect("too many entries")
        else:
            self.table = table
            self._effects.append(DeltaApplied(delta))
            if 0 < self.follow_until <= delta.last:
                self._disconnect("not the writer")
            else:
                self._acknowledge()

    def _add_part(self, part: SnapshotPart) -> None:
        if self.phase != "loading" or self.snapshot is None or self.accepted is None:
            return
        if part.sequence != self.accepted.sequence:
            return  # part of a snapshot that the source has replaced meanwhile
        if part.index != self.next_part:
            self._disconnect("snapshot part out of order")
            return
        self.snapshot = self.snapshot.update(part.sequence, part.items, self.kind)
        self.next_part += 1
        if self.snapshot.entry_count(self.kind) > TABLE_ENTRIES_LIMIT:
            self._disconnect("too many entries")
        elif part.parts != self.next_part:
            self._fetch_next_part()
        elif self.snapshot.digest(self.kind) != part.digest:
            self._suspect_state()
        else:
            self._install_snapshot(self.snapshot)

    def _install_snapshot(self, snapshot: FeedTable) -> None:
        """Replace the current state with the snapshot, which is complete."""
        self.table = snapshot
        self.snapshot = None
        self.phase = "following"
        self.state_suspect = False
        self.durable = 0  # until the new state is on disk, the state there may belong to another history
        self._effects.append(SnapshotLoaded())
        self._acknowledge()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        if self.phase != "following" or heartbeat.sequence > self.table.sequence:
            self._acknowledge()
        elif heartbeat.sequence < self.table.sequence:
            self._disconnect("behind")
        elif heartbeat.digest != self.table.digest(self.kind):
            self._suspect_state()
        else:
            self._acknowledge()
