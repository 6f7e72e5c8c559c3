"""`thistleline settings`: add, check, compare and show numbered versions of the servers' settings."""

import difflib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from thistleline.cli.cluster import ClusterOptions, Replicas, cluster_options, read_record, request
from thistleline.cli.common import InputError, json_option, print_result
from thistleline.cli.rollout import read_rollout
from thistleline.lease.protocol import Put
from thistleline.rollout.record import RolloutRecord
from thistleline.supervisor.records import digest_settings, settings_key
from thistleline.supervisor.settings import flatten_settings, unfit_settings

MAX_GAP = 16  # unused numbers in a row, after which the history ends
MAX_NUMBER = 1 << 31
SHORT_DIGEST = 16  # characters of a digest that are printed

_file = click.Path(exists=True, dir_okay=False, path_type=Path)


class SettingsSummary(msgspec.Struct, frozen=True):
    """A version of the settings, as `history` prints it.

    Attributes:
        number: Number of the version.
        digest: SHA-256 of the version's content, hexadecimal.
        role: The version's role in the last rollout; empty if it has none.
    """

    number: int
    digest: str
    role: str


@click.group("settings")
def settings_group() -> None:
    """Store and compare the servers' settings in numbered versions that never change."""


@settings_group.command("add")
@cluster_options
@click.argument("number", type=click.IntRange(1, MAX_NUMBER))
@click.argument("file", type=_file)
def add_settings(cluster: ClusterOptions, number: int, file: Path) -> None:
    """Check FILE and store it as version NUMBER."""
    content = _read_settings(file)
    request(cluster.replicas, Put(settings_key(number), content, 0))
    click.echo(f"settings {number}: {digest_settings(content)}")


@settings_group.command("check")
@click.argument("file", type=_file)
@click.option(
    "--plate",
    type=_file,
    help="A server's configuration, whose limits the settings must fit too.",
)
def check_settings(file: Path, plate: Path | None) -> None:
    """Check whether a server accepts FILE; exit code 2 and the reason if not."""
    content = _read_settings(file, plate)
    click.echo(f"{file}: valid, digest {digest_settings(content)}")


def _read_settings(file: Path, server_configuration: Path | None = None) -> bytes:
    """Return the content of a file with a version of the settings.

    Raises:
        InputError: No server accepts the settings, or no server with this configuration does.
    """
    content = file.read_bytes()
    limits = _read_limits(server_configuration) if server_configuration is not None else None
    fault = unfit_settings(content, limits)
    if fault:
        raise InputError(f"{file}: {fault}")
    return content


def _read_limits(server_configuration: Path) -> Any:
    try:
        return msgspec.json.decode(server_configuration.read_bytes())["limits"]
    except (msgspec.MsgspecError, TypeError, LookupError) as error:
        raise InputError(f"{server_configuration}: can't read 'limits': {error}") from error


@settings_group.command("diff")
@cluster_options
@click.argument("one", type=int)
@click.argument("other", type=int)
def diff_settings(cluster: ClusterOptions, one: int, other: int) -> None:
    """Print the values that differ between two versions, one per line; exit code 1 if any differ."""
    replicas = cluster.replicas
    before = flatten_settings(_stored_settings(replicas, one))
    after = flatten_settings(_stored_settings(replicas, other))
    lines = list(difflib.unified_diff(before, after, str(one), str(other), lineterm="", n=0))
    for line in lines:
        if not line.startswith(("@@", "---", "+++")):
            click.echo(line)
    if lines:
        raise SystemExit(1)


@settings_group.command("show")
@cluster_options
@click.argument("number", type=int)
def show_settings(cluster: ClusterOptions, number: int) -> None:
    """Print version NUMBER of the settings."""
    click.echo(_stored_settings(cluster.replicas, number).decode())


def _stored_settings(replicas: Replicas, number: int) -> bytes:
    stored = read_record(replicas, settings_key(number))
    if not stored.version:
        raise click.ClickException(f"there are no settings {number}")
    return stored.value


@settings_group.command("history")
@cluster_options
@click.option("--from", "first", type=int, default=1, show_default=True)
@json_option
def settings_history(cluster: ClusterOptions, first: int, as_json: bool) -> None:
    """List the stored versions, each with its digest and its role in the last rollout."""
    replicas = cluster.replicas
    rollout = read_rollout(replicas)
    for number, content in _all_settings(replicas, first):
        summary = SettingsSummary(number, digest_settings(content), _role(number, rollout))
        print_result(summary, as_json, _format_summary)


def _all_settings(replicas: Replicas, first: int) -> Iterator[tuple[int, bytes]]:
    """Yield the number and content of all stored settings from `first` on."""
    unused = 0
    number = first
    while unused < MAX_GAP:
        stored = read_record(replicas, settings_key(number))
        if stored.version:
            unused = 0
            yield number, stored.value
        else:
            unused += 1
        number += 1


def _role(number: int, rollout: RolloutRecord | None) -> str:
    if rollout is None:
        return ""
    if number == rollout.version.settings:
        return f"change {rollout.number}: {rollout.phase}"
    if number == rollout.base.settings:
        return f"version that change {rollout.number} started from"
    return ""


def _format_summary(summary: SettingsSummary) -> str:
    return f"{summary.number}  {summary.digest[:SHORT_DIGEST]}  {summary.role}".rstrip()
