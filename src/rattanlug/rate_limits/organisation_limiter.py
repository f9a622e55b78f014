"""Rate limiter of an organisation on one VM."""

import math

from rattanlug.desired import bounds, organisation
from rattanlug.rate_limits import demand_meter

# Part of the allowed overage that is added to the burst; the rest covers shares that
# change while the digests, by which VMs report their demand, are in transit.
OVERAGE_FRACTION = 0.7
# Part of the burst and of the headroom that is divided evenly; the rest is divided in
# proportion to demand.
EVEN_FRACTION = 0.5
# Rise of the demand from one report to the next that counts immediately, in square
# roots of the demand: the random variation of a constant demand is of this size.
MAX_RISE_STANDARD_DEVIATIONS = 1.0
# A limiter starts with the tokens of this time, since it doesn't know what the other
# VMs, or the previous process of its own VM, have admitted.
INITIAL_TOKENS_SECONDS = 0.5


class OrganisationLimiter:
    """Token bucket for this VM's share of the rate and of the burst.

    The share covers the demand at the VM plus a part of the headroom, by which the rate
    exceeds the demand at all VMs. If that demand exceeds the rate, the rate is
    divided in proportion to demand. In both cases the shares of all VMs add up to the
    rate. Headroom and burst are divided half evenly, half in proportion to demand.

    Parameters
    ----------
    limits : organisation.Organisation
        Rate and burst of the organisation over all VMs.
    all_bounds : bounds.Bounds
        Limits of the deployment.
    now : float
        Time on the VM's monotonic clock, seconds.
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
        self._reported_demand = 0.0
        # Latest reported demand, with a limit on its rise.
        self._own_demand = 0.0
        self._tokens = 0.0
        self._updated_at = now
        self._started = False

    @property
    def share(self) -> float:
        """Share of the rate that this VM may use, 0 to 1."""
        return self._share

    def set_bounds(self, all_bounds: bounds.Bounds) -> None:
        """Replace the limits of the deployment; the next refill applies them."""
        self._bounds = all_bounds

    def configure(self, limits: organisation.Organisation, now: float) -> None:
        """Apply the rate and burst of a new version of the desired state."""
        self._refill(now)
        self._rate, self._burst = limits.rate, limits.burst
        self._tokens = min(self._tokens, self._capacity)

    def set_share(self, demand_elsewhere: float, vms: int, now: float) -> None:
        """Update this VM's shares of the rate and of the burst.

        Parameters
        ----------
        demand_elsewhere : float
            Requests per second at the other VMs.
        vms : int
            Number of VMs that may admit requests, including this one.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        self._refill(now)
        own = self._own_demand
        total = own + demand_elsewhere
        part = own / total if total > 0.0 else 1.0 / vms
        self._burst_share = EVEN_FRACTION / vms + (1.0 - EVEN_FRACTION) * part
        if total < self._rate:
            headroom = (self._rate - total) * self._burst_share
            self._share = (own + headroom) / self._rate
        else:
            self._share = part
        if not self._started:
            self._started = True
            self._tokens = INITIAL_TOKENS_SECONDS * self._rate * self._share
        self._tokens = min(self._tokens, self._capacity)

    def report(self, now: float) -> float:
        """Return the demand at this VM and use it for the next shares.

        A larger rise counts at this VM one report later than at the others. Until they
        have received the report, their shares don't shrink, and the sum of the shares
        would exceed the rate.
        """
        previous, self._reported_demand = self._reported_demand, self._demand.rate(now)
        self._own_demand = min(
            previous + MAX_RISE_STANDARD_DEVIATIONS * math.sqrt(previous + 1.0),
            self._reported_demand,
        )
        return self._reported_demand

    def demand(self, now: float) -> float:
        """Return the requests per second that arrive at this VM."""
        return self._demand.rate(now)

    def admit(self, now: float) -> bool:
        """Count a request and take a token; return False if none is left."""
        self._demand.add(now)
        if self._rate <= 0.0:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def would_reject(self, now: float) -> bool:
        """Tell whether a request would be rejected now, without counting it."""
        if self._rate <= 0.0:
            return False
        self._refill(now)
        return self._tokens < 1.0

    def refund(self, now: float) -> None:
        """Put back the token of a request that was sent to no upstream."""
        self._refill(now)
        self._tokens = min(self._tokens + 1.0, self._capacity)

    def wait_seconds(self) -> float:
        """Return the time until the next token is available, seconds."""
        refill_rate = self._rate * self._share
        missing = max(0.0, 1.0 - self._tokens)
        return missing / refill_rate if refill_rate > 0.0 else 1.0

    @property
    def _capacity(self) -> float:
        """Maximum number of tokens."""
        window = self._rate * self._bounds.rate_window + self._burst
        overage = window * self._bounds.rate_overage + self._bounds.rate_slack
        total = self._burst + OVERAGE_FRACTION * overage
        return max(1.0, total * self._burst_share)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(
            self._tokens + elapsed * self._rate * self._share, self._capacity
        )
