"""`thistleline council`: a voter, and what is asked of all."""

import os
from typing import Any

import click
import msgspec

from thistleline.cli.fleet import Unusable, ask, ask_each, conf_of, logger, tell, voters_of, where
from thistleline.lease.protocol import ChangeReplicas, CreateCluster, Done, ReplicaStatus, Unavailable
from thistleline.transport.address import parse_address


@click.group(invoke_without_command=True)
@click.option("--conf", envvar="THISTLELINE_CONF", type=click.Path(), help="The file of settings.")
@click.pass_context
def council(context: click.Context, conf: str | None) -> None:
    """Run a voter in the foreground; with a word, ask or change the council."""
    if context.invoked_subcommand is not None:
        return
    if conf is None:
        raise Unusable("--conf names no file")
    told = conf_of(conf).council
    if told is None or told.folder is None or told.listen is None or told.name is None:
        raise Unusable(f"{conf}: a voter wants 'council folder', 'council name' and 'council listen'")
    from thistleline.lease.service import run
    from thistleline.store.disk import DiskLockedError
    from thistleline.store.frames import CorruptFrameError

    try:
        run(told, logger(told.name))
    except DiskLockedError as error:
        raise Unusable(str(error)) from error
    except CorruptFrameError as error:
        raise Unusable(
            f"{error}\nwhat this voter has promised is not known. Move the folder away, start it empty, "
            "'council add' it and 'council remove' its old id"
        ) from error
    except OSError as error:
        raise click.ClickException(f"{told.folder}, {told.listen}: {error.strerror or error}") from error


@council.command()
@where
def form(conf: str | None, voters: tuple[str, ...]) -> None:
    """Make a council of voters that are all empty; once, by hand."""
    known = voters_of(conf, voters)
    stands = _all_stand(known)
    formed = {name: one for name, one in stands.items() if one.cluster}
    if formed:
        raise click.ClickException(f"{', '.join(sorted(formed))} has a council already")
    members = tuple(sorted((one.id, _text(known[name])) for name, one in stands.items()))
    told = CreateCluster(os.urandom(8).hex(), members)
    for name in known:
        ask({name: known[name]}, told)
    click.echo(f"council {told.cluster}: {', '.join(id for id, _ in members)}")


@council.command()
@where
@click.option("--json", "as_json", is_flag=True)
def status(conf: str | None, voters: tuple[str, ...], as_json: bool) -> None:
    """How each voter sees itself; exit code 1 if none leads."""
    answers = ask_each(voters_of(conf, voters))
    for name, one in sorted(answers.items()):
        facts = {"voter": name, **msgspec.to_builtins(one)}
        if isinstance(one, ReplicaStatus):
            tell(facts, as_json, lambda told: "  ".join(
                f"{word} {told[word]}" for word in ("voter", "id", "phase", "term", "leader", "committed",
                                                    "last", "leases", "failing")))  # fmt: skip
        else:
            tell(facts, as_json, lambda told: f"voter {told['voter']}  {told.get('why', told)}")
    if not any(isinstance(one, ReplicaStatus) and one.phase == "leading" for one in answers.values()):
        raise SystemExit(1)


@council.command()
@where
@click.option("--json", "as_json", is_flag=True)
def members(conf: str | None, voters: tuple[str, ...], as_json: bool) -> None:
    """Who votes, as the leader knows it."""
    leading = [one for one in _standing(voters_of(conf, voters)).values() if one.phase == "leading"]
    if not leading:
        raise click.ClickException("nobody leads")
    for id, address in max(leading, key=lambda one: one.term).members:
        tell({"id": id, "address": address}, as_json, lambda told: f"{told['id']}  {told['address']}")


@council.command()
@where
@click.argument("address")
def add(conf: str | None, voters: tuple[str, ...], address: str) -> None:
    """Let the empty voter at ADDRESS vote, once it has caught up."""
    known = voters_of(conf, voters)
    try:
        there = _all_stand({"it": parse_address(address)})["it"]
    except ValueError as error:
        raise Unusable(str(error)) from error
    _changed(ask(known, ChangeReplicas("add", there.id, address), 40.0), there.id)


@council.command()
@where
@click.argument("id")
def remove(conf: str | None, voters: tuple[str, ...], id: str) -> None:
    """Let the voter ID vote no more."""
    _changed(ask(voters_of(conf, voters), ChangeReplicas("remove", id)), id)


def _changed(answer: Any, id: str) -> None:
    click.echo(f"{id}: {answer.text if isinstance(answer, Done) else answer}")


def _standing(known: dict[str, Any]) -> dict[str, ReplicaStatus]:
    return {name: one for name, one in ask_each(known).items() if isinstance(one, ReplicaStatus)}


def _all_stand(known: dict[str, Any]) -> dict[str, ReplicaStatus]:
    found = ask_each(known)
    silent = [f"{name}: {one.reason}" for name, one in found.items() if isinstance(one, Unavailable)]
    if silent:
        raise click.ClickException("; ".join(silent))
    return {name: one for name, one in found.items() if isinstance(one, ReplicaStatus)}


def _text(address: tuple[str, int]) -> str:
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"
