"""`thistleline lab`: run a measurement; print, store and plot the measured values."""

import importlib
import json
from pathlib import Path
from types import ModuleType
from typing import Any

import click

LABS = ("ledger", "leases", "members", "roll", "handover", "zones", "scale", "feeds")


@click.command()
@click.argument("name", type=click.Choice(LABS))
@click.option("--quick", is_flag=True, help="Run a tenth of the measurement, in under a minute.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "file", type=click.Path(), help="Write the figures to this file.")
@click.option("--part", "parts", multiple=True, help="Run only this part, where a lab has parts; repeatable.")
@click.option(
    "--plot", type=click.Path(path_type=Path), help="Plot the figures to this file, where a lab has a plot."
)
def lab(
    name: str, quick: bool, seed: int, file: str | None, parts: tuple[str, ...], plot: Path | None
) -> None:
    """Run a measurement and print a table and one JSON line; exit code 1 if a criterion is missed."""
    measurement = importlib.import_module(f"thistleline.lab.{name}")
    if plot is not None and not hasattr(measurement, "plot"):
        raise click.UsageError(f"lab {name} has no plot")
    _check_parts(name, measurement, parts)
    options = {"parts": parts} if parts else {}
    result = measurement.run(quick, seed, lambda text: click.echo(text, err=True), **options)
    _print_table(result)
    line = json.dumps({"lab": name, "quick": quick, "seed": seed, **result})
    click.echo(line)
    if file is not None:
        Path(file).write_text(line + "\n")
    if plot is not None:
        _plot(measurement, result, plot)
    if not result["held"]:
        raise SystemExit(1)


def _check_parts(name: str, measurement: ModuleType, parts: tuple[str, ...]) -> None:
    known = getattr(measurement, "PARTS", ())
    unknown = [part for part in parts if part not in known]
    if unknown:
        raise click.UsageError(
            f"lab {name} has no part {', '.join(unknown)}; there are: {', '.join(known) or 'none'}"
        )


def _print_table(result: dict[str, Any]) -> None:
    """Print the measured values by part of the lab, and whether each criterion was met."""
    for part, figures in result["figures"].items():
        click.echo(part)
        rows = figures.items() if isinstance(figures, dict) else (("", figures),)
        for figure, value in rows:
            click.echo(f"  {figure:28} {value}")
    for criterion, held in result["bars"].items():
        click.echo(f"{'held  ' if held else 'MISSED'} {criterion}")


def _plot(measurement: ModuleType, result: dict[str, Any], path: Path) -> None:
    try:
        measurement.plot(result, path)
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from error
