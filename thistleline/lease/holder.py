"""The holder's side of a lease as a state machine: which requests to send, and until when it may act.

No I/O and no clock: `handle` takes an event with the current time and returns effects.

The validity of a lease counts from before the granted request was sent. Times are CLOCK_BOOTTIME of the
holder's machine in ns: a clock that stops while the machine is suspended would let a lease outlive its TTL.
"""

from collections.abc import Callable
from typing import Literal

from thistleline.lease.holder_effects import HolderEffect, LeaseAcquired, LeaseEnded, SendRequest
from thistleline.lease.holder_events import (
    AcquireStarted,
    AnswerReceived,
    GrantHinted,
    HolderEvent,
    ReleaseRequested,
    RequestFailed,
)
from thistleline.lease.protocol import (
    Acquire,
    Answer,
    Denied,
    Done,
    Granted,
    Op,
    Release,
    Renew,
    Renewed,
    Unavailable,
    Waiting,
    holder_ttl,
)
from thistleline.reducer.copying import copy_state
from thistleline.reducer.events import DeadlineReached

Phase = Literal["new", "acquiring", "waiting", "held", "releasing", "ended"]
MAX_OPEN_REQUESTS = 16  # unanswered requests; beyond it the oldest are forgotten, and their answers ignored
WAITER_RENEW_INTERVAL = 500_000_000  # ns between two requests while waiting for a lease that another holds
MIN_BACKOFF = 20_000_000  # ns before the first retry after an answer that did not decide the request
MAX_BACKOFF = 500_000_000  # ns; longest delay before such a retry


class LeaseHolder:
    """One attempt to acquire a lease, hold it and release it.

    Attributes:
        name: Name of the lease.
        holder_id: Identifies this attempt to the cluster; a new id is made for each attempt.
        phase: Current phase of the attempt.
        epoch: The fencing token, 0 before the lease was granted.
        valid_until: Time until which the holder may act, ns.
        end_reason: Why the attempt ended; empty until then.
    """

    __slots__ = (
        "backoff",
        "effects",
        "end_reason",
        "epoch",
        "holder_id",
        "jitter",
        "last_request",
        "name",
        "next_request_at",
        "now",
        "phase",
        "release_deadline",
        "sent_at",
        "ttl",
        "valid_until",
        "wait",
    )

    def __init__(
        self, name: str, holder_id: str, ttl: int, wait: bool, now: int, jitter: Callable[[int], int]
    ) -> None:
        """Prepare an attempt; the event `AcquireStarted` starts it.

        Args:
            name: Name of the lease.
            holder_id: A new id for each attempt.
            ttl: Time to live of the lease, ns.
            wait: Whether to wait for the lease while another holds it.
            now: Current time, ns.
            jitter: Returns a random duration of at most the given number of ns.
        """
        self.name = name
        self.holder_id = holder_id
        self.ttl = ttl
        self.wait = wait
        self.now = now
        self.jitter = jitter
        self.phase: Phase = "new"
        self.epoch = 0
        self.valid_until = 0
        self.last_request = 0
        self.sent_at: dict[int, int] = {}  # by request number
        self.next_request_at = now
        self.backoff = MIN_BACKOFF
        self.effects: list[HolderEffect] = []
        self.end_reason = ""
        self.release_deadline = 0

    def copy(self) -> "LeaseHolder":
        """Return an independent copy."""
        return copy_state(self)

    def state_key(self) -> tuple[object, ...]:
        """Return a hashable value of all that the further behaviour depends on."""
        return (
            self.name,
            self.holder_id,
            self.phase,
            self.epoch,
            self.valid_until,
            self.last_request,
            tuple(self.sent_at.items()),
            self.next_request_at,
            self.backoff,
        )

    # ---- whether the holder may act

    def is_valid(self, now: int) -> bool:
        """Return whether the lease is held and valid at this time."""
        return self.phase == "held" and now < self.valid_until

    def fits(self, now: int, duration: int) -> bool:
        """Return whether an operation of up to `duration` ns, begun now, ends within the validity."""
        return self.phase == "held" and now + duration <= self.valid_until

    # ---- events

    def handle(self, now: int, event: HolderEvent) -> list[HolderEffect]:
        """Handle one event at time `now` (ns) and return the effects to carry out."""
        self.now = max(self.now, now)
        if self.phase == "held" and self.now >= self.valid_until:
            self._end("the lease expired")  # no event can extend a lease that is already over
        if self.phase != "ended":
            self._dispatch(event)
        effects, self.effects = self.effects, []
        return effects

    def next_deadline(self) -> int:
        """Return the time of the next `DeadlineReached`, ns."""
        if self.phase == "held":
            return min(self.next_request_at, self.valid_until)
        return self.next_request_at

    def _dispatch(self, event: HolderEvent) -> None:
        match event:
            case AnswerReceived(number, answer):
                self._on_answer(number, answer)
            case RequestFailed(number):
                self._on_request_failed(number)
            case DeadlineReached():
                if self.now >= self.next_request_at:
                    self._send_next_request()
            case GrantHinted():
                if self.phase == "waiting":
                    self._send_next_request()
            case ReleaseRequested():
                self._on_release_requested()
            case AcquireStarted():
                self.phase = "acquiring"
                self._send_next_request()

    def _on_request_failed(self, number: int) -> None:
        """Schedule a retry after a backoff; the failed request may still take effect."""
        if number == self.last_request:
            retry_at = self.now + self.backoff + self.jitter(self.backoff)
            self.next_request_at = min(self.next_request_at, retry_at)
            self.backoff = min(MAX_BACKOFF, 2 * self.backoff)

    def _on_release_requested(self) -> None:
        """Stop acting at once, then release the lease at the cluster."""
        if self.phase in ("held", "acquiring", "waiting"):
            self.phase = "releasing"
            self.release_deadline = self.now + self.ttl
            self._send_next_request()

    def _on_answer(self, number: int, answer: Answer) -> None:
        sent_at = self.sent_at.pop(number, None)
        if isinstance(answer, Unavailable):
            self._on_request_failed(number)
            return
        self.backoff = MIN_BACKOFF
        if self.phase == "releasing":
            if isinstance(answer, Done):
                self._end("released")
            return
        if isinstance(answer, Renewed) and len(answer.states) == 1:
            answer = answer.states[0]
        if sent_at is None:
            return
        if isinstance(answer, Granted):
            self._on_granted(sent_at, answer)
        elif isinstance(answer, Waiting):
            if self.phase == "acquiring":
                self.phase = "waiting"
                self.next_request_at = self.now + WAITER_RENEW_INTERVAL
        elif isinstance(answer, Denied):
            self._end(answer.reason)

    def _on_granted(self, sent_at: int, answer: Granted) -> None:
        valid_until = sent_at + holder_ttl(answer.ttl)
        if self.phase == "held":
            self.valid_until = max(self.valid_until, valid_until)
            return
        if self.now >= valid_until:
            return  # the grant arrived too late to be valid; the next request gets the same lease
        self.phase = "held"
        self.epoch = answer.epoch
        self.valid_until = valid_until
        self.next_request_at = min(self.next_request_at, self.now + self._request_interval())
        self.effects.append(LeaseAcquired(self.epoch))

    # ---- requests

    def _send_next_request(self) -> None:
        if self.phase == "acquiring":
            self._send(Acquire(self.name, self.holder_id, self.ttl, self.wait))
        elif self.phase == "releasing":
            if self.now >= self.release_deadline:
                self._end("release not confirmed")  # the lease expires at the cluster by itself
            else:
                self._send(Release(self.name, self.holder_id))
        else:
            self._send(Renew(((self.name, self.holder_id),)))

    def _send(self, op: Op) -> None:
        self.last_request += 1
        self.sent_at[self.last_request] = self.now
        while len(self.sent_at) > MAX_OPEN_REQUESTS:
            del self.sent_at[next(iter(self.sent_at))]
        self.effects.append(SendRequest(self.last_request, op))
        self.next_request_at = self.now + self._request_interval()

    def _request_interval(self) -> int:
        """Return the ns until the next request, which is sent whether or not the last one is answered."""
        if self.phase == "waiting":
            return WAITER_RENEW_INTERVAL
        return max(MIN_BACKOFF, holder_ttl(self.ttl) // 4)

    def _end(self, reason: str) -> None:
        self.phase = "ended"
        self.end_reason = reason
        self.effects.append(LeaseEnded(reason))
