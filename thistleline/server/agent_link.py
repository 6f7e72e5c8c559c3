"""The link to the render farm agent: held open, made anew when it ends."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import Dials, Stream
from thistleline.wire import agent
from thistleline.wire.errors import MalformedMessageError
from thistleline.wire.lines import BUFFER_SIZE

WRITE_BOUND = 4 * 1024 * 1024
DIAL_FIRST, DIAL_MOST = 1.0, 16.0  # s, for a connection
PAUSES = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4)  # after a link that carried nothing, the last again and again


class AgentLink:
    def __init__(self, address: Address, take: Callable[..., None], group: TaskGroup) -> None:
        self.address, self.take, self.group = address, take, group
        self.stream: Stream | None = None
        self.trying = anyio.CancelScope()
        self.dials = Dials(DIAL_FIRST, DIAL_MOST)

    def move(self, address: Address) -> None:
        """The agent is elsewhere now: ends the link, or the try to make one, and makes one there at once."""
        if address != self.address:
            self.address, self.dials = address, Dials(DIAL_FIRST, DIAL_MOST)
            self.flush()
            self.trying.cancel()

    async def hold(self, last_notice: Callable[[], int]) -> None:
        tries = 0
        while True:
            with anyio.CancelScope() as self.trying:
                # Cores may idle without a link; guards against pauses that grow by breaks in a row.
                if await self._link(last_notice):
                    tries = 0
                await anyio.sleep(PAUSES[min(tries, len(PAUSES) - 1)])
                tries += 1
            if self.trying.cancelled_caught:
                tries = 0

    async def _link(self, last_notice: Callable[[], int]) -> bool:
        """One link from its making to its end; whether it carried a notice. The reducer hears of the end
        before another is made."""
        why, carried = "closed", False
        try:
            sock = await self.dials.dial(self.address)
            self.stream = Stream(sock, self.group, BUFFER_SIZE, WRITE_BOUND)
            self.stream.write(agent.encode_subscribe(last_notice()))
            self.stream.flush()
            while True:
                self.stream.ask()
                if not await self.stream.read():
                    break
                for notice in agent.decode_notices(self.stream.buffer):
                    carried = True
                    self._take_notice(notice)
        except (OSError, TimeoutError, anyio.ClosedResourceError) as error:
            why = str(error) or type(error).__name__
        except Exception as error:  # whatever a link brings ends that link alone
            why = f"{type(error).__name__}: {error}"
            if isinstance(error, MalformedMessageError):
                carried = False  # guards the processor against an agent that says the same again at once
        finally:
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            self.take("agent_lost", why)
        return carried

    def _take_notice(self, notice: agent.Notice) -> None:
        match notice:
            case agent.RunEnded(number, task_id, outcome, duration, result):
                self.take("run_over", number, task_id, outcome, duration, result)
            case agent.CallRequested(number, task_id, body):
                self.take("wants_call", number, task_id, body)
            case agent.GaugesSampled(tag, values):
                self.take("measured", tag, values)
            case agent.AgentGreeting(is_new, age):
                self.take("agent_up", is_new, age)
            case agent.DeepCheckEnded(tag, healthy):
                self.take("deep_checked", tag, healthy)
            case agent.CommandRefused(command, target):
                self.take("declined", command, target)
            case agent.Remark(number):
                self.take("remark", number)
            case agent.UnknownNotice(text):
                self.take("unknown", text)

    # ---- effects

    def effects(self) -> dict[str, Callable[..., None]]:
        """What it carries out, by the kind of effect."""
        return {
            "start": self.start,
            "stop": self.stop,
            "measure": self.measure,
            "deep_check": self.deep_check,
            "deliver": self.deliver,
            "skip_call": self.skip_call,
        }

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.write(data)

    def start(self, task: str, stage: str, body: bytes) -> None:
        self._write(agent.encode_start(task, stage, body))

    def stop(self, task: str) -> None:
        self._write(agent.encode_stop(task))

    def measure(self, tag: str) -> None:
        self._write(agent.encode_sample(tag))

    def deep_check(self, tag: str) -> None:
        self._write(agent.encode_deep_check(tag))

    def deliver(self, task: str, result: bytes) -> None:
        self._write(agent.encode_deliver(task, result))

    def skip_call(self, task: str, number: int) -> None:
        self._write(agent.encode_skip_call(task, number))

    def flush(self) -> None:
        if self.stream is not None and not self.stream.flush():
            self.stream.close()  # the reader learns of it and makes a new link
