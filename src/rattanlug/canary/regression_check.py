"""Whether a new version is bad."""

from collections.abc import Iterable

from rattanlug.fleet import outcome_count

# Bad answers needed before anything is said; single ones happen to good versions.
LEAST_BAD = 4
# Share of bad answers by which the new version must exceed the old one.
EXCESS_SHARE = 0.15
# Factor by which it must exceed the old version's share.
EXCESS_RATIO = 3.0


def find_regressed_route(
    service: str, counts: Iterable[outcome_count.OutcomeCount]
) -> outcome_count.OutcomeCount | None:
    """Return the route on which the new version of a service is bad, if any.

    Parameters
    ----------
    service : str
    counts : iterable of outcome_count.OutcomeCount
        Of all VMs, over the last seconds.

    Returns
    -------
    outcome_count.OutcomeCount or None
        Sums over all VMs.
    """
    sums: dict[str, outcome_count.OutcomeCount] = {}
    for each in counts:
        if each.service != service:
            continue
        known = sums.get(each.route)
        sums[each.route] = each if known is None else _added(known, each)
    return next((each for each in sums.values() if _is_bad(each)), None)


def _added(
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


def _is_bad(counts: outcome_count.OutcomeCount) -> bool:
    if counts.new_bad < LEAST_BAD:
        return False
    new_share = counts.new_bad / (counts.new_bad + counts.new_good)
    old_share = counts.old_bad / max(1, counts.old_bad + counts.old_good)
    return new_share >= max(old_share + EXCESS_SHARE, EXCESS_RATIO * old_share)
