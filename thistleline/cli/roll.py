"""`thistleline conductor` and `thistleline roll`: a change through the fleet, and what is asked of it."""

import datetime
import difflib
import signal
import time
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec

from thistleline.cli.fleet import Unusable, ask, conf_of, logger, tell, voters_of, where
from thistleline.lease.protocol import Get, Got, Put
from thistleline.rollout.order import ORDER_KEY, Order, start_fault
from thistleline.rollout.record import RECORD_KEY, RolloutRecord
from thistleline.rollout.stages import STAGES
from thistleline.supervisor.errors import ReleaseError
from thistleline.supervisor.model import Version
from thistleline.supervisor.records import digest_settings, settings_key
from thistleline.supervisor.releases import content_digest, ledger_formats
from thistleline.supervisor.settings import flatten_settings, unfit_settings

FOLLOW = 0.5  # s between two looks
GAP = 16  # numbers without settings, after which there are no more
_roll = msgspec.msgpack.Decoder(RolloutRecord).decode
_order = msgspec.msgpack.Decoder(Order).decode
encode = msgspec.msgpack.Encoder().encode


@click.command()
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), required=True, help="The settings.")
def conductor(conf: str) -> None:
    """Lead changes, in the foreground, whenever no other conductor does."""
    told = conf_of(conf)
    if told.members is None or told.council is None or not told.council.voter:
        raise Unusable(f"{conf}: a conductor wants the parts 'members' and 'council voter'")
    from thistleline.rollout.service import RolloutService

    service = RolloutService(told, logger(told.members.name))

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    try:
        anyio.run(run)
    except OSError as error:
        raise click.ClickException(f"{told.members.listen}: {error.strerror or error}") from error


@click.group()
def roll() -> None:
    """A change of release or settings through the fleet, in stages."""


def _got(voters: dict[str, Any], key: str) -> Got:
    answer = ask(voters, Get(key))
    assert isinstance(answer, Got)
    return answer


def _put(voters: dict[str, Any], what: str, why: str, **more: Any) -> None:
    known = _got(voters, ORDER_KEY)
    number = _order(known.value).number + 1 if known.version else 1
    order = Order(number, what, why, **more)  # type: ignore[arg-type]
    if what == "start" and (fault := start_fault(order)):
        raise Unusable(fault)
    ask(voters, Put(ORDER_KEY, encode(order), known.version))
    click.echo(f"order {number}: {what}; 'roll status' tells what becomes of it")


def version_of(voters: dict[str, Any], release: str | None, settings: int, at: Version) -> Version:
    """`release`: a folder; its name and content. What is not told stays as it is."""
    name, digest, reads, writes = at.release, at.digest, at.readable_formats, at.written_format
    if release is not None:
        try:
            name, digest = Path(release).name, content_digest(Path(release))
            reads, writes = ledger_formats(Path(release))
        except (OSError, ReleaseError) as error:
            raise Unusable(str(error)) from error
    number, settings_digest = at.settings, at.settings_digest
    if settings:
        known = _got(voters, settings_key(settings))
        if not known.version:
            raise Unusable(f"there are no settings {settings}; 'settings add' them first")
        number, settings_digest = settings, digest_settings(known.value)
    return Version(name, digest, number, settings_digest, reads, writes)


@roll.command()
@where
@click.option("--release", type=click.Path(exists=True, file_okay=False), help="Its folder.")
@click.option("--settings", type=int, default=0, help="Number of the settings.")
@click.option("--from-release", type=click.Path(exists=True, file_okay=False), help="What runs now.")
@click.option("--from-settings", type=int, default=0)
@click.option("--stage", "stages", multiple=True, type=click.Choice(STAGES), help="In order; all if none.")
@click.option("--down", default=1, show_default=True, help="Servers down at once, of the whole.")
@click.option("--down-zone", default=1, show_default=True, help="And of a zone.")
@click.option("--reason", default="")
def start(
    conf: str | None,
    voters: tuple[str, ...],
    release: str | None,
    settings: int,
    from_release: str | None,
    from_settings: int,
    stages: tuple[str, ...],
    down: int,
    down_zone: int,
    reason: str,
) -> None:
    """Bring a release or settings to all servers, in stages, back where it does worse."""
    known = voters_of(conf, voters)
    last = _got(known, RECORD_KEY)
    at = Version()
    if last.version:
        before = _roll(last.value)
        at = before.version if before.phase == "done" else before.base
    base = version_of(known, from_release, from_settings, at)
    version = version_of(known, release, settings, base)
    bounds = {"max_down": down, "max_down_per_zone": down_zone}
    _put(known, "start", reason, version=version, base=base, stages=stages or STAGES, **bounds)


def _simple(what: str, text: str) -> None:
    @roll.command(what, help=text)
    @where
    @click.option("--reason", required=what in ("back", "skip"), default=None)
    def command(conf: str | None, voters: tuple[str, ...], reason: str) -> None:
        _put(voters_of(conf, voters), what, reason or "")


_simple("pause", "Change no further server.")
_simple("resume", "Go on; also after 'can't tell'.")
_simple("back", "Take it back.")
_simple("skip", "Go to the next stage without a verdict.")


@roll.command()
@where
@click.option("--json", "as_json", is_flag=True)
@click.option("--follow", is_flag=True, help="A line at each step, until the change is over.")
def status(conf: str | None, voters: tuple[str, ...], as_json: bool, follow: bool) -> None:
    """How far the change is, and why; exit code 1 if there never was one."""
    where_voters = voters_of(conf, voters)
    last: RolloutRecord | None = None
    while True:
        known = _got(where_voters, RECORD_KEY)
        if not known.version:
            click.echo("no change yet")
            raise SystemExit(1)
        now = _roll(known.value)
        if now != last:
            tell(now, as_json, _words)
        last = now
        if not follow or now.is_over:
            return
        time.sleep(FOLLOW)


def _words(roll: RolloutRecord) -> str:
    return (
        f"change {roll.number}: {roll.base.release}/{roll.base.settings} to {roll.version.release}/"
        f"{roll.version.settings}, {roll.phase}, stage {roll.stage}, {len(roll.targets)} servers "
        f"({roll.reason})"
    )


@roll.command()
@where
def history(conf: str | None, voters: tuple[str, ...]) -> None:
    """What was done, when and why."""
    known = _got(voters_of(conf, voters), RECORD_KEY)
    for one in _roll(known.value).history if known.version else ():
        at = datetime.datetime.fromtimestamp(one.at / 1000, datetime.UTC).isoformat(timespec="milliseconds")
        click.echo(f"{at}  {one.step}  {one.reason}")


@click.group("settings")
def settings_group() -> None:
    """Settings in numbered versions that never change."""


@settings_group.command("add")
@where
@click.argument("number", type=click.IntRange(1, 1 << 31))
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def add_settings(conf: str | None, voters: tuple[str, ...], number: int, file: Path) -> None:
    """Keep FILE as version NUMBER, once it is checked."""
    content = _checked(file, None)
    ask(voters_of(conf, voters), Put(settings_key(number), content, 0))
    click.echo(f"settings {number}: {digest_settings(content)}")


def _checked(file: Path, plate: Path | None) -> bytes:
    """Its content. Raises Unusable with the reason where no server could take it."""
    content = file.read_bytes()
    limits = None
    if plate is not None:
        try:
            limits = msgspec.json.decode(plate.read_bytes())["limits"]
        except (msgspec.MsgspecError, TypeError, LookupError) as error:
            raise Unusable(f"{plate}: it has no 'limits': {error}") from error
    fault = unfit_settings(content, limits)
    if fault:
        raise Unusable(f"{file}: {fault}")
    return content


@settings_group.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--plate", type=click.Path(exists=True, dir_okay=False, path_type=Path),
              help="A server's configuration: whether they fit within its limits too.")  # fmt: skip
def check_settings(file: Path, plate: Path | None) -> None:
    """Whether a server could take FILE; exit code 2 and the reason if not."""
    content = _checked(file, plate)
    click.echo(f"{file}: can be taken, {digest_settings(content)}")


def _settings(voters: dict[str, Any], number: int) -> bytes:
    known = _got(voters, settings_key(number))
    if not known.version:
        raise click.ClickException(f"there are no settings {number}")
    return known.value


@settings_group.command("diff")
@where
@click.argument("one", type=int)
@click.argument("other", type=int)
def diff_settings(conf: str | None, voters: tuple[str, ...], one: int, other: int) -> None:
    """What differs between two versions, a value a line; exit code 1 if anything does."""
    known = voters_of(conf, voters)
    before, after = (flatten_settings(_settings(known, number)) for number in (one, other))
    told = list(difflib.unified_diff(before, after, str(one), str(other), lineterm="", n=0))
    for line in told:
        if not line.startswith(("@@", "---", "+++")):
            click.echo(line)
    if told:
        raise SystemExit(1)


@settings_group.command("history")
@where
@click.option("--from", "first", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def settings_history(conf: str | None, voters: tuple[str, ...], first: int, as_json: bool) -> None:
    """The versions that are kept, each with its digest; and which changes brought or bring them."""
    known = voters_of(conf, voters)
    told = _got(known, RECORD_KEY)
    now = _roll(told.value) if told.version else None
    missing = 0
    number = first
    while missing < GAP:
        found = _got(known, settings_key(number))
        if found.version:
            missing = 0
            role = ""
            if now is not None and number == now.version.settings:
                role = f"change {now.number}: {now.phase}"
            elif now is not None and number == now.base.settings:
                role = f"what change {now.number} began from"
            facts = {"number": number, "digest": digest_settings(found.value), "role": role}
            tell(facts, as_json, lambda one: f"{one['number']}  {one['digest'][:16]}  {one['role']}".rstrip())
        else:
            missing += 1
        number += 1


@settings_group.command("show")
@where
@click.argument("number", type=int)
def show_settings(conf: str | None, voters: tuple[str, ...], number: int) -> None:
    """Print version NUMBER."""
    click.echo(_settings(voters_of(conf, voters), number).decode())
