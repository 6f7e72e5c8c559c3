"""`thistleline council`: run a replica, query the consensus cluster, change its members."""

import os
from typing import Any

import click
import msgspec

from thistleline.cli.cluster import (
    ClusterOptions,
    Replicas,
    answer_text,
    cluster_options,
    request,
    request_statuses,
)
from thistleline.cli.common import (
    InputError,
    config_option,
    json_logger,
    json_option,
    load_config,
    print_result,
    service_errors,
)
from thistleline.lease.protocol import Answer, ChangeReplicas, CreateCluster, ReplicaStatus, Unavailable
from thistleline.transport.address import format_address, parse_address

JOIN_TIMEOUT = 40.0  # s for an empty replica to catch up
STATUS_FIELDS = ("voter", "id", "phase", "term", "leader", "committed", "last", "leases", "failing")


class MemberAddress(msgspec.Struct, frozen=True):
    """A voting member of the cluster, as `members` prints it."""

    id: str
    address: str


@click.group(invoke_without_command=True)
@config_option
@click.pass_context
def council(context: click.Context, conf: str | None) -> None:
    """Run a replica of the consensus cluster in the foreground; subcommands query or change the cluster."""
    if context.invoked_subcommand is None:
        _run_replica(conf)


def _run_replica(config_path: str | None) -> None:
    settings = load_config(config_path).council
    if settings is None or settings.folder is None or settings.listen is None or settings.name is None:
        raise InputError(
            f"{config_path}: a replica requires 'council folder', 'council name' and 'council listen'"
        )
    from thistleline.lease.service import run
    from thistleline.store.frames import CorruptFrameError

    try:
        with service_errors(f"{settings.folder}, {settings.listen}"):
            run(settings, json_logger(settings.name))
    except CorruptFrameError as error:
        raise InputError(
            f"{error}\nthe votes and acknowledgements of this replica are unknown. Move the folder away, "
            "start the replica with an empty folder, 'council add' it and 'council remove' its old id"
        ) from error


@council.command()
@cluster_options
def form(cluster: ClusterOptions) -> None:
    """Form a consensus cluster of replicas that are all empty; done once, by an operator."""
    replicas = cluster.replicas
    statuses = _statuses_of_all(replicas)
    formed = sorted(name for name, status in statuses.items() if status.cluster)
    if formed:
        raise click.ClickException(f"{', '.join(formed)} already belongs to a consensus cluster")
    members = tuple(sorted((status.id, format_address(replicas[name])) for name, status in statuses.items()))
    creation = CreateCluster(os.urandom(8).hex(), members)
    for name in replicas:
        request({name: replicas[name]}, creation)
    click.echo(f"council {creation.cluster}: {', '.join(id for id, _ in members)}")


@council.command()
@cluster_options
@json_option
def status(cluster: ClusterOptions, as_json: bool) -> None:
    """Print each replica's own status; exit code 1 if no replica is the leader."""
    answers = request_statuses(cluster.replicas)
    for name, answer in sorted(answers.items()):
        fields = {"voter": name, **msgspec.to_builtins(answer)}
        is_status = isinstance(answer, ReplicaStatus)
        print_result(fields, as_json, _format_status if is_status else _format_no_status)
    if not any(_is_leading(answer) for answer in answers.values()):
        raise SystemExit(1)


def _is_leading(answer: Answer) -> bool:
    return isinstance(answer, ReplicaStatus) and answer.phase == "leading"


def _format_status(fields: dict[str, Any]) -> str:
    return "  ".join(f"{name} {fields[name]}" for name in STATUS_FIELDS)


def _format_no_status(fields: dict[str, Any]) -> str:
    return f"voter {fields['voter']}  {fields.get('why', fields)}"


@council.command()
@cluster_options
@json_option
def members(cluster: ClusterOptions, as_json: bool) -> None:
    """List the voting members of the cluster, as known to its leader."""
    statuses = _statuses(request_statuses(cluster.replicas)).values()
    leaders = [status for status in statuses if _is_leading(status)]
    if not leaders:
        raise click.ClickException("no replica is the leader")
    current_leader = max(leaders, key=lambda status: status.term)
    for id, address in current_leader.members:
        print_result(MemberAddress(id, address), as_json, lambda member: f"{member.id}  {member.address}")


@council.command()
@cluster_options
@click.argument("address")
def add(cluster: ClusterOptions, address: str) -> None:
    """Add the empty replica at ADDRESS as a voting member, once it has caught up."""
    replicas = cluster.replicas
    try:
        joining = _statuses_of_all({"it": parse_address(address)})["it"]
    except ValueError as error:
        raise InputError(str(error)) from error
    answer = request(replicas, ChangeReplicas("add", joining.id, address), JOIN_TIMEOUT)
    click.echo(f"{joining.id}: {answer_text(answer)}")


@council.command()
@cluster_options
@click.argument("id")
def remove(cluster: ClusterOptions, id: str) -> None:
    """Remove the replica ID from the voting members."""
    answer = request(cluster.replicas, ChangeReplicas("remove", id))
    click.echo(f"{id}: {answer_text(answer)}")


def _statuses(answers: dict[str, Answer]) -> dict[str, ReplicaStatus]:
    return {name: answer for name, answer in answers.items() if isinstance(answer, ReplicaStatus)}


def _statuses_of_all(replicas: Replicas) -> dict[str, ReplicaStatus]:
    """Return the status of every replica.

    Raises:
        click.ClickException: One of the replicas does not answer.
    """
    answers = request_statuses(replicas)
    unanswered = [
        f"{name}: {answer.reason}" for name, answer in answers.items() if isinstance(answer, Unavailable)
    ]
    if unanswered:
        raise click.ClickException("; ".join(unanswered))
    return _statuses(answers)
