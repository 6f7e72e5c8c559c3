"""Records of the replicated log that are written under a lease."""

from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Denied, Done, Get, Got, Put, Unavailable
from thistleline.lease.session import HeldLease
from thistleline.rollout.record import LEASE_NAME

WRITE_TIMEOUT = 8.0  # s in which a read or write has to be decided, else the lease is given back
WRITE_ATTEMPTS = 3


class UndecidedError(Exception):
    """Nothing is known of a write: all begins anew from what the replicated log has."""


class LeasedRecords:
    """Reads records, and writes them with the lease's epoch as fencing token.

    Attributes:
        versions: Version of each record as last read or written; 0 for none.
    """

    def __init__(self, client: LeaseClient, lease: HeldLease) -> None:
        """Use a client of the replicated log and a lease that is held."""
        self.client = client
        self.lease = lease
        self.versions: dict[str, int] = {}

    async def get(self, key: str) -> bytes | None:
        """Return the value of a record; None where there is none.

        Raises:
            UndecidedError: No answer in time.
        """
        answer = await self.client.request_until_decided(Get(key), WRITE_TIMEOUT)
        if not isinstance(answer, Got):
            raise UndecidedError(str(answer))
        self.versions[key] = answer.version
        return answer.value if answer.version else None

    async def put(self, key: str, value: bytes) -> None:
        """Write a record; a write of what is there already costs nothing.

        Raises:
            UndecidedError: It was not decided, or the lease is held no more.
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
