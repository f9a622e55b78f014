"""Tests of injected faults while the deployment changes."""

import random
import types

import trio
from trio import testing

from soak import deployment, faults, history, proxy, site_faults, sites
from trial.shared_platform import endless_response


class _Proxy:
    mode = proxy.Mode.OPEN

    def set_mode(self, mode: proxy.Mode, delay: float = 0.0) -> None:
        self.mode = mode


# Guards against a run that ends with an error of its own, without a verdict.
def test_a_vm_that_is_added_while_the_store_is_slow_is_left_alone(tmp_path):
    seen = history.History(sites.SITES["nool-stitch"])
    deployed = deployment.Deployment(None, tmp_path, seen, 1, random.Random(1))
    for vm in deployed.vms:
        vm.store_proxy = _Proxy()

    async def add_meanwhile():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.store_slow, deployed, random.Random(1))
            await trio.sleep(0.1)
            added = deployment.Vm(len(deployed.vms), "north-a", "north")
            added.store_proxy = _Proxy()
            deployed.vms.append(added)

    clock = testing.MockClock(autojump_threshold=0)
    trio.run(add_meanwhile, clock=clock)
    added = deployed.vms[-1]
    assert not seen.disturbances[history.store_of(added.name)]
    for vm in deployed.vms:
        assert vm.store_proxy.mode is proxy.Mode.OPEN
        for _, end in seen.disturbances[history.store_of(vm.name)]:
            assert end < float("inf")


class _StandIn:
    """An upstream whose port another program gets when it has crashed."""

    has_crashed = False

    def crash(self) -> None:
        self.has_crashed = True


async def _serve_other(stream):
    with trio.move_on_after(1.0):
        await stream.receive_some(1)
        await stream.send_all(b"404")


# Guards against answers of another program, such as a store, in the place of those of a
# crashed upstream, whose way a later fault has opened again.
def test_no_fault_opens_the_way_to_a_crashed_upstream():
    async def play():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, _serve_other, listeners)
            tcp_proxy = proxy.Proxy(listeners[0].socket.getsockname()[1])
            await nursery.start(tcp_proxy.run)
            crashed = deployment.ProxiedUpstream(_StandIn(), tcp_proxy, "s", "north-a")
            deployed = types.SimpleNamespace(upstreams={"u4": crashed})
            crashed.is_leaving = True
            async with trio.open_nursery() as played:
                played.start_soon(
                    site_faults.upstream_crashes, deployed, random.Random(1)
                )
                await trio.sleep(0.1)
                played.start_soon(faults.upstream_disturbed, deployed, random.Random(1))
            stream = await trio.open_tcp_stream(tcp_proxy.host, tcp_proxy.port)
            try:
                await stream.send_all(b"G")
                return await stream.receive_some(3)
            except trio.BrokenResourceError:
                return b""
            finally:
                nursery.cancel_scope.cancel()

    assert trio.run(play, clock=testing.MockClock(rate=20.0)) == b""


def test_each_form_without_end_is_played_from_one_some_and_all_upstreams():
    played, counts = set(), set()

    async def play(seed):
        upstreams = {
            f"u{index}": types.SimpleNamespace(
                stand_in=types.SimpleNamespace(endless=None)
            )
            for index in range(4)
        }
        deployed = types.SimpleNamespace(
            upstreams=upstreams, observations=history.History()
        )
        stand_ins = [each.stand_in for each in upstreams.values()]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                site_faults.upstreams_send_without_end, deployed, random.Random(seed)
            )
            await trio.sleep(0.9)
            found = {each.endless for each in stand_ins} - {None}
            counts.add(sum(each.endless in found for each in stand_ins))
        assert len(found) == 1
        played.update(found)
        assert 1.0 <= trio.current_time() <= 5.0
        assert not any(each.endless for each in stand_ins)

    for seed in range(200):
        clock = testing.MockClock(autojump_threshold=0)
        trio.run(play, seed, clock=clock)
    assert played == {
        (form, status)
        for form in endless_response.FORMS
        for status in endless_response.STATUSES
    }
    assert counts == {1, 2, 3, 4}
