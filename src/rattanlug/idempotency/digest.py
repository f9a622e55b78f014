"""Digest that binds an identity to one request."""

import hashlib


def request_digest(method: str, path: str, query: bytes, body: bytes) -> str:
    """Return the SHA-256 digest of a request, including the length of each part.

    Parameters
    ----------
    method : str
    path : str
        As received, without the query.
    query : bytes
    body : bytes

    Returns
    -------
    str
        64 hexadecimal digits.
    """
    result = hashlib.sha256()
    for part in (method.encode(), path.encode(), query, body):
        result.update(len(part).to_bytes(8, "big"))
        result.update(part)
    return result.hexdigest()
