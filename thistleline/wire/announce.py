"""The announce service's protocol: successive HTTP/1.1 reports on one connection."""

import h11


class AnnounceConnection:
    """The HTTP state of one connection; a report is complete once `receive` has returned its status."""

    def __init__(self, host: str) -> None:
        """Start a connection to `host`, an address with its port."""
        self.host = host
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0

    def encode_report(self, name: str, accepting: bool) -> bytes:
        """Encode a report of whether the server `name` accepts tasks."""
        body = b'{"accepting":"%s"}' % (b"true" if accepting else b"false")
        head = h11.Request(
            method="PUT",
            target=f"/announce/{name}",
            headers=[("Host", self.host), ("Content-Length", str(len(body)))],
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self.http.send(event) or b"" for event in events)

    def receive(self, data: bytes | memoryview) -> int | None:
        """Process received bytes; empty `data` marks the end of the stream.

        Returns:
            The status code once the whole response has been received, None before.

        Raises:
            h11.RemoteProtocolError: If the response is malformed or truncated.
        """
        self.http.receive_data(bytes(data))
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return self.status
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the connection was closed before the response")
            elif event is h11.NEED_DATA:
                return None

    def start_next_report(self) -> bool:
        """Prepare for another report; return whether the connection can carry one."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False
