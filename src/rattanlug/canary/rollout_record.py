"""What VMs agree on about a move, kept in the store."""

from typing import NamedTuple

from rattanlug.canary import rollout_state


class RolloutRecord(NamedTuple):
    """A move of one service.

    Attributes
    ----------
    service : str
    order_version : int
        Version of the row with the operator's order.
    target : str
        Version that is to get all traffic.
    base : tuple of str
        Versions that served when the move began.
    began : float
        The store's clock when the move began, seconds.
    duration : float
        Seconds.
    state : rollout_state.RolloutState
    reason : str
        Why the move was taken back.
    row_version : int
        Version of the row that holds this record.
    """

    service: str
    order_version: int
    target: str
    base: tuple[str, ...]
    began: float
    duration: float
    state: rollout_state.RolloutState
    reason: str
    row_version: int
