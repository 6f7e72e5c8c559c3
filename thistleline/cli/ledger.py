"""`thistleline ledger`: inspect, verify and compact a ledger's folder while no server uses it."""

from pathlib import Path

import click
import msgspec

from thistleline.cli.common import format_struct, print_result
from thistleline.cli.ledger_folder import open_ledger, rewrite_ledger
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.store import SegmentReading

NS_PER_MS = 1_000_000

folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


class EffectSummary(msgspec.Struct, frozen=True):
    """An effect (a run with an idempotency key), as `inspect` prints it.

    Attributes:
        number: The effect's number.
        stage: Index of the effect's stage (class of requests) among the stages of the server.
        key: Digest of idempotency key and body, hexadecimal.
        id: Id of the attempt.
        left_ms: Milliseconds until the idempotency window ends.
        how: How the run ended; None if that is not known.
        result_bytes: Size of the stored result; None if no result is stored.
    """

    number: int
    stage: int
    key: str
    id: str
    left_ms: int
    how: str | None
    result_bytes: int | None


@click.group()
def ledger() -> None:
    """Inspect, verify or compact a ledger's folder while no server uses it."""


@ledger.command()
@folder_argument
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line per effect.")
def inspect(folder: Path, as_json: bool) -> None:
    """List the effects that a server would recover from FOLDER."""
    with open_ledger(folder) as contents:
        for effect in contents.recovered:
            print_result(_summarize(effect), as_json, format_struct)


def _summarize(effect: RecoveredEffect) -> EffectSummary:
    return EffectSummary(
        number=effect.number,
        stage=effect.stage,
        key=effect.digest.hex(),
        id=effect.attempt_id.decode("ascii", "replace"),
        left_ms=effect.remaining // NS_PER_MS,
        how=effect.outcome,
        result_bytes=None if effect.result is None else len(effect.result),
    )


@ledger.command()
@folder_argument
def verify(folder: Path) -> None:
    """Read every segment of FOLDER; exit code 1 if bytes in the middle of one can't be read."""
    with open_ledger(folder) as contents:
        for reading in contents.readings:
            click.echo(_format_reading(reading))
        click.echo(f"{len(contents.state.effects)} live effects")
        if any(reading.damaged_bytes for reading in contents.readings):
            raise SystemExit(1)


def _format_reading(reading: SegmentReading) -> str:
    return (
        f"segment {reading.segment}: {reading.size} bytes, {reading.intents} intents, "
        f"{reading.outcomes} outcomes, {_condition(reading)}, {reading.damaged_bytes} unreadable bytes"
    )


def _condition(reading: SegmentReading) -> str:
    if reading.damaged_bytes:
        return "damaged"
    return "torn at the end" if reading.torn else "whole"


@ledger.command()
@folder_argument
def compact(folder: Path) -> None:
    """Rewrite the live records of FOLDER as one segment and remove the other segments."""
    with open_ledger(folder) as contents:
        before = sum(reading.size for reading in contents.readings)
        after = rewrite_ledger(folder, contents)
        click.echo(f"{before} bytes before, {after} after, {len(contents.state.effects)} effects")
