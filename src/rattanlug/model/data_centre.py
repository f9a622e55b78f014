"""A data centre of a region."""

from typing import NamedTuple


class DataCentre(NamedTuple):
    """One data centre.

    Attributes
    ----------
    name : str
    region : str
    vms : int
        Number of seats, one per entry VM.
    """

    name: str
    region: str
    vms: int
