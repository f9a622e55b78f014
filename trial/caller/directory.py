"""Which VMs to use, as the system's look-up answers."""

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
    """Caches look-up answers for each data centre of callers.

    Parameters
    ----------
    wanted : settings.CallerSettings
    pools : dict
        Connection pool by data centre.
    source : random.Random
        Chooses the VM to ask.
    """

    def __init__(
        self,
        wanted: settings.CallerSettings,
        pools: dict[str, httpcore.AsyncConnectionPool],
        source: random.Random,
    ):
        self._settings = wanted
        self._pools = pools
        self._random = source
        self._answers: dict[str, tuple[float, list[settings.CallerVm]]] = {}
        self._locks = {name: trio.Lock() for name in wanted.sources}
        self.lookups = 0
        self.failed_lookups = 0

    async def find_vms(self, data_centre: str) -> list[settings.CallerVm]:
        """Return VMs in the order of preference; the last known ones on failure."""
        async with self._locks[data_centre]:
            expires, vms = self._answers.get(data_centre, (0.0, []))
            if clock.now() < expires:
                return vms
            # A caller that has an answer asks the VMs in it first.
            known = [each for each in self._settings.vms if each not in vms]
            self._random.shuffle(known)
            known.sort(key=lambda each: each.data_centre != data_centre)
            for vm in [*vms, *known][:4]:
                answer = await self._ask(data_centre, vm)
                if answer is not None:
                    self._answers[data_centre] = answer
                    return answer[1]
            return vms or known

    async def _ask(
        self, data_centre: str, vm: settings.CallerVm
    ) -> tuple[float, list[settings.CallerVm]] | None:
        self.lookups += 1
        client = self._settings.sources[data_centre]
        asked = clock.now()
        try:
            with trio.fail_after(LOOKUP_TIMEOUT_S):
                response = await self._pools[data_centre].request(
                    "GET",
                    f"http://{vm.host}:{vm.port}/.rattanlug/lookup?client={client}",
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
        return asked + _lifetime(response.headers), vms

    def _read_vms(self, body: bytes) -> list[settings.CallerVm]:
        vms = []
        for each in json.loads(body)["vms"]:
            host, port = each["host"], int(each["port"])
            host = self._settings.translate.get(host, host)
            name = str(each["vm"])
            vms.append(settings.CallerVm(name, each.get("data_centre", ""), host, port))
        if not vms:
            raise ValueError("a look-up answer without VMs")
        return vms


def _lifetime(headers: list[tuple[bytes, bytes]]) -> float:
    for name, value in headers:
        found = _MAX_AGE.search(value.decode("latin-1"))
        if name.lower() == b"cache-control" and found:
            return float(found[1])
    return _DEFAULT_LIFETIME_S
