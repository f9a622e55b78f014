"""A logged decision or state change."""

from typing import Any, NamedTuple


class LoggedEvent(NamedTuple):
    """A decision or state change from a daemon's log.

    Attributes
    ----------
    time : str
        Wall-clock time of the VM, as logged.
    vm : str
    event : str
    fields : dict of str to object
        Inputs of the decision, with their age or version, and its outcome; or the
        fields of the state change.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, Any]
