"""The datagrams that members send each other; a message with all its records fits `MAX_DATAGRAM_SIZE`.

Every message carries `records` piggybacked: updates about members that are still to be spread. All structs
are encoded as arrays, so the order of their fields is part of the protocol, and their names are not.
"""

import msgspec

MAX_DATAGRAM_SIZE = 1400  # bytes; fits into one packet on any network
MAX_ID_LENGTH = 64  # characters of a member's id
MAX_TEXT_LENGTH = 64  # characters of an address, a release or a zone
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3  # a greater status overrides a lesser one
MAX_INCARNATION = 2**63 - 1  # leaves room to refute a record before the encoding's limit of 2**64 - 1
STATUS_NAMES = ("alive", "suspect", "dead", "left")


class MemberFacts(msgspec.Struct, frozen=True, array_like=True):
    """The facts that a member publishes about itself.

    Attributes:
        release: The release that the member runs.
        settings: Number of the settings that the member runs with.
        zone: Zone that the member is in.
        started_wall_ms: Wall clock time of the member's start, for display and to detect members that have
            started recently (cold ones).
        warm: Whether the member's server has warmed up.
        accepting: Whether the member's server accepts work.
        figures: Counters, whose meaning is defined by the component that reads them; 8 at most.
        utility: Utility of the work that arrived and of the work finished in time, in thousandths.
    """

    release: str = ""
    settings: int = 0
    zone: str = ""
    started_wall_ms: int = 0
    warm: bool = False
    accepting: bool = True
    figures: tuple[int, ...] = ()
    utility: tuple[int, int] = (0, 0)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one member knows of another.

    Of two records the one with the greater incarnation takes precedence; within an incarnation the greater
    status does, and the facts of the greater version.

    Attributes:
        id: The member's id.
        address: Address that the member listens on.
        incarnation: Increased only by the member itself, to refute a suspicion or when it restarts.
        status: ALIVE, SUSPECT, DEAD or LEFT.
        version: Increased by the member with each change of its facts.
        facts: The facts that the member publishes.
        suspected_by: Id of the other member that suspects this one; empty for none.
    """

    id: str
    address: str
    incarnation: int
    status: int
    version: int
    facts: MemberFacts
    suspected_by: str = ""

    def with_status(self, status: int, suspected_by: str = "") -> "MemberRecord":
        """Return the same record with another status."""
        return MemberRecord(
            self.id, self.address, self.incarnation, status, self.version, self.facts, suspected_by
        )


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the receiver for an Ack with the same number; the number is 0 if no Ack is expected."""

    number: int
    records: tuple[MemberRecord, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers the Ping with this number."""

    number: int
    records: tuple[MemberRecord, ...]


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping `target` and forward the target's Ack (SWIM's indirect probe, ping-req)."""

    number: int
    target: str
    records: tuple[MemberRecord, ...]


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers a PingRequest: the sender is alive, but the target has not answered it yet (Lifeguard)."""

    number: int
    records: tuple[MemberRecord, ...]


class BucketDigest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Anti-entropy: a digest of the sender's records of all members in one bucket (a subset by id hash)."""

    bucket: int
    digest: int
    records: tuple[MemberRecord, ...]


class BucketRecords(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Anti-entropy: records of a bucket; with `reply_wanted`, the receiver replies with its own records."""

    bucket: int
    reply_wanted: bool
    records: tuple[MemberRecord, ...]


class Join(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for all members' records, as one that joins does; answered with BucketRecords of all buckets."""

    records: tuple[MemberRecord, ...]


Message = Ping | Ack | PingRequest | Nack | BucketDigest | BucketRecords | Join
encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class InvalidDatagramError(Exception):
    """A datagram is not a message of this protocol."""


def decode(data: bytes) -> Message:
    """Decode a datagram, which anyone may have sent.

    Raises:
        InvalidDatagramError: The datagram is not a message.
    """
    try:
        return _decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:  # a nested value, even in an unknown field
        raise InvalidDatagramError(str(error)) from error
