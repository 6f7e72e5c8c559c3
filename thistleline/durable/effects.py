"""The further effect of a server with a ledger."""

from dataclasses import dataclass

from thistleline.ledger.records import LedgerWrite


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Write to the ledger and tell of it by `WriteCompleted` or `WriteFailed`; one is under way at a time."""

    write: LedgerWrite
