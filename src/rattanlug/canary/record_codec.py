"""Encodes and decodes the rollout records in the store."""

import json
import math

from rattanlug.canary import rollout_record, rollout_state
from rattanlug.encoding import json_text

TABLE = "rattanlug-moves"


class UnreadableRecordError(ValueError):
    """A stored record does not have the expected shape."""


def encode(record: rollout_record.RolloutRecord) -> bytes:
    """Encode a record; the row's version and era aren't part of the value."""
    fields = record._asdict()
    del fields["row_version"], fields["row_era"]
    fields["state"] = record.state.value
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(
    data: bytes, row_version: int, row_era: int = 0
) -> rollout_record.RolloutRecord:
    """Decode a record.

    Raises
    ------
    UnreadableRecordError
    """
    try:
        fields = json_text.decode(data)
        record = rollout_record.RolloutRecord(
            service=str(fields["service"]),
            order_version=int(fields["order_version"]),
            target=str(fields["target"]),
            base=tuple(str(each) for each in fields["base"]),
            began=float(fields["began"]),
            duration=float(fields["duration"]),
            state=rollout_state.RolloutState(fields["state"]),
            reason=str(fields["reason"]),
            row_version=row_version,
            order_era=int(fields.get("order_era", rollout_record.UNKNOWN_ERA)),
            row_era=row_era,
        )
    except (KeyError, OverflowError, TypeError, ValueError) as exc:
        raise UnreadableRecordError(str(exc)) from exc
    if not (math.isfinite(record.began) and math.isfinite(record.duration)):
        raise UnreadableRecordError("a time is not finite")
    return record
