"""A VM as another one of its data centre reports it."""

from typing import NamedTuple


class Member(NamedTuple):
    """One VM in the report of its data centre.

    Attributes
    ----------
    vm : str
    incarnation : int
        Rises with each start of the daemon.
    sequence : int
        Rises with each report of one incarnation.
    host : str
    port : int
        Where callers connect.
    leaving : bool
    overloaded : bool
        Whether the VM was behind with its work in the last seconds.
    age : float
        Time since the reporting VM heard it, seconds.
    """

    vm: str
    incarnation: int
    sequence: int
    host: str
    port: int
    leaving: bool
    overloaded: bool
    age: float
