"""State of a rollout that the VMs share through the store."""

from typing import NamedTuple

from rattanlug.canary import rollout_state

# Era of an order in a record that a VM of an earlier release wrote.
UNKNOWN_ERA = -1


class RolloutRecord(NamedTuple):
    """A rollout of one service.

    Attributes
    ----------
    service : str
    order_version : int
        Version of the store row that holds the operator's order.
    target : str
        Version that is to receive all traffic.
    base : tuple of str
        Versions that served requests when the rollout began.
    began : float
        Start of the rollout by the store's clock, seconds.
    duration : float
        Time within which the rollout is to be complete, seconds.
    state : rollout_state.RolloutState
    reason : str
        Reason for a rollback; empty if there was none.
    row_version : int
        Version of the store row that holds this record.
    order_era : int
        Era of the store that the order's version belongs to.
    row_era : int
        Era of the store that the record's version belongs to.
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
    order_era: int = UNKNOWN_ERA
    row_era: int = 0
