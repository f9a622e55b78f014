"""Builds the settings of the relay of a data centre."""

from trial import deployment
from trial.relay import plan


def build_plan(
    planned: deployment.Deployment, places: deployment.Places, data_centre: str
) -> plan.RelayPlan:
    """Return the settings of the relay of one data centre."""
    forwards = []
    for vm in places.vms:
        if vm.data_centre == data_centre:
            forwards += [
                plan.Forward(vm.advertised_host, vm.host, port, data_centre)
                for port in (deployment.VM_PORT, deployment.PEER_PORT)
            ]
    forwards += [
        plan.Forward(
            each.advertised_host, each.host, deployment.UPSTREAM_PORT, data_centre
        )
        for each in places.upstreams
        if each.data_centre == data_centre
    ]
    if data_centre == planned.data_centres[0][0]:
        forwards.append(
            plan.Forward(
                places.advertised_platform_host,
                places.platform_host,
                deployment.PLATFORM_PORT,
                plan.PLATFORM,
            )
        )
    return plan.RelayPlan(
        places.relay_hosts[data_centre],
        deployment.RELAY_PORT,
        {host.rpartition(".")[0]: name for name, host in places.client_hosts.items()},
        list(places.client_hosts.values()),
        planned.client_s / 2,
        {
            name: deployment.one_way_s(planned, name, data_centre)
            for name, _ in planned.data_centres
        },
        deployment.CONNECT_S,
        forwards,
    )
