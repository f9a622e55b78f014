"""A data centre of a region."""

from typing import NamedTuple


class DataCentre(NamedTuple):
    """Region and number of VMs of one data centre.

    Attributes
    ----------
    name : str
    region : str
    vms : int
        Number of seats, one per VM planned there. A seat is a share of the fleet-wide
        limits that a VM leases.
    """

    name: str
    region: str
    vms: int
