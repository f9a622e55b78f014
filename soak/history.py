"""Records what callers, operators and fault injection observed in one run."""

import collections
from typing import NamedTuple


class Exchange(NamedTuple):
    """One request of a caller and its response.

    Attributes
    ----------
    request_id, vm, path, key : str
    sent_at, ended_at : float
        Seconds.
    status : int or None
        None if the connection was closed or the response timed out.
    closed_by_vm : bool
        Whether the connection closed without a response before the time-out.
    stamp : str
    body : bytes
    """

    request_id: str
    vm: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int | None
    closed_by_vm: bool
    stamp: str
    body: bytes

    @property
    def at_most_once(self) -> bool:
        """Whether the request must be executed at most once."""
        return self.path.startswith("/claim/")


class Event(NamedTuple):
    """A change made by an operator or by fault injection.

    Attributes
    ----------
    at : float
        Time of the confirmation, seconds.
    kind, subject : str
    """

    at: float
    kind: str
    subject: str


class History:
    """Collects the observations of one run."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []
        self.events: list[Event] = []
        # For each request whose caller disconnected without waiting for the response:
        # the time of the disconnect and the VM.
        self.disconnects: dict[str, tuple[float, str]] = {}
        # Intervals in which a VM, or "store", was disturbed. The end is infinite until
        # the disturbance is over.
        self.disturbances: dict[str, list[list[float]]] = collections.defaultdict(list)

    def record_event(self, at: float, kind: str, subject: str = "") -> None:
        """Append an event."""
        self.events.append(Event(at, kind, subject))

    def begin_disturbance(self, subject: str, now: float) -> list[float]:
        """Record the start of a disturbance; the caller sets the interval's end."""
        interval = [now, float("inf")]
        self.disturbances[subject].append(interval)
        return interval

    def undisturbed(self, vm: str, since: float, until: float) -> bool:
        """Return whether neither the VM nor the store was disturbed in an interval."""
        return not any(
            begin <= until and end >= since
            for subject in (vm, "store")
            for begin, end in self.disturbances[subject]
        )
