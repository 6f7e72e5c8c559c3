"""`thistleline lease`: look at leases, take one for a command, give one up."""

import datetime
import os
import signal
import sys
from contextlib import suppress

import anyio
import click

from thistleline.cli.fleet import ask, tell, voters_of, where, with_council
from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError
from thistleline.lease.protocol import MAX_TTL, MIN_TTL, Break, Describe, Done, LeaseInfo, LeaseList, Release
from thistleline.lease.session import HeldLease, lease

LOST, REFUSED = 75, 69  # exit codes of `take`, as sysexits.h has them: try again; not to be had
LENGTHS = click.FloatRange(MIN_TTL / 1e9, MAX_TTL / 1e9)
GRACE = 0.3  # of the right left when the command is told to end, 1 s at most


@click.group("lease")
def leases() -> None:
    """Names that one process of the fleet holds at a time."""


@leases.command("list")
@where
@click.option("--json", "as_json", is_flag=True)
@click.argument("prefix", default="")
def list_names(conf: str | None, voters: tuple[str, ...], as_json: bool, prefix: str) -> None:
    """All names that are held, those that begin with PREFIX."""
    known, after = voters_of(conf, voters), ""
    while True:
        listed = ask(known, Describe(f"{prefix}*", after))
        assert isinstance(listed, LeaseList)
        for one in listed.leases:
            tell(one, as_json, _line)
        if not listed.leases:
            return
        after = listed.leases[-1].name


@leases.command()
@where
@click.option("--json", "as_json", is_flag=True)
@click.argument("name")
def show(conf: str | None, voters: tuple[str, ...], as_json: bool, name: str) -> None:
    """Who holds NAME, who waits, and its last changes with reason and time."""
    shown = ask(voters_of(conf, voters), Describe(name))
    assert isinstance(shown, LeaseInfo)
    tell(shown, as_json, _words)


def _line(shown: LeaseInfo) -> str:
    return f"{shown.name}  epoch {shown.epoch}  {shown.holder}  {len(shown.waiters)} wait"


def _words(shown: LeaseInfo) -> str:
    held = f"held by {shown.holder} in epoch {shown.epoch}, {shown.ttl / 1e9:g} s long"
    lines = [f"{shown.name}: {held if shown.holder else 'free'}"]
    lines += [f"  waits: {asker}" for asker in shown.waiters]
    for one in shown.history:
        at = datetime.datetime.fromtimestamp(one.wall_ms / 1000, datetime.UTC).isoformat(
            timespec="milliseconds"
        )
        lines.append(f"  {at}  {one.event}  epoch {one.epoch}  {one.holder}  ({one.reason})")
    return "\n".join(lines)


@leases.command(context_settings={"ignore_unknown_options": True})
@where
@click.option("--length", type=LENGTHS, default=10.0, show_default=True, help="Seconds.")
@click.option("--no-wait", is_flag=True, help="End with exit code 69 if another holds it.")
@click.option("--who", default="", help="What others see of the holder; the host's name if not told.")
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def take(
    conf: str | None,
    voters: tuple[str, ...],
    length: float,
    no_wait: bool,
    who: str,
    name: str,
    command: tuple[str, ...],
) -> None:
    """Run COMMAND while NAME is held; its exit code is this one's. LEASE_EPOCH tells it the fencing token.

    It is told to end by SIGTERM while some of the right is left, and is killed before the right is over:
    exit code 75."""

    async def run(council: LeaseClient) -> int:
        try:
            async with lease(council, name, length, not no_wait, who) as held:
                env = {**os.environ, "LEASE_EPOCH": str(held.epoch), "LEASE_NAME": name}
                process = await anyio.open_process(command, stdin=None, stdout=None, stderr=None, env=env)
                try:
                    told_to_end = anyio.Event()
                    async with anyio.create_task_group() as group:
                        group.start_soon(_end_in_time, held, process, told_to_end)
                        code = await process.wait()
                        group.cancel_scope.cancel()
                    return LOST if told_to_end.is_set() else code
                finally:
                    if process.returncode is None:
                        process.kill()
        except LeaseLostError:
            return LOST
        except LeaseRefusedError as error:
            click.echo(f"Error: {name}: {error}", err=True)
            return REFUSED
        except OSError as error:
            click.echo(f"Error: {command[0]}: {error.strerror}", err=True)
            return 127

    sys.exit(with_council(voters_of(conf, voters), run))


async def _end_in_time(held: HeldLease, process: anyio.abc.Process, told_to_end: anyio.Event) -> None:
    """Renewals move the end on. Where they stop, the command gets what is left after the grace began."""
    right = held.remaining()
    grace = min(1.0, GRACE * right)
    while (left := held.remaining()) > grace:
        await anyio.sleep(max(0.01, (left - grace) / 2))
    told_to_end.set()
    with suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)
        while (left := held.remaining()) > grace / 4:
            await anyio.sleep(0.01)
        process.kill()


@leases.command()
@where
@click.argument("name")
@click.argument("holder")
def release(conf: str | None, voters: tuple[str, ...], name: str, holder: str) -> None:
    """Give NAME back for HOLDER, as `show` tells it, or its place in the line; if it is known to be gone."""
    answer = ask(voters_of(conf, voters), Release(name, holder, "released by hand"))
    click.echo(answer.text if isinstance(answer, Done) else str(answer))


@leases.command("break")
@where
@click.option("--epoch", type=int, required=True, help="As `show` tells it; lest the next one is broken.")
@click.option("--reason", required=True)
@click.argument("name")
def break_lease(conf: str | None, voters: tuple[str, ...], epoch: int, reason: str, name: str) -> None:
    """End NAME's lease now. If its holder lives, two may act until its right is over: only a resource
    that checks epochs keeps the old one off."""
    answer = ask(voters_of(conf, voters), Break(name, epoch, reason))
    click.echo(answer.text if isinstance(answer, Done) else str(answer))
