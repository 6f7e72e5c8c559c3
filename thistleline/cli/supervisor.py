"""`thistleline steward` and `thistleline release`: one machine's server, and what it may run."""

from pathlib import Path

import click

from thistleline.cli.common import InputError, json_logger, load_config, required_config_option
from thistleline.store.disk import DiskLockedError
from thistleline.supervisor.errors import ReleaseError, SupervisorError
from thistleline.supervisor.releases import Releases, content_digest


@click.command()
@required_config_option
def steward(conf: str) -> None:
    """Keep this machine's server running, in the foreground. The server outlives it."""
    config = load_config(conf)
    has_replicas = config.council is not None and config.council.voter
    if config.steward is None or config.members is None or not has_replicas:
        raise InputError(f"{conf}: a steward wants the parts 'steward', 'members' and 'council voter'")
    from thistleline.supervisor.service import run

    try:
        run(config, json_logger(config.members.name))
    except (DiskLockedError, SupervisorError) as error:
        raise InputError(str(error)) from error
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


@release.command(
    help="""What the file 'forms' of a release of this program says: the forms of the ledger that it reads and
    writes, so that a change with no way back is refused before the first server."""
)
def forms() -> None:
    """Print the ledger formats of this program in the form of a release's file `forms`."""
    from thistleline.ledger.format import FORMAT_VERSION, READABLE_VERSIONS

    click.echo(f"{' '.join(map(str, READABLE_VERSIONS))} writes {FORMAT_VERSION}")


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
