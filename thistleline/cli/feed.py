"""`thistleline feed`: run a keeper or relay of the config feed, change the feed, read and follow it."""

import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec
import orjson

from thistleline.cli.common import (
    InputError,
    cancel_on_signal,
    config_option,
    format_fields,
    json_logger,
    json_option,
    load_config,
    print_result,
    service_errors,
)
from thistleline.cli.feed_change import put
from thistleline.cli.feed_servers import (
    ServerOptions,
    Servers,
    encoding_faults,
    read_newest,
    server_options,
    timeout_type,
)
from thistleline.config_feed.client import FeedClient
from thistleline.config_feed.history import Items
from thistleline.config_feed.messages import ReadResult
from thistleline.config_feed.operations import export_table, read_each
from thistleline.config_feed.table import REQUEST_PREFIX, FeedTable

MAX_KEYS = 100  # keys in one read request


class EntrySummary(msgspec.Struct, frozen=True):
    """An entry, as `get` prints it.

    Attributes:
        key: Key of the entry.
        version: Sequence number of the change that set the entry; 0 if the entry does not exist.
        number: Sequence number of the state that was read.
        value: The decoded value; None if the entry does not exist.
    """

    key: str
    version: int
    number: int
    value: Any


class FollowedState(msgspec.Struct, frozen=True):
    """A state of the feed, as `follow` prints it.

    Attributes:
        number: Sequence number of the state's last change.
        digest: Digest of the followed sections, hexadecimal.
        touched: Keys that changed since the previous state; None if the whole state was loaded again.
    """

    number: int
    digest: str
    touched: list[str] | None


@click.group(invoke_without_command=True)
@config_option
@click.pass_context
def feed(context: click.Context, conf: str | None) -> None:
    """Run a keeper or relay of the config feed in the foreground; subcommands change or read the feed."""
    if context.invoked_subcommand is None:
        _serve(conf)


@feed.command()
@config_option
def serve(conf: str | None) -> None:
    """Run a keeper or relay of the config feed in the foreground."""
    _serve(conf)


def _serve(config_path: str | None) -> None:
    config = load_config(config_path)
    settings = config.feed
    if settings is None or settings.role is None or settings.name is None:
        raise InputError(
            f"{config_path}: a keeper or relay requires 'feed name', 'feed role' and the settings of its role"
        )
    from thistleline.config_feed.service import run

    resources = ", ".join(str(resource) for resource in (settings.folder, settings.listen) if resource)
    with service_errors(resources):
        run(settings, config.council, json_logger(settings.name))


feed.add_command(put)


@feed.command()
@server_options
@click.argument("keys", nargs=-1, required=True)
@json_option
def get(servers: ServerOptions, keys: tuple[str, ...], as_json: bool) -> None:
    """Print the entries of KEYS from the server with the newest state. Exit code 1 if one does not exist."""
    addresses = servers.find("up", "keeper")
    faults = encoding_faults(keys)
    if faults:
        raise InputError("\n".join(faults))
    missing = False
    for answer in _read_in_pages(addresses, keys):
        for key, value, version in answer.items:
            missing = missing or value is None
            entry = EntrySummary(key, version, answer.sequence, _decode_value(key, value))
            print_result(entry, as_json, _format_entry)
    if missing:
        raise SystemExit(1)


def _read_in_pages(servers: Servers, keys: tuple[str, ...]) -> Iterator[ReadResult]:
    """Yield answers that together cover the keys, in order; a server may send fewer than requested."""
    for start in range(0, len(keys), MAX_KEYS):
        remaining = keys[start : start + MAX_KEYS]
        while remaining:
            _, newest = read_newest(servers, remaining)
            if not newest.items:
                raise click.ClickException(f"{remaining[0]}: the server returned no entry")
            yield newest
            remaining = remaining[len(newest.items) :]


def _decode_value(key: str, value: bytes | None) -> Any:
    if not value:
        return value
    if key.startswith(REQUEST_PREFIX):
        return value.decode()
    return msgspec.json.decode(value)


def _format_entry(entry: EntrySummary) -> str:
    value = "does not exist" if entry.value is None else orjson.dumps(entry.value).decode()
    return f"{entry.key}  version {entry.version}  {value}"


@feed.command()
@server_options
@json_option
def status(servers: ServerOptions, as_json: bool) -> None:
    """Print the status of each keeper or relay; exit code 1 if keepers are queried and none is the writer."""
    addresses = servers.find("keeper", "up")
    answers = anyio.run(read_each, addresses)
    for name, answer in sorted(answers.items()):
        if answer is None:
            print_result({"name": name, "why": "no answer"}, as_json, _format_no_answer)
        else:
            print_result(_status_fields(name, answer), as_json, format_fields)
    known = [answer for answer in answers.values() if answer is not None]
    keepers_queried = len(known) < len(addresses) or any(
        answer.counters.get("level") == 0 for answer in known
    )
    if keepers_queried and not any(answer.is_writer for answer in known):
        raise SystemExit(1)


def _status_fields(name: str, answer: ReadResult) -> dict[str, Any]:
    return {
        "name": name,
        "number": answer.sequence,
        "digest": answer.digest.hex(),
        "phase": answer.phase,
        "epoch": answer.epoch,
        "holds": answer.is_writer,
        **answer.counters,
    }


def _format_no_answer(fields: dict[str, str]) -> str:
    return f"{fields['name']}  no answer"


@feed.command()
@server_options
@click.option(
    "--span",
    type=timeout_type,
    default=60.0,
    show_default=True,
    help="Timeout of the whole export, in seconds.",
)
def export(servers: ServerOptions, span: float) -> None:
    """Print all entries of one state as JSON lines, in the format that `put --file` reads."""
    addresses = servers.find("up", "keeper")
    name, _ = read_newest(addresses)
    table = anyio.run(export_table, {name: addresses[name]}, span)
    if table is None:
        raise click.ClickException(f"the server sent no complete state within {span:g} s")
    _write_entries(table)
    click.echo(f"number {table.sequence}, digest {table.digest('all').hex()}", err=True)


def _write_entries(table: FeedTable) -> None:
    """Write all entries that `put` accepts, as JSON lines, to standard output."""
    out = sys.stdout.buffer
    for key, value, version in table.entries("all"):
        if key.startswith(REQUEST_PREFIX):
            continue  # the writer's own records of requests are not accepted by `put`
        json_start = orjson.dumps({"key": key, "version": version})[:-1]
        out.write(json_start + b',"value":' + value + b"}\n")


@feed.command()
@server_options
@click.option(
    "--folder", type=click.Path(file_okay=False, path_type=Path), help="Folder that stores the last state."
)
@click.option("--until", type=int, default=None, help="Exit once this sequence number is reached.")
@json_option
def follow(servers: ServerOptions, folder: Path | None, until: int | None, as_json: bool) -> None:
    """Follow the feed as a server does; prints each state's number, digest and changed keys in one line."""
    addresses = servers.find("up", "keeper")

    def print_state(table: FeedTable, items: Items | None) -> None:
        touched = None if items is None else [key for key, _, _ in items]
        state = FollowedState(table.sequence, table.digest("wide").hex(), touched)
        print_result(state, as_json, _format_state)

    async def run() -> None:
        name = f"follow-{os.urandom(4).hex()}"
        client = FeedClient(name, addresses, folder=folder, on_state=print_state, immediate=True)
        async with anyio.create_task_group() as group:
            group.start_soon(client.run)
            group.start_soon(cancel_on_signal, group.cancel_scope)
            if until is not None:
                await client.wait_for(until)
                group.cancel_scope.cancel()

    with service_errors(folder):
        anyio.run(run)


def _format_state(state: FollowedState) -> str:
    touched = "all" if state.touched is None else " ".join(state.touched) or "-"
    return f"{state.number}  {state.digest}  {touched}"
