"""Stand-in for clients: each keeps one connection and sends one request at a time."""

import asyncio
import contextlib
import uuid
from typing import NamedTuple

from standins import message, record

HOST = "host.example"
# A client stops waiting this long after its time budget.
_MARGIN_S = 1.0
# Long bodies are sent in pieces, so that the client needs little memory.
_PIECE_BYTES = 1 << 18


class Answer(NamedTuple):
    """What a client got for one request.

    Attributes
    ----------
    request_id : str
    status : int
        0 if the connection ended without an answer.
    response : message.Message or None
    """

    request_id: str
    status: int
    response: message.Message | None


class Client:
    """A client with a kept connection.

    Parameters
    ----------
    host : str
    port : int
    key : str
    log : record.Record
    """

    def __init__(self, host: str, port: int, key: str, log: record.Record) -> None:
        self._host = host
        self._port = port
        self._key = key
        self._log = log
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        budget_s: float = 2.5,
        body_after_s: float = 0.0,
    ) -> Answer:
        """Send a request, on a new connection if there is none; return the answer.

        Parameters
        ----------
        method, target : str
        body : bytes
        budget_s : float
            Time budget of the client.
        body_after_s : float
            Pause between the head and the body.
        """
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "Rattanlug-Request-Id": request_id,
            "Rattanlug-Deadline-Ms": str(int(budget_s * 1000)),
            "Authorization": f"Token {self._key}",
        }
        self._log.write("sent", id=request_id, method=method, to=self._host)
        response = None
        try:
            async with asyncio.timeout(budget_s + _MARGIN_S):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                first = f"{method} {target} HTTP/1.1"
                data = memoryview(message.encode(first, headers, body))
                if body_after_s:
                    head, data = data[: -len(body)], data[-len(body) :]
                    self._writer.write(head)
                    await self._writer.drain()
                    await asyncio.sleep(body_after_s)
                for begin in range(0, len(data), _PIECE_BYTES):
                    self._writer.write(data[begin : begin + _PIECE_BYTES])
                    await self._writer.drain()
                response = await message.read(self._reader)
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._log.write("broken", id=request_id, reason=type(exc).__name__)
        status = 0 if response is None else response.status
        stamp = response.headers.get("rattanlug-server-stamp") if response else None
        self._log.write("answered", id=request_id, status=status, stamp=stamp)
        if response is None or response.headers.get("connection") == "close":
            await self.close()
        return Answer(request_id, status, response)

    @property
    def is_connected(self) -> bool:
        """Whether the client keeps a connection."""
        return self._writer is not None

    async def close(self) -> None:
        """Close the connection."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
