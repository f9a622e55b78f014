"""Reads and writes HTTP/1.1 messages."""

import asyncio
import json
from typing import NamedTuple

_LIMIT_BYTES = 64 << 20


class Message(NamedTuple):
    """A request or a response.

    Attributes
    ----------
    first : str
        Request line or status line.
    headers : dict of str to str
        Names in lower case.
    body : bytes
    """

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path of a request, with its query."""
        return self.first.split(" ")[1]


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection.

    Raises
    ------
    ValueError
        The bytes are not a message.
    OSError, asyncio.IncompleteReadError
        The connection broke inside a message.
    """
    lines = []
    while True:
        line = await reader.readline()
        if not line and not lines:
            return None
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            break
        lines.append(text)
    headers = {}
    for each in lines[1:]:
        name, separator, value = each.partition(":")
        if not separator:
            raise ValueError(f"not a header: {each!r}")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size or len(body) > _LIMIT_BYTES:
            return body


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message, with ``Content-Length``."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(status: int, value: object) -> bytes:
    """Return the bytes of a response with a JSON body."""
    body = json.dumps(value).encode()
    headers = {"Content-Type": "application/json"}
    return encode(f"HTTP/1.1 {status} Status", headers, body)
