"""Messages on a connection to a replica: numbered requests and replies, and grant hints."""

import msgspec

from thistleline.consensus.messages import Message
from thistleline.lease.protocol import Answer, Op


class Request(msgspec.Struct, frozen=True, tag="request"):
    """A client's request; `number` is unique on its connection."""

    number: int
    op: Op


class Reply(msgspec.Struct, frozen=True, tag="reply"):
    """The answer to the request with the same number."""

    number: int
    answer: Answer


class GrantHint(msgspec.Struct, frozen=True, tag="hint"):
    """Tells a waiter that the lease may have been granted to it, so that it sends a request at once."""

    name: str
    holder_id: str = msgspec.field(name="asker")


encode = msgspec.msgpack.Encoder().encode
decode_replica_message = msgspec.msgpack.Decoder(Message).decode
decode_request = msgspec.msgpack.Decoder(Request).decode
decode_reply = msgspec.msgpack.Decoder(Reply | GrantHint).decode
