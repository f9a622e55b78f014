"""What an upstream says of itself."""

from typing import NamedTuple


class UpstreamRecord(NamedTuple):
    """One upstream as registered.

    Attributes
    ----------
    id : str
    incarnation : int
        Changes when the upstream starts again under the same id.
    sequence : int
        Rises with each report of one incarnation.
    service : str
    version : str
        Version of its software.
    host : str
    port : int
    data_centre : str
    slots : int
        Requests that run at the same time.
    leaving : bool
    cold_seconds : float
        How much longer it stays cold, counted from its report.
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
