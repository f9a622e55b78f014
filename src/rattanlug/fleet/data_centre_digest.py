"""The report of a data centre, made from those of its VMs."""

from collections.abc import Iterable, Sequence

from rattanlug.fleet import digest, member, outcome_count


def is_reporter(own_vm: str, leaving: bool, live: Iterable[member.Member]) -> bool:
    """Tell whether a VM reports for its data centre.

    The first live one does; one that leaves only if no other stays, since nobody else
    would tell of it. While two disagree about who lives, both report, which costs
    bytes and changes nothing.
    """
    staying = [each.vm for each in live if not each.leaving]
    return not staying if leaving else all(vm > own_vm for vm in staying)


def aggregate(
    own: digest.Digest,
    others: Sequence[digest.Digest],
    live: Iterable[member.Member],
) -> digest.Digest:
    """Return the report of a data centre.

    Parameters
    ----------
    own : digest.Digest
        Digest of the reporting VM.
    others : sequence of digest.Digest
        Reports of the other VMs of the data centre whose demand still counts.
    live : iterable of member.Member
        The other VMs of the data centre that were heard lately.
    """
    demand: dict[str, float] = {}
    reverted: set[int] = set()
    outcomes: dict[tuple[str, str], outcome_count.OutcomeCount] = {}
    for report in (own, *others):
        reverted.update(report.reverted)
        for name, rate in report.demand.items():
            demand[name] = demand.get(name, 0.0) + rate
        for each in report.outcomes:
            key = (each.service, each.route)
            outcomes[key] = _sum(outcomes.get(key), each)
    first = member.Member(
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
        members=(first, *live),
    )


def _sum(
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
