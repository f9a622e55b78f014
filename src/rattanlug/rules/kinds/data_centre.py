"""``data_centre NAME region=NAME vms=COUNT``."""

from rattanlug.model import data_centre
from rattanlug.rules import diagnostic, registry, values


@registry.rule_kind(
    "data_centre", fields={"region": values.name, "vms": values.count_or_zero}
)
def build_data_centre(parts, fields):
    """Return the record of a ``data_centre`` line."""
    return data_centre.DataCentre(parts[0], fields["region"], fields["vms"])


@registry.cross_check
def check_seats(rules):
    """Yield a diagnostic if there are rules but no data centre has a seat.

    Without seats, all shares of rates and slots are zero and no request is admitted.
    """
    seats = [each.record.vms for each in rules.valid("data_centre")]
    complete = len(seats) == len(rules.of_kind("data_centre"))
    if any(rules.rules.values()) and complete and not sum(seats):
        first = min(each[0].line.number for each in rules.rules.values() if each)
        places = rules.of_kind("data_centre")
        number = places[0].line.number if places else first
        column = places[0].line.fields["vms"].column if places else 1
        yield diagnostic.Diagnostic(
            number, column, "no seats", "a data_centre with vms of at least 1"
        )
