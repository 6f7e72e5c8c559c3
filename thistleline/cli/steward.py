"""`thistleline steward` and `thistleline release`: one machine's server, and what it may run."""

from pathlib import Path

import click

from thistleline.cli.fleet import Unusable, conf_of, logger
from thistleline.store.disk import DiskLockedError
from thistleline.supervisor.errors import ReleaseError, SupervisorError
from thistleline.supervisor.releases import Releases, content_digest


@click.command()
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), required=True, help="The settings.")
def steward(conf: str) -> None:
    """Keep this machine's server running, in the foreground. The server outlives it."""
    told = conf_of(conf)
    if told.steward is None or told.members is None or told.council is None or not told.council.voter:
        raise Unusable(f"{conf}: a steward wants the parts 'steward', 'members' and 'council voter'")
    from thistleline.supervisor.service import run

    try:
        run(told, logger(told.members.name))
    except (DiskLockedError, SupervisorError) as error:
        raise Unusable(str(error)) from error
    except OSError as error:
        raise click.ClickException(str(error)) from error


@click.group()
def release() -> None:
    """What servers of this machine may run: folders with a file `run`, known by a digest."""


@release.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.argument("source", type=click.Path(exists=True, file_okay=False, path_type=Path))
def add(folder: Path, name: str, source: Path) -> None:
    """Copy SOURCE to FOLDER as NAME; a name stands for one content for ever."""
    try:
        click.echo(Releases(folder).add(name, source))
    except (ReleaseError, OSError) as error:
        raise click.ClickException(str(error)) from error


@release.command()
def forms() -> None:
    """What the file 'forms' of a release of this program says: the forms of the ledger that it reads and
    writes, so that a change with no way back is refused before the first server."""
    from thistleline.ledger import format as ledger_format

    click.echo(f"{' '.join(map(str, ledger_format.READABLE_VERSIONS))} writes {ledger_format.FORMAT_VERSION}")


@release.command("list")
@click.argument("folder", type=click.Path(path_type=Path))
def list_all(folder: Path) -> None:
    """All releases in FOLDER, with their digests."""
    releases = Releases(folder)
    for name in releases.names():
        click.echo(f"{name}  {content_digest(releases.path(name))}")


@release.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.argument("digest")
def verify(folder: Path, name: str, digest: str) -> None:
    """Exit code 1 unless NAME is there with that DIGEST."""
    try:
        Releases(folder).verify(name, digest)
    except (ReleaseError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{name}: as it is meant")
