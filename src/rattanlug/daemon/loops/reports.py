"""Reads the load reports of the upstreams of this data centre."""

from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.encoding import json_text
from rattanlug.errors import error
from rattanlug.model import upstream
from rattanlug.routing import load_report

_INTERVAL_SECONDS = 0.5
_TIMEOUT_SECONDS = 0.45


@registry.register("reports", _INTERVAL_SECONDS)
async def read_reports(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Ask each upstream of this data centre for its report."""
    for item in node.active.configuration.upstreams.values():
        if item.data_centre == node.settings.data_centre:
            spawner.start_soon(_read_report, node, item)


async def _read_report(node: daemon_node.Node, item: upstream.Upstream) -> None:
    asked_at = clock.now()
    try:
        value = json_text.decode(
            await node.upstreams.fetch(
                item.host, item.port, b"/.load", _TIMEOUT_SECONDS
            )
        )
        report = load_report.LoadReport(
            int(value["in_flight"]),
            int(value["slots"]),
            value["state"] == "draining",
            str(value["version"]),
        )
    except (error.UpstreamError, KeyError, OverflowError, TypeError, ValueError):
        node.counters.add("report_failures", upstream=item.name)
        return
    node.slots.receive_report(item.name, report, asked_at)
