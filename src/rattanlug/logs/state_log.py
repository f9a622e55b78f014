"""Log lines for changes of state."""

import logging
from typing import Any

_LOGGER = logging.getLogger("rattanlug.state")


def log_change(what: str, old: Any, new: Any, **fields: Any) -> None:
    """Log a change of state; log nothing if the values are equal.

    Parameters
    ----------
    what : str
        Name of the state, such as ``"membership"``.
    old, new : Any
        Values before and after; types that JSON lacks are written as text.
    **fields : Any
        Further fields of the log line.
    """
    if old == new:
        return
    extra = {"what": what, "old": old, "new": new, **fields}
    # A single field, because the logging library reserves names such as "name".
    _LOGGER.info("state changed", extra={"change": extra})
