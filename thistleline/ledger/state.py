"""What the ledger decides: what is written when, what a found record means, what ages out, what is refused.

No I/O and no clock. The book hands out one `Work` at a time; whoever writes it says `done` or `failed`.
Times are boot times in nanoseconds (ledger/format.py).

The promises that hold here:

- An intent is durable once the work that carried it is done, and never because a later one is.
- After a failed work nothing more goes to that segment: what a sync has failed for may be on disk or not,
  and a later sync that succeeds says nothing of it. Its intents are refused, as nothing was started for
  them; its outcomes go again with the next segment.
- Until when the end of an effect is awaited outlives a life, so that servers killed again and again still
  come to say that it is in doubt.
- An effect is known until its window has passed, by a clock that nobody sets; where the machine started
  anew in between, and how long that took is unknown, for the whole window from the recovery on.
"""

from collections.abc import Callable, Iterable
from typing import Literal, NamedTuple

from thistleline.ledger.format import (
    DOUBT,
    FRAME_COST,
    HOW,
    INTENT_COST,
    OUTCOME_COST,
    Group,
    Intent,
    Outcome,
)

MS, SECOND = 1_000_000, 1_000_000_000
GROUP_BOUND = 4096  # records in one group
WAITING_BOUND = 16_384  # intents not yet durable; past it what would start is refused
ROLL_PARTS = 8  # of the bound on disk, a segment
RETRY_FIRST, RETRY_LAST = 100 * MS, 5 * SECOND  # after a failed write, doubled each time
HEAD_COST = 512  # bytes, about

Phase = Literal["keeping", "failing", "full"]


class Effect:
    """One effect that may have run."""

    __slots__ = ("doubt", "durable", "how", "intent", "result")

    def __init__(self, intent: Intent) -> None:
        self.intent = intent
        self.durable = False
        self.how: str | None = None
        self.result = 0  # bytes of it
        self.doubt: int | None = None  # until when its end is awaited, once all that its agent kept was read


class Segment:
    """What is known of one file."""

    __slots__ = ("size", "until")

    def __init__(self, size: int) -> None:
        self.size = size
        self.until = 0  # by then nothing in it matters any more


class Work(NamedTuple):
    """One write: to which segment, what, and which segments go once it is durable."""

    segment: int
    fresh: bool  # the segment is to be made
    group: Group
    drops: tuple[int, ...]
    compaction: bool


class Found(NamedTuple):
    """An effect of an earlier life that still matters."""

    number: int
    stage: int
    digest: bytes
    id: bytes
    left: int  # of its time
    how: str | None  # none: it may have run, or run still
    result: bytes | None
    doubt: int | None  # until when an earlier life would have awaited its end, boot time


class Book:
    def __init__(
        self, disk_bound: int, results_bound: int, now: int, results: Callable[[int], bytes | None]
    ) -> None:
        """`disk_bound` and `results_bound` in bytes; `results` tells the result of an effect where it is
        still kept, for compaction."""
        self.disk_bound, self.results_bound, self.now = disk_bound, results_bound, now
        self.results = results
        self.phase: Phase = "keeping"
        self.effects: dict[int, Effect] = {}
        self.unended: set[int] = set()  # of these: their outcome is still to be written
        self.segments: dict[int, Segment] = {}
        self.current: int | None = None  # where the next work goes; none: to a new one
        self.numbers = self.segment_numbers = 0
        self.intents: list[Intent] = []
        self.outcomes: list[Outcome] = []
        self.outcomes_size = 0  # bytes of them; guards against adding up at each intent what waits
        self.work_out: Work | None = None
        self.retry_at, self.retry_wait = 0, RETRY_FIRST
        self.refusals = self.failures = self.compactions = self.dropped_results = 0
        self.found_results: dict[int, bytes] = {}
        self.found_size = 0

    # ---- what the server tells

    def intend(self, now: int, stage: int, digest: bytes, span: int, id: bytes) -> int | None:
        """The number of an effect that wants to start, which may once it is durable; none: refused."""
        self._at(now)
        if self.phase != "keeping" or len(self.intents) >= WAITING_BOUND:
            self.refusals += 1
            return None
        if self.size() + self._waiting() + INTENT_COST + OUTCOME_COST > self.disk_bound - HEAD_COST:
            self._refuse_full()
            return None
        self.numbers += 1
        intent = Intent(self.numbers, stage, digest, self.now + span, span, id[:16])
        self.effects[intent.number] = Effect(intent)
        self.intents.append(intent)
        self.unended.add(intent.number)
        return intent.number

    def ended(self, now: int, number: int, how: str, result: bytes) -> None:
        """How an effect ended. Past the bound on disk its result is left out, its key stays."""
        self._at(now)
        self.unended.discard(number)
        effect = self.effects.get(number)
        if effect is None:
            return  # past its window
        if self.size() + self._waiting() + OUTCOME_COST + len(result) > self.disk_bound - HEAD_COST:
            result, self.dropped_results = b"", self.dropped_results + bool(result)
        effect.how, effect.result = how, len(result)
        self._tell(Outcome(number, HOW.index(how), result))
        if how == "moot":
            del self.effects[number]

    def doubts(self, now: int, number: int, until: int) -> None:
        """An effect of an earlier life whose end is awaited until then. Without room it is not written: the
        next life awaits it anew."""
        self._at(now)
        effect = self.effects.get(number)
        if effect is None or effect.how is not None:
            return
        effect.doubt = until
        if self.size() + self._waiting() + OUTCOME_COST + DOUBT.size <= self.disk_bound - HEAD_COST:
            self._tell(Outcome(number, HOW.index("doubtful"), DOUBT.pack(until)))

    def _tell(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)
        self.outcomes_size += OUTCOME_COST + len(outcome.result)

    # ---- the writer's side

    def work(self, now: int) -> Work | None:
        """What is to be written now; none while one is out, nothing waits, or a failure is too fresh."""
        self._at(now)
        if self.work_out is not None or (self.phase == "failing" and self.now < self.retry_at):
            return None
        drops = self._expired()
        compaction = self._worth_compacting()
        if not (self.intents or self.outcomes or drops or compaction or self.phase == "failing"):
            return None
        if compaction:
            self.compactions += 1
            group, drops = self._compacted(), tuple(self.segments)
        else:
            group = Group(self.intents[:GROUP_BOUND], self.outcomes[:GROUP_BOUND])
            del self.intents[:GROUP_BOUND], self.outcomes[:GROUP_BOUND]
            self.outcomes_size -= _outcomes_cost(group)
        current = self.segments.get(self.current) if self.current is not None else None
        fresh = current is None or compaction or current.size > self.disk_bound // ROLL_PARTS
        if fresh:
            self.segment_numbers += 1
            self.current = self.segment_numbers
            self.segments[self.current] = Segment(HEAD_COST)
        assert self.current is not None
        segment = self.segments[self.current]
        segment.size += 2 * FRAME_COST + _cost(group)  # intents and outcomes have a frame each
        for number in (*(one.number for one in group.intents), *(one.number for one in group.outcomes)):
            effect = self.effects.get(number)
            if effect is not None:
                segment.until = max(segment.until, effect.intent.until)
        self.work_out = Work(self.current, fresh, group, drops, compaction)
        return self.work_out

    def done(self, now: int) -> list[int]:
        """The work is durable, and what it drops is gone: the numbers that may start now."""
        self._at(now)
        work, self.work_out = self.work_out, None
        assert work is not None
        for segment in work.drops:
            self.segments.pop(segment, None)
        self.phase, self.retry_wait = "keeping", RETRY_FIRST
        ready = []
        for intent in work.group.intents:
            effect = self.effects.get(intent.number)
            if effect is not None and not effect.durable:
                effect.durable = True
                ready.append(intent.number)
        return ready

    def failed(self, now: int) -> list[int]:
        """The work may or may not be on disk: the numbers that must not start."""
        self._at(now)
        work, self.work_out = self.work_out, None
        assert work is not None
        self.failures += 1
        self.phase, self.current = "failing", None
        if work.fresh:
            del self.segments[work.segment]  # nothing in it counts; what is left of it goes at the next start
        self.retry_at = self.now + self.retry_wait
        self.retry_wait = min(RETRY_LAST, 2 * self.retry_wait)
        refused = [one.number for one in (*work.group.intents, *self.intents) if self._unstarted(one.number)]
        self.intents.clear()
        if not work.compaction:
            self.outcomes = [*work.group.outcomes, *self.outcomes]
            self.outcomes_size += _outcomes_cost(work.group)
        for number in refused:
            # Its intent may stand on disk: told to be moot, lest a later life takes it for one that ran.
            del self.effects[number]
            self.unended.discard(number)
            self._tell(Outcome(number, HOW.index("moot"), b""))
        return refused

    def due(self) -> int | None:
        """When `work` may have something next, if nothing is told till then."""
        if self.work_out is not None:
            return None
        if self.phase == "failing":
            return self.retry_at
        return min(
            (held.until for number, held in self.segments.items() if number != self.current), default=None
        )

    # ---- recovery

    def reading_at(self, now: int) -> None:
        """What is found from here on may have been written till then. Guards what another program wrote
        since this book was made against being taken for a time that can't be, and so forgotten too early."""
        self._at(now)

    def found_segment(self, number: int, size: int) -> None:
        """Also of one that has grown since it was read."""
        if number in self.segments:
            self.segments[number].size = size
        else:
            self.segments[number] = Segment(size)
        self.segment_numbers = max(self.segment_numbers, number)

    def lost_segments(self, there: set[int]) -> None:
        """All others are gone: what mattered in them stands in these."""
        self.segments = {number: held for number, held in self.segments.items() if number in there}

    def found(self, segment: int, stages: list[int | None], same_boot: bool, group: Group) -> None:
        """A group as it was read, segments in the order of their numbers. `stages`: the place here of each
        stage of the segment, none where it is gone: nothing can repeat what belonged to it."""
        held, now, effects = self.segments[segment], self.now, self.effects
        latest, known_stages = held.until, len(stages)
        for intent in group.intents:
            number, at, _, until, span, _ = intent
            stage = stages[at] if at < known_stages else None
            if not same_boot or until > now + span:
                until = now + span
            if stage is None or until <= now:
                continue
            if until > latest:
                latest = until
            if number not in effects:  # else a copy, and its outcome known
                if stage != at or until != intent[3]:
                    intent = intent._replace(stage=stage, until=until)
                effect = effects[number] = Effect(intent)
                effect.durable = True
        held.until = latest
        self.numbers = max(self.numbers, max((one.number for one in group.intents), default=0))
        for number, how, result in group.outcomes:
            known = effects.get(number)
            if known is None:
                continue
            if HOW[how] == "moot":
                del effects[number]
                continue
            held.until = max(held.until, known.intent.until)
            if HOW[how] == "doubtful":
                if same_boot and known.how is None and len(result) == DOUBT.size:
                    (known.doubt,) = DOUBT.unpack(result)
                continue
            known.how, known.result = HOW[how], len(result)
            if len(result):
                self._found_result(number, bytes(result))

    def _found_result(self, number: int, result: bytes) -> None:
        """Guards the memory: of what was found the oldest results go."""
        self.found_size += len(result) - len(self.found_results.pop(number, b""))
        self.found_results[number] = result
        while self.found_size > self.results_bound:
            self.found_size -= len(self.found_results.pop(next(iter(self.found_results))))

    def recovered(self) -> Iterable[Found]:
        """All that still matters, once every segment was read; to be taken once."""
        results, self.found_results, self.found_size = self.found_results, {}, 0
        for number, effect in self.effects.items():
            intent = effect.intent
            left = intent.until - self.now
            yield Found(number, intent.stage, intent.digest, intent.id.rstrip(b"\0"), left, effect.how,
                        results.pop(number, None), effect.doubt)  # fmt: skip

    # ---- bounds

    def size(self) -> int:
        """Bytes on disk."""
        return sum(segment.size for segment in self.segments.values())

    def _waiting(self) -> int:
        """Bytes that are promised: what waits, and an outcome for each effect that has none."""
        return (
            len(self.intents) * (INTENT_COST + OUTCOME_COST)
            + self.outcomes_size
            + len(self.unended) * (OUTCOME_COST + FRAME_COST)  # each may go out alone
            + 2 * FRAME_COST
        )

    def _at(self, now: int) -> None:
        self.now = max(self.now, now)
        if self.phase == "full" and self.size() + self._waiting() < self.disk_bound * 3 // 4:
            self.phase = "keeping"

    def _refuse_full(self) -> None:
        self.refusals += 1
        self.phase = "full"

    def _unstarted(self, number: int) -> bool:
        effect = self.effects.get(number)
        return effect is not None and not effect.durable

    def _expired(self) -> tuple[int, ...]:
        """Segments in which nothing matters any more; with them go their effects."""
        gone = tuple(
            number
            for number, held in self.segments.items()
            if held.until <= self.now and number != self.current
        )
        if gone:
            self.forget_expired()
        return gone

    def forget_expired(self) -> None:
        past = [number for number, effect in self.effects.items() if effect.intent.until <= self.now]
        for number in past:
            if self.effects[number].durable:
                del self.effects[number]
                self.unended.discard(number)

    def _worth_compacting(self) -> bool:
        """Near the bound, with half of it for nothing."""
        if self.phase == "failing" or self.size() + self._waiting() < self.disk_bound * 3 // 4:
            return False
        return len(self.effects) * (INTENT_COST + OUTCOME_COST) < self.disk_bound // 4

    def _compacted(self) -> Group:
        """All that matters, with as many of the newest results as a quarter of the bound takes."""
        room = self.disk_bound // 4
        intents, outcomes = [], []
        for number, effect in reversed(self.effects.items()):
            if not effect.durable:
                continue
            intents.append(effect.intent)
            if effect.how is not None:
                result = (self.results(number) or b"") if effect.result <= room else b""
                room -= len(result)
                effect.result = len(result)
                outcomes.append(Outcome(number, HOW.index(effect.how), result))
            elif effect.doubt is not None:
                outcomes.append(Outcome(number, HOW.index("doubtful"), DOUBT.pack(effect.doubt)))
        return Group(intents[::-1], outcomes[::-1])


def _cost(group: Group) -> int:
    return len(group.intents) * INTENT_COST + _outcomes_cost(group)


def _outcomes_cost(group: Group) -> int:
    results = sum(len(outcome.result) for outcome in group.outcomes)
    return len(group.outcomes) * OUTCOME_COST + results
