"""Limits that the operators of a deployment set."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Limits of a deployment; times in seconds.

    Attributes
    ----------
    contact : float
        Time without a fault after which a VM counts as connected, and within which
        look-ups must stop naming a silent VM.
    drain : float
        Maximum time until a leaving upstream receives no more requests.
    stop : float
        Maximum time from SIGTERM to the end of the process.
    apply : float
        Maximum time until a new desired state is in force.
    key_withdrawal : float
        Maximum time for which a withdrawn key may be accepted.
    strict_withdrawal : bool
        Whether `key_withdrawal` also applies to VMs that are cut off.
    retry_ratio : float
        Retries per request to a service.
    retry_window : float
    retry_slack : float
        Retries in addition to the ratio, per window.
    rate_window : float
    rate_overage : float
        Fraction by which an organisation may exceed its rate in one window.
    rate_slack : float
        Requests in addition to the overage, per window.
    canary_share : float
        Share of a service's requests that a bad version may receive.
    canary_slack : float
        Requests in addition to the share.
    cold_factor : float
        Factor on the rate that a cold upstream tolerates.
    cold_slack : float
        Requests per second in addition to that rate.
    longest_lookup : float
        Maximum lifetime of a look-up response.
    region_shift : float
        Share of a region's requests that may change region within 2 s.
    """

    contact: float = 4.0
    drain: float = 2.5
    stop: float = 6.0
    apply: float = 2.5
    key_withdrawal: float = 5.0
    strict_withdrawal: bool = True
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    rate_window: float = 5.0
    rate_overage: float = 0.1
    rate_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    longest_lookup: float = 5.0
    region_shift: float = 0.15
