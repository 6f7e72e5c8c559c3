"""Answers requests for the status of a keeper or relay and for values from its table."""

from __future__ import annotations

from thistleline.config_feed.limits import DEDUPLICATION_SLOTS, MESSAGE_SIZE_LIMIT
from thistleline.config_feed.messages import ReadRequest, ReadResult
from thistleline.config_feed.relay import FeedRelay

MAX_READ_KEYS = 128  # keys in one answer
MAX_READ_SIZE = MESSAGE_SIZE_LIMIT // 2  # bytes of keys and values in one answer


def read_result(relay: FeedRelay, durable: int, request: ReadRequest) -> ReadResult:
    """Return the answer to a read request.

    Args:
        relay: The keeper or relay to read from.
        durable: Sequence number of the state on disk.
        request: The keys; those that do not fit into one answer are left out.
    """
    known = relay.known_writer
    return ReadResult(
        sequence=relay.table.sequence,
        digest=relay.table.digest("all"),
        epoch=known.epoch,
        phase=relay.phase,
        is_writer=known.is_local,
        items=_read_items(relay, request),
        counters=_counters(relay, durable),
    )


def _read_items(relay: FeedRelay, request: ReadRequest) -> tuple[tuple[str, bytes | None, int], ...]:
    items: list[tuple[str, bytes | None, int]] = []
    size = 0
    for key in request.keys[:MAX_READ_KEYS]:
        value, version = relay.table.get(key) or (None, 0)
        size += len(key) + len(value or b"")
        if size > MAX_READ_SIZE:
            break
        items.append((key, value, version))
    return tuple(items)


def _counters(relay: FeedRelay, durable: int) -> dict[str, int]:
    table = relay.table
    counters = {
        "level": relay.level,
        "followers": len(relay.source.subscribers),
        "wide": len(table.wide),
        "tenants": max(0, len(table.tenants) - min(table.sequence, DEDUPLICATION_SLOTS)),
        "base": relay.history.base,
        "durable": durable,
    }
    if relay.writer is not None and relay.is_writer:
        counters.update(relay.writer.counters())
    return counters
