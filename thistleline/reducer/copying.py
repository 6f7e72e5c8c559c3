"""Copying of state machines, so that each step of an exploration works on a copy of its own."""

from collections import deque
from typing import TypeVar

State = TypeVar("State")

_CONTAINERS = frozenset((dict, list, set, deque))


def copy_state(original: State) -> State:
    """Return a copy whose own containers may be changed without changing the original's.

    Every attribute is taken over, from `__slots__` where the class has them, else from `__dict__`. Attributes
    that are exactly a dict, list, set or deque are copied one level deep; all others, such as immutable
    messages and callables, are shared. A caller that nests mutable objects replaces those in the copy itself.
    """
    made = object.__new__(type(original))
    names: tuple[str, ...] = getattr(type(original), "__slots__", None) or tuple(vars(original))
    for name in names:
        value = getattr(original, name)
        setattr(made, name, value.copy() if type(value) in _CONTAINERS else value)
    return made
