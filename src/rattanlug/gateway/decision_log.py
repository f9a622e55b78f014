"""Rate-limited log lines for decisions."""

import logging
from typing import Any

from rattanlug.metrics import counters

# For each event; writing one line takes about 30 us of processor time.
MAX_LINES_PER_SECOND = 10.0
BURST_LINES = 30.0


class DecisionLog:
    """Writes one structured line for each decision, with a rate limit for each event.

    Skipped lines are counted; the next line of the same event has their number.

    Parameters
    ----------
    all_counters : counters.Counters
    """

    def __init__(self, all_counters: counters.Counters) -> None:
        self._counters = all_counters
        self._logger = logging.getLogger("rattanlug.decision")
        self._tokens: dict[str, tuple[float, float]] = {}
        self._skipped: dict[str, int] = {}

    def write(self, event: str, now: float, **fields: Any) -> None:
        """Write a line, or count it as skipped when the rate limit is exceeded.

        Parameters
        ----------
        event : str
            Name of the decision.
        now : float
            Seconds.
        **fields : Any
            Inputs of the decision, with their age or version, and its outcome.
        """
        tokens, updated = self._tokens.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - updated) * MAX_LINES_PER_SECOND)
        if tokens < 1.0:
            self._tokens[event] = (tokens, now)
            self._skipped[event] = self._skipped.get(event, 0) + 1
            self._counters.add("log_lines_skipped", event=event)
            return
        self._tokens[event] = (tokens - 1.0, now)
        skipped = self._skipped.pop(event, 0)
        if skipped:
            fields["skipped"] = skipped
        self._logger.info(event, extra={"decision": {"at": round(now, 3), **fields}})
