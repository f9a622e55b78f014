"""Load of upstreams that have not reported any yet.

Answers a start under load: no answer tells of the other VMs' requests before all
queues near the callers are full. The requests beyond them then leave the region all at
once, and return when the queues have drained.
"""

from collections.abc import Callable, Iterable

from rattanlug.discovery import upstream_record

# Most upstreams have answered a VM by then, and so told of the others' requests,
# seconds.
FIRST_SECONDS = 2.0


class StartupLoad:
    """Assumes, in the first seconds, that the other VMs send as much as this one.

    The mean over a region's upstreams is taken, since the few requests of one VM say
    little about a single one.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._unreported: dict[str, float] = {}

    def unreported(self, region: str) -> float:
        """Return the others' requests at an upstream of a region."""
        return self._unreported.get(region, 0.0)

    def update(
        self,
        upstreams: Iterable[tuple[str, upstream_record.UpstreamRecord]],
        in_flight: Callable[[upstream_record.UpstreamRecord], int],
        others: Callable[[], int],
        now: float,
    ) -> None:
        """Take the requests that this VM has on its way.

        Parameters
        ----------
        upstreams : iterable of (str, upstream_record.UpstreamRecord)
            Region and record of each.
        in_flight : callable
            Returns this VM's requests at an upstream.
        others : callable
            Returns the number of other VMs in the region.
        now : float
            Seconds.
        """
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at >= FIRST_SECONDS:
            self._unreported = {}
            return
        sent: dict[str, list[int]] = {}
        for region, record in upstreams:
            sent.setdefault(region, []).append(in_flight(record))
        factor = others()
        self._unreported = {
            region: factor * sum(each) / len(each) for region, each in sent.items()
        }
