"""The connection (link) to the agent that runs tasks; reconnects whenever the connection ends."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import ReconnectBackoff, Stream
from thistleline.state.effects import (
    CheckAgent,
    DeliverCallResult,
    MeasureGauges,
    SkipRunCall,
    StartRun,
    StopRun,
)
from thistleline.state.events import (
    AgentEvent,
    AgentGreeted,
    AgentLost,
    CallWanted,
    CommandDeclined,
    DeepCheckCompleted,
    GaugesMeasured,
    RemarkReceived,
    RunCompleted,
    UnknownNotice,
)
from thistleline.wire import agent
from thistleline.wire.errors import MalformedMessageError
from thistleline.wire.lines import BUFFER_SIZE

MAX_UNWRITTEN = 4 * 1024 * 1024  # bytes
CONNECT_TIMEOUT = 1.0  # s, timeout of the first connection attempt
MAX_CONNECT_TIMEOUT = 16.0  # s, the most to which the timeout grows
# Delays before reconnecting, in s, indexed by the number of consecutive links that carried no notice; the
# last delay is used for all higher numbers.
RECONNECT_DELAYS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4)


def _to_event(notice: agent.Notice) -> AgentEvent:
    """Convert a notice from the agent to an event of the state machine."""
    match notice:
        case agent.RunEnded(number, attempt_id, outcome, duration, result):
            return RunCompleted(number, attempt_id, outcome, duration, result)
        case agent.GaugesSampled(tag, values):
            return GaugesMeasured(tag, values)
        case agent.CallRequested(number, attempt_id, body):
            return CallWanted(number, attempt_id, body)
        case agent.AgentGreeting(is_new, age):
            return AgentGreeted(is_new, age)
        case agent.DeepCheckEnded(tag, healthy):
            return DeepCheckCompleted(tag, healthy)
        case agent.CommandRefused(command, target):
            return CommandDeclined(command, target)
        case agent.Remark(number):
            return RemarkReceived(number)
        case agent.UnknownNotice(text):
            return UnknownNotice(text)


class AgentLink:
    """Keeps a link to the agent open and carries out the effects that send commands over it."""

    def __init__(self, address: Address, handle: Callable[[Any], None], group: TaskGroup) -> None:
        """Start without a link.

        Args:
            address: Where the agent listens.
            handle: Receives the agent's notices as events.
            group: Runs the streams' pending writes.
        """
        self.address = address
        self.handle = handle
        self.stream: Stream | None = None
        self._group = group
        self._attempt = anyio.CancelScope()
        self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)

    def set_address(self, address: Address) -> None:
        """Switch to the agent at another address; the current link or connection attempt ends at once."""
        if address != self.address:
            self.address = address
            self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
            self.flush()
            self._attempt.cancel()

    async def run(self, last_notice: Callable[[], int]) -> None:
        """Connect to the agent again and again, each time serving the link until it ends.

        Args:
            last_notice: Returns the number of the last notice that was handled.
        """
        idle_links = 0
        while True:
            with anyio.CancelScope() as self._attempt:
                # Cores may be idle without a link, so the delay grows only while links carry no notice.
                if await self._serve_link(last_notice()):
                    idle_links = 0
                await anyio.sleep(RECONNECT_DELAYS[min(idle_links, len(RECONNECT_DELAYS) - 1)])
                idle_links += 1
            if self._attempt.cancelled_caught:
                idle_links = 0

    async def _serve_link(self, last_notice: int) -> bool:
        """Connect and serve the link until it ends; return whether it carried a notice.

        The state machine receives `AgentLost` before the next link is opened.
        """
        reason = "closed"
        carried = False
        try:
            sock = await self._backoff.connect(self.address)
            self.stream = Stream(sock, self._group, BUFFER_SIZE, MAX_UNWRITTEN)
            self.stream.write(agent.encode_subscribe(last_notice))
            self.stream.flush()
            while True:
                self.stream.request_read()
                if not await self.stream.read():
                    break
                for notice in agent.decode_notices(self.stream.buffer):
                    carried = True
                    self.handle(_to_event(notice))
        except (OSError, TimeoutError, anyio.ClosedResourceError) as error:
            reason = str(error) or type(error).__name__
        except Exception as error:  # an error on a link ends only that link
            reason = f"{type(error).__name__}: {error}"
            if isinstance(error, MalformedMessageError):
                # Back off, so that an agent that repeats the malformed message uses little CPU time.
                carried = False
        finally:
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            self.handle(AgentLost(reason))
        return carried

    # ---- effects

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each class of effect."""
        return {
            StartRun: self._start,
            StopRun: self._stop,
            MeasureGauges: self._measure,
            CheckAgent: self._check,
            DeliverCallResult: self._deliver,
            SkipRunCall: self._skip_call,
        }

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.write(data)

    def _start(self, effect: StartRun) -> None:
        self._write(agent.encode_start(effect.attempt_id, effect.stage, effect.body))

    def _stop(self, effect: StopRun) -> None:
        self._write(agent.encode_stop(effect.attempt_id))

    def _measure(self, effect: MeasureGauges) -> None:
        self._write(agent.encode_sample(effect.tag))

    def _check(self, effect: CheckAgent) -> None:
        self._write(agent.encode_deep_check(effect.tag))

    def _deliver(self, effect: DeliverCallResult) -> None:
        self._write(agent.encode_deliver(effect.attempt_id, effect.result))

    def _skip_call(self, effect: SkipRunCall) -> None:
        self._write(agent.encode_skip_call(effect.attempt_id, effect.number))

    def flush(self) -> None:
        """Write the queued commands."""
        if self.stream is not None and not self.stream.flush():
            self.stream.close()  # ends the pending read; `run` then reconnects
