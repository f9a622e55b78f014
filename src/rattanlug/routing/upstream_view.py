"""View of one upstream that is passed to load-balancing policies."""

from typing import NamedTuple


class UpstreamView(NamedTuple):
    """An upstream with a free slot, as this VM sees it.

    Attributes
    ----------
    name : str
    free_slots : int
        Own slots that this VM may use now.
    slots : int
        Slots of the upstream across all VMs.
    in_flight : int
        Requests of this VM that the upstream is processing.
    latency : float or None
        Average latency of this VM's requests, seconds; None without recent responses.
    oldest_request_age : float
        Age of this VM's oldest request in flight, seconds; 0 without one.
    reported_load : float or None
        Reported requests in flight over slots; None without a usable report.
    weight : float
        Share of its normal load that the upstream should get, above 0 and up to 1.
        Below 1 during slow start, after an ejection and while requests fail.
    last_response_age : float
        Time since the last response, seconds.
    """

    name: str
    free_slots: int
    slots: int
    in_flight: int = 0
    latency: float | None = None
    oldest_request_age: float = 0.0
    reported_load: float | None = None
    weight: float = 1.0
    last_response_age: float = 0.0
