"""Guards against a holder that believes its lease after another VM could take it."""

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
def test_past_the_lease_only_unbroken_local_contact_counts(contacts, now, valid):
    contact = local_contact.LocalContact()
    for moment in contacts:
        contact.record(moment, moment)
    assert _lease().valid(contact, now) is valid


def test_an_answer_that_waited_out_a_pause_does_not_count():
    contact = local_contact.LocalContact()
    for moment in range(95, 106):
        contact.record(float(moment), float(moment))
    contact.record(105.5, 140.0)
    assert not _lease().valid(contact, 140.0)
    contact.record(140.1, 140.2)
    assert not _lease().valid(contact, 140.2)


@pytest.mark.parametrize(
    ("row", "stood_for", "silent_for", "allowed"),
    [
        (None, 0.0, [0.0], True),
        (ROW._replace(vm=""), 0.0, [0.0], True),
        (ROW, 10.9, [99.0, 99.0], False),
        (ROW, 11.0, [11.0, 10.9], False),
        (ROW, 11.0, [11.0, 11.0], True),
    ],
)
def test_a_takeover_needs_the_row_and_every_peer(row, stood_for, silent_for, allowed):
    observed = observed_row.ObservedRow(7, row, 50.0, 50.0 + stood_for)
    assert takeover.may_take_over(observed, silent_for) is allowed
