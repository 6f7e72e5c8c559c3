"""State machine of a keeper or a relay: combines the follower, the source and, in a keeper, the writer.

The follower receives the table, the source serves it, and the writer commits changes to it.
It does no I/O and reads no clock. Each event is dispatched to the components that it concerns, and changes of
one component that affect another are propagated. The effects of the components are returned, except for
those that are handled by another component, and also `PersistStep` and `PersistTable` for the local disk.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy as shallow_copy
from typing import Any, Literal, NamedTuple

import msgspec

from thistleline.config_feed.effects import (
    CloseDownstream,
    ConnectUpstream,
    DeltaApplied,
    DisconnectUpstream,
    PersistStep,
    PersistTable,
    SendDownstream,
    SendUpstream,
    SnapshotLoaded,
    SubscriberDurable,
)
from thistleline.config_feed.events import (
    FollowerEvent,
    FollowingResumed,
    FollowingSuspended,
    HistoryAdvanced,
    HistoryReplaced,
    SourceEvent,
    StateDurable,
    SubscriberJoined,
    SubscriberLeft,
    SubscriberMessage,
    UpstreamConnected,
    UpstreamLost,
    UpstreamMessage,
    WriterChanged,
)
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import History, Items
from thistleline.config_feed.limits import FOLLOWERS_LIMIT, NEVER, REQUEST_ID_LENGTH_LIMIT
from thistleline.config_feed.messages import Follow, Propose, ProposeResult
from thistleline.config_feed.source import Source
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.writer import FeedWriter
from thistleline.config_feed.writer_effects import AnswerProposal, FollowKeepers, TableAdvanced, WriterEffect
from thistleline.config_feed.writer_events import (
    CatchUpAdvanced,
    KeeperDurable,
    ProposalReceived,
    WriterEvent,
)
from thistleline.reducer.events import DeadlineReached

RelayEvent = (
    SubscriberMessage
    | SubscriberJoined
    | SubscriberLeft
    | UpstreamMessage
    | UpstreamConnected
    | UpstreamLost
    | StateDurable
    | DeadlineReached
    | WriterEvent
)
RelayEffect = (
    SendUpstream
    | ConnectUpstream
    | DisconnectUpstream
    | SendDownstream
    | CloseDownstream
    | PersistStep
    | PersistTable
    | WriterEffect
)
FollowMode = Literal["writer", "any", "nobody"]


class KnownWriter(NamedTuple):
    """What this process knows about the writer."""

    epoch: int = 0  # fencing epoch of the writer's lease; 0 while unknown
    is_local: bool = False  # whether this process is the writer
    leader: str = ""  # id of the other keeper that is the writer, if known


class FeedRelay:
    """A keeper, or a relay, which has no writer component.

    Attributes:
        known_writer: What the source component was last told about the writer.
    """

    __slots__ = (
        "_effects",
        "_follow_mode",
        "_keeper_peers",
        "_persisted_sequence",
        "_sender",
        "follower",
        "history",
        "id",
        "known_writer",
        "level",
        "source",
        "writer",
    )

    def __init__(
        self,
        id: str,
        level: int,
        table: FeedTable,
        sources: tuple[str, ...],
        now: int,
        random_delay: Callable[[int], int],
        keepers: tuple[str, ...] = (),
        max_followers: int = FOLLOWERS_LIMIT,
    ) -> None:
        """Start from the given state.

        Args:
            id: Id of this keeper or relay.
            level: Distance from the keepers; 0 for a keeper.
            table: The state to start from.
            sources: Names of the sources to follow, in order of preference.
            now: Time in ns.
            random_delay: Draws a random part of a duration in ns, for backoff.
            keepers: For a keeper, the ids of all keepers, including its own; empty for a relay.
            max_followers: Maximum number of followers to serve, not counting keepers.
        """
        self.id = id
        self.level = level
        self.history = History(table)
        self.source = Source(self.history, level, now, max_followers)
        self.follower = Follower(id, "all", table, sources, now, random_delay, level)
        self.writer = FeedWriter(id, self.history, keepers, now) if keepers else None
        self.known_writer = KnownWriter()
        self._follow_mode: FollowMode = "writer"
        self._keeper_peers: dict[str, int] = {}  # newest connection of each keeper that follows this one
        self._sender = 0  # the connection whose event is being handled
        self._persisted_sequence = table.sequence  # in the last `PersistStep` or `PersistTable`
        self._effects: list[RelayEffect] = []

    def copy(self) -> FeedRelay:
        """Return an independent copy."""
        clone = shallow_copy(self)
        clone.history = self.history.copy()
        clone.source = self.source.copy(clone.history)
        clone.follower = self.follower.copy()
        clone.writer = self.writer.copy(clone.history) if self.writer is not None else None
        clone._keeper_peers = dict(self._keeper_peers)
        clone._effects = []
        return clone

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines how this process behaves, with times relative to now."""
        return (
            self.source.state_key(),
            self.follower.state_key(),
            self.writer.state_key() if self.writer is not None else None,
            self._follow_mode,
            self.known_writer,
            tuple(sorted(self._keeper_peers.items())),
        )

    @property
    def table(self) -> FeedTable:
        """The newest state held."""
        return self.history.table

    @property
    def is_writer(self) -> bool:
        """Whether this process is the writer: it holds the lease and its table is complete."""
        return self.writer is not None and self.writer.phase in ("settling", "writing")

    @property
    def leader(self) -> str:
        """Id of the other keeper that is the writer; empty if unknown."""
        follower = self.follower
        accepted = follower.accepted
        known = accepted is not None and accepted.is_writer and follower.phase in ("loading", "following")
        return follower.upstream if known and self.writer is not None else ""

    @property
    def phase(self) -> str:
        """The writer's phase while it holds the lease, else the follower's."""
        if self.writer is not None and self.writer.phase != "standby":
            return self.writer.phase
        return self.follower.phase

    # ---- events

    def next_deadline(self) -> int:
        """Return when `DeadlineReached` is to be passed in, in ns."""
        writer = self.writer.next_deadline() if self.writer is not None else NEVER
        return min(self.source.next_deadline(), self.follower.next_deadline(), writer)

    def handle(self, now: int, event: RelayEvent) -> list[RelayEffect]:
        """Handle one event at the time `now` and return the effects to carry out."""
        match event:
            case SubscriberMessage():
                self._on_subscriber_message(now, event)
            case UpstreamMessage() | UpstreamConnected() | UpstreamLost():
                self._follow(now, event)
            case SubscriberJoined() | SubscriberLeft():
                self._sender = event.peer
                self._serve(now, event)
            case StateDurable():
                self._on_state_durable(now, event)
            case DeadlineReached():
                self._on_timer(now, event)
            case _:
                self._write(now, event)
        self._propagate_changes(now)
        effects, self._effects = self._effects, []
        return effects

    def propose(self, now: int, ticket: Any, proposal: Propose) -> list[RelayEffect]:
        """Handle a proposal; it is answered by an `AnswerProposal` with this ticket, now or later."""
        if self.writer is not None:
            return self.handle(now, ProposalReceived(ticket, proposal))
        reason = "a relay writes nothing"
        request_id = proposal.request_id[:REQUEST_ID_LENGTH_LIMIT]
        return [AnswerProposal(ticket, ProposeResult(request_id, reason=reason, unknown=True))]

    def _on_subscriber_message(self, now: int, event: SubscriberMessage) -> None:
        message = event.message
        if isinstance(message, Follow) and self._is_from_keeper(message):
            # Resets the durable sequence number of a keeper that reconnects: it may have lost its disk, and
            # must not count as having stored what it had before. Done before the source handles the request,
            # so that the number is also reset if the source rejects the keeper.
            self._keeper_peers[message.id] = event.peer
            self._write(now, KeeperDurable(message.id, 0))
        self._sender = event.peer
        self._serve(now, event)

    def _is_from_keeper(self, request: Follow) -> bool:
        known = self.writer is not None and request.id in self.writer.keepers
        return known and request.kind == "all" and request.level == 0

    def _on_state_durable(self, now: int, event: StateDurable) -> None:
        self._follow(now, event)
        if self.writer is not None:
            self._write(now, KeeperDurable(self.id, event.sequence))

    def _on_timer(self, now: int, event: DeadlineReached) -> None:
        self._follow(now, event)
        self._serve(now, event)
        if self.writer is not None:
            self._write(now, event)

    # ---- the three state machines

    def _follow(self, now: int, event: FollowerEvent) -> None:
        for effect in self.follower.handle(now, event):
            match effect:
                case DeltaApplied():
                    self.history.append(self.follower.table, effect.delta.items)
                    self._on_advanced(now)
                case SnapshotLoaded():
                    self.history.reset(self.follower.table)
                    self._on_replaced(now)
                case _:
                    self._effects.append(effect)

    def _serve(self, now: int, event: SourceEvent) -> None:
        for effect in self.source.handle(now, event):
            if not isinstance(effect, SubscriberDurable):
                self._effects.append(effect)
            elif self.writer is not None and self._keeper_peers.get(effect.subscriber) == self._sender:
                # Counted only from the keeper's newest connection: an older connection may still report the
                # content of a disk that the keeper has lost since.
                self._write(now, KeeperDurable(effect.subscriber, effect.sequence))

    def _write(self, now: int, event: WriterEvent) -> None:
        assert self.writer is not None
        for effect in self.writer.handle(now, event):
            match effect:
                case TableAdvanced():
                    self._on_advanced(now)
                case AnswerProposal():
                    self._effects.append(AnswerProposal(effect.ticket, self._with_leader(effect.result)))
                case FollowKeepers():
                    pass  # `_propagate_changes` resumes following
                case _:
                    self._effects.append(effect)

    def _with_leader(self, result: ProposeResult) -> ProposeResult:
        """Add the writer's id and `unknown` to a failure, unless this keeper is the writer.

        A keeper that is not the writer cannot say whether a request was committed before.
        """
        if result.sequence or self.is_writer:
            return result
        return msgspec.structs.replace(result, unknown=True, leader=self.leader)

    def _on_advanced(self, now: int) -> None:
        items = self._items_since(self._persisted_sequence)
        self._effects.append(PersistStep(self.table, self._persisted_sequence, items))
        self._on_new_table(now, HistoryAdvanced())

    def _on_replaced(self, now: int) -> None:
        self._effects.append(PersistTable(self.table))
        self._on_new_table(now, HistoryReplaced())

    def _on_new_table(self, now: int, event: HistoryAdvanced | HistoryReplaced) -> None:
        self._persisted_sequence = self.table.sequence
        self._serve(now, event)
        if self.writer is not None and self.writer.phase == "catching_up":
            self._write(now, CatchUpAdvanced())

    def _items_since(self, sequence: int) -> Items:
        """Return the newest item for each key that was written after the history's state `sequence`."""
        newest: dict[str, tuple[bytes | None, int]] = {}
        for first, _, items, _ in reversed(self.history.steps):
            if first < sequence:
                break
            for key, value, version in items:
                newest.setdefault(key, (value, version))
        return tuple((key, value, version) for key, (value, version) in newest.items())

    def _propagate_changes(self, now: int) -> None:
        """Inform the follower about the writer's phase, and the source about who the writer is."""
        if self.writer is not None:
            self._update_following(now, self.writer)
        known = KnownWriter(self._writer_epoch(), self.is_writer, self.leader)
        if known != self.known_writer:
            self.known_writer = known
            self._serve(now, WriterChanged(known.epoch, known.is_local, self.level, known.leader))

    def _update_following(self, now: int, writer: FeedWriter) -> None:
        mode: FollowMode = "nobody"
        if writer.phase == "standby":
            mode = "writer"
        elif writer.phase == "catching_up":
            mode = "any"
        if mode == self._follow_mode:
            return
        self._follow_mode = mode
        if mode == "nobody":
            self._follow(now, FollowingSuspended())
        else:
            self._follow(now, FollowingResumed(mode == "any", self.table))

    def _writer_epoch(self) -> int:
        if self.writer is not None and self.is_writer:
            return self.writer.epoch
        return self.follower.accepted.epoch if self.follower.accepted else 0
