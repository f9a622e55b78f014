"""``link REGION/REGION bits_per_second=NUMBER``."""

from rattanlug.model import link
from rattanlug.rules import diagnostic, registry, rule_set, values


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
    """Yield diagnostics for unknown regions, equal ends and duplicate pairs."""
    regions = {
        each.line.fields["region"].text
        for each in rules.of_kind("data_centre")
        if "region" in each.line.fields
    }
    seen = {}
    for each in rules.of_kind("link"):
        number, column = each.line.number, each.line.name.column
        regions_of_link = each.line.name.text.split("/")
        for region in regions_of_link:
            if region not in regions:
                accepted = rule_set.list_names(regions, "data_centre")
                yield diagnostic.Diagnostic(
                    number, column, f"unknown region {region!r}", accepted
                )
        if regions_of_link[0] == regions_of_link[1]:
            yield diagnostic.Diagnostic(
                number, column, "both ends are the same region", "two regions"
            )
        # Links with equal names are reported as duplicate names by the parser.
        first = seen.setdefault(frozenset(regions_of_link), each)
        if first.line.name.text != each.line.name.text:
            yield diagnostic.Diagnostic(
                number,
                column,
                f"link of the same regions as line {first.line.number}",
                "one link for each pair of regions, in either order",
            )
