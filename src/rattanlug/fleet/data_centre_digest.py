"""Aggregates the digests of a data centre's VMs into one digest."""

from collections.abc import Iterable, Sequence

from rattanlug.fleet import digest, member, outcome_count


def is_reporter(own_vm: str, leaving: bool, live: Iterable[member.Member]) -> bool:
    """Tell whether this VM reports for its data centre.

    The reporter sends the digest of its data centre to the other data centres. It is
    the first live VM by name. A leaving VM reports only if all others are leaving too,
    since no other VM would then report for the data centre. While two VMs disagree
    about which VMs are alive, both report, which is redundant but harmless.
    """
    remaining = [each.vm for each in live if not each.leaving]
    return not remaining if leaving else all(vm > own_vm for vm in remaining)


def aggregate(
    own: digest.Digest,
    others: Sequence[digest.Digest],
    live: Iterable[member.Member],
) -> digest.Digest:
    """Return the digest of a data centre.

    Parameters
    ----------
    own : digest.Digest
        Digest of the reporting VM.
    others : sequence of digest.Digest
        Digests of the data centre's other VMs whose demand hasn't expired.
    live : iterable of member.Member
        The data centre's other VMs that are alive.
    """
    demand: dict[str, float] = {}
    reverted: set[int] = set()
    outcomes: dict[tuple[str, str], outcome_count.OutcomeCount] = {}
    store_era = max(each.store_era for each in (own, *others))
    for report in (own, *others):
        # Row versions of an earlier era may be given out again.
        if report.store_era in (0, store_era):
            reverted.update(report.reverted)
        for name, rate in report.demand.items():
            demand[name] = demand.get(name, 0.0) + rate
        for each in report.outcomes:
            key = (each.service, each.route)
            outcomes[key] = _add(outcomes.get(key), each)
    own_member = member.Member(
        own.vm,
        own.incarnation,
        own.sequence,
        own.host,
        own.port,
        own.leaving,
        own.overloaded,
        0.0,
    )
    return own._replace(
        demand=demand,
        outcomes=tuple(outcomes.values()),
        reverted=tuple(sorted(reverted)),
        members=(own_member, *live),
        store_era=store_era,
    )


def _add(
    first: outcome_count.OutcomeCount | None, second: outcome_count.OutcomeCount
) -> outcome_count.OutcomeCount:
    if first is None:
        return second
    return outcome_count.OutcomeCount(
        first.service,
        first.route,
        first.new_good + second.new_good,
        first.new_bad + second.new_bad,
        first.old_good + second.old_good,
        first.old_bad + second.old_bad,
    )
