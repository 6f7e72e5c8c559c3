"""The announce service: one HTTP/1.1 report after another on a connection."""

import h11


class Reports:
    """The state of one connection; a report is done when `answered` has told its status."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0

    def report(self, name: str, taking: bool) -> bytes:
        body = b'{"accepting":"%s"}' % (b"true" if taking else b"false")
        head = h11.Request(
            method="PUT",
            target=f"/announce/{name}",
            headers=[("Host", self.host), ("Content-Length", str(len(body)))],
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self.http.send(event) or b"" for event in events)

    def answered(self, data: bytes | memoryview) -> int | None:
        """The status once the whole answer has come; empty data is the end of the stream. May raise
        h11.RemoteProtocolError."""
        self.http.receive_data(bytes(data))
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return self.status
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the answer")
            elif event is h11.NEED_DATA:
                return None

    def again(self) -> bool:
        """Whether the connection can carry a further report."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False
