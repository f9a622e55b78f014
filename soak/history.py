"""Records what callers, operators and fault injection observed in one run."""

import collections
from typing import NamedTuple

from soak import processor_reading, site_upstream, sites

# Prefixes of the routes whose requests must be executed at most once.
AT_MOST_ONCE = ("/claim/", "/settle/")
# The process of the run itself, which plays the store, and by default all else.
RUN = ""


class Exchange(NamedTuple):
    """One request of a caller and its response.

    Attributes
    ----------
    request_id, vm, path, key : str
    sent_at, ended_at : float
        On Trio's clock, seconds.
    status : int or None
        None if the connection was closed or the response timed out.
    closed_by_vm : bool
        Whether the connection closed without a response before the time-out.
    stamp : str
    body : bytes
    reset : bool
        Whether the connection was reset and not closed.
    data_centre : str
        Of the caller.
    stalled : float
        Seconds of that time in which the caller's process got no processor.
    limit : float
        Seconds until the caller's deadline; infinite if it isn't known.
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
    reset: bool = False
    data_centre: str = ""
    stalled: float = 0.0
    limit: float = float("inf")

    @property
    def at_most_once(self) -> bool:
        """Whether the request must be executed at most once."""
        return self.path.startswith(AT_MOST_ONCE)


class Event(NamedTuple):
    """A change made by an operator or by fault injection.

    Attributes
    ----------
    at : float
        Time of the confirmation on Trio's clock, seconds.
    kind : str
    subject : str
        What was changed, followed by further values of the event after spaces.
    """

    at: float
    kind: str
    subject: str


class State(NamedTuple):
    """A version of the desired state.

    Attributes
    ----------
    version : int
    at : float
        Time of its sending and confirmation on Trio's clock, seconds.
    timeout_factor : float
        Factor of the timeouts of all routes.
    """

    version: int
    at: float
    timeout_factor: float


class History:
    """Collects the observations of one run.

    Parameters
    ----------
    site : sites.Site
    """

    def __init__(self, site: sites.Site = sites.DEFAULT) -> None:
        self.site = site
        self.exchanges: list[Exchange] = []
        self.events: list[Event] = []
        # For each request whose caller disconnected without waiting for the response:
        # the time of the disconnect and the VM.
        self.disconnects: dict[str, tuple[float, str]] = {}
        # Intervals in which a VM, or "store", was disturbed. The end is infinite until
        # the disturbance is over.
        self.disturbances: dict[str, list[list[float]]] = collections.defaultdict(list)
        # Like `disturbances`, by VM: from SIGTERM until the next process is ready.
        self.stops: dict[str, list[list[float]]] = collections.defaultdict(list)
        # By VM: the times of SIGKILL and of SIGTERM.
        self.kills: dict[str, list[float]] = collections.defaultdict(list)
        self.terminations: dict[str, list[float]] = collections.defaultdict(list)
        # In order.
        self.states: list[State] = []
        # By upstream: what reached it while it was cold, what it tolerates, and the
        # requests whose response it broke off.
        self.cold_arrivals: dict[str, list[site_upstream.Arrival]] = {}
        self.cold_limits: dict[str, float] = {}
        self.broken_off: set[str] = set()
        # Those of them to which an upstream sent without end.
        self.sent_endlessly: set[str] = set()
        # Service of each upstream.
        self.services: dict[str, str] = {}
        # Intervals in which a process of the run's own did not get a processor, by
        # process and in order.
        self.stalls: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )
        # First and last reading of each process that is observed.
        self.processor: dict[
            str, tuple[processor_reading.Reading, processor_reading.Reading]
        ] = {}
        # Peak memory of each process, and the highest reading of its private part.
        self.memory_mb: dict[str, float] = {}
        self.private_mb: dict[str, float] = collections.defaultdict(float)

    def record_event(self, at: float, kind: str, subject: str = "") -> None:
        """Append an event."""
        self.events.append(Event(at, kind, subject))

    def begin_disturbance(self, subject: str, now: float) -> list[float]:
        """Record the start of a disturbance; the caller sets the interval's end."""
        interval = [now, float("inf")]
        self.disturbances[subject].append(interval)
        return interval

    def begin_stop(self, vm: str, now: float) -> list[float]:
        """Record a SIGTERM; the caller sets the interval's end."""
        interval = [now, float("inf")]
        self.stops[vm].append(interval)
        return interval

    def undisturbed(self, vm: str, since: float, until: float) -> bool:
        """Return whether neither the VM nor the store was disturbed in an interval.

        A stop, and a disturbed way to the store, count as a disturbance of the VM.
        """
        return not overlap(self._all_disturbances(vm), since, until)

    def undisturbed_from(
        self, vm: str, at: float, before: float, after: float
    ) -> float:
        """Return from when on a VM is undisturbed for some time before and after.

        Parameters
        ----------
        vm : str
        at : float
            Earliest time to return, on Trio's clock, seconds.
        before, after : float
            Seconds.
        """
        for begin, end in sorted(self._all_disturbances(vm)):
            if overlap([[begin, end]], at - before, at + after):
                at = end + before
        return at

    def _all_disturbances(self, vm: str) -> list[list[float]]:
        subjects = (vm, store_of(vm), clock_of(vm), "store")
        intervals = [each for name in subjects for each in self.disturbances[name]]
        return [*intervals, *self.stops[vm]]


def store_of(vm: str) -> str:
    """Return the subject of disturbances between a VM and the store."""
    return f"{vm} store"


def clock_of(vm: str) -> str:
    """Return the subject of steps of a VM's time of day."""
    return f"{vm} clock"


def overlap(intervals: list[list[float]], since: float, until: float) -> bool:
    """Return whether any interval has a part in another one."""
    return any(begin <= until and end >= since for begin, end in intervals)
