"""Excludes a large table from garbage collection."""

from __future__ import annotations

import gc

from thistleline.config_feed.table import FeedTable

FREEZE_EVERY = 1 << 16  # changes of the table between two freezes


class HeapFreezer:
    """Moves all objects on the heap to the permanent generation of the garbage collector from time to time.

    Prevents collections that scan the whole table: with 1.3 million tenants one takes longer than followers
    wait for a heartbeat. Objects on the heap that later become garbage in a reference cycle are never freed,
    so the heap is frozen rarely.
    """

    def __init__(self) -> None:
        """Begin with nothing frozen."""
        self._frozen_at = 0  # sequence number of the table at the last freeze

    def freeze(self, table: FeedTable) -> None:
        """Freeze the heap, which contains this table."""
        self._frozen_at = table.sequence
        gc.collect(1)
        gc.freeze()

    def on_advanced(self, table: FeedTable) -> None:
        """Freeze the heap again if the table has changed by `FREEZE_EVERY` since the last time."""
        if table.sequence >= self._frozen_at + FREEZE_EVERY:
            self.freeze(table)
