"""Estimated load of upstreams that have not reported their load yet.

When the VMs start under load, no response reports the requests of the other VMs until
all queues near the callers are full. Without an estimate, the excess requests would
then leave the region all at once, and return when the queues have drained.
"""

from collections.abc import Callable, Iterable

from rattanlug.discovery import upstream_record

# Duration of the estimate. After it, most upstreams have reported their load in a
# response to this VM.
STARTUP_SECONDS = 2.0


class StartupLoad:
    """Assumes in the first seconds that each other VM sends as much as this one.

    It takes the mean over a region's upstreams, since the few requests of one VM say
    little about a single upstream.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._unreported: dict[str, float] = {}

    def unreported(self, region: str) -> float:
        """Return the assumed requests of other VMs at an upstream of a region."""
        return self._unreported.get(region, 0.0)

    def update(
        self,
        upstreams: Iterable[tuple[str, upstream_record.UpstreamRecord]],
        in_flight: Callable[[upstream_record.UpstreamRecord], int],
        others: Callable[[], int],
        now: float,
    ) -> None:
        """Update the estimate from the requests that this VM has in flight.

        Parameters
        ----------
        upstreams : iterable of (str, upstream_record.UpstreamRecord)
            Region and record of each upstream.
        in_flight : callable
            Returns the number of this VM's requests at an upstream.
        others : callable
            Returns the number of other VMs in the region.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at >= STARTUP_SECONDS:
            self._unreported = {}
            return
        counts: dict[str, list[int]] = {}
        for region, record in upstreams:
            counts.setdefault(region, []).append(in_flight(record))
        other_vms = others()
        self._unreported = {
            region: other_vms * sum(each) / len(each) for region, each in counts.items()
        }
