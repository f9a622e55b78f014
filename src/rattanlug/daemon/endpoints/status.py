"""State of the fleet as this VM sees it."""

from rattanlug.caller import reply, request
from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.endpoints import registry
from rattanlug.membership import member


@registry.register("GET", "status", for_operators=True)
async def status(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with members, configuration, contact and violations."""
    now = clock.now()
    members = [
        {
            "vm": record.vm,
            "data_centre": record.data_centre,
            "host": record.address[0],
            "port": record.address[1],
            "state": record.state.name.lower(),
            "configuration_version": record.config_version,
            "last_heard_seconds": _seconds_since_contact(node, record, now),
        }
        for record in sorted(node.members.live_members(now))
    ]
    upstreams = []
    for item in node.active.configuration.upstreams.values():
        state = node.slots.state(item.name)
        if state is None:
            continue
        upstreams.append(
            {
                "upstream": item.name,
                "accepts_work": state.accepts_work(now),
                "in_flight": state.in_flight,
                "error_share": round(state.error_share, 4),
            }
        )
    return reply.from_json(
        {
            "vm": node.settings.vm,
            "state": node.state.value,
            "configuration_version": node.active.configuration.version,
            "evidence_age_seconds": _finite_or_none(node.evidence.age(now)),
            "majority_contact": node.contact.in_contact(now),
            "seats": [item.seat for item in node.seats.usable_seats(now)],
            "members": members,
            "upstreams": upstreams,
            "moves": node.versions.describe(),
            "violations": {
                name.value: count for name, count in node.violations.counts.items()
            },
        }
    )


def _finite_or_none(seconds: float) -> float | None:
    return round(seconds, 3) if seconds < float("inf") else None


def _seconds_since_contact(
    node: daemon_node.Node, record: member.Member, now: float
) -> float:
    if record.vm == node.settings.vm:
        return 0.0
    return round(max(0.0, now - record.last_heard), 3)
