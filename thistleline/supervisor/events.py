"""Inputs of the supervisor's state machine."""

from dataclasses import dataclass

from thistleline.reducer.events import DeadlineReached
from thistleline.supervisor.model import DesiredVersion, SupervisorState


@dataclass(frozen=True, slots=True)
class StateRecovered:
    """The state was read from disk and the servers that are still running were found.

    Attributes:
        state: The state read from disk.
        server_alive: Whether the server of the current incarnation runs.
        successor_alive: Whether the current server's successor runs.
        predecessor: Incarnation of a running server that is neither of these two; 0 for none.
    """

    state: SupervisorState
    server_alive: bool
    successor_alive: bool = False
    predecessor: int = 0


@dataclass(frozen=True, slots=True)
class DesiredVersionReceived:
    """This desired version was read from the replicated log; it may be known already."""

    desired: DesiredVersion


@dataclass(frozen=True, slots=True)
class ConsensusPolled:
    """The replicated log was polled; `reachable` is whether it answered."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class VersionVerified:
    """The check requested by `VerifyVersion` has finished; `fault` is empty if the version may be started."""

    fault: str


@dataclass(frozen=True, slots=True)
class StatePersisted:
    """The oldest outstanding `PersistState` is durable."""


@dataclass(frozen=True, slots=True)
class ServerSpawned:
    """The server requested by `SpawnServer` runs as process `pid`."""

    pid: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    """The server requested by `SpawnServer` could not be started."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerReady:
    """The server of this incarnation reported that it has started to serve tasks."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ServerExited:
    """A server's process ended.

    Attributes:
        code: Exit code; -1 if unknown.
        incarnation: Incarnation of the server; 0 for the current one.
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
