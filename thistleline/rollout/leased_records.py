"""Reads and writes records of the replicated log under a lease."""

from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Denied, Done, Get, Got, Put, Unavailable
from thistleline.lease.session import HeldLease
from thistleline.rollout.record import LEASE_NAME

WRITE_TIMEOUT = 8.0  # s for a read or write to be decided; after it, the lease is released
WRITE_ATTEMPTS = 3


class UndecidedError(Exception):
    """The outcome of a read or write is unknown; the controller restarts from the replicated log."""


class LeasedRecords:
    """Reads records, and writes them with the epoch of the lease as fencing token.

    Attributes:
        versions: Version of each record as last read or written, by key; 0 if the record does not exist.
    """

    def __init__(self, client: LeaseClient, lease: HeldLease) -> None:
        """Use a client of the replicated log and a held lease."""
        self.client = client
        self.lease = lease
        self.versions: dict[str, int] = {}

    async def get(self, key: str) -> bytes | None:
        """Return the value of a record; None if there is none.

        Raises:
            UndecidedError: There was no answer in time.
        """
        answer = await self.client.request_until_decided(Get(key), WRITE_TIMEOUT)
        if not isinstance(answer, Got):
            raise UndecidedError(str(answer))
        self.versions[key] = answer.version
        return answer.value if answer.version else None

    async def put(self, key: str, value: bytes) -> None:
        """Write a record, unless it has to be read first and already has this value.

        Raises:
            UndecidedError: The write was not decided, or the lease was lost.
        """
        for _ in range(WRITE_ATTEMPTS):
            if key not in self.versions and await self.get(key) == value:
                return
            write = Put(key, value, self.versions[key], LEASE_NAME, self.lease.epoch)
            answer = await self.client.request_until_decided(write, WRITE_TIMEOUT)
            if isinstance(answer, Done):
                self.versions[key] = answer.version
                return
            del self.versions[key]
            if isinstance(answer, Unavailable) or (isinstance(answer, Denied) and "epoch" in answer.reason):
                break
        raise UndecidedError(f"{key}: {answer}")
