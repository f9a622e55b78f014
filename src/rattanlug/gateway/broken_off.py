"""Records requests that get no response of the upstream that may have run them."""

from typing import TypedDict

from rattanlug.gateway import admitted_request
from rattanlug.gateway import node as node_module


class BrokenOffFields(TypedDict):
    """Fields of a log line about such a request.

    Attributes
    ----------
    time_left : float
        Time until the caller's time or the route's timeout is over for certain,
        seconds; negative after it.
    early : bool
        Whether that time may not have been over.
    phase : str
        Phase of the daemon.
    uptime : float
        Time since the start of the daemon, seconds.
    """

    time_left: float
    early: bool
    phase: str
    uptime: float


def fields(
    node: node_module.Node, admitted: admitted_request.AdmittedRequest, now: float
) -> BrokenOffFields:
    """Return the fields of a log line.

    Parameters
    ----------
    node : node.Node
    admitted : admitted_request.AdmittedRequest
    now : float
        Monotonic seconds.
    """
    time_left = admitted.time_up_at - now
    return BrokenOffFields(
        time_left=round(time_left, 3),
        early=time_left > 0.0,
        phase=node.phase(now).value,
        uptime=round(node.uptime(now), 1),
    )


def count(
    node: node_module.Node,
    admitted: admitted_request.AdmittedRequest,
    kind: str,
    now: float,
) -> BrokenOffFields:
    """Count a response of the daemon's own; return the fields of its log line.

    Parameters
    ----------
    node : node.Node
    admitted : admitted_request.AdmittedRequest
    kind : str
        Kind of the error.
    now : float
        Monotonic seconds.
    """
    result = fields(node, admitted, now)
    node.counters.add(
        "requests_broken_off",
        kind=kind,
        early=str(result["early"]).lower(),
        phase=result["phase"],
    )
    return result
