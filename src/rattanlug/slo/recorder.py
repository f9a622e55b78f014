"""Counts finished requests by organisation and route."""

from collections.abc import Iterable, Mapping

from hdrh import histogram

from rattanlug.model import objective
from rattanlug.slo import matching, series, snapshot

MAX_SERIES = 512
# Names of rules don't start with '*', so this can't be the name of an organisation.
OVERFLOW = "*overflow"


class Recorder:
    """Counts the finished requests of one VM.

    Takes at most 14 MB: ``MAX_SERIES`` series and the overflow series, 26 KB each.
    Requests for which no series is free are counted under ``OVERFLOW``.

    Parameters
    ----------
    vm : str
        Name of the VM.
    now : float
        Seconds of a monotonic clock.
    objectives : iterable of objective.Objective
    """

    def __init__(
        self, vm: str, now: float, objectives: Iterable[objective.Objective] = ()
    ):
        self._vm = vm
        self._started = now
        self._objectives = tuple(objectives)
        self._latency_limits: dict[tuple[str, str], float] = {}
        self._series: dict[tuple[str, str], series.Series] = {}
        self._dropped = 0

    @property
    def histograms(self) -> Mapping[tuple[str, str], histogram.HdrHistogram]:
        """Latencies by organisation and route, microseconds, for the metrics."""
        return {name: each.histogram for name, each in self._series.items()}

    @property
    def dropped(self) -> int:
        """Number of requests counted under ``OVERFLOW``."""
        return self._dropped

    def set_objectives(self, objectives: Iterable[objective.Objective]) -> None:
        """Set the objectives for requests that finish from now on.

        Requests that are already counted aren't compared with the new latency limits.
        """
        self._objectives = tuple(objectives)
        self._latency_limits.clear()

    def record(
        self, organisation: str, route: str, good: bool, latency: float, now: float
    ) -> None:
        """Count one finished request.

        Parameters
        ----------
        organisation : str
            Name, or ``-`` for a request without key on an open route.
        route : str
        good : bool
            Whether the response was not an error of the service.
        latency : float
            Time from the first byte of the request to the last byte of the response,
            seconds.
        now : float
            Seconds of a monotonic clock.
        """
        name = (organisation, route)
        counted = self._series.get(name)
        if counted is None:
            name, counted = self._new_series(name, now)
        slow = latency > self._latency_limit(name)
        counted.add(good, slow, latency, now)

    def snapshot(self, now: float) -> snapshot.Snapshot:
        """Return all counts as of ``now``."""
        return {
            "vm": self._vm,
            "covered_s": now - self._started,
            "bucket_s": series.HISTORY_BUCKET_S,
            "dropped": self._dropped,
            "series": [
                _series_snapshot(name, each, now) for name, each in self._series.items()
            ],
        }

    def _new_series(self, name, now):
        if len(self._series) >= MAX_SERIES:
            self._dropped += 1
            name = (OVERFLOW, OVERFLOW)
        if name not in self._series:
            self._series[name] = series.Series(now)
        return name, self._series[name]

    def _latency_limit(self, name):
        limit = self._latency_limits.get(name)
        if limit is None:
            found = matching.find_objective(self._objectives, *name)
            limit = float("inf") if found is None else found.latency
            self._latency_limits[name] = limit
        return limit


def _series_snapshot(name, counted, now) -> snapshot.SeriesSnapshot:
    history = [list(each) for each in counted.history_ring.history(now)]
    while history and not history[-1][0]:
        history.pop()
    return {
        "organisation": name[0],
        "route": name[1],
        "windows": {
            str(length): list(each) for length, each in counted.windows(now).items()
        },
        "history": history,
        "latency": counted.histogram.encode().decode("ascii"),
    }
