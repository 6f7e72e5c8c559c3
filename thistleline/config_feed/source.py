"""State machine of a source: decides what to send to each subscriber, and when. No I/O, no clock.

A source is a keeper or relay that serves the feed's table; its subscribers are the followers connected to it.
Messages sent to a subscriber before `CloseDownstream` must still be delivered; after it, the caller must pass
in no more events of that subscriber. The caller must read a subscriber's messages only while the subscriber
reads what it is sent: together with the flow control window of one delta, this makes a queue in here
unnecessary. Times are integer nanoseconds. The cost of an event does not depend on the number of subscribers,
except when a change is sent to all of them and when the writer changes.
"""

from __future__ import annotations

from collections import OrderedDict
from copy import copy as shallow_copy
from typing import Any

from thistleline.config_feed.effects import (
    CloseDownstream,
    SendDownstream,
    SourceEffect,
    SubscriberDurable,
)
from thistleline.config_feed.events import (
    HistoryAdvanced,
    HistoryReplaced,
    SourceEvent,
    SubscriberJoined,
    SubscriberLeft,
    SubscriberMessage,
    WriterChanged,
)
from thistleline.config_feed.history import History, item_size
from thistleline.config_feed.limits import (
    FETCHED_TENANTS_LIMIT,
    FOLLOWERS_LIMIT,
    HEARTBEAT_INTERVAL_NS,
    KEY_LENGTH_LIMIT,
    NEVER,
    PART_SIZE,
    PEER_ID_LENGTH_LIMIT,
    STALL_TIMEOUT_NS,
)
from thistleline.config_feed.messages import (
    Acknowledge,
    FetchPart,
    FetchTenants,
    Follow,
    FollowAccepted,
    FollowerMessage,
    FollowRejected,
    Heartbeat,
    Kind,
    SourceMessage,
    TenantEntries,
)
from thistleline.config_feed.snapshot import SnapshotCache
from thistleline.config_feed.subscriber import Subscriber
from thistleline.config_feed.table import TENANT_PREFIX
from thistleline.reducer.events import DeadlineReached

MAX_LEVEL = 64
# Connections reserved for keepers, beyond `max_followers`: without them, keepers could not follow a writer
# that has the maximum number of followers, and no change would be committed.
RESERVED_FOR_KEEPERS = 8
DIGEST_SIZE = 16  # bytes


class Source:
    """Serves the states of a history to its subscribers: deltas, snapshots, tenants on demand, heartbeats.

    Attributes:
        history: The states to serve; the owner advances it and then passes in `HistoryAdvanced`.
        level: Distance of this process from the keepers: 0 for a keeper; a relay's level is higher than the
            level of its source.
        epoch: Fencing epoch of the writer's lease; 0 while unknown.
        is_writer: Whether this process is the writer.
        leader: Id of the keeper that is the writer, if known and not this process.
        subscribers: Subscribers by the number of their connection.
        up_to_date: Connections of subscribers that hold the newest state and have nothing in flight.
    """

    __slots__ = (
        "_effects",
        "epoch",
        "history",
        "is_writer",
        "last_received_at",
        "last_sent_at",
        "leader",
        "level",
        "max_followers",
        "now",
        "snapshots",
        "subscribers",
        "up_to_date",
    )

    def __init__(self, history: History, level: int, now: int, max_followers: int = FOLLOWERS_LIMIT) -> None:
        """Begin without subscribers."""
        self.history = history
        self.level = level
        self.now = now
        self.max_followers = max_followers
        self.epoch = 0
        self.is_writer = False
        self.leader = ""
        self.subscribers: dict[int, Subscriber] = {}
        self.up_to_date: dict[int, None] = {}
        # Times by connection, both in ascending order. Each is an OrderedDict, because finding the first item
        # of a plain dict scans over the entries that were deleted before it.
        self.last_received_at: OrderedDict[int, int] = OrderedDict()
        self.last_sent_at: OrderedDict[int, int] = OrderedDict()  # accepted subscribers only
        self.snapshots = SnapshotCache(now)
        self._effects: list[SourceEffect] = []

    def copy(self, history: History | None = None) -> Source:
        """Return an independent copy that uses `history`, or a copy of this source's own history."""
        clone = shallow_copy(self)
        clone.history = self.history.copy() if history is None else history
        clone.subscribers = {peer: one.copy() for peer, one in self.subscribers.items()}
        clone.up_to_date = self.up_to_date.copy()
        clone.last_received_at = self.last_received_at.copy()
        clone.last_sent_at = self.last_sent_at.copy()
        clone.snapshots = self.snapshots.copy()
        clone._effects = []
        return clone

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines how this source behaves.

        Tables are represented by sequence number and digest, and times are relative to now.
        """
        table = self.history.table
        return (
            table.sequence,
            table.digest("all"),
            tuple(step[:2] for step in self.history.steps),
            self.level,
            self.epoch,
            self.is_writer,
            self.leader,
            tuple(self.up_to_date),
            tuple((peer, one.state_key()) for peer, one in self.subscribers.items()),
            tuple((peer, at - self.now) for peer, at in self.last_received_at.items()),
            tuple((peer, at - self.now) for peer, at in self.last_sent_at.items()),
            self.snapshots.state_key(self.now),
        )

    # ---- events

    def handle(self, now: int, event: SourceEvent) -> list[SourceEffect]:
        """Handle one event at the time `now` and return the effects to carry out."""
        self.now = max(self.now, now)
        match event:
            case SubscriberMessage():
                self._on_message(event.peer, event.message)
            case HistoryAdvanced():
                self._push()
            case DeadlineReached():
                self._on_timer()
            case SubscriberJoined():
                self._on_joined(event.peer)
            case SubscriberLeft():
                self._remove(event.peer)
            case HistoryReplaced():
                self.snapshots.by_kind.clear()  # a loading subscriber starts over at its next FetchPart
                self._push()
            case WriterChanged():
                self._on_writer_changed(event)
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> int:
        """Return when `DeadlineReached` is to be passed in, in ns."""
        return min(
            next(iter(self.last_received_at.values()), NEVER) + STALL_TIMEOUT_NS,
            next(iter(self.last_sent_at.values()), NEVER) + HEARTBEAT_INTERVAL_NS,
            self.snapshots.expiry(),
        )

    def _on_joined(self, peer: int) -> None:
        if len(self.subscribers) >= self.max_followers + RESERVED_FOR_KEEPERS:
            self._reject(peer, "full")
            return
        self.subscribers[peer] = Subscriber()
        self.last_received_at[peer] = self.now

    def _remove(self, peer: int) -> None:
        self.subscribers.pop(peer, None)
        self.up_to_date.pop(peer, None)
        self.last_received_at.pop(peer, None)
        self.last_sent_at.pop(peer, None)

    def _on_message(self, peer: int, message: FollowerMessage) -> None:
        subscriber = self.subscribers.get(peer)
        if subscriber is None:
            return
        self.last_received_at[peer] = self.now
        self.last_received_at.move_to_end(peer)
        match message:
            case Follow():
                fault = self._on_follow(peer, subscriber, message)
            case _ if subscriber.phase == "new":
                fault = "message before Follow"
            case Acknowledge():
                fault = self._on_acknowledge(peer, subscriber, message)
            case FetchPart():
                fault = self._on_fetch_part(peer, subscriber, message)
            case FetchTenants():
                fault = self._on_fetch_tenants(peer, subscriber, message)
            case _:
                fault = "unexpected message type"
        if fault:
            self._close(peer, fault)

    def _push(self) -> None:
        """Send the next delta to all subscribers that were up to date."""
        waiting, self.up_to_date = self.up_to_date, {}
        for peer in waiting:
            self._send_next(peer, self.subscribers[peer])

    def _on_writer_changed(self, event: WriterChanged) -> None:
        self.leader = event.leader
        known = (self.epoch, self.is_writer, self.level)
        if (event.epoch, event.is_writer, event.level) == known:
            return
        self.epoch = event.epoch
        self.is_writer = event.is_writer
        self.level = event.level
        for peer, subscriber in list(self.subscribers.items()):
            if subscriber.phase == "new":
                continue
            if not self._may_serve(subscriber.kind, subscriber.level):
                self._reject(peer, "not below")
            elif subscriber.kind == "all" and subscriber.phase == "following":
                self._accept(peer, subscriber)  # instances do not need to know the writer

    def _on_timer(self) -> None:
        while self.last_received_at:
            peer = next(iter(self.last_received_at))
            if self.now < self.last_received_at[peer] + STALL_TIMEOUT_NS:
                break
            self._close(peer, "silent")
        while self.last_sent_at:
            peer = next(iter(self.last_sent_at))
            if self.now < self.last_sent_at[peer] + HEARTBEAT_INTERVAL_NS:
                break
            table = self.history.table
            self._send(peer, Heartbeat(table.sequence, table.digest(self.subscribers[peer].kind)))
        self.snapshots.expire(self.now)

    # ---- to a subscriber

    def _send(self, peer: int, message: SourceMessage) -> None:
        self.last_sent_at[peer] = self.now
        self.last_sent_at.move_to_end(peer)
        self._effects.append(SendDownstream(peer, message))

    def _reject(self, peer: int, reason: str) -> None:
        self._effects.append(SendDownstream(peer, FollowRejected(reason)))
        self._close(peer, reason)

    def _close(self, peer: int, reason: str) -> None:
        self._remove(peer)
        self._effects.append(CloseDownstream(peer, reason))

    def _accept(self, peer: int, subscriber: Subscriber) -> None:
        self._send(
            peer,
            FollowAccepted(
                sequence=subscriber.loading[0] if subscriber.loading else subscriber.sequence,
                load_snapshot=subscriber.phase == "loading",
                parts=0,
                level=self.level,
                epoch=self.epoch,
                is_writer=self.is_writer,
                leader=self.leader,
                newest=self.history.table.sequence,
            ),
        )

    def _send_next(self, peer: int, subscriber: Subscriber) -> None:
        """Send a subscriber with nothing in flight its next delta, then the tenants that it requested."""
        table = self.history.table
        if not self.history.contains(subscriber.sequence, subscriber.digest, subscriber.kind):
            self._offer_snapshot(peer, subscriber)
            return
        if subscriber.sequence < table.sequence:
            delta = self.history.delta(subscriber.sequence, subscriber.kind)
            if delta is None:
                self._offer_snapshot(peer, subscriber)
                return
            subscriber.in_flight = delta.last, delta.digest
            self._send(peer, delta)
        else:
            self.up_to_date[peer] = None
        self._answer_if_newest(peer, subscriber)

    def _offer_snapshot(self, peer: int, subscriber: Subscriber) -> None:
        snapshot = self.snapshots.for_loading(self.now, subscriber.kind, subscriber.sequence, self.history)
        self.up_to_date.pop(peer, None)
        subscriber.phase = "loading"
        subscriber.in_flight = None
        subscriber.loading = snapshot.sequence, snapshot.digest
        subscriber.next_part = 0
        subscriber.last_part_sent = False
        self._accept(peer, subscriber)

    def _answer_if_newest(self, peer: int, subscriber: Subscriber) -> None:
        if subscriber.pending_tenants and self._has_newest(subscriber):
            self._send_tenants(peer, subscriber)

    def _has_newest(self, subscriber: Subscriber) -> bool:
        """Return whether the subscriber holds the newest state or the delta to it is in flight."""
        return subscriber.newest_sent == self.history.table.sequence

    def _send_tenants(self, peer: int, subscriber: Subscriber) -> None:
        """Send the requested tenants in messages of bounded size."""
        table = self.history.table
        size = 0
        items: list[tuple[str, bytes | None, int]] = []
        for key in subscriber.pending_tenants:
            value, version = table.get(key) or (None, 0)
            items.append((key, value, version))
            size += item_size(key, value)
            if size >= PART_SIZE:
                self._send(peer, TenantEntries(table.sequence, tuple(items)))
                items = []
                size = 0
        if items:
            self._send(peer, TenantEntries(table.sequence, tuple(items)))
        subscriber.pending_tenants = {}

    # ---- from a subscriber: a handler returns the reason to close the connection, or ""

    def _may_serve(self, kind: Kind, level: int) -> bool:
        """Return whether a follower of this kind and level may follow this source.

        Prevents cycles: a relay follows only sources of a lower level. Keepers have level 0 and follow other
        keepers, but the writer does not follow any.
        """
        return level > self.level or (level == 0 and (kind == "wide" or self.level == 0))

    def _on_follow(self, peer: int, subscriber: Subscriber, request: Follow) -> str:
        if subscriber.phase != "new":
            return "repeated Follow"
        if (
            not 0 < len(request.id) <= PEER_ID_LENGTH_LIMIT
            or not 0 <= request.level <= MAX_LEVEL
            or request.sequence < 0
            or len(request.digest) > DIGEST_SIZE
        ):
            return "field out of range"
        is_keeper = request.kind == "all" and not request.level
        if not is_keeper and len(self.subscribers) > self.max_followers:
            self._reject(peer, "full")
        elif not self._may_serve(request.kind, request.level):
            self._reject(peer, "not below")
        elif request.sequence > self.history.table.sequence:
            self._reject(peer, "behind")
        else:
            self._begin(peer, subscriber, request)
        return ""

    def _begin(self, peer: int, subscriber: Subscriber, request: Follow) -> None:
        subscriber.phase = "following"
        subscriber.id = request.id
        subscriber.kind = request.kind
        subscriber.level = request.level
        subscriber.sequence = request.sequence
        subscriber.digest = request.digest
        if self._can_resume(subscriber):
            self._accept(peer, subscriber)
        self._send_next(peer, subscriber)

    def _can_resume(self, subscriber: Subscriber) -> bool:
        """Return whether the subscriber's state can be updated by a delta, without a snapshot."""
        known = self.history.contains(subscriber.sequence, subscriber.digest, subscriber.kind)
        return known and self.history.delta(subscriber.sequence, subscriber.kind) is not None

    def _on_acknowledge(self, peer: int, subscriber: Subscriber, message: Acknowledge) -> str:
        if not 0 <= message.durable <= message.sequence:
            return "field out of range"
        if subscriber.phase == "loading":
            return self._on_loaded(peer, subscriber, message)
        if subscriber.in_flight and message.sequence == subscriber.in_flight[0]:
            subscriber.sequence, subscriber.digest = subscriber.in_flight
            subscriber.in_flight = None
            self._record_durable(subscriber, message.durable)
            self._send_next(peer, subscriber)
            return ""
        if message.sequence != subscriber.sequence:
            return "acknowledged a state that was not sent"
        self._record_durable(subscriber, message.durable)
        return ""

    def _on_loaded(self, peer: int, subscriber: Subscriber, message: Acknowledge) -> str:
        """Handle an acknowledgement in the phase loading: of the whole snapshot, or a mere keepalive."""
        loaded = subscriber.loading
        if loaded and subscriber.last_part_sent and message.sequence == loaded[0]:
            subscriber.phase = "following"
            subscriber.sequence, subscriber.digest = loaded
            subscriber.loading = None
            if subscriber.kind == "all":
                self._accept(peer, subscriber)  # the writer may have changed since loading began
            self._record_durable(subscriber, message.durable)
            self._send_next(peer, subscriber)
            return ""
        return "" if message.sequence == subscriber.sequence else "acknowledged a state that was not sent"

    def _record_durable(self, subscriber: Subscriber, sequence: int) -> None:
        if sequence > subscriber.durable:
            subscriber.durable = sequence
            self._effects.append(SubscriberDurable(subscriber.id, sequence))

    def _on_fetch_part(self, peer: int, subscriber: Subscriber, request: FetchPart) -> str:
        loading = subscriber.loading
        if (
            subscriber.phase != "loading"
            or loading is None
            or request.sequence != loading[0]
            or subscriber.last_part_sent
        ):
            return ""  # late request: the snapshot was already loaded or replaced, or has no more parts
        if request.index != subscriber.next_part:
            return "snapshot part out of order"
        snapshot = self.snapshots.by_kind.get(subscriber.kind)
        if snapshot is None or (snapshot.sequence, snapshot.digest) != loading:
            self._offer_snapshot(peer, subscriber)
            return ""
        subscriber.next_part += 1
        self.snapshots.last_used_at = self.now
        part = snapshot.part(request.index)
        if part is not None:
            subscriber.last_part_sent = part.parts > 0
            self._send(peer, part)
        return ""

    def _on_fetch_tenants(self, peer: int, subscriber: Subscriber, request: FetchTenants) -> str:
        """Queue a request for tenants.

        It is answered once the newest state has been sent, so that the answer matches the state that the
        subscriber holds when it arrives.
        """
        if len(subscriber.pending_tenants) + len(request.keys) > FETCHED_TENANTS_LIMIT:
            return "too many tenants requested"
        for key in request.keys:
            if not key.startswith(TENANT_PREFIX) or len(key) > KEY_LENGTH_LIMIT:
                return "not a valid tenant key"
            subscriber.pending_tenants[key] = None
        if subscriber.phase == "following":
            self._answer_if_newest(peer, subscriber)
        return ""
