"""A process of the lab that acquires a lease again and again and acts on a resource while it holds it."""

import json
import sys
from random import Random
from typing import Any

import anyio
import orjson
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError, LeaseTimeoutError
from thistleline.lease.session import HeldLease, lease
from thistleline.transport.disconnects import DISCONNECT_ERRORS


class FencedError(Exception):
    """The resource refused a write, as it has seen a newer fencing token."""


class ResourceClient:
    """A connection to the recording resource (lab/leases.py)."""

    def __init__(self, stream: SocketStream, who: str) -> None:
        """Wrap a connection; `who` is the contender's name, sent with each write."""
        self.stream, self.who = stream, who
        self.source = BufferedByteReceiveStream(stream)

    async def write(self, what: str, act: int, epoch: int) -> None:
        """Send one write and wait until the resource has recorded it.

        Args:
            what: "begin", "step" or "end" of an act.
            act: Number of the act.
            epoch: Fencing token.

        Raises:
            FencedError: The resource refused the write.
        """
        request = {"what": what, "who": self.who, "act": act, "epoch": epoch}
        await self.stream.send(orjson.dumps(request) + b"\n")
        if (await self.source.receive_until(b"\n", 100)) != b"ok":
            raise FencedError


async def contend(plan: dict[str, Any]) -> None:
    """Acquire the lease, act and release it, again and again.

    Args:
        plan: `voters` (addresses by replica), `resource` (its address), `who` (the contender's name), `name`
            of the lease, its `length` (s), `acts` (most for each lease), `longest` duration of an act (s),
            longest `pause` between two leases (s), `seed`.
    """
    rng, number = Random(plan["seed"]), 0
    replicas = {name: (host, port) for name, (host, port) in plan["voters"].items()}
    async with anyio.create_task_group() as group:
        client = LeaseClient(replicas, group, rng)
        while True:
            try:
                async with await anyio.connect_tcp(*plan["resource"]) as stream:
                    resource = ResourceClient(stream, plan["who"])
                    while True:
                        number += 1
                        async with lease(client, plan["name"], plan["length"], owner=plan["who"]) as held:
                            await perform_acts(resource, held, rng, number * 1000, plan)
                        await anyio.sleep(rng.uniform(0.0, plan["pause"]))
            except (LeaseLostError, LeaseTimeoutError) as error:
                print(json.dumps({"event": "lost", "why": str(error)}), flush=True)
            except (LeaseRefusedError, FencedError, *DISCONNECT_ERRORS):
                await anyio.sleep(0.01)
            except BaseExceptionGroup as error:
                if (
                    error.split(
                        (
                            LeaseLostError,
                            LeaseRefusedError,
                            FencedError,
                            LeaseTimeoutError,
                            *DISCONNECT_ERRORS,
                        )
                    )[1]
                    is not None
                ):
                    raise
                await anyio.sleep(0.01)


async def perform_acts(
    resource: ResourceClient, held: HeldLease, rng: Random, number: int, plan: dict[str, Any]
) -> None:
    """Perform a random number of acts, each of several writes, under a held lease.

    Args:
        resource: Where the acts are written.
        held: The lease.
        rng: Source of all draws.
        number: Of the first act.
        plan: See `contend`.
    """
    longest = plan["longest"]
    for act in range(number, number + rng.randint(1, plan["acts"])):
        async with held.act(longest):
            await resource.write("begin", act, held.epoch)
            for _ in range(2):
                await anyio.sleep(rng.uniform(0.0, longest / 4))
                await resource.write("step", act, held.epoch)
            await resource.write("end", act, held.epoch)


def main(text: str) -> int:
    """Run a contender; `text` is its plan as JSON."""
    anyio.run(contend, json.loads(text))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
