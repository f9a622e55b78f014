"""Limiters of all organisations."""

from collections.abc import Iterable, Mapping

from rattanlug.desired import bounds, organisation
from rattanlug.rate_limits import organisation_limiter

# Demands below this are not reported to other VMs, requests a second.
LEAST_DEMAND = 0.05


class LimiterTable:
    """One limiter for each organisation.

    Parameters
    ----------
    all_bounds : bounds.Bounds
    """

    def __init__(self, all_bounds: bounds.Bounds) -> None:
        self._bounds = all_bounds
        self._limiters: dict[str, organisation_limiter.OrganisationLimiter] = {}

    def configure(
        self, organisations: Iterable[organisation.Organisation], now: float
    ) -> None:
        """Take the organisations of a new version."""
        limiters = {}
        for each in organisations:
            known = self._limiters.get(each.name)
            if known is None:
                known = organisation_limiter.OrganisationLimiter(
                    each, self._bounds, now
                )
            else:
                known.configure(each, now)
            limiters[each.name] = known
        self._limiters = limiters

    def limiter(self, name: str) -> organisation_limiter.OrganisationLimiter:
        """Return the limiter of an organisation in force."""
        return self._limiters[name]

    def report(self, now: float) -> dict[str, float]:
        """Return the demand at this VM, for its report to the others."""
        found = {name: each.report(now) for name, each in self._limiters.items()}
        return {name: rate for name, rate in found.items() if rate >= LEAST_DEMAND}

    def update_shares(
        self, elsewhere: list[Mapping[str, float]], vms: int, now: float
    ) -> None:
        """Set all shares.

        Parameters
        ----------
        elsewhere : list of Mapping of str to float
            Demands that the other VMs reported, or their data centres for them.
        vms : int
            Number of VMs, this one included.
        now : float
            Seconds.
        """
        for name, each in self._limiters.items():
            demand = sum(report.get(name, 0.0) for report in elsewhere)
            each.set_share(demand, vms, now)
