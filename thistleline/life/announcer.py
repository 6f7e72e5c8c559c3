"""Reports to the announce service while the server may take tasks."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from thistleline.life.configuration import Address
from thistleline.life.streams import Stream, connect
from thistleline.wire.announce import Reports

EVERY = 1.0  # an entry lapses three seconds after the last report
PATIENCE = 2.0  # for a report, its connection included; a slow service's answers must still count
PAUSE = 0.25  # after one that failed
ANSWER_BOUND = 16 * 1024


class Announcer:
    def __init__(self, name: str, address: Address, group: TaskGroup, log: Callable[..., None]) -> None:
        self.name, self.address, self.group, self.log = name, address, group, log
        self.taking = True
        self.changed = anyio.Event()
        self.stream: Stream | None = None
        self.reports = Reports(f"{address[0]}:{address[1]}")
        self.healthy = True

    def effects(self) -> dict[str, Callable[..., None]]:
        """What it carries out, by the kind of effect."""
        return {"report": self.tell}

    def tell(self, taking: bool) -> None:
        self.taking = taking
        self.changed.set()

    def move(self, address: Address) -> None:
        """The announce service is elsewhere now: it is told at once what the old one was told."""
        if address != self.address:
            self.address, self.reports = address, Reports(f"{address[0]}:{address[1]}")
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            self.changed.set()

    async def keep_reporting(self) -> None:
        """Ends with the first report that nothing is accepted any more: the entry may lapse then."""
        while True:
            taking, begun = self.taking, anyio.current_time()
            done = await self._report(taking)
            if done and not taking:
                return
            with anyio.move_on_after(max(0.0, begun + EVERY - anyio.current_time()) if done else PAUSE):
                await self.changed.wait()
            if self.changed.is_set():
                self.changed = anyio.Event()

    async def _report(self, taking: bool) -> bool:
        why = ""
        try:
            with anyio.fail_after(PATIENCE):
                status = await self._ask(taking)
            if status != 204:
                why = f"status {status}"
        except Exception as error:  # whatever a report brings ends that connection alone
            why = str(error) or type(error).__name__
        if (why or not self.reports.again()) and self.stream is not None:
            self.stream.close()
            self.stream = None
        if bool(why) == self.healthy:
            self.healthy = not why
            self.log("announce", state="down" if why else "up", why=why)
        return not why

    async def _ask(self, taking: bool) -> int:
        if self.stream is None:
            address = self.address
            sock = await connect(address)
            if address != self.address:
                sock.close()
                raise OSError("the address changed")
            self.stream = Stream(sock, self.group, ANSWER_BOUND, ANSWER_BOUND)
            self.reports = Reports(self.reports.host)
        stream = self.stream
        stream.write(self.reports.report(self.name, taking))
        stream.flush()
        while True:
            stream.ask()
            count = await stream.read()
            status = self.reports.answered(stream.buffer.take(count))
            if status is not None:
                return status
