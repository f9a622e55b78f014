"""What an upstream reports about itself."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """One report of an upstream.

    Attributes
    ----------
    in_flight : int
        Requests that the upstream works on, over all VMs.
    slots : int
    draining : bool
    version : str
    """

    in_flight: int
    slots: int
    draining: bool
    version: str
