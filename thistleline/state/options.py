"""What a server's state machine is told at its construction."""

from dataclasses import dataclass

from thistleline.interface import ServerSettings


@dataclass(frozen=True, slots=True)
class MachineOptions:
    """The settings and limits of one server's state machine."""

    settings: ServerSettings
    gauges: tuple[str, ...]  # names of the values that the agent measures, in its order
    granularity: int  # ns, the least time between two rounds of the policy
    max_connections: int
    max_result_bytes: int  # of cached results
    seed: int  # of the policy's random draws
