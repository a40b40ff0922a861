"""Samples of stored files and of datagrams, built by the program from fixed state.

Every value that would differ from run to run (clocks, key, names, seeds) is fixed in this module.
The tables SENDERS, FILES and READERS map the name of each sample to the function that builds or
reads it. `tests/fixtures/write_landed.py` stores the results, and `tests/test_landed_fixtures.py`
compares the program with the stored results. Of the three, this module alone uses modules and
types of the program.
"""

import json
import os
import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

import msgpack

from corkgauge.accounting import checkpoint_file
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.service import AccountingService
from corkgauge.accounting.snapshot import as_plain_dict, take_snapshot
from corkgauge.config import operator_file as operator
from corkgauge.config.operator_file import (
    AccountingConfig,
    LeaseConfig,
    MaintenanceConfig,
    MembershipConfig,
    PeerHealthConfig,
    RecoveryConfig,
)
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.candidate import CandidateState
from corkgauge.leases.messages import MessageKind
from corkgauge.leases.service import LeaseService
from corkgauge.leases.voter_configuration import VoterConfiguration
from corkgauge.maintenance.chunk_transfer import slice_chunk
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_messages import MessageKind as PlanMessageKind
from corkgauge.maintenance.plan_proposer import ProposerState
from corkgauge.maintenance.plan_records import UnitState
from corkgauge.maintenance.service import MaintenanceService
from corkgauge.membership import datagrams, sealing
from corkgauge.membership.datagrams import DatagramKind
from corkgauge.membership.member_list import ALIVE
from corkgauge.membership.service import MembershipService
from corkgauge.peer_health.aggregation import Assessment
from corkgauge.peer_health.health_report import Fault
from corkgauge.peer_health.service import PeerHealthService
from corkgauge.recovery import attempt_log as attempt_log_module
from corkgauge.recovery import attempt_records, learned_state, log_writer, snapshot
from corkgauge.recovery import service as recovery_service
from tests.harness import PLATFORM_SETTINGS, HostHarness, endpoint_list_event, request_frame

FOLDER = Path(__file__).parent / "fixtures" / "landed"
NOW_TICKS = 17_000_000_000_000  # wall-clock time, in ticks since 1970
SINCE_BOOT_NANOSECONDS = 5_000_000_000_000  # of the machine
SECRET = bytes(range(32))
PEER_INCARNATIONS = {"n2": 6_000_002, "n3": 6_000_003}
FENCING_TOKEN = 77
ROSTER = (
    ("n1", ("10.0.0.11", 7100), "hall-a"),
    ("n2", ("10.0.0.12", 7100), "hall-b"),
    ("n3", ("10.0.0.13", 7100), "hall-c"),
)
MAINTENANCE_REQUEST = ["a1", "engine", ["e1", "e2"], "ada", "disk", 900_000, 60_000, 2, "", 0]
PLAN_CHANGES = [
    ["known", "first start, told by ada"],
    ["ask", MAINTENANCE_REQUEST],
    ["unit", "e1", "a1", "engine", ["e1"]],
    ["unit", "e2", "a1", "engine", ["e2"]],
    ["time", 5_000],
    ["state", "e1", UnitState.GRANTED, "fits"],
    ["time", 9_000],
    ["state", "e1", UnitState.DRAINING, "known to all"],
    ["overrule", "e1", "n3", "ada"],
    ["fewer", "a1", 2],
    ["cancel", "a1", "bob"],
    ["hold", "ada"],
]


class Datagram(NamedTuple):
    """A datagram as an instance sent it."""

    receiver: str
    octets: bytes


class DecodedDatagram(NamedTuple):
    """The content that a receiver decodes from a datagram, and the count of invalid messages."""

    sender: str
    kind: int
    body: Any
    invalid_count: int


# Instances.


class RecordingMembership(MembershipService):
    """Records the datagrams of an instance instead of sending them."""

    def _bind(self, config: MembershipConfig) -> None:
        self.sent: list[Datagram] = []
        self.sock, self.other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.setblocking(False)

    def send_datagram(self, name: str, data: bytes) -> None:
        self.sent.append(Datagram(name, data))

    def close(self) -> None:
        self.sock.close()
        self.other_end.close()


class Instance:
    """A gateway instance with all subsystems, on a stopped clock."""

    def __init__(self, name: str, votes_folder: str = "", knows_peers: bool = True) -> None:
        self.name = name
        rules = {**PLATFORM_SETTINGS["rules"], "coldUs": 15_000_000}
        self.harness = HostHarness(
            [endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})], rules=rules
        )
        self.harness.time = NOW_TICKS
        self.harness.event_loop.update_now()
        self.socket_host = self.harness.socket_host
        configuration = {
            "name": name,
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "seed": "7",
            "settings": PLATFORM_SETTINGS,
        }
        self.platform_config = PlatformConfig(configuration, "")
        self.membership = RecordingMembership(
            self.socket_host,
            self.platform_config,
            MembershipConfig((SECRET,), ROSTER, None, SECOND // 2),
        )
        self.member_list = self.membership.member_list
        if knows_peers:
            self._learn_peers()
        leases = (("books", "books", 5 * SECOND), ("nightly", "run", 5 * SECOND))
        self.lease_service = LeaseService(
            self.socket_host,
            self.platform_config,
            LeaseConfig(
                1, ("n1", "n2", "n3"), leases, 5 * SECOND, 5 * SECOND, 2_500, 0.01, votes_folder
            ),
            self.membership,
        )
        self.lease_service.voter.silent_until = 0
        self.maintenance = MaintenanceService(
            self.socket_host,
            self.platform_config,
            MaintenanceConfig((4, 0.25, 0.5, 0.5, 0.7, 1, 1), (), SECOND // 2, 5 * SECOND, SECOND),
            self.membership,
            self.lease_service,
        )
        self.maintenance.plan_replica.silent_until = 0
        self.peer_health = PeerHealthService(
            self.socket_host, self.platform_config, PeerHealthConfig(2_500, 8_000), self.membership
        )
        self.peer_health.byte_budget = 8_000
        self.membership.sent.clear()

    def _learn_peers(self) -> None:
        for name, incarnation in PEER_INCARNATIONS.items():
            if name != self.name:
                self.member_list.codec.learn_incarnation(name, incarnation)
                assert self.member_list.members[name].state == ALIVE
        self.member_list.local.has_joined = True

    def receive(self, kind: int, body: Any) -> None:
        """Handle a datagram sent by n2."""
        codec = datagrams.DatagramCodec(
            "n2",
            PEER_INCARNATIONS["n2"],
            [sealing.Key(SECRET)],
            lambda name, start: None,
            lambda start: None,
        )
        codec.set_peers(["n1"])
        known_as = self.member_list.codec.incarnation
        self.member_list.handle_datagram(codec.encode("n1", kind, body, known_as))

    def hold_lease(self, lease: str) -> None:
        """Make this instance the holder of a lease, with the fixed fencing token."""
        holder = self.lease_service.candidates[lease]
        holder.state, holder.fencing_token, holder.ballot = (
            CandidateState.HOLDING,
            FENCING_TOKEN,
            FENCING_TOKEN,
        )
        holder.held_until = self.lease_service.now + 4 * SECOND

    def hold_plan_lease(self) -> None:
        """Make this instance hold the maintenance lease, with a plan stored on a majority."""
        self.hold_lease("works")
        proposer = self.maintenance.plan_proposer
        proposer.on_lease_gained(FENCING_TOKEN)
        proposer.state = ProposerState.PLAN_LOST
        proposer.replace_lost_plan(maintenance_plan())
        for name in "n2", "n3":
            proposer.on_datagram(name, [PlanMessageKind.ACCEPTED, FENCING_TOKEN, FENCING_TOKEN, 1])

    def last_datagram(self, kind: int, subject: str = "", tag: int | str | None = None) -> bytes:
        """Return the last datagram sent of this kind, subject and first item of the body."""
        for datagram in reversed(self.membership.sent):
            fields = msgpack.unpackb(datagram.octets[2 : -sealing.SEAL_BYTES], strict_map_key=False)
            if fields[0] != kind:
                continue
            if kind != DatagramKind.CALL:
                return datagram.octets
            sent_subject, body = fields[6]
            if sent_subject == subject and (tag is None or body[0] == tag):
                return datagram.octets
        raise AssertionError(
            f"expected a datagram of kind {kind}, subject {subject!r}, tag {tag!r}; none sent"
        )

    def close(self) -> None:
        self.lease_service.durable_record.close()
        self.maintenance.durable_record.close()
        self.membership.close()


@contextmanager
def fixed_boot_clock() -> Iterator[None]:
    """Stop the clock that counts the time since the machine's boot."""
    with mock.patch.object(time, "clock_gettime_ns", lambda clock: SINCE_BOOT_NANOSECONDS):
        yield


@contextmanager
def running_instance(
    name: str = "n1", votes_folder: str = "", knows_peers: bool = True
) -> Iterator[Instance]:
    """Create an instance, and close it at the end of the block."""
    with fixed_boot_clock():
        new_instance = Instance(name, votes_folder, knows_peers)
        try:
            yield new_instance
        finally:
            new_instance.close()


# Datagrams. Each function makes an instance send one, and returns the datagram.


def send_hello(instance: Instance) -> bytes:
    instance.member_list.call("n3", "duty", [])
    return instance.last_datagram(DatagramKind.HELLO)


def send_hello_reply(instance: Instance) -> bytes:
    instance.receive(DatagramKind.HELLO, None)
    return instance.last_datagram(DatagramKind.HELLO_REPLY)


def send_state_request(instance: Instance) -> bytes:
    instance.receive(DatagramKind.HELLO_REPLY, None)
    return instance.last_datagram(DatagramKind.STATE_REQUEST)


def send_probe(instance: Instance) -> bytes:
    instance.member_list.on_period()
    return instance.last_datagram(DatagramKind.PROBE)


def send_ack(instance: Instance) -> bytes:
    instance.receive(DatagramKind.PROBE, [5, []])
    return instance.last_datagram(DatagramKind.ACK)


def send_indirect_probe(instance: Instance) -> bytes:
    instance.member_list.on_period()
    instance.member_list.failure_detector.on_probe_timeout(
        instance.member_list.failure_detector.last_sequence_number
    )
    return instance.last_datagram(DatagramKind.INDIRECT_PROBE)


def send_nack(instance: Instance) -> bytes:
    instance.receive(DatagramKind.INDIRECT_PROBE, [9, "n3", []])
    instance.member_list.failure_detector.on_probe_expired(
        instance.member_list.failure_detector.last_sequence_number
    )
    return instance.last_datagram(DatagramKind.NACK)


def send_gossip(instance: Instance) -> bytes:
    instance.receive(DatagramKind.STATE_REQUEST, [[["n3", 1, PEER_INCARNATIONS["n3"], 2, "n2"]]])
    return instance.last_datagram(DatagramKind.GOSSIP)


def send_lease_probe(instance: Instance) -> bytes:
    instance.lease_service.candidates["books"]._probe()
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.PROBE)


def send_lease_prepare(instance: Instance) -> bytes:
    instance.lease_service.candidates["books"]._prepare()
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.PREPARE)


def send_lease_grant_request(instance: Instance) -> bytes:
    instance.lease_service.candidates["books"]._prepare()
    instance.lease_service.candidates["books"]._begin_requesting()
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.GRANT_REQUEST)


def send_lease_release(instance: Instance) -> bytes:
    instance.hold_lease("books")
    instance.lease_service.candidates["books"].release("told")
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.RELEASE)


def send_lease_vacant(instance: Instance) -> bytes:
    instance.hold_lease("books")
    instance.lease_service.candidates["books"].release("told")
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.VACANT)


def lease_request(instance: Instance, kind: int) -> list[Any]:
    return [kind, "books", 1, instance.lease_service.configuration.fingerprint, 3, 500]


def send_lease_probe_reply(instance: Instance) -> bytes:
    instance.lease_service.on_lease_datagram("n2", lease_request(instance, MessageKind.PROBE))
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.PROBE_REPLY)


def send_lease_prepare_reply(instance: Instance) -> bytes:
    instance.lease_service.on_lease_datagram("n2", lease_request(instance, MessageKind.PREPARE))
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.PREPARE_REPLY)


def send_lease_grant_reply(instance: Instance) -> bytes:
    instance.lease_service.on_lease_datagram(
        "n2", lease_request(instance, MessageKind.GRANT_REQUEST)
    )
    return instance.last_datagram(DatagramKind.CALL, "duty", MessageKind.GRANT_REPLY)


def send_account_request(instance: Instance) -> bytes:
    instance.hold_lease("books")
    instance.lease_service.collectors["books"].on_lease_gained()
    return instance.last_datagram(DatagramKind.CALL, "books", "ask")


def send_account_entry(instance: Instance) -> bytes:
    instance.hold_lease("books")
    instance.lease_service.collectors["books"].on_lease_gained()
    instance.lease_service.collectors["books"].finish_round(FENCING_TOKEN)
    return instance.last_datagram(DatagramKind.CALL, "books", "entry")


def send_account(instance: Instance) -> bytes:
    instance.lease_service.on_accounts_datagram("n2", ["ask", "books", FENCING_TOKEN, 1])
    return instance.last_datagram(DatagramKind.CALL, "books", "account")


def send_account_refusal(instance: Instance) -> bytes:
    instance.lease_service.on_accounts_datagram("n3", ["ask", "books", FENCING_TOKEN + 1, 1])
    instance.lease_service.on_accounts_datagram("n2", ["ask", "books", FENCING_TOKEN, 1])
    return instance.last_datagram(DatagramKind.CALL, "books", "no")


def send_lease_yield(instance: Instance) -> bytes:
    instance.lease_service.candidates["nightly"].known_holder = "n2"
    instance.lease_service.operator_commands.handle_request(b'{"do": "yield", "duty": "nightly"}')
    return instance.last_datagram(DatagramKind.CALL, "yield")


def send_plan_prepare(instance: Instance) -> bytes:
    instance.hold_lease("works")
    instance.maintenance.on_lease_gained()
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.PREPARE)


def send_plan_promise(instance: Instance) -> bytes:
    instance.maintenance.on_plan_message("n2", [PlanMessageKind.PREPARE, FENCING_TOKEN])
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.PROMISE)


def send_plan_accept(instance: Instance) -> bytes:
    instance.hold_plan_lease()
    instance.maintenance.plan_proposer.propose(["hold", ""], ["time", 10_000])
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.ACCEPT)


def send_plan_accepted(instance: Instance) -> bytes:
    instance.maintenance.plan_replica.is_blank = False
    instance.maintenance.on_plan_message(
        "n2", [PlanMessageKind.ACCEPT, FENCING_TOKEN, 0, 0, 1, PLAN_CHANGES]
    )
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.ACCEPTED)


def send_plan_preempted(instance: Instance) -> bytes:
    instance.maintenance.plan_replica.promised_fence = FENCING_TOKEN + 1
    instance.maintenance.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCING_TOKEN, 0, 0, 1, []])
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.PREEMPTED)


def send_plan_fetch(instance: Instance) -> bytes:
    instance.maintenance.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCING_TOKEN, 0, 0, 1, []])
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.FETCH)


def send_plan_chunk(instance: Instance) -> bytes:
    instance.maintenance.plan_replica.is_blank, instance.maintenance.plan_replica.plan = (
        False,
        maintenance_plan(),
    )
    instance.maintenance.on_plan_message("n2", [PlanMessageKind.FETCH, FENCING_TOKEN, [], [0]])
    return instance.last_datagram(DatagramKind.CALL, "plan", PlanMessageKind.CHUNK)


def send_orders(instance: Instance) -> bytes:
    instance.hold_plan_lease()
    instance.maintenance.planner.send_all_orders()
    return instance.last_datagram(DatagramKind.CALL, "works", "orders")


def send_report_request(instance: Instance) -> bytes:
    instance.hold_plan_lease()
    instance.maintenance.planner.request_all_reports()
    return instance.last_datagram(DatagramKind.CALL, "works", "tell")


def send_report(instance: Instance) -> bytes:
    instance.maintenance.on_message(
        "n2", ["orders", FENCING_TOKEN, 1, 0, 0, 1, {"e1": UnitState.DRAINING}]
    )
    return instance.last_datagram(DatagramKind.CALL, "works", "word")


def send_orders_refusal(instance: Instance) -> bytes:
    instance.maintenance.on_message("n3", ["orders", FENCING_TOKEN + 1, 1, 0, 0, 1, {}])
    instance.maintenance.on_message("n2", ["orders", FENCING_TOKEN, 1, 0, 0, 1, {}])
    return instance.last_datagram(DatagramKind.CALL, "works", "no")


def send_forwarded_command(instance: Instance) -> bytes:
    instance.lease_service.candidates["works"].known_holder = "n2"
    instance.maintenance.pending_commands.handle_http(
        b'{"do": "hold", "key": "k1", "owner": "ada"}'
    )
    return instance.last_datagram(DatagramKind.CALL, "works", "wish")


def send_command_answer(instance: Instance) -> bytes:
    instance.hold_plan_lease()
    instance.maintenance.on_message("n2", ["wish", "k1", '{"do": "hold"}'])
    return instance.last_datagram(DatagramKind.CALL, "works", "answer")


def send_plan_copy_fetch(instance: Instance) -> bytes:
    instance.lease_service.candidates["works"].known_holder = "n2"
    instance.maintenance.report_status()
    return instance.last_datagram(DatagramKind.CALL, "copy", PlanMessageKind.FETCH)


def send_plan_copy_chunk(instance: Instance) -> bytes:
    instance.hold_plan_lease()
    instance.maintenance.plan_display.on_datagram("n2", [PlanMessageKind.FETCH, 0, [], [0]])
    return instance.last_datagram(DatagramKind.CALL, "copy", PlanMessageKind.CHUNK)


def send_health_report(instance: Instance) -> bytes:
    instance.peer_health.reports.record_own(
        NOW_TICKS - 300, "e1", NOW_TICKS - 90_000, Fault.SILENT, 250, 6
    )
    instance.peer_health._send_status_update("n2", NOW_TICKS, 2)
    return instance.last_datagram(DatagramKind.CALL, "findings")


def send_reconciliation_request(instance: Instance) -> bytes:
    instance.peer_health.reports.record_own(
        NOW_TICKS - 300, "e1", NOW_TICKS - 90_000, Fault.SILENT, 250, 6
    )
    instance.peer_health.period_count = 5  # the comparison is due in the next period
    instance.peer_health.run_period()
    return instance.last_datagram(DatagramKind.CALL, "repair", 0)


def send_reconciliation_reply(instance: Instance) -> bytes:
    instance.peer_health.reports.record_own(
        NOW_TICKS - 300, "e1", NOW_TICKS - 90_000, Fault.SILENT, 250, 6
    )
    instance.peer_health.on_reconciliation("n2", [0, {}, []])
    return instance.last_datagram(DatagramKind.CALL, "repair", 1)


def send_permit_transfer(instance: Instance) -> bytes:
    engine = instance.socket_host.engine_pools["e1"].engine
    window = instance.peer_health.permits.transfers.window_ticks
    engine.incarnation = NOW_TICKS - 2 * window - window // 2
    instance.peer_health.permits.transfers.record_demand(
        "n2", instance.lease_service.now, PEER_INCARNATIONS["n2"], 7, 3.0
    )
    instance.peer_health.permits.offer_unused()
    return instance.last_datagram(DatagramKind.CALL, "turn")


SENDERS: dict[str, Callable[[Instance], bytes]] = {
    "hello": send_hello,
    "back": send_hello_reply,
    "ask": send_probe,
    "answer": send_ack,
    "ask-for": send_indirect_probe,
    "deaf": send_nack,
    "ask-all": send_state_request,
    "tell": send_gossip,
    "duty-probe": send_lease_probe,
    "duty-would": send_lease_probe_reply,
    "duty-prepare": send_lease_prepare,
    "duty-promised": send_lease_prepare_reply,
    "duty-grant": send_lease_grant_request,
    "duty-granted": send_lease_grant_reply,
    "duty-release": send_lease_release,
    "duty-vacant": send_lease_vacant,
    "books-ask": send_account_request,
    "books-account": send_account,
    "books-entry": send_account_entry,
    "books-no": send_account_refusal,
    "yield": send_lease_yield,
    "plan-promise": send_plan_prepare,
    "plan-promised": send_plan_promise,
    "plan-step": send_plan_accept,
    "plan-taken": send_plan_accepted,
    "plan-low": send_plan_preempted,
    "plan-want": send_plan_fetch,
    "plan-piece": send_plan_chunk,
    "works-orders": send_orders,
    "works-tell": send_report_request,
    "works-word": send_report,
    "works-no": send_orders_refusal,
    "works-wish": send_forwarded_command,
    "works-answer": send_command_answer,
    "copy-want": send_plan_copy_fetch,
    "copy-piece": send_plan_copy_chunk,
    "findings": send_health_report,
    "repair-question": send_reconciliation_request,
    "repair-answer": send_reconciliation_reply,
    "turn": send_permit_transfer,
}
SENT_TO_UNKNOWN_PEERS = "hello", "ask-all"  # sent to a peer whose incarnation is not known yet


def sample_datagram(name: str) -> bytes:
    """Return the octets of the datagram of this name, as n1 sends it."""
    with running_instance(knows_peers=name not in SENT_TO_UNKNOWN_PEERS) as instance:
        return SENDERS[name](instance)


def decode_datagram(octets: bytes) -> DecodedDatagram:
    """Decode a datagram at the instance that it is addressed to, and run its handlers."""
    receiver, known_as = msgpack.unpackb(octets[2 : -sealing.SEAL_BYTES], strict_map_key=False)[3:5]
    with running_instance(receiver) as receiver_instance:
        # Only HELLO may be sent before the receiver's incarnation is known, with incarnation 0.
        receiver_instance.member_list.codec.incarnation = known_as or PEER_INCARNATIONS[receiver]
        decoded = receiver_instance.member_list.codec.decode(octets, NOW_TICKS)
        assert decoded is not None, dict(receiver_instance.member_list.codec.counts)
        receiver_instance.member_list.codec.peers["n1"].replay_window = sealing.ReplayWindow()
        receiver_instance.member_list.handle_datagram(octets)
        return DecodedDatagram(*decoded, receiver_instance.member_list.counts["no sense"])


# Stored files.


def recovery_snapshot() -> bytes:
    """Build a snapshot of the learned state as the recovery service stores it."""
    with running_instance() as instance:
        gateway = instance.socket_host.gateway
        send_client_request(instance)
        gateway.price.current = 0.25
        gateway.engines[0].stats.slowness_samples.extend([1.25, 1.5, 2.0])
        header = {
            "gateway": "n1",
            "mark": 11,
            "at": NOW_TICKS,
            "boot": "boot-1",
            "since_boot": 5_000,
        }
        return snapshot.encode(
            {
                **header,
                **learned_state.encode_learned_state(learned_state.copy_learned_state(gateway)),
            }
        )


def recovery_snapshot_of_service(folder: str) -> bytes:
    """Return the snapshot that a recovery service writes when it ends."""
    with running_instance() as instance:
        service = recovery_service.RecoveryService(
            instance.socket_host, "n1", 11, RecoveryConfig(folder, SECOND, "process", 3)
        )
        service.end()
        os.close(service.lock_descriptor)
        return Path(folder, "n1.recall").read_bytes()


def attempt_log() -> bytes:
    """Build a segment of the attempt log, which records attempts that may have run."""
    first = attempt_records.LoggedAttempt(
        1, "label-1", "once", 7, "e1", 0, 1, NOW_TICKS - 50, NOW_TICKS + 9 * SECOND
    )
    second = attempt_records.LoggedAttempt(
        2, "label-2", "load", 8, "e2", 1, 0, NOW_TICKS - 40, NOW_TICKS + 9 * SECOND
    )
    third = attempt_records.LoggedAttempt(
        3, "label-3", "load", 9, "e2", 1, 0, NOW_TICKS - 30, NOW_TICKS + 9 * SECOND
    )
    with tempfile.TemporaryDirectory() as folder:
        files = log_writer.RecoveryFiles(folder, "n1", False, 3)
        for attempt in first, second, third:
            files.append_records(attempt_records.encode_sent(attempt))
        files.append_records(
            attempt_records.encode_finished(1, True) + attempt_records.encode_finished(2, False)
        )
        files.disk.close(files.segment)
        return Path(folder, "n1.effects.00000001").read_bytes()


def stored_votes() -> bytes:
    """Build the file of a voter that promised one lease and granted another."""

    def vote(instance: Instance) -> None:
        fingerprint = instance.lease_service.configuration.fingerprint
        instance.lease_service.on_lease_datagram(
            "n2", [MessageKind.PREPARE, "books", 1, fingerprint, 3, 500]
        )
        instance.lease_service.on_lease_datagram(
            "n2", [MessageKind.GRANT_REQUEST, "books", 1, fingerprint, 4, 500]
        )
        instance.lease_service.on_lease_datagram(
            "n3", [MessageKind.PREPARE, "works", 1, fingerprint, 3, 600]
        )

    return stored_by_helper("n1.votes", vote)


def stored_maintenance() -> bytes:
    """Build the file of a plan replica with an accepted plan and of a participant with orders."""

    def accept_plan(instance: Instance) -> None:
        instance.maintenance.plan_replica.is_blank = False
        instance.maintenance.on_plan_message(
            "n2", [PlanMessageKind.ACCEPT, FENCING_TOKEN, 0, 0, 1, PLAN_CHANGES]
        )
        instance.maintenance.on_message(
            "n2",
            [
                "orders",
                FENCING_TOKEN,
                1,
                0,
                0,
                1,
                {"e1": UnitState.DRAINING, "e2": UnitState.GRANTED},
            ],
        )

    return stored_by_helper("n1.works", accept_plan)


def stored_by_helper(name: str, act: Callable[[Instance], None]) -> bytes:
    """Return a file after the helper process has acknowledged all records written by `act`."""
    with tempfile.TemporaryDirectory() as folder, running_instance(votes_folder=folder) as instance:
        act(instance)
        give_up_at = time.monotonic() + 10
        while (
            instance.lease_service.durable_record.waiting
            or instance.maintenance.durable_record.waiting
        ):
            assert time.monotonic() < give_up_at, (
                "helper process has not acknowledged all records within 10 s"
            )
            instance.harness.event_loop.turn(5)
        return Path(folder, name).read_bytes()


def maintenance_plan() -> Plan:
    plan = Plan()
    plan.apply(PLAN_CHANGES)
    return plan


def packed_plan() -> bytes:
    return maintenance_plan().packed()


def plan_chunks() -> list[str]:
    """Return a plan of more than one chunk, as hexadecimal chunks in order."""
    plan = maintenance_plan()
    plan.apply([["unit", f"engine-{n:03}", "a1", "engine", [f"engine-{n:03}"]] for n in range(30)])
    packed = plan.packed()
    count = slice_chunk(packed, 0)[0]
    return [slice_chunk(packed, index)[1].hex() for index in range(count)]


def small_ledger() -> RequestLedger:
    """Build a ledger of one request class and one engine, with a few requests."""

    class Entry:
        serial = 0

    ledger = RequestLedger(["quick"], lambda: NOW_TICKS)
    entry, attempt = Entry(), Entry()
    entry.row = ledger.request_classes["quick"]
    attempt.client_request, attempt.engine_row = entry, ledger.get_engine_row("e1")
    ledger.record_accepted(entry)
    ledger.record_attempt_sent(attempt, 0)
    ledger.record_attempt_finished(attempt, 0)
    ledger.record_closed(entry, 0)
    ledger.record_rejected(ledger.request_classes["quick"])
    ledger.record_connection_opened(0)
    ledger.record_connection_closed(0, 100, 200, 3)
    return ledger


def accounts_checkpoint() -> bytes:
    """Build a checkpoint file of one run, continued by the next run, with both slots in use."""
    with tempfile.TemporaryDirectory() as folder:
        for epoch in "first", "second":
            checkpoint = checkpoint_file.CheckpointFile(folder, "n1", lambda line: None)
            for at in NOW_TICKS, NOW_TICKS + 5:
                checkpoint.write(
                    take_snapshot(
                        small_ledger(), at, "n1", {"id": epoch, "started": NOW_TICKS - 100}
                    )
                )
            checkpoint.close()
        return Path(folder, "n1.figures").read_bytes()


def voter_configurations() -> list[list[Any]]:
    """Return version, lease, names, majority and fingerprint of some voter configurations."""
    configurations = [
        VoterConfiguration(1, ["n1", "n2", "n3"], 50_000),
        VoterConfiguration(2, ["n3", "n1", "n2", "n4"], 50_000),
        VoterConfiguration(9, ["n1"]),
    ]
    return [
        [each.version, each.lease_ticks, list(each.names), each.majority, each.fingerprint]
        for each in configurations
    ]


FILES: dict[str, Callable[[], bytes]] = {
    "n1.recall": recovery_snapshot,
    "n1.effects.00000001": attempt_log,
    "n1.votes": stored_votes,
    "n1.works": stored_maintenance,
    "plan.msgpack": packed_plan,
    "n1.figures": accounts_checkpoint,
}


# Values that the program reads from a file, as lists in a fixed order.


def snapshot_read(octets: bytes) -> Any:
    return snapshot.decode(octets, "n1", 11)


def attempt_log_read(octets: bytes) -> Any:
    """Return the attempts, with those in doubt marked, and the error at the end of the log."""
    attempt_log, error = attempt_log_module.AttemptLog(), ""
    for body, _, error in attempt_records.read_records(octets):  # noqa: B007 (the last one counts)
        if body is not None:
            assert attempt_log.replay_record(body)
    return [
        [
            [
                each.serial,
                each.idempotency_key,
                each.request_class,
                each.order_key,
                each.engine,
                each.zone,
                each.cell,
                each.sent_at,
                each.deduplicated_until,
                each.is_in_doubt,
            ]
            for each in attempt_log.by_serial.values()
        ],
        error,
    ]


def votes_read(octets: bytes) -> Any:
    """Return by lease: promised ballot, granted ballot, holder and its incarnation."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n1.votes").write_bytes(octets)
        with running_instance(votes_folder=folder) as instance:
            return {
                name: [vote.promised_ballot, vote.granted_ballot, *vote.holder]
                for name, vote in instance.lease_service.voter.votes.items()
            }


def maintenance_read(octets: bytes) -> Any:
    """Return promise, stamp and plan of the replica; stamp, levels, closed of the participant."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n1.works").write_bytes(octets)
        with running_instance(votes_folder=folder) as instance:
            replica, participant = (
                instance.maintenance.plan_replica,
                instance.maintenance.participant,
            )
            return [
                replica.is_blank,
                replica.promised_fence,
                list(replica.stamp),
                plan_values(replica.plan),
                participant.is_blank,
                list(participant.stamp),
                {name: list(level) for name, level in participant.states_by_member.items()},
                sorted(participant.closed),
            ]


def plan_values(plan: Plan) -> list[Any]:
    requests = [
        [
            each.id,
            each.kind,
            each.names,
            each.owner,
            each.reason,
            each.due_ticks,
            each.duration_ticks,
            each.count,
            each.cancelled,
            each.at_ticks,
        ]
        for each in plan.requests.values()
    ]
    units = [
        [
            each.name,
            each.request_id,
            each.kind,
            each.members,
            each.state,
            each.since_ticks,
            each.why,
            each.began_ticks,
            each.overruled,
        ]
        for each in plan.units.values()
    ]
    history = [list(each) for each in plan.history]
    return [plan.time_ticks, plan.confirmed_by, plan.held_by, requests, units, history, plan.serial]


def plan_read(octets: bytes) -> Any:
    return plan_values(Plan.unpacked(octets))


def plan_from_chunks(chunks: list[str]) -> Any:
    return plan_read(b"".join(map(bytes.fromhex, chunks)))


def checkpoint_read(octets: bytes) -> Any:
    """Return the counts in a file, and the earlier runs that a new run continues from it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "n1.figures")
        path.write_bytes(octets)
        body = checkpoint_file.read_checkpoint_file(str(path))
        continued = checkpoint_file.CheckpointFile(folder, "n1", lambda line: None)
        continued.close()
        return [as_plain_dict(body["cut"]), body["earlier"], continued.earlier_epochs]


READERS: dict[str, Callable[[bytes], Any]] = {
    "n1.recall": snapshot_read,
    "n1.effects.00000001": attempt_log_read,
    "n1.votes": votes_read,
    "n1.works": maintenance_read,
    "plan.msgpack": plan_read,
    "n1.figures": checkpoint_read,
}


# Operator files.

OPERATOR_FILES = (
    "operator-duties.xml",
    "operator-every-element.xml",
    "operator-figures.xml",
    "operator-flows.xml",
    "operator-recall.xml",
    "operator-shared.xml",
    "operator-works.xml",
)
SECRETS_FOLDER = "/etc/corkgauge"


def operator_values(path: Path) -> list[Any]:
    """Return the values of an operator file by section; temporary key and roster files are used."""
    with tempfile.TemporaryDirectory() as folder:
        key, roster, copy = (Path(folder, name) for name in ("fellows.key", "roster", path.name))
        key.write_text(SECRET.hex())
        key.chmod(0o600)
        roster.write_text("n3 10.0.0.13:7100 hall-c # a comment\n\nn4 [2001:db8::4]:7100\n")
        copy.write_text(path.read_text().replace(SECRETS_FOLDER + "/fellows.key", str(key)))
        copy.write_text(copy.read_text().replace(SECRETS_FOLDER + "/roster", str(roster)))
        config = operator.read(str(copy))
    sections = [
        accounting_values(config.accounting),
        flow_export_values(config.flow_export),
        recovery_values(config.recovery),
        membership_values(config.membership),
        lease_values(config.leases),
        maintenance_values(config.maintenance),
        peer_health_values(config.peer_health),
    ]
    return json.loads(json.dumps(sections, default=bytes.hex))


def accounting_values(config: AccountingConfig | None) -> list[Any] | None:
    return config and [
        config.listen,
        config.readers,
        config.checkpoint_folder,
        config.checkpoint_interval_ticks,
        config.latency_relative_error,
    ]


def flow_export_values(config: operator.FlowExportConfig | None) -> list[Any] | None:
    if config is None:
        return None
    collectors = [
        [
            each.address,
            each.transport,
            each.max_message_bytes,
            each.template_refresh_ticks,
            each.template_refresh_messages,
            each.tls
            and [
                each.tls.ca_file,
                each.tls.server_name,
                each.tls.certificate_file,
                each.tls.key_file,
            ],
        ]
        for each in config.collectors
    ]
    return [
        config.layout,
        config.mode,
        config.active_timeout_ticks,
        config.idle_timeout_ticks,
        config.memory_bytes,
        collectors,
    ]


def recovery_values(config: RecoveryConfig | None) -> list[Any] | None:
    return config and [
        config.folder,
        config.snapshot_interval_ticks,
        config.durability,
        config.snapshots_kept,
    ]


def membership_values(config: MembershipConfig | None) -> list[Any] | None:
    return config and [config.keys, config.members, config.listen, config.period_ticks]


def lease_values(config: LeaseConfig | None) -> list[Any] | None:
    return config and [
        config.version,
        config.voters,
        config.leases,
        config.lease_ticks,
        config.max_lease_ticks,
        config.margin_ticks,
        config.max_clock_drift,
        config.folder,
    ]


def maintenance_values(config: MaintenanceConfig | None) -> list[Any] | None:
    return config and [
        config.bounds,
        config.machines,
        config.period_ticks,
        config.grant_ticks,
        config.startup_wait_ticks,
    ]


def peer_health_values(config: PeerHealthConfig | None) -> list[Any] | None:
    return config and [config.report_interval_ticks, config.max_bytes_per_second]


# The HTTP listener.

HTTP_REQUESTS: dict[str, tuple[str, str, bytes]] = {
    "metrics": ("GET", "/metrics", b""),
    "figures": ("GET", "/figures", b""),
    "findings": ("GET", "/findings", b""),
    "clear": ("POST", "/clear", b""),
    "fellows": ("GET", "/fellows", b""),
    "duties": ("GET", "/duties", b""),
    "duties-hold": ("POST", "/duties", b'{"do": "hold", "duty": "nightly", "by": "job"}'),
    "duties-refused": ("POST", "/duties", b'{"do": "hold", "duty": "books", "by": "job"}'),
    "duties-done": ("POST", "/duties", b'{"do": "done", "duty": "nightly", "by": "job"}'),
    "duties-yield": ("POST", "/duties", b'{"do": "yield", "duty": "nightly"}'),
    "works": ("GET", "/works", b""),
    "works-hold": ("POST", "/works", b'{"do": "hold", "key": "k1", "owner": "ada"}'),
    "works-wrong": ("POST", "/works", b'{"do": "other", "key": "k2"}'),
    "shared": ("GET", "/shared", b""),
    "unknown": ("GET", "/other", b""),
}


def http_answer(name: str) -> list[Any]:
    """Return status, content type and shape of an answer of the listener, over a socket."""
    with tempfile.TemporaryDirectory() as folder, running_instance() as instance:
        where = os.path.join(folder, "figures.sock")
        service = AccountingService(
            instance.socket_host, "n1", 7, AccountingConfig(where, 4, folder, SECOND, 0.02)
        )
        set_up_all_state(instance)
        try:
            head, body = fetch_http(instance, where, *HTTP_REQUESTS[name])
        finally:
            service.end()
    lines = head.decode().split("\r\n")
    content_type = next(each for each in lines if each.lower().startswith("content-type"))
    return [int(lines[0].split()[1]), content_type.partition(": ")[2], shape(content_type, body)]


def set_up_all_state(instance: Instance) -> None:
    """Set up state such that every nested part of an answer has at least one row."""
    instance.hold_plan_lease()
    instance.hold_lease("nightly")
    instance.lease_service.on_lease_gained(instance.lease_service.candidates["nightly"])
    instance.hold_lease("books")
    instance.lease_service.collectors["books"].on_lease_gained()
    instance.lease_service.collectors["books"].finish_round(FENCING_TOKEN)
    instance.maintenance.on_message(
        "n2", ["orders", FENCING_TOKEN, 1, 0, 0, 1, {"e1": UnitState.DRAINING}]
    )
    rows = [[name, 6, 1, 100, "e1", 0, Fault.SILENT.value, 250, 6] for name in PEER_INCARNATIONS]
    instance.peer_health.on_status_update("n2", [1, 5, 1, 20, rows])
    instance.peer_health.run_period()
    instance.peer_health.assessments["e1"] = Assessment(2.5, True, "n2 n3")
    instance.socket_host.discrepancies.record_difference(
        "taken", "quick", 1, "one more", [(NOW_TICKS, "entered", 1)]
    )
    send_client_request(instance)
    instance.socket_host.ledger.record_connection_opened(0)


def send_client_request(instance: Instance) -> None:
    """Send a request from a client, so that there are a queue and an open request."""
    instance.harness.send(instance.harness.connect_client(), request_frame())


def fetch_http(
    instance: Instance, where: str, method: str, path: str, body: bytes
) -> tuple[bytes, bytes]:
    """Return head and body of an answer; the clock advances by one tick per turn."""
    head = f"{method} {path} HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n"
    with socket.socket(socket.AF_UNIX) as reader:
        reader.connect(where)
        reader.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        reader.setblocking(False)
        received = b""
        for _ in range(400):
            instance.harness.time += 1
            instance.harness.event_loop.turn(0)
            try:
                data = reader.recv(1 << 20)
            except BlockingIOError:
                continue
            if not data:
                break
            received += data
    head, _, chunked = received.partition(b"\r\n\r\n")
    return head, join_chunks(chunked)


def join_chunks(chunked: bytes) -> bytes:
    """Return the body of a chunked message (RFC 9112, section 7.1)."""
    body = b""
    while chunked:
        size, _, chunked = chunked.partition(b"\r\n")
        length = int(size, 16)
        body, chunked = body + chunked[:length], chunked[length + 2 :]
        if not length:
            break
    return body


def shape(content_type: str, body: bytes) -> Any:
    """Return the keys of JSON, the names and labels of metrics, or any other text as a whole."""
    if "json" in content_type:
        return keys_of(json.loads(body))
    if "/metrics" in body.decode():
        return body.decode()
    lines = [line for line in body.decode().splitlines() if not line.startswith("#")]
    return sorted({line.rpartition(" ")[0] for line in lines if line})


def keys_of(value: Any) -> Any:
    """Return the nested keys of a JSON value; of a list, the different shapes of its items.

    >>> keys_of({"a": 1, "b": [{"c": 2}, {"c": 3}], "d": {}})
    {'a': None, 'b': [{'c': None}], 'd': {}}
    """
    if isinstance(value, dict):
        return {key: keys_of(each) for key, each in sorted(value.items())}
    if isinstance(value, list):
        shapes: list[Any] = []
        for each in map(keys_of, value):
            if each not in shapes:
                shapes.append(each)
        return shapes
    return None
