"""A process of the lab that follows the config feed as an instance does and prints what look-ups answer.

It prints one JSON object a line: `born` once it runs, `state` each time the state or an answer differs from
the line before, and the events that the client logs.
"""

import json
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any

import anyio
import orjson

from thistleline.config_feed.client import FeedClient

LOOKUP_INTERVAL = 0.02  # s between look-ups, besides those at each new state


class Subscriber:
    """A feed client that looks up the same keys again and again."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """Make the client.

        Args:
            settings: `who` (its name), `sources` (name to host and port), `keys` to look up, `seed`, and
                `folder` for its archive, empty for none.
        """
        sources = {name: (host, port) for name, (host, port) in settings["sources"].items()}
        folder = Path(settings["folder"]) if settings.get("folder") else None
        random = Random(settings["seed"])
        self._keys: list[str] = settings["keys"]
        self._last_line = b""
        self._client = FeedClient(settings["who"], sources, log, folder, random, self.report)

    def report(self, *_: Any) -> None:
        """Look up all keys and print the state, unless it is what was printed last."""
        found = {key: self._client.lookup(key) for key in self._keys}
        looked = {
            key: [orjson.loads(one.value) if one.value is not None else None, one.version, one.known]
            for key, one in found.items()
        }
        table = self._client.table
        digest = table.digest("wide").hex()
        line = orjson.dumps({"event": "state", "number": table.sequence, "digest": digest, "looked": looked})
        if line != self._last_line:
            self._last_line = line
            print(line.decode(), flush=True)

    async def run(self) -> None:
        """Follow the feed until SIGTERM."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._client.run)
            group.start_soon(_cancel_on_sigterm, group.cancel_scope)
            while True:
                self.report()
                await anyio.sleep(LOOKUP_INTERVAL)


def log(event: str, **facts: Any) -> None:
    """Print an event."""
    print(json.dumps({"event": event, **facts}), flush=True)


async def follow(settings: dict[str, Any]) -> None:
    """Run a subscriber with these settings until SIGTERM."""
    log("born")
    await Subscriber(settings).run()


async def _cancel_on_sigterm(scope: anyio.CancelScope) -> None:
    """Cancel the scope when the process gets SIGTERM."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def main(text: str) -> int:
    """Run a subscriber; `text` is its settings as JSON."""
    anyio.run(follow, json.loads(text))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
