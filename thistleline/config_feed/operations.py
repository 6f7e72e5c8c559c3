"""Operations on the feed for commands: read values, propose a change, export the whole table."""

from __future__ import annotations

import os
from random import Random

import anyio

from thistleline.config_feed.follower_service import FollowerService
from thistleline.config_feed.messages import Propose, ProposeResult, ReadRequest, ReadResult
from thistleline.config_feed.request import request
from thistleline.config_feed.table import FeedTable
from thistleline.transport.address import Address

READ_TIMEOUT = 2.0  # s for one read request
ATTEMPT_TIMEOUT = 4.0  # s for one attempt to propose a change
PROPOSE_TIMEOUT = 10.0  # s for all attempts to propose a change
RETRY_DELAY = 0.1  # s between two attempts to propose a change, on average
POLL_INTERVAL = 0.02  # s between two checks whether the exporting process has begun to follow a source


async def read(
    address: Address, keys: tuple[str, ...] = (), timeout: float = READ_TIMEOUT
) -> ReadResult | None:
    """Return the status of a keeper or relay and its values of the keys; None without an answer in time."""
    return await request(address, ReadRequest(keys), ReadResult, timeout)


async def read_each(servers: dict[str, Address], keys: tuple[str, ...] = ()) -> dict[str, ReadResult | None]:
    """Read from all servers at the same time."""
    results: dict[str, ReadResult | None] = {}

    async def read_one(name: str) -> None:
        results[name] = await read(servers[name], keys)

    async with anyio.create_task_group() as tasks:
        for name in servers:
            tasks.start_soon(read_one, name)
    return results


class EndpointSelector:
    """Selects the keeper that a change is proposed to.

    At most one redirect is followed between two pauses, and none to the keeper that last failed to answer.
    Otherwise a keeper that names a failed one as the writer, or two that name each other, could block a
    proposal.

    Attributes:
        current: The keeper to send the next attempt to.
    """

    __slots__ = ("current", "names", "redirected", "unresponsive")

    def __init__(self, names: list[str], current: str) -> None:
        """Begin with `current`, one of the names."""
        self.names = names
        self.current = current
        self.unresponsive = ""  # the last keeper that did not answer
        self.redirected = False

    def advance(self, answered: bool, leader: str = "") -> bool:
        """Select the next keeper after an attempt that did not succeed.

        Args:
            answered: Whether the current keeper has answered.
            leader: The keeper that the current keeper has named as the writer; empty for none.

        Returns:
            Whether to retry at once because of a redirect; otherwise the caller pauses first.
        """
        if not answered:
            self.unresponsive = self.current
        self.redirected = (
            leader in self.names and leader not in (self.current, self.unresponsive) and not self.redirected
        )
        if self.redirected:
            self.current = leader
        else:
            self.current = self.names[(self.names.index(self.current) + 1) % len(self.names)]
        return self.redirected


async def propose(
    keepers: dict[str, Address],
    change: Propose,
    timeout: float = PROPOSE_TIMEOUT,
    random: Random | None = None,
) -> ProposeResult:
    """Propose a change until it is committed or refused, for at most `timeout` seconds.

    All attempts carry the same request id, so that the change is committed at most once.
    """
    random = random or Random(os.urandom(8))
    names = sorted(keepers)
    deadline = anyio.current_time() + timeout
    reason = "no keeper answers"
    selector = EndpointSelector(names, random.choice(names))
    while True:
        answer = await _attempt(keepers[selector.current], change, deadline - anyio.current_time())
        if answer is not None:
            if answer.sequence or not answer.unknown:
                return answer
            reason = answer.reason
        if anyio.current_time() >= deadline:
            return ProposeResult(change.request_id, reason=reason, unknown=True)
        if not selector.advance(answer is not None, answer.leader if answer is not None else ""):
            delay = RETRY_DELAY * random.uniform(0.5, 1.5)
            await anyio.sleep(min(delay, max(0.0, deadline - anyio.current_time())))


async def _attempt(keeper: Address, change: Propose, time_left: float) -> ProposeResult | None:
    if time_left <= 0:
        return None
    return await request(keeper, change, ProposeResult, min(time_left, ATTEMPT_TIMEOUT))


async def export_table(servers: dict[str, Address], timeout: float) -> FeedTable | None:
    """Return the whole table from one of the servers; None if no server sends it within `timeout` seconds."""
    service = FollowerService(f"export-{os.urandom(4).hex()}", servers, immediate=True)
    done = False
    with anyio.move_on_after(timeout):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            while service.follower.phase != "following":
                await anyio.sleep(POLL_INTERVAL)
            accepted = service.follower.accepted
            # Several deltas may lead to the source's newest state: do not export a state in between.
            await service.wait_for(max(accepted.sequence, accepted.newest) if accepted is not None else 0)
            done = True
            tasks.cancel_scope.cancel()
    return service.table if done else None
