"""The capacity page and its command agree."""

import pathlib

import pytest

from trial.capacity import __main__ as command
from trial.capacity import fleet, page, registry

_PAGE = (pathlib.Path(__file__).parents[3] / "docs" / "CAPACITY.md").read_text()


@pytest.mark.parametrize("name", list(registry.MEASUREMENTS))
def test_every_measurement_has_its_place_on_the_page(name):
    # Fails if a run would end without writing the figures that it measured.
    assert page.replace_table(_PAGE, name, "| new |").count("| new |") == 1


def test_every_place_on_the_page_has_a_measurement():
    # Fails if a table could grow old because nothing repeats it.
    assert _PAGE.count("<!-- measured: ") == len(registry.MEASUREMENTS)
    assert command.registry is registry


def test_a_page_without_the_place_is_refused():
    # Fails if figures were lost silently.
    with pytest.raises(ValueError, match="0 times"):
        page.replace_table("text", "gossip", "| new |")


def test_bytes_do_not_follow_the_members():
    # Fails if an idle daemon's traffic grew with the number of members.
    small, large = (fleet.Fleet(vms, 6) for vms in (24, 48))
    for members in (small, large):
        members.run(1)
    assert large.measure(2).bytes_s < 1.02 * small.measure(2).bytes_s
