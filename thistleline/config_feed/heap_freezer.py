"""Keeps a large table out of the garbage collector's way."""

from __future__ import annotations

import gc

from thistleline.config_feed.table import FeedTable

FREEZE_EVERY = 1 << 16  # changes


class HeapFreezer:
    """Moves what is on the heap now to the permanent generation, now and then.

    Prevents collections that go through a whole table: at 1.3 million tenants one takes longer than followers
    wait for a heartbeat. Objects that live now and die later as a cycle stay forever, so it is done seldom.
    """

    def __init__(self) -> None:
        """Begin with nothing frozen."""
        self._frozen_at = 0  # sequence number of the table

    def freeze(self, table: FeedTable) -> None:
        """Freeze the heap, which holds this table."""
        self._frozen_at = table.sequence
        gc.collect(1)
        gc.freeze()

    def on_advanced(self, table: FeedTable) -> None:
        """Freeze the heap again if the table has changed much since."""
        if table.sequence >= self._frozen_at + FREEZE_EVERY:
            self.freeze(table)
