"""Steps of a move, as the steering VM decides them."""

from rattanlug.rollout import move_evidence, move_record, move_state

# The move is done after the last share: above 80% too few old requests are left for
# a comparison within seconds.
LADDER = (0.01, 0.04, 0.12, 0.3, 0.5, 0.8)
# Longest part of the remaining time that one stage may take, as weights; the canary
# stage and the first share put few requests at risk, so they get most of the time.
CANARY_WEIGHT = 6.0
FIRST_SHARE_WEIGHT = 3.0
# The stages together plan with this part of the time; the rest covers takeovers.
PLANNED_PART = 0.8
# A stage lasts this much longer than planned: VMs report every 0.5 s, and the row is
# written and read again, three round trips to the store.
STAGE_OVERHEAD_SECONDS = 0.8
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
    longest = _longest(record, elapsed, wall_now)
    if record.state is move_state.MoveState.CANARY:
        if elapsed >= longest or (
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
        if elapsed >= min(LAST_STEP_SECONDS, longest) and not capped:
            return record._replace(
                state=move_state.MoveState.DONE, share=1.0, reason="all steps passed"
            )
        return record
    needed = FIRST_SHARE_REQUESTS if record.share <= LADDER[0] else STEP_REQUESTS
    if elapsed >= longest or (
        elapsed >= SHORTEST_STEP_SECONDS and _passed(evidence, needed)
    ):
        share = min(step for step in LADDER if step > record.share)
        return record._replace(share=share, reason="step passed")
    return record


def _take_back(record: move_record.MoveRecord, reason: str) -> move_record.MoveRecord:
    return record._replace(
        state=move_state.MoveState.TAKEN_BACK, share=0.0, reason=reason
    )


def _reason_at_deadline(evidence: move_evidence.MoveEvidence, now: float) -> str:
    if now - evidence.capped_at < CAP_MEMORY_SECONDS:
        return "deadline: the cap is below the traffic"
    return "deadline"


def _longest(record: move_record.MoveRecord, elapsed: float, wall_now: float) -> float:
    steps_left = sum(1 for step in LADDER if step > max(record.share, LADDER[0]))
    if record.state is move_state.MoveState.CANARY:
        own, later = CANARY_WEIGHT, FIRST_SHARE_WEIGHT + STEP_WEIGHT * steps_left
    elif record.share <= LADDER[0]:
        own, later = FIRST_SHARE_WEIGHT, STEP_WEIGHT * steps_left
    else:
        own, later = 1.0, float(steps_left)
    overhead = STAGE_OVERHEAD_SECONDS * (steps_left + 1)
    total = max(0.0, record.deadline - wall_now - overhead) + elapsed
    # A deadline that is close shortens every stage; the shortest lengths above hold
    # for passing early only, since otherwise no move of less than a minute could end.
    return PLANNED_PART * total * own / (own + later)


def _passed(evidence: move_evidence.MoveEvidence, needed: int) -> bool:
    counts = evidence.stage_counts.values()
    requests = sum(item.requests for item in counts)
    cold = sum(item.cold for item in counts)
    return (
        all(item.requests >= needed for item in counts)
        and cold <= COLD_LIMIT * requests
        and evidence.suspicion <= SUSPICION_LIMIT
    )
