"""Election of the VM that steers the moves, by a lease in the store."""

from rattanlug.rollout import lease_row

LEASE_SECONDS = 5.0
# Added by other VMs before a takeover, since clocks run at different speeds.
CLOCK_MARGIN_SECONDS = 1.0
RENEW_SECONDS = 1.0


class SteeringLease:
    """One VM's view of the steering lease.

    The caller reads the row, passes it to ``observe``, writes what ``next_write``
    returns with the observed revision as expectation, calls ``record_attempt`` just
    before the write and reads again afterwards, whatever the outcome of the write. A
    move row is written in one transaction with a renewal of the lease, which fences
    earlier holders.

    Parameters
    ----------
    vm : str
    incarnation : int
    """

    def __init__(self, vm: str, incarnation: int):
        self._vm = vm
        self._incarnation = incarnation
        self._row: lease_row.LeaseRow | None = None
        self._has_observed = False
        self._unchanged_since = float("inf")
        self._attempts: dict[lease_row.LeaseRow, float] = {}
        self._valid_until = float("-inf")
        self._renewed_at = float("-inf")

    @property
    def term(self) -> int:
        """Term of the last observed row; 0 without a row."""
        return self._row.term if self._row else 0

    def held(self, now: float) -> bool:
        """Return whether this VM holds the lease; check it before each decision."""
        return now < self._valid_until

    def observe(self, row: lease_row.LeaseRow | None, now: float) -> None:
        """Record the row that was read; ``now`` is the time of the response."""
        if not self._has_observed or row != self._row:
            self._has_observed, self._row, self._unchanged_since = True, row, now
        sent_at = self._attempts.get(row) if row else None
        if sent_at is not None:
            self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)
            self._renewed_at = max(self._renewed_at, sent_at)
        elif row is None or not self._is_own(row):
            self._valid_until = float("-inf")
            self._attempts.clear()

    def next_write(self, now: float) -> lease_row.LeaseRow | None:
        """Return the row to write now, None if no write is due."""
        row = self._row
        if not self._has_observed:
            return None
        if row is None:
            return lease_row.LeaseRow(self._vm, self._incarnation, 1, 0)
        if not row.vm:
            return lease_row.LeaseRow(self._vm, self._incarnation, row.term + 1, 0)
        if self._is_own(row) and self.held(now):
            if now - self._renewed_at < RENEW_SECONDS:
                return None
            return row._replace(renewals=row.renewals + 1)
        if now - self._unchanged_since < LEASE_SECONDS + CLOCK_MARGIN_SECONDS:
            return None
        return lease_row.LeaseRow(self._vm, self._incarnation, row.term + 1, 0)

    def release(self, now: float) -> lease_row.LeaseRow | None:
        """Give up the lease; return the row that lets another VM take over at once.

        None if this VM does not hold the lease.
        """
        if self._row is None or not self._is_own(self._row) or not self.held(now):
            return None
        self._valid_until = float("-inf")
        self._attempts.clear()
        return self._row._replace(vm="", incarnation=0, renewals=self._row.renewals + 1)

    def record_attempt(self, row: lease_row.LeaseRow, now: float) -> None:
        """Record that a write of ``row`` is about to be sent."""
        # The time of the first attempt is kept, since that one may have taken effect.
        self._attempts.setdefault(row, now)
        while len(self._attempts) > 8:
            self._attempts.pop(next(iter(self._attempts)))

    def _is_own(self, row: lease_row.LeaseRow) -> bool:
        return (row.vm, row.incarnation) == (self._vm, self._incarnation)
