"""The additional effect of a server with a ledger."""

from dataclasses import dataclass

from thistleline.ledger.records import LedgerWrite


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Write to the ledger, then report `WriteCompleted` or `WriteFailed`; only one write runs at a time."""

    write: LedgerWrite
