"""`thistleline members`: run a member of the fleet, list all members."""

from typing import Any

import anyio
import click

from thistleline.cli.common import (
    InputError,
    config_option,
    format_fields,
    json_logger,
    json_option,
    load_config,
    print_result,
    service_errors,
)
from thistleline.membership.messages import STATUS_NAMES, MemberFacts, MemberRecord
from thistleline.transport.address import parse_address


@click.group(invoke_without_command=True)
@config_option
@click.option("--release", default="", help="Release that the member announces.")
@click.pass_context
def members(context: click.Context, conf: str | None, release: str) -> None:
    """Run a member of the fleet in the foreground; the subcommand lists all members."""
    if context.invoked_subcommand is None:
        _run_member(conf, release)


def _run_member(config_path: str | None, release: str) -> None:
    settings = load_config(config_path).members
    if settings is None:
        raise InputError(f"{config_path}: a member requires 'members name' and 'members listen'")
    from thistleline.membership.service import run
    from thistleline.store.clock import wall_ms

    with service_errors(settings.listen):
        run(settings, MemberFacts(release, 0, settings.zone, wall_ms()), json_logger(settings.name))


@members.command("list")
@click.option("--at", required=True, help="Address of any member.")
@json_option
@click.option("--span", default=0.3, show_default=True, help="Seconds to wait for its answers.")
def list_all(at: str, as_json: bool, span: float) -> None:
    """List all members as known to the member at an address; exit code 1 if it does not answer."""
    from thistleline.membership.service import fetch_records

    try:
        records = anyio.run(fetch_records, parse_address(at), span)
    except ValueError as error:
        raise InputError(str(error)) from error
    for record in records:
        print_result(_member_fields(record), as_json, format_fields)
    if not records:
        raise SystemExit(1)


def _member_fields(record: MemberRecord) -> dict[str, Any]:
    facts = record.facts
    return {
        "id": record.id,
        "status": STATUS_NAMES[record.status],
        "incarnation": record.incarnation,
        "address": record.address,
        "release": facts.release,
        "settings": facts.settings,
        "zone": facts.zone,
        "born": facts.started_wall_ms,
        "warm": facts.warm,
        "taking": facts.accepting,
        "figures": facts.figures,
        "worth": facts.utility,
    }
