"""What a source knows about one subscriber: its state, the delta in flight, pending requests."""

from __future__ import annotations

from copy import copy as shallow_copy
from dataclasses import dataclass, field, fields
from typing import Any, Literal

from thistleline.config_feed.messages import Kind

Phase = Literal["new", "loading", "following"]
State = tuple[int, bytes]  # sequence number and digest


@dataclass(slots=True)
class Subscriber:
    """A follower from the point of view of its source.

    Attributes:
        phase: Phase of the connection; `new` until the follower's `Follow` was accepted.
        id: The follower's id, as given by its `Follow`.
        kind: Which entries the follower holds: "all", or "wide" for all except the tenants.
        level: The follower's distance from the keepers; 0 for a keeper or an instance.
        sequence: Sequence number of the follower's state, as given by its `Follow` or acknowledged since.
        digest: Digest of the follower's state.
        in_flight: The state that an unacknowledged delta leads to; the flow control window is one delta.
        loading: The state whose snapshot the follower is loading.
        next_part: Index of the snapshot part that the follower may request next.
        last_part_sent: Whether the last part of the snapshot was sent.
        durable: Sequence number of the state that the follower has reported as stored on its disk.
        pending_tenants: Keys of the requested tenants, in order; they are answered after the next delta.
    """

    phase: Phase = "new"
    id: str = ""
    kind: Kind = "wide"
    level: int = 0
    sequence: int = 0
    digest: bytes = b""
    in_flight: State | None = None
    loading: State | None = None
    next_part: int = 0
    last_part_sent: bool = False
    durable: int = 0
    pending_tenants: dict[str, None] = field(default_factory=dict)

    def copy(self) -> Subscriber:
        """Return an independent copy."""
        clone = shallow_copy(self)
        clone.pending_tenants = dict(self.pending_tenants)
        return clone

    def state_key(self) -> tuple[Any, ...]:
        """Return the state that determines the source's behaviour."""
        values = (getattr(self, one.name) for one in fields(self) if one.name != "pending_tenants")
        return *values, tuple(self.pending_tenants)

    @property
    def newest_sent(self) -> int:
        """The sequence number that the follower's state has once all messages sent to it have arrived."""
        return self.in_flight[0] if self.in_flight else self.sequence
