"""Tests of the selection of a VM to follow."""

from rattanlug.tables import source_choice


def test_the_first_vm_of_a_region_reads_the_store_and_the_others_follow_it():
    choice = source_choice.SourceChoice()
    assert choice.choose([], 0.0) is None
    assert choice.choose(["a", "b"], 0.0) == "a"


def test_a_vm_that_failed_as_a_source_is_avoided_for_some_time():
    choice = source_choice.SourceChoice()
    choice.record_failure("a", 1.0)
    assert choice.choose(["a", "b"], 1.1) == "b"
    choice.record_failure("b", 1.2)
    assert choice.choose(["a", "b"], 1.3) is None
    assert choice.choose(["a", "b"], 1.0 + source_choice.AVOID_SECONDS) == "a"
    choice.record_success("b")
    assert choice.choose(["b"], 1.4) == "b"


def test_only_the_first_vms_are_tried_before_the_store_is_read():
    # While a region can't reach the store, each of its VMs has to detect quickly
    # whether it can reach the store itself.
    choice = source_choice.SourceChoice()
    names = [f"vm-{index}" for index in range(20)]
    for name in names[: source_choice.MAX_SOURCES]:
        choice.record_failure(name, 0.0)
    assert choice.choose(names, 0.1) is None
