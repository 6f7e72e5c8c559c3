"""A server that follows another on its machine and is followed: sockets, descriptors, the ledger's folder.

In its folder: `heir.sock`, where the one that serves awaits its heir; `elder-PID.sock`, the same socket of
one that has handed over; `owner`, which life serves, for the steward.
"""

import os
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from thistleline.config.schema import ProgramConfig
from thistleline.durable import writer as ledger_writer
from thistleline.durable.writer import hold, store_of
from thistleline.handover import channel as lines
from thistleline.handover.channel import Line
from thistleline.handover.messages import (
    FORMS,
    Agent,
    Answer,
    Ended,
    Forward,
    Hello,
    Later,
    Lodge,
    Measure,
    Message,
    Ready,
    Refused,
    Stop,
    Welcome,
    Yours,
    task_from_fields,
    task_to_fields,
)
from thistleline.handover.serving import tell_owner
from thistleline.handover.state_machine import ELDER, Succeeding
from thistleline.interface import Task
from thistleline.ledger import format as ledger_format
from thistleline.server.configuration import Unusable
from thistleline.server.service import Service
from thistleline.state.state_machine import Reducer
from thistleline.store.clock import boot_now
from thistleline.store.frames import CorruptFrameError
from thistleline.transport.codec import ProtocolError

AGAIN = 0.2  # s after 'later', before the heir asks again
HOLD_SPAN = 3.0  # s in which the ledger of one that has just died comes free
ALONE_AFTER = 0.5  # s without an heir, before one that has handed over links to the agent itself
GREETING = 1.0  # s
ANSWERS = ("finished", "rejected", "abandoned", "misunderstood")
AGENT_SAYS = ("agent_up", "agent_lost", "run_over", "measured", "declined")


class AttendedService(Service):
    reducer: Succeeding

    def furnish(self, conf: ProgramConfig | None, told: tuple[Any, ...]) -> Reducer:
        assert conf is not None
        assert conf.handover is not None
        if told[0].downstream != "none":
            raise Unusable("the part 'handover' hands over no calls to what lies below")
        if conf.ledger is None:
            raise Unusable("the part 'handover' wants the part 'ledger' beside it")
        self.folder = conf.handover.folder
        self.store = store_of(conf.ledger, told)
        self.read: dict[int, int] = {}  # how far each segment of the ledger was read
        self.keeper = lambda group: ledger_writer.Keeper(self.store, self.take, group).effects()
        self.elder: Line | None = None
        self.heir: Line | None = None
        self.inherited: Yours | None = None
        self.handed = False
        self.to_agent = True  # whether the link to the agent is this one's
        self.agent_scope: anyio.CancelScope | None = None
        self.reports_scope: anyio.CancelScope | None = None
        self.greeted = anyio.Event()  # the agent's first word is here
        self.awaits: socket.socket | None = None
        self.named = self.folder / "heir.sock"  # where it is awaited
        return Succeeding(*told, disk_bound=conf.ledger.disk, boot_ahead=boot_now() - told[6])

    # ---- before it serves

    async def stand(self) -> tuple[Any, socket.socket]:
        """Follows the server that runs here, or begins where none does. Raises Unusable, OSError."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        listener: socket.socket | None = None
        unusable: Unusable | None = None
        async with anyio.create_task_group() as group:
            try:
                sock = lines.reach(self.named)
                if sock is not None:
                    listener = await self._follow(Line(sock, group))
                if self.inherited is None:
                    await self._begin(group)
            except Unusable as error:
                unusable = error
        if unusable is not None:
            raise unusable
        begun = time.monotonic()
        found = await anyio.to_thread.run_sync(self._read_last)
        self.note(
            "ledger", state="recovered", effects=len(found), ms=round(1000 * (time.monotonic() - begun))
        )
        return found, listener if listener is not None else await self.listen()

    async def _follow(self, line: Line) -> socket.socket | None:
        """Reads what it will have, and asks for it; with nothing inherited where the elder died before."""
        try:
            line.send(Hello(reads=ledger_format.READABLE_VERSIONS))
            told = await line.receive()
            if isinstance(told, Refused):
                raise Unusable(f"the server that runs here does not hand over: {told.why}")
            while isinstance(told, Welcome | Later):
                if isinstance(told, Later):
                    self.note("succession", state="later", why=told.why)
                    await anyio.sleep(AGAIN)
                await anyio.to_thread.run_sync(self._read_some)
                line.send(Ready())
                told = await line.receive()
        except (ProtocolError, msgspec.MsgspecError) as error:
            raise Unusable(f"the server that runs here can't be understood: {error}") from error
        if not isinstance(told, Yours):
            line.close()
            return None
        self.elder, self.inherited = line, told
        left = list(line.descriptors)
        line.descriptors.clear()
        if told.lock:
            self.store.disk.lock_fd = left.pop(0)
        if not told.listener:
            return None
        listener = socket.socket(fileno=left.pop(0))
        listener.setblocking(False)
        return listener

    async def _begin(self, group: TaskGroup) -> None:
        """With nobody to follow, but for one that handed over to one that is gone."""
        until = time.monotonic() + HOLD_SPAN
        while True:
            try:
                hold(self.store.disk)
                break
            except Unusable:
                if time.monotonic() > until:
                    raise
            await anyio.sleep(0.02)
        for path in sorted(self.folder.glob("elder-*.sock")):
            sock = lines.reach(path)
            if sock is None:
                path.unlink(missing_ok=True)
                continue
            line = Line(sock, group)
            line.send(Hello(reads=ledger_format.READABLE_VERSIONS))
            told: Message | None = None
            with suppress(ProtocolError, msgspec.MsgspecError), anyio.move_on_after(1.0):
                told = await line.receive()
                while isinstance(told, Welcome):
                    line.send(Ready())
                    told = await line.receive()
            if isinstance(told, Yours) and self.elder is None:
                self.elder, self.inherited = line, told
            else:
                line.close()

    def _read_some(self) -> None:
        with suppress(OSError):
            self.store.read_appended(self.reducer.ledger, self.read, False, boot_now())

    def _read_last(self) -> list[Any]:
        try:
            self.store.read_appended(self.reducer.ledger, self.read, True, boot_now())
        except (CorruptFrameError, OSError) as error:
            raise Unusable(f"the ledger can't be read: {error}") from error
        return list(self.reducer.ledger.recovered_effects())

    # ---- while it serves

    def tasks(self, group: TaskGroup) -> list[Callable[..., Any]]:
        self.group = group
        for kind, does in (("forward", self._forward), ("heir_ended", self._heir_ended), ("hand", self._hand),
                           ("later", self._later), ("elder_told", self._elder_told)):  # fmt: skip
            self.does[kind] = does
        for kind in ANSWERS:
            self.does[kind] = self._answering(kind, self.does[kind])
        self.does["stop_accepting"] = self._stop_accepting
        self.agent.take = self._of_agent
        if self.inherited is not None:
            # Of one that lost its heir nothing is known here of what came after the last that it heard.
            notice = self.inherited.notice if self.inherited.lock else 0
            self.take("inherited", notice, self.inherited.runs, self.inherited.owned)
            assert self.elder is not None
            self.elder.group = group
            group.start_soon(self._hear_elder, self.elder)
        self.awaits = lines.listen(self.named)
        tell_owner(self.folder, os.environ.get("ROUTER_LIFE", "0"))
        self.note("succession", state="serves", followed=self.inherited is not None)
        return [
            *(self._accept, self.hold_agent, self.backend.hold, self._report, self.pump, self.figures),
            self._await_heirs,
        ]

    async def _accept(self) -> None:
        await self._greeting()
        await self.front.accept()

    async def _greeting(self) -> None:
        """Whoever follows another has tasks at once. The agent's first word says whether the machine is warm;
        guards against a module that takes a warm machine for a cold one."""
        if self.inherited is not None:
            with anyio.move_on_after(GREETING):
                await self.greeted.wait()

    async def hold_agent(self) -> None:
        with anyio.CancelScope() as self.agent_scope:
            await super().hold_agent()

    async def _report(self) -> None:
        with anyio.CancelScope() as self.reports_scope:
            await self.announcer.keep_reporting()

    def _of_agent(self, kind: str, *told: Any) -> None:
        if self.to_agent:
            self.take(kind, *told)
            if kind == "agent_up":
                self.greeted.set()

    def _stop_accepting(self) -> None:
        """Of one that has handed over what waits at the socket is the heir's."""
        if not self.handed:
            self.front.stop_accepting()
            return
        listener, self.front.listener = self.front.listener, None
        if listener is not None:
            anyio.notify_closing(listener)
            listener.close()

    # ---- its elder

    async def _hear_elder(self, line: Line) -> None:
        await self._greeting()
        try:
            while (told := await line.receive()) is not None:
                match told:
                    case Lodge(id, stage, body):
                        self.take("lodge", id, stage, body)
                    case Stop(id):
                        self.take("lodger_stop", id)
                    case Measure(tag):
                        self.take("lodger_measure", tag)
                    case Ended(number, how, result):
                        self.take("elder_ended", number, how, result)
                    case Forward():
                        self._forwarded(told)
        except (ProtocolError, msgspec.MsgspecError) as error:
            self.note("succession", state="elder not understood", why=str(error))
        line.close()
        self.elder = None
        self.note("succession", state="elder gone")
        self.take("elder_gone")

    def _forwarded(self, told: Forward) -> None:
        settings, skew = self.configuration.settings, self.clock.skew()
        stages = [place for place, stage in enumerate(settings.stages) if stage.name == told.stage]
        owners = [place for place, owner in enumerate(settings.tenants) if owner.name == told.owner]
        if not stages or not owners:
            text = f"there is no stage {told.stage!r} or no owner {told.owner!r} any more"
            self._tell_elder(Answer(told.name, "misunderstood", [None, text]))
            return
        task = task_from_fields({**told.task, "stage": stages[0], "owner": owners[0]})
        deadline = None if task.deadline is None else task.deadline + skew
        task = replace(task, arrived_at=task.arrived_at + skew, deadline=deadline)
        self.take("forwarded", told.name, task, told.word, told.body)

    def _tell_elder(self, message: Message) -> None:
        if self.elder is not None:
            self.elder.send(message)

    def _elder_told(self, kind: str, told: list[Any]) -> None:
        self._tell_elder(Agent(kind, told))

    def _answering(self, kind: str, front: Callable[..., None]) -> Callable[..., None]:
        def answer(name: int, seq: int, *told: Any) -> None:
            if name == ELDER:
                plain = [bytes(one) if isinstance(one, memoryview) else one for one in told]
                self._tell_elder(Answer(seq, kind, plain))
            else:
                front(name, seq, *told)

        return answer

    # ---- its heir

    async def _await_heirs(self) -> None:
        assert self.awaits is not None
        while True:
            await anyio.wait_readable(self.awaits)
            with suppress(BlockingIOError, ConnectionAbortedError):
                sock, _ = self.awaits.accept()
                self.group.start_soon(self._hear_heir, Line(sock, self.group))

    async def _hear_heir(self, line: Line) -> None:
        """Whatever it says ends no more than its line."""
        if self.heir is not None:
            line.send(Refused("another one follows already"))
            line.close()
            return
        try:
            told = await line.receive()
            if not isinstance(told, Hello):
                return
            why = ""
            if min(told.most, FORMS[1]) < max(told.least, FORMS[0]):
                why = f"no common form: {told.least} to {told.most} and {FORMS[0]} to {FORMS[1]}"
            elif ledger_format.FORMAT_VERSION not in told.reads:
                written = ledger_format.FORMAT_VERSION
                why = f"the ledger has form {written}, the follower reads {list(told.reads)}"
            if why or self.heir is not None:
                line.send(Refused(why or "another one follows already"))
                return
            self.heir = line
            line.send(Welcome(min(told.most, FORMS[1])))
            while (told := await line.receive()) is not None:
                match told:
                    case Ready():
                        by = self.clock.now() + self.configuration.stop_span
                        self.take("heir_again" if self.handed else "heir_ready", by)
                    case Agent(kind, values) if kind in AGENT_SAYS:
                        self.take(kind, *values)
                    case Answer(name, kind, values) if kind in ANSWERS:
                        self.take("away_over", str(name), kind, values)
        except (ProtocolError, msgspec.MsgspecError) as error:
            self.note("succession", state="heir not understood", why=str(error))
        finally:
            line.close()
            if self.heir is line:
                self.heir = None
                self.note("succession", state="heir gone", handed=self.handed)
                self.take("heir_gone")
                if self.handed:
                    self.group.start_soon(self._alone)

    def _later(self, why: str) -> None:
        self.note("succession", state="later", why=why)
        if self.heir is not None:
            self.heir.send(Later(why))

    def _hand(self, notice: int, runs: tuple[str, ...], owned: tuple[Any, ...], again: bool) -> None:
        """The one moment: with the message the ledger and the socket are the heir's."""
        heir = self.heir
        listener = self.front.listener if not again else None
        if not again:
            self.handed = True
            elder = self.folder / f"elder-{os.getpid()}.sock"
            with suppress(OSError):
                self.named.rename(elder)
                self.named = elder
            if self.reports_scope is not None:  # the heir reports under the same name
                self.reports_scope.cancel()
        self.to_agent = False
        if self.agent_scope is not None:
            self.agent_scope.cancel()
        agent = self.agent
        if agent.stream is not None:
            agent.flush()
            agent.stream.close()
        self._send_by_heir()
        descriptors = [self.store.disk.lock_fd] if not again else []
        if listener is not None:
            descriptors.append(listener.fileno())
        message = Yours(notice, runs, owned, not again, listener is not None)
        try:
            if heir is None:
                raise OSError("the heir is gone")
            heir.send_with(message, descriptors)
        except OSError as error:
            self.note("succession", state="heir lost", why=str(error))
            if heir is not None:
                heir.close()
        if not again:
            self.store.disk.release()
        facts = {"froze_us": self.reducer.froze_for // 1000, "runs": len(runs), "again": again}
        self.note("succession", state="handed over", **facts)

    def _send_by_heir(self) -> None:
        self.does |= {
            "start": lambda id, stage, body: self._tell_heir(Lodge(id, stage, bytes(body))),
            "stop": lambda id: self._tell_heir(Stop(id)),
            "measure": lambda tag: self._tell_heir(Measure(tag)),
            "deep_check": lambda tag: self.take("deep_checked", tag, True),
            "report": lambda taking: None,
        }

    def _tell_heir(self, message: Message) -> None:
        if self.heir is not None:
            self.heir.send(message)

    def _heir_ended(self, number: int, how: str, result: bytes) -> None:
        self._tell_heir(Ended(number, how, result))

    def _forward(self, name: str, task: Task, stage: str, owner: str, word: str | None, body: bytes) -> None:
        skew = self.clock.skew()
        deadline = None if task.deadline is None else task.deadline - skew
        told = task_to_fields(replace(task, arrived_at=task.arrived_at - skew, deadline=deadline))
        self._tell_heir(Forward(int(name), stage, owner, told, word, body))

    async def _alone(self) -> None:
        """It has handed over and nobody is there: what it has running is asked of the agent itself, until an
        heir comes again."""
        await anyio.sleep(ALONE_AFTER)
        if self.heir is not None or self.to_agent:
            return
        self.note("succession", state="alone")
        self.to_agent = True
        self.does |= self.agent.effects()
        await self.hold_agent()
