"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Writes one line for each event.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
