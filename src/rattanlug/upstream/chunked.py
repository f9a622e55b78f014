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
    position = 0
    while True:
        line_end = data.find(b"\r\n", position)
        if line_end < 0:
            return None
        try:
            size = int(data[position:line_end].partition(b";")[0], 16)
        except ValueError:
            return None
        position = line_end + 2 + size
        if data[position : position + 2] != b"\r\n":
            return None
        position += 2
        if size == 0:
            return position
