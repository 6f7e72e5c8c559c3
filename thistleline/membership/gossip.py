"""One member: every change of what it knows and does. No I/O, no clock; docs/design/members.md weighs it.

Inputs:  heard address Message | elapsed | tell Facts | leave
Effects: (send address Message)  (changed Word before)  (log event facts)

SWIM (Das, Gupta, Motivala 2002) with suspicion and round-robin probes, and the local health of Lifeguard
(Dadgar, Phillips, Currey 2018): who misses answers of many takes itself for the slow one and waits longer.
"""

from collections.abc import Callable
from math import ceil, log
from random import Random
from typing import Any, NamedTuple

from thistleline.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SIZE_BOUND,
    STATUS,
    SUSPECT,
    Ack,
    Ask,
    Compare,
    Facts,
    Join,
    Message,
    Nack,
    Ping,
    Share,
    Word,
    encode,
)
from thistleline.membership.view import BUCKETS, MEMBERS_BOUND, View, merged, sane

MS, SECOND = 1_000_000, 1_000_000_000
HELPERS = 3  # asked to ping one that does not answer
HEALTH_MOST = 8  # how often a span may be taken at the most, less one
SPREAD_TIMES = 4  # a word is sent on so often, times the logarithm of the fleet
SUSPICION_LEAST, SUSPICION_MOST = 4, 6  # periods a logarithm; and so many times that without confirmation
CONFIRMATIONS = 3  # independent ones that bring a suspicion down to its least span
DEAD_PING_EVERY, COMPARE_EVERY = 4, 5  # periods
SEED_EVERY = 10  # periods, in which one of the seeds that are not known to live is told of oneself
FORGET_AFTER = 3600 * SECOND  # a dead member; till then it is tried now and then, as a split may heal
HEAD = 32  # bytes of a message beside its words
PROBES_BOUND = 256
JOIN_PAUSE = 20 * MS


class Probe:
    """A ping of this member's own, or one for another that asked."""

    __slots__ = ("asked_at", "due", "for_address", "for_number", "helped", "id", "nacks", "over")

    def __init__(self, id: str, due: int, over: int) -> None:
        self.id, self.due, self.over = id, due, over
        self.helped = 0  # helpers asked,
        self.nacks = 0  # and those of them that said that they live
        self.for_address, self.for_number = "", 0
        self.asked_at = 0


class Suspicion(NamedTuple):
    since: int
    by: frozenset[str]  # who confirmed it


class Spans(NamedTuple):
    period: int  # ns; a probe each
    answer: int  # ns for an answer, before others are asked


class Gossip:
    def __init__(
        self,
        id: str,
        address: str,
        incarnation: int,
        facts: Facts,
        seeds: tuple[str, ...],
        now: int,
        spans: Spans,
        chance: Random,
    ) -> None:
        """`incarnation`: greater than in every earlier life, such as the wall clock's ms at its start."""
        self.id, self.address, self.now, self.spans, self.chance = id, address, now, spans, chance
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.view = View()
        self.effects: list[tuple[Any, ...]] = []
        self.leaving = False
        self.number = 0
        self.probes: dict[int, Probe] = {}
        self.order: list[str] = []  # who is probed next, from its end
        self.suspicions: dict[str, Suspicion] = {}
        self.died: dict[str, int] = {}  # when it was known
        self.health = 0  # 0: well; spans are taken once more for each
        self.periods = 0
        self.next_period = now + self._spread(spans.period)
        self.next_join = now
        self.bytes_sent = 0
        self.view.put(Word(id, address, incarnation, ALIVE, 1, facts))

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        due = self.next_period
        for probe in self.probes.values():
            due = min(due, probe.due)
        return due

    @property
    def own(self) -> Word:
        return self.view.words[self.id]

    def _spread(self, span: int) -> int:
        return self.chance.randrange(span)

    def _logarithm(self) -> int:
        return max(1, ceil(log(len(self.view.words) + 1, 10)))

    def _send(self, address: str, make: Callable[[tuple[Word, ...]], Message], first: str = "") -> None:
        words = tuple(self.view.news(SIZE_BOUND - HEAD, SPREAD_TIMES * self._logarithm(), first))
        self._put(address, make(words))

    def _put(self, address: str, message: Message) -> None:
        self.bytes_sent += len(encode(message))
        self.effects.append(("send", address, message))

    def _log(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, facts))

    # ---- what the clock brings

    def _elapsed(self) -> None:
        for number, probe in list(self.probes.items()):
            if self.now >= probe.due:
                self._unanswered(number, probe)
        if self.now >= self.next_period:
            self.next_period = self.now + self.spans.period * (self.health + 1)
            self.periods += 1
            self._period()

    def _period(self) -> None:
        self._end_suspicions()
        if self.leaving:
            return
        if len(self.view.words) == 1:
            if self.seeds:
                seed = self.seeds[self.chance.randrange(len(self.seeds))]
                self._send(seed, Join, self.id)
            return
        word = self._next()
        if word is not None:
            self._probe(word)
        if self.periods % DEAD_PING_EVERY == 0:
            self._try_dead()
        if self.periods % COMPARE_EVERY == 0:
            self._compare()
        if self.periods % SEED_EVERY == 0:
            self._try_seed()

    def _try_seed(self) -> None:
        """Guards against islands that never hear of each other: who came up at the same time knows somebody
        before all seeds are there, and nobody probes whom he never knew."""
        living = {word.address for word in self.view.living()}
        unknown = [seed for seed in self.seeds if seed not in living]
        if unknown:
            self._send(unknown[self.chance.randrange(len(unknown))], Join, self.id)

    def _next(self) -> Word | None:
        """Round robin in a random order: each member is probed once in so many periods as there are
        members, so that a death is noticed in bounded time."""
        for _ in range(len(self.order) + 1):
            if not self.order:
                self.order = [word.id for word in self.view.living() if word.id != self.id]
                self.chance.shuffle(self.order)
                if not self.order:
                    return None
            word = self.view.words.get(self.order.pop())
            if word is not None and word.status < DEAD:
                return word
        return None

    def _probe(self, word: Word) -> None:
        self.number += 1
        answer = self.spans.answer * (self.health + 1)
        over = self.now + self.spans.period * (self.health + 1)
        self.probes[self.number] = Probe(word.id, self.now + answer, over)
        number = self.number
        self._send(word.address, lambda words: Ping(number, words), word.id)

    def _unanswered(self, number: int, probe: Probe) -> None:
        """First others are asked: the way to it may be at fault. Then it is suspected."""
        word = self.view.words.get(probe.id)
        if probe.for_address:
            del self.probes[number]
            self._send(probe.for_address, lambda words: Nack(probe.for_number, words))
            return
        if word is None or word.status >= DEAD:
            del self.probes[number]
            return
        if not probe.helped and probe.due < probe.over:
            probe.due = probe.over
            others = [one for one in self.view.living() if one.id not in (self.id, probe.id)]
            helpers = self.chance.sample(others, min(HELPERS, len(others)))
            probe.helped = len(helpers)
            for helper in helpers:
                self._send(helper.address, lambda words: Ask(number, probe.id, words))
            if helpers:
                return
        del self.probes[number]
        # Who hears not even those that were asked to help may be the one that is slow.
        self._worse(max(1, probe.helped - probe.nacks) if probe.helped else 1)
        self._suspect(word, self.id)

    def _worse(self, by: int) -> None:
        self.health = min(HEALTH_MOST, self.health + by)

    def _better(self) -> None:
        self.health = max(0, self.health - 1)

    def _try_dead(self) -> None:
        gone = [word for word in self.view.gone() if word.status == DEAD]
        for word in gone:
            if self.now - self.died.get(word.id, self.now) > FORGET_AFTER:
                self.view.drop(word.id)
                self.died.pop(word.id, None)
        gone = [word for word in gone if word.id in self.view.words]
        if gone:
            word = self.chance.choice(gone)
            self._send(word.address, lambda words: Ping(0, words), word.id)

    def _compare(self) -> None:
        living = [word for word in self.view.living() if word.id != self.id]
        if living:
            bucket = self.chance.randrange(BUCKETS)
            digest = self.view.digests[bucket]
            self._send(self.chance.choice(living).address, lambda words: Compare(bucket, digest, words))

    # ---- suspicion

    def _suspect(self, word: Word, by: str) -> None:
        if word.status == ALIVE:
            rest = (word.version, word.facts, by)
            self._learn(Word(word.id, word.address, word.incarnation, SUSPECT, *rest))
        elif word.status == SUSPECT and word.id in self.suspicions:
            self._confirmed(word.id, by)

    def _confirmed(self, id: str, by: str) -> None:
        known = self.suspicions[id]
        if by not in known.by and len(known.by) <= CONFIRMATIONS:
            self.suspicions[id] = Suspicion(known.since, known.by | {by})
            word = self.view.words[id]
            if word.by != by:  # a further witness is news
                rest = (word.version, word.facts, by)
                self.view.put(Word(id, word.address, word.incarnation, SUSPECT, *rest))

    def _span_of(self, suspicion: Suspicion) -> int:
        """Long while one alone suspects, short once others do: one that is slow itself convinces nobody."""
        least = SUSPICION_LEAST * self._logarithm() * self.spans.period
        most = SUSPICION_MOST * least
        confirmed = min(CONFIRMATIONS, len(suspicion.by) - 1)
        part = log(confirmed + 1) / log(CONFIRMATIONS + 1)
        return int(max(least, most - (most - least) * part)) * (1 if confirmed else self.health + 1)

    def _end_suspicions(self) -> None:
        for id, suspicion in list(self.suspicions.items()):
            word = self.view.words.get(id)
            if word is None or word.status != SUSPECT:
                del self.suspicions[id]
            elif self.now - suspicion.since >= self._span_of(suspicion):
                dead = Word(id, word.address, word.incarnation, DEAD, word.version, word.facts)
                self._learn(dead)

    # ---- what is learned

    def _learn(self, told: Word) -> None:
        if not sane(told):
            return
        if told.id == self.id:
            self._of_myself(told)
            return
        known = self.view.words.get(told.id)
        if known is None:
            if len(self.view.words) >= MEMBERS_BOUND:
                return
            if told.status >= DEAD:
                self.died[told.id] = self.now
            self.view.put(told)
            if told.status == SUSPECT:
                self.suspicions[told.id] = Suspicion(self.now, frozenset((told.by,)))
            if told.status < DEAD:
                self.order.insert(self.chance.randrange(len(self.order) + 1), told.id)
            self.effects.append(("changed", told, None))
            return
        word = merged(known, told)
        if word is known:
            if told.status == SUSPECT == known.status and told.incarnation == known.incarnation:
                self._confirmed(told.id, told.by)
            return
        self.view.put(word)
        if word.status == SUSPECT and (known.status != SUSPECT or known.incarnation != word.incarnation):
            self.suspicions[word.id] = Suspicion(self.now, frozenset((word.by,)))
        elif word.status != SUSPECT:
            self.suspicions.pop(word.id, None)
        if word.status >= DEAD > known.status:
            self.died[word.id] = self.now
        elif word.status < DEAD <= known.status:
            self.died.pop(word.id, None)
            self.order.insert(self.chance.randrange(len(self.order) + 1), word.id)
        if (word.status, word.incarnation) != (known.status, known.incarnation):
            told_of = {"id": word.id, "status": STATUS[word.status], "incarnation": word.incarnation}
            self._log("member", **told_of, by=word.by)
        self.effects.append(("changed", word, known))

    def _of_myself(self, told: Word) -> None:
        """Others take this one for dead or suspect it, or know of an earlier life: it says that it lives."""
        own = self.own
        if self.leaving or told.incarnation < own.incarnation:
            return
        if told.status != ALIVE or told.incarnation > own.incarnation:
            if told.status == SUSPECT:
                self._worse(1)
            self.view.put(
                Word(self.id, self.address, told.incarnation + 1, ALIVE, own.version + 1, own.facts)
            )

    def _tell(self, facts: Facts) -> None:
        own = self.own
        if facts != own.facts and not self.leaving:
            self.view.put(Word(self.id, self.address, own.incarnation, own.status, own.version + 1, facts))

    def _leave(self) -> None:
        """Told to a few at once, and by them to all: no probe has to find it out."""
        own = self.own
        self.leaving = True
        self.view.put(Word(self.id, self.address, own.incarnation, LEFT, own.version, own.facts))
        others = [one for one in self.view.living() if one.id != self.id]
        for one in self.chance.sample(others, min(2 * HELPERS, len(others))):
            self._send(one.address, lambda words: Ping(0, words), self.id)

    # ---- messages

    def _heard(self, address: str, message: Message) -> None:
        for word in message.words:
            self._learn(word)
        if self.leaving:
            return
        if isinstance(message, Ping):
            self._send(address, lambda words: Ack(message.number, words), self.id)
        elif isinstance(message, Ack):
            self._acked(message.number)
        elif isinstance(message, Ask):
            self._asked(address, message)
        elif isinstance(message, Nack):
            probe = self.probes.get(message.number)
            if probe is not None:
                probe.nacks += 1
        elif isinstance(message, Compare):
            self._compared(address, message)
        elif isinstance(message, Share):
            if message.more:
                self._share(address, message.bucket, False)
        elif self.now >= self.next_join:
            # Guards the net: the answer is much larger than the question, and its sender anybody.
            self.next_join = self.now + JOIN_PAUSE
            for bucket in range(BUCKETS):
                self._share(address, bucket, False)

    def _acked(self, number: int) -> None:
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        if probe.for_address:
            self._send(probe.for_address, lambda words: Ack(probe.for_number, words))
        else:
            self._better()

    def _asked(self, address: str, message: Ask) -> None:
        word = self.view.words.get(message.target)
        if word is None or len(self.probes) >= PROBES_BOUND:
            return
        self.number += 1
        probe = self.probes[self.number] = Probe(word.id, self.now + self.spans.answer, self.now)
        probe.for_address, probe.for_number = address, message.number
        number = self.number
        self._send(word.address, lambda words: Ping(number, words), word.id)

    def _compared(self, address: str, message: Compare) -> None:
        if 0 <= message.bucket < BUCKETS and self.view.digests[message.bucket] != message.digest:
            self._share(address, message.bucket, True)

    def _share(self, address: str, bucket: int, more: bool) -> None:
        """All of a bucket, in as many datagrams as it takes; the last one asks for the other's words."""
        if not 0 <= bucket < BUCKETS:
            return
        part: list[Word] = []
        size = HEAD
        for word in self.view.of_bucket(bucket):
            cost = len(encode(word))
            if size + cost > SIZE_BOUND:
                self._put(address, Share(bucket, False, tuple(part)))
                part, size = [], HEAD
            part.append(word)
            size += cost
        if part or more:
            self._put(address, Share(bucket, more, tuple(part)))
