"""The upstream that was chosen for a request."""

from typing import NamedTuple

from rattanlug.discovery import upstream_record
from rattanlug.placement import warm_estimator


class Placement(NamedTuple):
    """A choice with what decided it.

    Attributes
    ----------
    record : upstream_record.UpstreamRecord
    value : float
        Expected worth less cost.
    seconds : float
        Expected time to the answer.
    busy : float
        Estimated requests at the upstream.
    warm : float
        Probability that the upstream has the object warm.
    ground : warm_estimator.Ground
        Why it may have it.
    """

    record: upstream_record.UpstreamRecord
    value: float
    seconds: float
    busy: float
    warm: float
    ground: warm_estimator.Ground
