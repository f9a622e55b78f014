"""Tests that versions only increase and each text matches its digest."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from rattanlug.configuration import configuration_state, delta, offer_result

_TEXTS = st.lists(
    st.text(st.characters(codec="utf-8", exclude_characters="\n"), max_size=5),
    max_size=8,
).map(lambda lines: "".join(line + "\n" for line in lines))


@hypothesis.given(_TEXTS, _TEXTS)
def test_a_delta_results_in_exactly_the_new_text(old, new):
    # Guards against a lost line and against splitting at other line separators.
    step = delta.make_delta(old, new, 4)
    assert delta.apply_delta(old, step) == new


@hypothesis.given(_TEXTS, _TEXTS, _TEXTS, st.text(max_size=20))
def test_a_delta_applies_only_to_its_base_text(old, new, other, damage):
    # Guards against a damaged delta, or one for another text, that changes the rules.
    step = delta.make_delta(old, new, 4)
    hypothesis.assume(other != old)
    with pytest.raises(delta.DeltaError):
        delta.apply_delta(other, step)
    try:
        result = delta.apply_delta(old, step._replace(text=damage))
    except delta.DeltaError:
        return
    assert result == new


class _Versions(stateful.RuleBasedStateMachine):
    """Offers valid and damaged versions to two VMs in any order."""

    def __init__(self):
        super().__init__()
        self.texts = [""]
        self.vms = [
            configuration_state.ConfigurationState(),
            configuration_state.ConfigurationState(),
        ]
        self.seen = [0, 0]

    @stateful.rule(text=_TEXTS)
    def publish(self, text):
        self.texts.append(text)

    @stateful.rule(vm=st.integers(0, 1), data=st.data(), damaged=st.booleans())
    def offer_text(self, vm, data, damaged):
        version = data.draw(st.integers(0, len(self.texts) - 1))
        text = self.texts[version]
        offered = text + "x\n" if damaged else text
        before = self.vms[vm].version
        result = self.vms[vm].offer(version, delta.text_digest(text), offered, 0.0)
        applied = result is offer_result.OfferResult.APPLIED
        assert applied == (version > before and not damaged)

    @stateful.rule(vm=st.integers(0, 1), data=st.data())
    def offer_delta(self, vm, data):
        base = data.draw(st.integers(0, len(self.texts) - 1))
        if base + 1 == len(self.texts):
            return
        step = delta.make_delta(self.texts[base], self.texts[base + 1], base)
        before = self.vms[vm].version
        result = self.vms[vm].offer(base + 1, step.digest, step, 0.0)
        assert (result is offer_result.OfferResult.APPLIED) == (before == base)

    @stateful.rule(vm=st.integers(0, 1))
    def catch_up_from_the_other(self, vm):
        state, peer = self.vms[vm], self.vms[1 - vm]
        steps = peer.deltas_since(state.version, state.digest)
        if steps is None or state.version > peer.version:
            return
        for step in steps:
            state.offer(step.base_version + 1, step.digest, step, 0.0)
        assert state.version == peer.version

    @stateful.invariant()
    def versions_increase_and_texts_match(self):
        for index, state in enumerate(self.vms):
            assert state.version >= self.seen[index]
            self.seen[index] = state.version
            assert state.text == self.texts[state.version]
            assert state.digest == delta.text_digest(state.text)


TestVersions = _Versions.TestCase
TestVersions.settings = hypothesis.settings(max_examples=50, stateful_step_count=30)


@pytest.mark.parametrize(
    ("evidence_age", "majority", "store_unavailable", "expected"),
    [
        (0.5, False, False, True),
        (11.0, False, True, False),
        (11.0, True, True, True),
        (11.0, True, False, False),
    ],
)
def test_a_starting_vm_waits_for_the_newest_version_it_can_know_of(
    evidence_age, majority, store_unavailable, expected
):
    # Guards against a restarted VM that serves with its first peer's rules, and against
    # one that never serves while the store is down.
    state = configuration_state.ConfigurationState()
    state.record_version(1, 0.0)
    arguments = (evidence_age, 1, majority, store_unavailable)
    assert not state.may_serve(0.0, *arguments)
    assert state.behind_for(2.0) == 2.0
    state.offer(1, delta.text_digest("a\n"), "a\n", 2.0)
    assert state.may_serve(2.0, *arguments) is expected
    assert state.behind_for(3.0) == 0.0
