"""`thistleline lease`: inspect leases, run a command under one, release or break one."""

import os
import signal
import sys
from contextlib import suppress

import anyio
import click

from thistleline.cli.cluster import (
    ClusterOptions,
    answer_text,
    cluster_options,
    request,
    request_as,
    run_with_client,
)
from thistleline.cli.common import format_wall_time, json_option, print_result
from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError
from thistleline.lease.protocol import MAX_TTL, MIN_TTL, Break, Describe, LeaseInfo, LeaseList, Release
from thistleline.lease.session import HeldLease, lease

# Exit codes of `take`, as defined by sysexits.h and the shell.
EXIT_LOST = 75  # temporary failure: the lease was lost, a retry may succeed
EXIT_REFUSED = 69  # unavailable: the lease was refused
EXIT_NO_COMMAND = 127  # the command can't be started

TTL_SECONDS = click.FloatRange(MIN_TTL / 1e9, MAX_TTL / 1e9)
GRACE_FRACTION = 0.3  # part of the lease's remaining time in which the command may end after SIGTERM
MAX_GRACE = 1.0  # s; longest time in which the command may end after SIGTERM
KILL_FRACTION = 0.25  # part of the grace period that is left when the command is killed
GRACE_POLL = 0.01  # s; shortest time between two checks of the lease's remaining time


@click.group("lease")
def leases() -> None:
    """Inspect, hold or end leases: names that one process of the fleet holds at a time."""


@leases.command("list")
@cluster_options
@json_option
@click.argument("prefix", default="")
def list_names(cluster: ClusterOptions, as_json: bool, prefix: str) -> None:
    """List the held leases whose names begin with PREFIX."""
    replicas = cluster.replicas
    last_name = ""
    while True:
        page = request_as(LeaseList, replicas, Describe(f"{prefix}*", last_name))
        for info in page.leases:
            print_result(info, as_json, _format_line)
        if not page.leases:
            return
        last_name = page.leases[-1].name


@leases.command()
@cluster_options
@json_option
@click.argument("name")
def show(cluster: ClusterOptions, as_json: bool, name: str) -> None:
    """Print the holder of NAME, the waiters, and the last changes with reason and time."""
    print_result(request_as(LeaseInfo, cluster.replicas, Describe(name)), as_json, _format_details)


def _format_line(info: LeaseInfo) -> str:
    return f"{info.name}  epoch {info.epoch}  {info.holder}  {len(info.waiters)} wait"


def _format_details(info: LeaseInfo) -> str:
    held = f"held by {info.holder} in epoch {info.epoch}, TTL {info.ttl / 1e9:g} s"
    lines = [f"{info.name}: {held if info.holder else 'free'}"]
    lines += [f"  waits: {holder_id}" for holder_id in info.waiters]
    for entry in info.history:
        at = format_wall_time(entry.wall_ms)
        lines.append(f"  {at}  {entry.event}  epoch {entry.epoch}  {entry.holder}  ({entry.reason})")
    return "\n".join(lines)


@leases.command(
    context_settings={"ignore_unknown_options": True},
    help="""Run COMMAND while holding the lease NAME, and exit with its exit code. The variable LEASE_EPOCH
    holds the fencing token.

    If the lease is about to end, COMMAND gets a SIGTERM and is killed before the end of the lease; the exit
    code is then 75.""",
)
@cluster_options
@click.option("--length", type=TTL_SECONDS, default=10.0, show_default=True, help="Seconds.")
@click.option("--no-wait", is_flag=True, help="Exit with code 69 if another process holds the lease.")
@click.option("--who", default="", help="Name of the holder that others see; defaults to the host name.")
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def take(
    cluster: ClusterOptions,
    length: float,
    no_wait: bool,
    who: str,
    name: str,
    command: tuple[str, ...],
) -> None:
    """Run a command under a lease and end with its exit code."""

    async def run(client: LeaseClient) -> int:
        try:
            async with lease(client, name, length, not no_wait, who) as held:
                return await _run_command(held, name, command)
        except LeaseLostError:
            return EXIT_LOST
        except LeaseRefusedError as error:
            click.echo(f"Error: {name}: {error}", err=True)
            return EXIT_REFUSED
        except OSError as error:
            click.echo(f"Error: {command[0]}: {error.strerror}", err=True)
            return EXIT_NO_COMMAND

    sys.exit(run_with_client(cluster.replicas, run))


async def _run_command(held: HeldLease, name: str, command: tuple[str, ...]) -> int:
    """Run a command until it ends or the lease runs out; return the exit code."""
    env = {**os.environ, "LEASE_EPOCH": str(held.epoch), "LEASE_NAME": name}
    process = await anyio.open_process(command, stdin=None, stdout=None, stderr=None, env=env)
    try:
        expiring = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_end_before_expiry, held, process, expiring)
            exit_code = await process.wait()
            group.cancel_scope.cancel()
        return EXIT_LOST if expiring.is_set() else exit_code
    finally:
        if process.returncode is None:
            process.kill()


async def _end_before_expiry(held: HeldLease, process: anyio.abc.Process, expiring: anyio.Event) -> None:
    """End the command before the lease ends: by SIGTERM, then, after a grace period, by SIGKILL.

    Each renewal of the lease postpones both signals. Sets `expiring` before the SIGTERM.
    """
    grace = min(MAX_GRACE, GRACE_FRACTION * held.remaining())
    while (remaining := held.remaining()) > grace:
        await anyio.sleep(max(GRACE_POLL, (remaining - grace) / 2))
    expiring.set()
    with suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)
        while held.remaining() > grace * KILL_FRACTION:
            await anyio.sleep(GRACE_POLL)
        process.kill()


@leases.command()
@cluster_options
@click.argument("name")
@click.argument("holder")
def release(cluster: ClusterOptions, name: str, holder: str) -> None:
    """Release the lease NAME of a HOLDER that is known to be gone, or remove HOLDER from the waiters.

    HOLDER is an id as `show` prints it.
    """
    click.echo(answer_text(request(cluster.replicas, Release(name, holder, "released by hand"))))


@leases.command(
    "break",
    help="""End the lease NAME now. A holder that is still alive may act beside the next one until its TTL has
    passed: only a resource that checks epochs rejects the old holder.""",
)
@cluster_options
@click.option(
    "--epoch", type=int, required=True, help="Epoch that `show` prints, so that no later lease is broken."
)
@click.option("--reason", required=True)
@click.argument("name")
def break_lease(cluster: ClusterOptions, epoch: int, reason: str, name: str) -> None:
    """End a lease by an operator's decision."""
    click.echo(answer_text(request(cluster.replicas, Break(name, epoch, reason))))
