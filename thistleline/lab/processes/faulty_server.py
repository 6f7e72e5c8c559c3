"""The server itself with a fault built in.

Started by `python -m thistleline.lab.processes.faulty_server`; the environment variable LAB_FAULT has the
fault, JSON:

    {"kill": [point, times]}    ends at once the so-many-th time that a point is passed; points: an event
                                "in:CLASS", an effect "before:CLASS" or "after:CLASS"
    {"disk": how, "at": n}      the n-th sync: "once" fails, "slow" takes 2 s, "full" and "read-only" fail
                                from there on for a second
    {"sync": false}             the sync is left out
    {"stall": ms}               so long nothing else is done at each task
    {"figures": s}              figures are told so often
    {"only": [name]}            all this on servers of these names alone
    {"cold": s}                 stalls in the first seconds alone; {"over": n}: with more than n in hand alone
    {"die_after": s}            ends at once after so long
    {"leak": kb}                keeps so much of each task for ever
    {"loses": n}                each n-th run that finished is said to have failed
    {"keeps": true}             one that has handed over goes on starting effects

What was not synced is lost with the program, as with the machine: the disk here writes at the sync.
"""

import errno
import json
import os
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, ClassVar

import anyio

from thistleline.config.loader import read_config
from thistleline.durable import writer as ledger_writer
from thistleline.handover.service import HandoverService
from thistleline.ledger import store
from thistleline.server import service
from thistleline.server.configuration import ConfigurationError, read_configuration
from thistleline.server.log import print_error
from thistleline.server.service import Service
from thistleline.state.events import RunCompleted, TaskReceived
from thistleline.store.disk import Disk

LEFT_OUT_BOUND = 64 * 1024  # without a sync the machine writes on some day: once so much lies there


class LabDisk(Disk):
    fault: dict[str, Any]

    def __init__(self, folder: Path, kept: str = "ledger") -> None:
        super().__init__(folder, kept)
        self.unsynced = bytearray()
        self.syncs = 0
        self.until = 0.0

    def begin(self, number: int) -> None:
        self._out()
        super().begin(number)

    def append(self, data: bytes) -> None:
        self.unsynced += data
        if len(self.unsynced) > LEFT_OUT_BOUND and self.fault.get("sync") is False:
            self._out()

    def sync(self) -> None:
        self.syncs += 1
        how = self.fault.get("disk")
        if how is not None and self.syncs == self.fault["at"]:
            if how == "slow":
                time.sleep(2.0)
            else:
                self.until = time.monotonic() + (0.0 if how == "once" else 1.0)
                self._fail(how)
        if time.monotonic() < self.until:
            self._fail(how)
        self._out()
        super().sync()

    def _fail(self, how: str | None) -> None:
        self.unsynced.clear()
        code = {"full": errno.ENOSPC, "read-only": errno.EROFS}.get(str(how), errno.EIO)
        raise OSError(code, os.strerror(code))

    def _out(self) -> None:
        if self.unsynced and self.segment_fd >= 0:
            super().append(bytes(self.unsynced))
        self.unsynced.clear()


class Faults(Service):
    fault: dict[str, Any]

    def _pass(self, point: str) -> None:
        kill = self.fault.get("kill")
        if kill is not None and kill[0] == point:
            kill[1] -= 1
            if kill[1] <= 0:
                os.kill(os.getpid(), signal.SIGKILL)

    born = time.monotonic()
    leaked: ClassVar[list[bytes]] = []
    finished = 0

    def handle(self, event: Any) -> None:
        self._pass(f"in:{type(event).__name__}")
        fault, age = self.fault, time.monotonic() - self.born
        if age > fault.get("die_after", age):
            os.kill(os.getpid(), signal.SIGKILL)
        if isinstance(event, TaskReceived):
            in_hand = len(self.machine.attempts)
            if age <= fault.get("cold", age) and in_hand >= fault.get("over", 0):
                time.sleep(fault.get("stall", 0) / 1000)
            if fault.get("leak"):
                self.leaked.append(os.urandom(1024) * fault["leak"])
        if isinstance(event, RunCompleted) and fault.get("loses"):
            Faults.finished += 1
            if self.finished % fault["loses"] == 0:
                event = replace(event, outcome="failed")
        super().handle(event)

    def _carry_out(self, effect: Any) -> None:
        self._pass(f"before:{type(effect).__name__}")
        super()._carry_out(effect)
        self._pass(f"after:{type(effect).__name__}")


class LabHandover(Faults, HandoverService):
    """One that follows another, and is followed."""


def keep_right() -> None:
    """Leaves a protection out: one that has handed over takes and starts tasks as before."""
    from thistleline.durable.served_value import ServedValueTracker
    from thistleline.handover.state_machine import HandoverStateMachine
    from thistleline.state.state_machine import ServerStateMachine

    def launch(self: HandoverStateMachine, task: str, run: Any) -> None:
        if self.handover_phase == "handed":
            ServerStateMachine.launch(self, task, run)
        else:
            had(self, task, run)

    had = HandoverStateMachine.launch
    for name, put in (
        ("launch", launch),
        ("_admit", ServedValueTracker._admit),
        ("_on_task", ServedValueTracker._on_task),
        ("close_down", lambda self: None),
    ):
        setattr(HandoverStateMachine, name, put)


def main() -> int:
    fault = json.loads(os.environ.get("LAB_FAULT", "{}"))
    configuration = read_configuration(os.environ)
    if configuration.name not in fault.get("only", [configuration.name]):
        fault = {"figures": fault.get("figures")}
    LabDisk.fault = Faults.fault = fault
    setattr(ledger_writer, "Disk", LabDisk)  # noqa: B010
    if fault.get("sync") is False:
        made = store.LedgerStore.__init__
        setattr(store.LedgerStore, "__init__", lambda self, disk, names: made(self, disk, names, False))  # noqa: B010
    if fault.get("keeps"):
        keep_right()
    if fault.get("figures"):
        setattr(service, "FIGURES_INTERVAL", float(fault["figures"]))  # noqa: B010
    if fault.get("each"):
        from thistleline.ledger import state as ledger_state

        ledger_state.MAX_GROUP_RECORDS = 1
    named = os.environ.get("THISTLELINE_CONF")
    conf = read_config(named) if named else None
    serves = LabHandover if conf is not None and conf.handover is not None else Faults
    try:
        anyio.run(serves(configuration, conf).run)
    except ConfigurationError as error:
        print_error(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
