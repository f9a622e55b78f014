"""Record of the requests to an upstream stand-in."""

import base64
import collections
from typing import Any, NamedTuple

from trial import clock, http_server


class Execution(NamedTuple):
    """A request whose execution began.

    Attributes
    ----------
    began : float
        On `clock.now`, seconds.
    path : str
    request_id : str
        The caller's identifier from ``Trial-Attempt``; entry VMs may replace
        ``Request-Id`` for each attempt of their own.
    identity : str
        The Idempotency-Key or empty.
    organisation : str
        From ``Rattanlug-Organisation``, or empty.
    """

    began: float
    path: str
    request_id: str
    identity: str
    organisation: str


class Record:
    """The requests that an upstream received and executed.

    Parameters
    ----------
    slots : int
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._in_flight = 0
        self._most_in_flight = 0
        self._over_slots = 0
        self._received: list[bytes] = []
        self._arrivals: list[float] = []
        self._executions: list[Execution] = []
        self._faulty: list[str] = []
        self._outcomes: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Number of requests that arrived and have not ended."""
        return self._in_flight

    def record_arrival(self, request: http_server.Request) -> bool:
        """Record a request; return whether there is a slot for it."""
        head = f"{request.method} {request.path}?{request.query}\n"
        lines = "".join(f"{name}: {value}\n" for name, value in request.headers)
        self._received.append(f"{head}{lines}\n".encode() + request.body)
        self._arrivals.append(clock.now())
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        if self._in_flight > self._slots:
            self._over_slots += 1
            return False
        return True

    def record_execution(self, execution: Execution) -> None:
        """Record that the execution of a request begins."""
        self._executions.append(execution)

    def record_fault(self, request_id: str) -> None:
        """Record that a request has the configured fault."""
        self._faulty.append(request_id)

    def record_end(self, outcome: str) -> None:
        """Record that a request ended."""
        self._in_flight -= 1
        self._outcomes[outcome] += 1

    def report(self) -> dict[str, Any]:
        """Return the record as JSON data; received bytes are in base64."""
        identities = collections.Counter(
            each.identity for each in self._executions if each.identity
        )
        return {
            "slots": self._slots,
            "most_in_flight": self._most_in_flight,
            "over_slots": self._over_slots,
            "outcomes": dict(self._outcomes),
            "arrivals": self._arrivals,
            "identities": dict(identities),
            "faulty": self._faulty,
            "executions": [list(each) for each in self._executions],
            "received": [base64.b64encode(each).decode() for each in self._received],
        }
