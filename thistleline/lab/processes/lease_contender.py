"""One that wants a lease again and again, and acts on a resource while it holds it; a process of the lab."""

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


class Fenced(Exception):
    """The resource has seen a newer holder."""


class Resource:
    """The way to the recording resource."""

    def __init__(self, stream: SocketStream, who: str) -> None:
        self.stream, self.who = stream, who
        self.source = BufferedByteReceiveStream(stream)

    async def write(self, what: str, act: int, epoch: int) -> None:
        told = {"what": what, "who": self.who, "act": act, "epoch": epoch}
        await self.stream.send(orjson.dumps(told) + b"\n")
        if (await self.source.receive_until(b"\n", 100)) != b"ok":
            raise Fenced


async def contend(told: dict[str, Any]) -> None:
    chance, number = Random(told["seed"]), 0
    voters = {name: (host, port) for name, (host, port) in told["voters"].items()}
    async with anyio.create_task_group() as group:
        council = LeaseClient(voters, group, chance)
        while True:
            try:
                async with await anyio.connect_tcp(*told["resource"]) as stream:
                    resource = Resource(stream, told["who"])
                    while True:
                        number += 1
                        async with lease(council, told["name"], told["length"], owner=told["who"]) as held:
                            await acts(resource, held, chance, number * 1000, told)
                        await anyio.sleep(chance.uniform(0.0, told["pause"]))
            except (LeaseLostError, LeaseTimeoutError) as error:
                print(json.dumps({"event": "lost", "why": str(error)}), flush=True)
            except (LeaseRefusedError, Fenced, *DISCONNECT_ERRORS):
                await anyio.sleep(0.01)
            except BaseExceptionGroup as error:
                if (
                    error.split(
                        (LeaseLostError, LeaseRefusedError, Fenced, LeaseTimeoutError, *DISCONNECT_ERRORS)
                    )[1]
                    is not None
                ):
                    raise
                await anyio.sleep(0.01)


async def acts(
    resource: Resource, held: HeldLease, chance: Random, number: int, told: dict[str, Any]
) -> None:
    """Some acts, each of a few writes; then it gives the lease back."""
    longest = told["longest"]
    for act in range(number, number + chance.randint(1, told["acts"])):
        async with held.act(longest):
            await resource.write("begin", act, held.epoch)
            for _ in range(2):
                await anyio.sleep(chance.uniform(0.0, longest / 4))
                await resource.write("step", act, held.epoch)
            await resource.write("end", act, held.epoch)


def main(text: str) -> int:
    anyio.run(contend, json.loads(text))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
