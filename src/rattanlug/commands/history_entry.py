"""One version in the history of the rules."""

import datetime
from typing import NamedTuple


class HistoryEntry(NamedTuple):
    """One accepted change.

    Attributes
    ----------
    version : int
    author : str
        Who made it and why.
    time : float
        Seconds since the epoch.
    changes : list of str
        Lines that it removed (``-``) and added (``+``).
    """

    version: int
    author: str
    time: float
    changes: list[str]

    def describe(self) -> list[str]:
        """Return the entry as lines for a person."""
        when = datetime.datetime.fromtimestamp(self.time, datetime.UTC)
        first = f"version {self.version}  {when:%Y-%m-%dT%H:%M:%SZ}  {self.author}"
        return [first, *(f"  {each}" for each in self.changes)]


def from_answer(answer) -> list[HistoryEntry]:
    """Return the entries of an answer, newest first.

    Raises
    ------
    KeyError, TypeError, ValueError
        When the answer has another form.
    """
    entries = [
        HistoryEntry(
            int(each["version"]),
            str(each["author"]),
            float(each["time"]),
            [str(line) for line in each["changes"]],
        )
        for each in answer["versions"]
    ]
    return sorted(entries, key=lambda each: -each.version)
