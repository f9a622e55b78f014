"""Encodes the records of moves."""

import json

from rattanlug.canary import rollout_record, rollout_state

TABLE = "rattanlug-moves"


class UnreadableRecordError(ValueError):
    """A stored record does not have the expected shape."""


def encode(record: rollout_record.RolloutRecord) -> bytes:
    """Encode a record without the version of its row."""
    found = record._asdict()
    del found["row_version"]
    found["state"] = record.state.value
    return json.dumps(found, separators=(",", ":")).encode()


def decode(data: bytes, row_version: int) -> rollout_record.RolloutRecord:
    """Decode a record.

    Raises
    ------
    UnreadableRecordError
    """
    try:
        found = json.loads(data)
        return rollout_record.RolloutRecord(
            service=str(found["service"]),
            order_version=int(found["order_version"]),
            target=str(found["target"]),
            base=tuple(str(each) for each in found["base"]),
            began=float(found["began"]),
            duration=float(found["duration"]),
            state=rollout_state.RolloutState(found["state"]),
            reason=str(found["reason"]),
            row_version=row_version,
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise UnreadableRecordError(str(exc)) from exc
