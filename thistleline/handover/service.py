"""The I/O of a server that takes over and hands over: sockets, descriptors and the ledger's folder.

Files in the handover folder: `heir.sock`, the socket where the serving process listens for its successor;
`elder-PID.sock`, the same socket of a process that has handed over and still runs; `owner`, which tells the
supervisor which incarnation (numbered process of this server) serves.
"""

import os
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import replace
from typing import Any, cast

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from thistleline.config.schema import ProgramConfig
from thistleline.durable.writer import LedgerWriter, make_store
from thistleline.handover import channel as channels
from thistleline.handover.channel import HandoverChannel
from thistleline.handover.effects import (
    ForwardTask,
    HandOver,
    PostponeHandover,
    RelayAgentEvent,
    ReportRunEnd,
)
from thistleline.handover.events import (
    ForwardedAnswered,
    HostedMeasureRequested,
    HostedRunStarted,
    HostedRunStopped,
    Inherited,
    PredecessorGone,
    PredecessorRunEnded,
    SuccessorGone,
    SuccessorReady,
    SuccessorReplaced,
    TaskForwarded,
)
from thistleline.handover.messages import (
    PROTOCOL_VERSIONS,
    AgentEventMessage,
    Answer,
    EffectEnded,
    Forward,
    Grant,
    Hello,
    MeasureGaugesFor,
    Message,
    Postponed,
    Ready,
    Refused,
    StartHostedRun,
    StopHostedRun,
    Welcome,
    task_to_fields,
)
from thistleline.handover.relay import (
    ANSWER_KINDS,
    decode_agent_event,
    decode_answer,
    decode_forwarded_task,
    encode_agent_event,
    encode_answer,
)
from thistleline.handover.serving import write_owner
from thistleline.handover.state_machine import PREDECESSOR_CONNECTION, HandoverStateMachine
from thistleline.handover.takeover import SOCKET_NAME, Takeover
from thistleline.interface import RunOutcome
from thistleline.ledger import format as ledger_format
from thistleline.server.configuration import ConfigurationError
from thistleline.server.service import Service
from thistleline.state.effects import (
    AnnounceAccepting,
    CheckAgent,
    MeasureGauges,
    StartRun,
    StopAccepting,
    StopRun,
)
from thistleline.state.events import AgentEvent, AgentGreeted, DeepCheckCompleted
from thistleline.state.options import MachineOptions
from thistleline.store.clock import boot_now
from thistleline.transport.codec import ProtocolError

# Durations in seconds.
AGENT_RECONNECT_DELAY = 0.5  # after the successor is lost, before this server connects to the agent itself
GREETING_TIMEOUT = 1.0  # maximum wait for the agent's greeting, the first notice on a link


class HandoverService(Service):
    """A `Service` that takes over from the server on its machine, if one runs, and hands over to the next."""

    machine: HandoverStateMachine

    def _make_machine(
        self, conf: ProgramConfig | None, options: MachineOptions, now: int
    ) -> HandoverStateMachine:
        assert conf is not None
        assert conf.handover is not None
        if options.settings.downstream != "none":
            raise ConfigurationError("the part 'handover' does not support downstream calls")
        if conf.ledger is None:
            raise ConfigurationError("the part 'handover' requires the part 'ledger'")
        self.folder = conf.handover.folder
        self.store = make_store(conf.ledger, options)
        self.make_writer = lambda group: LedgerWriter(self.store, self.handle, group).effect_handlers()
        self._predecessor: HandoverChannel | None = None
        self._successor: HandoverChannel | None = None
        self._inherited: Grant | None = None
        self._has_handed_over = False
        self._owns_agent_link = True
        self._agent_scope: anyio.CancelScope | None = None
        self._reports_scope: anyio.CancelScope | None = None
        self._agent_greeted = anyio.Event()
        self._successor_socket: socket.socket | None = None  # listens for a successor
        self._socket_path = self.folder / SOCKET_NAME  # path of `_successor_socket`
        return HandoverStateMachine(
            options,
            now,
            self.lifecycle,
            max_disk_bytes=conf.ledger.disk,
            boot_offset=boot_now() - now,
        )

    # ---- preparation

    async def _prepare(self) -> tuple[Any, socket.socket]:
        """Take over from the server that runs here, or start without a predecessor if none does.

        Raises:
            ConfigurationError: The running server refuses the handover, or the ledger can't be locked or
                read.
            OSError: The listening socket can't be created.
        """
        takeover = Takeover(self.folder, self.store, self.machine.ledger, self.note)
        listener = await takeover.run()
        self._predecessor = takeover.predecessor
        self._inherited = takeover.grant
        started_at = time.monotonic()
        recovered = await anyio.to_thread.run_sync(takeover.read_remaining)
        elapsed_ms = round(1000 * (time.monotonic() - started_at))
        unmatched = len(self.machine.ledger.unmatched)
        self.note("ledger", state="recovered", effects=len(recovered), unmatched=unmatched, ms=elapsed_ms)
        return recovered, listener if listener is not None else await self._listen()

    # ---- serving

    def _tasks(self, group: TaskGroup) -> Iterable[Callable[[], Awaitable[None]]]:
        self.group = group
        self._add_effect_handlers()
        self.agent.handle = self._handle_agent
        if self._inherited is not None:
            self._apply_grant(self._inherited, group)
        self._successor_socket = channels.listen(self._socket_path)
        write_owner(self.folder, os.environ.get("ROUTER_LIFE", "0"))
        self.note("succession", state="serves", followed=self._inherited is not None)
        return [
            self._accept,
            self.run_agent_link,
            self.backend.run,
            self._report,
            self.process_deadlines,
            self.report_figures,
            self._await_successors,
        ]

    def _add_effect_handlers(self) -> None:
        handlers = self.effect_handlers
        for answer_class in ANSWER_KINDS:
            handlers[answer_class] = self._make_answer_handler(handlers[answer_class])
        handlers |= {
            ForwardTask: self._forward,
            ReportRunEnd: self._report_run_end,
            HandOver: self._hand_over,
            PostponeHandover: self._postpone,
            RelayAgentEvent: self._relay_agent_event,
            StopAccepting: self._stop_accepting,
        }

    def _apply_grant(self, inherited: Grant, group: TaskGroup) -> None:
        # If the predecessor lost its former successor, this server does not know the notices that the
        # predecessor has read since then.
        last_notice = inherited.last_notice if inherited.has_lock else 0
        self.handle(Inherited(last_notice, inherited.runs, inherited.owned_ids))
        assert self._predecessor is not None
        self._predecessor.group = group
        group.start_soon(self._serve_predecessor, self._predecessor)

    async def _accept(self) -> None:
        await self._wait_for_greeting()
        await self.clients.accept()

    async def _wait_for_greeting(self) -> None:
        """Wait for the agent's greeting if this server took over from another and so receives tasks at once.

        The greeting contains whether the machine is warm; without it the policy would treat a warm machine
        as a cold one.
        """
        if self._inherited is not None:
            with anyio.move_on_after(GREETING_TIMEOUT):
                await self._agent_greeted.wait()

    async def run_agent_link(self) -> None:
        """Hold the link to the agent until it is released to the successor."""
        with anyio.CancelScope() as self._agent_scope:
            await super().run_agent_link()

    async def _report(self) -> None:
        with anyio.CancelScope() as self._reports_scope:
            await self.announcer.keep_reporting()

    def _handle_agent(self, event: AgentEvent) -> None:
        if self._owns_agent_link:
            self.handle(event)
            if isinstance(event, AgentGreeted):
                self._agent_greeted.set()

    def _stop_accepting(self, effect: StopAccepting) -> None:
        """Stop accepting; after a handover, connections pending at the socket are left to the successor."""
        if self._has_handed_over:
            self.clients.abandon_listener()
        else:
            self.clients.stop_accepting()

    # ---- the predecessor

    async def _serve_predecessor(self, channel: HandoverChannel) -> None:
        await self._wait_for_greeting()
        try:
            while (message := await channel.receive()) is not None:
                match message:
                    case StartHostedRun(id, stage, body):
                        self.handle(HostedRunStarted(id, stage, body))
                    case StopHostedRun(id):
                        self.handle(HostedRunStopped(id))
                    case MeasureGaugesFor(tag):
                        self.handle(HostedMeasureRequested(tag))
                    case EffectEnded(number, outcome, result):
                        self.handle(PredecessorRunEnded(number, cast(RunOutcome, outcome), result))
                    case Forward():
                        self._handle_forwarded(message)
        except (ProtocolError, msgspec.MsgspecError) as error:
            self.note("succession", state="invalid message from predecessor", why=str(error))
        channel.close()
        self._predecessor = None
        self.note("succession", state="elder gone")
        self.handle(PredecessorGone())

    def _handle_forwarded(self, message: Forward) -> None:
        task = decode_forwarded_task(message, self.configuration.settings)
        if task is None:
            reason = f"there is no stage {message.stage!r} or no owner {message.tenant!r} any more"
            self._send_to_predecessor(Answer(message.number, "misunderstood", [None, reason]))
            return
        skew = self.clock.skew()
        deadline = None if task.deadline is None else task.deadline + skew
        task = replace(task, arrived_at=task.arrived_at + skew, deadline=deadline)
        self.handle(TaskForwarded(message.number, task, message.dedup_key, message.body))

    def _send_to_predecessor(self, message: Message) -> None:
        if self._predecessor is not None:
            self._predecessor.send(message)

    def _relay_agent_event(self, effect: RelayAgentEvent) -> None:
        self._send_to_predecessor(encode_agent_event(effect.event))

    def _make_answer_handler(self, answer_client: Callable[[Any], None]) -> Callable[[Any], None]:
        def answer(effect: Any) -> None:
            if effect.connection == PREDECESSOR_CONNECTION:
                self._send_to_predecessor(encode_answer(effect))
            else:
                answer_client(effect)

        return answer

    # ---- the successor

    async def _await_successors(self) -> None:
        assert self._successor_socket is not None
        while True:
            await anyio.wait_readable(self._successor_socket)
            with suppress(BlockingIOError, ConnectionAbortedError):
                sock, _ = self._successor_socket.accept()
                self.group.start_soon(self._serve_successor, HandoverChannel(sock, self.group))

    async def _serve_successor(self, channel: HandoverChannel) -> None:
        """Serve one successor; an invalid message ends only its channel."""
        try:
            # `Hello` is read before any refusal: if the channel were closed earlier, the successor's write
            # would fail and it would never read the reason of the refusal.
            hello = await channel.receive()
            if not isinstance(hello, Hello) or not self._accept_successor(channel, hello):
                return
            while (message := await channel.receive()) is not None:
                self._handle_successor(message)
        except (ProtocolError, msgspec.MsgspecError) as error:
            self.note("succession", state="invalid message from successor", why=str(error))
        finally:
            channel.close()
            if self._successor is channel:
                self._lose_successor()

    def _accept_successor(self, channel: HandoverChannel, hello: Hello) -> bool:
        """Accept the successor if protocol and ledger versions fit and no other successor is connected."""
        refusal = ""
        lowest, highest = PROTOCOL_VERSIONS
        if min(hello.max_version, highest) < max(hello.min_version, lowest):
            refusal = (
                f"no common protocol version: successor {hello.min_version} to {hello.max_version},"
                f" this server {lowest} to {highest}"
            )
        elif ledger_format.FORMAT_VERSION not in hello.ledger_versions:
            written = ledger_format.FORMAT_VERSION
            refusal = (
                f"the ledger has format version {written}, the successor reads {list(hello.ledger_versions)}"
            )
        elif self._successor is not None:
            refusal = "another successor is already connected"
        if refusal:
            channel.send(Refused(refusal))
            return False
        self._successor = channel
        channel.send(Welcome(min(hello.max_version, highest)))
        return True

    def _handle_successor(self, message: Message) -> None:
        match message:
            case Ready():
                stop_at = self.clock.now() + self.configuration.stop_timeout
                self.handle(SuccessorReplaced(stop_at) if self._has_handed_over else SuccessorReady(stop_at))
            case AgentEventMessage():
                event = decode_agent_event(message)
                if event is not None:
                    self.handle(event)
            case Answer():
                answer = decode_answer(message)
                if answer is not None:
                    self.handle(ForwardedAnswered(str(message.number), answer))

    def _lose_successor(self) -> None:
        self._successor = None
        self.note("succession", state="heir gone", handed=self._has_handed_over)
        self.handle(SuccessorGone())
        if self._has_handed_over:
            self.group.start_soon(self._reconnect_agent)

    def _send_to_successor(self, message: Message) -> None:
        if self._successor is not None:
            self._successor.send(message)

    def _postpone(self, effect: PostponeHandover) -> None:
        self.note("succession", state="later", why=effect.reason)
        self._send_to_successor(Postponed(effect.reason))

    def _report_run_end(self, effect: ReportRunEnd) -> None:
        self._send_to_successor(EffectEnded(effect.number, effect.outcome, effect.result))

    def _forward(self, effect: ForwardTask) -> None:
        task = effect.task
        skew = self.clock.skew()
        deadline = None if task.deadline is None else task.deadline - skew
        values = task_to_fields(replace(task, arrived_at=task.arrived_at - skew, deadline=deadline))
        self._send_to_successor(
            Forward(int(effect.name), effect.stage, effect.tenant, values, effect.dedup_key, effect.body)
        )

    # ---- the handover

    def _hand_over(self, effect: HandOver) -> None:
        """Hand over in one step: the grant transfers the ledger and the listening socket to the successor."""
        successor = self._successor
        listener = self.clients.listener if not effect.is_repeated else None
        if not effect.is_repeated:
            self._has_handed_over = True
            self._release_socket_path()
        self._release_agent()
        descriptors = [self.store.disk.lock_fd] if not effect.is_repeated else []
        if listener is not None:
            descriptors.append(listener.fileno())
        message = Grant(
            effect.last_notice, effect.runs, effect.owned_ids, not effect.is_repeated, listener is not None
        )
        try:
            if successor is None:
                raise OSError("the successor is gone")
            successor.send_with_descriptors(message, descriptors)
        except OSError as error:
            self.note("succession", state="heir lost", why=str(error))
            if successor is not None:
                successor.close()
        if not effect.is_repeated:
            self.store.disk.release()
        self.note(
            "succession",
            state="handed over",
            froze_us=self.machine.freeze_duration // 1000,
            runs=len(effect.runs),
            again=effect.is_repeated,
        )

    def _release_socket_path(self) -> None:
        """Rename this server's socket and stop its announce reports.

        The successor listens at the same path and reports under the same server name.
        """
        path = self.folder / f"elder-{os.getpid()}.sock"
        with suppress(OSError):
            self._socket_path.rename(path)
            self._socket_path = path
        if self._reports_scope is not None:
            self._reports_scope.cancel()

    def _release_agent(self) -> None:
        """Close the link to the agent; from now on commands are sent through the successor."""
        self._owns_agent_link = False
        if self._agent_scope is not None:
            self._agent_scope.cancel()
        if self.agent.stream is not None:
            self.agent.flush()
            self.agent.stream.close()
        self.effect_handlers |= {
            StartRun: self._start_through_successor,
            StopRun: lambda effect: self._send_to_successor(StopHostedRun(effect.attempt_id)),
            MeasureGauges: lambda effect: self._send_to_successor(MeasureGaugesFor(effect.tag)),
            CheckAgent: lambda effect: self.handle(DeepCheckCompleted(effect.tag, True)),
            AnnounceAccepting: lambda effect: None,
        }

    def _start_through_successor(self, effect: StartRun) -> None:
        self._send_to_successor(StartHostedRun(effect.attempt_id, effect.stage, bytes(effect.body)))

    async def _reconnect_agent(self) -> None:
        """Reconnect to the agent to get the ends of this process's runs, until another successor connects."""
        await anyio.sleep(AGENT_RECONNECT_DELAY)
        if self._successor is not None or self._owns_agent_link:
            return
        self.note("succession", state="alone")
        self._owns_agent_link = True
        self.effect_handlers |= self.agent.effect_handlers()
        await self.run_agent_link()
