"""Counts the objects that only the collector of reference cycles can free."""

import gc
from collections.abc import Mapping
from typing import Any

from rattanlug.metrics import counters


class GarbageCounter:
    """Counts what each run of the collector frees.

    Bodies in reference cycles stay in memory until such a run, however long it is
    since their requests ended.

    Parameters
    ----------
    all_counters : counters.Counters
    """

    def __init__(self, all_counters: counters.Counters) -> None:
        self._counters = all_counters

    def start(self) -> None:
        """Count from now on."""
        gc.callbacks.append(self._record)

    def stop(self) -> None:
        """Count no longer."""
        gc.callbacks.remove(self._record)

    def _record(self, phase: str, info: Mapping[str, Any]) -> None:
        if phase == "stop":
            generation = str(info["generation"])
            self._counters.add("garbage_collections", generation=generation)
            self._counters.add(
                "garbage_collected_objects",
                info["collected"],
                generation=generation,
            )
