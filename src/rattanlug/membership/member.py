"""One VM of the fleet."""

import math
from typing import NamedTuple

from rattanlug.membership import member_state


class Member(NamedTuple):
    """What this VM knows of one VM.

    Attributes
    ----------
    vm : str
    data_centre : str
    address : tuple of (str, int)
        Where callers connect.
    peer_address : tuple of (str, int)
        Where other daemons connect.
    incarnation : int
        Rises with each start of the daemon.
    state : member_state.MemberState
    config_version : int
        Newest version that the member is known to have applied.
    last_heard : float
        Time of the newest sign of life that any VM reported, on the own clock.
    protocol_version : int
    last_contact : float
        Time of the newest sign of life that this VM received itself.
    suspect_since : float or None
        Time of the first failed contact after ``last_heard``.
    dead : bool
        Suspect for too long.
    """

    vm: str
    data_centre: str
    address: tuple[str, int]
    peer_address: tuple[str, int]
    incarnation: int
    state: member_state.MemberState = member_state.MemberState.STARTING
    config_version: int = 0
    last_heard: float = -math.inf
    protocol_version: int = 0
    last_contact: float = -math.inf
    suspect_since: float | None = None
    dead: bool = False
