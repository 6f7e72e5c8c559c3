"""`thistleline members`: be one, see all."""

import anyio
import click

from thistleline.cli.fleet import Unusable, conf_of, logger, tell
from thistleline.membership.messages import STATUS_NAMES, MemberFacts
from thistleline.transport.address import parse_address


@click.group(invoke_without_command=True)
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
@click.option("--release", default="", help="What it says that it runs.")
@click.pass_context
def members(context: click.Context, conf: str | None, release: str) -> None:
    """Be a member in the foreground; with a word, see who is."""
    if context.invoked_subcommand is not None:
        return
    if conf is None:
        raise Unusable("--conf names no file")
    told = conf_of(conf).members
    if told is None:
        raise Unusable(f"{conf}: a member wants 'members name' and 'members listen'")
    from thistleline.membership.service import run
    from thistleline.store.clock import wall_ms

    try:
        run(told, MemberFacts(release, 0, told.zone, wall_ms()), logger(told.name))
    except OSError as error:
        raise click.ClickException(f"{told.listen}: {error.strerror or error}") from error


@members.command("list")
@click.option("--at", required=True, help="The address of any member.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--span", default=0.3, show_default=True, help="Seconds to listen for its answers.")
def list_all(at: str, as_json: bool, span: float) -> None:
    """All members as the one at an address knows them; exit code 1 if nothing came."""
    from thistleline.membership.service import fetch_records

    try:
        words = anyio.run(fetch_records, parse_address(at), span)
    except ValueError as error:
        raise Unusable(str(error)) from error
    for word in words:
        told = {
            "id": word.id,
            "status": STATUS_NAMES[word.status],
            "incarnation": word.incarnation,
            "address": word.address,
            "release": word.facts.release,
            "settings": word.facts.settings,
            "zone": word.facts.zone,
            "born": word.facts.started_wall_ms,
            "warm": word.facts.warm,
            "taking": word.facts.accepting,
            "figures": word.facts.figures,
            "worth": word.facts.utility,
        }
        tell(told, as_json, lambda one: "  ".join(f"{name} {value}" for name, value in one.items()))
    if not words:
        raise SystemExit(1)
