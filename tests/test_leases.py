"""Lease voters, candidates, commands, durable records, fleet accounts and simulated fleets."""

import os
import signal
import subprocess
import sys
from dataclasses import replace

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
from corkgauge.model.leases import (
    ALL_FAULT_KINDS,
    LEASE_TICKS,
    World,
    draw_scenario,
    minimize_scenario,
)
from corkgauge.model.model_checker import explore

SECOND = 10_000
CONFIGURATION = VoterConfiguration(1, ["a", "b", "c"], SECOND)
TIMING = LeaseTiming(SECOND, 0.01, 200)


class RecordingHost:
    """A host of a voter or candidate that records all calls."""

    def __init__(self):
        self.now, self.date, self.sent, self.timers, self.pending_writes, self.events = (
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

    def persist(self, record, callback, *arguments):
        if self.slow_disk:
            self.pending_writes.append((record, callback, arguments))
        else:
            callback(*arguments)

    def call_later(self, delay, method, *arguments):
        self.timers.append((self.now + delay, method, arguments))

    def random_below(self, limit):
        return 0

    def rank_of(self, lease):
        return 0

    def log(self, line):
        self.events.append(line)

    def on_lease_gained(self, candidate):
        self.events.append("gained")

    def on_lease_lost(self, candidate, reason):
        self.events.append(f"lost: {reason}")

    def on_lease_released(self, candidate):
        self.events.append("vacant")

    def send_request(
        self, voter, kind, sender="a", incarnation=1, ballot=0, configuration=CONFIGURATION
    ):
        """Send a request to the voter; return whether it was accepted, or None without a reply."""
        before = len(self.sent)
        body = [kind, "d", configuration.version, configuration.fingerprint, 1, ballot]
        voter.on_datagram(sender, incarnation, body)
        return self.sent[-1][1][5] if len(self.sent) > before else None


def make_voter(stored=(), **options):
    host = RecordingHost()
    return host, Voter(
        host, "b", CONFIGURATION, TIMING, dict(stored) if stored is not None else None, **options
    )


def test_voter_rejects_other_candidates_until_its_grant_expires():
    host, voter = make_voter()
    assert host.send_request(voter, MessageKind.PROBE) and host.send_request(
        voter, MessageKind.PREPARE, ballot=7
    )
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)
    for kind in MessageKind.PROBE, MessageKind.PREPARE, MessageKind.GRANT_REQUEST:
        assert host.send_request(voter, kind, sender="c", ballot=2**59) is False
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)  # renewal by the holder
    host.now += TIMING.grant_ticks - 1
    assert host.send_request(voter, MessageKind.PROBE, sender="c") is False
    host.now += 1
    assert host.send_request(voter, MessageKind.PROBE, sender="c") and host.send_request(
        voter, MessageKind.PREPARE, sender="c", ballot=8
    )
    # The ballot is below the promised ballot.
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7) is False


def test_voter_treats_restarted_holder_as_another_holder():
    host, voter = make_voter()
    assert host.send_request(voter, MessageKind.PREPARE, ballot=7) and host.send_request(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    )
    assert host.send_request(voter, MessageKind.PREPARE, incarnation=2, ballot=9) is False


def test_released_lease_is_free_at_once_and_late_grant_request_is_rejected():
    host, voter = make_voter()
    assert host.send_request(voter, MessageKind.PREPARE, ballot=7) and host.send_request(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    )
    assert host.send_request(voter, MessageKind.RELEASE, sender="c", ballot=7) is None
    # Only the holder can release the lease.
    assert host.send_request(voter, MessageKind.PROBE, sender="c") is False
    host.send_request(voter, MessageKind.RELEASE, ballot=7)
    assert host.send_request(
        voter, MessageKind.GRANT_REQUEST, ballot=7
    ) is False and host.send_request(voter, MessageKind.PROBE, sender="c")


def test_voter_without_stored_votes_is_silent_for_longest_lease():
    host, voter = make_voter(stored=None)
    assert host.send_request(voter, MessageKind.PROBE) is None and not voter.is_voting
    host.now += TIMING.silence_ticks
    assert host.send_request(voter, MessageKind.PROBE) and voter.is_voting


def test_voter_with_stored_votes_replies_only_after_persisting_and_votes_at_once_after_restart():
    host, voter = make_voter()
    host.slow_disk = True
    assert host.send_request(voter, MessageKind.PREPARE, ballot=7) is None
    _record, callback, arguments = host.pending_writes.pop()
    callback(*arguments)
    assert host.sent[-1][1][5] is True
    host.slow_disk = False
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)
    record = {"d": voter.votes["d"].encode()}
    restarted_host, voter = make_voter(stored=record)
    assert restarted_host.send_request(
        voter, MessageKind.PROBE, sender="c"
    ) is False and restarted_host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)
    assert restarted_host.send_request(voter, MessageKind.PREPARE, sender="c", ballot=6) is False


def test_voter_answers_repeated_grant_request_only_after_the_grant_is_stored():
    """Guards against a second holder after a voter was killed between its reply and its write."""
    host, voter = make_voter()
    host.send_request(voter, MessageKind.PREPARE, ballot=7)
    stored = {"d": voter.votes["d"].encode()}
    host.slow_disk = True
    for _ in range(3):
        assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7) is None
    # Killed now, the voter forgets the grant, which nobody has been told of.
    restarted_host, restarted = make_voter(stored=stored)
    assert restarted_host.send_request(restarted, MessageKind.PREPARE, sender="c", ballot=8)
    for _record, callback, arguments in host.pending_writes:  # one write on disk, which all join
        callback(*arguments)
    assert [body[5] for _, body in host.sent[1:]] == [True]
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)  # a renewal, at once


def test_voter_writes_a_grant_again_whose_write_failed():
    """Guards against a voter that never answers, as nothing repeats a write that failed."""
    host, voter = make_voter()
    host.send_request(voter, MessageKind.PREPARE, ballot=7)
    host.slow_disk = True
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7) is None
    host.pending_writes.clear()  # the disk was full, so the write is never confirmed
    host.slow_disk = False
    assert host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7) is True


def test_voter_does_not_confirm_a_grant_that_was_released_during_its_write():
    host, voter = make_voter()
    host.send_request(voter, MessageKind.PREPARE, ballot=7)
    host.slow_disk = True
    host.send_request(voter, MessageKind.GRANT_REQUEST, ballot=7)
    host.send_request(voter, MessageKind.RELEASE, ballot=7)
    ((_record, callback, arguments),) = host.pending_writes
    callback(*arguments)
    assert len(host.sent) == 1 and not voter.votes["d"].granted_until


def test_voter_ignores_other_configurations_and_stops_voting_when_its_own_is_outdated():
    host, voter = make_voter()
    newer = VoterConfiguration(2, ["a", "b"], SECOND)
    assert (
        host.send_request(
            voter, MessageKind.PROBE, configuration=VoterConfiguration(1, ["a", "b"], SECOND)
        )
        is None
    )
    assert host.send_request(voter, MessageKind.PROBE) is True
    assert host.send_request(voter, MessageKind.PROBE, configuration=newer) is None and host.events
    # The voter's own configuration is outdated, so it votes for no candidate.
    assert host.send_request(voter, MessageKind.PROBE) is None
    voter.reconfigure(newer, TIMING)
    assert host.send_request(voter, MessageKind.PROBE, configuration=newer) is None
    host.now += TIMING.silence_ticks
    assert host.send_request(voter, MessageKind.PROBE, configuration=newer) is True


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
def test_malformed_request_changes_no_vote(body):
    host, voter = make_voter()
    with pytest.raises((ValueError, TypeError, KeyError)):
        voter.on_datagram("a", 1, body)
    assert all(vote.encode() == [0, 0, "", 0] for vote in voter.votes.values()) and not host.sent


def prepare(voter, lease):
    voter.on_datagram("a", 1, [MessageKind.PREPARE, lease, 1, CONFIGURATION.fingerprint, 1, 7])


def test_voter_bounds_number_of_leases():
    _host, voter = make_voter()
    for n in range(300):
        prepare(voter, f"d{n}")
    assert len(voter.votes) == 64 and voter.counts["too many duties"] == 236


def test_voter_keeps_no_vote_for_a_probe_but_answers_it():
    """Guards against lease names that are only asked about, and shut out all later leases."""
    host, voter = make_voter()
    for n in range(300):
        voter.on_datagram("a", 1, [MessageKind.PROBE, f"d{n}", 1, CONFIGURATION.fingerprint, 1, 0])
    assert not voter.votes and len(host.sent) == 300


def test_voter_makes_room_for_a_new_lease_once_an_old_vote_binds_nobody():
    """Guards against a fleet that grants no new lease for good after its 64th lease name."""
    host, voter = make_voter()
    for n in range(64):
        prepare(voter, f"d{n}")
    host.now += TIMING.silence_ticks - 1
    prepare(voter, "early")
    assert "early" not in voter.votes
    host.now += 1
    prepare(voter, "d0")  # in use, so it is kept
    prepare(voter, "new")
    assert "new" in voter.votes and "d0" in voter.votes and "d1" not in voter.votes
    assert len(voter.votes) == 64


def test_configuration_change_is_accepted_only_if_safe():
    current = VoterConfiguration(1, "abc", 5)
    reported_by_all = {name: (1, current.fingerprint) for name in "abc"}
    for new in (
        VoterConfiguration(2, "abcd", 5),
        VoterConfiguration(2, "ab", 5),
        VoterConfiguration(2, "abc", 9),
        VoterConfiguration(1, "abc", 5),
    ):
        current.check_change_to(new, reported_by_all)
    for new, reported in (
        (VoterConfiguration(3, "abcd", 5), reported_by_all),
        (VoterConfiguration(2, "abd", 5), reported_by_all),
        (VoterConfiguration(1, "abcd", 5), reported_by_all),
        (VoterConfiguration(2, "abcd", 5), {"a": (1, current.fingerprint), "b": (0, 7)}),
    ):
        with pytest.raises(UnsafeChangeError):
            current.check_change_to(new, reported)


def test_majorities_of_configurations_differing_by_one_voter_intersect():
    from itertools import combinations

    for voter_count in range(1, 7):
        smaller, larger = range(voter_count), range(voter_count + 1)
        for majority in combinations(smaller, voter_count // 2 + 1):
            for other_majority in combinations(larger, (voter_count + 1) // 2 + 1):
                assert {*majority} & {*other_majority}


class CandidateHarness:
    """A candidate whose voters reply as the test specifies."""

    def __init__(self):
        self.host = RecordingHost()
        self.candidate = LeaseCandidate(self.host, "d", "a", CONFIGURATION, TIMING)

    def advance(self, ticks):
        until = self.host.now + ticks
        while due := min(
            (each for each in self.host.timers if each[0] <= until),
            key=lambda each: each[0],
            default=None,
        ):
            self.host.timers.remove(due)
            self.host.now = max(self.host.now, due[0])
            due[1](*due[2])
        self.host.now = until

    def reply(self, *voters, is_accepted=True, blocked_ticks=0):
        """Reply to the last request sent to each of these voters."""
        for voter in voters:
            body = next(body for name, body in reversed(self.host.sent) if name == voter)
            self.candidate.on_datagram(
                voter,
                [
                    body[0] + 1,
                    "d",
                    1,
                    CONFIGURATION.fingerprint,
                    body[4],
                    is_accepted,
                    0,
                    blocked_ticks,
                    "",
                ],
            )

    def acquire(self):
        self.advance(10)
        for _ in range(3):
            self.reply("a", "b")
        assert self.candidate.state == CandidateState.HOLDING
        return self


def test_vacancy_notice_replaces_probe_round_and_late_probe_replies_are_ignored():
    harness = CandidateHarness()
    harness.advance(10)
    candidate, host = harness.candidate, harness.host
    assert candidate.state == CandidateState.PROBING
    late_replies = [
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
    candidate.on_datagram("c", [MessageKind.VACANT, "d", 1, CONFIGURATION.fingerprint, 0])
    for voter, body in zip("ab", late_replies):
        candidate.on_datagram(voter, body)
    harness.advance(10)
    for _ in range(2):  # prepare and grant rounds; the probe round is skipped
        harness.reply("a", "b")
    assert candidate.state == CandidateState.HOLDING


def test_round_timeout_grows_to_a_bound_after_unanswered_rounds():
    harness, timeouts = CandidateHarness(), []
    for _ in range(5):
        while harness.candidate.state != CandidateState.PROBING:
            harness.advance(1)
        started_at = harness.host.now
        while harness.candidate.state == CandidateState.PROBING:
            harness.advance(1)
        timeouts.append(harness.host.now - started_at)
    assert timeouts == [TIMING.reply_ticks, 2 * TIMING.reply_ticks, *[3 * TIMING.reply_ticks] * 3]
    # A promise is used only while a restarted voter, which has lost the promise, would be silent.
    assert timeouts[-1] + TIMING.hold_ticks // 2 < TIMING.silence_ticks


def test_holding_period_counts_from_before_the_grant_request():
    harness = CandidateHarness()
    harness.advance(10)
    harness.reply("a", "b")
    harness.reply("b", "c")
    requested_at = harness.host.now
    harness.advance(300)  # slow replies shorten the holding period
    harness.reply("a", "c")
    assert (
        harness.candidate.may_act()
        and harness.candidate.held_until <= requested_at + 300 + TIMING.hold_ticks
    )
    harness.host.now = harness.candidate.held_until - 1
    assert harness.candidate.may_act()
    harness.host.now = harness.candidate.held_until
    # `may_act` reads the clock, even if the expiry timer has not run yet.
    assert not harness.candidate.may_act() and harness.candidate.state == CandidateState.HOLDING


def test_only_renewals_by_a_majority_extend_lease():
    harness = CandidateHarness().acquire()
    until = harness.candidate.held_until
    harness.advance(2 * TIMING.renewal_ticks)
    harness.reply("a")
    assert harness.candidate.held_until == until
    harness.reply("c")
    assert harness.candidate.held_until > until
    harness.advance(SECOND)
    assert not harness.candidate.may_act() and "lost: lapsed" in harness.host.events


def test_late_grant_reply_of_earlier_holding_period_is_ignored():
    harness = CandidateHarness().acquire()
    harness.advance(TIMING.renewal_ticks)
    late_request = [body for name, body in harness.host.sent if name == "b"][-1]
    harness.candidate.release("told")
    harness.advance(SECOND)
    for _ in range(2):
        harness.reply("a", "b")
    harness.candidate.on_datagram(
        "b",
        [late_request[0] + 1, "d", 1, CONFIGURATION.fingerprint, late_request[4], True, 0, 0, ""],
    )
    harness.candidate.on_datagram(
        "a",
        [late_request[0] + 1, "d", 1, CONFIGURATION.fingerprint, late_request[4], True, 0, 0, ""],
    )
    assert not harness.candidate.may_act()


def test_rejected_candidate_retries_when_majority_is_free():
    harness = CandidateHarness()
    harness.advance(10)
    harness.reply("a", "b", is_accepted=False, blocked_ticks=4000)
    sent_before = len(harness.host.sent)
    harness.advance(3990)
    assert len(harness.host.sent) == sent_before
    harness.advance(100)
    assert len(harness.host.sent) > sent_before


def test_release_notifies_voters_and_next_candidates():
    harness = CandidateHarness().acquire()
    harness.candidate.release("told")
    assert [body[0] for _, body in harness.host.sent[-3:]] == [
        MessageKind.RELEASE
    ] * 3 and not harness.candidate.may_act()
    assert harness.host.events[-2:] == ["lost: told", "vacant"]


def test_preempted_holder_releases_and_reacquires_with_higher_token():
    harness = CandidateHarness().acquire()
    harness.candidate.on_preempted(harness.candidate.fencing_token + 10**6)
    assert not harness.candidate.may_act()
    highest_ballot = harness.candidate.highest_ballot
    harness.advance(200)
    for _ in range(3):
        harness.reply("a", "b")
    assert harness.candidate.may_act() and harness.candidate.fencing_token > highest_ballot


def test_model_checker_finds_no_violation_near_start_and_around_holder():
    near_start, around_holder = explore(9), explore(5, start_with_holder=True)
    assert (
        not near_start.counterexample
        and not around_holder.counterexample
        and around_holder.states_with_holder > 100
    )
    assert near_start.state_count > 700 and around_holder.state_count > 500


def test_simulations_with_drifting_clocks_have_one_holder_at_a_time():
    handover_count = 0
    for seed in range(60):
        world = World(draw_scenario(seed, (3, 5)[seed % 2], disk=seed % 3 == 0))
        assert world.run() == [], draw_scenario(seed, (3, 5)[seed % 2], disk=seed % 3 == 0)
        handover_count += len(world.handovers)
    assert handover_count > 100


def slow_disk_scenario(seed, disabled=()):
    """Return many restarts and repeated datagrams, and writes of up to a fourth of a lease."""
    kinds = "restart", "restart", "restart", "deaf", "yield"
    scenario = draw_scenario(seed, fault_count=60, disabled=disabled, disk=True, kinds=kinds)
    return replace(scenario, write_ticks=LEASE_TICKS // 4, duplicates=0.5, loss=0.3)


def test_voters_killed_during_slow_writes_elect_one_holder_and_the_check_sees_the_earlier_voter():
    # Guards against a reply to a repeated grant request before the grant is on disk.
    seed_of_two_holders = 164
    for seed in (*range(60), seed_of_two_holders):
        assert World(slow_disk_scenario(seed)).run() == [], seed
    assert World(slow_disk_scenario(seed_of_two_holders, ("stored",))).run()


FAULT_KINDS = {"silence": ("restart", "cut", "cut"), "drift": ("cut", "deaf")}


@pytest.mark.parametrize("off", ["silence", "drift", "check", "fence", "busy"])
def test_simulation_detects_each_disabled_safeguard(off):
    for seed in range(400):
        day = draw_scenario(
            seed,
            3,
            disabled=(off,),
            drift=0.1 if off == "drift" else 0.01,
            kinds=FAULT_KINDS.get(off, ALL_FAULT_KINDS),
            fault_count=8,
        )
        if World(day).run():
            minimized_day = minimize_scenario(day)
            assert World(minimized_day).run() and len(minimized_day.faults) <= len(day.faults)
            return
    raise AssertionError(f"nothing was found without {off}")


def test_simulation_is_deterministic():
    first, second = World(draw_scenario(7, 5)), World(draw_scenario(7, 5))
    assert (first.run(), first.handovers, first.action_count) == (
        second.run(),
        second.handovers,
        second.action_count,
    )
    assert first.scenario.duration_ticks == 12 * LEASE_TICKS


class RecordingProcess:
    """A command's process that records the actions on it."""

    def __init__(self):
        self.actions = []

    def begin(self, fencing_token):
        self.actions.append(fencing_token)

    def terminate(self):
        self.actions.append("term")

    def kill(self):
        self.actions.append("kill")


def test_command_is_killed_before_lease_expires():
    process = RecordingProcess()
    command = LeasedCommand(process, grace_seconds=1.0, margin_seconds=0.1)
    command.on_answer(10.0, True, 7, 1.5)
    assert command.state == CommandState.WAITING  # too little time left to start
    command.on_answer(10.0, True, 7, 5.0)
    assert command.state == CommandState.RUNNING and process.actions == [7]
    command.on_answer(11.0, True, 7, 5.0)
    for now, state in (
        (14.8, CommandState.RUNNING),
        (14.91, CommandState.ENDING),
        (15.8, CommandState.ENDING),
        (15.91, CommandState.OVER),
    ):
        command.check_deadlines(now)
        assert command.state == state, now
    assert process.actions == [7, "term", "kill"]


@pytest.mark.parametrize("answer", [(11.0, False, 0, 0.0), (11.0, True, 8, 5.0)])
def test_command_is_terminated_when_lease_is_lost_or_reacquired(answer):
    process = RecordingProcess()
    command = LeasedCommand(process, 1.0, 0.1)
    command.on_answer(10.0, True, 7, 5.0)
    command.on_answer(*answer)
    assert command.state == CommandState.ENDING and process.actions == [7, "term"]
    command.on_exited()
    command.check_deadlines(99.0)
    assert process.actions == [7, "term"]


@pytest.mark.parametrize("length", range(0, 40, 4))
def test_truncated_or_altered_record_is_rejected(length):
    data = record_writer.pack_record(b"votes of a voter")
    assert record_writer.unpack_record(data) == b"votes of a voter"
    if length < len(data):
        assert record_writer.unpack_record(data[:length]) is None
        assert (
            record_writer.unpack_record(
                data[:length] + bytes([data[length] ^ 1]) + data[length + 1 :]
            )
            is None
        )


def test_record_writer_confirms_only_durable_records(tmp_path):
    path = str(tmp_path / "votes")
    frames = b"".join(
        record_writer.FRAME_HEADER.pack(number, 4) + b"vot%d" % number for number in (1, 2)
    )
    result = subprocess.run(
        [sys.executable, record_writer.__file__, path],
        input=frames + record_writer.FRAME_HEADER.pack(3, 9) + b"part",
        capture_output=True,
    )
    assert (
        result.stdout == b"\1\0\0\0\2\0\0\0"
        and record_writer.unpack_record(open(path, "rb").read()) == b"vot2"
    )
    failed_result = subprocess.run(
        [sys.executable, record_writer.__file__, str(tmp_path / "no" / "votes")],
        input=frames,
        capture_output=True,
    )
    assert failed_result.stdout == b"" and not os.path.exists(tmp_path / "no")


COUNTING_RECORD_WRITER = """
import sys
from corkgauge.leases import record_writer
real, sizes = record_writer.write_file, []
record_writer.write_file = lambda path, data: (sizes.append(len(data)), real(path, data))
code = record_writer.main()
print(len(sizes), file=sys.stderr)
sys.exit(code)
"""


def test_record_writer_writes_queued_frames_once_and_confirms_all(tmp_path):
    path = str(tmp_path / "votes")
    frames = b"".join(
        record_writer.FRAME_HEADER.pack(number, 4) + b"vo%02d" % number for number in range(1, 41)
    )
    result = subprocess.run(
        [sys.executable, "-c", COUNTING_RECORD_WRITER, path], input=frames, capture_output=True
    )
    assert (
        result.stdout == b"".join(number.to_bytes(4, "little") for number in range(1, 41))
        and result.returncode == 0
    )
    assert (
        record_writer.unpack_record(open(path, "rb").read()) == b"vo40" and int(result.stderr) <= 2
    )


def test_identical_record_is_written_once_and_rewritten_without_confirmation(
    tmp_path,
):
    event_loop, completed = EventLoop(), []
    durable_record = DurableRecord(
        event_loop, completed.append, str(tmp_path), "votes", "torn", "unwritten"
    )

    def wait_for_callbacks(count):
        until = event_loop.now + 10 * SECOND
        while len(completed) < count and event_loop.now < until:
            event_loop.turn(20)
        return completed

    try:
        for number in range(5):
            durable_record.write({"d": 1}, completed.append, number)
        assert (
            durable_record.last_number == 1
            and completed == []
            and wait_for_callbacks(5) == [0, 1, 2, 3, 4]
        )
        durable_record.write({"d": 1}, completed.append, 5)
        # The record is already durable, so the callback runs without another write.
        assert completed[5:] == [5] and durable_record.last_number == 1
        durable_record.helper.send_signal(signal.SIGSTOP)
        durable_record.write({"d": 2}, completed.append, 6)
        durable_record.write({"d": 2}, completed.append, 7)
        assert durable_record.last_number == 2
        event_loop.now += SECOND
        durable_record.write({"d": 2}, completed.append, 8)
        assert durable_record.last_number == 3 and completed[6:] == []
        durable_record.helper.send_signal(signal.SIGCONT)
        assert wait_for_callbacks(9)[6:] == [6, 7, 8]
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


def test_fleet_accounts_sum_epochs_and_list_discrepancies():
    fleet_accounts = FleetAccounts()
    fleet_accounts.begin_round()
    fleet_accounts.record_account("n1", account("x", 5, 4, 5, open_=1))
    fleet_accounts.record_account("n2", account("y", 7, 7, 7))
    entry = fleet_accounts.build_entry(9, 1, 0, ["n2", "n3"])
    assert (entry["taken"], entry["missing"], entry["wrong"], entry["cut_off"]) == (
        12,
        ["n3"],
        [],
        0,
    )
    fleet_accounts.begin_round()
    # The restart of n1 cut off its open request.
    fleet_accounts.record_account("n1", account("z", 1, 1, 1))
    fleet_accounts.record_account("n2", account("y", 6, 6, 6))
    entry = fleet_accounts.build_entry(9, 2, 0, ["n2"])
    assert (
        entry["taken"] == 12 and entry["cut_off"] == 1 and "n2: taken was 7, is 6" in entry["wrong"]
    )
    fleet_accounts.record_account("n2", account("y", 9, 8, 9, engines=8))
    assert any(
        "engines were handed" in line for line in fleet_accounts.build_entry(9, 3, 0, [])["wrong"]
    )
    with pytest.raises(ValueError):
        fleet_accounts.record_account("n3", {"epoch": "q", "taken": -1})
    for n in range(40):
        fleet_accounts.record_account("n4", account(f"e{n}", 1, 1, 1))
    assert (
        fleet_accounts.build_entry(9, 4, 0, [])["taken"] == 5 + 1 + 9 + 40
        and find_discrepancies(account("q", 1, 0, 0)) != []
    )


def test_preferred_order_spreads_leases_over_zones():
    members = [(f"n{n}", f"hall-{n % 3}") for n in range(9)]
    holders = {}
    for lease in "abc":
        holders[lease] = placement.preferred_order(lease, members, holders)[0]
    assert len({dict(members)[name] for name in holders.values()}) == 3
    assert placement.rank_of("a", "nobody", members, {}) == placement.MAX_RANK
