"""Log lines for changes of state."""

import logging
from typing import Any

_LOGGER = logging.getLogger("rattanlug.state")


def log_change(what: str, old: Any, new: Any, **fields: Any) -> None:
    """Write one line when a state differs from before, none otherwise.

    Parameters
    ----------
    what : str
        Name of the state, such as ``"membership"``.
    old, new : Any
        Values before and after; anything but JSON types is written as text.
    **fields : Any
        More about the change.
    """
    if old == new:
        return
    extra = {"what": what, "old": old, "new": new, **fields}
    # In one field, because the logging library reserves names such as "name".
    _LOGGER.info("state changed", extra={"change": extra})
