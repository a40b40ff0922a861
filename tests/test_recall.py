"""Recovery: attempt log, snapshots, decay, a disk that fails, and what the gateway does with it."""

import json
import os
import signal
import time
from random import Random

import pytest
from click.testing import CliRunner
from hypothesis import given, strategies

from corkgauge.commands import group
from corkgauge.config.operator_file import RecoveryConfig
from corkgauge.policy.records import AttemptOutcome
from corkgauge.recovery import attempt_log, decay, learned_state, log_writer, snapshot
from corkgauge.recovery.attempt_log import AttemptLog
from corkgauge.recovery.attempt_records import (
    LoggedAttempt,
    encode_finished,
    encode_sent,
    read_records,
)
from corkgauge.recovery.decay import LearnedEngine
from corkgauge.recovery.log_writer import FRAME, RecoveryFiles, segments
from corkgauge.recovery.service import RecoveryService
from corkgauge.testkit.faults.script import read as read_script
from corkgauge.testkit.fleet.day import Day
from tests.harness import (
    PLATFORM_SETTINGS,
    SECOND,
    GatewayHarness,
    HostHarness,
    endpoint_list_event,
    request_frame,
)

NONCE = "ab" * 16


def logged_attempt(serial, label="l1", sent=0, until=100 * SECOND, key=7, zone=0):
    return LoggedAttempt(serial, label, "load", key, "e1", zone, 0, sent, until)


# The log.


def test_a_log_is_read_as_far_as_it_is_good():
    whole = b"".join(
        [
            encode_sent(logged_attempt(1)),
            encode_finished(1, True),
            encode_sent(logged_attempt(2, "l2")),
        ]
    )
    bodies = [body for body, _, _ in read_records(whole)]
    assert len(bodies) == 4 and bodies[-1] is None
    for at in range(len(whole)):
        said = [*read_records(whole[:at])]
        assert said[-1][2] in ("", "a torn end") and len(said) - 1 <= 2
    bad = bytearray(whole)
    bad[20] ^= 1
    assert [*read_records(bytes(bad))][-1] == (None, 0, "damage in the middle")


@given(strategies.binary(max_size=200))
def test_any_bytes_of_a_log_or_snapshot_do_no_harm(data):
    for body, _, _ in read_records(encode_sent(logged_attempt(1)) + data):
        assert body is None or isinstance(body, list)
    with pytest.raises(snapshot.UnusableSnapshotError):
        snapshot.decode(snapshot.MAGIC[: len(data) % 9] + data, "n", 1)


@pytest.mark.parametrize(
    "body", [[1, "x"], [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], [2, [], True], [1, 1, "l", "o", 1, "e"]]
)
def test_records_that_make_no_sense_are_passed_over(body):
    assert not AttemptLog().apply(body) or not len(AttemptLog())


def test_effects_are_known_by_label_until_engines_forget_and_stay_bounded(monkeypatch):
    known = AttemptLog()
    known.add_sent(logged_attempt(1, sent=0))
    known.add_sent(logged_attempt(2, "l2"))
    known.add_finished(2, may_have_run=False)  # proof that it never ran
    known.add_finished(1, may_have_run=True)
    assert [each.serial for each in known.remembered("load", "l1", 5)] == [
        1
    ] and not known.remembered("load", "l2", 5)
    assert not known.remembered("load", "l1", 100 * SECOND) and not known.in_doubt()
    known.expire(100 * SECOND)
    assert len(known) == 0 and not known.by_idempotency_key
    monkeypatch.setattr(attempt_log, "MAX_ATTEMPTS", 10)
    for serial in range(50):
        known.add_sent(logged_attempt(serial, f"l{serial}"))
    assert len(known) == 10 and len(known.by_idempotency_key) == 10


# Decay.


def test_a_rest_is_never_longer_than_it_had_left_and_the_old_counts_for_less():
    said = LearnedEngine([9.0] * 8, 0.25, 50_000, ["error"] * 4)
    for age, left in (0, 10_000), (4_000, 6_000), (20_000, 0), (decay.UNKNOWN_AGE, 0):
        aged = decay.decay_engine(said, age, 40_000, 1_000_000)
        assert aged.ejected_until == (1_000_000 + left if left else -1)
    sizes = [
        len(decay.decay_engine(said, age, 40_000, 0).slowness_samples)
        for age in (0, decay.SLOWNESS_HALF_LIFE_TICKS, 10 * decay.SLOWNESS_HALF_LIFE_TICKS)
    ]
    assert sizes == [8, 4, 0]
    assert decay.decay_engine(said, decay.UNKNOWN_AGE, 40_000, 0).limit_factor == 1.0


@pytest.mark.parametrize(
    "boot, since_boot, now, age",
    [
        # the date a year ahead, or set back: the boot's clock tells
        ("b1", 900, 10**9, 400),
        ("b1", 900, 5, 400),
        ("b1", 100, 1_700, 700),
        ("b2", 3, 1_700, 700),
        ("b2", 3, 400, decay.UNKNOWN_AGE),
        ("", 3, 400, decay.UNKNOWN_AGE),
    ],
)
def test_the_time_it_was_down(boot, since_boot, now, age):
    assert (
        decay.snapshot_age({"boot": "b1", "since_boot": 500, "at": 1_000}, now, boot, since_boot)
        == age
    )


# A disk that loses, tears and reorders what was not synced.


class Cut(Exception):
    """The power goes."""


class Flaky:
    """Everything lives in memory: what was synced, and what waits. Power goes at step `until`."""

    def __init__(self, until):
        self.until, self.steps = until, 0
        self.files = {}  # by handle: [synced bytes, bytes as written]
        self.folder = {}  # as it is: name to handle
        self.waiting = []  # changes of the folder that were not synced
        self.kept = {}  # the folder as synced

    def step(self):
        self.steps += 1
        if self.steps > self.until:
            raise Cut

    def create(self, path):
        self.step()
        handle = len(self.files)
        self.files[handle] = [b"", b""]
        self._change(("put", path, handle))
        return handle

    def _change(self, change):
        self.waiting.append(change)
        apply(self.folder, change)

    def write(self, handle, data):
        half = len(data) // 2
        for piece in data[:half], data[half:]:
            self.step()
            self.files[handle][1] += piece

    def sync(self, handle):
        self.step()
        self.files[handle][0] = self.files[handle][1]

    def close(self, handle):
        pass

    def rename(self, old, new):
        self.step()
        self._change(("rename", old, new))

    def remove(self, path):
        self.step()
        self._change(("remove", path, None))

    def names(self, folder):
        return [os.path.basename(path) for path in self.folder]

    def sync_folder(self, folder):
        self.step()
        self.kept, self.waiting = dict(self.folder), []

    def after(self, chance):
        """What a start finds: some of what waited came through, and of files whole sectors."""
        folder = dict(self.kept)
        for change in self.waiting:
            if chance.random() < 0.5:
                apply(folder, change)
        found = {}
        for path, handle in folder.items():
            synced, written = self.files[handle]
            tail = bytearray(written[len(synced) :])
            for at in range(0, len(tail), 512):
                if chance.random() < 0.3:
                    tail[at : at + 512] = bytes(len(tail[at : at + 512]))
            found[path] = synced + bytes(
                tail[: chance.choice((len(tail), len(tail) // 512 * 512, 0))]
            )
        return found


def apply(folder, change):
    what, path, other = change
    if what == "put":
        folder[path] = other
    elif path in folder:
        handle = folder.pop(path)
        if what == "rename":
            folder[other] = handle


def body_of(n):
    return {"gateway": "n", "mark": 1, "at": n, "fill": "x" * 1500}


def test_power_cut_at_any_step_leaves_an_earlier_state_or_a_cold_start():
    chance, points, outcomes = Random(7), 0, set()
    for until in range(1, 400):
        disk = Flaky(until)
        done = logged = 0
        files = None
        try:
            files = RecoveryFiles("/d", "n", True, 3, disk)
            for n in range(1, 9):
                files.write_snapshot(snapshot.encode(body_of(n)))
                done = n
                for k in range(4):
                    files.append_records(encode_sent(logged_attempt(10 * n + k)))
                    logged = 10 * n + k
        except Cut:
            points += 1
        for _ in range(12):
            found, read = disk.after(chance), 0
            for end in "recall", "recall.1", "recall.2":
                try:
                    read = snapshot.decode(found.get(f"/d/n.{end}", b""), "n", 1)["at"]
                    break
                except snapshot.UnusableSnapshotError:
                    continue
            assert done <= read <= done + 1 or not done, (until, done, read)  # synced is never lost
            known = AttemptLog()
            for _, path in segments("/d", "n", [os.path.basename(path) for path in found]):
                for body, _, _ in read_records(found[path]):
                    assert body is None or known.apply(body)
            assert max(known.by_serial, default=0) >= logged or not logged
            outcomes.add((until, read, max(known.by_serial, default=0)))
        if files is not None and disk.steps < until:
            break
    assert points > 90 and len(outcomes) > points


# The module's two calls.


def test_what_was_learned_comes_back_only_for_the_same_engine():
    harness = GatewayHarness(can_hedge=True)
    slow, gone, other = harness.engines
    for _ in range(4):
        harness.submit_request()
    for attempt in [h for e in harness.engines for h in [*e.stats.in_flight]]:
        harness.finish_attempt(attempt, took=30_000)
    harness.gateway.outliers.record_fault(slow, "silent")
    harness.gateway.price.current = 1e-6
    for each in harness.engines:
        each.name = each.host_reference
    said = {
        "at": harness.now,
        **learned_state.encode_learned_state(learned_state.copy_learned_state(harness.gateway)),
    }
    later = GatewayHarness(can_hedge=True)
    for each in later.engines:
        each.name = each.host_reference
    later.engines[1].incarnation = 5  # another process under the same id
    request_classes = {each.name: each for each in later.request_classes}
    counts = learned_state.restore_learned_state(said, later.gateway, request_classes, later.now, 0)
    assert later.engines[0].stats.ejected_until == later.now + SECOND
    assert (
        not later.engines[1].stats.slowness_samples
        and counts.request_classes == 1
        and later.gateway.price.current == 1e-6
    )
    assert not later.gateway.outliers.is_healthy(
        later.engines[0]
    ) and later.gateway.outliers.is_healthy(later.engines[1])
    assert len(later.gateway.queues) == 1
    request = later.submit_request()
    assert request.attempts[0].engine is not later.engines[0]
    later.pass_time(2 * SECOND)
    assert len(later.engines[0].stats.in_flight) == 1  # its rest is over: one hand-off tells


def test_a_label_that_may_have_run_keeps_its_hall_and_a_key_rests():
    request_class = dict(
        name="load",
        latency_objective=SECOND,
        objective_stretch=1.0,
        time_to_deadline=5 * SECOND,
        priority_weight=1.0,
        repeatability=1,
        key_scope="zone",
        key_ttl=20 * SECOND,
        ordered=True,
    )
    harness = GatewayHarness(request_classes=(request_class,), settle_ticks=3000)
    harness.gateway.hold_order_key(9, harness.now + 3000)
    first = harness.submit_request(order_key=9, time_to_deadline=3 * SECOND)
    assert not first.attempts
    harness.pass_time(3100)
    assert first.attempts and not harness.gateway.order.held_until


# The whole, on sockets.


def start_service(folder, harness, each=SECOND, **said):
    return RecoveryService(
        harness.socket_host,
        "n",
        1,
        RecoveryConfig(str(folder), each, said.get("durability", "process"), 3),
    )


def settled(harness, done, patience=5.0):
    until = time.time() + patience
    while not done() and time.time() < until:
        harness.time += 10
        harness.turn(2)
        time.sleep(0.005)
    assert done()


LABELLED_BY_HALL = [
    {**each, "group": "zone"} if each["name"] == "load" else each
    for each in PLATFORM_SETTINGS["profiles"]
]
TWO_HALLS = [endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2", "zone": "west"})]


def test_a_retry_after_a_restart_goes_only_where_its_mark_is_known(tmp_path):
    for turn in range(4):  # the hashed order alone would send some of them elsewhere
        folder = tmp_path / str(turn)
        before = HostHarness(events=TWO_HALLS, profiles=LABELLED_BY_HALL)
        service = start_service(folder, before)
        client = before.connect_client()
        sockets = {tag: before.connect_engine(tag) for tag in ("e1", "e2")}
        body = b"select * from s_%d.t" % turn
        before.send(client, request_frame(1, route="load", nonce=NONCE, entity="5", body=body))
        first = next(tag for tag, sock in sockets.items() if before.receive(sock))
        settled(before, lambda: any(path.stat().st_size for path in folder.glob("n.effects.*")))
        service.writer.process.stdin.close()
        service.writer.process.wait(5)
        os.close(service.lock)  # as a kill does
        after = HostHarness(events=TWO_HALLS, profiles=LABELLED_BY_HALL)
        again = start_service(folder, after)
        assert any("effects=1 unsettled=1" in line for line in after.logged)
        other = {"e1": "e2", "e2": "e1"}[first]
        sockets = {tag: after.connect_engine(tag) for tag in (other, first)}
        after.socket_host.engine_pools[
            first
        ].engine.threads_in_flight = 99  # whatever the load: only there is its mark known
        after.send(
            after.connect_client(),
            request_frame(1, route="load", nonce=NONCE, entity="6", body=body),
        )
        assert b"fetch" not in after.receive(sockets[other])
        request = next(iter(after.socket_host.open_requests.values()), None)
        assert request is None or [each.engine.name for each in request.earlier_attempts] == [first]
        again.end()


@pytest.mark.parametrize(
    "content, said",
    [
        (b"", "foreign"),
        (b"CKGRECL\n" + b"\xff\xff" + bytes(40), "newer than 1"),
        (snapshot.encode({"gateway": "other", "mark": 1, "at": 1}), "of another gateway"),
        (snapshot.encode({"gateway": "n", "mark": 2, "at": 1}), "of other settings"),
        (snapshot.encode({"gateway": "n", "mark": 1, "at": 1})[:-1], "torn"),
        (snapshot.encode({"gateway": "n", "mark": 1, "at": 1, "engines": 3}), "makes no sense"),
    ],
)
def test_a_snapshot_that_is_no_use_means_a_cold_start_and_one_line(tmp_path, content, said):
    (tmp_path / "n.recall").write_bytes(content)
    harness = HostHarness()
    service = start_service(tmp_path, harness)
    assert sum("passed over" in line for line in harness.logged) == 1 and said in harness.logged[0]
    service.end()
    assert snapshot.decode((tmp_path / "n.recall").read_bytes(), "n", 1)


def test_files_far_larger_than_they_should_be_are_not_read(tmp_path):
    for name in "n.recall", "n.effects.00000001":
        with open(tmp_path / name, "wb") as file:
            file.truncate(2 * 2**30)
    begun, harness = time.time(), HostHarness()
    service = start_service(tmp_path, harness)
    assert time.time() - begun < 2
    assert "more than are read" in harness.logged[0] and "too large" in harness.logged[1]
    service.end()


def test_two_programs_in_one_folder_and_a_folder_that_cannot_be(tmp_path):
    one, two = HostHarness(), HostHarness()
    service, none = start_service(tmp_path, one), start_service(tmp_path, two)
    assert (
        "in use by another" in two.logged[0]
        and two.socket_host.recovery is None
        and none.writer is None
    )
    (tmp_path / "file").write_text("")
    start_service(tmp_path / "file" / "x", two)
    assert "Not a directory" in two.logged[1]
    service.end()


def test_a_helper_that_stands_still_or_dies_costs_nothing_but_entries(tmp_path):
    harness = HostHarness()
    service = start_service(tmp_path, harness, each=10**9)
    os.kill(service.writer.process.pid, signal.SIGSTOP)
    begun = time.time()
    for serial in range(3000):
        service.writer.put(log_writer.RECORDS, bytes(1000))
    assert (
        time.time() - begun < 2
        and service.writer.frames_lost > 0
        and len(service.writer.unwritten) < 5000
    )
    assert sum("does not keep up" in line for line in harness.logged) == 1
    os.kill(service.writer.process.pid, signal.SIGCONT)
    settled(harness, lambda: service.writer.flush())
    service.writer.put(log_writer.RECORDS, encode_sent(logged_attempt(1)))
    assert (
        any("written again" in line for line in harness.logged) and service.writer.frames_lost == 0
    )
    os.kill(service.writer.process.pid, signal.SIGKILL)
    settled(harness, lambda: any("the helper ended" in line for line in harness.logged))
    harness.pass_time(6 * SECOND, 500)
    settled(harness, lambda: service.writer.process is not None)
    service.end()


def test_a_folder_that_goes_in_mid_run_is_told_and_the_helper_goes_on(tmp_path):
    harness = HostHarness()
    service = start_service(tmp_path, harness, each=10**9)
    for path in tmp_path.iterdir():
        path.unlink()
    tmp_path.rmdir()
    service.writer.put(log_writer.RECORDS, encode_sent(logged_attempt(1)))
    settled(harness, lambda: any("not written: No such file" in line for line in harness.logged))
    tmp_path.mkdir()
    service.writer.put(log_writer.RECORDS, encode_sent(logged_attempt(2)))
    settled(harness, lambda: any(path.stat().st_size for path in tmp_path.glob("n.effects.*")))
    service.end()


def test_the_helper_ends_with_its_parent_and_takes_no_part_of_a_frame(tmp_path):
    import subprocess
    import sys

    helper = subprocess.Popen(
        [sys.executable, log_writer.__file__, str(tmp_path), "n", "machine", "2"],
        stdin=subprocess.PIPE,
    )
    whole = encode_sent(logged_attempt(1))
    helper.stdin.write(
        FRAME.pack(log_writer.RECORDS, len(whole))
        + whole
        + FRAME.pack(log_writer.RECORDS, 500)
        + b"x" * 99
    )
    helper.stdin.close()
    assert helper.wait(5) == 0
    assert (tmp_path / "n.effects.00000001").read_bytes() == whole


RECALL = '<operator version="1"><recall folder="{folder}/recall" each="0.1"/></operator>'


def test_the_real_program_killed_again_and_again_finds_what_it_left():
    script = "at 0.1 for 20: all slow 10\n" + "".join(
        f"at {1 + 0.6 * n}: program kill\n" for n in range(8)
    )
    play = Day(
        6,
        read_script(script, ["e1", "e2"]),
        engines=2,
        rate=120,
        scrapes=0,
        operator=RECALL,
        group="zone",
        retries=True,
    )
    try:
        play.run(6.5, drain=2)
        log = play.program.log()
    finally:
        play.close()
    assert len(play.program.kills) == 8 and not [
        line for line in log if "passed over" in line or "exceptions" in line
    ]
    assert sum("recall: engines=" in line for line in log) >= 7
    assert play.broken(2500) == []


def test_outcomes_that_prove_nothing_ran_free_the_label():
    known = AttemptLog()
    for serial, outcome in enumerate(
        (AttemptOutcome.CONNECTION_RESET, AttemptOutcome.UNREACHABLE), 1
    ):
        known.add_sent(logged_attempt(serial, f"l{serial}"))
        known.add_finished(serial, outcome == AttemptOutcome.CONNECTION_RESET)
    assert [*known.by_idempotency_key] == [("load", "l1")]


def test_the_commands_show_check_and_prune(tmp_path):
    harness, run = HostHarness(), CliRunner().invoke
    service = start_service(tmp_path, harness)
    assert run(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 2
    service.writer.put(log_writer.RECORDS, encode_sent(logged_attempt(1)))
    service.end()
    assert (
        run(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 2
    )  # it still runs
    said = json.loads(run(group, ["recovery", "show", str(tmp_path), "--json"]).output)
    assert said[0]["effects"] == 1 and said[0]["body"]["engines"]["e1"]["bound"] == 1.0
    assert run(group, ["recovery", "show", str(tmp_path)]).exit_code == 0
    assert run(group, ["recovery", "check", str(tmp_path)]).exit_code == 0
    (tmp_path / "n.recall").write_bytes(b"x")
    assert (
        "foreign" in (bad := run(group, ["recovery", "check", str(tmp_path)])).output
        and bad.exit_code == 1
    )
    os.close(service.lock)
    assert run(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 0
    assert {path.name for path in tmp_path.iterdir()} == {"n.lock"}


def test_segments_go_when_all_in_them_is_over_and_not_before(tmp_path, monkeypatch):
    monkeypatch.setattr(log_writer, "SEGMENT_BYTES", 500)
    files = RecoveryFiles(str(tmp_path), "n", False, 1)

    def there():
        return [path.name[-8:] for path in sorted(tmp_path.glob("n.effects.*"))]

    for serial in range(
        1, 401
    ):  # far more than sixteen segments of one mark that is remembered long
        files.append_records(encode_sent(logged_attempt(serial)))
        if serial % 10 == 0:
            files.drop_settled_segments(1, serial)
    many = len(there())
    assert 16 < many <= log_writer.MAX_SEGMENTS
    found = AttemptLog()
    for _, path in segments(str(tmp_path), "n", os.listdir(tmp_path)):
        with open(path, "rb") as file:
            for body, _, _ in read_records(file.read()):
                assert body is None or found.apply(body)
    assert found.oldest_serial(0) == 1 and len(found) == 400
    files.drop_settled_segments(200, 400)  # all below is over
    left = len(there())
    assert many // 3 < left < many
    files.drop_settled_segments(401, 400)
    assert len(there()) == 1  # the one that is written to
