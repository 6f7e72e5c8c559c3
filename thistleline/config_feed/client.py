"""Client library of the feed, for instances: the processes that use the configuration.

    async with anyio.create_task_group() as tasks:
        feed = FeedClient("instance-7", {"relay-a": ("10.0.0.4", 7300), ...}, folder=Path(...))
        tasks.start_soon(feed.run)
        result = feed.lookup("route/checkout")     # never waits; `known` tells whether the value is known

The folder stores the last state across restarts; without one, a restart loads the state from a source.
"""

from __future__ import annotations

from typing import ClassVar

from thistleline.config_feed.follower_service import FollowerService, FollowerStateMachine
from thistleline.config_feed.lookups import LookupCache, LookupResult
from thistleline.config_feed.messages import Kind


class FeedClient(FollowerService):
    """Follows all sections except the tenants, and caches the tenants that are looked up.

    Attributes:
        lookups: The follower and its cache.
    """

    kind: ClassVar[Kind] = "wide"
    lookups: LookupCache

    def _make_state_machine(self) -> FollowerStateMachine:
        self.lookups = LookupCache(self.follower)
        return self.lookups

    def lookup(self, key: str) -> LookupResult:
        """Return the cached value of a key without waiting.

        A tenant that is not cached is fetched in the background; until then `known` is false.
        """
        result = self.lookups.lookup(key)
        if not result.known:
            self.inbox.wake()
        return result
