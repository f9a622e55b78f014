"""Callers of a site, which keep connections and retry as they are told."""

import json
import math
import os
import random
import socket

import trio

from soak import callers, sites
from soak import deployment as deployment_module
from trial.shared_platform import fleet

_LOOKUP_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 1.0
# Callers keep an answer of the directory for its time; one in four three times as long.
_PATIENT_FACTOR = 3.0
_PATIENT_SHARE = 0.25
_MAX_ATTEMPTS = 2
# Share of the requests with a withdrawn key, if the organisation has one.
_WITHDRAWN_SHARE = 0.05
# An idle connection is used for this part of the time that the daemon keeps it.
_IDLE_SHARE = 0.8
_IDLE_SECONDS = 15.0
# Statuses that are not sent again.
_FINAL = frozenset({400, 401, 404, 413, 431})
_PROMISES = frozenset({408, 421, 429, 503})
_PAUSE_SECONDS = 0.05
# Waves of the rate, one third of a period apart in neighbouring data centres.
_WAVE_SECONDS = 36.0
_WAVE_PHASE = 0.3
# A caller that is later than this with its requests leaves some out.
_MAX_LAG_SECONDS = 1.0


class SiteCaller(callers.Caller):
    """One caller, which sends the site's mix of requests.

    Parameters are those of `callers.Caller`.
    """

    def __init__(
        self,
        index: int,
        deployed: deployment_module.Deployment,
        rng: random.Random,
        requests_per_second: float,
    ) -> None:
        super().__init__(index, deployed, rng, requests_per_second)
        self._patience = _PATIENT_FACTOR if rng.random() < _PATIENT_SHARE else 1.0
        self._look_up_at = float("-inf")
        self._failed: set[str] = set()
        self._idle_until = float("-inf")

    async def run(self) -> None:
        """Send requests until cancelled."""
        swing = self._deployed.site.swing
        if not swing:
            await super().run()
        places = self._deployed.site.data_centres
        third = places.index((self._data_centre, self._region)) % 3 / 3.0
        due = begun_at = trio.current_time()
        while True:
            now = trio.current_time()
            wave = (now - begun_at) / _WAVE_SECONDS + _WAVE_PHASE + third
            factor = 1.0 + swing * math.sin(2.0 * math.pi * wave)
            due = max(due, now - _MAX_LAG_SECONDS)
            due += self._rng.expovariate(self._rate * factor)
            await trio.sleep_until(due)
            await self._look_up()
            if self._hosts:
                await self._request()

    async def _look_up(self) -> None:
        now = trio.current_time()
        if now < self._look_up_at:
            return
        target = (
            f"/resolve?name={fleet.HOST}&region={self._region}&zone={self._data_centre}"
        )
        data = f"GET {target} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode()
        vms = self._rng.sample(self._deployed.vms, len(self._deployed.vms))
        vms.sort(key=self._distance)
        for vm in vms[:3]:
            answer = await self._ask(vm.host, data)
            if answer is not None:
                hosts = [each.partition(":")[0] for each in answer["addresses"]]
                # This process may hear later of a VM that was just added.
                known = {each.host for each in self._deployed.vms}
                self._hosts = [each for each in hosts if each in known]
                self._failed.clear()
                self._look_up_at = now + min(answer["ttl_s"], 5.0) * self._patience
                return

    def _distance(self, vm: deployment_module.Vm) -> int:
        return (vm.region != self._region) + (vm.data_centre != self._data_centre)

    async def _ask(self, host: str, data: bytes) -> dict | None:
        kept, self._stream = self._stream, None
        try:
            with trio.fail_after(_LOOKUP_TIMEOUT_SECONDS):
                port = deployment_module.FIRST_PORT + 2
                self._stream = await trio.open_tcp_stream(host, port)
                await self._stream.send_all(data)
                head, body = await self._read()
            return json.loads(body) if head[9:12] == b"200" else None
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return None
        finally:
            await self._close()
            self._stream = kept

    async def _request(self) -> None:
        organisations = list(self._deployed.organisations.values())
        organisation = self._rng.choice(organisations)
        keys = organisation["api_keys"]
        if self._rng.random() < _WITHDRAWN_SHARE:
            keys = organisation.get("withdrawn") or keys
        key = self._rng.choice(keys)
        routes = self._deployed.site.routes
        route = self._rng.choices(routes, [each.weight for each in routes])[0]
        name = route.name
        if route is routes[0] and self._deployed.added_routes:
            name = self._rng.choice([name, *self._deployed.added_routes[-1:]])
        ends_at = trio.current_time() + route.deadline_seconds
        for attempt in range(_MAX_ATTEMPTS):
            received = await self._attempt(route, f"/{name}/x", key, ends_at)
            if attempt + 1 == _MAX_ATTEMPTS or not self._retries(route, received):
                return
            left = ends_at - trio.current_time()
            wait = float(callers.header(received.head, b"retry-after") or 0.0)
            await self._close()
            await trio.sleep(max(0.0, min(wait, left / 3.0)))

    def _retries(self, route: sites.Route, received) -> bool:
        if received is None or received.timed_out:
            return False
        status = int(received.head[9:12] or 0)
        if status < 300 and received.head or status in _FINAL:
            return False
        return route.kind == "safe" or status in _PROMISES

    async def _attempt(self, route: sites.Route, path: str, key: str, ends_at: float):
        """Send one request; return what was received, or None if nothing was sent."""
        self._sent += 1
        request_id = f"c{self._index}-{self._sent}"
        try:
            await self._connect()
        except (OSError, trio.TooSlowError):
            self._failed.add(self._host)
            await self._close()
            return None
        sent_at = trio.current_time()
        # As it is sent, in whole milliseconds.
        left = round(ends_at - sent_at, 3)
        if left <= 0:
            return None
        data = self._encode_route(request_id, route, path, key, left)
        try:
            received = await self._exchange(data, left, *self._parts(route, data))
        except trio.Cancelled:
            # A pressing caller leaves without waiting for its response.
            vm = next(x.name for x in self._deployed.vms if x.host == self._host)
            left_at = trio.current_time()
            self._deployed.observations.disconnects[request_id] = (left_at, vm)
            self._stream.socket.close()
            raise
        self._record(request_id, path, key, sent_at, received)
        exchanges = self._deployed.observations.exchanges
        exchanges[-1] = exchanges[-1]._replace(limit=left)
        head = received.head
        if not head or b"connection: close" in head.lower():
            await self._close()
        self._idle_until = trio.current_time() + _IDLE_SHARE * _idle_seconds(head)
        return received

    def _parts(self, route: sites.Route, data: bytes) -> tuple[int, float]:
        """Return the length of the first part and the pause after it."""
        parted = self._deployed.site.parted
        if not route.body_bytes or not parted or self._rng.random() >= parted:
            return 0, 0.0
        return self._rng.randrange(1, len(data)), self._rng.uniform(0.0, _PAUSE_SECONDS)

    async def _connect(self) -> None:
        usable = self._host in self._hosts and trio.current_time() < self._idle_until
        if self._stream is not None and usable and not _is_closed(self._stream):
            return
        await self._close()
        hosts = [each for each in self._hosts if each not in self._failed]
        self._host = self._rng.choice(hosts or self._hosts)
        with trio.fail_after(_CONNECT_TIMEOUT_SECONDS):
            self._stream = await trio.open_tcp_stream(
                self._host, deployment_module.FIRST_PORT
            )

    def _encode_route(
        self, request_id: str, route: sites.Route, path: str, key: str, left: float
    ) -> bytes:
        body = b"b" * route.body_bytes
        lines = [
            f"{route.method} {path} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"Rattanlug-Request-Id: {request_id}",
            f"Rattanlug-Deadline-Ms: {left * 1000.0:.0f}",
            f"Cookie: Rattanlug-Affinity-Key={self._rng.randrange(route.objects)}",
            f"Authorization: Token {key}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _is_closed(stream: trio.SocketStream) -> bool:
    """Return whether the VM has closed or reset a connection that is not in use."""
    # The socket that trio wraps does not block.
    with socket.socket(fileno=os.dup(stream.socket.fileno())) as raw:
        try:
            return not raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True


def _idle_seconds(head: bytes) -> float:
    """Return how long the daemon keeps an idle connection."""
    field = callers.header(head, b"keep-alive").decode("latin-1")
    for each in field.split(","):
        name, _, value = each.strip().partition("=")
        if name == "timeout":
            return float(value)
    return _IDLE_SECONDS
