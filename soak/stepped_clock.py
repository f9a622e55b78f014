"""Runs a daemon whose time of day can be stepped from outside.

``python -m soak.stepped_clock FILE`` runs the daemon; FILE contains the seconds by
which its time of day is off, or does not exist. The steady clocks are not changed.
"""

import pathlib
import runpy
import sys
import time

_READ_INTERVAL_SECONDS = 0.05


class SteppedClock:
    """The time of day, off by what a file says.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._true_time = time.time
        self._offset = 0.0
        self._read_at = float("-inf")

    def time(self) -> float:
        """Return the stepped time of day, in seconds."""
        now = time.monotonic()
        if now - self._read_at > _READ_INTERVAL_SECONDS:
            self._read_at = now
            if self._path.exists():
                self._offset = float(self._path.read_text() or 0.0)
        return self._true_time() + self._offset


if __name__ == "__main__":
    time.time = SteppedClock(pathlib.Path(sys.argv.pop())).time
    runpy.run_module("rattanlug.gateway", run_name="__main__", alter_sys=True)
