"""Outcome of one request of a caller."""

from typing import NamedTuple


class Outcome(NamedTuple):
    """What a caller saw of one request.

    Attributes
    ----------
    status : int
        0 if the response did not arrive, or not as a whole.
    failure : str
        Empty if the response is complete.
    seconds : float
        From the last byte of the request to the end.
    request_id : str
    body : bytes
    closes : bool
        Whether the response announces the close of the connection.
    """

    status: int
    failure: str
    seconds: float
    request_id: str = ""
    body: bytes = b""
    closes: bool = False
    at: float = 0.0
    port: int = 0
