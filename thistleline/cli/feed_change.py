"""`thistleline feed put`: propose changes to the feed."""

import os
from pathlib import Path

import anyio
import click
import orjson

from thistleline.cli.common import InputError, json_option, print_result
from thistleline.cli.feed_servers import (
    ServerOptions,
    Servers,
    encoding_faults,
    server_options,
    timeout_type,
)
from thistleline.config_feed.limits import CHANGE_ITEMS_LIMIT, CHANGE_SIZE_LIMIT
from thistleline.config_feed.messages import Item, Propose
from thistleline.config_feed.operations import propose

MAX_FILE_SIZE = 64 << 20  # bytes of a file of entries
MAX_VERSION_DIGITS = 17


class ChangeParser:
    """Collects the changes that a command's arguments describe, and every fault in the arguments.

    Attributes:
        items: Keys with their new values as compact JSON; None deletes the key.
        expected: Keys with the versions that they must have for the change to be made.
        faults: Descriptions of the faults in the arguments, one line each.
    """

    def __init__(self) -> None:
        """Start without changes."""
        self.items: list[Item] = []
        self.expected: list[tuple[str, int]] = []
        self.faults: list[str] = []

    def add_entries(self, arguments: tuple[str, ...]) -> None:
        """Add arguments of the form `KEY=JSON`."""
        for argument in arguments:
            key, separator, value = argument.partition("=")
            if not separator:
                self.faults.append(f"{argument!r} is not of the form KEY=JSON")
                continue
            try:
                self.items.append((key, orjson.dumps(orjson.loads(value.encode()))))
            except orjson.JSONDecodeError as error:
                self.faults.append(f"{key}: {error}")

    def add_deletions(self, keys: tuple[str, ...]) -> None:
        """Add keys to delete."""
        self.items += [(key, None) for key in keys]

    def add_expectations(self, arguments: tuple[str, ...]) -> None:
        """Add arguments of the form `KEY=VERSION`."""
        for argument in arguments:
            key, _, version = argument.rpartition("=")
            is_number = version.isascii() and version.isdecimal() and len(version) <= MAX_VERSION_DIGITS
            if not key or not is_number:
                self.faults.append(f"{argument!r} is not of the form KEY=VERSION")
            else:
                self.expected.append((key, int(version)))

    def add_file(self, path: Path) -> None:
        """Add the entries of a file: each line is a JSON object with `key` and `value`; null deletes the key.

        Raises:
            InputError: The file is too large or can't be read.
        """
        for number, line in enumerate(_read_lines(path), 1):
            if line.strip():
                self._add_line(f"{path}:{number}", line)

    def _add_line(self, location: str, line: bytes) -> None:
        try:
            entry = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            self.faults.append(f"{location}: {error}")
            return
        if not isinstance(entry, dict) or not isinstance(entry.get("key"), str) or "value" not in entry:
            self.faults.append(f"{location}: expected an object with 'key' and 'value'")
            return
        value = entry["value"]
        self.items.append((entry["key"], None if value is None else orjson.dumps(value)))

    def check(self, request_id: str, in_parts: bool) -> None:
        """Check the change as a whole and add its faults."""
        item_keys = [key for key, _ in self.items]
        expected_keys = [key for key, _ in self.expected]
        self.faults += encoding_faults((request_id, *item_keys, *expected_keys))
        if not self.items and not self.faults:
            self.faults.append("nothing to change: give KEY=JSON, --delete or --file")
        if in_parts and self.expected:
            self.faults.append("--expect applies to a single change and can't be combined with --in-parts")


def _read_lines(path: Path) -> list[bytes]:
    try:
        if path.stat().st_size > MAX_FILE_SIZE:
            raise InputError(f"{path}: the file is larger than {MAX_FILE_SIZE} bytes")
        return path.read_bytes().splitlines()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error


@click.command(
    help="""Propose one change: all of its entries take effect together, or none does. Exit code 1 if it is
    refused, or if it is unknown whether it was made."""
)
@server_options
@click.argument("entries", nargs=-1, metavar="KEY=JSON ...")
@click.option("--delete", multiple=True, metavar="KEY", help="Delete the entry of KEY.")
@click.option(
    "--expect",
    multiple=True,
    metavar="KEY=VERSION",
    help="Make the change only if KEY has VERSION; 0 for no entry.",
)
@click.option(
    "--file", type=click.Path(dir_okay=False, path_type=Path), help="Entries as `export` prints them."
)
@click.option("--in-parts", is_flag=True, help="Split into as many changes as the limits require.")
@click.option(
    "--request", default="", help="Request id, by which a retry is not made twice; random by default."
)
@click.option("--span", type=timeout_type, default=10.0, show_default=True, help="Timeout in seconds.")
@json_option
def put(
    servers: ServerOptions,
    entries: tuple[str, ...],
    delete: tuple[str, ...],
    expect: tuple[str, ...],
    file: Path | None,
    in_parts: bool,
    request: str,
    span: float,
    as_json: bool,
) -> None:
    """Propose one change or, with `--in-parts`, as many as the limits of a change require."""
    change = ChangeParser()
    change.add_entries(entries)
    change.add_deletions(delete)
    if file is not None:
        change.add_file(file)
    change.add_expectations(expect)
    change.check(request, in_parts)
    keepers = servers.find("keeper", "up")
    if change.faults:
        raise InputError("\n".join(change.faults))
    request_id = request or os.urandom(8).hex()
    for proposal in _proposals(request_id, change, in_parts):
        _propose(keepers, proposal, request_id, span, as_json)


def _proposals(request_id: str, change: ChangeParser, in_parts: bool) -> list[Propose]:
    """Return the changes to propose; the parts of a split change have numbered request ids."""
    if not in_parts:
        return [Propose(request_id, tuple(change.items), tuple(change.expected))]
    return [
        Propose(f"{request_id}.{index}", part, ()) for index, part in enumerate(split_items(change.items))
    ]


def _propose(keepers: Servers, proposal: Propose, request_id: str, timeout: float, as_json: bool) -> None:
    """Propose one change and print its number.

    Raises:
        click.ClickException: The change was refused, or it is unknown whether it was made.
    """
    answer = anyio.run(propose, keepers, proposal, timeout)
    if as_json or answer.sequence:
        print_result(answer, as_json, lambda result: f"change {result.sequence}")
    if answer.unknown:
        raise click.ClickException(
            f"it is unknown whether the change was made: {answer.reason}\n"
            f"repeat the command with --request {request_id} to find out"
        )
    if not answer.sequence:
        raise click.ClickException(answer.reason)


def split_items(items: list[Item]) -> list[tuple[Item, ...]]:
    """Split items, in their order, into parts within the limits of one change."""
    parts: list[tuple[Item, ...]] = []
    part: list[Item] = []
    part_size = 0
    for key, value in items:
        size = len(key.encode("utf-8", "replace")) + len(value or b"")
        if part and (len(part) >= CHANGE_ITEMS_LIMIT or part_size + size > CHANGE_SIZE_LIMIT):
            parts.append(tuple(part))
            part = []
            part_size = 0
        part.append((key, value))
        part_size += size
    parts.append(tuple(part))
    return parts
