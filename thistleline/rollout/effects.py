"""Outputs of the rollout controller, to be carried out in order under its lease."""

from dataclasses import dataclass

from thistleline.reducer.effects import LogEvent
from thistleline.rollout.record import RolloutRecord
from thistleline.supervisor.model import Version


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Commit the record to the replicated log, then answer with `RecordStored`."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SetDesiredVersion:
    """Set the desired version of a server; idempotent.

    If only `restart_token` differs from the last one, the server is restarted on the same version.
    """

    server_id: str
    version: Version
    restart_token: int = 0


Effect = StoreRecord | SetDesiredVersion | LogEvent
