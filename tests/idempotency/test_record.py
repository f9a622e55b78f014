"""Tests of records, digests and the cache of final records."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.idempotency import digest, recent_records, record, recorded_answer, state

answers = st.builds(
    recorded_answer.RecordedAnswer,
    st.integers(100, 599),
    st.lists(st.tuples(st.binary(), st.binary())).map(tuple),
    st.binary(),
)
records = st.builds(
    record.OperationRecord,
    st.sampled_from(state.State),
    st.text(),
    st.text(),
    st.integers(),
    st.text(),
    st.none() | answers,
    # Seconds since the epoch from an identity; never NaN, which is not equal to itself.
    st.floats(0, 2**48 / 1000),
)


@settings(deadline=None)
@given(records)
def test_a_record_survives_its_json_form(value):
    text = json.dumps(value.to_json())
    assert record.OperationRecord.from_json(json.loads(text)) == value


def test_the_digest_separates_the_parts_of_a_request():
    digests = {
        digest.request_digest("POST", "/a", b"bc", b""),
        digest.request_digest("POST", "/ab", b"c", b""),
        digest.request_digest("POST", "/a", b"b", b"c"),
        digest.request_digest("PUT", "/a", b"bc", b""),
    }
    assert len(digests) == 4


@settings(deadline=None)
@given(st.lists(records, max_size=20))
def test_the_cache_keeps_final_records_within_its_limit(values):
    recent = recent_records.RecentRecords(4096)
    for index, value in enumerate(values):
        recent.add(str(index), value)
        held = [recent.get(str(i)) for i in range(index + 1)]
        assert all(r.state is state.State.DONE for r in held if r)
        assert sum(1024 + len(r.answer.body) for r in held if r) <= 4096
