"""Looks up which VMs to use."""

import json
import random
import re

import httpcore
import trio

from trial import clock
from trial.caller import settings

LOOKUP_TIMEOUT_S = 0.5
_DEFAULT_LIFETIME_S = 5.0
_MAX_AGE = re.compile(r"max-age=(\d+)")


class Directory:
    """Caches look-up responses for each data centre of callers.

    Parameters
    ----------
    caller_settings : settings.CallerSettings
    pools : dict
        Connection pool by data centre.
    generator : random.Random
        Orders the VMs to send look-ups to.
    """

    def __init__(
        self,
        caller_settings: settings.CallerSettings,
        pools: dict[str, httpcore.AsyncConnectionPool],
        generator: random.Random,
    ):
        self._settings = caller_settings
        self._pools = pools
        self._random = generator
        self._cache: dict[str, tuple[float, list[settings.CallerVm]]] = {}
        self._locks = {name: trio.Lock() for name in caller_settings.sources}
        self.lookups = 0
        self.failed_lookups = 0

    async def find_vms(self, data_centre: str) -> list[settings.CallerVm]:
        """Return VMs in the order of preference; on failure, the last known ones."""
        async with self._locks[data_centre]:
            expires, vms = self._cache.get(data_centre, (0.0, []))
            if clock.now() < expires:
                return vms
            # The VMs of the previous response are asked first.
            others = [each for each in self._settings.vms if each not in vms]
            self._random.shuffle(others)
            others.sort(key=lambda each: each.data_centre != data_centre)
            for vm in [*vms, *others][:4]:
                result = await self._look_up(data_centre, vm)
                if result is not None:
                    self._cache[data_centre] = result
                    return result[1]
            return vms or others

    async def _look_up(
        self, data_centre: str, vm: settings.CallerVm
    ) -> tuple[float, list[settings.CallerVm]] | None:
        self.lookups += 1
        client_host = self._settings.sources[data_centre]
        sent = clock.now()
        try:
            with trio.fail_after(LOOKUP_TIMEOUT_S):
                response = await self._pools[data_centre].request(
                    "GET",
                    f"http://{vm.host}:{vm.port}/.rattanlug/lookup?client={client_host}",
                )
            if response.status != 200:
                raise ValueError(response.status)
            vms = self._read_vms(response.content)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
            LookupError,
            TypeError,
            ValueError,
        ):
            self.failed_lookups += 1
            return None
        return sent + _read_lifetime(response.headers), vms

    def _read_vms(self, body: bytes) -> list[settings.CallerVm]:
        vms = []
        for each in json.loads(body)["vms"]:
            host, port = each["host"], int(each["port"])
            host = self._settings.translate.get(host, host)
            name = str(each["vm"])
            vms.append(settings.CallerVm(name, each.get("data_centre", ""), host, port))
        if not vms:
            raise ValueError("look-up response lists no VMs")
        return vms


def _read_lifetime(headers: list[tuple[bytes, bytes]]) -> float:
    for name, value in headers:
        match = _MAX_AGE.search(value.decode("latin-1"))
        if name.lower() == b"cache-control" and match:
            return float(match[1])
    return _DEFAULT_LIFETIME_S
