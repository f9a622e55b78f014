"""Reads the load reports of the upstreams of this data centre."""

import json
import uuid

import trio

from rattanlug.caller import forwarded_headers
from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error
from rattanlug.model import upstream
from rattanlug.routing import load_report

_INTERVAL_SECONDS = 0.5
_TIMEOUT_SECONDS = 0.45


@registry.register("reports", _INTERVAL_SECONDS)
async def read_reports(node: daemon_node.Node, nursery: trio.Nursery) -> None:
    """Ask each upstream of this data centre for its report."""
    for item in node.active.configuration.upstreams.values():
        if item.data_centre == node.settings.data_centre:
            nursery.start_soon(_read_report, node, item)


async def _read_report(node: daemon_node.Node, item: upstream.Upstream) -> None:
    asked_at = clock.now()
    headers = [
        (b"host", f"{item.host}:{item.port}".encode()),
        (forwarded_headers.REQUEST_ID, uuid.uuid4().hex.encode()),
    ]
    try:
        answer = await node.upstreams.send(
            item.host, item.port, "GET", b"/.load", headers, b"", _TIMEOUT_SECONDS
        )
        value = json.loads(answer.body)
        report = load_report.LoadReport(
            int(value["in_flight"]),
            int(value["slots"]),
            value["state"] == "draining",
            str(value["version"]),
        )
    except (error.UpstreamError, ValueError, KeyError, TypeError):
        node.counters.add("report_failures", upstream=item.name)
        return
    node.slots.receive_report(item.name, report, asked_at)
