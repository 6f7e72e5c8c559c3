"""What the commands that talk to the lease cluster share: finding its replicas and asking them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import cached_property, wraps
from typing import Any, TypeVar

import anyio
import click

from thistleline.cli.common import InputError, config_option, load_config, parse_named_addresses
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Answer, Denied, Done, Get, GetStatus, Got, Op, Unavailable
from thistleline.transport.address import Address

T = TypeVar("T")
AnswerType = TypeVar("AnswerType")
Replicas = dict[str, Address]  # by name

REQUEST_TIMEOUT = 10.0  # s


@dataclass
class ClusterOptions:
    """The options that say where the replicas are, as they stand on the command line.

    Attributes:
        config_path: The file of settings, if one is named.
        voters: Arguments `name=address`.
    """

    config_path: str | None
    voters: tuple[str, ...]

    @cached_property
    def replicas(self) -> Replicas:
        """The replicas' addresses: from the arguments, else from the `council voter` lines of the file.

        Raises:
            InputError: An address or the file is faulty, or neither names a replica.
        """
        addresses = parse_named_addresses(self.voters)
        if not addresses and self.config_path is not None:
            settings = load_config(self.config_path).council
            addresses = dict(settings.voter) if settings is not None else {}
        if not addresses:
            raise InputError(
                "where are the voters? --voter name=address, or --conf with lines 'council voter'"
            )
        return addresses


def cluster_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that say where the replicas are; the command gets them as `cluster`."""

    @config_option
    @click.option("--voter", "voters", multiple=True, help="name=address, once for each voter.")
    @wraps(command)
    def with_cluster(*args: Any, conf: str | None, voters: tuple[str, ...], **options: Any) -> Any:
        return command(*args, cluster=ClusterOptions(conf, voters), **options)

    return with_cluster


def run_with_client(replicas: Replicas, work: Callable[[LeaseClient], Awaitable[T]]) -> T:
    """Connect a client, do the work with it in an event loop of its own, and return what it returns."""

    async def run() -> T:
        async with anyio.create_task_group() as group:
            result = await work(LeaseClient(replicas, group))
            group.cancel_scope.cancel()
        return result

    return anyio.run(run)


def request(replicas: Replicas, op: Op, timeout: float = REQUEST_TIMEOUT) -> Answer:
    """Return what the cluster decides.

    Args:
        replicas: Those of the cluster that may be asked.
        op: The request.
        timeout: Seconds until it must be decided.

    Raises:
        click.ClickException: The request was denied, or not decided in time.
    """
    answer = run_with_client(replicas, lambda client: client.request_until_decided(op, timeout))
    if isinstance(answer, Unavailable):
        raise click.ClickException(f"no voter decides: {answer.reason}")
    if isinstance(answer, Denied):
        raise click.ClickException(answer.reason)
    return answer


def request_as(expected: type[AnswerType], replicas: Replicas, op: Op) -> AnswerType:
    """Return what the cluster decides, where a request can have only one type of answer.

    Raises:
        click.ClickException: The request was denied, or not decided in time.
    """
    answer = request(replicas, op)
    assert isinstance(answer, expected)
    return answer


def read_record(replicas: Replicas, key: str) -> Got:
    """Return a record of the cluster; its version is 0 where there is none.

    Raises:
        click.ClickException: The cluster does not answer.
    """
    return request_as(Got, replicas, Get(key))


def request_statuses(replicas: Replicas) -> dict[str, Answer]:
    """Ask each replica for its own view of the cluster, all at once."""

    async def run() -> dict[str, Answer]:
        answers: dict[str, Answer] = {}
        async with anyio.create_task_group() as group:

            async def ask(name: str) -> None:
                answers[name] = await LeaseClient({name: replicas[name]}, group).request(GetStatus())

            async with anyio.create_task_group() as asking:
                for name in replicas:
                    asking.start_soon(ask, name)
            group.cancel_scope.cancel()
        return answers

    return anyio.run(run)


def answer_text(answer: Answer) -> str:
    """Return what an answer says, for people to read."""
    return answer.text if isinstance(answer, Done) else str(answer)
