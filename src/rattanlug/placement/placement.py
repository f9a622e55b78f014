"""The upstream that was chosen for a request."""

from typing import NamedTuple

from rattanlug.discovery import upstream_record
from rattanlug.placement import warm_estimator


class Placement(NamedTuple):
    """A selected upstream with the figures that decided its selection.

    Attributes
    ----------
    record : upstream_record.UpstreamRecord
    value : float
        Expected value of the response less its cost, relative to the value of a
        response within the target latency.
    seconds : float
        Expected time until the response, seconds.
    busy : float
        Estimated number of requests that run or wait at the upstream.
    warm : float
        Probability that the upstream has the object cached.
    ground : warm_estimator.Ground
        Reason to expect that the upstream has the object cached.
    """

    record: upstream_record.UpstreamRecord
    value: float
    seconds: float
    busy: float
    warm: float
    ground: warm_estimator.Ground
