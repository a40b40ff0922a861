"""Tests of the codec of messages between members, with malformed bodies."""

import pytest

from corkgauge.membership.datagrams import DatagramKind
from corkgauge.membership.messages import (
    Ack,
    Call,
    Gossip,
    IndirectProbe,
    MalformedMessageError,
    MemberState,
    Nack,
    Probe,
    StateRequest,
    StatusUpdate,
    decode_message,
    decode_updates,
    encode_body,
)

UPDATE = StatusUpdate("n2", MemberState.SUSPECTED, 1000, 3, "n1")
GOSSIPING_MESSAGES = [
    pytest.param(Probe(7), [7], id="probe"),
    pytest.param(Ack(7), [7], id="ack"),
    pytest.param(IndirectProbe(7, "n3"), [7, "n3"], id="indirect-probe"),
    pytest.param(Nack(7), [7], id="nack"),
    pytest.param(StateRequest(), [], id="state-request"),
    pytest.param(Gossip(), [], id="gossip"),
]


@pytest.mark.parametrize(("message", "fields"), GOSSIPING_MESSAGES)
def test_a_body_is_the_fields_then_the_updates(message, fields):
    assert encode_body(message, [UPDATE]) == [*fields, [["n2", 1, 1000, 3, "n1"]]]


@pytest.mark.parametrize(("message", "fields"), GOSSIPING_MESSAGES)
def test_decoding_reverses_encoding(message, fields):
    body = encode_body(message, [UPDATE])

    assert decode_message(message.kind, body) == message
    assert [*decode_updates(body)] == [UPDATE]


def test_a_call_body_is_subject_and_content():
    assert decode_message(DatagramKind.CALL, ["duty", [1]]) == Call("duty", [1])


def test_an_unknown_kind_is_decoded_as_gossip():
    assert decode_message(99, [1, 2, []]) == Gossip()


@pytest.mark.parametrize("body", [None, [], ["x", []], {}], ids=repr)
def test_a_malformed_probe_is_rejected(body):
    with pytest.raises(MalformedMessageError):
        decode_message(DatagramKind.PROBE, body)


@pytest.mark.parametrize(
    "update",
    [
        pytest.param(["n2", 0, 1, 0], id="missing-field"),
        pytest.param(["n2", 4, 1, 0, ""], id="state-never-sent"),
        pytest.param(["n2", -1, 1, 0, ""], id="unknown-state"),
        pytest.param(["n2", 0, 0, 0, ""], id="incarnation-zero"),
        pytest.param(["n2", 0, 1, -1, ""], id="negative-refutations"),
        pytest.param(["n2", "0", 1, 0, ""], id="state-as-text"),
    ],
)
def test_updates_before_a_malformed_one_are_decoded(update):
    updates = decode_updates([[UPDATE.encode(), update]])

    assert next(updates) == UPDATE
    with pytest.raises(MalformedMessageError):
        next(updates)
