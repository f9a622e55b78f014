"""The stored row of the steering lease."""

from typing import NamedTuple


class LeaseRow(NamedTuple):
    """Row ``leases/moves``, whose holder is the VM that steers all moves.

    Attributes
    ----------
    vm : str
        Holder, empty if the lease was released.
    incarnation : int
        Incarnation of the holder; 0 if the lease was released.
    term : int
        Increases by 1 with each new holder.
    renewals : int
        Increases by 1 with each write of one holder.
    """

    vm: str
    incarnation: int
    term: int
    renewals: int
