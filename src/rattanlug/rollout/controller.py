"""State machine of a move, run by the steering VM.

A move shifts the traffic of a service gradually from one version to another. The
steering VM is the one that holds the steering lease.
"""

from rattanlug.rollout import move_evidence, move_record, move_state

# Shares of requests that the new version gets, one stage each. The move is done after
# the last one: above 80%, too few requests go to the old version for a comparison
# within seconds.
RAMP_SHARES = (0.01, 0.04, 0.12, 0.3, 0.5, 0.8)
# Weights by which the planned time is divided among the stages. The canary stage and
# the first share put few requests at risk, so they get most of the time.
CANARY_WEIGHT = 6.0
FIRST_SHARE_WEIGHT = 3.0
STEP_WEIGHT = 0.5
_STEP_WEIGHTS = (STEP_WEIGHT,) * (len(RAMP_SHARES) - 1)
# Share of the available time that all stages together are planned to take. Available is
# the time from start to deadline without a reserve for takeovers of the steering lease,
# one per stage.
PLANNED_SHARE = 0.85
TAKEOVER_SECONDS = 7.0
# Upper limit of the time reserved for takeovers, as a share of the whole time, so that
# a move with a close deadline keeps time for its stages.
MAX_RESERVE_SHARE = 0.3
MIN_CANARY_SECONDS = 10.0
MIN_STEP_SECONDS = 4.0
MIN_LAST_STEP_SECONDS = 5.0
# Requests to the new version on each route after which a stage may end early.
MIN_CANARY_REQUESTS = 100
MIN_FIRST_SHARE_REQUESTS = 200
MIN_STEP_REQUESTS = 50
# If a larger share of the requests to the new version go to cold upstreams, a stage
# does not end before its planned time.
MAX_COLD_SHARE = 0.5
# Evidence, as a fraction of the limit for a bad verdict, above which the share does not
# increase even if the planned time is over. One failed request among the first ones is
# below this value, two failures in two requests are above it.
MAX_EVIDENCE_RATIO_TO_PROCEED = 0.4
# Time for which a VM's report counts that the cap, the move's maximum rate of requests
# to the new version, has limited its requests.
CAP_REPORT_LIFETIME_SECONDS = 3.0


def next_step(
    record: move_record.MoveRecord,
    evidence: move_evidence.MoveEvidence,
    now: float,
    wall_now: float,
    term: int,
) -> move_record.MoveRecord:
    """Return the record to store next.

    Parameters
    ----------
    record : move_record.MoveRecord
        The stored record.
    evidence : move_evidence.MoveEvidence
        Counts and verdict on the new version so far.
    now : float
        Seconds on this VM's monotonic clock.
    wall_now : float
        Seconds since the epoch.
    term : int
        Term of the steering lease that the caller holds.

    Returns
    -------
    move_record.MoveRecord
        Equal to ``record`` if there is nothing to write: the move has ended, the term
        is outdated, or the current stage continues.
    """
    if record.state.final or term < record.term:
        return record
    evidence.enter_stage(record, now)
    record = record._replace(term=term)
    if evidence.bad is not None:
        return _roll_back(record, evidence.bad.reason)
    if wall_now >= record.deadline:
        return _roll_back(record, _reason_at_deadline(evidence, now))
    elapsed = now - evidence.stage_started
    if record.state is move_state.MoveState.WAITING:
        return record._replace(
            state=move_state.MoveState.CANARY, started=wall_now, reason="started"
        )
    if evidence.evidence_ratio > MAX_EVIDENCE_RATIO_TO_PROCEED:
        return record
    if record.state is move_state.MoveState.CANARY:
        if _is_due(record, elapsed, MIN_CANARY_SECONDS, wall_now) or (
            elapsed >= MIN_CANARY_SECONDS
            and _may_end_early(evidence, MIN_CANARY_REQUESTS)
        ):
            return record._replace(
                state=move_state.MoveState.RAMPING,
                share=RAMP_SHARES[0],
                reason="canary passed",
            )
        return record
    if record.share >= RAMP_SHARES[-1]:
        capped = now - evidence.last_capped_at < CAP_REPORT_LIFETIME_SECONDS
        due = _is_due(record, elapsed, MIN_LAST_STEP_SECONDS, wall_now)
        if not capped and (due or elapsed >= MIN_LAST_STEP_SECONDS):
            return record._replace(
                state=move_state.MoveState.DONE, share=1.0, reason="all steps passed"
            )
        return record
    min_requests = (
        MIN_FIRST_SHARE_REQUESTS
        if record.share <= RAMP_SHARES[0]
        else MIN_STEP_REQUESTS
    )
    if _is_due(record, elapsed, MIN_STEP_SECONDS, wall_now) or (
        elapsed >= MIN_STEP_SECONDS and _may_end_early(evidence, min_requests)
    ):
        share = min(step for step in RAMP_SHARES if step > record.share)
        return record._replace(share=share, reason="step passed")
    return record


def _roll_back(record: move_record.MoveRecord, reason: str) -> move_record.MoveRecord:
    return record._replace(
        state=move_state.MoveState.ROLLED_BACK, share=0.0, reason=reason
    )


def _reason_at_deadline(evidence: move_evidence.MoveEvidence, now: float) -> str:
    if now - evidence.last_capped_at < CAP_REPORT_LIFETIME_SECONDS:
        return "deadline: the cap is below the traffic"
    if evidence.evidence_ratio > MAX_EVIDENCE_RATIO_TO_PROCEED:
        return f"deadline, not judged yet: {evidence.strongest_evidence}"
    return "deadline"


def _is_due(
    record: move_record.MoveRecord,
    elapsed: float,
    min_stage_seconds: float,
    wall_now: float,
) -> bool:
    """Return whether the planned time of a stage has passed.

    The planned time is relative to the start of the move. A takeover of the steering
    lease therefore resets the counts of a stage but not its planned end.
    """
    weights = (CANARY_WEIGHT, FIRST_SHARE_WEIGHT, *_STEP_WEIGHTS)
    index = 0
    if record.state is move_state.MoveState.RAMPING:
        index = 1 + sum(1 for step in RAMP_SHARES if step < record.share)
    total = record.deadline - record.started
    total -= min(TAKEOVER_SECONDS * len(weights), MAX_RESERVE_SHARE * total)
    unit = PLANNED_SHARE * total / sum(weights)
    planned_end = record.started + unit * sum(weights[: index + 1])
    # A close deadline also shortens the minimum time of each stage; otherwise a move of
    # less than half a minute could not end in time.
    min_seconds = min(min_stage_seconds, unit * weights[index])
    return wall_now >= planned_end and elapsed >= min_seconds


def _may_end_early(evidence: move_evidence.MoveEvidence, min_requests: int) -> bool:
    counts = evidence.stage_counts.values()
    requests = sum(item.requests for item in counts)
    cold = sum(item.cold for item in counts)
    return (
        all(item.requests >= min_requests for item in counts)
        and cold <= MAX_COLD_SHARE * requests
    )
