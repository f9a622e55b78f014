"""Log lines for decisions, in bounded number."""

import logging
from typing import Any

from rattanlug.metrics import counters

# Lines a second of each event; the processor time of a line is about 30 us.
LINES_PER_SECOND = 10.0
BURST_LINES = 30.0


class DecisionLog:
    """Writes one structured line for each decision, up to a rate for each event.

    What is not written is counted, and the next line of the event holds the count.

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
        """Write a line, or count it when there were too many.

        Parameters
        ----------
        event : str
            What was decided.
        now : float
            Seconds.
        **fields : Any
            The inputs that decided, their age or version, and the outcome.
        """
        tokens, updated = self._tokens.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - updated) * LINES_PER_SECOND)
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
