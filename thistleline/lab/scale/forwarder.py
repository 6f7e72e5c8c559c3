"""A baseline in an instance's place that makes no decisions: `python -m thistleline.lab.scale.forwarder`.

It reads ROUTER_CONFIG, forwards each task to the agent as it is read, and each end of a run to the task's
sender. With the same callers, agent and connections, a request's latency here is what callers, agent,
loopback and a Python event loop take without an instance.
"""

import asyncio
import os
from typing import Any

from thistleline.server.configuration import Configuration, read_configuration
from thistleline.wire import agent, responses
from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import BUFFER_SIZE as AGENT_BUFFER_SIZE
from thistleline.wire.requests import BUFFER_SIZE, ClientCodec, HealthRequest, TaskRequest


class ForwarderConnection(asyncio.Protocol):
    """One connection: to the agent, or to a caller."""

    def __init__(self, forwarder: "Forwarder", buffer_size: int) -> None:
        """Take the forwarder and the size of the read buffer, in bytes."""
        self.forwarder = forwarder
        self.buffer = Buffer(buffer_size)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport for writing."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer the data, handling all whole messages whenever the buffer is filled."""
        while data:
            room = self.buffer.room()
            count = min(len(room), len(data))
            room[:count] = data[:count]
            self.buffer.filled(count)
            data = data[count:]
            self.handle_messages()

    def handle_messages(self) -> None:
        """Handle the whole messages in the buffer."""
        raise NotImplementedError


class CallerConnection(ForwarderConnection):
    """A caller's connection: its tasks go to the agent, its health checks are answered."""

    def handle_messages(self) -> None:
        """Forward the tasks and answer the health checks."""
        for request in self.forwarder.codec.decode_requests(self.buffer):
            if isinstance(request, TaskRequest):
                task = request.task
                self.forwarder.open[task.id] = self, request.sequence
                stage = self.forwarder.configuration.settings.stages[task.stage].name
                self.forwarder.agent.transport.write(agent.encode_start(task.id, stage, bytes(request.body)))
            elif isinstance(request, HealthRequest):
                self.transport.write(responses.encode_health(request.sequence, True, None))


class AgentConnection(ForwarderConnection):
    """The connection to the agent: ends of runs go to the callers."""

    def handle_messages(self) -> None:
        """Send each result to the caller that sent the task."""
        for notice in agent.decode_notices(self.buffer):
            if isinstance(notice, agent.RunEnded) and notice.task_id in self.forwarder.open:
                caller, sequence = self.forwarder.open.pop(notice.task_id)
                caller.transport.write(responses.encode_finished(sequence, bytes(notice.result), None))


class Forwarder:
    """The agent connection, and the open tasks by id: the caller's connection and sequence number."""

    def __init__(self, configuration: Configuration) -> None:
        """Take the configuration that an instance would have."""
        self.configuration = configuration
        self.codec = ClientCodec(configuration.settings)
        self.open: dict[str, tuple[ForwarderConnection, int]] = {}
        self.agent: ForwarderConnection

    async def serve(self) -> None:
        """Serve until the process is killed."""
        loop = asyncio.get_running_loop()
        _, self.agent = await loop.create_connection(
            lambda: AgentConnection(self, AGENT_BUFFER_SIZE), *self.configuration.agent
        )
        self.agent.transport.write(agent.encode_subscribe(0))
        server = await loop.create_server(
            lambda: CallerConnection(self, BUFFER_SIZE), *self.configuration.listen
        )
        print('{"event":"serving"}', flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(Forwarder(read_configuration(os.environ)).serve())
