"""Attempt log, snapshots, decay, the log writer with a faulty disk, and restarts of a gateway."""

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
from corkgauge.recovery.log_writer import FRAME_HEADER, RecoveryFiles, list_segments
from corkgauge.recovery.service import RecoveryService
from corkgauge.testkit.faults.script import parse_script
from corkgauge.testkit.fleet.day import GatewayScenario
from tests.harness import (
    PLATFORM_SETTINGS,
    SECOND,
    GatewayHarness,
    HostHarness,
    endpoint_list_event,
    request_frame,
)

IDEMPOTENCY_KEY = "ab" * 16


def logged_attempt(
    serial,
    idempotency_key="l1",
    sent_at=0,
    deduplicated_until=100 * SECOND,
    order_key=7,
    zone=0,
):
    return LoggedAttempt(
        serial, idempotency_key, "load", order_key, "e1", zone, 0, sent_at, deduplicated_until
    )


# Attempt log.


def test_reading_stops_at_the_first_damage_and_classifies_the_damage():
    log = b"".join(
        [
            encode_sent(logged_attempt(1)),
            encode_finished(1, True),
            encode_sent(logged_attempt(2, "l2")),
        ]
    )
    bodies = [body for body, _, _ in read_records(log)]
    assert len(bodies) == 4 and bodies[-1] is None
    for length in range(len(log)):
        records = [*read_records(log[:length])]
        assert records[-1][2] in ("", "a torn end") and len(records) - 1 <= 2
    corrupted_log = bytearray(log)
    corrupted_log[20] ^= 1
    assert [*read_records(bytes(corrupted_log))][-1] == (None, 0, "damage in the middle")


@given(strategies.binary(max_size=200))
def test_arbitrary_bytes_in_a_log_or_snapshot_raise_no_unexpected_error(data):
    for body, _, _ in read_records(encode_sent(logged_attempt(1)) + data):
        assert body is None or isinstance(body, list)
    with pytest.raises(snapshot.UnusableSnapshotError):
        snapshot.decode(snapshot.MAGIC[: len(data) % 9] + data, "n", 1)


@pytest.mark.parametrize(
    "body", [[1, "x"], [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], [2, [], True], [1, 1, "l", "o", 1, "e"]]
)
def test_replaying_a_malformed_record_raises_no_error(body):
    assert not AttemptLog().replay_record(body) or not len(AttemptLog())


def test_attempts_are_found_by_key_until_engines_forget_the_key_and_are_bounded(monkeypatch):
    attempts = AttemptLog()
    attempts.add_sent_attempt(logged_attempt(1, sent_at=0))
    attempts.add_sent_attempt(logged_attempt(2, "l2"))
    attempts.record_outcome(2, may_have_run=False)  # the outcome proves that the attempt never ran
    attempts.record_outcome(1, may_have_run=True)
    assert [each.serial for each in attempts.find_deduplicated_attempts("load", "l1", 5)] == [
        1
    ] and not attempts.find_deduplicated_attempts("load", "l2", 5)
    assert (
        not attempts.find_deduplicated_attempts("load", "l1", 100 * SECOND)
        and not attempts.find_in_doubt_attempts()
    )
    attempts.expire_attempts(100 * SECOND)
    assert len(attempts) == 0 and not attempts.by_idempotency_key
    monkeypatch.setattr(attempt_log, "MAX_ATTEMPT_COUNT", 10)
    for serial in range(50):
        attempts.add_sent_attempt(logged_attempt(serial, f"l{serial}"))
    assert len(attempts) == 10 and len(attempts.by_idempotency_key) == 10


# Decay.


def test_decay_never_prolongs_an_ejection_and_keeps_fewer_old_samples():
    learned = LearnedEngine([9.0] * 8, 0.25, 50_000, ["error"] * 4)
    for age, remaining_ticks in (0, 10_000), (4_000, 6_000), (20_000, 0), (decay.UNKNOWN_AGE, 0):
        decayed = decay.decay_engine(learned, age, 40_000, 1_000_000)
        assert decayed.ejected_until == (1_000_000 + remaining_ticks if remaining_ticks else -1)
    sample_counts = [
        len(decay.decay_engine(learned, age, 40_000, 0).slowness_samples)
        for age in (0, decay.SLOWNESS_HALF_LIFE_TICKS, 10 * decay.SLOWNESS_HALF_LIFE_TICKS)
    ]
    assert sample_counts == [8, 4, 0]
    assert decay.decay_engine(learned, decay.UNKNOWN_AGE, 40_000, 0).limit_factor == 1.0


@pytest.mark.parametrize(
    "boot_id, ticks_since_boot, now, age",
    [
        # The date was set ahead or back: the clock since boot determines the age.
        ("b1", 900, 10**9, 400),
        ("b1", 900, 5, 400),
        ("b1", 100, 1_700, 700),
        ("b2", 3, 1_700, 700),
        ("b2", 3, 400, decay.UNKNOWN_AGE),
        ("", 3, 400, decay.UNKNOWN_AGE),
    ],
)
def test_snapshot_age_uses_the_clock_since_boot_within_one_boot(
    boot_id, ticks_since_boot, now, age
):
    assert (
        decay.snapshot_age(
            {"boot": "b1", "since_boot": 500, "at": 1_000}, now, boot_id, ticks_since_boot
        )
        == age
    )


# Power cuts with a disk that loses, tears and reorders unsynced writes.


class PowerCutError(Exception):
    """Power cut of a faulty disk."""


class FaultyDisk:
    """In-memory disk with synced and unsynced writes; the power is cut at a given step."""

    def __init__(self, power_cut_step):
        self.power_cut_step, self.steps = power_cut_step, 0
        self.files = {}  # [synced bytes, written bytes] by handle
        self.handles = {}  # current folder: handle by path
        self.unsynced_changes = []  # of the folder
        self.synced_handles = {}  # folder at the last sync: handle by path

    def count_step(self):
        self.steps += 1
        if self.steps > self.power_cut_step:
            raise PowerCutError

    def create(self, path):
        self.count_step()
        handle = len(self.files)
        self.files[handle] = [b"", b""]
        self._change_folder(("put", path, handle))
        return handle

    def _change_folder(self, change):
        self.unsynced_changes.append(change)
        apply_folder_change(self.handles, change)

    def write(self, handle, data):
        half = len(data) // 2
        for piece in data[:half], data[half:]:
            self.count_step()
            self.files[handle][1] += piece

    def sync(self, handle):
        self.count_step()
        self.files[handle][0] = self.files[handle][1]

    def close(self, handle):
        pass

    def rename(self, old, new):
        self.count_step()
        self._change_folder(("rename", old, new))

    def remove(self, path):
        self.count_step()
        self._change_folder(("remove", path, None))

    def list_names(self, folder):
        return [os.path.basename(path) for path in self.handles]

    def sync_folder(self, folder):
        self.count_step()
        self.synced_handles, self.unsynced_changes = dict(self.handles), []

    def files_after_power_cut(self, random):
        """Return the files after a power cut.

        Some unsynced folder changes and whole sectors of unsynced file data survive.
        """
        handles = dict(self.synced_handles)
        for change in self.unsynced_changes:
            if random.random() < 0.5:
                apply_folder_change(handles, change)
        contents = {}
        for path, handle in handles.items():
            synced, written = self.files[handle]
            unsynced_data = bytearray(written[len(synced) :])
            for offset in range(0, len(unsynced_data), 512):
                if random.random() < 0.3:
                    unsynced_data[offset : offset + 512] = bytes(
                        len(unsynced_data[offset : offset + 512])
                    )
            contents[path] = synced + bytes(
                unsynced_data[
                    : random.choice((len(unsynced_data), len(unsynced_data) // 512 * 512, 0))
                ]
            )
        return contents


def apply_folder_change(handles, change):
    operation, path, target = change
    if operation == "put":
        handles[path] = target
    elif path in handles:
        handle = handles.pop(path)
        if operation == "rename":
            handles[target] = handle


def snapshot_body(saved_at):
    return {"gateway": "n", "mark": 1, "at": saved_at, "fill": "x" * 1500}


def test_power_cut_at_any_step_loses_no_synced_snapshot_or_record():
    random, power_cut_count, outcomes = Random(7), 0, set()
    for power_cut_step in range(1, 400):
        disk = FaultyDisk(power_cut_step)
        last_snapshot = last_serial = 0
        files = None
        try:
            files = RecoveryFiles("/d", "n", True, 3, disk)
            for snapshot_number in range(1, 9):
                files.write_snapshot(snapshot.encode(snapshot_body(snapshot_number)))
                last_snapshot = snapshot_number
                for record_number in range(4):
                    files.append_records(
                        encode_sent(logged_attempt(10 * snapshot_number + record_number))
                    )
                    last_serial = 10 * snapshot_number + record_number
        except PowerCutError:
            power_cut_count += 1
        for _ in range(12):
            contents, restored_snapshot = disk.files_after_power_cut(random), 0
            for suffix in "recall", "recall.1", "recall.2":
                try:
                    restored_snapshot = snapshot.decode(
                        contents.get(f"/d/n.{suffix}", b""), "n", 1
                    )["at"]
                    break
                except snapshot.UnusableSnapshotError:
                    continue
            # A synced snapshot is never lost.
            assert last_snapshot <= restored_snapshot <= last_snapshot + 1 or not last_snapshot, (
                power_cut_step,
                last_snapshot,
                restored_snapshot,
            )
            attempts = AttemptLog()
            for _, path in list_segments("/d", "n", [os.path.basename(path) for path in contents]):
                for body, _, _ in read_records(contents[path]):
                    assert body is None or attempts.replay_record(body)
            assert max(attempts.by_serial, default=0) >= last_serial or not last_serial
            outcomes.add((power_cut_step, restored_snapshot, max(attempts.by_serial, default=0)))
        if files is not None and disk.steps < power_cut_step:
            break
    assert power_cut_count > 90 and len(outcomes) > power_cut_count


# Learned state and order keys in the gateway.


def test_learned_state_is_restored_only_for_the_same_incarnation_of_an_engine():
    harness = GatewayHarness(can_hedge=True)
    slow, _replaced, _other = harness.engines
    for _ in range(4):
        harness.submit_request()
    for attempt in [
        in_flight_attempt
        for engine in harness.engines
        for in_flight_attempt in [*engine.stats.in_flight]
    ]:
        harness.finish_attempt(attempt, took=30_000)
    harness.gateway.outliers.record_fault(slow, "silent")
    harness.gateway.price.current = 1e-6
    for each in harness.engines:
        each.name = each.host_reference
    body = {
        "at": harness.now,
        **learned_state.encode_learned_state(learned_state.copy_learned_state(harness.gateway)),
    }
    restarted = GatewayHarness(can_hedge=True)
    for each in restarted.engines:
        each.name = each.host_reference
    restarted.engines[1].incarnation = 5  # another process with the same name
    request_classes = {each.name: each for each in restarted.request_classes}
    counts = learned_state.restore_learned_state(
        body, restarted.gateway, request_classes, restarted.now, 0
    )
    assert restarted.engines[0].stats.ejected_until == restarted.now + SECOND
    assert (
        not restarted.engines[1].stats.slowness_samples
        and counts.request_classes == 1
        and restarted.gateway.price.current == 1e-6
    )
    assert not restarted.gateway.outliers.is_healthy(
        restarted.engines[0]
    ) and restarted.gateway.outliers.is_healthy(restarted.engines[1])
    assert len(restarted.gateway.queues) == 1
    request = restarted.submit_request()
    assert request.attempts[0].engine is not restarted.engines[0]
    restarted.pass_time(2 * SECOND)
    # The ejection is over: one attempt probes the engine.
    assert len(restarted.engines[0].stats.in_flight) == 1


def test_request_with_a_held_order_key_waits_until_the_hold_expires():
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
    request = harness.submit_request(order_key=9, time_to_deadline=3 * SECOND)
    assert not request.attempts
    harness.pass_time(3100)
    assert request.attempts and not harness.gateway.order.held_until


# Recovery service on sockets.


def start_service(folder, harness, snapshot_interval_ticks=SECOND, **options):
    return RecoveryService(
        harness.socket_host,
        "n",
        1,
        RecoveryConfig(
            str(folder), snapshot_interval_ticks, options.get("durability", "process"), 3
        ),
    )


def run_until(harness, is_done, timeout_seconds=5.0):
    deadline = time.time() + timeout_seconds
    while not is_done() and time.time() < deadline:
        harness.time += 10
        harness.turn(2)
        time.sleep(0.005)
    assert is_done()


ZONE_SCOPED_REQUEST_CLASSES = [
    {**each, "group": "zone"} if each["name"] == "load" else each
    for each in PLATFORM_SETTINGS["profiles"]
]
TWO_ZONES_ENDPOINT_LIST = [
    endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2", "zone": "west"})
]


def test_retry_after_a_restart_goes_only_to_the_zone_that_knows_its_key(tmp_path):
    # Without the restriction, the hash order would send some of the retries to the other zone.
    for turn in range(4):
        folder = tmp_path / str(turn)
        first_run = HostHarness(
            events=TWO_ZONES_ENDPOINT_LIST, profiles=ZONE_SCOPED_REQUEST_CLASSES
        )
        service = start_service(folder, first_run)
        client = first_run.connect_client()
        sockets = {tag: first_run.connect_engine(tag) for tag in ("e1", "e2")}
        body = b"select * from s_%d.t" % turn
        first_run.send(
            client, request_frame(1, route="load", nonce=IDEMPOTENCY_KEY, entity="5", body=body)
        )
        first_engine = next(
            tag for tag, engine_socket in sockets.items() if first_run.receive(engine_socket)
        )
        run_until(
            first_run, lambda: any(segment.stat().st_size for segment in folder.glob("n.effects.*"))
        )
        service.writer.process.stdin.close()
        service.writer.process.wait(5)
        os.close(service.lock_descriptor)  # a kill also releases the lock
        second_run = HostHarness(
            events=TWO_ZONES_ENDPOINT_LIST, profiles=ZONE_SCOPED_REQUEST_CLASSES
        )
        second_service = start_service(folder, second_run)
        assert any("effects=1 unsettled=1" in line for line in second_run.logged)
        other = {"e1": "e2", "e2": "e1"}[first_engine]
        sockets = {tag: second_run.connect_engine(tag) for tag in (other, first_engine)}
        # The retry has to go to the loaded engine, because only this engine knows the key.
        second_run.socket_host.engine_pools[first_engine].engine.threads_in_flight = 99
        second_run.send(
            second_run.connect_client(),
            request_frame(1, route="load", nonce=IDEMPOTENCY_KEY, entity="6", body=body),
        )
        assert b"fetch" not in second_run.receive(sockets[other])
        request = next(iter(second_run.socket_host.open_requests.values()), None)
        assert request is None or [each.engine.name for each in request.earlier_attempts] == [
            first_engine
        ]
        second_service.end()


@pytest.mark.parametrize(
    "content, reason",
    [
        (b"", "foreign"),
        (b"CKGRECL\n" + b"\xff\xff" + bytes(40), "newer than 1"),
        (snapshot.encode({"gateway": "other", "mark": 1, "at": 1}), "of another gateway"),
        (snapshot.encode({"gateway": "n", "mark": 2, "at": 1}), "of other settings"),
        (snapshot.encode({"gateway": "n", "mark": 1, "at": 1})[:-1], "torn"),
        (snapshot.encode({"gateway": "n", "mark": 1, "at": 1, "engines": 3}), "malformed body"),
    ],
)
def test_unusable_snapshot_is_logged_once_and_the_gateway_starts_without_state(
    tmp_path, content, reason
):
    (tmp_path / "n.recall").write_bytes(content)
    harness = HostHarness()
    service = start_service(tmp_path, harness)
    assert (
        sum("passed over" in line for line in harness.logged) == 1 and reason in harness.logged[0]
    )
    service.end()
    assert snapshot.decode((tmp_path / "n.recall").read_bytes(), "n", 1)


def test_oversized_files_are_not_read(tmp_path):
    for name in "n.recall", "n.effects.00000001":
        with open(tmp_path / name, "wb") as file:
            file.truncate(2 * 2**30)
    started_at, harness = time.time(), HostHarness()
    service = start_service(tmp_path, harness)
    assert time.time() - started_at < 2
    assert "more than are read" in harness.logged[0] and "too large" in harness.logged[1]
    service.end()


def test_recovery_is_off_if_the_folder_is_in_use_or_cannot_be_created(tmp_path):
    first_harness, second_harness = HostHarness(), HostHarness()
    service, second_service = (
        start_service(tmp_path, first_harness),
        start_service(tmp_path, second_harness),
    )
    assert (
        "in use by another" in second_harness.logged[0]
        and second_harness.socket_host.recovery is None
        and second_service.writer is None
    )
    (tmp_path / "file").write_text("")
    start_service(tmp_path / "file" / "x", second_harness)
    assert "Not a directory" in second_harness.logged[1]
    service.end()


def test_stopped_or_killed_log_writer_loses_frames_but_does_not_block_the_gateway(tmp_path):
    harness = HostHarness()
    service = start_service(tmp_path, harness, snapshot_interval_ticks=10**9)
    os.kill(service.writer.process.pid, signal.SIGSTOP)
    started_at = time.time()
    for _ in range(3000):
        service.writer.send_frame(log_writer.RECORDS_FRAME, bytes(1000))
    assert (
        time.time() - started_at < 2
        and service.writer.frames_lost > 0
        and len(service.writer.unwritten) < 5000
    )
    assert sum("does not keep up" in line for line in harness.logged) == 1
    os.kill(service.writer.process.pid, signal.SIGCONT)
    run_until(harness, lambda: service.writer.flush_frame())
    service.writer.send_frame(log_writer.RECORDS_FRAME, encode_sent(logged_attempt(1)))
    assert (
        any("written again" in line for line in harness.logged) and service.writer.frames_lost == 0
    )
    os.kill(service.writer.process.pid, signal.SIGKILL)
    run_until(harness, lambda: any("the log writer ended" in line for line in harness.logged))
    harness.pass_time(6 * SECOND, 500)
    run_until(harness, lambda: service.writer.process is not None)
    service.end()


def test_removed_folder_is_logged_and_the_log_writer_continues_once_it_exists_again(tmp_path):
    harness = HostHarness()
    service = start_service(tmp_path, harness, snapshot_interval_ticks=10**9)
    for path in tmp_path.iterdir():
        path.unlink()
    tmp_path.rmdir()
    service.writer.send_frame(log_writer.RECORDS_FRAME, encode_sent(logged_attempt(1)))
    run_until(harness, lambda: any("not written: No such file" in line for line in harness.logged))
    tmp_path.mkdir()
    service.writer.send_frame(log_writer.RECORDS_FRAME, encode_sent(logged_attempt(2)))
    run_until(harness, lambda: any(path.stat().st_size for path in tmp_path.glob("n.effects.*")))
    service.end()


def test_log_writer_exits_with_its_parent_and_discards_an_incomplete_frame(tmp_path):
    import subprocess
    import sys

    log_writer_process = subprocess.Popen(
        [sys.executable, log_writer.__file__, str(tmp_path), "n", "machine", "2"],
        stdin=subprocess.PIPE,
    )
    record = encode_sent(logged_attempt(1))
    log_writer_process.stdin.write(
        FRAME_HEADER.pack(log_writer.RECORDS_FRAME, len(record))
        + record
        + FRAME_HEADER.pack(log_writer.RECORDS_FRAME, 500)
        + b"x" * 99
    )
    log_writer_process.stdin.close()
    assert log_writer_process.wait(5) == 0
    assert (tmp_path / "n.effects.00000001").read_bytes() == record


OPERATOR_FILE = '<operator version="1"><recall folder="{folder}/recall" each="0.1"/></operator>'


KILL_COUNT = 8
MAX_RESTARTS_SECONDS = 60.0  # for all restarts together, on a busy machine


def restored_count(day):
    """Return how many starts of the gateway have restored their state so far."""
    return sum("recall: engines=" in line for line in day.program.log())


def kill_after_each_restored_start(day, attempts_before=0):
    """Kill the gateway whenever it has restored its state and has sent an attempt since.

    The first start has no state to restore; it is killed once it has written some.
    """
    attempt_count = sum(len(engine.attempts) for engine in day.engines.values())
    kill_count = len(day.program.kills)
    has_state = os.path.exists(os.path.join(day.folder, "recall", "n1.recall"))
    if has_state and attempt_count > attempts_before and restored_count(day) == kill_count:
        day.apply_gateway_event("kill")
        attempts_before = attempt_count
    if kill_count < KILL_COUNT:
        day.event_loop.call_later(
            SECOND // 50, kill_after_each_restored_start, day, attempts_before
        )


def test_gateway_process_killed_repeatedly_restores_its_state_at_each_start():
    day = GatewayScenario(
        6,
        parse_script(f"at 0.1 for {MAX_RESTARTS_SECONDS}: all slow 10\n", ["e1", "e2"]),
        engines=2,
        rate=120,
        scrapes=0,
        operator=OPERATOR_FILE,
        group="zone",
        retries=True,
    )
    day.event_loop.call_later(SECOND, kill_after_each_restored_start, day)
    try:
        day.run(
            MAX_RESTARTS_SECONDS,
            drain=2,
            while_=lambda: (
                len(day.program.kills) < KILL_COUNT or restored_count(day) < KILL_COUNT
            ),
        )
        log = day.program.log()
    finally:
        day.close()
    assert len(day.program.kills) == KILL_COUNT and not [
        line for line in log if "passed over" in line or "exceptions" in line
    ]
    assert sum("recall: engines=" in line for line in log) == KILL_COUNT
    assert day.find_rule_violations(2500) == []


def test_outcome_that_proves_an_attempt_never_ran_frees_its_key():
    attempts = AttemptLog()
    for serial, outcome in enumerate(
        (AttemptOutcome.CONNECTION_RESET, AttemptOutcome.UNREACHABLE), 1
    ):
        attempts.add_sent_attempt(logged_attempt(serial, f"l{serial}"))
        attempts.record_outcome(serial, outcome == AttemptOutcome.CONNECTION_RESET)
    assert [*attempts.by_idempotency_key] == [("load", "l1")]


def test_commands_show_check_and_prune_recovery_files(tmp_path):
    harness, invoke = HostHarness(), CliRunner().invoke
    service = start_service(tmp_path, harness)
    assert invoke(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 2
    service.writer.send_frame(log_writer.RECORDS_FRAME, encode_sent(logged_attempt(1)))
    service.end()
    # The gateway still holds the lock.
    assert invoke(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 2
    gateways = json.loads(invoke(group, ["recovery", "show", str(tmp_path), "--json"]).output)
    assert gateways[0]["effects"] == 1 and gateways[0]["body"]["engines"]["e1"]["bound"] == 1.0
    assert invoke(group, ["recovery", "show", str(tmp_path)]).exit_code == 0
    assert invoke(group, ["recovery", "check", str(tmp_path)]).exit_code == 0
    (tmp_path / "n.recall").write_bytes(b"x")
    assert (
        "foreign" in (result := invoke(group, ["recovery", "check", str(tmp_path)])).output
        and result.exit_code == 1
    )
    os.close(service.lock_descriptor)
    assert invoke(group, ["recovery", "prune", str(tmp_path), "--gateway", "n"]).exit_code == 0
    assert {path.name for path in tmp_path.iterdir()} == {"n.lock"}


def test_segments_are_removed_only_once_all_their_attempts_are_settled(tmp_path, monkeypatch):
    monkeypatch.setattr(log_writer, "MAX_SEGMENT_BYTES", 500)
    files = RecoveryFiles(str(tmp_path), "n", False, 1)

    def remaining_segments():
        return [path.name[-8:] for path in sorted(tmp_path.glob("n.effects.*"))]

    # The records fill far more than 16 segments, and the oldest key is remembered throughout.
    for serial in range(1, 401):
        files.append_records(encode_sent(logged_attempt(serial)))
        if serial % 10 == 0:
            files.remove_settled_segments(1, serial)
    segment_count = len(remaining_segments())
    assert 16 < segment_count <= log_writer.MAX_SEGMENT_COUNT
    replayed = AttemptLog()
    for _, path in list_segments(str(tmp_path), "n", os.listdir(tmp_path)):
        with open(path, "rb") as file:
            for body, _, _ in read_records(file.read()):
                assert body is None or replayed.replay_record(body)
    assert replayed.find_oldest_serial(0) == 1 and len(replayed) == 400
    files.remove_settled_segments(200, 400)  # all attempts with a lower serial are settled
    segments_left = len(remaining_segments())
    assert segment_count // 3 < segments_left < segment_count
    files.remove_settled_segments(401, 400)
    assert len(remaining_segments()) == 1  # the open segment
