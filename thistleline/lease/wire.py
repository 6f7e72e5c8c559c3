"""What goes over a link to a voter: requests and answers by number, and hints that a lease is held now."""

import msgspec

from thistleline.consensus.messages import Message
from thistleline.lease.protocol import Answer, Op


class Request(msgspec.Struct, frozen=True, tag="request"):
    number: int  # of the client, on this connection
    op: Op


class Reply(msgspec.Struct, frozen=True, tag="reply"):
    number: int
    answer: Answer


class Hint(msgspec.Struct, frozen=True, tag="hint"):
    """Its lease may have changed: worth asking."""

    name: str
    asker: str


encode = msgspec.msgpack.Encoder().encode
decode_voter = msgspec.msgpack.Decoder(Message).decode
decode_request = msgspec.msgpack.Decoder(Request).decode
decode_reply = msgspec.msgpack.Decoder(Reply | Hint).decode
