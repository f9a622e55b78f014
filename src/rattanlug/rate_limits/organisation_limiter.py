"""Share of one VM of an organisation's rate."""

import math

from rattanlug.desired import bounds, organisation
from rattanlug.rate_limits import demand_meter

# Part of the tolerance of the bound that is added to the burst; the rest covers shares
# that change while reports are on their way.
TOLERANCE_SHARE = 0.7
# Part of the burst and of the headroom that is divided evenly; the rest follows demand.
EVEN_PART = 0.5
# Rise of demand from one report to the next that counts at once, in square roots of
# the demand, since that is how much a steady demand varies by chance.
USUAL_RISE = 1.0
# A limiter starts with the tokens of this time, since it can't know what the other
# VMs, or its own earlier process, have admitted.
START_SECONDS = 0.5


class OrganisationLimiter:
    """Token bucket for this VM's share of the rate and of the burst.

    Each VM gets the demand that it sees and a part of the headroom. Without headroom,
    the rate is divided in proportion to demand. Either way the shares add up to the
    whole. Headroom and burst are divided half evenly, half by demand.

    Parameters
    ----------
    limits : organisation.Organisation
    all_bounds : bounds.Bounds
    now : float
        Seconds.
    """

    def __init__(
        self, limits: organisation.Organisation, all_bounds: bounds.Bounds, now: float
    ) -> None:
        self._bounds = all_bounds
        self._rate = limits.rate
        self._burst = limits.burst
        self._share = 0.0
        self._burst_share = 1.0
        self._demand = demand_meter.DemandMeter(now)
        self._reported = 0.0
        self._own = 0.0
        self._tokens = 0.0
        self._updated_at = now
        self._started = False

    @property
    def share(self) -> float:
        """Share of the rate that this VM may use."""
        return self._share

    def configure(self, limits: organisation.Organisation, now: float) -> None:
        """Take the rate and burst of a new version."""
        self._refill(now)
        self._rate, self._burst = limits.rate, limits.burst
        self._tokens = min(self._tokens, self._capacity)

    def set_share(self, demand_elsewhere: float, vms: int, now: float) -> None:
        """Divide the rate anew.

        Parameters
        ----------
        demand_elsewhere : float
            Requests a second at the other VMs.
        vms : int
            Number of VMs that may admit requests, this one included.
        now : float
            Seconds.
        """
        self._refill(now)
        own = self._own
        total = own + demand_elsewhere
        part = own / total if total > 0.0 else 1.0 / vms
        self._burst_share = EVEN_PART / vms + (1.0 - EVEN_PART) * part
        if total < self._rate:
            headroom = (self._rate - total) * self._burst_share
            self._share = (own + headroom) / self._rate
        else:
            self._share = part
        if not self._started:
            self._started = True
            self._tokens = START_SECONDS * self._rate * self._share
        self._tokens = min(self._tokens, self._capacity)

    def report(self, now: float) -> float:
        """Return the requests a second that arrive here, and divide by that from now.

        A rise counts here one report later than elsewhere: until the other VMs have
        heard of it, their shares stay as they were, and the sum would exceed the
        whole.
        """
        earlier, self._reported = self._reported, self._demand.rate(now)
        self._own = min(earlier + USUAL_RISE * math.sqrt(earlier + 1.0), self._reported)
        return self._reported

    def demand(self, now: float) -> float:
        """Return the requests a second that arrive here."""
        return self._demand.rate(now)

    def admit(self, now: float) -> bool:
        """Count a request; return whether it is within the share."""
        self._demand.add(now)
        if self._rate <= 0.0:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def would_reject(self, now: float) -> bool:
        """Tell whether a request would be refused now, without counting it."""
        if self._rate <= 0.0:
            return False
        self._refill(now)
        return self._tokens < 1.0

    def refund(self, now: float) -> None:
        """Return the token of a request that reached no upstream."""
        self._refill(now)
        self._tokens = min(self._tokens + 1.0, self._capacity)

    def wait_seconds(self) -> float:
        """Return after what time the next token is there, seconds."""
        refill = self._rate * self._share
        missing = max(0.0, 1.0 - self._tokens)
        return missing / refill if refill > 0.0 else 1.0

    @property
    def _capacity(self) -> float:
        window = self._rate * self._bounds.rate_window + self._burst
        tolerance = window * self._bounds.rate_overage + self._bounds.rate_slack
        total = self._burst + TOLERANCE_SHARE * tolerance
        return max(1.0, total * self._burst_share)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(
            self._tokens + elapsed * self._rate * self._share, self._capacity
        )
