"""Sizes and latencies of the modelled deployments."""

from typing import NamedTuple


class Pool(NamedTuple):
    """Upstreams of one service.

    Attributes
    ----------
    service : str
    upstreams : int
    slots : int
        Per upstream.
    service_time : float
        Median for an idle upstream with warm caches, seconds.
    deadline : float
        Seconds.
    at_most_once : bool
        Whether requests must not be retried.
    response_bytes : int
    """

    service: str
    upstreams: int
    slots: int
    service_time: float
    deadline: float
    at_most_once: bool
    response_bytes: int


class Deployment(NamedTuple):
    """Deployment of the design page.

    Attributes
    ----------
    name : str
    regions : tuple of str
    vms : tuple of int
        Number of VMs by data centre; each region has two data centres.
    pools : tuple of Pool
    data_centre_round_trip, region_round_trip, client_round_trip : float
        Round trips between data centres of a region, between regions, and to the
        clients, seconds.
    first_columns : tuple of str
        Columns of the report that matter most to the deployment.
    """

    name: str
    regions: tuple[str, ...]
    vms: tuple[int, ...]
    pools: tuple[Pool, ...]
    data_centre_round_trip: float
    region_round_trip: float
    client_round_trip: float
    first_columns: tuple[str, ...]


# Service times, deadlines and response sizes are assumptions; the design page has none.
TXIKI = Deployment(
    "txiki",
    ("bizkaia", "gipuzkoa", "navarra"),
    (2, 2, 2, 2, 2, 2),
    (
        Pool("listings", 24, 5, 0.15, 2.0, False, 60_000),
        Pool("ledger", 12, 3, 0.2, 4.0, True, 4_000),
    ),
    0.001,
    0.035,
    0.003,
    ("worst_organisation", "refused", "p99", "p999", "p50"),
)
NOOL = Deployment(
    "nool",
    ("colombo", "kandy", "galle"),
    (2, 2, 2, 2, 1, 1),
    (
        Pool("portal", 34, 9, 0.25, 3.0, False, 150_000),
        Pool("release", 12, 3, 0.3, 6.0, True, 900_000),
    ),
    0.0015,
    0.055,
    0.001,
    ("p99", "p999", "p50", "refused", "worst_organisation"),
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (TXIKI, NOOL)}
# Shares of the total rate; a few of the 8 organisations are large.
ORGANISATION_SHARES = (0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03)
