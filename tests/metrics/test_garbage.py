"""Tests of counting what the collector of reference cycles frees."""

import gc

from rattanlug.metrics import counters, garbage


# Guards against metrics that don't tell memory in reference cycles from other memory.
def test_collected_cycles_are_counted():
    all_counters = counters.Counters()
    counter = garbage.GarbageCounter(all_counters)
    counter.start()
    try:
        cycle = []
        cycle.append(cycle)
        del cycle
        gc.collect()
    finally:
        counter.stop()
    assert all_counters.value("garbage_collections", generation="2") == 1
    assert all_counters.value("garbage_collected_objects", generation="2") >= 1
