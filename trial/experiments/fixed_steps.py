"""Baseline: fixed canary steps with a check at the end of each step."""

from rattanlug.rollout import move_state

STEPS = (0.05, 0.25, 0.5, 0.75)
ERROR_MARGIN = 0.01
# A smaller margin rolls back good versions that start with cold caches.
SLOW_MARGIN = 0.3


def next_step(record, totals, now, wall_now, term):
    """Return the next record; ``totals`` are the step's counts of both versions."""
    if record.state.final:
        return record
    record = record._replace(term=term)
    if record.state is move_state.MoveState.WAITING:
        return record._replace(
            state=move_state.MoveState.RAMPING, share=STEPS[0], started=wall_now
        )
    step_duration = 0.9 * (record.deadline - record.started) / len(STEPS)
    step = STEPS.index(record.share)
    if wall_now < record.started + step_duration * (step + 1):
        return record
    old, new = totals
    for bad_old, bad_new, margin in (
        (old.errors, new.errors, ERROR_MARGIN),
        (old.slow, new.slow, SLOW_MARGIN),
    ):
        limit = 2 * bad_old / max(1, old.requests) + margin
        if bad_new / max(1, new.requests) > limit:
            return record._replace(
                state=move_state.MoveState.ROLLED_BACK, share=0.0, reason="step failed"
            )
    if step + 1 == len(STEPS):
        return record._replace(state=move_state.MoveState.DONE, share=1.0)
    return record._replace(share=STEPS[step + 1])
