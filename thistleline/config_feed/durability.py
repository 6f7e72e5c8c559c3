"""Tracks which changes the keepers have acknowledged as durable. No I/O."""

from __future__ import annotations

from typing import Any


class DurableAcknowledgements:
    """The most recent acknowledgement of each keeper.

    Attributes:
        keepers: Ids of all keepers.
        sequences: Sequence numbers of the states on disk, by the ids of the keepers that acknowledged them.
    """

    __slots__ = ("keepers", "sequences")

    def __init__(self, keepers: tuple[str, ...]) -> None:
        """Start without acknowledgements from these keepers."""
        self.keepers = keepers
        self.sequences: dict[str, int] = {}

    def copy(self) -> DurableAcknowledgements:
        """Return an independent copy."""
        copied = DurableAcknowledgements(self.keepers)
        copied.sequences = dict(self.sequences)
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines behaviour, as a hashable value."""
        return tuple(sorted(self.sequences.items()))

    def acknowledge(self, keeper: str, sequence: int) -> bool:
        """Record an acknowledgement; return whether it is from one of the keepers."""
        if keeper not in self.keepers:
            return False
        self.sequences[keeper] = sequence
        return True

    def discard_others(self, keeper: str) -> None:
        """Discard the acknowledgements of all other keepers."""
        own = self.sequences.get(keeper)
        self.sequences = {} if own is None else {keeper: own}

    def count(self, sequence: int) -> int:
        """Return the number of keepers that have the change `sequence` on disk."""
        return sum(self.sequences.get(keeper, -1) >= sequence for keeper in self.keepers)

    def has_majority(self, sequence: int) -> bool:
        """Return whether a majority of the keepers has the change `sequence` on disk."""
        return self.count(sequence) > len(self.keepers) // 2

    def majority_sequence(self) -> int:
        """Return the highest sequence number that a majority of the keepers has on disk."""
        sequences = sorted((self.sequences.get(keeper, 0) for keeper in self.keepers), reverse=True)
        return sequences[len(self.keepers) // 2] if sequences else 0
