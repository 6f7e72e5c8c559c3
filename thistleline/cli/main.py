"""`thistleline SUB ...`, also as `python -m thistleline SUB ...`."""

import importlib
import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from thistleline.config.loader import ConfigError, read_config

LABS = ("ledger", "leases", "members", "roll", "handover", "zones", "scale", "feeds")


@click.group()
def entry() -> None:
    """Overload control inside each server of a fleet."""


@entry.command()
@click.option("--plate", type=click.Path(), help="The server's configuration, else ROUTER_CONFIG.")
@click.option("--conf", type=click.Path(), help="Settings of the new parts, else THISTLELINE_CONF.")
def serve(plate: str | None, conf: str | None) -> None:
    """Run one server in the foreground."""
    for name, path in (("ROUTER_CONFIG", plate), ("THISTLELINE_CONF", conf)):
        if path is not None:
            os.environ[name] = path
    os.execv(sys.executable, [sys.executable, "-m", "thistleline"])


@entry.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Check a file of settings; every fault with its line, exit code 2 if there are any."""
    try:
        conf = read_config(file)
    except ConfigError as faulty:
        for line in faulty.lines:
            click.echo(line, err=True)
        raise SystemExit(2) from faulty
    click.echo(f"{file}: {conf}")


@entry.group()
def ledger() -> None:
    """Look at a ledger's folder while no server has it."""


@ledger.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON line an effect.")
def inspect(folder: Path, as_json: bool) -> None:
    """List the effects that a server would find there."""
    from thistleline.cli.ledger import look

    with look(folder) as (_, found, _):
        for one in found:
            facts = {
                "number": one.number,
                "stage": one.stage,
                "key": one.digest.hex(),
                "id": one.attempt_id.decode("ascii", "replace"),
                "left_ms": one.remaining // 1_000_000,
                "how": one.outcome,
                "result_bytes": None if one.result is None else len(one.result),
            }
            words = "  ".join(f"{name} {value}" for name, value in facts.items())
            click.echo(json.dumps(facts) if as_json else words)


@ledger.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def verify(folder: Path) -> None:
    """Read every segment; exit code 1 where bytes in the middle of one can't be read."""
    from thistleline.cli.ledger import look

    with look(folder) as (ledger, _, readings):
        for one in readings:
            state = "damaged" if one.damaged_bytes else ("torn at its end" if one.torn else "whole")
            click.echo(f"segment {one.segment}: {one.size} bytes, {one.intents} intents, "
                       f"{one.outcomes} outcomes, {state}, {one.damaged_bytes} bytes unread")  # fmt: skip
        click.echo(f"{len(ledger.effects)} effects still matter")
        if any(one.damaged_bytes for one in readings):
            raise SystemExit(1)


@ledger.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def compact(folder: Path) -> None:
    """Write what still matters into one segment and remove the others."""
    from thistleline.cli.ledger import look, rewrite

    with look(folder) as (ledger, found, readings):
        before = sum(one.size for one in readings)
        click.echo(
            f"{before} bytes before, {rewrite(folder, ledger, found)} after, {len(ledger.effects)} effects"
        )


class Late(click.Group):
    """Commands whose modules are imported only once one of them is called."""

    def __init__(self, name: str, module: str, attribute: str, help: str) -> None:
        super().__init__(name, help=help, invoke_without_command=True)
        self.module, self.attribute = module, attribute

    def main_group(self) -> click.Command:
        found: click.Command = getattr(importlib.import_module(self.module), self.attribute)
        return found

    def make_context(self, *told: Any, **more: Any) -> click.Context:
        return self.main_group().make_context(*told, **more)

    def invoke(self, context: click.Context) -> Any:
        return self.main_group().invoke(context)


entry.add_command(Late("council", "thistleline.cli.council", "council", "Run a voter; ask the council."))
entry.add_command(Late("members", "thistleline.cli.members", "members", "Be a member; see who is."))
entry.add_command(Late("steward", "thistleline.cli.steward", "steward", "Keep a machine's server running."))
entry.add_command(Late("release", "thistleline.cli.steward", "release", "What a steward may run."))
entry.add_command(Late("conductor", "thistleline.cli.roll", "conductor", "Lead changes of the fleet."))
entry.add_command(Late("roll", "thistleline.cli.roll", "roll", "A change through the fleet, in stages."))
entry.add_command(Late("settings", "thistleline.cli.roll", "settings_group", "Numbered settings."))
entry.add_command(Late("lease", "thistleline.cli.lease", "leases", "Names that one process holds at a time."))
entry.add_command(Late("feed", "thistleline.cli.feed", "feed", "Configuration as a change feed."))


@entry.command()
@click.argument("name", type=click.Choice(LABS))
@click.option("--quick", is_flag=True, help="A tenth, under a minute.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "file", type=click.Path(), help="Keep the figures there.")
@click.option("--part", "parts", multiple=True, help="These parts alone, where a lab has parts.")
@click.option("--plot", type=click.Path(path_type=Path), help="Draw them there, where a lab has a plot.")
def lab(
    name: str, quick: bool, seed: int, file: str | None, parts: tuple[str, ...], plot: Path | None
) -> None:
    """Run a measurement: a table, one JSON line, exit code 1 if a bar is missed."""
    measurement = importlib.import_module(f"thistleline.lab.{name}")
    if plot is not None and not hasattr(measurement, "plot"):
        raise click.UsageError(f"lab {name} has no plot")
    unknown = [one for one in parts if one not in getattr(measurement, "PARTS", ())]
    if unknown:
        known = ", ".join(getattr(measurement, "PARTS", ())) or "none"
        raise click.UsageError(f"lab {name} has no part {', '.join(unknown)}; there are: {known}")
    more = {"parts": parts} if parts else {}
    told = measurement.run(quick, seed, lambda text: click.echo(text, err=True), **more)
    for part, figures in told["figures"].items():
        click.echo(part)
        for figure, value in figures.items() if isinstance(figures, dict) else (("", figures),):
            click.echo(f"  {figure:28} {value}")
    for bar, held in told["bars"].items():
        click.echo(f"{'held  ' if held else 'MISSED'} {bar}")
    line = json.dumps({"lab": name, "quick": quick, "seed": seed, **told})
    click.echo(line)
    if file is not None:
        Path(file).write_text(line + "\n")
    if plot is not None:
        try:
            measurement.plot(told, plot)
        except (OSError, ValueError) as error:
            raise click.ClickException(f"{plot}: {error}") from error
    if not told["held"]:
        raise SystemExit(1)


def main(words: list[str]) -> Any:
    return entry.main(args=words, prog_name="thistleline")
