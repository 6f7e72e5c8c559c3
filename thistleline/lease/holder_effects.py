"""Effects that a `LeaseHolder` asks its caller to carry out."""

from dataclasses import dataclass

from thistleline.lease.protocol import Op


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request; its `AnswerReceived` event carries the same number."""

    number: int
    op: Op


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease was acquired; `epoch` is its fencing token."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease is no longer held, or could not be acquired."""

    reason: str


HolderEffect = SendRequest | LeaseAcquired | LeaseEnded
