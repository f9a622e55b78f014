"""Size of a deployment."""

from typing import NamedTuple


class Pool(NamedTuple):
    """Upstreams of one service.

    Attributes
    ----------
    service : str
    upstreams : int
    slots : int
        Per upstream.
    work : float
        Median service time of an idle, warm upstream, seconds.
    deadline : float
        Seconds.
    once : bool
        True when requests must not be repeated.
    answer_bytes : int
    """

    service: str
    upstreams: int
    slots: int
    work: float
    deadline: float
    once: bool
    answer_bytes: int


class Deployment(NamedTuple):
    """One deployment of the design page; latencies are round trips in seconds."""

    name: str
    regions: tuple[str, ...]
    vms: tuple[int, ...]
    pools: tuple[Pool, ...]
    between_data_centres: float
    between_regions: float
    to_clients: float
    order: tuple[str, ...]


# Service times, deadlines and answer sizes are assumptions; the design page has none.
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
DEPLOYMENTS = {item.name: item for item in (TXIKI, NOOL)}
# Shares of the total rate; a few of the 8 organisations are large.
ORGANISATION_SHARES = (0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03)
