"""What one member knows of all: words by id, and which of them are still to be spread. No I/O, no clock."""

from hashlib import blake2b

from thistleline.membership.messages import DEAD, ID_BOUND, LEFT, TEXT_BOUND, Word, encode

MEMBERS_BOUND = 10_000
BUCKETS = 64


def bucket_of(id: str) -> int:
    return blake2b(id.encode(), digest_size=1).digest()[0] % BUCKETS


def sane(word: Word) -> bool:
    """Guards against what a stranger says: lengths that no member has."""
    facts = word.facts
    return (
        0 < len(word.id) <= ID_BOUND
        and len(word.address) <= TEXT_BOUND
        and len(word.by) <= ID_BOUND
        and len(facts.release) <= TEXT_BOUND
        and len(facts.zone) <= TEXT_BOUND
        and len(facts.figures) <= 8
        and word.incarnation >= 0
        and 0 <= word.status <= LEFT
    )


def merged(known: Word, told: Word) -> Word:
    """What both together say; `known` itself where `told` says nothing new."""
    if told.incarnation != known.incarnation:
        return told if told.incarnation > known.incarnation else known
    if told.status <= known.status and told.version <= known.version:
        return known
    newer = told if told.version > known.version else known
    graver = told if told.status > known.status else known
    rest = (newer.version, newer.facts, graver.by)
    return Word(known.id, newer.address, known.incarnation, graver.status, *rest)


class View:
    __slots__ = ("buckets", "digests", "levels", "sent", "words")

    def __init__(self) -> None:
        self.words: dict[str, Word] = {}
        self.buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.digests = [0] * BUCKETS  # xor over the words of a bucket
        self.sent: dict[str, int] = {}  # how often a word that is new was sent on,
        self.levels: list[dict[str, None]] = [{}]  # and which were sent so often, the oldest first

    def put(self, word: Word) -> None:
        known = self.words.get(word.id)
        bucket = bucket_of(word.id)
        if known is not None:
            self.digests[bucket] ^= _digest(known)
        self.words[word.id] = word
        self.buckets[bucket].add(word.id)
        self.digests[bucket] ^= _digest(word)
        self.anew(word.id)

    def drop(self, id: str) -> None:
        word = self.words.pop(id)
        bucket = bucket_of(id)
        self.digests[bucket] ^= _digest(word)
        self.buckets[bucket].discard(id)
        self._sent_enough(id)

    def anew(self, id: str) -> None:
        """This word is to be spread from the beginning."""
        self._sent_enough(id)
        self.sent[id] = 0
        self.levels[0][id] = None

    def _sent_enough(self, id: str) -> None:
        count = self.sent.pop(id, None)
        if count is not None:
            del self.levels[count][id]

    def news(self, size: int, often: int, first: str = "") -> list[Word]:
        """Words that were sent on least, so many bytes of them, each so `often` in all; `first` before all,
        new or not."""
        found: list[Word] = []
        if first in self.words:
            found.append(self.words[first])
            size -= len(encode(found[0]))
        going: list[tuple[str, int]] = []
        for count, level in enumerate(self.levels):
            for id in level:
                cost = len(encode(self.words[id]))
                if size < cost:
                    break
                size -= cost
                going.append((id, count))
                if id != first:
                    found.append(self.words[id])
            else:
                continue
            break
        for id, count in going:
            self._sent_enough(id)
            if count + 1 < often:
                while len(self.levels) <= count + 1:
                    self.levels.append({})
                self.sent[id] = count + 1
                self.levels[count + 1][id] = None
        return found

    def of_bucket(self, bucket: int) -> list[Word]:
        return [self.words[id] for id in sorted(self.buckets[bucket])]

    def living(self) -> list[Word]:
        return [word for word in self.words.values() if word.status < DEAD]

    def gone(self) -> list[Word]:
        return [word for word in self.words.values() if word.status >= DEAD]


def _digest(word: Word) -> int:
    told = f"{word.id} {word.incarnation} {word.status} {word.version}".encode()
    return int.from_bytes(blake2b(told, digest_size=8).digest(), "big")
