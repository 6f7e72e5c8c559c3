"""The config feed on real processes, and an oracle that judges what they did.

The fleet is a consensus cluster, keepers, relays and subscribers, with a network relay of the lab for each
ordered pair. The oracle knows only what was acknowledged and what subscribers reported, nothing of the
program's own view.
"""

import json
import shutil
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.config_feed.follower_service import FollowerService
from thistleline.config_feed.limits import DEDUPLICATION_SLOTS
from thistleline.config_feed.messages import Item, Propose, ProposeResult, ReadResult
from thistleline.config_feed.operations import export_table, propose, read
from thistleline.config_feed.table import FeedTable
from thistleline.lab.processes.harness import Fleet, Process, RunTimeoutError, free_port
from thistleline.transport.address import Address

PAIRS = 4  # of common entries
WAIT_TIMEOUT = 25.0  # s


def pair_keys(index: int) -> tuple[str, str]:
    """Return the keys of two common entries that every change gives the same value."""
    return f"common/left-{index}", f"common/right-{index}"


TENANT_PAIR = ("tenant/left", "tenant/right")


class Oracle:
    """Records the answers to proposals, and compares tables and reported states with them.

    Attributes:
        committed: Request id and items of each acknowledged change, by sequence number.
        sequences: Sequence number of each acknowledged change, by request id.
        undecided: Proposals of which it is unknown whether they were committed, by request id.
        refused: The reasons of refused proposals.
        wrong: The violations found, in words.
    """

    def __init__(self) -> None:
        """Start with no changes."""
        self.committed: dict[int, tuple[str, tuple[Item, ...]]] = {}
        self.sequences: dict[str, int] = {}
        self.undecided: dict[str, Propose] = {}
        self.refused: list[str] = []
        self.wrong: list[str] = []

    def record_answer(self, proposal: Propose, answer: ProposeResult) -> None:
        """Record the answer to a proposal, which may have been sent before."""
        if answer.sequence:
            self.undecided.pop(proposal.request_id, None)
            known = self.committed.setdefault(answer.sequence, (proposal.request_id, proposal.items))
            if known[0] != proposal.request_id:
                self.wrong.append(
                    f"change {answer.sequence} was acknowledged for {known[0]} and for {proposal.request_id}"
                )
            first = self.sequences.setdefault(proposal.request_id, answer.sequence)
            if first != answer.sequence:
                self.wrong.append(
                    f"{proposal.request_id} was committed twice, as {first} and as {answer.sequence}"
                )
        elif answer.unknown:
            self.undecided[proposal.request_id] = proposal
        else:
            self.undecided.pop(proposal.request_id, None)
            self.refused.append(answer.reason)

    @property
    def newest(self) -> int:
        """The greatest acknowledged sequence number; 0 if there is none."""
        return max(self.committed, default=0)

    def entries(self) -> dict[str, tuple[bytes, int]]:
        """Return the entries that result from all acknowledged changes: value and version by key."""
        entries: dict[str, tuple[bytes, int]] = {}
        for number in sorted(self.committed):
            for key, value in self.committed[number][1]:
                entries.pop(key, None)
                if value is not None:
                    entries[key] = value, number
            entries[f"made/{number % DEDUPLICATION_SLOTS}"] = self.committed[number][0].encode(), number
        return entries

    def judge_table(self, name: str, table: FeedTable) -> None:
        """Check that a server's table has all acknowledged changes and no other ones."""
        missing = sorted(set(range(1, table.sequence + 1)) - self.committed.keys())
        if missing:
            self.wrong.append(f"{name}: the changes {missing[:5]} were never acknowledged")
        found = {key: (value, version) for key, value, version in table.entries("all")}
        if table.sequence < self.newest:
            self.wrong.append(f"{name} is at {table.sequence}, but {self.newest} was acknowledged: lost")
        elif found != self.entries():
            keys = [key for key in found.keys() | self.entries() if found.get(key) != self.entries().get(key)]
            self.wrong.append(f"{name}: the entries {sorted(keys)[:5]} differ from the acknowledged ones")

    def judge_reports(self, name: str, events: Iterable[dict[str, Any]]) -> int:
        """Check the events of one subscriber: no state goes back, and no change is visible in part.

        Returns:
            The number of states that it reported.
        """
        number, states, versions = 0, 0, dict[str, int]()
        for event in events:
            if event["event"] == "born":
                number, versions = 0, {}
            if event["event"] != "state":
                continue
            states += event["number"] != number
            if event["number"] < number:
                self.wrong.append(f"{name} went back from {number} to {event['number']}")
            number = event["number"]
            looked = event["looked"]
            for left, right in [*map(pair_keys, range(PAIRS)), TENANT_PAIR]:
                one, other = looked[left], looked[right]
                if one[2] and other[2] and one != other:
                    self.wrong.append(f"{name} saw half of a change at {number}: {one} and {other}")
            for key, (_, version, known) in looked.items():
                if known and version < versions.get(key, 0) and version:
                    self.wrong.append(f"{name} saw {key} go back to version {version}")
                if known:
                    versions[key] = version
        return states


class FeedFleet:
    """The processes of a feed, with the means to change entries, wait for states and judge the result.

    Attributes:
        lease: The setting of the keepers' lease, a duration.
    """

    lease = "1s"

    def __init__(
        self, folder: Path, group: TaskGroup, seed: int, keepers: int = 3, without: str = ""
    ) -> None:
        """Make a fleet that begins with `start`.

        Args:
            folder: Of the run: settings, logs, data.
            group: Runs the network relays.
            seed: Of all random draws.
            keepers: How many.
            without: The protection that the processes leave out (processes/program.py); "" for none.
        """
        self.folder, self.group, self.rng, self.without = folder, group, Random(seed), without
        self.fleet = Fleet(folder, group, seed, 3)
        self.keepers = [f"k{index + 1}" for index in range(keepers)]
        self.proposal_targets = self.keepers  # the keepers to which proposals are sent
        self.relays = ["r1", "r2"]
        self.subscribers: list[str] = []
        self.oracle = Oracle()
        self.proposal_count = 0
        self.processes = self.fleet.processes

    # ---- processes

    async def start(self, subscribers: int = 2) -> None:
        """Start all processes and wait for a writer; only the first subscriber has a folder."""
        fleet = self.fleet
        for name in [*self.keepers, *self.relays]:
            fleet.ports[name] = free_port()
        await fleet.start_replicas()
        for name in self.keepers:
            await self._start_keeper(name)
        for level, name in enumerate(self.relays, 1):  # r2 follows r1, or the keepers if r1 is unavailable
            await self._start_relay(name, level, [*self.relays[: level - 1], *self.keepers])
        for index in range(subscribers):
            await self.subscribe(f"s{index + 1}", folder=index == 0)
        self.keeper_addresses = {name: await self.open_relay("w", name) for name in self.keepers}
        await fleet.form()
        await self.writer()

    async def open_relay(self, source: str, target: str) -> Address:
        """Return the address that `source` dials to reach `target`: that of a new relay between them."""
        return await self.fleet.open_relay(source, target)

    async def _start_keeper(self, name: str) -> None:
        fleet = self.fleet
        lines = [f"feed name {name}", f"feed listen 127.0.0.1:{fleet.ports[name]}", "feed role keeper",
                 f"feed folder {self.folder}/{name}", f"feed lease {self.lease}"]  # fmt: skip
        for replica in fleet.names:
            host, port = await self.open_relay(name, replica)
            lines.append(f"council voter {replica}={host}:{port}")
        for other in self.keepers:
            lines.append(f"feed keeper {other}=127.0.0.1:{fleet.ports[other]}")
            if other != name:
                host, port = await self.open_relay(name, other)
                lines.append(f"feed up {other}={host}:{port}")
        self._start(name, lines)

    async def _start_relay(self, name: str, level: int, sources: list[str], folder: bool = False) -> None:
        lines = [f"feed name {name}", f"feed listen 127.0.0.1:{self.fleet.ports[name]}", "feed role relay",
                 f"feed level {level}"]  # fmt: skip
        if folder:
            lines.append(f"feed folder {self.folder}/{name}")
        for other in sources:
            host, port = await self.open_relay(name, other)
            lines.append(f"feed up {other}={host}:{port}")
        self._start(name, lines)

    def _start(self, name: str, lines: list[str]) -> None:
        config = self.folder / f"{name}.conf"
        config.write_text("\n".join(lines) + "\n")
        env = {"LAB_DISK": str(self.folder / f"{name}.disk"), "LAB_WITHOUT": self.without}
        process = Process(name, ["feed", "serve", "--conf", str(config)], env, self.folder)
        self.processes[name] = process
        process.start()

    async def subscribe(self, name: str, folder: bool) -> None:
        """Start a subscriber of the relays, with a folder for its archive or without."""
        keys = [key for index in range(PAIRS) for key in pair_keys(index)] + list(TENANT_PAIR)
        sources = {relay: await self.open_relay(name, relay) for relay in self.relays}
        settings = {"who": name, "sources": sources, "keys": keys, "seed": self.rng.randrange(1 << 30),
                    "folder": str(self.folder / name) if folder else ""}  # fmt: skip
        process = Process(
            name, ["subscriber", json.dumps(settings)], {"LAB_WITHOUT": self.without}, self.folder
        )
        self.processes[name] = process
        self.subscribers.append(name)
        process.start()

    def address(self, name: str) -> Address:
        """Return a process's own address, past all network relays."""
        return self.fleet.address(name)

    def lose_disk(self, name: str) -> None:
        """Kill a process and delete its folder."""
        self.processes[name].kill()
        shutil.rmtree(self.folder / name, ignore_errors=True)

    # ---- waiting

    async def read_status(self, name: str) -> ReadResult | None:
        """Return the status of a keeper or relay; None if it is stopped, paused or does not answer."""
        process = self.processes[name]
        return (
            await read(self.address(name), (), 0.5) if process.is_running and not process.is_paused else None
        )

    async def writer(self, timeout: float = WAIT_TIMEOUT, other_than: str = "") -> str:
        """Return the keeper that is the writer of the newest epoch, once there is one.

        Raises:
            RunTimeoutError: There is none besides `other_than` in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            statuses = {name: await self.read_status(name) for name in self.keepers}
            found = [(one.epoch, name) for name, one in statuses.items() if one is not None and one.is_writer]
            if found and max(found)[1] != other_than:
                return max(found)[1]
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"no keeper writes in {timeout} s")

    async def wait_for_sequence(self, name: str, number: int, timeout: float = WAIT_TIMEOUT) -> None:
        """Wait until a keeper or relay is at a sequence number, or a subscriber has reported it.

        Raises:
            RunTimeoutError: It is not in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if name in self.subscribers:
                sequence = max((one["number"] for one in self.reported_states(name)[-1:]), default=0)
            else:
                status = await self.read_status(name)
                sequence = status.sequence if status is not None else 0
            if sequence >= number:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{name} is at {sequence}, not at {number}, after {timeout} s")

    async def wait_until_durable(self, writer: str, number: int, timeout: float = WAIT_TIMEOUT) -> None:
        """Wait until the writer knows that a majority of the keepers has a change on disk.

        Raises:
            RunTimeoutError: It does not know in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            status = await self.read_status(writer)
            if status is not None and status.counters.get("kept", 0) >= number:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{writer} does not know in {timeout} s that a majority has {number} on disk")

    async def wait_for_event(
        self, name: str, event: str, timeout: float = WAIT_TIMEOUT, after: int = 0
    ) -> None:
        """Wait until a process has logged an event more than `after` times.

        Raises:
            RunTimeoutError: It has not in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if sum(one["event"] == event for one in self.processes[name].events()) > after:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{name} logs no {event!r} in {timeout} s")

    def reported_states(self, name: str) -> list[dict[str, Any]]:
        """Return the states that a subscriber reported in its latest incarnation."""
        incarnations: list[list[dict[str, Any]]] = []
        for event in self.processes[name].events():
            if event["event"] == "born":
                incarnations.append([])
            elif event["event"] == "state":
                incarnations[-1].append(event)
        return incarnations[-1] if len(incarnations) == self.processes[name].incarnation else []

    async def table(self, name: str, number: int, timeout: float = WAIT_TIMEOUT) -> FeedTable:
        """Follow a keeper or relay until a sequence number, and return the table.

        Raises:
            RunTimeoutError: It does not send that state in `timeout` seconds.
        """
        async with anyio.create_task_group() as group:
            follower = FollowerService("oracle", {name: self.address(name)}, immediate=True)
            group.start_soon(follower.run)
            with anyio.move_on_after(timeout) as scope:
                await follower.wait_for(number)
            group.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise RunTimeoutError(f"{name} does not send the state {number} in {timeout} s")
        return follower.table

    # ---- changes

    async def change(self, items: tuple[Item, ...], timeout: float = 15.0) -> ProposeResult:
        """Propose a change under a new request id, and return the answer."""
        self.proposal_count += 1
        return await self.propose(Propose(f"w{self.proposal_count}", items), timeout)

    async def propose(self, proposal: Propose, timeout: float) -> ProposeResult:
        """Send a proposal to `proposal_targets`; record and return the answer."""
        answer = await propose(
            {name: self.keeper_addresses[name] for name in self.proposal_targets}, proposal, timeout, self.rng
        )
        self.oracle.record_answer(proposal, answer)
        return answer

    async def change_pairs(self, count: int, timeout: float = 15.0) -> list[ProposeResult]:
        """Propose `count` changes one after the other, each of both entries of a random pair."""
        answers = []
        for _ in range(count):
            index = self.rng.randrange(PAIRS + 1)
            keys = pair_keys(index) if index < PAIRS else TENANT_PAIR
            value = (
                b'{"n":%d}' % self.proposal_count if index < PAIRS else b'{"share":%f}' % self.rng.random()
            )
            answers.append(await self.change(tuple((key, value) for key in keys), timeout))
        return answers

    # ---- the verdict

    async def settle(self) -> None:
        """Remove all faults, repeat the undecided proposals, and wait until all have the newest state.

        Raises:
            RunTimeoutError: A proposal stays undecided, or a process does not reach the newest state.
        """
        self.fleet.heal()
        for process in self.processes.values():
            if process.is_paused:
                process.resume()
            if not process.is_running:
                process.start()
        for proposal in list(self.oracle.undecided.values()):
            await self.propose(proposal, WAIT_TIMEOUT)
        if self.oracle.undecided:
            raise RunTimeoutError(f"still undecided: {list(self.oracle.undecided)}")
        for name in [*self.keepers, *self.relays, *self.subscribers]:
            await self.wait_for_sequence(name, self.oracle.newest)

    async def judge(self) -> list[str]:
        """Return the violations found in all tables, snapshots, reports and logs; empty if there are none."""
        oracle, digests = self.oracle, set[str]()

        async def judge_one(name: str) -> None:
            status = await self.read_status(name)
            number = status.sequence if status is not None else oracle.newest
            snapshot = await export_table({name: self.address(name)}, 10.0)
            if snapshot is None:
                oracle.wrong.append(f"{name} gives no snapshot")
                return
            if snapshot.sequence < number:
                oracle.wrong.append(f"{name} is at {number}, but its snapshot is of {snapshot.sequence}")
            table = await self.table(name, number)
            oracle.judge_table(name, table)
            digests.add(table.digest("wide").hex())

        async with anyio.create_task_group() as group:
            for name in [*self.keepers, *self.relays]:
                group.start_soon(judge_one, name)
        for name in self.subscribers:
            oracle.judge_reports(name, self.processes[name].events())
            digests.add(self.reported_states(name)[-1]["digest"])
        if len(digests) > 1:
            oracle.wrong.append(f"digests differ: {sorted(digests)}")
        for path in sorted(self.folder.glob("*.log")):
            if b"Traceback" in path.read_bytes():
                oracle.wrong.append(f"{path.name} has a traceback")
        return oracle.wrong

    def close(self) -> None:
        """End every process and write the history of faults."""
        self.fleet.close()
