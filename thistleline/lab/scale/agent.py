"""A farm agent whose results are the durations of its runs: `python -m thistleline.lab.scale.agent MS`.

The process prints its port as a line and ends with its standard input. The result of a run is the time from
reading its launch to sending its end, in nanoseconds as digits: what a caller waited beyond that is due to
the server and the connections between.
"""

import sys
import time

import anyio
import anyio.to_thread

from thistleline.lab.processes.render_farm import FakeFarmAgent


class TimedFarm(FakeFarmAgent):
    """An agent that reports durations and keeps no record of its runs, as it is for long loads."""

    def _launch(self, id: str, body: bytes) -> None:
        if id not in self.running:
            self.running[id] = body
            self.group.start_soon(self._timed, id, time.monotonic_ns())

    async def _timed(self, id: str, started_at: int) -> None:
        await anyio.sleep(self.run_seconds[0] - (time.monotonic_ns() - started_at) / 1e9)
        took = time.monotonic_ns() - started_at
        await self._finish(id, f"{took / 1e6:.3f}", b"%d" % took)


async def serve(run_ms: float) -> None:
    """Serve with runs of `run_ms` milliseconds until standard input ends."""
    farm = TimedFarm(1, (run_ms / 1000, run_ms / 1000))
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        print(farm.port, flush=True)
        await anyio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(serve, float(sys.argv[1]))
