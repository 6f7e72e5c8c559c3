"""`thistleline feed`: a keeper or a relay, changes, and what is held."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec
import orjson

from thistleline.cli.fleet import Unusable, conf_of, logger, named, tell
from thistleline.config_feed.client import FeedClient
from thistleline.config_feed.limits import CHANGE_ITEMS_LIMIT, CHANGE_SIZE_LIMIT
from thistleline.config_feed.lookups import is_encodable
from thistleline.config_feed.messages import Item, Propose, ReadResult
from thistleline.config_feed.operations import export_table, propose, read_each
from thistleline.config_feed.table import REQUEST_PREFIX
from thistleline.transport.address import Address

SPAN = click.FloatRange(0.1, 3600.0)
LOOK_BOUND = 100  # keys asked for at once
LINES_BOUND = 64 << 20  # bytes of a file of entries


@click.group(invoke_without_command=True)
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
@click.pass_context
def feed(context: click.Context, conf: str | None) -> None:
    """Run a keeper or a relay in the foreground; with a word, change or look at what the feed carries."""
    if context.invoked_subcommand is None:
        _serve(conf)


@feed.command()
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
def serve(conf: str | None) -> None:
    """Run a keeper or a relay in the foreground."""
    _serve(conf)


def _serve(conf: str | None) -> None:
    if conf is None:
        raise Unusable("--conf names no file")
    told = conf_of(conf)
    if told.feed is None or told.feed.role is None or told.feed.name is None:
        raise Unusable(f"{conf}: a keeper or a relay wants 'feed role', and what goes with it")
    from thistleline.config_feed.service import run
    from thistleline.store.disk import DiskLockedError

    try:
        run(told.feed, told.council, logger(told.feed.name))
    except DiskLockedError as error:
        raise Unusable(str(error)) from error
    except OSError as error:
        where = ", ".join(str(one) for one in (told.feed.folder, told.feed.listen) if one)
        raise click.ClickException(f"{where}: {error.strerror or error}") from error


def where(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options that say whom to ask."""
    conf = click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
    at = click.option("--at", multiple=True, help="name=address of one to ask, once for each.")
    return conf(at(command))


def _servers(conf: str | None, at: tuple[str, ...], *parts: str) -> dict[str, Address]:
    """By `--at name=address`, else by the file's lines of the first of these parts that has some."""
    found = named(at)
    if not found and conf is not None:
        told = conf_of(conf).feed
        for part in parts:
            found = found or (dict(getattr(told, part)) if told is not None else {})
    if not found:
        lines = " or ".join(f"'feed {part}'" for part in parts)
        raise Unusable(f"who is to be asked? --at name=address, or --conf with lines {lines}")
    return found


# ---- changes


@feed.command()
@where
@click.argument("entries", nargs=-1, metavar="KEY=JSON ...")
@click.option("--delete", multiple=True, metavar="KEY", help="Take the entry away.")
@click.option("--expect", multiple=True, metavar="KEY=VERSION", help="Only if it has it; 0: not there.")
@click.option("--file", type=click.Path(dir_okay=False, path_type=Path), help="Entries as of `export`.")
@click.option("--in-parts", is_flag=True, help="As many changes as it takes, each within the bounds.")
@click.option("--request", default="", help="The same again is the same change; made if not told.")
@click.option("--span", type=SPAN, default=10.0, show_default=True, help="Seconds to be sure.")
@click.option("--json", "as_json", is_flag=True)
def put(
    conf: str | None,
    at: tuple[str, ...],
    entries: tuple[str, ...],
    delete: tuple[str, ...],
    expect: tuple[str, ...],
    file: Path | None,
    in_parts: bool,
    request: str,
    span: float,
    as_json: bool,
) -> None:
    """One change: all of its entries count from one moment on, or none. Exit code 1 if it is refused, or it
    is not known whether it was made."""
    faults: list[str] = []
    items: list[Item] = []
    for one in entries:
        key, found, value = one.partition("=")
        if not found:
            faults.append(f"{one!r} is no KEY=JSON")
        else:
            items += _item(key, value.encode(), faults)
    items += [(key, None) for key in delete]
    if file is not None:
        items += _items_of(file, faults)
    expected = []
    for one in expect:
        key, _, version = one.rpartition("=")
        if not key or not (version.isascii() and version.isdecimal() and len(version) < 18):
            faults.append(f"{one!r} is no KEY=VERSION")
        else:
            expected.append((key, int(version)))
    faults += _no_text((request, *(key for key, _ in items), *(key for key, _ in expected)))
    if not items and not faults:
        faults.append("there is nothing to change: KEY=JSON, --delete or --file")
    if in_parts and expected:
        faults.append("--expect counts for one change, not for --in-parts")
    keepers = _servers(conf, at, "keeper", "up")
    if faults:
        raise Unusable("\n".join(faults))
    request = request or os.urandom(8).hex()
    parts = _parts(items) if in_parts else [tuple(items)]
    for place, part in enumerate(parts):
        name = f"{request}.{place}" if in_parts else request
        answer = anyio.run(propose, keepers, Propose(name, part, tuple(expected)), span)
        if as_json or answer.sequence:
            tell(answer, as_json, lambda told: f"change {told.sequence}")
        if answer.unknown:
            raise click.ClickException(
                f"it is not known whether it was made: {answer.reason}\n"
                f"the same again with --request {request} finds out"
            )
        if not answer.sequence:
            raise click.ClickException(answer.reason)


def _no_text(words: tuple[str, ...]) -> list[str]:
    """Of arguments whose bytes are no UTF-8: they go over no link."""
    return [f"{word!r} is no text" for word in words if not is_encodable(word)]


def _item(key: str, value: bytes, faults: list[str]) -> list[Item]:
    """A value goes out as compact JSON."""
    try:
        return [(key, orjson.dumps(orjson.loads(value)))]
    except orjson.JSONDecodeError as error:
        faults.append(f"{key}: {error}")
    return []


def _items_of(file: Path, faults: list[str]) -> list[Item]:
    """A JSON object a line with `key` and `value`; null takes the entry away."""
    try:
        if file.stat().st_size > LINES_BOUND:
            raise Unusable(f"{file}: more than {LINES_BOUND} bytes")
        lines = file.read_bytes().splitlines()
    except OSError as error:
        raise Unusable(f"{file}: {error.strerror}") from error
    items: list[Item] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            told = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            faults.append(f"{file}:{number}: {error}")
            continue
        if not isinstance(told, dict) or not isinstance(told.get("key"), str) or "value" not in told:
            faults.append(f"{file}:{number}: an object with 'key' and 'value' is wanted")
            continue
        items.append((told["key"], None if told["value"] is None else orjson.dumps(told["value"])))
    return items


def _parts(items: list[Item]) -> list[tuple[Item, ...]]:
    parts: list[tuple[Item, ...]] = []
    part: list[Item] = []
    size = 0
    for key, value in items:
        cost = len(key.encode("utf-8", "replace")) + len(value or b"")
        if part and (len(part) >= CHANGE_ITEMS_LIMIT or size + cost > CHANGE_SIZE_LIMIT):
            parts.append(tuple(part))
            part, size = [], 0
        part.append((key, value))
        size += cost
    return [*parts, tuple(part)]


# ---- what is held


@feed.command()
@where
@click.argument("keys", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def get(conf: str | None, at: tuple[str, ...], keys: tuple[str, ...], as_json: bool) -> None:
    """Entries as the one that stands furthest holds them; exit code 1 if one is not there."""
    servers, missing = _servers(conf, at, "up", "keeper"), 0
    faults = _no_text(keys)
    if faults:
        raise Unusable("\n".join(faults))
    for place in range(0, len(keys), LOOK_BOUND):
        asked = keys[place : place + LOOK_BOUND]
        while asked:
            _, found = _newest(servers, asked)
            if not found.items:
                raise click.ClickException(f"{asked[0]} is not told")
            for key, value, version in found.items:
                missing += value is None
                told = value and (
                    value.decode() if key.startswith(REQUEST_PREFIX) else msgspec.json.decode(value)
                )
                facts = {"key": key, "version": version, "number": found.sequence, "value": told}
                tell(facts, as_json, _words)
            asked = asked[len(found.items) :]
    if missing:
        raise SystemExit(1)


def _newest(servers: dict[str, Address], keys: tuple[str, ...] = ()) -> tuple[str, ReadResult]:
    """All are asked, lest one that was cut off answers for the rest."""
    answers = anyio.run(read_each, servers, keys)
    known = [(one.sequence, name, one) for name, one in answers.items() if one is not None]
    if not known:
        raise click.ClickException(f"none of {', '.join(servers)} answers")
    return max(known, key=lambda one: one[:2])[1:]


def _words(told: dict[str, Any]) -> str:
    there = "not there" if told["value"] is None else orjson.dumps(told["value"]).decode()
    return f"{told['key']}  version {told['version']}  {there}"


@feed.command()
@where
@click.option("--json", "as_json", is_flag=True)
def status(conf: str | None, at: tuple[str, ...], as_json: bool) -> None:
    """How each keeper and relay stands; exit code 1 if keepers are asked and none writes."""
    servers = _servers(conf, at, "keeper", "up")
    answers = anyio.run(read_each, servers)
    for name in sorted(answers):
        one = answers[name]
        if one is None:
            tell({"name": name, "why": "no answer"}, as_json, lambda told: f"{told['name']}  no answer")
            continue
        facts = {"name": name, "number": one.sequence, "digest": one.digest.hex(), "phase": one.phase,
                 "epoch": one.epoch, "holds": one.is_writer, **one.counters}  # fmt: skip
        tell(facts, as_json, lambda told: "  ".join(f"{word} {value}" for word, value in told.items()))
    known = [one for one in answers.values() if one is not None]
    keepers = len(known) < len(servers) or any(one.counters.get("level") == 0 for one in known)
    if keepers and not any(one.is_writer for one in known):
        raise SystemExit(1)


@feed.command()
@where
@click.option("--span", type=SPAN, default=60.0, show_default=True, help="Seconds for all of it.")
def export(conf: str | None, at: tuple[str, ...], span: float) -> None:
    """All entries of one state, a JSON line each, as `put --file` reads them."""
    servers = _servers(conf, at, "up", "keeper")
    name, _ = _newest(servers)
    table = anyio.run(export_table, {name: servers[name]}, span)
    if table is None:
        raise click.ClickException(f"it is not here in {span:g} s")
    out = sys.stdout.buffer
    for key, value, version in table.entries("all"):
        if key.startswith(REQUEST_PREFIX):
            continue  # what the writer keeps of requests is nothing to put
        head = orjson.dumps({"key": key, "version": version})[:-1]
        out.write(head + b',"value":' + value + b"}\n")
    click.echo(f"number {table.sequence}, digest {table.digest('all').hex()}", err=True)


@feed.command()
@where
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), help="Keep the last state there.")
@click.option("--until", type=int, default=None, help="End once this number is reached.")
@click.option("--json", "as_json", is_flag=True)
def follow(
    conf: str | None, at: tuple[str, ...], folder: Path | None, until: int | None, as_json: bool
) -> None:
    """As an instance does; a line for each state: its number, its digest, what was touched."""
    from thistleline.store.disk import DiskLockedError

    servers = _servers(conf, at, "up", "keeper")

    def seen(table: Any, items: Any) -> None:
        touched = None if items is None else [key for key, _, _ in items]
        words = "all" if touched is None else " ".join(touched) or "-"
        facts = {"number": table.sequence, "digest": table.digest("wide").hex(), "touched": touched}
        tell(facts, as_json, lambda told: f"{told['number']}  {told['digest']}  {words}")

    async def run() -> None:
        client = FeedClient(
            f"follow-{os.urandom(4).hex()}", servers, folder=folder, on_state=seen, immediate=True
        )
        async with anyio.create_task_group() as group:
            group.start_soon(client.run)
            group.start_soon(_until_told, group.cancel_scope)
            if until is not None:
                await client.wait_for(until)
                group.cancel_scope.cancel()

    try:
        anyio.run(run)
    except DiskLockedError as error:
        raise Unusable(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"{folder}: {error.strerror or error}") from error


async def _until_told(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return
