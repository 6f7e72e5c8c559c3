"""One that follows the feed as an instance does and says what its look-ups answer; a process of the lab."""

import json
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any

import anyio
import orjson

from thistleline.config_feed.client import FeedClient

EVERY = 0.02  # s between two looks beside those at each state


async def follow(told: dict[str, Any]) -> None:
    sources = {name: (host, port) for name, (host, port) in told["sources"].items()}
    folder = Path(told["folder"]) if told.get("folder") else None
    keys, last = told["keys"], b""

    def say(*_: Any) -> None:
        nonlocal last
        found = {key: client.lookup(key) for key in keys}
        looked = {key: [orjson.loads(one.value) if one.value is not None else None, one.version, one.known]
                  for key, one in found.items()}  # fmt: skip
        table = client.table
        line = orjson.dumps({"event": "state", "number": table.sequence, "digest": table.digest("wide").hex(),
                             "looked": looked})  # fmt: skip
        if line != last:
            last = line
            print(line.decode(), flush=True)

    def log(event: str, **facts: Any) -> None:
        print(json.dumps({"event": event, **facts}), flush=True)

    log("born")
    client = FeedClient(told["who"], sources, log, folder, Random(told["seed"]), say)
    async with anyio.create_task_group() as group:
        group.start_soon(client.run)
        group.start_soon(_until_told, group.cancel_scope)
        while True:
            say()
            await anyio.sleep(EVERY)


async def _until_told(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def main(text: str) -> int:
    anyio.run(follow, json.loads(text))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
