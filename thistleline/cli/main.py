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
@click.option("--plate", type=click.Path(), help="The server's configuration; defaults to ROUTER_CONFIG.")
@click.option("--conf", type=click.Path(), help="Settings file; defaults to THISTLELINE_CONF.")
def serve(plate: str | None, conf: str | None) -> None:
    """Run one server in the foreground."""
    for name, path in (("ROUTER_CONFIG", plate), ("THISTLELINE_CONF", conf)):
        if path is not None:
            os.environ[name] = path
    os.execv(sys.executable, [sys.executable, "-m", "thistleline"])


@entry.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Check a settings file and print every fault with its line; exit code 2 if there are any."""
    try:
        config = read_config(file)
    except ConfigError as error:
        for line in error.lines:
            click.echo(line, err=True)
        raise SystemExit(2) from error
    click.echo(f"{file}: {config}")


class LazyCommand(click.Group):
    """A command, or a group of commands, whose module is imported only when it is called.

    The help text is repeated here, so that the list of all commands imports none of the modules.
    """

    def __init__(self, name: str, module: str, attribute: str, help: str) -> None:
        """Describe the command.

        Args:
            name: Name of the command on the command line.
            module: Full name of the module that defines it.
            attribute: Name of the command object in that module.
            help: The command's line in the list of all commands.
        """
        super().__init__(name, help=help, invoke_without_command=True)
        self.module = module
        self.attribute = attribute

    def load(self) -> click.Command:
        """Import the module and return the command."""
        command: click.Command = getattr(importlib.import_module(self.module), self.attribute)
        return command

    def make_context(self, *args: Any, **options: Any) -> click.Context:
        """Make a context of the loaded command, as click does."""
        return self.load().make_context(*args, **options)

    def invoke(self, context: click.Context) -> Any:
        """Invoke the loaded command."""
        return self.load().invoke(context)


# Of each command: its name, module in this package, attribute, and line in the list of all commands.
LAZY_COMMANDS = (
    ("ledger", "ledger", "ledger", "Inspect, verify or compact a ledger's folder."),
    (
        "council",
        "consensus",
        "council",
        "Run a replica of the consensus cluster; query or change the cluster.",
    ),
    ("members", "membership", "members", "Run a member of the fleet; list all members."),
    ("steward", "supervisor", "steward", "Run the supervisor of a machine's server."),
    ("release", "supervisor", "release", "Manage the releases that a supervisor may run."),
    ("conductor", "rollout", "conductor", "Run a rollout controller."),
    ("roll", "rollout", "roll", "Roll out a release or settings to the fleet, in stages."),
    ("settings", "settings", "settings_group", "Manage numbered versions of the servers' settings."),
    ("lease", "lease", "leases", "Inspect, hold or end leases."),
    ("feed", "feed", "feed", "Run a keeper or relay of the config feed; change or read the feed."),
)

entry.add_command(lab)
for name, module, attribute, help_line in LAZY_COMMANDS:
    entry.add_command(LazyCommand(name, f"thistleline.cli.{module}", attribute, help_line))


def main(arguments: list[str]) -> Any:
    """Run the command line; ends the process with the command's exit code, as click does."""
    return entry.main(args=arguments, prog_name="thistleline")
