"""Tables that prevent a task from running twice: idempotency keys with cached results, and used attempt ids.

Here an effect means what the run of a task does. All attempts with one idempotency key request the same
effect; each attempt without a key requests one of its own.
"""

from collections import OrderedDict
from collections.abc import Container
from hashlib import blake2b

# Stage, and a digest of the client's key and of the body, which is the same in all attempts to run one task.
# So another client that knows only the client's key can't join a run or get the run's cached result.
IdempotencyKey = tuple[int, bytes]


def make_key(stage: int, dedup_key: str, body: bytes | memoryview) -> IdempotencyKey:
    """Return the key that all attempts of one task share."""
    encoded = dedup_key.encode()
    digest = blake2b(len(encoded).to_bytes(4, "big"), digest_size=16)
    digest.update(encoded)
    digest.update(body)
    return stage, digest.digest()


class IdempotencyEntry:
    """The entry of one idempotency key: the attempt that stored it, expiry, the attempt that ran, outcome."""

    __slots__ = ("attempt", "ended_at", "expires_at", "outcome", "result", "runner")

    def __init__(self, attempt: str, expires_at: int) -> None:
        """Create an entry without a run.

        Args:
            attempt: Name of the attempt that identifies the key to the policy.
            expires_at: Time at which the key's idempotency window ends, ns.
        """
        self.attempt = attempt
        self.expires_at = expires_at
        self.runner: str | None = None  # name of the attempt that was started
        self.outcome: str | None = None
        self.ended_at = 0
        self.result: bytes | None = None


class IdempotencyTable:
    """Idempotency entries by key, with a limit on the bytes of cached results."""

    def __init__(self, max_result_bytes: int) -> None:
        """Create an empty table; above `max_result_bytes` the oldest results are evicted."""
        self.max_result_bytes = max_result_bytes
        self.by_key: dict[IdempotencyKey, IdempotencyEntry] = {}
        self.by_attempt: dict[str, IdempotencyKey] = {}
        self.result_bytes = 0
        self._results: OrderedDict[IdempotencyKey, int] = OrderedDict()  # bytes by key, oldest first

    def put(self, key: IdempotencyKey, attempt: str, expires_at: int) -> IdempotencyEntry:
        """Store the key under this attempt until `expires_at`; return its entry."""
        entry = self.by_key.get(key)
        if entry is None:
            entry = self.by_key[key] = IdempotencyEntry(attempt, expires_at)
        else:
            self.by_attempt.pop(entry.attempt, None)
            entry.attempt = attempt
            entry.expires_at = expires_at
        self.by_attempt[attempt] = key
        return entry

    def forget(self, attempt: str) -> None:
        """Remove the entry stored under this attempt, if there is one."""
        key = self.by_attempt.pop(attempt, None)
        if key is not None:
            self._drop_result(key)
            del self.by_key[key]

    def record_outcome(self, key: IdempotencyKey, outcome: str, now: int, result: bytes | None) -> None:
        """Record a run's outcome; above the limit on results, evict the oldest ones but keep their keys."""
        entry = self.by_key[key]
        entry.outcome = outcome
        entry.ended_at = now
        self._drop_result(key)
        if result is not None:
            entry.result = result
            self._results[key] = len(result)
            self.result_bytes += len(result)
            while self.result_bytes > self.max_result_bytes:
                self._drop_result(next(iter(self._results)))

    def expire(self, before: int, running: Container[str | None]) -> None:
        """Remove the entries whose idempotency window ended before `before` and whose runs have ended."""
        expired = [
            entry.attempt
            for entry in self.by_key.values()
            if entry.expires_at < before and entry.runner not in running
        ]
        for attempt in expired:
            self.forget(attempt)

    def _drop_result(self, key: IdempotencyKey) -> None:
        self.result_bytes -= self._results.pop(key, 0)
        self.by_key[key].result = None


class AttemptIdTable:
    """The effect that each attempt id was used for.

    The agent identifies attempts by id alone. Another client that sends a known id and body under a different
    key would cause a second run; this table prevents that. A client whose id another client guessed and used
    first would be refused, but ids are 64 random bits.
    """

    def __init__(self, max_ids: int) -> None:
        """Create an empty table; above `max_ids` the oldest ids are evicted."""
        self.max_ids = max_ids
        # By id: the effect's idempotency key (None without a key), and the time at which the id expires.
        self.by_id: OrderedDict[str, tuple[IdempotencyKey | None, int]] = OrderedDict()

    def claim(self, id: str, key: IdempotencyKey | None, expires_at: int) -> None:
        """Assign the id to the effect with this key, replacing any earlier assignment of the id."""
        self.by_id[id] = key, expires_at
        self.by_id.move_to_end(id)
        if len(self.by_id) > self.max_ids:
            self.by_id.popitem(last=False)

    def release(self, id: str) -> None:
        """Remove the id."""
        self.by_id.pop(id, None)

    def belongs_to_another(self, id: str, key: IdempotencyKey | None) -> bool:
        """Return whether the id was used for another effect; an effect without a key matches no other."""
        if id not in self.by_id:
            return False
        owner = self.by_id[id][0]
        return owner is None or owner != key

    def trim(self) -> None:
        """Remove the oldest ids above the limit."""
        while len(self.by_id) > self.max_ids:
            self.by_id.popitem(last=False)

    def expire(self, now: int) -> None:
        """Remove the oldest ids that have expired."""
        while self.by_id and next(iter(self.by_id.values()))[1] < now:
            self.by_id.popitem(last=False)
