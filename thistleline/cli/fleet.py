"""What the commands on the council and its leases share: where voters are, asking, telling."""

import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, TypeVar

import anyio
import click
import msgspec
import structlog

from thistleline.config.loader import ConfigError, read_config
from thistleline.config.schema import ProgramConfig
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Answer, Denied, GetStatus, Op, Unavailable
from thistleline.transport.address import Address, parse_address

T = TypeVar("T")
SPAN = 10.0  # s for a command's question


class Unusable(click.ClickException):
    """What a person can mend."""

    exit_code = 2


def conf_of(path: str) -> ProgramConfig:
    try:
        return read_config(path)
    except ConfigError as faulty:
        raise Unusable("\n".join(faulty.lines)) from faulty


def named(told: tuple[str, ...]) -> dict[str, Address]:
    """Of words `name=address`. Raises Unusable."""
    found: dict[str, Address] = {}
    for one in told:
        name, _, address = one.partition("=")
        try:
            found[name] = parse_address(address)
        except ValueError as error:
            raise Unusable(str(error)) from error
    return found


def voters_of(conf: str | None, voters: tuple[str, ...]) -> dict[str, Address]:
    """By `--voter name=address`, else by the file's `council voter` lines."""
    found = named(voters)
    if not found and conf is not None:
        told = conf_of(conf).council
        found = dict(told.voter) if told is not None else {}
    if not found:
        raise Unusable("where are the voters? --voter name=address, or --conf with lines 'council voter'")
    return found


def where(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options that say where the voters are."""
    conf = click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
    voter = click.option("--voter", "voters", multiple=True, help="name=address, once for each voter.")
    return conf(voter(command))


def with_council(voters: dict[str, Address], do: Callable[[LeaseClient], Awaitable[T]]) -> T:
    async def run() -> T:
        async with anyio.create_task_group() as group:
            found = await do(LeaseClient(voters, group))
            group.cancel_scope.cancel()
        return found

    return anyio.run(run)


def ask(voters: dict[str, Address], op: Op, span: float = SPAN) -> Answer:
    """What the council says. Ends the command where nobody decides, or it is denied."""
    answer = with_council(voters, lambda council: council.request_until_decided(op, span))
    if isinstance(answer, Unavailable):
        raise click.ClickException(f"no voter decides: {answer.reason}")
    if isinstance(answer, Denied):
        raise click.ClickException(answer.reason)
    return answer


def ask_each(voters: dict[str, Address]) -> dict[str, Answer]:
    """How each voter sees itself."""

    async def run() -> dict[str, Answer]:
        found: dict[str, Answer] = {}
        async with anyio.create_task_group() as group:

            async def one(name: str) -> None:
                found[name] = await LeaseClient({name: voters[name]}, group).request(GetStatus())

            async with anyio.create_task_group() as asking:
                for name in voters:
                    asking.start_soon(one, name)
            group.cancel_scope.cancel()
        return found

    return anyio.run(run)


def tell(answer: Any, as_json: bool, words: Callable[[Any], str]) -> None:
    click.echo(json.dumps(msgspec.to_builtins(answer)) if as_json else words(answer))


def logger(name: str) -> Callable[..., None]:
    """One JSON line an event, on standard output."""
    structlog.configure(
        processors=[structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    bound = structlog.get_logger().bind(name=name)

    def log(event: str, **facts: Any) -> None:
        with suppress(OSError):  # nobody reads
            bound.info(event, **facts)

    return log
