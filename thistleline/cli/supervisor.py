"""`thistleline steward` and `thistleline release`: supervise one machine's server, manage its releases."""

from pathlib import Path

import click

from thistleline.cli.common import InputError, json_logger, load_config, required_config_option
from thistleline.store.disk import DiskLockedError
from thistleline.supervisor.errors import ReleaseError, SupervisorError
from thistleline.supervisor.releases import Releases, content_digest


@click.command()
@required_config_option
def steward(conf: str) -> None:
    """Run the supervisor of this machine's server in the foreground; the server outlives it."""
    config = load_config(conf)
    has_replicas = config.council is not None and config.council.voter
    if config.steward is None or config.members is None or not has_replicas:
        raise InputError(
            f"{conf}: a supervisor requires the sections 'steward', 'members' and 'council voter'"
        )
    from thistleline.supervisor.service import run

    try:
        run(config, json_logger(config.members.name))
    except (DiskLockedError, SupervisorError) as error:
        raise InputError(str(error)) from error
    except OSError as error:
        raise click.ClickException(str(error)) from error


@click.group()
def release() -> None:
    """Manage releases: folders with an executable file `run`, identified by a digest of their content."""


@release.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.argument("source", type=click.Path(exists=True, file_okay=False, path_type=Path))
def add(folder: Path, name: str, source: Path) -> None:
    """Copy SOURCE to FOLDER as release NAME; the content under a name never changes."""
    try:
        click.echo(Releases(folder).add(name, source))
    except (ReleaseError, OSError) as error:
        raise click.ClickException(str(error)) from error


@release.command(
    help="""Print the ledger formats that this program reads and writes, as the content of a release's file
    'forms'. With it a change that can't be reverted is refused before the first server is changed."""
)
def forms() -> None:
    """Print the ledger formats of this program in the form of a release's file `forms`."""
    from thistleline.ledger.format import FORMAT_VERSION, READABLE_VERSIONS

    click.echo(f"{' '.join(map(str, READABLE_VERSIONS))} writes {FORMAT_VERSION}")


@release.command("list")
@click.argument("folder", type=click.Path(path_type=Path))
def list_all(folder: Path) -> None:
    """List all releases in FOLDER with their digests."""
    releases = Releases(folder)
    for name in releases.names():
        click.echo(f"{name}  {content_digest(releases.path(name))}")


@release.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.argument("digest")
def verify(folder: Path, name: str, digest: str) -> None:
    """Check that release NAME exists in FOLDER and has DIGEST; exit code 1 if not."""
    try:
        Releases(folder).verify(name, digest)
    except (ReleaseError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{name}: the digest matches")
