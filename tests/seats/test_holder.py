"""Tests that seats are taken, renewed and released at the right time.

A seat is a fixed share of the fleet-wide limits, which a VM leases.
"""

import pytest

from rattanlug.model import configuration, data_centre
from rattanlug.seats import holder, plan, seat_row


def _holder(vm="vm-1", seats=1):
    centres = {"a1": data_centre.DataCentre("a1", "a", seats)}
    result = holder.SeatHolder(vm, 1, "a1")
    rules = configuration.Configuration(1, data_centres=centres)
    result.apply(plan.SeatPlan(rules), accepted_at=-100.0)
    return result


def _take_seats(subject, now=0.0, rows=None):
    subject.record_scan(rows or {}, now, now)
    writes = subject.next_writes(now, {})
    subject.record_commit(range(10, 10 + len(writes)), now, now)
    return writes


def _row(vm, term=4, renewals=2):
    return seat_row.SeatRow(vm, 1, term, renewals)


def test_a_free_seat_is_taken_with_empty_buckets():
    subject = _holder()
    (write,) = _take_seats(subject)
    assert write == ("a1/0", 0, seat_row.SeatRow("vm-1", 1, 1, 0))
    (held,) = subject.usable_seats(0.0)
    assert (held.share, held.tokens_from, held.slots_from) == (1.0, 1.1, 0.0)
    assert subject.usable_seats(10.0) and not subject.usable_seats(10.1)


def test_slots_of_a_lapsed_seat_are_usable_after_the_longest_deadline():
    subject = _holder()
    rows = {"a1/0": (7, _row("vm-2"))}
    subject.record_scan(rows, 0.0, 0.1)
    silent_for = {("vm-2", 1): [11.0]}
    subject.record_scan(rows, 11.0, 11.1)
    assert not subject.next_writes(11.1, silent_for)
    subject.record_scan(rows, 11.2, 11.3)
    assert not subject.next_writes(11.3, {("vm-2", 1): [11.0, 10.0]})
    assert not subject.next_writes(11.3, {})
    (write,) = subject.next_writes(11.3, silent_for)
    assert write == ("a1/0", 7, _row("vm-1", 5, 0))
    subject.record_commit([8], 11.3, 11.4)
    (held,) = subject.usable_seats(11.4)
    assert held.tokens_from == pytest.approx(12.5)
    assert held.slots_from == pytest.approx(22.4)


def test_a_renewal_counts_from_when_it_was_sent():
    subject = _holder()
    _take_seats(subject)
    assert not subject.next_writes(2.9, {})
    (write,) = subject.next_writes(3.0, {})
    assert (write.expected, write.row.renewals) == (10, 1)
    assert not subject.next_writes(3.5, {})
    subject.record_commit([11], 3.0, 6.0)
    assert subject.usable_seats(13.0) and not subject.usable_seats(13.1)


def test_a_seat_is_unused_until_renewed_if_the_takeover_response_was_lost():
    subject = _holder()
    subject.record_scan({}, 0.0, 0.0)
    (write,) = subject.next_writes(0.0, {})
    subject.record_unknown_outcome()
    assert subject.wants_scan(0.5)
    subject.record_scan({"a1/0": (10, write.row)}, 0.5, 0.6)
    assert not subject.usable_seats(0.6)
    (renewal,) = subject.next_writes(0.6, {})
    subject.record_commit([11], 0.6, 0.7)
    assert renewal.expected == 10 and subject.usable_seats(0.7)


def test_renewals_continue_with_the_new_revision_after_a_lost_response():
    subject = _holder()
    _take_seats(subject)
    (write,) = subject.next_writes(3.0, {})
    subject.record_unknown_outcome()
    (again,) = subject.next_writes(4.0, {})
    subject.record_conflict("a1/0", 11, write.row, 4.0, 4.1)
    (last,) = subject.next_writes(4.2, {})
    assert (again.expected, last.expected, last.row.renewals) == (10, 11, 2)


def test_a_seat_that_another_vm_has_taken_is_lost_at_once():
    subject = _holder()
    _take_seats(subject)
    subject.next_writes(3.0, {})
    subject.record_conflict("a1/0", 12, _row("vm-2"), 3.0, 3.1)
    assert not subject.usable_seats(3.1) and not subject.seats


def test_a_seat_is_released_only_when_nothing_uses_it():
    subject = _holder()
    _take_seats(subject)
    subject.leave()
    assert not subject.usable_seats(0.5) and subject.releasing == ("a1/0",)
    (renewal,) = subject.next_writes(3.0, {})
    assert renewal.row.vm == "vm-1"
    subject.record_commit([11], 3.0, 3.0)
    subject.finish_release("a1/0")
    (write,) = subject.next_writes(3.1, {})
    assert (write.expected, write.row.vm) == (11, "")
    subject.record_commit([12], 3.1, 3.1)
    assert not subject.seats and not subject.next_writes(9.0, {})


def test_a_vm_with_a_seat_lets_other_vms_take_a_free_one_first():
    subject = _holder(seats=2)
    _take_seats(subject)
    assert not _take_seats(subject, 1.0)
    for second in (2, 4, 8, 12):
        subject.record_scan({"a1/0": (10, _row("vm-1"))}, second, second)
    assert len(subject.seats) == 1


def test_a_new_vm_requests_a_seat_of_one_that_holds_two():
    subject = _holder(seats=2)
    rows = {"a1/0": (1, _row("vm-2")), "a1/1": (2, _row("vm-2"))}
    subject.record_scan(rows, 0.0, 0.0)
    assert subject.vm_with_spare_seat(0.0) == "vm-2"
    subject.record_scan({**rows, "a1/1": (3, _row(""))}, 1.0, 1.0)
    assert subject.vm_with_spare_seat(1.0) is None
    (write,) = subject.next_writes(1.0, {})
    assert write.seat == "a1/1"
