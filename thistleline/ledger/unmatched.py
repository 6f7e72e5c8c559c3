"""Recovered effects of stages that the server's settings do not have.

No task can request such an effect now, but the settings may get the stage back while the key's idempotency
window lasts. The ledger retains the records; this table has what the state machine has for other effects: the
results, which compaction rewrites, and the attempts whose outcome is still to be recorded.
"""

from collections import OrderedDict
from collections.abc import Container

from thistleline.ledger.records import RecoveredEffect


class UnmatchedEffects:
    """The unmatched effects of one ledger.

    Attributes:
        awaited: Numbers of the effects without an outcome, by attempt id.
    """

    def __init__(self, max_result_bytes: int) -> None:
        """Create an empty table; above `max_result_bytes` the oldest results are dropped."""
        self.awaited: dict[bytes, int] = {}
        self._numbers: set[int] = set()
        self._results: OrderedDict[int, bytes] = OrderedDict()  # by effect number, oldest first
        self._result_bytes = 0
        self._max_result_bytes = max_result_bytes

    def __len__(self) -> int:
        """Return the number of unmatched effects."""
        return len(self._numbers)

    def add(self, effect: RecoveredEffect) -> None:
        """Add a recovered effect."""
        self._numbers.add(effect.number)
        if effect.outcome is None:
            self.awaited[effect.attempt_id] = effect.number
        elif effect.result is not None:
            self._retain_result(effect.number, effect.result)

    def end(self, attempt_id: bytes, result: bytes) -> None:
        """Retain the result of an effect that is awaited no longer."""
        self._retain_result(self.awaited.pop(attempt_id), result)

    def attempt_of(self, number: int) -> bytes | None:
        """Return the attempt id of an effect without an outcome; None if it is not awaited."""
        return next((attempt_id for attempt_id, known in self.awaited.items() if known == number), None)

    def result(self, number: int) -> bytes | None:
        """Return the result of an effect; None if there is none or it was dropped."""
        return self._results.get(number)

    def retain(self, numbers: Container[int]) -> None:
        """Remove all effects but these."""
        self._numbers = {number for number in self._numbers if number in numbers}
        self.awaited = {id: number for id, number in self.awaited.items() if number in numbers}
        for number in [number for number in self._results if number not in numbers]:
            self._result_bytes -= len(self._results.pop(number))

    def _retain_result(self, number: int, result: bytes) -> None:
        self._results[number] = result
        self._result_bytes += len(result)
        while self._result_bytes > self._max_result_bytes:
            self._result_bytes -= len(self._results.popitem(last=False)[1])
