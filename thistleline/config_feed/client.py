"""An instance's side of the feed as a library.

    async with anyio.create_task_group() as tasks:
        feed = FeedClient("instance-7", {"relay-a": ("10.0.0.4", 7300), ...}, folder=Path(...))
        tasks.start_soon(feed.run)
        result = feed.lookup("route/checkout")     # never waits; `known` says whether it is an answer

A folder keeps the last good state over a restart; without one it is loaded anew.
"""

from __future__ import annotations

from typing import ClassVar

from thistleline.config_feed.follower_service import FollowerService, FollowerStateMachine
from thistleline.config_feed.lookups import LookupCache, LookupResult
from thistleline.config_feed.messages import Kind


class FeedClient(FollowerService):
    """Follows all sections but the tenants', and caches those tenants that are looked up.

    Attributes:
        lookups: The follower and its cache.
    """

    kind: ClassVar[Kind] = "wide"
    lookups: LookupCache

    def _make_state_machine(self) -> FollowerStateMachine:
        self.lookups = LookupCache(self.follower)
        return self.lookups

    def lookup(self, key: str) -> LookupResult:
        """Return what is known of a key; never waits.

        A tenant that is not known yet is fetched; until then `known` is false.
        """
        result = self.lookups.lookup(key)
        if not result.known:
            self.inbox.wake()
        return result
