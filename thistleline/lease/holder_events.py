"""Events that a `LeaseHolder` handles."""

from dataclasses import dataclass

from thistleline.lease.protocol import Answer
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class AcquireStarted:
    """Start to acquire the lease; the first event of every holder."""


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The cluster answered the request with this number."""

    number: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request with this number will get no answer; it may still take effect."""

    number: int


@dataclass(frozen=True, slots=True)
class GrantHinted:
    """The cluster hinted that the lease may have been granted to this waiter."""


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """Release the lease, or leave the queue of its waiters."""


HolderEvent = (
    AcquireStarted | AnswerReceived | RequestFailed | GrantHinted | DeadlineReached | ReleaseRequested
)
