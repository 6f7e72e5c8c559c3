"""What members say to each other, a datagram each. A message with all its words fits `SIZE_BOUND`."""

import msgspec

SIZE_BOUND = 1400  # bytes; one packet on any way
ID_BOUND, TEXT_BOUND = 64, 64
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATUS = ("alive", "suspect", "dead", "left")


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a member runs, and a small digest of how it does."""

    release: str = ""
    settings: int = 0  # number
    zone: str = ""
    born: int = 0  # wall ms of its start, for people and for telling the cold
    warm: bool = False
    taking: bool = True
    figures: tuple[int, ...] = ()  # as the part that reads them has agreed, 8 at most
    worth: tuple[int, int] = (0, 0)  # of what came and of what was finished in time, thousandths of utility


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What somebody knows of a member. Of two the greater incarnation is right; of the same one the graver
    status, and the newer facts by their version."""

    id: str
    address: str
    incarnation: int
    status: int  # place in STATUS
    version: int
    facts: Facts
    by: str = ""  # who suspects it


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    number: int  # of the sender
    words: tuple[Word, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    number: int  # of the ping that is answered
    words: tuple[Word, ...]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping `target`, and to hand its answer on."""

    number: int
    target: str
    words: tuple[Word, ...]


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Of one that was asked to ping another: it lives, the other has not answered yet."""

    number: int
    words: tuple[Word, ...]


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A digest of what the sender knows of the members in one bucket, by their ids."""

    bucket: int
    digest: int
    words: tuple[Word, ...]


class Share(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Some of a bucket. `more`: the receiver is to say in turn what it knows newer."""

    bucket: int
    more: bool
    words: tuple[Word, ...]


class Join(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Of one that knows nobody; answered with Shares of all buckets."""

    words: tuple[Word, ...]


Message = Ping | Ack | Ask | Nack | Compare | Share | Join
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
