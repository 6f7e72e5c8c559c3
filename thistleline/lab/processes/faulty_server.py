"""The server with injected faults.

Started by `python -m thistleline.lab.processes.faulty_server`. The environment variable LAB_FAULT holds the
faults as a JSON object:

    {"kill": [point, n]}        the server kills itself (SIGKILL) when it reaches a point for the n-th time;
                                points: an event "in:CLASS", an effect "before:CLASS" or "after:CLASS"
    {"disk": how, "at": n}      the n-th sync: "once" fails, "slow" takes 2 s; "full" and "read-only" fail,
                                as do all syncs of the following second
    {"sync": false}             the ledger is not synced
    {"stall": ms}               each received task blocks the server for so long
    {"figures": s}              interval of the reports of metrics
    {"only": [name]}            the other faults, except "figures", apply only to servers of these names
    {"cold": s}                 with "stall": only in the first seconds after the start
    {"over": n}                 with "stall": only while at least n attempts are in progress
    {"die_after": s}            the server kills itself after so long
    {"leak": kb}                so many KiB are leaked for each task
    {"loses": n}                every n-th completed run is reported as failed
    {"keeps": true}             a server that has handed over goes on starting effects
    {"each": true}              each ledger record is written by itself instead of in groups

The disk writes only when it is synced, so that unsynced data is lost when the process is killed, as it is
when a machine fails.
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

# Without syncs, data is written once more than this is buffered: an operating system writes it at some time.
MAX_UNSYNCED_BYTES = 64 * 1024


class FaultyDisk(Disk):
    """A disk that writes only when it is synced, with the faults "disk" and "sync".

    Attributes:
        fault: The faults of LAB_FAULT; set before the first instance is made.
    """

    fault: dict[str, Any]

    def __init__(self, folder: Path, kind: str = "ledger") -> None:
        """Create an instance for a folder; see `Disk`."""
        super().__init__(folder, kind)
        self.unsynced = bytearray()
        self.sync_count = 0
        self.failing_until = 0.0

    def begin(self, number: int) -> None:
        """Write what is unsynced to the current segment and begin another one."""
        self._write_unsynced()
        super().begin(number)

    def append(self, data: bytes) -> None:
        """Buffer data until the next sync; without syncs, until `MAX_UNSYNCED_BYTES` are exceeded."""
        self.unsynced += data
        if len(self.unsynced) > MAX_UNSYNCED_BYTES and self.fault.get("sync") is False:
            self._write_unsynced()

    def sync(self) -> None:
        """Write and sync the buffered data, unless a fault is due.

        Raises:
            OSError: The injected error of the disk; the buffered data is lost.
        """
        self.sync_count += 1
        how = self.fault.get("disk")
        if how is not None and self.sync_count == self.fault["at"]:
            if how == "slow":
                time.sleep(2.0)
            else:
                self.failing_until = time.monotonic() + (0.0 if how == "once" else 1.0)
                self._fail(how)
        if time.monotonic() < self.failing_until:
            self._fail(how)
        self._write_unsynced()
        super().sync()

    def _fail(self, how: str | None) -> None:
        self.unsynced.clear()
        code = {"full": errno.ENOSPC, "read-only": errno.EROFS}.get(str(how), errno.EIO)
        raise OSError(code, os.strerror(code))

    def _write_unsynced(self) -> None:
        if self.unsynced and self.segment_fd >= 0:
            super().append(bytes(self.unsynced))
        self.unsynced.clear()


class FaultyService(Service):
    """A server with all faults except those of the disk.

    Attributes:
        fault: The faults of LAB_FAULT; set before the first instance is made.
        started_at: Seconds of the monotonic clock.
        leaked: The memory leaked by the fault "leak".
        completed_runs: Number of completed runs, counted for the fault "loses".
    """

    fault: dict[str, Any]

    def _reach_point(self, point: str) -> None:
        kill = self.fault.get("kill")
        if kill is not None and kill[0] == point:
            kill[1] -= 1
            if kill[1] <= 0:
                os.kill(os.getpid(), signal.SIGKILL)

    started_at = time.monotonic()
    leaked: ClassVar[list[bytes]] = []
    completed_runs = 0

    def handle(self, event: Any) -> None:
        """Handle an event, after the faults that are due at it."""
        self._reach_point(f"in:{type(event).__name__}")
        fault, age = self.fault, time.monotonic() - self.started_at
        if age > fault.get("die_after", age):
            os.kill(os.getpid(), signal.SIGKILL)
        if isinstance(event, TaskReceived):
            in_progress = len(self.machine.attempts)
            if age <= fault.get("cold", age) and in_progress >= fault.get("over", 0):
                time.sleep(fault.get("stall", 0) / 1000)
            if fault.get("leak"):
                self.leaked.append(os.urandom(1024) * fault["leak"])
        if isinstance(event, RunCompleted) and fault.get("loses"):
            FaultyService.completed_runs += 1
            if self.completed_runs % fault["loses"] == 0:
                event = replace(event, outcome="failed")
        super().handle(event)

    def _carry_out(self, effect: Any) -> None:
        self._reach_point(f"before:{type(effect).__name__}")
        super()._carry_out(effect)
        self._reach_point(f"after:{type(effect).__name__}")


class FaultyHandoverService(FaultyService, HandoverService):
    """A faulty server that takes over from a predecessor and hands over to a successor."""


def accept_tasks_after_handover() -> None:
    """Leave out a protection: a server that has handed over accepts and starts tasks as before."""
    from thistleline.durable.served_value import ServedValueTracker
    from thistleline.handover.state_machine import HandoverStateMachine
    from thistleline.state.state_machine import ServerStateMachine

    def launch(self: HandoverStateMachine, name: str, run: Any) -> None:
        if self.handover_phase == "handed":
            ServerStateMachine.launch(self, name, run)
        else:
            original_launch(self, name, run)

    original_launch = HandoverStateMachine.launch
    for method, replacement in (
        ("launch", launch),
        ("_admit", ServedValueTracker._admit),
        ("_on_task", ServedValueTracker._on_task),
        ("close_down", lambda self: None),
    ):
        setattr(HandoverStateMachine, method, replacement)


def main() -> int:
    """Inject the faults of LAB_FAULT and run the server; return the exit code."""
    fault = json.loads(os.environ.get("LAB_FAULT", "{}"))
    configuration = read_configuration(os.environ)
    if configuration.name not in fault.get("only", [configuration.name]):
        fault = {"figures": fault.get("figures")}
    FaultyDisk.fault = FaultyService.fault = fault
    setattr(ledger_writer, "Disk", FaultyDisk)  # noqa: B010
    if fault.get("sync") is False:
        init = store.LedgerStore.__init__
        setattr(store.LedgerStore, "__init__", lambda self, disk, stages: init(self, disk, stages, False))  # noqa: B010
    if fault.get("keeps"):
        accept_tasks_after_handover()
    if fault.get("figures"):
        setattr(service, "FIGURES_INTERVAL", float(fault["figures"]))  # noqa: B010
    if fault.get("each"):
        from thistleline.ledger import state as ledger_state

        ledger_state.MAX_GROUP_RECORDS = 1
    config_path = os.environ.get("THISTLELINE_CONF")
    config = read_config(config_path) if config_path else None
    service_class = (
        FaultyHandoverService if config is not None and config.handover is not None else FaultyService
    )
    try:
        anyio.run(service_class(configuration, config).run)
    except ConfigurationError as error:
        print_error(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
