"""The names of stages (classes of requests) that the ledger's records refer to by index.

A segment's header has the names of the stages of the server that wrote it. A server with other settings may
lack some of them. The records of such a stage are retained, because the settings may get the stage back
while the keys' idempotency windows last; so each of these names gets an index after those of the server's
own stages and is written to the headers of new segments.
"""

from thistleline.store.frames import CorruptFrameError


class StageNames:
    """The indexes of the server's own stages and of the unmatched stages, which its settings do not have."""

    def __init__(self, own: tuple[str, ...]) -> None:
        """Start with the names of the server's own stages, in order."""
        self._own_count = len(own)
        self._indexes = {name: index for index, name in enumerate(own)}

    @property
    def own_count(self) -> int:
        """Number of the server's own stages; a greater or equal index is that of an unmatched stage."""
        return self._own_count

    def all(self) -> tuple[str, ...]:
        """Return the names of all stages in the order of their indexes, as a segment's header has them."""
        return tuple(self._indexes)

    def index(self, name: str) -> int:
        """Return the index of a stage; an unmatched stage gets one."""
        return self._indexes.setdefault(name, len(self._indexes))


class SegmentStages(dict[int, int]):
    """For each stage in a segment's header, by its position there, the index among `StageNames`.

    Filled on first use, so that an unmatched stage gets an index only if a retained record refers to it.
    """

    def __init__(self, names: StageNames, header: tuple[str, ...]) -> None:
        """Create the mapping for a segment whose header has these stages."""
        super().__init__()
        self._names = names
        self._header = header

    def __missing__(self, position: int) -> int:
        """Return the index of the stage at this position of the header.

        Raises:
            CorruptFrameError: The header has no such position.
        """
        if position >= len(self._header):
            raise CorruptFrameError(f"a record refers to stage {position}, but there are {len(self._header)}")
        index = self[position] = self._names.index(self._header[position])
        return index
