"""What callers, upstreams and operators saw in one run."""

import collections
from typing import NamedTuple


class Exchange(NamedTuple):
    """One request of a caller and what came back.

    Attributes
    ----------
    request_id, vm, path, key : str
    sent_at, ended_at : float
        Seconds.
    status : int or None
        None when the connection ended, or nothing came in time.
    ended_by_vm : bool
        Whether the connection ended without an answer, before the caller gave up.
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
    ended_by_vm: bool
    stamp: str
    body: bytes

    @property
    def once_only(self) -> bool:
        """Whether the request may run once at most."""
        return self.path.startswith("/claim/")


class Event(NamedTuple):
    """Something that an operator or a fault did.

    Attributes
    ----------
    at : float
        When it was confirmed, seconds.
    kind, subject : str
    """

    at: float
    kind: str
    subject: str


class History:
    """Collects one run."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []
        self.events: list[Event] = []
        # When callers closed their connections without waiting for an answer, and the
        # VM that they had asked, by request.
        self.left: dict[str, tuple[float, str]] = {}
        # Spans in which a VM, or "store", was disturbed; open ones end at infinity.
        self.disturbed: dict[str, list[list[float]]] = collections.defaultdict(list)

    def note(self, at: float, kind: str, subject: str = "") -> None:
        """Note an event."""
        self.events.append(Event(at, kind, subject))

    def begin_disturbance(self, subject: str, now: float) -> list[float]:
        """Note that a disturbance begins; return the span to be closed."""
        span = [now, float("inf")]
        self.disturbed[subject].append(span)
        return span

    def in_touch(self, vm: str, since: float, until: float) -> bool:
        """Tell whether neither a VM nor the store was disturbed in a time."""
        return not any(
            begin <= until and end >= since
            for subject in (vm, "store")
            for begin, end in self.disturbed[subject]
        )
