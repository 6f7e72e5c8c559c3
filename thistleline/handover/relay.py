"""Encodes events and answers as messages between predecessor and successor.

Such a message consists of a kind, which names the event or answer, and the values of its fields in order. The
kinds are part of the protocol: they do not change when a class is renamed.
"""

from collections.abc import Callable
from dataclasses import fields
from typing import Any

from thistleline.handover.effects import AnswerEffect, RelayedEvent
from thistleline.handover.messages import AgentEventMessage, Answer, Forward, task_from_fields
from thistleline.interface import ServerSettings, Task
from thistleline.state.effects import AnswerAbandoned, AnswerFinished, AnswerMisunderstood, AnswerRejected
from thistleline.state.events import AgentGreeted, AgentLost, CommandDeclined, GaugesMeasured, RunCompleted
from thistleline.transport.codec import ProtocolError

EVENT_KINDS: dict[type[RelayedEvent], str] = {
    AgentGreeted: "agent_up",
    AgentLost: "agent_lost",
    RunCompleted: "run_over",
    GaugesMeasured: "measured",
    CommandDeclined: "declined",
}
EVENT_CLASSES: dict[str, type[RelayedEvent]] = {kind: cls for cls, kind in EVENT_KINDS.items()}

ANSWER_KINDS: dict[type[AnswerEffect], str] = {
    AnswerFinished: "finished",
    AnswerRejected: "rejected",
    AnswerAbandoned: "abandoned",
    AnswerMisunderstood: "misunderstood",
}
ANSWER_CLASSES: dict[str, type[AnswerEffect]] = {kind: cls for cls, kind in ANSWER_KINDS.items()}


def encode_agent_event(event: RelayedEvent) -> AgentEventMessage:
    """Encode an event that came from the agent."""
    return AgentEventMessage(EVENT_KINDS[type(event)], _values(event))


def decode_agent_event(message: AgentEventMessage) -> RelayedEvent | None:
    """Decode an event that came from the agent; return None for an unknown kind.

    Raises:
        ProtocolError: The values do not fit the kind.
    """
    event_class = EVENT_CLASSES.get(message.kind)
    if event_class is None:
        return None
    event: RelayedEvent = _construct(event_class, message.values)
    return event


def encode_answer(answer: AnswerEffect) -> Answer:
    """Encode an answer to the forwarded task with number `answer.seq`."""
    _, _, *values = _values(answer)
    return Answer(answer.seq, ANSWER_KINDS[type(answer)], values)


def decode_answer(message: Answer) -> AnswerEffect | None:
    """Decode an answer and set its connection to 0; return None for an unknown kind.

    Raises:
        ProtocolError: The values do not fit the kind.
    """
    answer_class = ANSWER_CLASSES.get(message.kind)
    if answer_class is None:
        return None
    answer: AnswerEffect = _construct(answer_class, [0, message.number, *message.values])
    return answer


def decode_forwarded_task(message: Forward, settings: ServerSettings) -> Task | None:
    """Return a forwarded task with the indexes that its stage and tenant have in this server's settings.

    Returns None if there is no such stage or tenant. Where this server's site has no tenants, any will do.

    Raises:
        msgspec.ValidationError: A field of the task is missing or has the wrong type.
    """
    stages = {stage.name: index for index, stage in enumerate(settings.stages)}
    tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)} or {message.tenant: 0}
    if message.stage not in stages or message.tenant not in tenants:
        return None
    return task_from_fields(
        {**message.task, "stage": stages[message.stage], "owner": tenants[message.tenant]}
    )


def _construct(target_class: Callable[..., Any], values: list[Any]) -> Any:
    try:
        return target_class(*values)
    except TypeError as error:
        raise ProtocolError(f"the values of a message do not fit its kind: {error}") from error


def _values(instance: Any) -> list[Any]:
    """Return the values of all fields in encodable form."""
    values = (getattr(instance, field.name) for field in fields(instance))
    return [bytes(value) if isinstance(value, memoryview) else value for value in values]
