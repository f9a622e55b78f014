"""A complete request of a caller."""

from collections.abc import Callable
from typing import NamedTuple
from urllib import parse

from rattanlug.caller import body_stream

Headers = list[tuple[bytes, bytes]]


def _has_not_disconnected() -> bool:
    return False


class Request(NamedTuple):
    """One request of a caller.

    Attributes
    ----------
    method : str
    path : str
        Decoded path.
    target : bytes
        Path with query, as received.
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
        The whole body, or its begin if there is a `rest`.
    client : str
        IP address of the caller.
    arrived_at : float or None
        Earliest time at which the request can have arrived, seconds on ``clock.now``;
        None if unknown.
    has_disconnected : callable
        Tells whether the caller closed its connection.
    rest : body_stream.BodyStream or None
        Rest of a body that is too large to be held.
    received_at : float or None
        Earliest time at which the last byte that was read can have arrived, seconds on
        ``clock.now``; None if it is that of the first.
    """

    method: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    client: str
    arrived_at: float | None = None
    has_disconnected: Callable[[], bool] = _has_not_disconnected
    rest: body_stream.BodyStream | None = None
    received_at: float | None = None

    @property
    def waited_from(self) -> float | None:
        """Earliest time from which the request can have waited for this VM, seconds.

        The time that its caller takes to send it isn't a wait.
        """
        return self.arrived_at if self.received_at is None else self.received_at

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1")
        return None

    @property
    def body_length(self) -> int | None:
        """Bytes of the whole body; None if the caller doesn't state it."""
        return len(self.body) if self.rest is None else self.rest.length

    @property
    def is_repeatable(self) -> bool:
        """Whether the whole body can still be sent to another upstream."""
        return self.rest is None or not self.rest.has_begun

    @property
    def raw_path(self) -> bytes:
        """Path as received, still percent-encoded."""
        return self.target.partition(b"?")[0]

    @property
    def query(self) -> bytes:
        """Query string without the question mark."""
        return self.target.partition(b"?")[2]

    @property
    def parameters(self) -> dict[str, str]:
        """Query parameters; of a repeated one, the last value."""
        return dict(parse.parse_qsl(self.query.decode("latin-1")))
