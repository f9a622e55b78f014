"""``organisation NAME rate=NUMBER burst=NUMBER``.

The rate is in requests per second, the burst in requests, both for the whole fleet.
"""

from rattanlug.model import organisation
from rattanlug.rules import registry, values


@registry.rule_kind(
    "organisation",
    fields={"rate": values.number_above_zero, "burst": values.number_from_one},
)
def build_organisation(parts, fields):
    """Return the record of an ``organisation`` line."""
    return organisation.Organisation(parts[0], fields["rate"], fields["burst"])
