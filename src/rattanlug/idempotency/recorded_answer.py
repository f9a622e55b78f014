"""An upstream's response as stored in an operation record."""

import base64
from typing import NamedTuple


class RecordedAnswer(NamedTuple):
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of (bytes, bytes)
    body : bytes
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def to_json(self) -> dict:
        """Return the JSON form; the body is in base64."""
        return {
            "status": self.status,
            "headers": [
                [n.decode("latin-1"), v.decode("latin-1")] for n, v in self.headers
            ],
            "body": base64.b64encode(self.body).decode(),
        }

    @classmethod
    def from_json(cls, value: dict) -> "RecordedAnswer":
        """Return the response from its JSON form."""
        headers = tuple(
            (n.encode("latin-1"), v.encode("latin-1")) for n, v in value["headers"]
        )
        return cls(value["status"], headers, base64.b64decode(value["body"]))
