"""The tables of what is in hand. Only the reducer changes them."""

from collections import OrderedDict
from hashlib import blake2b
from heapq import heappop, heappush

# Stage, and a digest of the mark or subject by which repeats are known and of the body: all tries of one task
# carry the same body. Guards against a stranger who has a mark: it joins no run and gets no kept result.
Key = tuple[int, bytes]


def key_of(stage: int, word: str, body: bytes | memoryview) -> Key:
    known = word.encode()
    digest = blake2b(len(known).to_bytes(4, "big"), digest_size=16)
    digest.update(known)
    digest.update(body)
    return stage, digest.digest()


class Connection:
    __slots__ = ("carried", "dismissed", "messages", "offences", "open", "part", "stalled")

    def __init__(self, now: int) -> None:
        self.open: dict[str, None] = {}  # tries that are owed an answer here
        self.carried = now  # when it last carried a whole message or an answer
        self.messages = 0  # whole ones that came
        self.part: int | None = None  # since when the beginning of a message has lain there
        self.offences = 0  # of these, what no client stub sends
        self.dismissed: int | None = None  # when it was told that nothing new is wanted
        self.stalled = False  # not read: until something on it was answered, or for good after its offences


class Try:
    """A task that is owed an answer."""

    __slots__ = ("body", "connection", "id", "key", "seq", "since", "stage", "told", "until")

    def __init__(
        self,
        connection: int,
        seq: int,
        id: str,
        stage: int,
        since: int,
        until: int,
        key: Key | None,
        body: bytes,
    ) -> None:
        self.connection, self.seq, self.id, self.stage, self.since = connection, seq, id, stage, since
        self.until, self.key, self.body = until, key, body  # until: its time limit
        self.told = False  # whether the module knows of it


class Run:
    """A run at the agent, whether or not its task is still owed an answer."""

    __slots__ = ("body", "call", "frozen", "given", "id", "key", "measures", "sent", "stage", "waiting")

    def __init__(self, held: Try, measures: int) -> None:
        self.id, self.stage, self.body, self.key = held.id, held.stage, held.body, held.key
        self.measures = measures  # how many were asked for before it was started
        self.sent = False
        self.frozen = False
        self.call: tuple[int, bytes] | None = None  # that it stands at: its notice's number, the body
        self.given: tuple[int, int, bytes | None] | None = None  # when it went on, from which, with what
        self.waiting: list[str] = []  # repeats that get its answer


class Entry:
    """What is remembered for one key: who has it until when, which try ran, and how that ended."""

    __slots__ = ("ended", "how", "ran", "result", "task", "until")

    def __init__(self, task: str, until: int) -> None:
        self.task, self.until = task, until
        self.ran: str | None = None
        self.how: str | None = None
        self.ended = 0
        self.result: bytes | None = None


class Entries:
    def __init__(self, results_bound: int) -> None:
        self.results_bound = results_bound  # bytes of kept results; past it the oldest go
        self.by_key: dict[Key, Entry] = {}
        self.by_task: dict[str, Key] = {}
        self.results: OrderedDict[Key, int] = OrderedDict()  # bytes by key, oldest first
        self.size = 0

    def put(self, key: Key, task: str, until: int) -> Entry:
        entry = self.by_key.get(key)
        if entry is None:
            entry = self.by_key[key] = Entry(task, until)
        else:
            self.by_task.pop(entry.task, None)
            entry.task, entry.until = task, until
        self.by_task[task] = key
        return entry

    def forget(self, task: str) -> None:
        key = self.by_task.pop(task, None)
        if key is not None:
            self._drop_result(key)
            del self.by_key[key]

    def keep(self, key: Key, how: str, now: int, result: bytes | None) -> None:
        """How a run ended. Guards the memory: the oldest results give way, their keys stay."""
        entry = self.by_key[key]
        entry.how, entry.ended = how, now
        self._drop_result(key)
        if result is not None:
            entry.result = result
            self.results[key] = len(result)
            self.size += len(result)
            while self.size > self.results_bound:
                self._drop_result(next(iter(self.results)))

    def expire(self, before: int, runs: dict[str, Run]) -> None:
        gone = [
            entry.task for entry in self.by_key.values() if entry.until < before and entry.ran not in runs
        ]
        for task in gone:
            self.forget(task)

    def _drop_result(self, key: Key) -> None:
        self.size -= self.results.pop(key, 0)
        self.by_key[key].result = None


class Alarms:
    """Names by due clock time."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, str]] = []

    def put(self, due: int, name: str) -> None:
        heappush(self.heap, (due, name))

    def due(self) -> int | None:
        return self.heap[0][0] if self.heap else None

    def take(self, now: int) -> list[str]:
        names = []
        while self.heap and self.heap[0][0] <= now:
            names.append(heappop(self.heap)[1])
        return names
