"""Configurable behaviour of an upstream stand-in."""

from typing import NamedTuple

STATES = ("ready", "draining")
FAULTS = ("", "errors", "slow")
ANSWERS = ("", "late", "short", "duplicate", "stray")
REPORTS = ("", "idle", "full", "stopped")


class Behaviour(NamedTuple):
    """Behaviour that the command line and the control endpoint set.

    Attributes
    ----------
    state : str
        ``ready`` or ``draining``; a draining upstream rejects requests after
        `server.DRAIN_GRACE_S`.
    service_ms : float
        Median service time of a request.
    spread : float
        Standard deviation of the logarithm of the service time.
    cold_s : float
        Time after the start during which requests take longer.
    cold_factor : float
        Factor of the service time at the start; it falls linearly to 1 during
        ``cold_s``.
    fault : str
        ``errors`` responds with 500, ``slow`` multiplies the service time by
        ``slow_factor``.
    fault_ratio : float
        Share of the requests that have the fault.
    fault_after_s : float
        Time from the first executed request until the fault begins.
    fault_min_in_flight : int
        Number of requests in flight from which on the fault occurs.
    fault_route : str
        Prefix of the paths that have the fault.
    slow_factor : float
    answer : str
        ``late`` responds 1 s after the deadline, ``short`` truncates the body,
        ``duplicate`` sends the response twice and closes the connection, ``stray``
        sends it twice and keeps the connection open for the next request.
    answer_count : int
        Number of next responses that ``answer`` changes.
    body_bytes : int
        Length of the filler in a response.
    report : str
        ``idle`` reports no request in flight, ``full`` reports every slot in use,
        ``stopped`` closes the connection of a load report's request.
    """

    state: str = "ready"
    service_ms: float = 20.0
    spread: float = 0.3
    cold_s: float = 0.0
    cold_factor: float = 4.0
    fault: str = ""
    fault_ratio: float = 1.0
    fault_after_s: float = 0.0
    fault_min_in_flight: int = 0
    fault_route: str = ""
    slow_factor: float = 10.0
    answer: str = ""
    answer_count: int = 0
    body_bytes: int = 2000
    report: str = ""


def update(current: Behaviour, data: dict) -> Behaviour:
    """Return the behaviour with the given values replaced.

    Raises
    ------
    ValueError
        A name or a value is not accepted.
    """
    unknown = set(data) - set(Behaviour._fields)
    if unknown:
        raise ValueError(f"unknown: {', '.join(sorted(unknown))}")
    result = current._replace(**data)
    if (
        result.state not in STATES
        or result.fault not in FAULTS
        or result.answer not in ANSWERS
        or result.report not in REPORTS
    ):
        raise ValueError(f"accepted: {STATES}, {FAULTS}, {ANSWERS}, {REPORTS}")
    return result
