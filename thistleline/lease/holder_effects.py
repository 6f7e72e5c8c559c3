"""The effects that a `LeaseHolder` asks its driver to carry out."""

from dataclasses import dataclass

from thistleline.lease.protocol import Op


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request; its answer comes back under the same number."""

    number: int
    op: Op


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held now; `epoch` is its fencing token."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease is held no more, or could not be acquired."""

    reason: str


HolderEffect = SendRequest | LeaseAcquired | LeaseEnded
