"""The program's phases from start to exit: the named states of one object."""

from typing import Literal

Name = Literal["starting", "awaiting agent", "serving", "leaving", "ended"]
FOLLOWS: dict[Name, tuple[Name, ...]] = {
    "starting": ("awaiting agent", "leaving", "ended"),  # nothing listens yet
    "awaiting agent": ("serving", "leaving", "ended"),  # listens; no task comes before the agent is up
    "serving": ("leaving", "ended"),
    "leaving": ("ended",),  # told to leave: no new connection, what was read gets its answer
    "ended": (),
}


class Phases:
    __slots__ = ("name",)

    def __init__(self) -> None:
        self.name: Name = "starting"

    def move(self, name: Name) -> None:
        if name not in FOLLOWS[self.name]:
            raise ValueError(f"{name} does not follow {self.name}")
        self.name = name

    @property
    def over(self) -> bool:
        return self.name in ("leaving", "ended")
