"""Tests of a VM that knows later transactions than the VM that it follows."""

import trio

from rattanlug.daemon import clock
from rattanlug.gateway import store_reader
from rattanlug.platform import names
from rattanlug.tables import store_read
from tests.gateway import caller, test_store_reader


def answers(vm):
    return sum(
        value for name, _, value in vm.node.counters.items() if name == "table_answers"
    )


# Guards against a VM that asks the one that it follows without a pause, since what it
# gets precedes what it knows and its copy stays too old: the store has come back from a
# copy, and the other VM has started since.
@caller.in_trio
async def test_a_vm_that_is_ahead_of_its_source_follows_with_pauses():
    async with test_store_reader.three_vms() as (deployment, vms):
        source, node = vms[0], vms[1].node
        later = store_read.StoreRead(
            [],
            deployment.store.version + 1000,
            trio.current_time(),
            clock.now(),
            node.tables.copy(names.OPERATOR_TABLE).era,
        )
        waits = store_reader.feed_waits(node.settings.bounds)
        for table in (names.OPERATOR_TABLE, names.UPSTREAM_TABLE):
            assert node.tables.apply_read(table, later, False, clock.now()) is not None
        await trio.sleep(max(map(store_reader.max_age, waits.values())) + 0.2)
        before = answers(source)
        await trio.sleep(1.0)
        # Two VMs follow it.
        assert answers(source) - before < 40
