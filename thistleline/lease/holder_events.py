"""The events that a `LeaseHolder` handles."""

from dataclasses import dataclass

from thistleline.lease.protocol import Answer
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class AcquireStarted:
    """The lease is to be acquired; the first event of every holder."""


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The cluster answered the request of this number."""

    number: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request of this number will get no answer; it may still take effect."""

    number: int


@dataclass(frozen=True, slots=True)
class GrantHinted:
    """The cluster hinted that the lease may have been granted to this waiter."""


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The lease, or the place among its waiters, is to be given back."""


HolderEvent = (
    AcquireStarted | AnswerReceived | RequestFailed | GrantHinted | DeadlineReached | ReleaseRequested
)
