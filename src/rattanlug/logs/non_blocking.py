"""A log handler that never waits."""

import logging
import os


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those for which there is no room.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = 0
        self._rest = b""

    @property
    def dropped(self) -> int:
        """Lines that were dropped."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        line = self.format(record).encode() + b"\n"
        if self._rest and not self._write_rest():
            self._dropped += 1
            return
        self._rest = line
        if not self._write_rest() and self._rest == line:
            self._rest = b""
            self._dropped += 1

    def _write_rest(self) -> bool:
        """Write what is left of a line; return whether nothing is left.

        A line that was written in part is completed before the next one.
        """
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            # No room, or no reader any more.
            return False
        self._rest = self._rest[written:]
        return not self._rest
