"""`thistleline COMMAND ...`, also as `python -m thistleline COMMAND ...`."""

import importlib
import os
import sys
from typing import Any

import click

from thistleline.cli.lab import lab
from thistleline.config.loader import ConfigError, read_config


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
        config = read_config(file)
    except ConfigError as error:
        for line in error.lines:
            click.echo(line, err=True)
        raise SystemExit(2) from error
    click.echo(f"{file}: {config}")


class LazyCommand(click.Group):
    """A command, or a group of them, whose module is imported only once it is called.

    The help text stands here too, so that the list of all commands imports none of them.
    """

    def __init__(self, name: str, module: str, attribute: str, help: str) -> None:
        """Describe the command.

        Args:
            name: As it is called.
            module: Where it is defined.
            attribute: Its name in that module.
            help: Its line in the list of all commands.
        """
        super().__init__(name, help=help, invoke_without_command=True)
        self.module = module
        self.attribute = attribute

    def load(self) -> click.Command:
        """Return the command itself."""
        command: click.Command = getattr(importlib.import_module(self.module), self.attribute)
        return command

    def make_context(self, *args: Any, **options: Any) -> click.Context:
        """Make a context of the command itself, as click does it."""
        return self.load().make_context(*args, **options)

    def invoke(self, context: click.Context) -> Any:
        """Invoke the command itself."""
        return self.load().invoke(context)


# Command, module in this package, attribute, line in the list of all commands.
LAZY_COMMANDS = (
    ("ledger", "ledger", "ledger", "Look at a ledger's folder while no server has it."),
    ("council", "consensus", "council", "Run a voter; ask the council."),
    ("members", "membership", "members", "Be a member; see who is."),
    ("steward", "supervisor", "steward", "Keep a machine's server running."),
    ("release", "supervisor", "release", "What a steward may run."),
    ("conductor", "rollout", "conductor", "Lead changes of the fleet."),
    ("roll", "rollout", "roll", "A change through the fleet, in stages."),
    ("settings", "settings", "settings_group", "Numbered settings."),
    ("lease", "lease", "leases", "Names that one process holds at a time."),
    ("feed", "feed", "feed", "Configuration as a change feed."),
)

entry.add_command(lab)
for name, module, attribute, help_line in LAZY_COMMANDS:
    entry.add_command(LazyCommand(name, f"thistleline.cli.{module}", attribute, help_line))


def main(arguments: list[str]) -> Any:
    """Run the command line; ends the process with the command's exit code, as click does."""
    return entry.main(args=arguments, prog_name="thistleline")
