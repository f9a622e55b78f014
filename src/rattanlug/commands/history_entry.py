"""An entry in the history of the rules."""

import datetime
from typing import NamedTuple


class HistoryEntry(NamedTuple):
    """A version of the rules and the change that made it.

    Attributes
    ----------
    version : int
    author : str
        Who made the change and why.
    time : float
        Seconds since the epoch.
    changes : list of str
        Lines that the change removed (``-``) and added (``+``).
    """

    version: int
    author: str
    time: float
    changes: list[str]

    def describe(self) -> list[str]:
        """Return the entry as human-readable lines."""
        when = datetime.datetime.fromtimestamp(self.time, datetime.UTC)
        first = f"version {self.version}  {when:%Y-%m-%dT%H:%M:%SZ}  {self.author}"
        return [first, *(f"  {each}" for each in self.changes)]


def from_json(data) -> list[HistoryEntry]:
    """Return the entries of a history response, newest first.

    Raises
    ------
    KeyError, TypeError, ValueError
        When the response has an unknown format.
    """
    entries = [
        HistoryEntry(
            int(each["version"]),
            str(each["author"]),
            float(each["time"]),
            [str(line) for line in each["changes"]],
        )
        for each in data["versions"]
    ]
    return sorted(entries, key=lambda each: -each.version)
