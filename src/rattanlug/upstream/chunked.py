"""Finds the end of a chunked body."""


def body_length(data: bytes) -> int | None:
    """Return the length of a chunked body at the start of some bytes.

    Parameters
    ----------
    data : bytes
        Bytes as received after the head of a message.

    Returns
    -------
    int or None
        Length including the framing; None if the body does not end in these bytes or
        has trailers.
    """
    at = 0
    while True:
        line_end = data.find(b"\r\n", at)
        if line_end < 0:
            return None
        try:
            size = int(data[at:line_end].partition(b";")[0], 16)
        except ValueError:
            return None
        at = line_end + 2 + size
        if data[at : at + 2] != b"\r\n":
            return None
        at += 2
        if size == 0:
            return at
