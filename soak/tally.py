"""Counts what a run showed in the terms of its users' reports."""

from collections.abc import Mapping

# What each violated guarantee counts as.
_KINDS = {
    "processes_do_not_end_by_themselves": "ends by themselves",
    "started_vms_get_ready": "starts over the bound",
    "stops_end_in_time": "stops killed or with an exit code",
    "every_request_is_answered": "requests without an answer",
    "stops_replace_no_answer": "answers replaced at a stop",
}
OTHERS = "violations of others"
# What a stall of the run can't feign.
TIMELESS = frozenset(
    {
        "processes_do_not_end_by_themselves",
        "every_request_is_answered",
        "once_only_requests_run_once",
        "answers_are_the_caller_s_own",
        "requests_run_at_their_service",
        "stops_replace_no_answer",
    }
)


def tally(broken: Mapping[str, list[str]]) -> dict[str, int]:
    """Return the number of violations by kind."""
    counts = dict.fromkeys((*_KINDS.values(), OTHERS), 0)
    for name, violations in broken.items():
        counts[_KINDS.get(name, OTHERS)] += len(violations)
    return counts


def verdict(broken: Mapping[str, list[str]], short_parts: list[str]) -> str:
    """Return ``passed``, ``failed`` or ``no verdict``.

    Parameters
    ----------
    broken : dict of str to list of str
        Violations by guarantee.
    short_parts : list of str
        Parts of the run that were short of a processor.
    """
    if TIMELESS & broken.keys() or broken and not short_parts:
        return "failed"
    return "no verdict" if short_parts else "passed"
