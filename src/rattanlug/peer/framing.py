"""Frames: a 4-byte big-endian length, then that many bytes."""

import trio

from rattanlug.peer import error

MAX_FRAME_BYTES = 1 << 20
_LENGTH_BYTES = 4
_RECEIVE_BYTES = 65_536
#: A peer that stalls inside a frame must not occupy memory forever.
_FRAME_TIMEOUT_S = 10.0


def frame(data: bytes) -> bytes:
    """Prepend the length.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    bytes

    Raises
    ------
    ValueError
        If ``data`` is longer than ``MAX_FRAME_BYTES``.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class FrameReader:
    """Splits a stream into frames.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    max_bytes : int, optional
        Largest accepted frame.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, max_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    async def receive(self) -> bytes | None:
        """Return the content of the next frame, or None at the end of the stream.

        Raises
        ------
        error.MalformedMessageError
            If a frame is too long, or the stream ends or stalls inside a frame.
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection fails.
        """
        if self._buffer:
            # Without this checkpoint, a peer that sends many small frames blocks the
            # event loop.
            await trio.lowlevel.checkpoint()
        elif not await self._fill():
            return None
        with trio.move_on_after(_FRAME_TIMEOUT_S):
            await self._fill_to(_LENGTH_BYTES)
            length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if length > self._max_bytes:
                raise error.MalformedMessageError(
                    f"a frame of {length} bytes exceeds the limit"
                )
            end = _LENGTH_BYTES + length
            await self._fill_to(end)
            data = bytes(self._buffer[_LENGTH_BYTES:end])
            del self._buffer[:end]
            return data
        raise error.MalformedMessageError("the stream stalled inside a frame")

    async def _fill_to(self, length: int) -> None:
        while len(self._buffer) < length:
            if not await self._fill():
                raise error.MalformedMessageError("the stream ended inside a frame")

    async def _fill(self) -> bool:
        chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        self._buffer += chunk
        return bool(chunk)
