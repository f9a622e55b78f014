"""Registration of an upstream."""

from typing import NamedTuple


class UpstreamRecord(NamedTuple):
    """Properties of an upstream, as it reports them.

    Attributes
    ----------
    id : str
    incarnation : int
        Changes when the upstream restarts under the same id.
    sequence : int
        Increases with each report of one incarnation.
    service : str
    version : str
        Version of the service.
    host : str
    port : int
    data_centre : str
    slots : int
        Requests that run at the same time.
    leaving : bool
        Whether the upstream accepts no new requests, since it is to stop.
    cold_seconds : float
        Remaining time of the upstream's warm-up, counted from its report.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    version: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    cold_seconds: float
