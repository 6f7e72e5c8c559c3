"""One subscriber of a source: what it holds, what is on its way to it, what it has asked for."""

from __future__ import annotations

from copy import copy as shallow_copy
from dataclasses import dataclass, field, fields
from typing import Any, Literal

from thistleline.config_feed.messages import Kind

Phase = Literal["new", "loading", "following"]
State = tuple[int, bytes]  # sequence number and digest


@dataclass(slots=True)
class Subscriber:
    """A follower as its source knows it.

    Attributes:
        phase: `new` until its `Follow` was accepted.
        id: What it calls itself.
        kind: What it holds.
        level: Its distance from the writer; 0 for a keeper or an instance.
        sequence: The state it holds, as it says itself or as it has acknowledged,
        digest: and that state's digest.
        in_flight: Where the delta leads that it has not acknowledged; the flow control window is one delta.
        loading: The state whose snapshot it loads.
        next_part: Index of the part that it may ask for next.
        last_part_sent: Whether the last part of the snapshot was sent.
        durable: The sequence number that it says is on its disk.
        pending_tenants: Keys to answer for behind the next delta, in order.
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
        made = shallow_copy(self)
        made.pending_tenants = dict(self.pending_tenants)
        return made

    def state_key(self) -> tuple[Any, ...]:
        """Return the state that decides its source's behaviour."""
        values = (getattr(self, one.name) for one in fields(self) if one.name != "pending_tenants")
        return *values, tuple(self.pending_tenants)

    @property
    def newest_sent(self) -> int:
        """The sequence number that it holds once all that was sent to it has arrived."""
        return self.in_flight[0] if self.in_flight else self.sequence
