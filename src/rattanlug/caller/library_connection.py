"""HTTP/1.1 connection of hypercorn that also tells what hypercorn leaves out."""

import h11
from hypercorn.trio import tcp_server

# States after the end of a response.
_RESPONDED = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})


class RequestLineRecorder(h11.Connection):
    """Parser of a connection that keeps the latest request line as received.

    Hypercorn changes the method to upper case and drops the mark of an empty query.

    Parameters
    ----------
    max_head_bytes : int
        Largest head that is kept until it is complete.
    """

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._method = b""
        self._target = b""
        self._asks_for_http_2 = False

    @property
    def method(self) -> str:
        """Method of the latest request."""
        return self._method.decode("ascii")

    @property
    def target(self) -> bytes:
        """Path with query of the latest request."""
        return self._target

    @property
    def asks_for_http_2(self) -> bool:
        """Whether the latest request asks to change to HTTP/2."""
        return self._asks_for_http_2

    @property
    def _has_responded(self) -> bool:
        """Whether a response was sent before the end of the body."""
        return self.their_state is h11.SEND_BODY and self.our_state in _RESPONDED

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; the rest of a body is dropped after its response."""
        if not self._has_responded:
            super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event.

        Bytes after the last request of a connection are left unread until its response
        is sent. They are an error for h11, and hypercorn would answer 400 while the
        request is being served, or close the connection before the rest of the
        response.
        """
        if self._has_responded:
            # The connection closes. Nothing else waits for the pieces of the body, so
            # that small ones would block the event loop.
            return h11.NEED_DATA
        if (
            self.their_state is h11.MUST_CLOSE
            and self.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
            and self.trailing_data[0]
        ):
            return h11.PAUSED
        try:
            event = super().next_event()
        except h11.RemoteProtocolError as exc:
            # The frame in which h11 raises its error refers to it. Without those frames
            # in the traceback, no reference cycle keeps the received bytes in memory.
            raise exc.with_traceback(None) from None
        if isinstance(event, h11.Request):
            self._method, self._target = event.method, event.target
            accepted = _without_http_2(event)
            self._asks_for_http_2 = accepted is not event
            return accepted
        return event


def _without_http_2(event: h11.Request) -> h11.Request:
    """Return a request that doesn't make hypercorn change to HTTP/2."""
    headers = [
        (name, value)
        for name, value in event.headers
        if name != b"upgrade" or value.strip().lower() != b"h2c"
    ]
    if len(headers) == len(event.headers):
        return event
    return h11.Request(
        method=event.method,
        target=event.target,
        headers=headers,
        http_version=event.http_version,
    )


class LibraryConnection(tcp_server.TCPServer):
    """Connection that hypercorn serves, with a recorder as its parser.

    Parameters
    ----------
    *arguments
        Of hypercorn's class.
    """

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._recorder = RequestLineRecorder(self.config.h11_max_incomplete_size)

    @property
    def recorder(self) -> RequestLineRecorder:
        """Parser of the connection."""
        return self._recorder

    def release(self) -> None:
        """Break the reference cycles with protocol and application, at the end."""
        self.protocol = self.app = None

    async def _read_data(self) -> None:
        # The protocol has been created, and no bytes have been read.
        self.protocol.protocol.connection = self._recorder
        await super()._read_data()
