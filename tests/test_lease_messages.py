"""Lease and fleet accounts messages, tallies, grant times and round pacing."""

import msgpack
import pytest

from corkgauge.leases.accounts_messages import (
    AccountReply,
    AccountsDatagram,
    AskAccount,
    EntryNotice,
    TokenRefused,
)
from corkgauge.leases.grant_times import MAX_SENT_REQUESTS, GrantTimes
from corkgauge.leases.messages import (
    GrantReply,
    GrantRequest,
    LeaseVacant,
    Prepare,
    PrepareReply,
    Probe,
    ProbeReply,
    ProtocolError,
    Release,
    decode_reply,
    decode_reply_envelope,
    decode_request,
    decode_request_envelope,
    decode_routing,
)
from corkgauge.leases.round_pacing import RoundPacing
from corkgauge.leases.tally import Tally
from corkgauge.leases.voter_configuration import BALLOT_LIMIT, VoterConfiguration

THREE_VOTERS = VoterConfiguration(1, "abc")


@pytest.mark.parametrize(
    ("request_type", "kind"),
    [(Probe, 0), (Prepare, 2), (GrantRequest, 4), (Release, 6)],
    ids=["probe", "prepare", "grant-request", "release"],
)
def test_request_encodes_to_wire_list_and_decodes_back(request_type, kind):
    request = request_type("books", 3, 99, 5, 700)
    assert request.encode() == [kind, "books", 3, 99, 5, 700]
    assert decode_request(request.encode()) == request
    assert type(request.encode()[0]) is int


@pytest.mark.parametrize(
    ("reply_type", "kind"),
    [(ProbeReply, 1), (PrepareReply, 3), (GrantReply, 5)],
    ids=["probe-reply", "prepare-reply", "grant-reply"],
)
def test_reply_encodes_to_wire_list_and_decodes_back(reply_type, kind):
    reply = reply_type("books", 3, 99, 5, True, 700, 40, "n2")
    assert reply.encode() == [kind, "books", 3, 99, 5, True, 700, 40, "n2"]
    assert decode_reply(msgpack.unpackb(msgpack.packb(reply.encode()))) == reply


def test_vacancy_notice_encodes_to_wire_list():
    assert LeaseVacant("books", 3, 99).encode() == [7, "books", 3, 99, 0]


@pytest.mark.parametrize("kind", range(8))
def test_replies_and_notices_are_for_candidates_and_requests_are_for_voters(kind):
    assert decode_routing([kind, "books", 1, 99]).is_for_candidate is (kind in (1, 3, 5, 7))


def test_fields_appended_by_later_versions_are_ignored():
    assert decode_request([0, "books", 1, 99, 5, 0, "more"]) == Probe("books", 1, 99, 5, 0)
    assert decode_reply_envelope([7, "books", 1, 99, 0, "more"]).serial == 0


@pytest.mark.parametrize(
    "body",
    [
        None,
        {},
        "prepare",
        [2, "books", 1, 99, 5],
        [2, 7, 1, 99, 5, 700],
        [2, "books", 1, 99, 5, "700"],
        [2, "books", 1, 99, 5, True],
        [2, "books", 1, 99, 5, -1],
        [2, "books", 1, 99, 5, BALLOT_LIMIT],
        [1, "books", 1, 99, 5, 700],
        [99, "books", 1, 99, 5, 700],
        [[], "books", 1, 99, 5, 700],
    ],
)
def test_malformed_request_raises_protocol_error(body):
    with pytest.raises(ProtocolError):
        decode_request(body)


@pytest.mark.parametrize(
    "body",
    [
        None,
        [1, "books", 1, 99, 5, True, 700, 0],
        [1, "books", 1, 99, 5, True, "700", 0, ""],
        [1, "books", 1, 99, 5, True, -1, 0, ""],
        [1, "books", 1, 99, 5, True, BALLOT_LIMIT, 0, ""],
        [1, "books", 1, 99, 5, True, 700, -1, ""],
        [1, "books", 1, 99, 5, True, 700, 0.5, ""],
        [0, "books", 1, 99, 5, True, 700, 0, ""],
        [{}, "books", 1, 99, 5, True, 700, 0, ""],
    ],
)
def test_malformed_reply_raises_protocol_error(body):
    with pytest.raises(ProtocolError):
        decode_reply(body)


@pytest.mark.parametrize("version", [None, "1", [1]])
def test_request_without_numeric_version_raises_protocol_error(version):
    with pytest.raises(ProtocolError):
        decode_request_envelope([0, "books", version, 99, 5, 0])


def test_tally_has_majority_after_enough_acceptances():
    tally = Tally()
    assert not tally.has_majority(THREE_VOTERS)
    tally.record("a", is_accepted=True)
    assert not tally.has_majority(THREE_VOTERS)
    tally.record("b", is_accepted=True)
    assert tally.has_majority(THREE_VOTERS) and not tally.is_majority_impossible(THREE_VOTERS)


def test_tally_counts_last_reply_of_each_voter():
    tally = Tally()
    for voter in "ab":
        tally.record(voter, is_accepted=False, blocked_ticks=10)
    assert tally.is_majority_impossible(THREE_VOTERS)
    tally.record("a", is_accepted=True, blocked_ticks=0)
    assert not tally.is_majority_impossible(THREE_VOTERS)


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ({"a": 400, "b": 100, "c": 900}, 400),
        ({"a": 0, "b": 100, "c": 900}, 100),
        ({"a": 400, "b": 900}, 900),
        ({}, 50),
    ],
    ids=["all-bound", "one-free", "one-silent", "nobody-answered"],
)
def test_earliest_retry_is_when_majority_may_be_free(answers, expected):
    tally = Tally()
    for voter, blocked_ticks in answers.items():
        tally.record(voter, is_accepted=not blocked_ticks, blocked_ticks=blocked_ticks)
    assert tally.earliest_retry_ticks(THREE_VOTERS, unanswered_ticks=50) == expected


def test_copied_tally_is_independent():
    tally = Tally()
    tally.record("a", is_accepted=False, blocked_ticks=10)
    tally_copy = tally.copy()
    tally_copy.record("b", is_accepted=False, blocked_ticks=20)
    assert tally_copy.is_majority_impossible(THREE_VOTERS) and not tally.is_majority_impossible(
        THREE_VOTERS
    )


def test_majority_since_uses_last_granted_request_of_each_voter():
    grants = GrantTimes()
    for serial, now in (1, 100), (2, 150), (3, 200):
        grants.record_request(serial, now)
    grants.record_grant("a", 3)
    assert grants.majority_since(2) is None
    grants.record_grant("b", 1)
    assert grants.majority_since(2) == 100
    grants.record_grant("c", 2)
    assert grants.majority_since(2) == 150
    grants.record_grant("a", 1)  # a late reply, out of order
    assert grants.majority_since(2) == 150
    grants.forget_grants()
    assert grants.majority_since(1) is None and grants.is_request_known(1)


def test_number_of_remembered_requests_is_bounded():
    grants = GrantTimes()
    for serial in range(MAX_SENT_REQUESTS + 10):
        grants.record_request(serial, serial)
        grants.forget_oldest_requests()
    assert len(grants.sent_at) == MAX_SENT_REQUESTS
    assert not grants.is_request_known(9) and grants.is_request_known(10)


def test_timeouts_and_pauses_grow_to_a_bound_and_reset_on_success():
    pacing = RoundPacing()
    waits = []
    for _ in range(6):
        waits.append((pacing.timeout_multiplier, pacing.jitter_limit_ticks(10)))
        pacing.record_failure()
    assert waits == [(1, 10), (2, 20), (3, 30), (3, 40), (3, 50), (3, 60)]
    assert pacing.backoff(waited=0) == 4
    pacing.record_success()
    assert pacing.timeout_multiplier == 1


@pytest.mark.parametrize(
    ("message", "body"),
    [
        (AskAccount("books", 700, 3), ["ask", "books", 700, 3]),
        (AccountReply("books", 3, {"epoch": "x"}), ["account", "books", 3, {"epoch": "x"}]),
        (EntryNotice("books", 700, {"number": 3}), ["entry", "books", 700, {"number": 3}]),
        (TokenRefused("books", 900), ["no", "books", 900]),
    ],
    ids=["ask", "account", "entry", "refused"],
)
def test_accounts_message_encodes_to_wire_list(message, body):
    assert message.encode() == body
    assert type(message.encode()[0]) is str


def test_accounts_datagram_decodes_fields_on_access():
    assert AccountsDatagram.decode(["ask", "books", 700, 3]).round_number == 3
    assert AccountsDatagram.decode(["entry", "books", 700, {"number": 3}]).entry == {"number": 3}
    reply = AccountsDatagram.decode(["account", "books", 3, {}]).reply
    assert reply == AccountReply("books", 3, {})
    assert AccountsDatagram.decode(["later", "books"]).kind == "later"


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (["ask", "books"], "fencing_token"),
        (["ask", "books", "x"], "fencing_token"),
        (["ask", "books", 700], "round_number"),
        (["ask", "books", 700, None], "round_number"),
        (["entry", "books", 700], "entry"),
        (["entry", "books", 700, 5], "entry"),
        (["account", "books", 3], "reply"),
        (["account", "books", 3, {}, "more"], "reply"),
    ],
)
def test_malformed_field_of_accounts_datagram_raises_protocol_error(body, field):
    datagram = AccountsDatagram.decode(body)
    with pytest.raises(ProtocolError):
        getattr(datagram, field)


@pytest.mark.parametrize("body", [None, {}, "ask", ["ask"]])
def test_accounts_datagram_without_kind_and_lease_raises_protocol_error(body):
    with pytest.raises(ProtocolError):
        AccountsDatagram.decode(body)
