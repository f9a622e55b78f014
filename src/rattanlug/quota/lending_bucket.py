"""The token bucket of one seat for one organisation."""

from rattanlug.invariants import invariant, violations
from rattanlug.quota import loan, settlement

# Factor on the configured rate, since this VM's clock may run fast by 0.1%.
CLOCK_MARGIN = 0.999
# A bucket that was not used for longer is not refilled for that time: the VM was paused
# or not allowed to serve, and may have missed a reduction of the rate.
MAX_GAP_S = 1.0
_TOLERANCE = 1e-9


class LendingBucket:
    """A token bucket whose lent tokens count against its capacity.

    ``level + outstanding <= capacity`` always holds, where ``outstanding`` is the
    number of tokens that borrowers may still spend.

    Parameters
    ----------
    seat : str
        Name of the seat, a share of the fleet-wide limits that this VM leases.
    term : int
        Term of the lease.
    refill_from : float
        Time from which the bucket refills; its level is 0 until then.
    violations : violations.Violations
    """

    def __init__(
        self,
        seat: str,
        term: int,
        refill_from: float,
        violations: violations.Violations,
    ):
        self._seat = seat
        self._term = term
        self._updated_at = refill_from
        self._violations = violations
        self._rate = 0.0
        self._capacity = 0.0
        self._level = 0.0
        self._outstanding = 0.0
        self._next_number = 1
        # Number -> (tokens, expiry), in the order of lending and hence of expiry.
        self._loans: dict[int, tuple[float, float]] = {}

    @property
    def term(self) -> int:
        """Term of the lease on the seat."""
        return self._term

    @property
    def outstanding(self) -> float:
        """Tokens that borrowers may still spend, as of the last call."""
        return self._outstanding

    def level(self, now: float) -> float:
        """Return the number of tokens that can be spent or lent now."""
        self._advance(now)
        return self._level

    def set_share(self, rate: float, capacity: float, now: float) -> None:
        """Change the rate and capacity; a smaller capacity applies at once.

        Parameters
        ----------
        rate : float
            Tokens per second.
        capacity : float
            Tokens.
        now : float
        """
        if (rate, capacity) == (self._rate, self._capacity):
            return
        # The change may have taken effect at any time since the last call, so the lower
        # rate is used until now.
        self._rate = min(self._rate, rate)
        self._advance(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level, max(0.0, capacity - self._outstanding))

    def take(self, tokens: float, now: float) -> float:
        """Remove up to the given number of tokens and return the number removed."""
        self._advance(now)
        taken = min(tokens, self._level)
        self._level -= taken
        return taken

    def lend(self, tokens: float, now: float) -> loan.Loan | None:
        """Lend up to the given number of tokens, ``None`` if there are none."""
        taken = self.take(tokens, now)
        if taken <= _TOLERANCE:
            self._level += taken
            return None
        number = self._next_number
        self._next_number += 1
        self._loans[number] = (taken, now + loan.LENDER_LIFETIME_S)
        self._outstanding += taken
        return loan.Loan(self._seat, self._term, number, taken)

    def settle(self, settled: settlement.Settlement, now: float) -> None:
        """End a loan; unknown or expired loans and other terms are ignored."""
        self._advance(now)
        if (settled.seat, settled.term) != (self._seat, self._term):
            return
        if settled.number not in self._loans:
            return
        tokens, _ = self._loans.pop(settled.number)
        self._outstanding = self._sum_outstanding()
        room = max(0.0, self._capacity - self._outstanding)
        returned = min(max(settled.unspent, 0.0), tokens)
        self._level = min(self._level + returned, max(room, self._level))
        self._check()

    def _advance(self, now: float) -> None:
        if now - self._updated_at > MAX_GAP_S:
            self._updated_at = now
        while self._loans:
            number, (_, expiry) = next(iter(self._loans.items()))
            if expiry > now:
                break
            self._refill(expiry)
            del self._loans[number]
            self._outstanding = self._sum_outstanding()
        self._refill(now)
        self._check()

    def _refill(self, until: float) -> None:
        if until <= self._updated_at:
            return
        refill = self._rate * CLOCK_MARGIN * (until - self._updated_at)
        room = max(0.0, self._capacity - self._outstanding)
        self._level = max(self._level, min(self._level + refill, room))
        self._updated_at = until

    def _sum_outstanding(self) -> float:
        return sum(tokens for tokens, _ in self._loans.values())

    def _check(self) -> None:
        total = self._level + self._outstanding
        fits = total <= max(self._capacity, self._outstanding) + _TOLERANCE
        self._violations.check(invariant.Invariant.RATE_AND_BURST, fits)
