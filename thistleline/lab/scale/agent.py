"""A farm agent in a process of its own, whose results say how long it had the run in hand:
`python -m thistleline.lab.scale.agent MS`. It tells its port in a line and ends with its standard input.

The result of a run is the nanoseconds from when its launch was read to when its end was sent, in digits: what
a caller waited beyond that, the server and the ways between took.
"""

import sys
import time

import anyio
import anyio.to_thread

from thistleline.lab.processes.render_farm import FakeFarmAgent


class TimedFarm(FakeFarmAgent):
    """Keeps no record of its runs: it is for long loads."""

    def _launch(self, id: str, body: bytes) -> None:
        if id not in self.running:
            self.running[id] = body
            self.group.start_soon(self._timed, id, time.monotonic_ns())

    async def _timed(self, id: str, begun: int) -> None:
        await anyio.sleep(self.run_seconds[0] - (time.monotonic_ns() - begun) / 1e9)
        took = time.monotonic_ns() - begun
        await self._finish(id, f"{took / 1e6:.3f}", b"%d" % took)


async def serve(ms: float) -> None:
    farm = TimedFarm(1, (ms / 1000, ms / 1000))
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        print(farm.port, flush=True)
        await anyio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(serve, float(sys.argv[1]))
