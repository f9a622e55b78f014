"""Load reports of upstreams."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load and state that an upstream reports about itself.

    Attributes
    ----------
    in_flight : int
        Requests that the upstream is processing, from all VMs.
    slots : int
        Requests that the upstream can process at a time.
    draining : bool
        Whether the upstream wants no new requests.
    version : str
        Version of the service that it runs.
    """

    in_flight: int
    slots: int
    draining: bool
    version: str
