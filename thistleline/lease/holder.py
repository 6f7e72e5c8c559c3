"""The holder's side: what it asks, what it believes, until when it may act. No I/O, no clock.

Inputs:  start | answered number Answer | unanswered number | hinted | elapsed | release
Effects: (ask number Op)  (held epoch)  (ended why)

A right counts from before the request was sent whose answer brought it. Times are CLOCK_BOOTTIME of the
holder's machine, ns: a clock that stands still in a sleep would let a right outlive it.
"""

from collections.abc import Callable
from typing import Any, Literal

from thistleline.lease.protocol import (
    Answer,
    Denied,
    Done,
    Elsewhere,
    Granted,
    Keep,
    Kept,
    Op,
    Release,
    Take,
    Waiting,
    right,
)

Phase = Literal["new", "asking", "waiting", "held", "releasing", "ended"]
SENT_BOUND = 16  # requests whose answers are still of use
WAIT_AGAIN = 500_000_000  # ns between two words of one who waits
PAUSE_FIRST, PAUSE_LAST = 20_000_000, 500_000_000  # ns, after an answer that decides nothing


class Hold:
    __slots__ = (
        *("name", "asker", "length", "wait", "spread", "now", "phase", "epoch", "until", "number", "sent"),
        *("ask_at", "pause", "effects", "why", "release_until"),
    )

    def __init__(
        self, name: str, asker: str, length: int, wait: bool, now: int, spread: Callable[[int], int]
    ) -> None:
        """`length` in ns; `spread`: a random part of a span."""
        self.name, self.asker, self.length, self.wait, self.now = name, asker, length, wait, now
        self.spread = spread
        self.phase: Phase = "new"
        self.epoch = self.until = 0
        self.number = 0
        self.sent: dict[int, int] = {}  # when each request was sent
        self.ask_at = now
        self.pause = PAUSE_FIRST
        self.effects: list[tuple[Any, ...]] = []
        self.why = ""
        self.release_until = 0

    def copy(self) -> "Hold":
        made = Hold.__new__(Hold)
        for name in self.__slots__:
            setattr(made, name, getattr(self, name))
        made.sent, made.effects = dict(self.sent), []
        return made

    def frozen(self) -> tuple[Any, ...]:
        return (
            *(self.name, self.asker, self.phase, self.epoch, self.until, self.number),
            *(tuple(self.sent.items()), self.ask_at, self.pause),
        )

    # ---- what may be done

    def valid(self, now: int) -> bool:
        return self.phase == "held" and now < self.until

    def fits(self, now: int, longest: int) -> bool:
        """Whether an act that takes so long at most may begin."""
        return self.phase == "held" and now + longest <= self.until

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        if self.phase == "held" and self.now >= self.until:
            self._end("its right is over")  # whatever came in, it came too late
        if self.phase != "ended":
            getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        return min(self.ask_at, self.until) if self.phase == "held" else self.ask_at

    def _end(self, why: str) -> None:
        self.phase, self.why = "ended", why
        self.effects.append(("ended", why))

    def _ask(self, op: Op) -> None:
        self.number += 1
        self.sent[self.number] = self.now
        while len(self.sent) > SENT_BOUND:
            del self.sent[next(iter(self.sent))]
        self.effects.append(("ask", self.number, op))
        self.ask_at = self.now + self._patience()

    def _patience(self) -> int:
        """Until it asks again, with or without an answer."""
        if self.phase == "waiting":
            return WAIT_AGAIN
        return max(PAUSE_FIRST, right(self.length) // 4)

    def _next(self) -> None:
        if self.phase == "asking":
            self._ask(Take(self.name, self.asker, self.length, self.wait))
        elif self.phase == "releasing":
            if self.now >= self.release_until:
                self._end("released, unheard")  # the council lets it end by itself
            else:
                self._ask(Release(self.name, self.asker))
        else:
            self._ask(Keep(((self.name, self.asker),)))

    def _start(self) -> None:
        self.phase = "asking"
        self._next()

    def _hinted(self) -> None:
        if self.phase == "waiting":
            self._next()

    def _elapsed(self) -> None:
        if self.now >= self.ask_at:
            self._next()

    def _unanswered(self, number: int) -> None:
        """No answer will come, as the connection is gone; what was asked may still be decided."""
        if number == self.number:
            self.ask_at = min(self.ask_at, self.now + self.pause + self.spread(self.pause))
            self.pause = min(PAUSE_LAST, 2 * self.pause)

    def _release(self) -> None:
        """Stops at once; then tells."""
        if self.phase == "held" or self.phase in ("asking", "waiting"):
            self.phase = "releasing"
            self.release_until = self.now + self.length
            self._next()

    def _answered(self, number: int, answer: Answer) -> None:
        asked = self.sent.pop(number, None)
        if isinstance(answer, Elsewhere):
            self._unanswered(number)
            return
        self.pause = PAUSE_FIRST
        if self.phase == "releasing":
            if isinstance(answer, Done):
                self._end("released")
            return
        if isinstance(answer, Kept) and len(answer.states) == 1:
            answer = answer.states[0]
        if asked is None:
            return
        if isinstance(answer, Granted):
            self._granted(asked, answer)
        elif isinstance(answer, Waiting):
            if self.phase == "asking":
                self.phase = "waiting"
                self.ask_at = self.now + WAIT_AGAIN
        elif isinstance(answer, Denied):
            self._end(answer.why)

    def _granted(self, asked: int, answer: Granted) -> None:
        until = asked + right(answer.length)
        if self.phase == "held":
            self.until = max(self.until, until)
            return
        if self.now >= until:
            return  # it came after its end; asked again by and by, the same lease answers
        self.phase, self.epoch, self.until = "held", answer.epoch, until
        self.ask_at = min(self.ask_at, self.now + self._patience())
        self.effects.append(("held", self.epoch))
