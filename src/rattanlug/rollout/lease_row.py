"""The stored row of the steering lease."""

from typing import NamedTuple


class LeaseRow(NamedTuple):
    """Row ``leases/moves``.

    Attributes
    ----------
    vm : str
    incarnation : int
    term : int
        Increases by 1 with each new holder.
    renewals : int
    """

    vm: str
    incarnation: int
    term: int
    renewals: int
