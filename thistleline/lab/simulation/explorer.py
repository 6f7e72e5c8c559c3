"""Breadth-first exploration of the states that state machines can reach.

It explores copies of the state machines that run in production; a world defines which events may happen to
them and which invariants hold. The first path found to a violation is a shortest one.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple, Protocol, TypeVar


class World(Protocol):
    """A state of all state machines together, immutable once made."""

    def key(self) -> Any:
        """Return a value that is equal for states with the same possible futures."""

    def wrong(self) -> str:
        """Return which invariant is violated; "" if all hold."""


W = TypeVar("W", bound=World)


class Explored(NamedTuple):
    """The result of an exploration.

    Attributes:
        states: Number of distinct states seen.
        depth: Depth up to which all states were seen.
        wrong: The invariant that is violated; "" if none.
        trace: The events, in order, that lead to the violation.
        whole: Whether all reachable states were seen.
    """

    states: int
    depth: int
    wrong: str
    trace: list[str]
    whole: bool


def explore(
    root: W,
    next_states: Callable[[W], Iterator[tuple[str, W]]],
    depth: int,
    states: int,
    tell: Callable[[str], None] = lambda _: None,
) -> Explored:
    """Explore all states up to a depth or a number of states, or to the first violation.

    Args:
        root: The first state.
        next_states: Yields (event, next state) for each event that may happen in a state.
        depth: Maximum number of events from the root.
        states: Exploration ends after the state at which this many were seen.
        tell: Called with a line of progress for each depth.
    """
    parents: dict[Any, tuple[Any, str] | None] = {root.key(): None}  # by key: the parent's key, the event
    frontier: list[tuple[Any, W]] = [(root.key(), root)]
    for reached in range(depth):
        next_frontier: list[tuple[Any, W]] = []
        for key, world in frontier:
            for event, successor in next_states(world):
                successor_key = successor.key()
                if successor_key in parents:
                    continue
                parents[successor_key] = key, event
                wrong = successor.wrong()
                if wrong:
                    trace = list(_trace(parents, successor_key))
                    return Explored(len(parents), reached + 1, wrong, trace, False)
                next_frontier.append((successor_key, successor))
            if len(parents) >= states:
                return Explored(len(parents), reached, "", [], False)
        tell(f"depth {reached + 1}: {len(parents)} states")
        frontier = next_frontier
        if not frontier:
            return Explored(len(parents), reached + 1, "", [], True)
    return Explored(len(parents), depth, "", [], False)


def _trace(parents: dict[Any, tuple[Any, str] | None], key: Any) -> Iterable[str]:
    """Return the events from the root to a state."""
    events: list[str] = []
    while (step := parents[key]) is not None:
        key, event = step
        events.append(event)
    return reversed(events)
