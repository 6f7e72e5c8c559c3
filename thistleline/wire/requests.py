"""Decodes the requests from client stubs, Thrift messages (wire/thrift.py), into `Request` objects."""

from collections.abc import Iterator
from dataclasses import dataclass

from thistleline.interface import ServerSettings, Task
from thistleline.wire import thrift
from thistleline.wire.buffer import Buffer
from thistleline.wire.errors import MalformedMessageError
from thistleline.wire.thrift import FRAME_HEADER_SIZE, ThriftReader

MAX_FRAME_SIZE = 8 * 1024  # bytes; a task with the largest body takes under 4 KiB
BUFFER_SIZE = MAX_FRAME_SIZE + 4 * 1024  # bytes in a connection's receive buffer
# Bytes; a longer frame counts as garbage. Closing the connection costs less than reading the frame.
MAX_DISCARDED_FRAME = 1 << 16
MAX_BODY_SIZE = 2048  # bytes
MAX_METHOD_SIZE = 64  # bytes of a method's name that an error message quotes
MAX_HEADER_SIZE = 12 + MAX_METHOD_SIZE  # bytes of version, method and sequence number

MAX_DIGITS = 16
MAX_WORK = 1e9  # milliseconds
MAX_MEMORY = 2000.0  # KB
REFERENCE_DIGITS = 16
HEX_DIGITS = "0123456789abcdefABCDEF"
MILLISECOND = 1_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """A client's request to run a task.

    Attributes:
        sequence: The request's number on its connection; the response repeats it.
        task: The task that was read.
        retry_key: The key that identifies retries: the idempotency key if the stage requires one, otherwise
            the subject that is looked up, if any.
        body: The body, a slice of the receive buffer.
    """

    sequence: int
    task: Task
    retry_key: str | None
    body: memoryview


@dataclass(frozen=True, slots=True)
class HealthRequest:
    """A client's health check; a `deep` one includes the server's dependencies."""

    sequence: int
    deep: bool


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A frame that is not a valid request.

    Attributes:
        sequence: The sequence number for the exception sent in response; None if no response is possible.
        method: The method's name; empty if it can't be read.
        reason: Why the frame is invalid.
    """

    sequence: int | None
    method: bytes
    reason: str


Request = TaskRequest | HealthRequest | MalformedRequest


class ClientCodec:
    """Decodes requests, resolving the names of stages and tenants with the server's settings."""

    def __init__(self, settings: ServerSettings) -> None:
        """Create a codec for a server with these settings."""
        self.stages = {stage.name: index for index, stage in enumerate(settings.stages)}
        self.needs_key = [stage.effect == "keyed" for stage in settings.stages]
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def decode_requests(self, buffer: Buffer) -> Iterator[Request]:
        """Decode and consume every complete frame in the buffer."""
        while len(buffer) >= FRAME_HEADER_SIZE:
            size = thrift.frame_size(buffer.view, buffer.start)
            if size > MAX_FRAME_SIZE:
                malformed = _reject_oversized(buffer, size)
                if malformed is None:
                    return  # the header of the frame's message has not been received yet
                yield malformed
                continue
            if len(buffer) < FRAME_HEADER_SIZE + size:
                return
            frame = buffer.take(FRAME_HEADER_SIZE + size)[FRAME_HEADER_SIZE:]
            try:
                request = self.decode_frame(frame)
            except MalformedMessageError as error:
                sequence, method = _peek_header(frame)
                request = MalformedRequest(sequence, method, str(error))
            if request is not None:
                yield request

    def decode_frame(self, frame: memoryview) -> Request | None:
        """Decode one frame; return None for a oneway message of an unknown method, which is ignored.

        Raises:
            MalformedMessageError: If the frame is not a valid request.
        """
        if not thrift.has_strict_version(frame):
            raise MalformedMessageError("not strict binary")
        reader = ThriftReader(frame)
        message_type = reader.read_i32() & thrift.TYPE_MASK
        method = reader.read_text()
        sequence = reader.read_i32()
        if message_type not in (thrift.CALL, thrift.ONEWAY):
            raise MalformedMessageError(f"message type {message_type} is no call")
        if method == "process":
            return self._decode_task(reader, sequence)
        if method == "probe":
            return _decode_health_request(reader, sequence)
        if message_type == thrift.ONEWAY:
            return None
        raise MalformedMessageError(f"method {method[:MAX_METHOD_SIZE]!r} is unknown")

    def _decode_task(self, reader: ThriftReader, sequence: int) -> TaskRequest:
        fields: dict[str, str] = {}
        body = reader.view[:0]
        while field_type := reader.read_byte():
            field_id = reader.read_i16()
            if (field_type, field_id) == (thrift.MAP, 1):
                fields = reader.read_text_map()
            elif (field_type, field_id) == (thrift.STRING, 2):
                body = reader.read_binary()
            else:
                reader.skip(field_type)
        if len(body) > MAX_BODY_SIZE:
            raise MalformedMessageError("the body is too long")
        try:
            return self._make_task_request(sequence, fields, body)
        except KeyError as error:
            raise MalformedMessageError(f"{error.args[0]!s:.40} is missing or unknown") from error
        except ValueError as error:
            raise MalformedMessageError("a field is no number") from error

    def _make_task_request(self, sequence: int, fields: dict[str, str], body: memoryview) -> TaskRequest:
        """Build the request from its fields. Raises KeyError, ValueError, MalformedMessageError."""
        stage = self.stages[fields["service"]]
        key, subject, effort = fields.get("replay"), fields.get("lookup"), fields.get("effort")
        if self.needs_key[stage] and not key:
            raise MalformedMessageError("the mark of repeats is missing")
        reference = fields["ref"]
        if len(reference) != REFERENCE_DIGITS or not all(digit in HEX_DIGITS for digit in reference):
            raise MalformedMessageError("ref is no id")
        task = Task(
            id=reference,
            stage=stage,
            tenant=self.tenants[fields["project"]] if self.tenants else 0,
            client=_parse_integer(fields["sender"]),
            priority_rank=_parse_number(fields["class_rank"], 1.0),
            user=None if subject is None else _parse_integer(subject, 16),
            estimated_work=None if effort is None else _parse_work(effort),
            queued_memory_kb=_parse_number(fields["room"], MAX_MEMORY),
            arrived_at=_parse_integer(fields["since"]) * MILLISECOND,
            deadline=None,
            is_retry="dup" in fields,
            duplicate_of=None,
        )
        return TaskRequest(sequence, task, key if self.needs_key[stage] else subject, body)


def _decode_health_request(reader: ThriftReader, sequence: int) -> HealthRequest:
    deep = False
    while field_type := reader.read_byte():
        if (field_type, reader.read_i16()) == (thrift.BOOL, 1):
            deep = bool(reader.read_byte())
        else:
            reader.skip(field_type)
    return HealthRequest(sequence, deep)


def _reject_oversized(buffer: Buffer, size: int) -> MalformedRequest | None:
    """Discard an oversized frame; return None while more of its header is needed to answer it."""
    sequence, method = _peek_header(buffer.view[buffer.start + FRAME_HEADER_SIZE : buffer.end])
    if size > MAX_DISCARDED_FRAME:
        sequence = None
    elif sequence is None and len(buffer) < FRAME_HEADER_SIZE + MAX_HEADER_SIZE:
        return None
    buffer.discard(FRAME_HEADER_SIZE + size)
    return MalformedRequest(sequence, method, f"a frame of {size} bytes")


def _peek_header(frame: memoryview) -> tuple[int | None, bytes]:
    """Return the sequence number and the method's name; None and empty if the header is malformed."""
    reader = ThriftReader(frame)
    try:
        if reader.read_i32() & thrift.VERSION_MASK == thrift.VERSION:
            method = bytes(reader.read_binary()[:MAX_METHOD_SIZE])
            return reader.read_i32(), method
    except MalformedMessageError:
        pass
    return None, b""


def _parse_integer(text: str, base: int = 10) -> int:
    if len(text) > MAX_DIGITS:
        raise MalformedMessageError("a number is too long")
    if not (text.isascii() and text.isalnum()):  # no signs, spaces or underscores, which `int` allows
        raise ValueError
    return int(text, base)


def _parse_work(text: str) -> int | None:
    """Parse decimal milliseconds and return nanoseconds; None for zero."""
    return int(_parse_number(text, MAX_WORK) * MILLISECOND) or None


def _parse_number(text: str, limit: float) -> float:
    """Parse a number that is at least 0 and less than `limit`."""
    if not text.isascii() or "_" in text or text != text.strip():
        raise ValueError
    value = float(text)
    if not 0 <= value < limit:
        raise MalformedMessageError("a number is out of bounds")
    return value
