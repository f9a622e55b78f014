"""Steps of a move, as the steering VM decides them."""

from rattanlug.rollout import move_evidence, move_record, move_state

# The move is done after the last share: above 80% too few old requests are left for
# a comparison within seconds.
LADDER = (0.01, 0.04, 0.12, 0.3, 0.5, 0.8)
# Longest part of the remaining time that one stage may take, as weights; the canary
# stage and the first share put few requests at risk, so they get most of the time.
CANARY_WEIGHT = 6.0
FIRST_SHARE_WEIGHT = 3.0
STEP_WEIGHT = 0.5
_STEP_WEIGHTS = (STEP_WEIGHT,) * (len(LADDER) - 1)
# The stages together plan with this part of the time that is left after one takeover
# of the steering lease per stage.
PLANNED_PART = 0.85
TAKEOVER_SECONDS = 7.0
# A close deadline does not leave that much; the stages keep at least the rest.
LARGEST_RESERVE = 0.3
SHORTEST_CANARY_SECONDS = 10.0
SHORTEST_STEP_SECONDS = 4.0
LAST_STEP_SECONDS = 5.0
# New requests per route after which a stage may pass early.
CANARY_REQUESTS = 100
FIRST_SHARE_REQUESTS = 200
STEP_REQUESTS = 50
# While more of the new requests than this meet upstreams that start cold, the share
# waits for the plan's time instead of rising early.
COLD_LIMIT = 0.5
# Part of the evidence for a bad judgement with which no share rises, however late: one
# failed request among the first ones stays below, two of two do not.
SUSPICION_LIMIT = 0.4
CAP_MEMORY_SECONDS = 3.0


def next_step(
    record: move_record.MoveRecord,
    evidence: move_evidence.MoveEvidence,
    now: float,
    wall_now: float,
    term: int,
) -> move_record.MoveRecord:
    """Return the record that should be stored next.

    Parameters
    ----------
    record : move_record.MoveRecord
        The stored record.
    evidence : move_evidence.MoveEvidence
    now : float
        Seconds.
    wall_now : float
        Seconds since the epoch.
    term : int
        Term of the steering lease that the caller holds.

    Returns
    -------
    move_record.MoveRecord
        Equal to ``record`` when there is nothing to write: the move has ended, the
        caller's term is outdated, or the stage goes on.
    """
    if record.state.final or term < record.term:
        return record
    evidence.enter_stage(record, now)
    record = record._replace(term=term)
    if evidence.bad is not None:
        return _take_back(record, evidence.bad.reason)
    if wall_now >= record.deadline:
        return _take_back(record, _reason_at_deadline(evidence, now))
    elapsed = now - evidence.stage_started
    if record.state is move_state.MoveState.WAITING:
        return record._replace(
            state=move_state.MoveState.CANARY, started=wall_now, reason="started"
        )
    if evidence.suspicion > SUSPICION_LIMIT:
        return record
    if record.state is move_state.MoveState.CANARY:
        if _is_due(record, elapsed, SHORTEST_CANARY_SECONDS, wall_now) or (
            elapsed >= SHORTEST_CANARY_SECONDS and _passed(evidence, CANARY_REQUESTS)
        ):
            return record._replace(
                state=move_state.MoveState.RAMPING,
                share=LADDER[0],
                reason="canary passed",
            )
        return record
    if record.share >= LADDER[-1]:
        capped = now - evidence.capped_at < CAP_MEMORY_SECONDS
        due = _is_due(record, elapsed, LAST_STEP_SECONDS, wall_now)
        if not capped and (due or elapsed >= LAST_STEP_SECONDS):
            return record._replace(
                state=move_state.MoveState.DONE, share=1.0, reason="all steps passed"
            )
        return record
    needed = FIRST_SHARE_REQUESTS if record.share <= LADDER[0] else STEP_REQUESTS
    if _is_due(record, elapsed, SHORTEST_STEP_SECONDS, wall_now) or (
        elapsed >= SHORTEST_STEP_SECONDS and _passed(evidence, needed)
    ):
        share = min(step for step in LADDER if step > record.share)
        return record._replace(share=share, reason="step passed")
    return record


def _take_back(record: move_record.MoveRecord, reason: str) -> move_record.MoveRecord:
    return record._replace(
        state=move_state.MoveState.ROLLED_BACK, share=0.0, reason=reason
    )


def _reason_at_deadline(evidence: move_evidence.MoveEvidence, now: float) -> str:
    if now - evidence.capped_at < CAP_MEMORY_SECONDS:
        return "deadline: the cap is below the traffic"
    if evidence.suspicion > SUSPICION_LIMIT:
        return f"deadline, not judged yet: {evidence.suspected}"
    return "deadline"


def _is_due(
    record: move_record.MoveRecord, elapsed: float, shortest: float, wall_now: float
) -> bool:
    """Return whether the time that is planned for a stage has passed.

    The plan counts from the start of the move, so that a takeover of the steering
    lease, which begins the stage's counts anew, does not begin its time anew.
    """
    weights = (CANARY_WEIGHT, FIRST_SHARE_WEIGHT, *_STEP_WEIGHTS)
    index = 0
    if record.state is move_state.MoveState.RAMPING:
        index = 1 + sum(1 for step in LADDER if step < record.share)
    total = record.deadline - record.started
    total -= min(TAKEOVER_SECONDS * len(weights), LARGEST_RESERVE * total)
    unit = PLANNED_PART * total / sum(weights)
    planned_end = record.started + unit * sum(weights[: index + 1])
    # A close deadline shortens every stage; otherwise no move of less than half a
    # minute could end in time.
    least = min(shortest, unit * weights[index])
    return wall_now >= planned_end and elapsed >= least


def _passed(evidence: move_evidence.MoveEvidence, needed: int) -> bool:
    counts = evidence.stage_counts.values()
    requests = sum(item.requests for item in counts)
    cold = sum(item.cold for item in counts)
    return (
        all(item.requests >= needed for item in counts)
        and cold <= COLD_LIMIT * requests
    )
