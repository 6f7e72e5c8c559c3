"""What a server and the one that follows it on the same machine say to each other, over a Unix socket.

The elder is the one that served first, the heir the one that follows. Until `Yours` the elder alone may start
an effect; from it on the heir alone. `Yours` brings descriptors beside it: the ledger's lock, and the
listening socket if the elder still has it. Stages and owners go by name: the two may have other settings.
"""

from dataclasses import asdict
from typing import Any

import msgspec

from thistleline.interface import Task

FORMS = (1, 1)  # the least and the most that this program speaks
BOUND = 1 << 20  # bytes of a message


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The heir's first word. `reads`: forms of the ledger that it can read."""

    least: int = FORMS[0]
    most: int = FORMS[1]
    reads: tuple[int, ...] = ()


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    form: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    why: str


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """All that can be done beforehand is done: the heir wants to have it now."""


class Later(msgspec.Struct, frozen=True, tag="later"):
    why: str


class Yours(msgspec.Struct, frozen=True, tag="yours"):
    """`notice`: number of the last one that the elder read of the agent; `runs`: ids of what it has running
    there; `owned`: ids that stand for effects that no ledger knows, and for how long yet, ns."""

    notice: int
    runs: tuple[str, ...]
    owned: tuple[tuple[str, int], ...]
    lock: bool
    listener: bool


# ---- of the elder, once it has handed over


class Lodge(msgspec.Struct, frozen=True, tag="lodge"):
    """Start this at the agent for me: it came to me before, and may run twice or is in no ledger."""

    id: str
    stage: str
    body: bytes


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    id: str


class Measure(msgspec.Struct, frozen=True, tag="measure"):
    tag_of: str


class Ended(msgspec.Struct, frozen=True, tag="ended"):
    """How an effect of the ledger ended."""

    number: int
    how: str
    result: bytes


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """A task that is the heir's to decide on, read on a connection that is still the elder's. Times are of
    the system's clock, ns; `task` has all else by the names of its fields."""

    name: int
    stage: str
    owner: str
    task: dict[str, Any]
    word: str | None
    body: bytes


# ---- of the heir, once it has it


class Agent(msgspec.Struct, frozen=True, tag="agent"):
    """What the agent said that is the elder's, as the reducer takes it."""

    kind: str
    told: list[Any]


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    name: int
    kind: str
    told: list[Any]


Message = (
    Hello | Welcome | Refused | Ready | Later | Yours
    | Lodge | Stop | Measure | Ended | Forward | Agent | Answer
)  # fmt: skip

# Names on the line of the fields of `Task` that have another name in this program.
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
    """Return the task's fields under their names on the line."""
    return {TASK_FIELD_NAMES.get(name, name): value for name, value in asdict(task).items()}


def task_from_fields(fields: dict[str, Any]) -> Task:
    """Return the task with these fields, named as on the line.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
    """
    names = {wire_name: name for name, wire_name in TASK_FIELD_NAMES.items()}
    return msgspec.convert({names.get(name, name): value for name, value in fields.items()}, Task)


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
