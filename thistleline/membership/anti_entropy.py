"""Packs the records of a bucket of members into datagrams, for members whose digests of the bucket differ."""

from collections.abc import Iterable, Iterator

from thistleline.membership.messages import MAX_DATAGRAM_SIZE, BucketRecords, MemberRecord, encode

HEADER_SIZE = 32  # bytes reserved in a datagram for everything besides the records


def bucket_messages(
    bucket: int, records: Iterable[MemberRecord], reply_wanted: bool
) -> Iterator[BucketRecords]:
    """Yield the records in as many messages as needed; only the last one may request a reply."""
    batch: list[MemberRecord] = []
    size = HEADER_SIZE
    for record in records:
        record_size = len(encode(record))
        if size + record_size > MAX_DATAGRAM_SIZE:
            yield BucketRecords(bucket, False, tuple(batch))
            batch = []
            size = HEADER_SIZE
        batch.append(record)
        size += record_size
    if batch or reply_wanted:
        yield BucketRecords(bucket, reply_wanted, tuple(batch))
