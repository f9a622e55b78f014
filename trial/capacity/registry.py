"""Registry of the measurements, in the order in which they run."""

from collections.abc import Callable, Mapping

from trial.capacity import report

MeasurementFunction = Callable[[Mapping[str, float]], report.Report]
MEASUREMENTS: dict[str, MeasurementFunction] = {}
#: Measurements that run only if named, since they need much memory or time.
ON_DEMAND: set[str] = set()


def measurement(
    name: str, on_demand: bool = False
) -> Callable[[MeasurementFunction], MeasurementFunction]:
    """Register a function under the name that its table has on the page.

    The function receives the values of the earlier measurements, by name.
    """

    def register(function: MeasurementFunction) -> MeasurementFunction:
        if name in MEASUREMENTS:
            raise ValueError(f"duplicate measurement {name}")
        MEASUREMENTS[name] = function
        if on_demand:
            ON_DEMAND.add(name)
        return function

    return register
