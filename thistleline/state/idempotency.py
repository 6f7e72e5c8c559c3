"""What is remembered of effects: idempotency keys with their results, and who used an attempt id."""

from collections import OrderedDict
from collections.abc import Container
from hashlib import blake2b

# Stage, and a digest of the client's key and of the body: all attempts of one task carry the same body. A
# stranger who knows a key joins no run and gets no cached result.
IdempotencyKey = tuple[int, bytes]


def make_key(stage: int, dedup_key: str, body: bytes | memoryview) -> IdempotencyKey:
    """Return the key that all attempts of one task have in common."""
    encoded = dedup_key.encode()
    digest = blake2b(len(encoded).to_bytes(4, "big"), digest_size=16)
    digest.update(encoded)
    digest.update(body)
    return stage, digest.digest()


class IdempotencyEntry:
    """What is remembered for one key: who has it until when, which attempt ran, and how that ended."""

    __slots__ = ("attempt", "ended_at", "expires_at", "outcome", "result", "runner")

    def __init__(self, attempt: str, expires_at: int) -> None:
        """Make an entry of which nothing has run.

        Args:
            attempt: Name of the attempt that the policy knows the key by.
            expires_at: When its window ends, ns.
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
        """Begin without entries; past `max_result_bytes` the oldest results go."""
        self.max_result_bytes = max_result_bytes
        self.by_key: dict[IdempotencyKey, IdempotencyEntry] = {}
        self.by_attempt: dict[str, IdempotencyKey] = {}
        self.result_bytes = 0
        self._results: OrderedDict[IdempotencyKey, int] = OrderedDict()  # bytes by key, oldest first

    def put(self, key: IdempotencyKey, attempt: str, expires_at: int) -> IdempotencyEntry:
        """Let the key be remembered under this attempt until then; return its entry."""
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
        """Remove the entry that is remembered under this attempt, if there is one."""
        key = self.by_attempt.pop(attempt, None)
        if key is not None:
            self._drop_result(key)
            del self.by_key[key]

    def record_outcome(self, key: IdempotencyKey, outcome: str, now: int, result: bytes | None) -> None:
        """Remember how a run ended. Where memory is short the oldest results go, their keys stay."""
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
        """Forget the entries whose window ended before then and whose runs are over."""
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
    """Which effect an attempt id was used with.

    The agent knows attempts by id alone. A stranger who sends a known id and body under a key of his own
    would have it run twice; this table prevents that. It could harm a client whose id a stranger guessed
    first: 64 random bits.
    """

    def __init__(self, max_ids: int) -> None:
        """Begin without ids; past `max_ids` the oldest go."""
        self.max_ids = max_ids
        # By id: the effect's key (None for one that has none), and until when it is remembered.
        self.by_id: OrderedDict[str, tuple[IdempotencyKey | None, int]] = OrderedDict()

    def claim(self, id: str, key: IdempotencyKey | None, expires_at: int) -> None:
        """Let the id stand for this effect, whatever it stood for."""
        self.by_id[id] = key, expires_at
        self.by_id.move_to_end(id)
        if len(self.by_id) > self.max_ids:
            self.by_id.popitem(last=False)

    def release(self, id: str) -> None:
        """Let the id stand for nothing."""
        self.by_id.pop(id, None)

    def belongs_to_another(self, id: str, key: IdempotencyKey | None) -> bool:
        """Tell whether the id was used with another effect; one without a key is its own alone."""
        if id not in self.by_id:
            return False
        owner = self.by_id[id][0]
        return owner is None or owner != key

    def trim(self) -> None:
        """Forget the oldest ids past the limit."""
        while len(self.by_id) > self.max_ids:
            self.by_id.popitem(last=False)

    def expire(self, now: int) -> None:
        """Forget the oldest ids whose time is over."""
        while self.by_id and next(iter(self.by_id.values()))[1] < now:
            self.by_id.popitem(last=False)
