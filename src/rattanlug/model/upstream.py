"""An upstream: one back end of a service."""

from typing import NamedTuple


class Upstream(NamedTuple):
    """Address and capacity of one upstream.

    Attributes
    ----------
    name : str
    service : str
    version : str
    data_centre : str
    host : str
        IP address.
    port : int
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of connections that the upstream accepts.
    """

    name: str
    service: str
    version: str
    data_centre: str
    host: str
    port: int
    slots: int
    connections: int
