"""What a server and the one that follows it on the same machine say to each other, over a Unix socket.

The predecessor is the one that served first, the successor the one that follows. Until `Grant` the
predecessor alone may start an effect; from it on the successor alone. `Grant` brings descriptors beside it:
the ledger's lock, and the listening socket if the predecessor still has it. Stages and tenants go by name:
the two may have other settings.

The names of messages and fields on the socket are of the protocol, and older than those in the program.
"""

from dataclasses import asdict
from typing import Any

import msgspec

from thistleline.interface import Task

PROTOCOL_VERSIONS = (1, 1)  # the least and the greatest that this program speaks
MAX_MESSAGE_SIZE = 1 << 20  # bytes


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The successor's first message.

    Attributes:
        min_version: The least version of the protocol that it speaks.
        max_version: The greatest.
        ledger_versions: The versions of the ledger's format that it can read.
    """

    min_version: int = msgspec.field(default=PROTOCOL_VERSIONS[0], name="least")
    max_version: int = msgspec.field(default=PROTOCOL_VERSIONS[1], name="most")
    ledger_versions: tuple[int, ...] = msgspec.field(default=(), name="reads")


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """The predecessor takes the successor; from here both speak this version of the protocol."""

    version: int = msgspec.field(name="form")


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The predecessor does not take the successor."""

    reason: str = msgspec.field(name="why")


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """All that can be done beforehand is done: the successor wants the handover now."""


class Postponed(msgspec.Struct, frozen=True, tag="later"):
    """The predecessor can't hand over now."""

    reason: str = msgspec.field(name="why")


class Grant(msgspec.Struct, frozen=True, tag="yours"):
    """The handover.

    Attributes:
        last_notice: Number of the last notice of the agent that the predecessor has read.
        runs: Ids of what it has running there.
        owned_ids: Ids that stand for effects that no ledger knows, and for how long yet, ns.
        has_lock: Whether the ledger's lock comes with it.
        has_listener: Whether the listening socket comes with it.
    """

    last_notice: int = msgspec.field(name="notice")
    runs: tuple[str, ...]
    owned_ids: tuple[tuple[str, int], ...] = msgspec.field(name="owned")
    has_lock: bool = msgspec.field(name="lock")
    has_listener: bool = msgspec.field(name="listener")


# ---- of the predecessor, once it has handed over


class StartHostedRun(msgspec.Struct, frozen=True, tag="lodge"):
    """Start this run at the agent: it came to the predecessor before, and is idempotent or in no ledger."""

    attempt_id: str = msgspec.field(name="id")
    stage: str
    body: bytes


class StopHostedRun(msgspec.Struct, frozen=True, tag="stop"):
    """Stop a run of the predecessor's."""

    attempt_id: str = msgspec.field(name="id")


class MeasureGaugesFor(msgspec.Struct, frozen=True, tag="measure"):
    """Ask the agent for its gauges, under the predecessor's tag."""

    measure_tag: str = msgspec.field(name="tag_of")


class EffectEnded(msgspec.Struct, frozen=True, tag="ended"):
    """An effect of the ledger ended; `number` is that in the ledger."""

    number: int
    outcome: str = msgspec.field(name="how")
    result: bytes


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """A task that is the successor's to decide on, read on a connection that is still the predecessor's.

    Attributes:
        number: By which the answer refers to it.
        stage: Name of its stage.
        tenant: Name of its tenant.
        task: All else by the names of `task_to_fields`; times are of the system's clock, ns.
        dedup_key: Its idempotency key, or the subject by which equal reads are known.
        body: What the agent gets.
    """

    number: int = msgspec.field(name="name")
    stage: str
    tenant: str = msgspec.field(name="owner")
    task: dict[str, Any]
    dedup_key: str | None = msgspec.field(name="word")
    body: bytes


# ---- of the successor, once it has the server


class AgentEventMessage(msgspec.Struct, frozen=True, tag="agent"):
    """What the agent said that is the predecessor's; see `relay`."""

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

# Names in a message of the fields of `Task` that have another name in this program.
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
    """Return the task's fields under their names in a message."""
    return {TASK_FIELD_NAMES.get(name, name): value for name, value in asdict(task).items()}


def task_from_fields(fields: dict[str, Any]) -> Task:
    """Return the task with these fields, named as in a message.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
    """
    names = {wire_name: name for name, wire_name in TASK_FIELD_NAMES.items()}
    return msgspec.convert({names.get(name, name): value for name, value in fields.items()}, Task)


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
