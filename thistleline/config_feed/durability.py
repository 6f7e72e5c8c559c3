"""What the keepers have on disk, by their acknowledgements. No I/O."""

from __future__ import annotations

from typing import Any


class DurableAcknowledgements:
    """The newest acknowledgement of each keeper.

    Attributes:
        keepers: Ids of all keepers.
        sequences: Sequence number of the state on disk, by the id of a keeper that has acknowledged one.
    """

    __slots__ = ("keepers", "sequences")

    def __init__(self, keepers: tuple[str, ...]) -> None:
        """Begin without acknowledgements of these keepers."""
        self.keepers = keepers
        self.sequences: dict[str, int] = {}

    def copy(self) -> DurableAcknowledgements:
        """Return an independent copy."""
        copied = DurableAcknowledgements(self.keepers)
        copied.sequences = dict(self.sequences)
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return everything that behaviour can depend on, hashable."""
        return tuple(sorted(self.sequences.items()))

    def acknowledge(self, keeper: str, sequence: int) -> bool:
        """Take in an acknowledgement; tell whether it is of one of the keepers."""
        if keeper not in self.keepers:
            return False
        self.sequences[keeper] = sequence
        return True

    def forget_others(self, keeper: str) -> None:
        """Forget all acknowledgements but those of this keeper."""
        own = self.sequences.get(keeper)
        self.sequences = {} if own is None else {keeper: own}

    def count(self, sequence: int) -> int:
        """Return how many keepers have the change `sequence` on disk."""
        return sum(self.sequences.get(keeper, -1) >= sequence for keeper in self.keepers)

    def has_majority(self, sequence: int) -> bool:
        """Tell whether a majority of the keepers has the change `sequence` on disk."""
        return self.count(sequence) > len(self.keepers) // 2

    def majority_sequence(self) -> int:
        """Return the sequence number up to which a majority of the keepers has all changes on disk."""
        sequences = sorted((self.sequences.get(keeper, 0) for keeper in self.keepers), reverse=True)
        return sequences[len(self.keepers) // 2] if sequences else 0
