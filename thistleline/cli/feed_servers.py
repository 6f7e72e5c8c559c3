"""Selects the keepers and relays that a feed command queries, and reads the newest of their states."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from typing import Any

import anyio
import click

from thistleline.cli.common import InputError, config_option, load_config, parse_named_addresses
from thistleline.config_feed.lookups import is_encodable
from thistleline.config_feed.messages import ReadResult
from thistleline.config_feed.operations import read_each
from thistleline.transport.address import Address

Servers = dict[str, Address]  # addresses of keepers and relays by name

timeout_type = click.FloatRange(0.1, 3600.0)  # s


@dataclass(frozen=True)
class ServerOptions:
    """The command line options that select the servers to query.

    Attributes:
        config_path: Path of the settings file, if one is given.
        at: Arguments `name=address`.
    """

    config_path: str | None
    at: tuple[str, ...]

    def find(self, *roles: str) -> Servers:
        """Return addresses by name: from the arguments, else from the `feed` lines of the file.

        Args:
            roles: Names of `feed` lines, in order of preference; only the first name with any lines is used.

        Raises:
            InputError: An address or the file is invalid, or neither names a server.
        """
        servers = parse_named_addresses(self.at)
        if not servers and self.config_path is not None:
            settings = load_config(self.config_path).feed
            for role in roles if settings is not None else ():
                servers = servers or dict(getattr(settings, role))
        if not servers:
            lines = " or ".join(f"'feed {role}'" for role in roles)
            raise InputError(f"no server to query: use --at name=address, or --conf with lines {lines}")
        return servers


def server_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that select the servers; the command receives them as its parameter `servers`."""

    @config_option
    @click.option("--at", multiple=True, help="Address of a server to query as name=address; repeatable.")
    @wraps(command)
    def with_servers(*args: Any, conf: str | None, at: tuple[str, ...], **options: Any) -> Any:
        return command(*args, servers=ServerOptions(conf, at), **options)

    return with_servers


def encoding_faults(arguments: tuple[str, ...]) -> list[str]:
    """Return a fault for each argument that is not valid UTF-8, as it can't be sent."""
    return [f"{argument!r} is not valid UTF-8" for argument in arguments if not is_encodable(argument)]


def read_newest(servers: Servers, keys: tuple[str, ...] = ()) -> tuple[str, ReadResult]:
    """Query all servers; return the name and the answer of the one with the newest state.

    All are queried because a server that was cut off from the others may hold an old state.

    Raises:
        click.ClickException: None of the servers answers.
    """
    answers = anyio.run(read_each, servers, keys)
    known = [(answer.sequence, name, answer) for name, answer in answers.items() if answer is not None]
    if not known:
        raise click.ClickException(f"none of {', '.join(servers)} answers")
    _, name, newest = max(known, key=lambda entry: entry[:2])
    return name, newest
