"""One VM of the fleet."""

import math
from typing import NamedTuple

from rattanlug.membership import member_state


class Member(NamedTuple):
    """One member as this VM knows it.

    Attributes
    ----------
    vm : str
    data_centre : str
    address : tuple of (str, int)
        Host and port for callers.
    peer_address : tuple of (str, int)
        Host and port for other daemons.
    incarnation : int
        Increases with each start of the daemon.
    state : member_state.MemberState
    config_version : int
        Newest configuration version that the member is known to have applied.
    last_heard : float
        Time of the latest contact that any VM reported, on this VM's clock.
    protocol_version : int
        Highest version of the protocol between daemons that the member supports.
    last_contact : float
        Time of this VM's latest direct contact, on its own clock.
    suspect_since : float or None
        Time of the first failed contact after ``last_heard``, on this VM's clock; None
        if the member isn't suspect.
    dead : bool
        Whether the member has been suspect for too long.
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
