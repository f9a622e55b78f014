"""Bytes that this VM may send and receive across regions."""

from collections.abc import Mapping

from rattanlug.model import configuration

# The rest carries gossip, platform calls and configuration.
REQUEST_SHARE = 0.9
BURST_SECONDS = 0.25
SIZE_GAIN = 0.1
FIRST_ANSWER_BYTES = 64 * 1024.0


class LinkBudget:
    """Token buckets in bytes, one per direction between the own and another region.

    The size of an answer is known only afterwards: the usual size is charged when the
    request starts and the difference when it ends, so a bucket may go into debt. No
    request across regions starts while either direction is in debt.

    Parameters
    ----------
    rates : Mapping
        This VM's bytes per second in each direction, by the name of the other region.
    now : float
        Seconds.
    """

    def __init__(self, rates: Mapping[str, float], now: float):
        self._rates = dict(rates)
        self._answer_bytes = FIRST_ANSWER_BYTES
        # Empty, because an earlier holder of the same seats may have used the burst.
        self._levels = {
            (region, sent): 0.0 for region in rates for sent in (True, False)
        }
        self._filled_at = now

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Replace the rates; debts are kept and a lowered burst applies at once."""
        self._fill(now)
        self._rates = dict(rates)
        self._levels = {
            (region, sent): min(
                self._levels.get((region, sent), 0.0), rate * BURST_SECONDS
            )
            for region, rate in rates.items()
            for sent in (True, False)
        }

    def allows(self, region: str, now: float) -> bool:
        """Tell whether a request may go to another region."""
        self._fill(now)
        return all(self._levels.get((region, sent), 0.0) > 0 for sent in (True, False))

    def level(self, region: str) -> float:
        """Return the lower level of both directions, bytes; below 0 in debt."""
        return min(self._levels.get((region, sent), 0.0) for sent in (True, False))

    def start(self, region: str, request_bytes: int, now: float) -> float:
        """Charge a request and its expected answer.

        Returns
        -------
        float
            Bytes charged for the answer, to be passed to ``finish``.
        """
        self._fill(now)
        self._levels[region, True] -= request_bytes
        self._levels[region, False] -= self._answer_bytes
        return self._answer_bytes

    def finish(
        self, region: str, charged: float, answer_bytes: int, now: float
    ) -> None:
        """Replace the expected size of an answer by the real one."""
        self._fill(now)
        self._answer_bytes += SIZE_GAIN * (answer_bytes - self._answer_bytes)
        if region in self._rates:
            level = self._levels[region, False] + charged - answer_bytes
            burst = self._rates[region] * BURST_SECONDS
            self._levels[region, False] = min(level, burst)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        for key, level in self._levels.items():
            rate = self._rates[key[0]]
            self._levels[key] = min(level + rate * elapsed, rate * BURST_SECONDS)


def link_rates(
    current: configuration.Configuration, region: str, seats: int
) -> dict[str, float]:
    """Return the rates of a VM that holds some seats of a region.

    One direction of a link carries the requests of one region and the answers to the
    other region's requests, so it is divided among the seats of both regions.

    Parameters
    ----------
    current : configuration.Configuration
    region : str
        Region of the VM.
    seats : int
        Seats that the VM holds.

    Returns
    -------
    dict
        Bytes per second in each direction, by the name of the other region.
    """
    seats_of: dict[str, int] = {}
    for centre in current.data_centres.values():
        seats_of[centre.region] = seats_of.get(centre.region, 0) + centre.vms
    rates = {}
    for link in current.links:
        pair = {link.first_region, link.second_region}
        if region in pair and len(pair) == 2:
            (other,) = pair - {region}
            total = seats_of.get(region, 0) + seats_of.get(other, 0)
            if total:
                bytes_per_second = link.bits_per_second / 8 * REQUEST_SHARE
                rates[other] = bytes_per_second * seats / total
    return rates
