"""Shared code of the commands: errors, options, settings, results and log lines on standard output."""

import datetime
import json
import signal
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from typing import Any, TypeVar

import anyio
import click
import msgspec
import structlog

from thistleline.config.loader import ConfigError, read_config
from thistleline.config.schema import ProgramConfig
from thistleline.store.disk import DiskLockedError
from thistleline.transport.address import Address, parse_address

Result = TypeVar("Result")

config_option = click.option(
    "--conf",
    envvar="THISTLELINE_CONF",
    type=click.Path(),
    help="Settings file; defaults to THISTLELINE_CONF.",
)
required_config_option = click.option(
    "--conf",
    envvar="THISTLELINE_CONF",
    type=click.Path(),
    required=True,
    help="Settings file; defaults to THISTLELINE_CONF.",
)
json_option = click.option("--json", "as_json", is_flag=True)


class InputError(click.ClickException):
    """An invalid argument, file or folder, which the caller has to correct; exit code 2."""

    exit_code = 2


def load_config(path: str | None) -> ProgramConfig:
    """Read a settings file.

    Raises:
        InputError: No path is given, or the file has faults; the message has a line for each fault.
    """
    if path is None:
        raise InputError("no settings file given: use --conf or THISTLELINE_CONF")
    try:
        return read_config(path)
    except ConfigError as error:
        raise InputError("\n".join(error.lines)) from error


def parse_named_addresses(arguments: tuple[str, ...]) -> dict[str, Address]:
    """Parse arguments of the form `name=address`.

    Raises:
        InputError: One of the arguments has no valid address.
    """
    addresses: dict[str, Address] = {}
    for argument in arguments:
        name, _, address = argument.partition("=")
        try:
            addresses[name] = parse_address(address)
        except ValueError as error:
            raise InputError(str(error)) from error
    return addresses


def os_error_text(error: OSError) -> str:
    """Return the operating system's description of an error, or the error's own text if there is none."""
    return str(error.strerror or error)


@contextmanager
def service_errors(resources: object) -> Iterator[None]:
    """Convert errors that end a service into errors of the command.

    Args:
        resources: The folder and address that the service uses, for the error message.

    Raises:
        InputError: Another program has locked the folder.
        click.ClickException: The operating system reported an error.
    """
    try:
        yield
    except DiskLockedError as error:
        raise InputError(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"{resources}: {os_error_text(error)}") from error


def print_result(result: Result, as_json: bool, format_text: Callable[[Result], str]) -> None:
    """Print a result, either as one line of JSON or as text."""
    click.echo(json.dumps(msgspec.to_builtins(result)) if as_json else format_text(result))


def format_fields(fields: Mapping[str, Any]) -> str:
    """Return all fields in one line, each as its name and its value."""
    return "  ".join(f"{name} {value}" for name, value in fields.items())


def format_struct(result: msgspec.Struct) -> str:
    """Return all fields of a result in one line, each as its name and its value."""
    return format_fields(msgspec.to_builtins(result))


def format_wall_time(wall_ms: int) -> str:
    """Return a wall clock time, given in ms, as ISO 8601 in UTC."""
    utc_time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return utc_time.isoformat(timespec="milliseconds")


async def cancel_on_signal(scope: anyio.CancelScope) -> None:
    """Wait for SIGTERM or SIGINT, then cancel the scope."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


def json_logger(name: str) -> Callable[..., None]:
    """Return a function that logs an event with its fields as one JSON line on standard output.

    Args:
        name: Name of the process, added to every line.
    """
    structlog.configure(
        processors=[structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    logger = structlog.get_logger().bind(name=name)

    def log(event: str, **fields: Any) -> None:
        with suppress(OSError):  # a closed standard output must not end the service
            logger.info(event, **fields)

    return log
