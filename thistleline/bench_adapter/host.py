"""Hosts the policies of the simulated instances that the bench runs in this process."""

import json
from collections.abc import Callable

from thistleline.bench_adapter.errors import BenchProtocolError
from thistleline.bench_adapter.events import parse_event
from thistleline.bench_adapter.sink import LineSink
from thistleline.interface import PolicyEvent
from thistleline.policy import Policy
from thistleline.wire.settings import read_gauge_names, read_server_settings


class PolicyHost:
    """The policies by instance name, which share no state."""

    def __init__(self) -> None:
        """Create a host that has no instances."""
        self._policies: dict[str, Policy] = {}
        self._gauge_names: dict[str, tuple[str, ...]] = {}

    def round(self, now: int, lines: list[list[str]], write: Callable[[str], None]) -> None:
        """Group the events of a round by instance, in order, and call each instance's policy once.

        Args:
            now: The time of the round, ns.
            lines: The fields of each line: message, instance, values.
            write: Receives each line of the reply.

        Raises:
            BenchProtocolError: A line is for an instance that does not exist.
            ValueError: A value is malformed; also KeyError, IndexError, TypeError, ArithmeticError and the
                errors of the settings.
        """
        events_by_instance: dict[str, list[PolicyEvent]] = {}
        for parts in lines:
            message, instance = parts[0], parts[1]
            if message == "KILL":
                self._policies.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif message == "BORN":
                self._create(now, parts)
                events_by_instance[instance] = []
            elif instance not in self._policies:
                raise BenchProtocolError(f"{message} line for instance {instance}, which does not exist")
            else:
                event = parse_event(now, parts, self._gauge_names[instance])
                if event is not None:
                    events_by_instance.setdefault(instance, []).append(event)
        for instance, events in events_by_instance.items():
            try:
                self._policies[instance].round(now, events, LineSink(instance, write))
            except Exception as error:
                write(f"BROKEN\t{instance}\t{describe(error)}\n")

    def _create(self, now: int, parts: list[str]) -> None:
        """Create the policy of an instance from a line with the fields BORN, instance, seed, settings."""
        _, instance, seed = parts[:3]
        env = json.loads("\t".join(parts[3:]))
        self._gauge_names[instance] = read_gauge_names(env)
        self._policies[instance] = Policy(read_server_settings(env), int(seed), now)


def describe(error: Exception) -> str:
    """Return the type and the text of an error as a single line."""
    return f"{type(error).__name__}: {' '.join(str(error).split())}"
