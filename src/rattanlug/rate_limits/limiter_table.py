"""Limiters of all organisations."""

from collections.abc import Iterable, Mapping

from rattanlug.desired import bounds, organisation
from rattanlug.rate_limits import organisation_limiter

# Demand, in requests per second, below which it isn't reported to other VMs.
MIN_REPORTED_DEMAND = 0.05


class LimiterTable:
    """Holds one limiter for each organisation.

    Parameters
    ----------
    all_bounds : bounds.Bounds
        Limits of the deployment.
    """

    def __init__(self, all_bounds: bounds.Bounds) -> None:
        self._bounds = all_bounds
        self._limiters: dict[str, organisation_limiter.OrganisationLimiter] = {}

    def set_bounds(self, all_bounds: bounds.Bounds) -> None:
        """Replace the limits of the deployment."""
        self._bounds = all_bounds
        for each in self._limiters.values():
            each.set_bounds(all_bounds)

    def configure(
        self, organisations: Iterable[organisation.Organisation], now: float
    ) -> None:
        """Apply the organisations of a new version of the desired state."""
        limiters = {}
        for each in organisations:
            limiter = self._limiters.get(each.name)
            if limiter is None:
                limiter = organisation_limiter.OrganisationLimiter(
                    each, self._bounds, now
                )
            else:
                limiter.configure(each, now)
            limiters[each.name] = limiter
        self._limiters = limiters

    def limiter(self, name: str) -> organisation_limiter.OrganisationLimiter:
        """Return the limiter of an organisation of the desired state in force."""
        return self._limiters[name]

    def refund(self, name: str, now: float) -> None:
        """Put back the token of a request that was sent to no upstream.

        An organisation that was removed since the token was taken has no tokens.

        Parameters
        ----------
        name : str
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        if name in self._limiters:
            self._limiters[name].refund(now)

    def report(self, now: float) -> dict[str, float]:
        """Return the demand at this VM by organisation.

        The VM sends it to the other VMs in its digest; see `fleet.digest`.
        """
        rates = {name: each.report(now) for name, each in self._limiters.items()}
        return {
            name: rate for name, rate in rates.items() if rate >= MIN_REPORTED_DEMAND
        }

    def update_shares(
        self, elsewhere: list[Mapping[str, float]], vms: int, now: float
    ) -> None:
        """Update this VM's share of each organisation's rate.

        Parameters
        ----------
        elsewhere : list of Mapping of str to float
            Demands by organisation from the digests of other VMs and data centres.
        vms : int
            Number of VMs, including this one.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        for name, each in self._limiters.items():
            demand = sum(report.get(name, 0.0) for report in elsewhere)
            each.set_share(demand, vms, now)
