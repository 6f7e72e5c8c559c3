"""Copies state machines, so that each step of a model check works on its own copy."""

from collections import deque
from typing import TypeVar

State = TypeVar("State")

_CONTAINERS = frozenset((dict, list, set, deque))


def copy_state(original: State) -> State:
    """Return a copy whose containers can be changed without changing those of the original.

    All attributes are copied: those in `__slots__` if the class defines them, otherwise those in `__dict__`.
    Attributes that are exactly a dict, list, set or deque are copied one level deep; all others, such as
    immutable messages and callables, are shared. A caller with nested mutable objects must copy those itself.
    """
    copied = object.__new__(type(original))
    names: tuple[str, ...] = getattr(type(original), "__slots__", None) or tuple(vars(original))
    for name in names:
        value = getattr(original, name)
        setattr(copied, name, value.copy() if type(value) in _CONTAINERS else value)
    return copied
