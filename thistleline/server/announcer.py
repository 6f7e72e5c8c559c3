"""Periodic reports to the announce service on whether the server accepts tasks."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import ReconnectBackoff, Stream
from thistleline.state.effects import AnnounceAccepting
from thistleline.wire.announce import AnnounceConnection

# Seconds.
REPORT_INTERVAL = 1.0  # the announce service drops an entry three seconds after its last report
RETRY_DELAY = 0.25  # after a failed report
ANSWER_TIMEOUT = 10.0  # maximum wait for the answer to a report
CONNECT_TIMEOUT = 2.0  # timeout of the first connection attempt
MAX_CONNECT_TIMEOUT = 8.0  # the most to which the connection timeout grows
SILENCE_TIMEOUT = 2.0  # the announce service is logged as down after this time without an answer

# Limit on reports in flight; beyond it the oldest is cancelled. More than one is allowed, so that a slow
# answer does not delay the next reports.
MAX_REPORTS = 3
MAX_ANSWER_BYTES = 16 * 1024


class Report:
    """A report in flight; once it is answered its connection can be reused for the next one."""

    __slots__ = ("accepting", "http", "scope", "stream", "succeeded")

    def __init__(self, accepting: bool) -> None:
        """Create a report of whether the server accepts tasks."""
        self.accepting = accepting
        self.succeeded: bool | None = None  # None while in flight
        self.scope = anyio.CancelScope()
        self.stream: Stream | None = None
        self.http: AnnounceConnection | None = None


class Announcer:
    """Reports every second whether this server accepts tasks."""

    def __init__(self, name: str, address: Address, group: TaskGroup, log: Callable[..., None]) -> None:
        """Start with a server that accepts tasks.

        Args:
            name: Name of the server.
            address: Address of the announce service.
            group: Runs the reports.
            log: Logs an event with its fields.
        """
        self.name = name
        self.address = address
        self._group = group
        self._log = log
        self._accepting = True
        self._version = 0  # changes with the state to report and with the address
        self._changed = anyio.Event()  # set when the state or the address changes or a report ends
        self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
        # An open connection to the announce service that can carry another report.
        self._idle: tuple[Stream, AnnounceConnection] | None = None
        self._reports: dict[Report, None] = {}  # in flight, oldest first
        self._acknowledged: bool | None = None  # the state that the service last confirmed
        self._healthy = True
        self._failure = ""  # error of the last failed report; cleared when one succeeds
        self._answered_at = 0.0

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each class of effect."""
        return {AnnounceAccepting: self._announce}

    def _announce(self, effect: AnnounceAccepting) -> None:
        self._accepting = effect.accepting
        self._acknowledged = None
        self._start_version()

    def set_address(self, address: Address) -> None:
        """Switch to the announce service at another address and report the current state to it at once."""
        if address != self.address:
            self.address = address
            self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
            self._acknowledged = None
            self._drop_idle()
            self._start_version()

    def _start_version(self) -> None:
        self._version += 1
        self._drop_reports()  # a report of an older state must not arrive after a newer one
        self._changed.set()

    def _drop_reports(self) -> None:
        dropped = self._reports
        self._reports = {}
        for report in dropped:
            report.scope.cancel()

    def _drop_idle(self) -> None:
        if self._idle is not None:
            self._idle[0].close()
            self._idle = None

    async def keep_reporting(self) -> None:
        """Report every second, whether or not earlier reports were answered.

        Returns once the announce service has confirmed the report that this server accepts no more tasks: the
        server's entry at the service may expire then.
        """
        self._answered_at = anyio.current_time()
        try:
            while True:
                started_at = anyio.current_time()
                report = self._start_report()
                await self._wait(started_at + REPORT_INTERVAL, report)
                if self._acknowledged is False and not self._accepting:
                    return
                if anyio.current_time() - self._answered_at >= SILENCE_TIMEOUT:
                    self._set_health(False, self._failure or "no answer")
                if report.succeeded is not None:
                    retry_at = anyio.current_time() + RETRY_DELAY
                    await self._wait(started_at + REPORT_INTERVAL if report.succeeded else retry_at)
        finally:
            self._drop_reports()
            self._drop_idle()

    async def _wait(self, deadline: float, report: Report | None = None) -> None:
        """Wait until the deadline, the end of the report, or a change of the state or the address."""
        version = self._version
        while (
            anyio.current_time() < deadline
            and version == self._version
            and (report is None or report.succeeded is None)
        ):
            self._changed = anyio.Event()
            with anyio.move_on_at(deadline):
                await self._changed.wait()

    def _set_health(self, healthy: bool, reason: str = "") -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            self._log("announce", state="up" if healthy else "down", why=reason)

    # ---- one report

    def _start_report(self) -> Report:
        while len(self._reports) >= MAX_REPORTS:
            oldest = next(iter(self._reports))
            del self._reports[oldest]
            oldest.scope.cancel()
        report = Report(self._accepting)
        self._reports[report] = None
        self._group.start_soon(self._run, report)
        return report

    async def _run(self, report: Report) -> None:
        """Send one report; an error ends only the connection that carries the report."""
        status = 0
        failure = ""
        with report.scope:
            try:
                status = await self._send(report)
                failure = "" if status == 204 else f"status {status}"
            except Exception as error:
                failure = str(error) or type(error).__name__
        report.succeeded = not failure
        is_current = report in self._reports  # otherwise the state or the address has changed
        self._reports.pop(report, None)
        self._release(report, is_reusable=is_current and bool(status) and not failure)
        if not is_current:
            return
        if failure:
            self._failure = failure
        else:
            self._acknowledged = report.accepting
            self._answered_at = anyio.current_time()
            self._failure = ""
            self._set_health(True)
        self._changed.set()

    def _release(self, report: Report, is_reusable: bool) -> None:
        """Keep the report's connection for the next one, or close it."""
        if report.stream is None or report.http is None:
            return
        if is_reusable and self._idle is None and report.http.start_next_report():
            self._idle = report.stream, report.http
        else:
            report.stream.close()

    async def _send(self, report: Report) -> int:
        """Send the report and return the HTTP status of the answer to it.

        Raises:
            OSError: The connection failed, or the answer is too long.
            TimeoutError: The answer did not arrive in time.
            h11.RemoteProtocolError: The answer is malformed.
        """
        stream, http = await self._connect(report)
        stream.write(http.encode_report(self.name, report.accepting))
        stream.flush()
        read = 0
        with anyio.fail_after(ANSWER_TIMEOUT):
            while read < MAX_ANSWER_BYTES:
                stream.request_read()
                count = await stream.read()
                read += count
                status = http.receive(stream.buffer.take(count))
                if status is not None:
                    return status
        raise OSError("the answer is too long")

    async def _connect(self, report: Report) -> tuple[Stream, AnnounceConnection]:
        if self._idle is not None:
            stream, http = self._idle
            self._idle = None
        else:
            host, port = self.address
            sock = await self._backoff.connect(self.address)
            stream = Stream(sock, self._group, MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
            http = AnnounceConnection(f"{host}:{port}")
        report.stream = stream
        report.http = http
        return stream, http
