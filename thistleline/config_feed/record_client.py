"""Sends the writer's reads and writes of its records to the consensus cluster."""

from __future__ import annotations

from anyio.abc import TaskGroup

from thistleline.config_feed.inbox import EventSink
from thistleline.config_feed.service_events import RecordAnswered
from thistleline.config_feed.writer_events import RecordRead, RecordWritten, WriteDenied, WriteUnanswered
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Denied, Done, Get, Got, Put

READ_TIMEOUT = 0.8  # s for one read; shorter than the second after which the writer repeats a read


class RecordClient:
    """Reads and writes records; puts each answer into the inbox, with the lease's epoch at the request."""

    def __init__(self, client: LeaseClient, tasks: TaskGroup, inbox: EventSink[RecordAnswered]) -> None:
        """Send requests through this client, each in a separate task."""
        self._client = client
        self._tasks = tasks
        self._inbox = inbox

    def read(self, epoch: int, slot: int, key: str) -> None:
        """Read a record once; the writer repeats a read that has no answer."""
        self._tasks.start_soon(self._read, epoch, slot, key)

    def write(self, epoch: int, slot: int, put: Put) -> None:
        """Send one conditional write of a record."""
        self._tasks.start_soon(self._write, epoch, slot, put)

    async def _read(self, epoch: int, slot: int, key: str) -> None:
        answer = await self._client.request_until_decided(Get(key), READ_TIMEOUT)
        if isinstance(answer, Got):
            self._inbox.put(RecordAnswered(epoch, RecordRead(slot, answer.value, answer.version)))

    async def _write(self, epoch: int, slot: int, put: Put) -> None:
        answer = await self._client.request(put)
        if isinstance(answer, Done):
            self._inbox.put(RecordAnswered(epoch, RecordWritten(slot, answer.version)))
        elif isinstance(answer, Denied):
            self._inbox.put(RecordAnswered(epoch, WriteDenied(slot, answer.reason)))
        else:
            self._inbox.put(RecordAnswered(epoch, WriteUnanswered(slot)))
