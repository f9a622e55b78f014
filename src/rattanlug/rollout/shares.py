"""The steering VM's response to a report."""

from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.rollout import move_state


class Shares(NamedTuple):
    """Share of requests that a VM may send to the new version.

    Valid for 3 s from just before the VM sent its report.

    Attributes
    ----------
    state : move_state.MoveState
    share : float
        Share of each route's requests while ramping, 0 to 1.
    allowances : Mapping
        Further requests that may be sent in the canary stage, by route.
    """

    state: move_state.MoveState
    share: float = 0.0
    allowances: Mapping[str, int] = {}
