"""News about one VM that travels between VMs."""

import math
from typing import NamedTuple

from rattanlug.membership import member


class Update(NamedTuple):
    """One sign of life, or one suspicion.

    Attributes
    ----------
    vm : str
    incarnation : int
    age : float
        Seconds since the sign of life; if ``suspect``, since the failed contact.
    suspect : bool
    record : member.Member or None
        Everything that the sender knows of the VM; None if the receiver is expected
        to know it. Its times are meaningless.
    """

    vm: str
    incarnation: int
    age: float = math.inf
    suspect: bool = False
    record: member.Member | None = None
