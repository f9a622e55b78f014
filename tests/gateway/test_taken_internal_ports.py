"""VMs of which another program has a port that no caller uses."""

import json
import socket
import tomllib

import pytest
import trio

from rattanlug.gateway import run
from rattanlug.platform import boot_settings
from tests.gateway import caller
from trial.shared_platform import boot_file, fleet, loopback


# Guards against callers that are sent to a VM which leaves their requests unread as
# long as another program has one of its internal ports.
@pytest.mark.parametrize("name", ["lookups", "readiness"])
@caller.in_trio
async def test_a_vm_that_waits_for_a_port_is_in_no_look_up(name):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        first = await deployment.add_vm()
        host = loopback.host(2)
        text = boot_file.render(
            "vm-2", host, fleet.FIRST_VM_PORT, deployment._store_port
        )
        settings = boot_settings.decode(tomllib.loads(text))
        taken = getattr(settings, name)
        with socket.create_server((taken.host, taken.port)):
            second = run.GatewayDaemon(settings)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.serve)
                await trio.sleep(3.0)
                lookup = "/resolve?zone=north-a&region=north"
                response = await caller.get(first.node.settings.lookups, lookup)
                nursery.cancel_scope.cancel()
        assert host not in json.dumps(json.loads(response.body))
