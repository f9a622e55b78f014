"""Responses without end, as faulty upstreams send them until the caller closes."""

from typing import NamedTuple

import trio

_BLOCK_BYTES = 65536
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_STREAM = _CHUNKED + "Content-Type: text/event-stream\r\n"
# Each status that such a response may have.
STATUSES = (200, 500)


class Form(NamedTuple):
    """One way to send without end.

    Attributes
    ----------
    lines : str
        Header lines, each with its line end.
    first : bytes
        Sent once after these lines.
    repeated : bytes
        Sent again and again.
    ends_head : bool
        Whether an empty line follows the header lines.
    """

    lines: str
    first: bytes
    repeated: bytes
    ends_head: bool = True

    @property
    def block(self) -> bytes:
        """Many repetitions."""
        return self.repeated * (_BLOCK_BYTES // len(self.repeated) + 1)

    def head(self, status: int, request_id: str) -> bytes:
        """Return all bytes that precede the repeated ones."""
        end = b"\r\n" if self.ends_head else b""
        return (
            f"HTTP/1.1 {status} X\r\nRattanlug-Request-Id: {request_id}\r\n"
            f"Rattanlug-Server-Stamp: stamp-{request_id}\r\n{self.lines}"
        ).encode() + (end + self.first)

    async def send(
        self,
        stream: trio.SocketStream,
        status: int,
        request_id: str,
        block: bytes = b"",
        pause_seconds: float = 0.0,
    ) -> None:
        """Send until the peer closes the connection.

        Parameters
        ----------
        stream : trio.SocketStream
        status : int
        request_id : str
        block : bytes
            Sent again and again; many repetitions by default.
        pause_seconds : float
            Time between two blocks.

        Raises
        ------
        trio.BrokenResourceError
            The peer has closed it.
        """
        await stream.send_all(self.head(status, request_id))
        block = block or self.block
        while True:
            await stream.send_all(block)
            if pause_seconds:
                await trio.sleep(pause_seconds)


FORMS: dict[str, Form] = {
    "header_line": Form("X: ", b"", b"x", ends_head=False),
    "header_lines": Form("", b"", b"a:\r\n", ends_head=False),
    "chunk_size_junk": Form(_CHUNKED, b"", b"\x00\xff junk"),
    "one_chunk": Form(_CHUNKED, b"fffffff\r\n", b"x"),
    "one_byte_chunks": Form(_CHUNKED, b"", b"1\r\nx\r\n"),
    "trailers": Form(_CHUNKED, b"0\r\n", b"a:\r\n"),
    "told_length_100_megabytes": Form("Content-Length: 100000000\r\n", b"", b"x"),
    "told_length_terabyte": Form("Content-Length: 1000000000000\r\n", b"", b"x"),
    "told_length_64_bits": Form("Content-Length: 9223372036854775807\r\n", b"", b"x"),
    "no_length": Form("", b"", b"x"),
    "pieces_of_an_event": Form(_STREAM, b"", b"7\r\ndata: x\r\n"),
    "whole_events": Form(_STREAM, b"", b"9\r\ndata: x\n\n\r\n"),
}
