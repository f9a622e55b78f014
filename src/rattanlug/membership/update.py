"""Membership update that VMs send to each other."""

import math
from typing import NamedTuple

from rattanlug.membership import member


class Update(NamedTuple):
    """A contact with one VM, or a suspicion that it is dead.

    Attributes
    ----------
    vm : str
    incarnation : int
    age : float
        Seconds since the contact or, if ``suspect``, since the failed contact.
    suspect : bool
    record : member.Member or None
        The sender's record of the VM; None if the receiver is expected to have it. The
        times in it are meaningless to the receiver.
    """

    vm: str
    incarnation: int
    age: float = math.inf
    suspect: bool = False
    record: member.Member | None = None
