"""The options that a server's state machine is created with."""

from dataclasses import dataclass

from thistleline.interface import ServerSettings


@dataclass(frozen=True, slots=True)
class MachineOptions:
    """The settings and limits of one server's state machine."""

    settings: ServerSettings
    gauges: tuple[str, ...]  # names of the agent's gauges, in the order in which it sends their values
    granularity: int  # ns, minimum time between two rounds of the policy
    max_connections: int
    max_result_bytes: int  # limit on the total size of cached results
    seed: int  # seed of the policy's random number generator
