"""Callers that look up a VM and reuse the connection until it is closed."""

import json
import random
from typing import NamedTuple

import trio

from soak import deployment as deployment_module
from soak import history
from trial import http_client
from trial.shared_platform import fleet

LOOK_UP_INTERVAL_SECONDS = 2.0
# Above the time-out of 1 s that the routes of the desired state have.
RESPONSE_TIMEOUT_SECONDS = 3.0
_HEAD_END = b"\r\n\r\n"


class Caller:
    """One caller, which sends requests one after the other with random pauses.

    Parameters
    ----------
    index : int
    deployed : deployment.Deployment
    rng : random.Random
    requests_per_second : float
    """

    def __init__(
        self,
        index: int,
        deployed: deployment_module.Deployment,
        rng: random.Random,
        requests_per_second: float,
    ) -> None:
        self._index = index
        self._deployed = deployed
        self._rng = rng
        self._rate = requests_per_second
        self._data_centre, self._region = rng.choice(deployed.site.data_centres)
        self._hosts: list[str] = []
        self._looked_up_at = float("-inf")
        self._stream: trio.SocketStream | None = None
        self._host = ""
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(self._rate))
            await self._look_up()
            if self._hosts:
                await self._request()

    async def _look_up(self) -> None:
        if trio.current_time() - self._looked_up_at < LOOK_UP_INTERVAL_SECONDS:
            return
        vms = self._rng.sample(self._deployed.vms, len(self._deployed.vms))
        for vm in vms[:3]:
            port = deployment_module.FIRST_PORT + 2
            target = (
                f"/resolve?name={fleet.HOST}&region={self._region}"
                f"&zone={self._data_centre}"
            )
            try:
                response = await http_client.request(
                    vm.host, port, "GET", target, timeout=1.0
                )
                addresses = json.loads(response.body)["addresses"]
            except (*http_client.FAILURES, KeyError, ValueError):
                continue
            self._hosts = [each.partition(":")[0] for each in addresses]
            self._looked_up_at = trio.current_time()
            return

    async def _request(self) -> None:
        organisations = list(self._deployed.organisations.values())
        organisation = self._rng.choice(organisations)
        key = self._rng.choice(
            [*organisation["api_keys"], *organisation.get("withdrawn", [])]
        )
        routes = ["view", "view", "claim", *self._deployed.added_routes[-1:]]
        path = f"/{self._rng.choice(routes)}/x"
        self._sent += 1
        request_id = f"c{self._index}-{self._sent}"
        body = b"b" * 400 if path.startswith("/claim/") else b""
        try:
            await self._connect()
        except (OSError, trio.TooSlowError):
            self._hosts = [each for each in self._hosts if each != self._host]
            await self._close()
            return
        sent_at = trio.current_time()
        data = self._encode(request_id, path, key, body)
        received = await self._exchange(data, RESPONSE_TIMEOUT_SECONDS)
        self._record(request_id, path, key, sent_at, received)
        if not received.head or b"connection: close" in received.head.lower():
            await self._close()

    async def _exchange(
        self, data: bytes, timeout: float, first_part: int = 0, pause: float = 0.0
    ) -> "_Received":
        """Send a request, after a pause following its first part; read the answer."""
        head, body, timed_out, reset = b"", b"", False, False
        try:
            with trio.fail_after(timeout):
                if first_part:
                    await self._stream.send_all(data[:first_part])
                    await trio.sleep(pause)
                await self._stream.send_all(data[first_part:])
                head, body = await self._read()
        except trio.TooSlowError:
            timed_out = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            reset = True
        return _Received(head, body, timed_out, reset)

    async def _connect(self) -> None:
        if self._stream is not None and self._host in self._hosts:
            return
        await self._close()
        self._host = self._rng.choice(self._hosts)
        with trio.fail_after(1.0):
            self._stream = await trio.open_tcp_stream(
                self._host, deployment_module.FIRST_PORT
            )

    async def _close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    def _encode(self, request_id: str, path: str, key: str, body: bytes) -> bytes:
        lines = [
            f"{'POST' if body else 'GET'} {path} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"Rattanlug-Request-Id: {request_id}",
            "Rattanlug-Deadline-Ms: 2000",
            f"Cookie: Rattanlug-Affinity-Key={self._rng.randrange(60)}",
            f"Authorization: Token {key}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + _HEAD_END + body

    async def _read(self) -> tuple[bytes, bytes]:
        """Return head and body, both empty if the connection closes before the end."""
        data = b""
        while _HEAD_END not in data:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                return b"", b""
            data += chunk
        head, _, body = data.partition(_HEAD_END)
        length = int(header(head, b"content-length") or 0)
        while len(body) < length:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                return b"", b""
            body += chunk
        return head, body

    def _record(
        self,
        request_id: str,
        path: str,
        key: str,
        sent_at: float,
        received: "_Received",
    ) -> None:
        head = received.head
        by_host = {each.host: each.name for each in self._deployed.vms}
        exchange = history.Exchange(
            request_id,
            by_host[self._host],
            path,
            key,
            sent_at,
            trio.current_time(),
            int(head[9:12]) if head else None,
            not head and not received.timed_out,
            header(head, b"rattanlug-server-stamp").decode("latin-1"),
            received.body,
            received.reset,
            self._data_centre,
        )
        self._deployed.observations.exchanges.append(exchange)


class _Received(NamedTuple):
    """The response to one request; without a head, there was none in full."""

    head: bytes
    body: bytes
    timed_out: bool
    reset: bool


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, or nothing if there is none."""
    for line in head.split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.strip().lower() == name:
            return value.strip()
    return b""
