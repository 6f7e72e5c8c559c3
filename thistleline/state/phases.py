"""The program's phases from start to exit: the named states of one object."""

from typing import Literal

Name = Literal["starting", "awaiting agent", "serving", "leaving", "closing", "ended"]
FOLLOWS: dict[Name, tuple[Name, ...]] = {
    "starting": ("awaiting agent", "leaving", "ended"),  # nothing listens yet
    "awaiting agent": ("serving", "leaving", "ended"),  # listens; no task comes before the agent is up
    "serving": ("leaving", "ended"),
    "leaving": ("closing", "ended"),  # told to leave: serves on while the module has it so
    "closing": ("ended",),  # no new connection, what was read gets its answer
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
    def leaving(self) -> bool:
        return self.name in ("leaving", "closing", "ended")

    @property
    def shut(self) -> bool:
        return self.name in ("closing", "ended")
