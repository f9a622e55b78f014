"""Counters and histograms in the text exposition format."""

from rattanlug.caller import reply, request
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.endpoints import registry
from rattanlug.metrics import exposition

_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@registry.register("GET", "metrics")
async def metrics(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with all counters, histograms and gauges of this daemon."""
    text = exposition.render(node.counters, node.histograms, node.gauges())
    lines = ["# TYPE rattanlug_violations_total counter"]
    for name, count in node.violations.counts.items():
        lines.append(f'rattanlug_violations_total{{invariant="{name.value}"}} {count}')
    return reply.from_text(text + "\n".join(lines) + "\n", _CONTENT_TYPE)
