"""Tests that a lease is invalid before another VM may take over the seat."""

import pytest

from rattanlug.seats import lease, local_contact, observed_row, seat_row, takeover

ROW = seat_row.SeatRow("vm", 1, 1, 4)


def _lease():
    return lease.SeatLease(7, ROW, 100.0, 100.0, 0.0, 0.0)


@pytest.mark.parametrize(
    ("contacts", "now", "valid"),
    [
        ([], 110.0, True),
        ([], 110.1, False),
        ([99.0 + second for second in range(20)], 118.5, True),
        ([99.0 + second for second in range(20)], 120.1, False),
        ([99.0 + second for second in range(8)] + [109.0, 110.0], 110.5, False),
        ([101.0 + second for second in range(10)], 110.5, False),
    ],
)
def test_an_old_lease_needs_continuous_local_contact(contacts, now, valid):
    contact = local_contact.LocalContact()
    for contact_at in contacts:
        contact.record(contact_at, contact_at)
    assert _lease().valid(contact, now) is valid


def test_a_response_that_is_read_after_a_pause_does_not_count():
    contact = local_contact.LocalContact()
    for contact_at in range(95, 106):
        contact.record(float(contact_at), float(contact_at))
    contact.record(105.5, 140.0)
    assert not _lease().valid(contact, 140.0)
    contact.record(140.1, 140.2)
    assert not _lease().valid(contact, 140.2)


@pytest.mark.parametrize(
    ("row", "unchanged_for", "silent_for", "allowed"),
    [
        (None, 0.0, [0.0], True),
        (ROW._replace(vm=""), 0.0, [0.0], True),
        (ROW, 10.9, [99.0, 99.0], False),
        (ROW, 11.0, [11.0, 10.9], False),
        (ROW, 11.0, [11.0, 11.0], True),
    ],
)
def test_a_takeover_needs_an_unchanged_row_and_silence_towards_every_vm(
    row, unchanged_for, silent_for, allowed
):
    observed = observed_row.ObservedRow(7, row, 50.0, 50.0 + unchanged_for)
    assert takeover.may_take_over(observed, silent_for) is allowed
