"""Settings and results of the caller process."""

from typing import Any, NamedTuple


class CallerRoute(NamedTuple):
    """A route that callers use.

    Attributes
    ----------
    name, method, path, kind : str
        ``kind`` is ``view``, ``once`` or ``open``.
    weight : float
    """

    name: str
    method: str
    path: str
    kind: str
    weight: float


class CallerKey(NamedTuple):
    """A key that callers use.

    Attributes
    ----------
    name, organisation, key : str
    weight : float
        Share of the keyed requests.
    """

    name: str
    organisation: str
    key: str
    weight: float


class CallerVm(NamedTuple):
    """A VM that look-ups can be sent to."""

    vm: str
    data_centre: str
    host: str
    port: int


class CallerSettings(NamedTuple):
    """Settings of the caller process.

    Attributes
    ----------
    seed : int
    start : float
        On `clock.now`, seconds.
    seconds : float
    rate : float
        Requests/s over all routes.
    deadline : float
        Seconds from the planned start of a request.
    sources : dict
        Source address of callers by data centre.
    translate : dict
        Address to connect to by address in a look-up response.
    keys : list of CallerKey
    routes : list of CallerRoute
    vms : list of CallerVm
    """

    seed: int
    start: float
    seconds: float
    rate: float
    deadline: float
    sources: dict[str, str]
    translate: dict[str, str]
    keys: list[CallerKey]
    routes: list[CallerRoute]
    vms: list[CallerVm]


class Attempt(NamedTuple):
    """One request to one VM.

    Attributes
    ----------
    request_id, vm : str
    sent, ended : float
        On `clock.now`, seconds.
    status : int
        0 without a complete response.
    ran : str
        Whether the request was executed, from ``Rattanlug-Ran``: ``no``, ``unknown``,
        ``yes``, or empty without the header.
    kind : str
        Error kind of the response, or ``refused_connection``, ``cut``, ``timeout``.
    fault : str
        What is wrong with the response, or empty.
    """

    request_id: str
    vm: str
    sent: float
    ended: float
    status: int
    ran: str
    kind: str
    fault: str


class Outcome(NamedTuple):
    """One request of the load.

    Attributes
    ----------
    intended, ended : float
    organisation, key, route, route_kind, identity : str
    result : str
        ``ok`` or the kind of the last attempt.
    attempts : list of Attempt
    """

    intended: float
    ended: float
    organisation: str
    key: str
    route: str
    route_kind: str
    identity: str
    result: str
    attempts: list[Attempt]


class CallerReport(NamedTuple):
    """The results that the caller process writes when it ends.

    Attributes
    ----------
    outcomes : list of Outcome
    lookups, failed_lookups : int
    late_s : float
        Largest delay between the planned start and the sending, seconds.
    notes : dict
    """

    outcomes: list[Outcome]
    lookups: int
    failed_lookups: int
    late_s: float
    notes: dict[str, Any] = {}
