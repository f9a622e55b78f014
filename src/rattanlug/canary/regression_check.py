"""Detects that a new version of a service is worse than the old one."""

from collections.abc import Iterable

from rattanlug.fleet import outcome_count

# Minimum number of bad responses; good versions have single ones too.
MIN_BAD_RESPONSES = 4
# Margin by which the new version's share of bad responses must exceed the old one's.
EXCESS_SHARE = 0.15
# Factor by which the new version's share must exceed the old one's.
EXCESS_RATIO = 3.0


def find_regressed_route(
    service: str, counts: Iterable[outcome_count.OutcomeCount]
) -> outcome_count.OutcomeCount | None:
    """Return the outcomes on a route where the new version is worse, or None.

    Parameters
    ----------
    service : str
    counts : iterable of outcome_count.OutcomeCount
        Outcomes of the last seconds, from all VMs.

    Returns
    -------
    outcome_count.OutcomeCount or None
        Sums over all VMs.
    """
    sums: dict[str, outcome_count.OutcomeCount] = {}
    for each in counts:
        if each.service != service:
            continue
        subtotal = sums.get(each.route)
        sums[each.route] = each if subtotal is None else _add(subtotal, each)
    return next((each for each in sums.values() if _is_regressed(each)), None)


def _add(
    first: outcome_count.OutcomeCount, second: outcome_count.OutcomeCount
) -> outcome_count.OutcomeCount:
    return outcome_count.OutcomeCount(
        first.service,
        first.route,
        first.new_good + second.new_good,
        first.new_bad + second.new_bad,
        first.old_good + second.old_good,
        first.old_bad + second.old_bad,
    )


def _is_regressed(counts: outcome_count.OutcomeCount) -> bool:
    if counts.new_bad < MIN_BAD_RESPONSES:
        return False
    new_share = counts.new_bad / (counts.new_bad + counts.new_good)
    old_share = counts.old_bad / max(1, counts.old_bad + counts.old_good)
    return new_share >= max(old_share + EXCESS_SHARE, EXCESS_RATIO * old_share)
