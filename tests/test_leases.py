"""Duties: votes and grants, lists of voters, every order of events, days with drifting clocks; defences left out."""

import os
import signal
import subprocess
import sys

import msgpack
import pytest

from corkgauge.eventloop.loop import EventLoop
from corkgauge.leases import placement, record_writer
from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.durable_record import DurableRecord
from corkgauge.leases.fleet_accounts import FleetAccounts, find_discrepancies
from corkgauge.leases.leased_command import CommandState, LeasedCommand
from corkgauge.leases.messages import MessageKind
from corkgauge.leases.voter import Voter
from corkgauge.leases.voter_configuration import LeaseTiming, UnsafeChangeError, VoterConfiguration
from corkgauge.model.leases import FAULTS, LEASE, World, drawn, shortest
from corkgauge.model.model_checker import explore

SECOND = 10_000
CONFIGURATION = VoterConfiguration(1, ["a", "b", "c"], SECOND)
TIMING = LeaseTiming(SECOND, 0.01, 200)


class RecordingHost:
    """A voter's or candidate's host, which records what it is asked for."""

    def __init__(self):
        self.now, self.date, self.sent, self.timers, self.unwritten, self.events = (
            1000,
            5,
            [],
            [],
            [],
            [],
        )
        self.slow_disk = False

    def send(self, name, body):
        self.sent.append((name, body))

    def persist(self, record, then, *what):
        if self.slow_disk:
            self.unwritten.append((record, then, what))
        else:
            then(*what)

    def call_later(self, delay, method, *what):
        self.timers.append((self.now + delay, method, what))

    def random_below(self, below):
        return 0

    def rank_of(self, lease):
        return 0

    def log(self, line):
        self.events.append(line)

    def on_lease_gained(self, holder):
        self.events.append("gained")

    def on_lease_lost(self, holder, why):
        self.events.append(f"lost: {why}")

    def on_lease_released(self, holder):
        self.events.append("vacant")

    def ask(self, voter, kind, sender="a", incarnation=1, ballot=0, configuration=CONFIGURATION):
        """One request to a voter: yes, no, or None for silence."""
        before = len(self.sent)
        body = [kind, "d", configuration.version, configuration.fingerprint, 1, ballot]
        voter.on_datagram(sender, incarnation, body)
        return self.sent[-1][1][5] if len(self.sent) > before else None


def make_voter(kept=(), **more):
    host = RecordingHost()
    return host, Voter(
        host, "b", CONFIGURATION, TIMING, dict(kept) if kept is not None else None, **more
    )


def test_a_grant_is_kept_from_others_until_it_is_over_and_no_number_disturbs_it():
    host, voter = make_voter()
    assert host.ask(voter, MessageKind.PROBE) and host.ask(voter, MessageKind.PREPARE, ballot=7)
    assert host.ask(voter, MessageKind.GRANT_REQUEST, ballot=7)
    for kind in MessageKind.PROBE, MessageKind.PREPARE, MessageKind.GRANT_REQUEST:
        assert host.ask(voter, kind, sender="c", ballot=2**59) is False
    assert host.ask(voter, MessageKind.GRANT_REQUEST, ballot=7)  # its holder renews it
    host.now += TIMING.grant_ticks - 1
    assert host.ask(voter, MessageKind.PROBE, sender="c") is False
    host.now += 1
    assert host.ask(voter, MessageKind.PROBE, sender="c") and host.ask(
        voter, MessageKind.PREPARE, sender="c", ballot=8
    )
    assert (
        host.ask(voter, MessageKind.GRANT_REQUEST, ballot=7) is False
    )  # what was promised is above it


def test_a_holder_that_started_anew_is_another():
    host, voter = make_voter()
    assert host.ask(voter, MessageKind.PREPARE, ballot=7) and host.ask(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    )
    assert host.ask(voter, MessageKind.PREPARE, incarnation=2, ballot=9) is False


def test_a_duty_that_is_given_back_is_free_at_once_and_a_late_grant_binds_nobody():
    host, voter = make_voter()
    assert host.ask(voter, MessageKind.PREPARE, ballot=7) and host.ask(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    )
    assert host.ask(voter, MessageKind.RELEASE, sender="c", ballot=7) is None
    assert host.ask(voter, MessageKind.PROBE, sender="c") is False  # not its to give back
    host.ask(voter, MessageKind.RELEASE, ballot=7)
    assert host.ask(voter, MessageKind.GRANT_REQUEST, ballot=7) is False and host.ask(
        voter, MessageKind.PROBE, sender="c"
    )


def test_a_voter_that_may_have_forgotten_is_silent_for_a_longest_lease():
    host, voter = make_voter(kept=None)
    assert host.ask(voter, MessageKind.PROBE) is None and not voter.is_voting
    host.now += TIMING.silence_ticks
    assert host.ask(voter, MessageKind.PROBE) and voter.is_voting


def test_a_voter_with_a_folder_says_nothing_before_it_is_written_and_needs_no_silence():
    host, voter = make_voter()
    host.slow_disk = True
    assert host.ask(voter, MessageKind.PREPARE, ballot=7) is None
    record, then, what = host.unwritten.pop()
    then(*what)
    assert host.sent[-1][1][5] is True
    host.slow_disk = False
    assert host.ask(voter, MessageKind.GRANT_REQUEST, ballot=7)
    record = {"d": voter.votes["d"].encode()}
    again, voter = make_voter(kept=record)
    assert again.ask(voter, MessageKind.PROBE, sender="c") is False and again.ask(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    )
    assert again.ask(voter, MessageKind.PREPARE, sender="c", ballot=6) is False


def test_another_list_gets_no_vote_and_an_older_one_gives_none():
    host, voter = make_voter()
    newer = VoterConfiguration(2, ["a", "b"], SECOND)
    assert (
        host.ask(voter, MessageKind.PROBE, configuration=VoterConfiguration(1, ["a", "b"], SECOND))
        is None
    )
    assert host.ask(voter, MessageKind.PROBE) is True
    assert host.ask(voter, MessageKind.PROBE, configuration=newer) is None and host.events
    assert (
        host.ask(voter, MessageKind.PROBE) is None
    )  # it has an old file, and lends its vote to nobody
    voter.reconfigure(newer, TIMING)
    assert host.ask(voter, MessageKind.PROBE, configuration=newer) is None
    host.now += TIMING.silence_ticks
    assert host.ask(voter, MessageKind.PROBE, configuration=newer) is True


@pytest.mark.parametrize(
    "body",
    [
        [MessageKind.PROBE, "d", 1, CONFIGURATION.fingerprint, 1, -1],
        [MessageKind.PREPARE, "d", 1, CONFIGURATION.fingerprint, 1, 2**60],
        [MessageKind.PREPARE, "d", 1, CONFIGURATION.fingerprint, 1, "7"],
        [MessageKind.PREPARE, 7, 1, CONFIGURATION.fingerprint, 1, 7],
        [MessageKind.PROBE],
        [99, "d", 1, CONFIGURATION.fingerprint, 1, 7],
    ],
)
def test_a_letter_that_makes_no_sense_changes_no_vote(body):
    host, voter = make_voter()
    with pytest.raises((ValueError, TypeError, KeyError)):
        voter.on_datagram("a", 1, body)
    assert all(vote.encode() == [0, 0, "", 0] for vote in voter.votes.values()) and not host.sent


def test_names_of_duties_without_end_do_not_fill_a_voter():
    host, voter = make_voter()
    for n in range(300):
        voter.on_datagram("a", 1, [MessageKind.PROBE, f"d{n}", 1, CONFIGURATION.fingerprint, 1, 0])
    assert len(voter.votes) == 64 and voter.counts["too many duties"] == 236


def test_steps_between_lists():
    one = VoterConfiguration(1, "abc", 5)
    there = {name: (1, one.fingerprint) for name in "abc"}
    for new in (
        VoterConfiguration(2, "abcd", 5),
        VoterConfiguration(2, "ab", 5),
        VoterConfiguration(2, "abc", 9),
        VoterConfiguration(1, "abc", 5),
    ):
        one.check_change_to(new, there)
    for new, told in (
        (VoterConfiguration(3, "abcd", 5), there),
        (VoterConfiguration(2, "abd", 5), there),
        (VoterConfiguration(1, "abcd", 5), there),
        (VoterConfiguration(2, "abcd", 5), {"a": (1, one.fingerprint), "b": (0, 7)}),
    ):
        with pytest.raises(UnsafeChangeError):
            one.check_change_to(new, told)


def test_majorities_of_lists_one_step_apart_always_meet():
    from itertools import combinations

    for many in range(1, 7):
        small, large = range(many), range(many + 1)
        for one in combinations(small, many // 2 + 1):
            for other in combinations(large, (many + 1) // 2 + 1):
                assert {*one} & {*other}


class Candidate:
    """A candidate against voters that answer as the test says."""

    def __init__(self):
        self.host = RecordingHost()
        self.holder = LeaseCandidate(self.host, "d", "a", CONFIGURATION, TIMING)

    def pass_time(self, span):
        until = self.host.now + span
        while due := min(
            (each for each in self.host.timers if each[0] <= until),
            key=lambda each: each[0],
            default=None,
        ):
            self.host.timers.remove(due)
            self.host.now = max(self.host.now, due[0])
            due[1](*due[2])
        self.host.now = until

    def answer(self, *voters, yes=True, left=0):
        """The last request to each of these is answered."""
        for voter in voters:
            body = next(body for name, body in reversed(self.host.sent) if name == voter)
            self.holder.on_datagram(
                voter, [body[0] + 1, "d", 1, CONFIGURATION.fingerprint, body[4], yes, 0, left, ""]
            )

    def hold(self):
        self.pass_time(10)
        for _ in range(3):
            self.answer("a", "b")
        assert self.holder.state == CandidateState.HOLDING
        return self


def test_a_duty_given_back_while_it_is_asked_for_is_asked_for_again_and_answers_of_before_count_for_nothing():
    candidate = Candidate()
    candidate.pass_time(10)
    holder, host = candidate.holder, candidate.host
    assert holder.state == CandidateState.PROBING
    late = [
        [
            MessageKind.PROBE_REPLY,
            "d",
            1,
            CONFIGURATION.fingerprint,
            host.sent[-1][1][4],
            False,
            0,
            TIMING.grant_ticks,
            "c",
        ]
        for _ in "ab"
    ]
    holder.on_datagram("c", [MessageKind.VACANT, "d", 1, CONFIGURATION.fingerprint, 0])
    for voter, body in zip("ab", late):
        holder.on_datagram(voter, body)
    candidate.pass_time(10)
    for _ in range(2):  # a ballot, a grant: nobody has to be asked first
        candidate.answer("a", "b")
    assert holder.state == CandidateState.HOLDING


def test_after_a_round_that_nobody_answered_in_time_the_next_is_waited_for_longer_up_to_a_bound():
    candidate, waited = Candidate(), []
    for _ in range(5):
        while candidate.holder.state != CandidateState.PROBING:
            candidate.pass_time(1)
        begun = candidate.host.now
        while candidate.holder.state == CandidateState.PROBING:
            candidate.pass_time(1)
        waited.append(candidate.host.now - begun)
    assert waited == [TIMING.reply_ticks, 2 * TIMING.reply_ticks, *[3 * TIMING.reply_ticks] * 3]
    # A promise is used while its voter would still be silent, had it forgotten it.
    assert waited[-1] + TIMING.hold_ticks // 2 < TIMING.silence_ticks


def test_a_duty_is_held_from_before_it_was_asked_for_and_not_a_moment_longer():
    one = Candidate()
    one.pass_time(10)
    one.answer("a", "b")
    one.answer("b", "c")
    asked = one.host.now
    one.pass_time(300)  # the answers take their time, and that is lost
    one.answer("a", "c")
    assert one.holder.may_act() and one.holder.held_until <= asked + 300 + TIMING.hold_ticks
    one.host.now = one.holder.held_until - 1
    assert one.holder.may_act()
    one.host.now = one.holder.held_until
    assert (
        not one.holder.may_act() and one.holder.state == CandidateState.HOLDING
    )  # whatever its timers say


def test_grants_of_a_minority_hold_nothing_and_old_ones_run_out_voter_by_voter():
    one = Candidate().hold()
    until = one.holder.held_until
    one.pass_time(2 * TIMING.renewal_ticks)
    one.answer("a")
    assert one.holder.held_until == until
    one.answer("c")
    assert one.holder.held_until > until
    one.pass_time(SECOND)
    assert not one.holder.may_act() and "lost: lapsed" in one.host.events


def test_a_late_answer_of_an_earlier_time_in_office_counts_for_nothing():
    one = Candidate().hold()
    one.pass_time(TIMING.renewal_ticks)
    late = [body for name, body in one.host.sent if name == "b"][-1]
    one.holder.release("told")
    one.pass_time(SECOND)
    for _ in range(2):
        one.answer("a", "b")
    one.holder.on_datagram(
        "b", [late[0] + 1, "d", 1, CONFIGURATION.fingerprint, late[4], True, 0, 0, ""]
    )
    one.holder.on_datagram(
        "a", [late[0] + 1, "d", 1, CONFIGURATION.fingerprint, late[4], True, 0, 0, ""]
    )
    assert not one.holder.may_act()


def test_a_candidate_comes_back_when_a_majority_is_free_again():
    one = Candidate()
    one.pass_time(10)
    one.answer("a", "b", yes=False, left=4000)
    before = len(one.host.sent)
    one.pass_time(3990)
    assert len(one.host.sent) == before
    one.pass_time(100)
    assert len(one.host.sent) > before


def test_a_planned_end_is_told_to_voters_and_to_the_next():
    one = Candidate().hold()
    one.holder.release("told")
    assert [body[0] for _, body in one.host.sent[-3:]] == [
        MessageKind.RELEASE
    ] * 3 and not one.holder.may_act()
    assert one.host.events[-2:] == ["lost: told", "vacant"]


def test_an_outbid_holder_gives_up_and_comes_back_above():
    one = Candidate().hold()
    one.holder.on_preempted(one.holder.fencing_token + 10**6)
    assert not one.holder.may_act()
    high = one.holder.highest_ballot
    one.pass_time(200)
    for _ in range(3):
        one.answer("a", "b")
    assert one.holder.may_act() and one.holder.fencing_token > high


def test_every_order_of_events_near_the_start_and_around_a_holder():
    near, held = explore(9), explore(5, held=True)
    assert not near.found and not held.found and held.held > 100
    assert near.states > 700 and held.states > 500


def test_days_with_drifting_clocks_never_have_two_at_once():
    held = 0
    for seed in range(60):
        world = World(drawn(seed, (3, 5)[seed % 2], disk=seed % 3 == 0))
        assert world.run() == [], drawn(seed, (3, 5)[seed % 2], disk=seed % 3 == 0)
        held += len(world.handovers)
    assert held > 100


SORTS = {"silence": ("restart", "cut", "cut"), "drift": ("cut", "deaf")}


@pytest.mark.parametrize("off", ["silence", "drift", "check", "fence", "busy"])
def test_the_judge_objects_where_a_defence_is_left_out(off):
    for seed in range(400):
        day = drawn(
            seed,
            3,
            off=(off,),
            drift=0.1 if off == "drift" else 0.01,
            sorts=SORTS.get(off, FAULTS),
            many=8,
        )
        if World(day).run():
            short = shortest(day)
            assert World(short).run() and len(short.faults) <= len(day.faults)
            return
    raise AssertionError(f"nothing was found without {off}")


def test_the_same_day_is_the_same_day():
    one, other = World(drawn(7, 5)), World(drawn(7, 5))
    assert (one.run(), one.handovers, one.acts) == (other.run(), other.handovers, other.acts)
    assert one.day.length == 12 * LEASE


class Child:
    def __init__(self):
        self.done = []

    def begin(self, fence):
        self.done.append(fence)

    def terminate(self):
        self.done.append("term")

    def kill(self):
        self.done.append("kill")


def test_a_command_is_dead_before_its_duty_is_over():
    child = Child()
    running = LeasedCommand(child, grace_seconds=1.0, margin_seconds=0.1)
    running.on_answer(10.0, True, 7, 1.5)
    assert running.state == CommandState.WAITING  # too little left to begin
    running.on_answer(10.0, True, 7, 5.0)
    assert running.state == CommandState.RUNNING and child.done == [7]
    running.on_answer(11.0, True, 7, 5.0)
    for now, state in (
        (14.8, CommandState.RUNNING),
        (14.91, CommandState.ENDING),
        (15.8, CommandState.ENDING),
        (15.91, CommandState.OVER),
    ):
        running.check_deadlines(now)
        assert running.state == state, now
    assert child.done == [7, "term", "kill"]


@pytest.mark.parametrize("answer", [(11.0, False, 0, 0.0), (11.0, True, 8, 5.0)])
def test_a_command_is_ended_when_its_duty_is_gone_or_had_anew(answer):
    child = Child()
    running = LeasedCommand(child, 1.0, 0.1)
    running.on_answer(10.0, True, 7, 5.0)
    running.on_answer(*answer)
    assert running.state == CommandState.ENDING and child.done == [7, "term"]
    running.on_exited()
    running.check_deadlines(99.0)
    assert child.done == [7, "term"]


@pytest.mark.parametrize("cut", range(0, 40, 4))
def test_kept_votes_are_whole_or_nothing(cut):
    data = record_writer.pack_record(b"votes of a voter")
    assert record_writer.unpack_record(data) == b"votes of a voter"
    if cut < len(data):
        assert record_writer.unpack_record(data[:cut]) is None
        assert (
            record_writer.unpack_record(data[:cut] + bytes([data[cut] ^ 1]) + data[cut + 1 :])
            is None
        )


def test_the_helper_answers_what_is_safe_and_only_that(tmp_path):
    path = str(tmp_path / "votes")
    frames = b"".join(record_writer.FRAME_HEADER.pack(n, 4) + b"vot%d" % n for n in (1, 2))
    done = subprocess.run(
        [sys.executable, record_writer.__file__, path],
        input=frames + record_writer.FRAME_HEADER.pack(3, 9) + b"part",
        capture_output=True,
    )
    assert (
        done.stdout == b"\1\0\0\0\2\0\0\0"
        and record_writer.unpack_record(open(path, "rb").read()) == b"vot2"
    )
    gone = subprocess.run(
        [sys.executable, record_writer.__file__, str(tmp_path / "no" / "votes")],
        input=frames,
        capture_output=True,
    )
    assert gone.stdout == b"" and not os.path.exists(tmp_path / "no")


COUNTED = """
import sys
from corkgauge.leases import record_writer
real, sizes = record_writer.write_file, []
record_writer.write_file = lambda path, data: (sizes.append(len(data)), real(path, data))
code = record_writer.main()
print(len(sizes), file=sys.stderr)
sys.exit(code)
"""


def test_what_comes_while_the_disk_is_busy_is_written_once_and_all_of_it_answered(tmp_path):
    path = str(tmp_path / "votes")
    frames = b"".join(record_writer.FRAME_HEADER.pack(n, 4) + b"vo%02d" % n for n in range(1, 41))
    done = subprocess.run([sys.executable, "-c", COUNTED, path], input=frames, capture_output=True)
    assert (
        done.stdout == b"".join(n.to_bytes(4, "little") for n in range(1, 41))
        and done.returncode == 0
    )
    assert record_writer.unpack_record(open(path, "rb").read()) == b"vo40" and int(done.stderr) <= 2


def test_the_same_record_is_written_once_for_all_who_wait_for_it_and_again_where_no_answer_came(
    tmp_path,
):
    event_loop, said = EventLoop(), []
    durable_record = DurableRecord(
        event_loop, said.append, str(tmp_path), "votes", "torn", "unwritten"
    )

    def settled(many):
        until = event_loop.now + 10 * SECOND
        while len(said) < many and event_loop.now < until:
            event_loop.turn(20)
        return said

    try:
        for n in range(5):
            durable_record.write({"d": 1}, said.append, n)
        assert durable_record.last_number == 1 and said == [] and settled(5) == [0, 1, 2, 3, 4]
        durable_record.write({"d": 1}, said.append, 5)
        assert said[5:] == [5] and durable_record.last_number == 1  # it is safe already
        durable_record.helper.send_signal(signal.SIGSTOP)
        durable_record.write({"d": 2}, said.append, 6)
        durable_record.write({"d": 2}, said.append, 7)
        assert durable_record.last_number == 2
        event_loop.now += SECOND
        durable_record.write({"d": 2}, said.append, 8)
        assert durable_record.last_number == 3 and said[6:] == []
        durable_record.helper.send_signal(signal.SIGCONT)
        assert settled(9)[6:] == [6, 7, 8]
        assert record_writer.unpack_record((tmp_path / "votes").read_bytes()) == msgpack.packb(
            {"d": 2}
        )
    finally:
        durable_record.helper.kill()
        durable_record.close()


def account(epoch, taken, served, handed, engines=None, open_=0):
    return {
        "epoch": epoch,
        "taken": taken,
        "served": served,
        "refused": 0,
        "failed": 0,
        "open": open_,
        "handed": handed,
        "engines": handed if engines is None else engines,
        "ended": handed,
        "out": 0,
    }


def test_the_fleets_books_add_up_over_epochs_and_say_what_does_not():
    books = FleetAccounts()
    books.begin_round()
    books.record_account("n1", account("x", 5, 4, 5, open_=1))
    books.record_account("n2", account("y", 7, 7, 7))
    entry = books.build_entry(9, 1, 0, ["n2", "n3"])
    assert (entry["taken"], entry["missing"], entry["wrong"], entry["cut_off"]) == (
        12,
        ["n3"],
        [],
        0,
    )
    books.begin_round()
    books.record_account("n1", account("z", 1, 1, 1))  # it started anew: what was open was cut off
    books.record_account("n2", account("y", 6, 6, 6))
    entry = books.build_entry(9, 2, 0, ["n2"])
    assert (
        entry["taken"] == 12 and entry["cut_off"] == 1 and "n2: taken was 7, is 6" in entry["wrong"]
    )
    books.record_account("n2", account("y", 9, 8, 9, engines=8))
    assert any("engines were handed" in line for line in books.build_entry(9, 3, 0, [])["wrong"])
    with pytest.raises(ValueError):
        books.record_account("n3", {"epoch": "q", "taken": -1})
    for n in range(40):
        books.record_account("n4", account(f"e{n}", 1, 1, 1))
    assert (
        books.build_entry(9, 4, 0, [])["taken"] == 5 + 1 + 9 + 40
        and find_discrepancies(account("q", 1, 0, 0)) != []
    )


def test_candidates_agree_on_an_order_and_an_overloaded_one_says_so():
    members = [(f"n{n}", f"hall-{n % 3}") for n in range(9)]
    held = {}
    for duty in "abc":
        held[duty] = placement.preferred_order(duty, members, held)[0]
    assert len({dict(members)[name] for name in held.values()}) == 3
    assert placement.rank_of("a", "nobody", members, {}) == placement.MAX_RANK
