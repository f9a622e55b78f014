"""Text exposition format of counters, gauges and histograms."""

from collections.abc import Mapping

from rattanlug.metrics import counters, histograms

_PREFIX = "rattanlug_"
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_MICROSECONDS_PER_SECOND = 1_000_000


def render(
    all_counters: counters.Counters,
    all_histograms: histograms.Histograms,
    gauges: Mapping[str, float],
) -> str:
    """Render all metrics in the Prometheus text format, version 0.0.4.

    Parameters
    ----------
    all_counters : counters.Counters
    all_histograms : histograms.Histograms
        Rendered as summaries, in seconds.
    gauges : Mapping of str to float
        Current values, without labels.

    Returns
    -------
    str
    """
    lines: list[str] = []
    declared: set[str] = set()
    for name, labels, value in all_counters.items():
        metric = f"{_PREFIX}{name}_total"
        _declare_type(lines, declared, metric, "counter")
        lines.append(f"{metric}{_labels(labels)} {value}")
    for name, value in sorted(gauges.items()):
        metric = _PREFIX + name
        _declare_type(lines, declared, metric, "gauge")
        lines.append(f"{metric} {value:g}")
    for name, labels, histogram in all_histograms.items():
        metric = f"{_PREFIX}{name}_seconds"
        _declare_type(lines, declared, metric, "summary")
        for quantile in _QUANTILES:
            seconds = (
                histogram.get_value_at_percentile(quantile * 100)
                / _MICROSECONDS_PER_SECOND
            )
            quantile_labels = (*labels, ("quantile", f"{quantile:g}"))
            lines.append(f"{metric}{_labels(quantile_labels)} {seconds:.6f}")
        total = histogram.get_total_count()
        seconds_sum = histogram.get_mean_value() * total / _MICROSECONDS_PER_SECOND
        lines.append(f"{metric}_sum{_labels(labels)} {seconds_sum:.6f}")
        lines.append(f"{metric}_count{_labels(labels)} {total}")
    return "\n".join(lines) + "\n"


def _declare_type(lines: list[str], declared: set[str], metric: str, kind: str) -> None:
    if metric not in declared:
        declared.add(metric)
        lines.append(f"# TYPE {metric} {kind}")


def _labels(labels: counters.Labels) -> str:
    if not labels:
        return ""
    parts = (f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + ",".join(parts) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
