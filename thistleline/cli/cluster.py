"""Shared code of the commands that use the lease cluster: locating its replicas and sending them requests."""

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
Replicas = dict[str, Address]  # addresses of replicas by name

REQUEST_TIMEOUT = 10.0  # s in which the cluster has to decide a request


@dataclass
class ClusterOptions:
    """The command line options that locate the replicas.

    Attributes:
        config_path: Path of the settings file, if one is given.
        voters: Arguments `name=address`.
    """

    config_path: str | None
    voters: tuple[str, ...]

    @cached_property
    def replicas(self) -> Replicas:
        """The replicas' addresses: from the arguments, else from the `council voter` lines of the file.

        Raises:
            InputError: An address or the file is invalid, or no replica is named.
        """
        addresses = parse_named_addresses(self.voters)
        if not addresses and self.config_path is not None:
            settings = load_config(self.config_path).council
            addresses = dict(settings.voter) if settings is not None else {}
        if not addresses:
            raise InputError(
                "no replica address given: use --voter name=address, or --conf with 'council voter' lines"
            )
        return addresses


def cluster_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that locate the replicas; the command receives them as its parameter `cluster`."""

    @config_option
    @click.option(
        "--voter",
        "voters",
        multiple=True,
        help="Address of a replica as name=address; repeat for each replica.",
    )
    @wraps(command)
    def with_cluster(*args: Any, conf: str | None, voters: tuple[str, ...], **options: Any) -> Any:
        return command(*args, cluster=ClusterOptions(conf, voters), **options)

    return with_cluster


def run_with_client(replicas: Replicas, work: Callable[[LeaseClient], Awaitable[T]]) -> T:
    """Run `work` with a lease client in a new event loop and return its result."""

    async def run() -> T:
        async with anyio.create_task_group() as group:
            result = await work(LeaseClient(replicas, group))
            group.cancel_scope.cancel()
        return result

    return anyio.run(run)


def request(replicas: Replicas, op: Op, timeout: float = REQUEST_TIMEOUT) -> Answer:
    """Send a request to the cluster and return its decision.

    Args:
        replicas: Replicas of the cluster that the request may be sent to.
        op: The request.
        timeout: Seconds within which it must be decided.

    Raises:
        click.ClickException: The request was denied, or not decided in time.
    """
    answer = run_with_client(replicas, lambda client: client.request_until_decided(op, timeout))
    if isinstance(answer, Unavailable):
        raise click.ClickException(f"the consensus cluster did not decide the request: {answer.reason}")
    if isinstance(answer, Denied):
        raise click.ClickException(answer.reason)
    return answer


def request_as(expected: type[AnswerType], replicas: Replicas, op: Op) -> AnswerType:
    """Send a request that has only one type of answer to the cluster and return its decision.

    Raises:
        click.ClickException: The request was denied, or not decided in time.
    """
    answer = request(replicas, op)
    assert isinstance(answer, expected)
    return answer


def read_record(replicas: Replicas, key: str) -> Got:
    """Read a record from the cluster; its version is 0 if the record does not exist.

    Raises:
        click.ClickException: The cluster does not answer.
    """
    return request_as(Got, replicas, Get(key))


def request_statuses(replicas: Replicas) -> dict[str, Answer]:
    """Request each replica's own view of the cluster, from all replicas concurrently."""

    async def run() -> dict[str, Answer]:
        answers: dict[str, Answer] = {}
        async with anyio.create_task_group() as group:

            async def request_status(name: str) -> None:
                answers[name] = await LeaseClient({name: replicas[name]}, group).request(GetStatus())

            async with anyio.create_task_group() as requests:
                for name in replicas:
                    requests.start_soon(request_status, name)
            group.cancel_scope.cancel()
        return answers

    return anyio.run(run)


def answer_text(answer: Answer) -> str:
    """Return an answer as human-readable text."""
    return answer.text if isinstance(answer, Done) else str(answer)
