"""Inputs of the supervisor's state machine."""

from dataclasses import dataclass

from thistleline.reducer.events import DeadlineReached
from thistleline.supervisor.model import DesiredVersion, SupervisorState


@dataclass(frozen=True, slots=True)
class StateRecovered:
    """The state on disk was read and the servers that are still alive were found.

    Attributes:
        state: What was on disk.
        server_alive: Whether the server of the current incarnation runs.
        successor_alive: Whether its successor runs.
        predecessor: Incarnation of a live server that is neither; 0 for none.
    """

    state: SupervisorState
    server_alive: bool
    successor_alive: bool = False
    predecessor: int = 0


@dataclass(frozen=True, slots=True)
class DesiredVersionReceived:
    """The replicated log holds this desired version, new or known."""

    desired: DesiredVersion


@dataclass(frozen=True, slots=True)
class ConsensusPolled:
    """The replicated log was asked; `reachable` tells whether it answered."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class VersionVerified:
    """The check asked for by `VerifyVersion` is over; `fault` is empty where the version may be started."""

    fault: str


@dataclass(frozen=True, slots=True)
class StatePersisted:
    """The oldest `PersistState` that was not yet answered is durable."""


@dataclass(frozen=True, slots=True)
class ServerSpawned:
    """The server asked for by `SpawnServer` runs as process `pid`."""

    pid: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    """The server asked for by `SpawnServer` could not be started."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerReady:
    """The server of this incarnation says that it serves now."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ServerExited:
    """A server's process ended.

    Attributes:
        code: Exit code; -1 where it is not known.
        incarnation: Which server; 0 for the current one.
    """

    code: int
    incarnation: int = 0


Event = (
    StateRecovered
    | DesiredVersionReceived
    | ConsensusPolled
    | VersionVerified
    | StatePersisted
    | ServerSpawned
    | SpawnFailed
    | ServerReady
    | ServerExited
    | DeadlineReached
)
