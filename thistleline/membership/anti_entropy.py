"""Packing a bucket's records into datagrams, for members whose digests differ."""

from collections.abc import Iterable, Iterator

from thistleline.membership.messages import MAX_DATAGRAM_SIZE, BucketRecords, MemberRecord, encode

HEADER_SIZE = 32  # bytes of a message beside its records


def bucket_messages(
    bucket: int, records: Iterable[MemberRecord], reply_wanted: bool
) -> Iterator[BucketRecords]:
    """Yield as many messages as the records take; only the last one may want a reply."""
    part: list[MemberRecord] = []
    size = HEADER_SIZE
    for record in records:
        record_size = len(encode(record))
        if size + record_size > MAX_DATAGRAM_SIZE:
            yield BucketRecords(bucket, False, tuple(part))
            part = []
            size = HEADER_SIZE
        part.append(record)
        size += record_size
    if part or reply_wanted:
        yield BucketRecords(bucket, reply_wanted, tuple(part))
