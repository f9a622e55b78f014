"""A VM in the digest of its data centre."""

from typing import NamedTuple


class Member(NamedTuple):
    """One VM in the digest of its data centre.

    Attributes
    ----------
    vm : str
    incarnation : int
        Increases with each start of the daemon.
    sequence : int
        Increases with each digest of one incarnation.
    host, port : str, int
        Address for callers.
    leaving : bool
    overloaded : bool
        Whether the VM's event loop was overloaded in the last seconds.
    age : float
        Time since the reporter received the VM's latest digest, seconds.
    """

    vm: str
    incarnation: int
    sequence: int
    host: str
    port: int
    leaving: bool
    overloaded: bool
    age: float
