"""The events that the server's state machine handles.

They are created by the server's protocol adapters, agent link and timer task. Times and durations are integer
nanoseconds. An attempt id is chosen by a client and untrusted; the tables identify attempts by generated
names.
"""

from dataclasses import dataclass

from thistleline.interface import CallOutcome, RunOutcome, Task

# ---- client connections


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A client connection was accepted."""

    connection: int


@dataclass(frozen=True, slots=True)
class TaskReceived:
    """A client sent a task."""

    connection: int
    seq: int  # sequence number of the message on its connection
    task: Task
    dedup_key: str | None  # idempotency key; in other stages the subject by which equal reads are recognized
    body: bytes | memoryview


@dataclass(frozen=True, slots=True)
class HealthCheckReceived:
    """A client requested the server's health; `deep`: whether the agent is checked too."""

    connection: int
    seq: int
    deep: bool


@dataclass(frozen=True, slots=True)
class MalformedReceived:
    """A message was malformed; without `seq` it can't be answered."""

    connection: int
    seq: int | None
    method: bytes | None
    reason: str


@dataclass(frozen=True, slots=True)
class InputDrained:
    """Every complete message read was handled; `partial`: whether an incomplete one has arrived."""

    connection: int
    partial: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A client connection ended; `reason` is empty if the client closed it."""

    connection: int
    reason: str


# ---- the agent that runs tasks


@dataclass(frozen=True, slots=True)
class AgentGreeted:
    """A link to the agent is up."""

    cold_start: bool
    uptime: int


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The link to the agent ended, or could not be established."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """A run ended; `number` is the number of the agent's notice of it."""

    number: int
    attempt_id: str
    outcome: RunOutcome
    duration: int
    result: bytes | memoryview


@dataclass(frozen=True, slots=True)
class CallWanted:
    """A run waits for its downstream call; `number` is the number of the agent's notice of it."""

    number: int
    attempt_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GaugesMeasured:
    """The agent answered a measurement."""

    tag: str
    values: list[float]


@dataclass(frozen=True, slots=True)
class DeepCheckCompleted:
    """The agent answered a deep health check."""

    tag: str
    healthy: bool


@dataclass(frozen=True, slots=True)
class CommandDeclined:
    """The agent refused a command: "start", "stop", "measure", "deep_check", "deliver" or "skip_call"."""

    command: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class RemarkReceived:
    """The agent sent a numbered notice that needs no action."""

    number: int


@dataclass(frozen=True, slots=True)
class UnknownNotice:
    """The agent sent a notice of an unknown kind."""

    text: str


# ---- the downstream dependency


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A downstream call ended."""

    attempt_id: str
    outcome: CallOutcome
    result: bytes


# ---- the process


@dataclass(frozen=True, slots=True)
class ListeningStarted:
    """The server accepts connections."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The server was asked to drain; the process is stopped at `stop_at`."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The time returned by `next_deadline` has been reached."""


ClientEvent = (
    ConnectionOpened | TaskReceived | HealthCheckReceived | MalformedReceived | InputDrained | ConnectionEnded
)
AgentEvent = (
    AgentGreeted
    | AgentLost
    | RunCompleted
    | CallWanted
    | GaugesMeasured
    | DeepCheckCompleted
    | CommandDeclined
    | RemarkReceived
    | UnknownNotice
)
ServerEvent = (
    ClientEvent | AgentEvent | CallCompleted | ListeningStarted | ShutdownRequested | DeadlineReached
)
