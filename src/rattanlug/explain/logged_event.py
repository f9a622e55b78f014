"""One decision as it was logged."""

from typing import Any, NamedTuple


class LoggedDecision(NamedTuple):
    """A line of a daemon's log.

    Attributes
    ----------
    time : str
        Time of day on the VM, as written.
    vm : str
    event : str
    fields : dict of str to object
        Inputs that decided, with their age or version, and the outcome.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, Any]
