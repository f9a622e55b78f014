"""Tests of the conversions between state and messages."""

import random
import zlib

import hypothesis
import pytest
from hypothesis import strategies as st

from rattanlug.configuration import configuration_state, delta, offer_result
from rattanlug.membership import member, member_state, view
from rattanlug.peer import (
    codec,
    configuration_messages,
    data_centre_ages,
    error,
    gossip_exchange,
)
from rattanlug.peer.generated import ttypes


def _over_the_wire(message):
    return codec.decode(codec.encode(1, "a", message)).message


def _state(texts):
    state = configuration_state.ConfigurationState()
    for version, (old, new) in enumerate(zip(["", *texts], texts, strict=False)):
        step = delta.make_delta(old, new, version)
        state.offer(version + 1, step.digest, step, 0.0)
    return state


@pytest.mark.parametrize("known", [0, 1, 3])
def test_a_peer_catches_up_by_deltas_or_by_the_full_text(known):
    # Fails if either form loses text or if a chain of deltas starts at another digest.
    texts = ["a\n", "a\nb\n", "b\n"]
    newest, behind = _state(texts), _state(texts[:known])
    for version, digest in ((behind.version, behind.digest), (0, "other")):
        target = _state(texts[:known])
        message = _over_the_wire(
            configuration_messages.to_message(newest, version, digest)
        )
        assert (message.deltas is None) == (digest == "other")
        configuration_messages.offer_message(target, message, 0.0)
        assert (target.version, target.text) == (3, "b\n")


def test_a_broken_chain_asks_for_the_full_text():
    # Fails if a VM silently keeps its old version after a push that it cannot apply.
    message = configuration_messages.to_message(_state(["a\n", "b\n"]))
    message = ttypes.ConfigurationData(2, message.digest, deltas=[])
    result = configuration_messages.offer_message(_state([]), message, 0.0)
    assert result is offer_result.OfferResult.NEEDS_TEXT


@pytest.mark.parametrize(
    "data", [b"", b"x", zlib.compress(b"\xff"), zlib.compress(bytes(17 << 20))]
)
def test_invalid_or_oversized_compressed_texts_are_rejected(data):
    # Fails if one message can exhaust the memory of a VM.
    message = ttypes.ConfigurationData(1, "", compressed_text=data)
    with pytest.raises(error.MalformedMessageError):
        configuration_messages.offer_message(_state([]), message, 0.0)


@hypothesis.given(
    st.dictionaries(st.sampled_from("abcd"), st.floats(0, 100)), st.booleans()
)
def test_ages_are_never_understated(ages, by_name):
    # Fails if relaying makes old state look fresh, which would break majority contact.
    message = ttypes.Gossip()
    data_centre_ages.encode_ages(message, ages, "dbca", by_name)
    received = data_centre_ages.decode_ages(_over_the_wire(message), "abcd")
    for name, age in received.items():
        assert ages[name] <= age <= ages[name] + 0.0201
    assert all(name in received for name, age in ages.items() if age <= 5.0)


def test_ages_are_not_assigned_to_other_data_centres():
    # Fails if the age of one data centre counts for another during a change of rules.
    message = ttypes.Gossip()
    data_centre_ages.encode_ages(message, {"a": 0.1}, ["a", "b"])
    assert data_centre_ages.decode_ages(message, ["a", "c"]) == {}
    assert data_centre_ages.names_differ(message, ["a", "c"])
    assert not data_centre_ages.names_differ(message, ["b", "a"])
    assert data_centre_ages.decode_ages(message, ["a", "b"]) == {
        "a": pytest.approx(0.1)
    }


def test_successive_responses_carry_the_ages_of_all_data_centres():
    # Fails if some of many data centres are in no response.
    names = [f"dc-{index:02d}" for index in range(100)]
    ages = {name: index * 0.02 for index, name in enumerate(names)}
    received = {}
    for turn in range(3):
        message = ttypes.Gossip()
        # Slightly below a whole step, so that rounding up yields the whole step.
        sent = {name: age - 0.001 for name, age in ages.items()}
        data_centre_ages.encode_ages(message, sent, names, turn=turn)
        assert len(message.ages) == data_centre_ages.MAX_AGES < 100
        received.update(data_centre_ages.decode_ages(_over_the_wire(message), names))
    assert received == pytest.approx(ages)


def _make_exchange(name, rng):
    address = (f"127.0.0.{ord(name) - 96}", 9)
    record = member.Member(
        name, "x", address, address, 1, member_state.MemberState.SERVING
    )
    members = view.MembershipView(record, 0.0)
    return members, gossip_exchange.GossipExchange(members, rng)


def test_two_vms_exchange_their_records_within_two_exchanges():
    # Fails if a VM that missed a record cannot request it.
    rng = random.Random(1)
    (a, exchange_a), (b, exchange_b) = (
        _make_exchange("a", rng),
        _make_exchange("b", rng),
    )
    for members in (a, b):
        while members.pending_updates:
            members.take_updates(0.0)
    for now in (0.0, 0.5):
        request = _over_the_wire(exchange_a.make_request("", now))
        response = _over_the_wire(exchange_b.handle_request(request, "a", now))
        exchange_a.handle_response(response, "b", now, now)
    assert a.get("b") is not None
    assert b.get("a") is not None


def test_digest_recovers_updates_that_gossip_lost():
    # Fails if a lost update leaves two views different forever.
    rng = random.Random(1)
    (a, exchange_a), (b, exchange_b) = (
        _make_exchange("a", rng),
        _make_exchange("b", rng),
    )
    c, _ = _make_exchange("c", rng)
    b.merge(c.take_updates(0.0), 0.0, bootstrap=True)
    for turn in range(140):
        now = turn * 0.5
        request = _over_the_wire(exchange_a.make_request("b", now))
        response = _over_the_wire(exchange_b.handle_request(request, "a", now))
        exchange_a.handle_response(response, "b", now, now)
    assert a.get("c") == b.get("c")._replace(last_heard=a.get("c").last_heard)
    page = _over_the_wire(exchange_b.make_page(ttypes.FetchMembers("a"), 75.0))
    assert [item.vm for item in page.members] == ["b", "c"]


def test_missed_suspicion_of_a_dead_vm_arrives_with_the_next_exchange():
    # Fails if a VM that is alone in its data centre keeps a dead member for long: in
    # virtual time with 10 VMs, some deaths took up to 14.5 s to reach all of them.
    rng = random.Random(1)
    (a, exchange_a), (b, exchange_b) = (
        _make_exchange("a", rng),
        _make_exchange("b", rng),
    )
    c, _ = _make_exchange("c", rng)
    for members in (a, b):
        members.merge(c.take_updates(0.0), 0.0, bootstrap=True)
    for asked_at in (10.0, 10.5, 11.0):
        b.contact_failed("c", asked_at, asked_at + 0.4)
    for turn in range(5):
        b.live_members(11.5 + turn * 0.5)
    while b.pending_updates:
        b.take_updates(13.5)
    for now in (14.0, 14.5):
        request = _over_the_wire(exchange_a.make_request("b", now))
        response = _over_the_wire(exchange_b.handle_request(request, "a", now))
        exchange_a.handle_response(response, "b", now, now)
    assert a.get("c").suspect_since == pytest.approx(10.0, abs=0.01)
