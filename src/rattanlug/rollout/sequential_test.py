"""Sequential comparison of two event rates."""

import math

# Assumed excess rates, as bets: 0.3 finds small excesses in many requests, 100 finds
# a version that fails always within a few requests.
BETS = (0.3, 1.0, 3.0, 10.0, 30.0, 100.0)
LARGEST_LOSS = 0.9
# Part of the evidence that starts at once; the other starts share the rest.
FIRST_STAKE = 0.5
LARGEST_LOG = 500.0
SMALLEST = 1e-300


class SequentialTest:
    """Evidence that events are more frequent among new requests than allowed.

    The hypothesis is: in every period the new rate is at most ``ratio`` times the
    old rate of the same period plus ``excess``. The rates may change between periods.
    For a bet ``a``, the product over periods of
    ``(1 + a)**new_events * (1 - b)**old_events * exp(-a * allowed)`` with
    ``b = a * ratio * new_requests / old_requests`` and ``allowed`` the excess times the
    new requests has an expectation of at most 1 under the hypothesis, because
    ``1 + a p <= exp(a p)``. By Ville's inequality it exceeds 1/alpha at any time with
    probability at most alpha, so it can be looked at after every report.

    The evidence is the mean over all bets weighted over starts in time. A
    fault that begins late would otherwise have to make up for the good time before.

    Parameters
    ----------
    ratio : float
        Allowed factor over the old rate.
    starts : int
        Starts that will be made; the first at once, the others by ``start_again``.
    """

    def __init__(self, ratio: float, starts: int = 1):
        self._ratio = ratio
        # Most bad versions are bad from the first request on.
        self._first_stake = FIRST_STAKE if starts > 1 else 1.0
        self._stake = (1.0 - self._first_stake) / max(1, starts - 1)
        self._starts_left = max(1, starts)
        self._starts_left -= 1
        self._logs = [math.log(self._first_stake)] * len(BETS)

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence; 0 is neutral."""
        total = sum(math.exp(min(log, LARGEST_LOG)) for log in self._logs) / len(BETS)
        return math.log(max(total + self._stake * self._starts_left, SMALLEST))

    def start_again(self) -> None:
        """Add a test that begins now; without effect when no start is left."""
        if self._starts_left <= 0:
            return
        self._starts_left -= 1
        stake = math.log(self._stake)
        for index, log in enumerate(self._logs):
            # The sum of two exponentials, computed without overflow.
            larger = max(log, stake)
            self._logs[index] = larger + math.log(
                math.exp(log - larger) + math.exp(stake - larger)
            )

    def add(
        self,
        allowed: float,
        new_requests: int,
        new_events: int,
        old_requests: int,
        old_events: int,
    ) -> None:
        """Take the counts of one period.

        Parameters
        ----------
        allowed : float
            Allowed excess rate times new requests.
        new_requests, new_events, old_requests, old_events : int
            Counts of both versions over the same period; both numbers of requests
            are above 0.
        """
        factor = self._ratio * new_requests / old_requests
        for index, bet in enumerate(BETS):
            size = min(bet, LARGEST_LOSS / factor)
            self._logs[index] += (
                new_events * math.log1p(size)
                + old_events * math.log1p(-size * factor)
                - size * allowed
            )

    def add_alone(self, allowed: float, new_events: int) -> None:
        """Take a period in which the old version had no requests.

        Parameters
        ----------
        allowed : float
            Allowed rate times new requests, the old version's part included.
        new_events : int
        """
        for index, bet in enumerate(BETS):
            self._logs[index] += new_events * math.log1p(bet) - bet * allowed
