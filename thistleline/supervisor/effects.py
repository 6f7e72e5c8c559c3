"""Outputs of the supervisor's state machine, to be carried out in order.

An incarnation is one started process of the server; incarnations are numbered.
"""

from dataclasses import dataclass

from thistleline.reducer.effects import LogEvent
from thistleline.supervisor.model import SupervisorState, Version


@dataclass(frozen=True, slots=True)
class PersistState:
    """Make the supervisor's state durable, then answer with `StatePersisted`."""

    state: SupervisorState


@dataclass(frozen=True, slots=True)
class VerifyVersion:
    """Check the release and settings of a version, then answer with `VersionVerified`."""

    version: Version


@dataclass(frozen=True, slots=True)
class SpawnServer:
    """Start a server, then answer with `ServerSpawned` or `SpawnFailed`."""

    incarnation: int
    version: Version


@dataclass(frozen=True, slots=True)
class TerminateServer:
    """Ask the server of this incarnation to stop gracefully (SIGTERM)."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class KillServer:
    """Kill the server of this incarnation (SIGKILL)."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class PublishStatus:
    """Publish the version and status of the local server to the other members."""


Effect = PersistState | VerifyVersion | SpawnServer | TerminateServer | KillServer | PublishStatus | LogEvent
