"""Messages of leases, the tally of a round, the times of grants, and the pacing of rounds."""

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
    decode_address,
    decode_reply,
    decode_reply_envelope,
    decode_request,
    decode_request_envelope,
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
def test_a_request_is_the_list_of_the_wire_and_back(request_type, kind):
    request = request_type("books", 3, 99, 5, 700)
    assert request.encode() == [kind, "books", 3, 99, 5, 700]
    assert decode_request(request.encode()) == request
    assert type(request.encode()[0]) is int


@pytest.mark.parametrize(
    ("reply_type", "kind"),
    [(ProbeReply, 1), (PrepareReply, 3), (GrantReply, 5)],
    ids=["probe-reply", "prepare-reply", "grant-reply"],
)
def test_a_reply_is_the_list_of_the_wire_and_back(reply_type, kind):
    reply = reply_type("books", 3, 99, 5, True, 700, 40, "n2")
    assert reply.encode() == [kind, "books", 3, 99, 5, True, 700, 40, "n2"]
    assert decode_reply(msgpack.unpackb(msgpack.packb(reply.encode()))) == reply


def test_a_vacancy_notice_is_the_list_of_the_wire():
    assert LeaseVacant("books", 3, 99).encode() == [7, "books", 3, 99, 0]


@pytest.mark.parametrize("kind", range(8))
def test_replies_and_notices_are_for_candidates_and_requests_for_voters(kind):
    assert decode_address([kind, "books", 1, 99]).is_for_candidate is (kind in (1, 3, 5, 7))


def test_what_a_later_version_appends_is_ignored():
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
def test_a_malformed_request_raises(body):
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
def test_a_malformed_reply_raises(body):
    with pytest.raises(ProtocolError):
        decode_reply(body)


@pytest.mark.parametrize("version", [None, "1", [1]])
def test_a_request_under_no_version_raises(version):
    with pytest.raises(ProtocolError):
        decode_request_envelope([0, "books", version, 99, 5, 0])


def test_a_tally_has_a_majority_once_enough_have_accepted():
    tally = Tally()
    assert not tally.has_majority(THREE_VOTERS)
    tally.record("a", is_accepted=True)
    assert not tally.has_majority(THREE_VOTERS)
    tally.record("b", is_accepted=True)
    assert tally.has_majority(THREE_VOTERS) and not tally.is_majority_impossible(THREE_VOTERS)


def test_the_last_answer_of_a_voter_counts():
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
def test_the_earliest_retry_is_when_a_majority_may_be_free(answers, expected):
    tally = Tally()
    for voter, blocked_ticks in answers.items():
        tally.record(voter, is_accepted=not blocked_ticks, blocked_ticks=blocked_ticks)
    assert tally.earliest_retry_ticks(THREE_VOTERS, unanswered_ticks=50) == expected


def test_a_copied_tally_is_one_of_its_own():
    tally = Tally()
    tally.record("a", is_accepted=False, blocked_ticks=10)
    other = tally.copy()
    other.record("b", is_accepted=False, blocked_ticks=20)
    assert other.is_majority_impossible(THREE_VOTERS) and not tally.is_majority_impossible(
        THREE_VOTERS
    )


def test_a_lease_is_held_since_a_majority_s_last_granted_requests():
    grants = GrantTimes()
    for serial, now in (1, 100), (2, 150), (3, 200):
        grants.record_request(serial, now)
    grants.record_grant("a", 3)
    assert grants.majority_since(2) is None
    grants.record_grant("b", 1)
    assert grants.majority_since(2) == 100
    grants.record_grant("c", 2)
    assert grants.majority_since(2) == 150
    grants.record_grant("a", 1)  # late, and out of order
    assert grants.majority_since(2) == 150
    grants.forget_grants()
    assert grants.majority_since(1) is None and grants.is_request_known(1)


def test_requests_that_are_remembered_are_bounded():
    grants = GrantTimes()
    for serial in range(MAX_SENT_REQUESTS + 10):
        grants.record_request(serial, serial)
        grants.forget_oldest_requests()
    assert len(grants.sent_at) == MAX_SENT_REQUESTS
    assert not grants.is_request_known(9) and grants.is_request_known(10)


def test_patience_and_pauses_grow_up_to_a_bound_and_begin_anew():
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
def test_a_message_on_accounts_is_the_list_of_the_wire(message, body):
    assert message.encode() == body
    assert type(message.encode()[0]) is str


def test_a_datagram_on_accounts_is_decoded_where_it_is_needed():
    assert AccountsDatagram.decode(["ask", "books", 700, 3]).round_number == 3
    assert AccountsDatagram.decode(["entry", "books", 700, {"number": 3}]).entry == {"number": 3}
    reply = AccountsDatagram.decode(["account", "books", 3, {}]).reply
    assert reply == AccountReply("books", 3, {})
    assert AccountsDatagram.decode(["later", "books"]).kind == "later"


@pytest.mark.parametrize(
    ("body", "part"),
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
def test_a_malformed_part_of_a_datagram_on_accounts_raises(body, part):
    datagram = AccountsDatagram.decode(body)
    with pytest.raises(ProtocolError):
        getattr(datagram, part)


@pytest.mark.parametrize("body", [None, {}, "ask", ["ask"]])
def test_a_datagram_on_accounts_without_kind_and_lease_raises(body):
    with pytest.raises(ProtocolError):
        AccountsDatagram.decode(body)
