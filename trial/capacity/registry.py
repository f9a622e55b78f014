"""The list of measurements, in the order in which they run."""

from collections.abc import Callable, Mapping

from trial.capacity import report

Function = Callable[[Mapping[str, float]], report.Report]
MEASUREMENTS: dict[str, Function] = {}
#: Measurements that run only when they are named: they need much memory or time.
ON_DEMAND: set[str] = set()


def measurement(name: str, on_demand: bool = False) -> Callable[[Function], Function]:
    """Register a function under the name that its table has on the page.

    The function gets the values of the measurements that ran before it.
    """

    def register(function: Function) -> Function:
        if name in MEASUREMENTS:
            raise ValueError(f"two measurements are named {name}")
        MEASUREMENTS[name] = function
        if on_demand:
            ON_DEMAND.add(name)
        return function

    return register
