"""Private memory of this process."""

import logging
import pathlib

_STATUS = pathlib.Path("/proc/self/status")
_FIELD = "RssAnon:"
_BYTES_PER_KILOBYTE = 1024
_LOG = logging.getLogger(__name__)


def private_bytes() -> int:
    """Return the memory that the process shares with no other; 0 if not available."""
    try:
        text = _STATUS.read_text()
    except OSError as exc:
        _LOG.debug("the memory of the process is not available: %s", exc)
        return 0
    for line in text.splitlines():
        if line.startswith(_FIELD):
            return int(line.split()[1]) * _BYTES_PER_KILOBYTE
    return 0
