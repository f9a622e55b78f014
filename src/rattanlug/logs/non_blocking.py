"""A log handler that never blocks."""

import logging
import os
import stat


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops those that would block.

    Parameters
    ----------
    descriptor : int
        File descriptor. A pipe is opened again, since its mode is shared with all
        processes that have it; anything else is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = _open_non_blocking(descriptor)
        self._owns_descriptor = self._descriptor != descriptor
        self._dropped = 0
        self._pending = b""

    @property
    def dropped(self) -> int:
        """Number of dropped lines."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        line = self.format(record).encode() + b"\n"
        if self._pending and not self._write_pending():
            self._dropped += 1
            return
        self._pending = line
        if not self._write_pending() and self._pending == line:
            self._pending = b""
            self._dropped += 1

    def close(self) -> None:
        """Close the descriptor if it was opened here."""
        if self._owns_descriptor:
            self._owns_descriptor = False
            os.close(self._descriptor)
        super().close()

    def _write_pending(self) -> bool:
        """Write the pending rest of a line; return whether all of it was written.

        A partly written line is completed before the next one.
        """
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # The pipe is full or its reader is gone.
            return False
        self._pending = self._pending[written:]
        return not self._pending


def _open_non_blocking(descriptor: int) -> int:
    """Return a descriptor of the same file in non-blocking mode."""
    if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        try:
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            # The reader is gone, or the pipe belongs to another user.
            pass
    os.set_blocking(descriptor, False)
    return descriptor
