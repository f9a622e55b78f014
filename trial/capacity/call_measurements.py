"""Cost of a call between the real peer client and server over loopback."""

import time
from collections.abc import Mapping

import trio

from rattanlug.peer import client, server
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address
from trial.capacity import registry, report

_CALLS = 3000
_TIMEOUT_S = 5.0


async def _echo(message, sender):
    return message


async def _run_calls():
    message = ttypes.Gossip(ages=bytes(44), data_centres_digest=-(2**31) + 7)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            server.serve, address.Address("127.0.0.1", 0), {ttypes.Gossip: _echo}
        )
        peer = address.Address(*listeners[0].socket.getsockname()[:2])
        peer_client = client.PeerClient("entry-0001.region00-1", "127.0.0.1")
        await nursery.start(peer_client.run)
        await peer_client.call(peer, message, _TIMEOUT_S)
        started, cpu = time.perf_counter(), time.process_time()
        for _ in range(_CALLS):
            await peer_client.call(peer, message, _TIMEOUT_S)
        cpu = (time.process_time() - cpu) / _CALLS
        elapsed = (time.perf_counter() - started) / _CALLS
        nursery.cancel_scope.cancel()
    return cpu, elapsed


@registry.measurement("calls")
def measure_calls(values: Mapping[str, float]) -> report.Report:
    """Measure the time of sequential gossip calls."""
    cpu, elapsed = trio.run(_run_calls)
    # A daemon sends eight requests a second and receives as many; the measured call
    # includes both ends.
    share = 8 * cpu
    return report.Report(
        ["what", "measured", "unit"],
        [
            ["one call, both ends, processor", cpu * 1e6, "µs"],
            ["one call, time", elapsed * 1e6, "µs"],
            ["8 calls asked and 8 answered a second", share * 100, "% of a core"],
        ],
        {"call_cpu": share},
    )
