"""Events and answers as messages between predecessor and successor.

A message of this kind has the name of what it carries, and its values in order. The names are of the
protocol: they stay whatever the classes are called.
"""

from collections.abc import Callable
from dataclasses import fields
from typing import Any

from thistleline.handover.effects import AnswerEffect, RelayedEvent
from thistleline.handover.messages import AgentEventMessage, Answer
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
EVENT_CLASSES: dict[str, type[RelayedEvent]] = {kind: each for each, kind in EVENT_KINDS.items()}

ANSWER_KINDS: dict[type[AnswerEffect], str] = {
    AnswerFinished: "finished",
    AnswerRejected: "rejected",
    AnswerAbandoned: "abandoned",
    AnswerMisunderstood: "misunderstood",
}
ANSWER_CLASSES: dict[str, type[AnswerEffect]] = {kind: each for each, kind in ANSWER_KINDS.items()}


def encode_agent_event(event: RelayedEvent) -> AgentEventMessage:
    """Return the message that carries an event of the agent."""
    return AgentEventMessage(EVENT_KINDS[type(event)], _values(event))


def decode_agent_event(message: AgentEventMessage) -> RelayedEvent | None:
    """Return the event that the message carries; None for a kind that is not known.

    Raises:
        ProtocolError: The kind has other values.
    """
    event_class = EVENT_CLASSES.get(message.kind)
    if event_class is None:
        return None
    event: RelayedEvent = _construct(event_class, message.values)
    return event


def encode_answer(answer: AnswerEffect) -> Answer:
    """Return the message that carries an answer to the forwarded task `answer.seq`."""
    _, _, *values = _values(answer)
    return Answer(answer.seq, ANSWER_KINDS[type(answer)], values)


def decode_answer(message: Answer) -> AnswerEffect | None:
    """Return the answer that the message carries, on no connection; None for a kind that is not known.

    Raises:
        ProtocolError: The kind has other values.
    """
    answer_class = ANSWER_CLASSES.get(message.kind)
    if answer_class is None:
        return None
    answer: AnswerEffect = _construct(answer_class, [0, message.number, *message.values])
    return answer


def _construct(carried_class: Callable[..., Any], values: list[Any]) -> Any:
    try:
        return carried_class(*values)
    except TypeError as error:
        raise ProtocolError(f"a message of other values: {error}") from error


def _values(carried: Any) -> list[Any]:
    """Return the values of all fields, as they can be encoded."""
    values = (getattr(carried, field.name) for field in fields(carried))
    return [bytes(value) if isinstance(value, memoryview) else value for value in values]
