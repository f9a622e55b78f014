"""Limits on the bytes that this VM sends and receives across regions."""

from collections.abc import Mapping

from rattanlug.model import configuration

# The rest of a link is reserved for gossip, platform calls and configuration.
REQUEST_SHARE = 0.9
# Capacity of a token bucket, as the time in which its rate fills it.
BURST_SECONDS = 0.25
SIZE_SMOOTHING_FACTOR = 0.1
INITIAL_RESPONSE_BYTES = 64 * 1024.0


class LinkBudget:
    """Token buckets in bytes, one per direction between this VM's region and another.

    The size of a response isn't known in advance: the average size is charged when the
    request starts and the difference when it ends, so a bucket may go into debt. No
    request to a region starts while either direction is in debt.

    Parameters
    ----------
    rates : Mapping
        This VM's bytes per second in each direction, by the name of the other region.
    now : float
        Seconds.
    """

    def __init__(self, rates: Mapping[str, float], now: float):
        self._rates = dict(rates)
        self._mean_response_bytes = INITIAL_RESPONSE_BYTES
        # Bytes by region and direction, True for bytes sent to the region. Starts
        # empty, since a previous holder of the same seats may have used the burst.
        self._levels = {
            (region, sent): 0.0 for region in rates for sent in (True, False)
        }
        self._refilled_at = now

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Replace the rates; debts are kept and a smaller burst applies at once."""
        self._refill(now)
        self._rates = dict(rates)
        self._levels = {
            (region, sent): min(
                self._levels.get((region, sent), 0.0), rate * BURST_SECONDS
            )
            for region, rate in rates.items()
            for sent in (True, False)
        }

    def allows(self, region: str, now: float) -> bool:
        """Return whether a request may be sent to another region."""
        self._refill(now)
        return all(self._levels.get((region, sent), 0.0) > 0 for sent in (True, False))

    def level(self, region: str) -> float:
        """Return the lower level of the two directions, bytes; negative in debt."""
        return min(self._levels.get((region, sent), 0.0) for sent in (True, False))

    def start(self, region: str, request_bytes: int, now: float) -> float:
        """Charge a request and its expected response.

        Returns
        -------
        float
            Bytes charged for the response, to be passed to ``finish``.
        """
        self._refill(now)
        self._levels[region, True] -= request_bytes
        self._levels[region, False] -= self._mean_response_bytes
        return self._mean_response_bytes

    def finish(
        self, region: str, charged_bytes: float, response_bytes: int, now: float
    ) -> None:
        """Correct the charge for a response to its actual size."""
        self._refill(now)
        self._mean_response_bytes += SIZE_SMOOTHING_FACTOR * (
            response_bytes - self._mean_response_bytes
        )
        if region in self._rates:
            level = self._levels[region, False] + charged_bytes - response_bytes
            burst = self._rates[region] * BURST_SECONDS
            self._levels[region, False] = min(level, burst)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        for key, level in self._levels.items():
            rate = self._rates[key[0]]
            self._levels[key] = min(level + rate * elapsed, rate * BURST_SECONDS)


def link_rates(
    current: configuration.Configuration, region: str, seats: int
) -> dict[str, float]:
    """Return the rates of a VM that holds a number of seats in a region.

    One direction of a link carries the requests of one region and the responses to the
    other region's requests, so its rate is divided among the seats of both regions.

    Parameters
    ----------
    current : configuration.Configuration
    region : str
        Region of the VM.
    seats : int
        Number of seats, shares of the fleet-wide limits, that the VM holds.

    Returns
    -------
    dict
        Bytes per second in each direction, by the name of the other region.
    """
    seats_by_region: dict[str, int] = {}
    for centre in current.data_centres.values():
        seats_by_region[centre.region] = (
            seats_by_region.get(centre.region, 0) + centre.vms
        )
    rates = {}
    for link in current.links:
        pair = {link.first_region, link.second_region}
        if region in pair and len(pair) == 2:
            (other,) = pair - {region}
            total = seats_by_region.get(region, 0) + seats_by_region.get(other, 0)
            if total:
                bytes_per_second = link.bits_per_second / 8 * REQUEST_SHARE
                rates[other] = bytes_per_second * seats / total
    return rates
