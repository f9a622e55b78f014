"""A complete request of a caller."""

from collections.abc import Callable
from typing import NamedTuple
from urllib import parse

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
    client : str
        IP address of the caller.
    arrived_at : float or None
        Earliest time at which the request can have arrived, seconds on ``clock.now``;
        None if unknown.
    has_disconnected : callable
        Tells whether the caller closed its connection.
    """

    method: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    client: str
    arrived_at: float | None = None
    has_disconnected: Callable[[], bool] = _has_not_disconnected

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1")
        return None

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
