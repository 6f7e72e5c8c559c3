"""What stands where an instance would, and decides nothing: `python -m thistleline.lab.scale.forwarder` with
ROUTER_CONFIG. Each task goes to the agent as it is read, each end of a run back to whoever sent the task.

The same callers and the same agent on the same ways: what a request takes here, callers, agent, loopback and
a loop in Python take without an instance.
"""

import asyncio
import os
from typing import Any

from thistleline.server.configuration import Configuration, read_configuration
from thistleline.wire import agent, responses
from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import BUFFER_SIZE as AGENT_BUFFER_SIZE
from thistleline.wire.requests import BUFFER_SIZE, ClientCodec, HealthRequest, TaskRequest


class Ends(asyncio.Protocol):
    """One connection: to the agent, or to a caller."""

    def __init__(self, hall: "Hall", bound: int) -> None:
        self.hall, self.buffer = hall, Buffer(bound)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        while data:
            room = self.buffer.room()
            count = min(len(room), len(data))
            room[:count] = data[:count]
            self.buffer.filled(count)
            data = data[count:]
            self.take()

    def take(self) -> None:
        raise NotImplementedError


class CallerEnd(Ends):
    def take(self) -> None:
        for request in self.hall.codec.decode_requests(self.buffer):
            if isinstance(request, TaskRequest):
                task = request.task
                self.hall.open[task.id] = self, request.sequence
                stage = self.hall.configuration.settings.stages[task.stage].name
                self.hall.agent.transport.write(agent.encode_start(task.id, stage, bytes(request.body)))
            elif isinstance(request, HealthRequest):
                self.transport.write(responses.encode_health(request.sequence, True, None))


class AgentEnd(Ends):
    def take(self) -> None:
        for notice in agent.decode_notices(self.buffer):
            if isinstance(notice, agent.RunEnded) and notice.task_id in self.hall.open:
                caller, sequence = self.hall.open.pop(notice.task_id)
                caller.transport.write(responses.encode_finished(sequence, bytes(notice.result), None))


class Hall:
    """Both sides, and the tasks between them: by id, who sent them under which number."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.codec = ClientCodec(configuration.settings)
        self.open: dict[str, tuple[Ends, int]] = {}
        self.agent: Ends

    async def serve(self) -> None:
        """To the end of the process, which is whoever started it."""
        loop = asyncio.get_running_loop()
        _, self.agent = await loop.create_connection(
            lambda: AgentEnd(self, AGENT_BUFFER_SIZE), *self.configuration.agent
        )
        self.agent.transport.write(agent.encode_subscribe(0))
        server = await loop.create_server(lambda: CallerEnd(self, BUFFER_SIZE), *self.configuration.listen)
        print('{"event":"serving"}', flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(Hall(read_configuration(os.environ)).serve())
