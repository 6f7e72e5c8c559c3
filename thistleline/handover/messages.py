"""The handover protocol between two servers on the same machine, over a Unix socket.

The predecessor is the server that is running, the successor the server that replaces it. An effect here is a
run with an idempotency key. Before `Grant` only the predecessor may start an effect, after it only the
successor. `Grant` is sent with file descriptors: the ledger's lock, and the listening socket if the
predecessor still has it. Stages and tenants are identified by name, because the settings of the two servers
may differ.

The names of messages and fields on the handover socket are part of the protocol; they are older than the
names of classes and attributes here, and differ from them.
"""

from dataclasses import asdict
from typing import Any

import msgspec

from thistleline.interface import Task

PROTOCOL_VERSIONS = (1, 1)  # lowest and highest supported version
MAX_MESSAGE_SIZE = 1 << 20  # bytes


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The successor's first message.

    Attributes:
        min_version: Lowest protocol version that the successor supports.
        max_version: Highest protocol version that the successor supports.
        ledger_versions: Versions of the ledger's format that the successor can read.
    """

    min_version: int = msgspec.field(default=PROTOCOL_VERSIONS[0], name="least")
    max_version: int = msgspec.field(default=PROTOCOL_VERSIONS[1], name="most")
    ledger_versions: tuple[int, ...] = msgspec.field(default=(), name="reads")


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """The predecessor accepts the successor; both use this protocol version from here on."""

    version: int = msgspec.field(name="form")


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The predecessor refuses the successor."""

    reason: str = msgspec.field(name="why")


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The successor has finished its preparation and requests the handover."""


class Postponed(msgspec.Struct, frozen=True, tag="later"):
    """The predecessor can't hand over now."""

    reason: str = msgspec.field(name="why")


class Grant(msgspec.Struct, frozen=True, tag="yours"):
    """The predecessor hands over to the successor.

    Attributes:
        last_notice: Number of the last notice that the predecessor has read from the agent.
        runs: Ids of the predecessor's runs at the agent.
        owned_ids: Attempt ids of runs that are in no ledger, and the time until each id expires, ns.
        has_lock: Whether the descriptor of the ledger's lock is attached.
        has_listener: Whether the descriptor of the listening socket is attached.
    """

    last_notice: int = msgspec.field(name="notice")
    runs: tuple[str, ...]
    owned_ids: tuple[tuple[str, int], ...] = msgspec.field(name="owned")
    has_lock: bool = msgspec.field(name="lock")
    has_listener: bool = msgspec.field(name="listener")


# ---- messages of the predecessor after the handover


class StartHostedRun(msgspec.Struct, frozen=True, tag="lodge"):
    """Start a run that the predecessor accepted before the handover; it is idempotent or in no ledger."""

    attempt_id: str = msgspec.field(name="id")
    stage: str
    body: bytes


class StopHostedRun(msgspec.Struct, frozen=True, tag="stop"):
    """Stop a run of the predecessor."""

    attempt_id: str = msgspec.field(name="id")


class MeasureGaugesFor(msgspec.Struct, frozen=True, tag="measure"):
    """Request the agent's gauges under the predecessor's tag."""

    measure_tag: str = msgspec.field(name="tag_of")


class EffectEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A run that is recorded in the ledger has ended; `number` is its effect number there."""

    number: int
    outcome: str = msgspec.field(name="how")
    result: bytes


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """A task that the successor decides on, read on a connection that the predecessor still holds.

    Attributes:
        number: Number by which the answer refers to the task.
        stage: Name of the task's stage.
        tenant: Name of the task's tenant.
        task: The task's fields under the names that `task_to_fields` gives them; times are system clock, ns.
        dedup_key: The task's idempotency key, or the key by which equal reads are recognized.
        body: The request body for the agent.
    """

    number: int = msgspec.field(name="name")
    stage: str
    tenant: str = msgspec.field(name="owner")
    task: dict[str, Any]
    dedup_key: str | None = msgspec.field(name="word")
    body: bytes


# ---- messages of the successor after the handover


class AgentEventMessage(msgspec.Struct, frozen=True, tag="agent"):
    """An event of the agent that concerns the predecessor; see `relay`."""

    kind: str
    values: list[Any] = msgspec.field(name="told")


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """The answer to a forwarded task; see `relay`."""

    number: int = msgspec.field(name="name")
    kind: str
    values: list[Any] = msgspec.field(name="told")


Message = (
    Hello
    | Welcome
    | Refused
    | Ready
    | Postponed
    | Grant
    | StartHostedRun
    | StopHostedRun
    | MeasureGaugesFor
    | EffectEnded
    | Forward
    | AgentEventMessage
    | Answer
)

# Fields of `Task` that have a different name in the messages of the handover socket, and that name.
TASK_FIELD_NAMES = {
    "tenant": "owner",
    "client": "caller",
    "priority_rank": "rank",
    "estimated_work": "work",
    "queued_memory_kb": "held_kb",
    "arrived_at": "reached",
    "deadline": "limit",
    "is_retry": "again",
    "duplicate_of": "repeats",
}


def task_to_fields(task: Task) -> dict[str, Any]:
    """Return the task's fields, named as in the messages of the handover socket."""
    return {TASK_FIELD_NAMES.get(name, name): value for name, value in asdict(task).items()}


def task_from_fields(fields: dict[str, Any]) -> Task:
    """Return the task with these fields, which are named as in the messages of the handover socket.

    Raises:
        msgspec.ValidationError: A field is missing or has the wrong type.
    """
    names = {wire_name: name for name, wire_name in TASK_FIELD_NAMES.items()}
    return msgspec.convert({names.get(name, name): value for name, value in fields.items()}, Task)


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
