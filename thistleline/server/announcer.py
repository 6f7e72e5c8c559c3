"""Reports to the announce service while the server may take tasks."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import Dials, Stream
from thistleline.wire.announce import AnnounceConnection

EVERY = 1.0  # an entry lapses three seconds after the last report
PAUSE = 0.25  # after one that failed
ATTEMPTS = 3  # reports that may be under way at once, so that a slow answer holds none of them up
PATIENCE = 10.0  # for an answer
DIAL_FIRST, DIAL_MOST = 2.0, 8.0
SILENCE = 2.0  # without an answer, that the log tells of
ANSWER_BOUND = 16 * 1024  # bytes of an answer


class Attempt:
    """One report on its way; where it is answered its connection may carry the next."""

    __slots__ = ("good", "reports", "scope", "stream", "taking")

    def __init__(self, taking: bool) -> None:
        self.taking = taking
        self.good: bool | None = None  # how it ended
        self.scope = anyio.CancelScope()
        self.stream: Stream | None = None
        self.reports: AnnounceConnection | None = None


class Announcer:
    def __init__(self, name: str, address: Address, group: TaskGroup, log: Callable[..., None]) -> None:
        self.name, self.address, self.group, self.log = name, address, group, log
        self.taking = True
        self.changed = anyio.Event()  # what is to be told, or where, or a report has ended
        self.version = 0  # of what is to be told and where
        self.dials = Dials(DIAL_FIRST, DIAL_MOST)
        self.idle: tuple[Stream, AnnounceConnection] | None = None
        self.attempts: dict[Attempt, None] = {}  # the oldest first
        self.told: bool | None = None  # the state that was last answered for
        self.healthy = True
        self.why = ""  # of the last that failed since one was answered
        self.answered_at = 0.0

    def effects(self) -> dict[str, Callable[..., None]]:
        """What it carries out, by the kind of effect."""
        return {"report": self.tell}

    def tell(self, taking: bool) -> None:
        self.taking, self.told = taking, None
        self.version += 1
        self._drop_attempts()  # one of an older state must not arrive after this one
        self.changed.set()

    def move(self, address: Address) -> None:
        """The announce service is elsewhere now: it is told at once what the old one was told."""
        if address != self.address:
            self.address, self.dials, self.told = address, Dials(DIAL_FIRST, DIAL_MOST), None
            self.version += 1
            self._drop_attempts()
            self._drop_idle()
            self.changed.set()

    def _drop_attempts(self) -> None:
        attempts, self.attempts = self.attempts, {}
        for attempt in attempts:
            attempt.scope.cancel()

    def _drop_idle(self) -> None:
        if self.idle is not None:
            self.idle[0].close()
            self.idle = None

    async def keep_reporting(self) -> None:
        """Ends with the first report that nothing is accepted any more: the entry may lapse then. A report
        goes out every second whether or not those before it were answered."""
        self.answered_at = anyio.current_time()
        try:
            while True:
                begun = anyio.current_time()
                attempt = self._begin()
                await self._until(begun + EVERY, attempt)
                if self.told is False and not self.taking:
                    return
                if anyio.current_time() - self.answered_at >= SILENCE:
                    self._health(False, self.why or "no answer")
                if attempt.good is not None:
                    await self._until(begun + EVERY if attempt.good else anyio.current_time() + PAUSE)
        finally:
            self._drop_attempts()
            self._drop_idle()

    async def _until(self, due: float, attempt: Attempt | None = None) -> None:
        """Until then, until the report has ended, or until there is something else to tell."""
        version = self.version
        while (
            anyio.current_time() < due
            and version == self.version
            and (attempt is None or attempt.good is None)
        ):
            self.changed = anyio.Event()
            with anyio.move_on_at(due):
                await self.changed.wait()

    def _health(self, healthy: bool, why: str = "") -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self.log("announce", state="up" if healthy else "down", why=why)

    def _begin(self) -> Attempt:
        while len(self.attempts) >= ATTEMPTS:
            oldest = next(iter(self.attempts))
            del self.attempts[oldest]
            oldest.scope.cancel()
        attempt = Attempt(self.taking)
        self.attempts[attempt] = None
        self.group.start_soon(self._report, attempt)
        return attempt

    async def _report(self, attempt: Attempt) -> None:
        """Whatever a report brings ends that report's connection alone."""
        status, why = 0, ""
        with attempt.scope:
            try:
                status = await self._ask(attempt)
                why = "" if status == 204 else f"status {status}"
            except Exception as error:
                why = str(error) or type(error).__name__
        attempt.good = not why
        mine = attempt in self.attempts  # else the state or the service is another one by now
        self.attempts.pop(attempt, None)
        stream, reports = attempt.stream, attempt.reports
        if stream is not None and reports is not None:
            if mine and status and not why and self.idle is None and reports.start_next_report():
                self.idle = stream, reports
            else:
                stream.close()
        if not mine:
            return
        if why:
            self.why = why
        else:
            self.told, self.answered_at, self.why = attempt.taking, anyio.current_time(), ""
            self._health(True)
        self.changed.set()

    async def _ask(self, attempt: Attempt) -> int:
        if self.idle is not None:
            (attempt.stream, attempt.reports), self.idle = self.idle, None
        else:
            host, port = self.address
            sock = await self.dials.dial(self.address)
            attempt.stream = Stream(sock, self.group, ANSWER_BOUND, ANSWER_BOUND)
            attempt.reports = AnnounceConnection(f"{host}:{port}")
        stream, reports = attempt.stream, attempt.reports
        stream.write(reports.encode_report(self.name, attempt.taking))
        stream.flush()
        read = 0
        with anyio.fail_after(PATIENCE):
            while read < ANSWER_BOUND:
                stream.ask()
                count = await stream.read()
                read += count
                status = reports.receive(stream.buffer.take(count))
                if status is not None:
                    return status
        raise OSError("an answer without end")
