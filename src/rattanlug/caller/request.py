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
    raw_path : bytes
        Path as received, still percent-encoded.
    query : bytes
        Query string without the question mark.
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
    client : str
        Address of the peer.
    arrived_at : float or None
        Earliest time at which the request can have arrived, seconds; None if unknown.
    has_disconnected : callable
        Tells whether the caller closed its connection.
    """

    method: str
    path: str
    raw_path: bytes
    query: bytes
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
    def target(self) -> bytes:
        """Path with query, as received."""
        return self.raw_path + (b"?" + self.query if self.query else b"")

    @property
    def parameters(self) -> dict[str, str]:
        """Query parameters; of a repeated one, the last value."""
        return dict(parse.parse_qsl(self.query.decode("latin-1")))
