"""A complete response of an upstream."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Response(NamedTuple):
    """Status, headers and body of a response.

    Attributes
    ----------
    status : int
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None
