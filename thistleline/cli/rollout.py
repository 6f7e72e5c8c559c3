"""`thistleline conductor` and `thistleline roll`: run the rollout controller, order rollouts, follow them."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal

import anyio
import click
import msgspec

from thistleline.cli.cluster import ClusterOptions, Replicas, cluster_options, read_record, request
from thistleline.cli.common import (
    InputError,
    cancel_on_signal,
    format_wall_time,
    json_logger,
    json_option,
    load_config,
    print_result,
    required_config_option,
    service_errors,
)
from thistleline.lease.protocol import Put
from thistleline.rollout.order import ORDER_KEY, Order, start_fault
from thistleline.rollout.record import RECORD_KEY, RolloutRecord
from thistleline.rollout.stages import STAGES
from thistleline.supervisor.errors import ReleaseError
from thistleline.supervisor.model import Version
from thistleline.supervisor.records import digest_settings, settings_key
from thistleline.supervisor.releases import content_digest, ledger_formats

FOLLOW_INTERVAL = 0.5  # s between two reads of the rollout's record

_release_folder = click.Path(exists=True, file_okay=False)
_decode_record = msgspec.msgpack.Decoder(RolloutRecord).decode
_decode_order = msgspec.msgpack.Decoder(Order).decode
_encode_order = msgspec.msgpack.Encoder().encode


@click.command()
@required_config_option
def conductor(conf: str) -> None:
    """Run a rollout controller in the foreground; it leads changes while no other controller does."""
    config = load_config(conf)
    if config.members is None or config.council is None or not config.council.voter:
        raise InputError(f"{conf}: a rollout controller requires the sections 'members' and 'council voter'")
    from thistleline.rollout.service import RolloutService

    service = RolloutService(config, json_logger(config.members.name))

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_signal, group.cancel_scope)
            group.start_soon(service.run)

    with service_errors(config.members.listen):
        anyio.run(run)


@click.group()
def roll() -> None:
    """Roll out a release or settings to the fleet, in stages."""


def read_rollout(replicas: Replicas) -> RolloutRecord | None:
    """Return the record of the last rollout, None if there has been none."""
    stored = read_record(replicas, RECORD_KEY)
    return _decode_record(stored.value) if stored.version else None


@roll.command()
@cluster_options
@click.option("--release", type=_release_folder, help="Folder of the new release.")
@click.option("--settings", type=int, default=0, help="Number of the new settings.")
@click.option("--from-release", type=_release_folder, help="Folder of the current release.")
@click.option("--from-settings", type=int, default=0)
@click.option(
    "--stage",
    "stages",
    multiple=True,
    type=click.Choice(STAGES),
    help="A stage; repeat in order, all by default.",
)
@click.option("--down", default=1, show_default=True, help="Maximum of servers down at once in the fleet.")
@click.option("--down-zone", default=1, show_default=True, help="Maximum of servers down at once in a zone.")
@click.option("--reason", default="")
def start(
    cluster: ClusterOptions,
    release: str | None,
    settings: int,
    from_release: str | None,
    from_settings: int,
    stages: tuple[str, ...],
    down: int,
    down_zone: int,
    reason: str,
) -> None:
    """Bring a release or settings to all servers, in stages; go back if the new version does worse."""
    replicas = cluster.replicas
    running = _running_version(read_rollout(replicas))
    base = _change_version(replicas, running, from_release, from_settings)
    version = _change_version(replicas, base, release, settings)

    def make_order(number: int) -> Order:
        return Order(number, "start", reason, version, base, stages or STAGES, down, down_zone)

    _submit(replicas, make_order)


def _running_version(last: RolloutRecord | None) -> Version:
    """Return the version that the fleet runs after its last rollout."""
    if last is None:
        return Version()
    return last.version if last.phase == "done" else last.base


def _change_version(replicas: Replicas, base: Version, release: str | None, settings: int) -> Version:
    """Return a version with another release or other settings.

    Args:
        replicas: Replicas of the consensus cluster that stores the settings.
        base: The version to start from.
        release: Folder of the new release, None to keep that of `base`.
        settings: Number of the new settings, 0 to keep those of `base`.

    Raises:
        InputError: The release can't be read, or the settings do not exist.
    """
    if release is not None:
        base = _with_release(base, Path(release))
    if settings:
        stored = read_record(replicas, settings_key(settings))
        if not stored.version:
            raise InputError(f"there are no settings {settings}; store them with 'settings add' first")
        digest = digest_settings(stored.value)
        base = msgspec.structs.replace(base, settings=settings, settings_digest=digest)
    return base


def _with_release(base: Version, folder: Path) -> Version:
    try:
        digest = content_digest(folder)
        readable_formats, written_format = ledger_formats(folder)
    except (OSError, ReleaseError) as error:
        raise InputError(str(error)) from error
    return msgspec.structs.replace(
        base,
        release=folder.name,
        digest=digest,
        readable_formats=readable_formats,
        written_format=written_format,
    )


def _submit(replicas: Replicas, make_order: Callable[[int], Order]) -> None:
    """Write an order to the replicated log, numbered after the last order.

    Raises:
        InputError: An order to start a rollout is invalid.
    """
    last = read_record(replicas, ORDER_KEY)
    number = _decode_order(last.value).number + 1 if last.version else 1
    order = make_order(number)
    if order.command == "start" and (fault := start_fault(order)):
        raise InputError(fault)
    request(replicas, Put(ORDER_KEY, _encode_order(order), last.version))
    click.echo(f"order {number}: {order.command}; 'roll status' shows its progress")


def _add_order_command(
    name: Literal["pause", "resume", "back", "skip"], help: str, reason_required: bool
) -> None:
    """Add the command for an order whose only option is a reason."""

    @roll.command(name, help=help)
    @cluster_options
    @click.option("--reason", required=reason_required, default=None)
    def command(cluster: ClusterOptions, reason: str | None) -> None:
        _submit(cluster.replicas, lambda number: Order(number, name, reason or ""))


_add_order_command("pause", "Pause the change: no further servers are changed.", reason_required=False)
_add_order_command(
    "resume", "Resume a change that is paused, or whose verdict was 'can't tell'.", reason_required=False
)
_add_order_command(
    "back", "Revert the change: return all servers to the previous version.", reason_required=True
)
_add_order_command("skip", "Go to the next stage without a verdict.", reason_required=True)


@roll.command()
@cluster_options
@json_option
@click.option("--follow", is_flag=True, help="Print a line at each step until the change is over.")
def status(cluster: ClusterOptions, as_json: bool, follow: bool) -> None:
    """Print the progress of the last change and its reason; exit code 1 if there has been none."""
    replicas = cluster.replicas
    printed: RolloutRecord | None = None
    while True:
        record = read_rollout(replicas)
        if record is None:
            click.echo("no change has been started")
            raise SystemExit(1)
        if record != printed:
            print_result(record, as_json, _format_record)
        printed = record
        if not follow or record.is_over:
            return
        time.sleep(FOLLOW_INTERVAL)


def _format_record(record: RolloutRecord) -> str:
    base = f"{record.base.release}/{record.base.settings}"
    version = f"{record.version.release}/{record.version.settings}"
    return (
        f"change {record.number}: {base} to {version}, {record.phase}, stage {record.stage}, "
        f"{len(record.targets)} servers ({record.reason})"
    )


@roll.command()
@cluster_options
def history(cluster: ClusterOptions) -> None:
    """Print the last steps of the change, with their times and reasons."""
    record = read_rollout(cluster.replicas)
    if record is None:
        return
    for entry in record.history:
        click.echo(f"{format_wall_time(entry.at)}  {entry.step}  {entry.reason}")
