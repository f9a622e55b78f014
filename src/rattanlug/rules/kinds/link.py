"""``link REGION/REGION bits_per_second=NUMBER``."""

from rattanlug.model import link
from rattanlug.rules import fault, registry, rule_set, values


@registry.rule_kind(
    "link",
    parts=("region", "region"),
    fields={"bits_per_second": values.number_above_zero},
)
def build_link(parts, fields):
    """Return the record of a ``link`` line."""
    return link.Link(parts[0], parts[1], fields["bits_per_second"])


@registry.cross_check
def check_links(rules):
    """Yield faults for unknown regions, equal ends and pairs named twice."""
    regions = {
        each.line.fields["region"].text
        for each in rules.of_kind("data_centre")
        if "region" in each.line.fields
    }
    seen = {}
    for each in rules.of_kind("link"):
        number, column = each.line.number, each.line.name.column
        ends = each.line.name.text.split("/")
        for region in ends:
            if region not in regions:
                accepted = rule_set.list_names(regions, "data_centre")
                yield fault.Fault(
                    number, column, f"unknown region {region!r}", accepted
                )
        if ends[0] == ends[1]:
            yield fault.Fault(
                number, column, "both ends are the same region", "two regions"
            )
        # An equal spelling is reported with the duplicate names.
        first = seen.setdefault(frozenset(ends), each)
        if first.line.name.text != each.line.name.text:
            yield fault.Fault(
                number,
                column,
                f"link of the same regions as line {first.line.number}",
                "one link for each pair of regions, in either order",
            )
