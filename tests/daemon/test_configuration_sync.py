"""Guards against versions that are reverted, lost between VMs or partly applied."""

import pytest

from rattanlug.configuration import offer_result
from rattanlug.daemon import (
    active_configuration,
    configuration_sync,
    stored_version,
)
from rattanlug.errors import error

SEATS = "data_centre dc region=r vms=1  # test\n"
LINES = [f"organisation o{n} rate=1 burst=1  # test\n" for n in range(4)]


def make_sync():
    active = active_configuration.ActiveConfiguration("dc")
    sync = configuration_sync.ConfigurationSync(
        active, None, None, None, None, lambda: 0.0, lambda: 0.0
    )
    return active, sync


def version(number):
    text = SEATS + "".join(LINES[:number])
    return stored_version.StoredVersion(number, f"author {number}", 7.0, text)


def test_peer_that_is_behind_gets_deltas_or_else_the_full_text():
    active, sync = make_sync()
    for number in (1, 2, 3):
        assert sync.apply(version(number))
    other_active, other = make_sync()
    other.apply(version(1))
    steps = sync.to_message(1, other_active.digest)
    assert len(steps.deltas) == 2 and steps.compressed_text is None
    assert other.apply_message(steps) is offer_result.OfferResult.APPLIED
    assert other.current == version(3)
    _, newcomer = make_sync()
    assert newcomer.apply_message(steps) is offer_result.OfferResult.NEEDS_TEXT
    newcomer.apply_message(sync.to_message())
    assert newcomer.current == version(3)


def test_lower_version_changes_nothing():
    active, sync = make_sync()
    sync.apply(version(3))
    assert not sync.apply(version(2))
    assert active.configuration.version == 3 and sync.current == version(3)


def test_rules_that_this_release_cannot_parse_change_nothing():
    active, sync = make_sync()
    sync.apply(version(1))
    with pytest.raises(error.InvalidInputError):
        sync.apply(version(2)._replace(rules=SEATS + "future thing=1  # test\n"))
    assert active.configuration.version == 1 and sync.newest == version(1)
    assert sync.apply(version(2))
    assert active.text == version(2).rules
