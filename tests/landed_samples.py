"""Samples of stored files and of datagrams, built by the program from fixed state.

Every value that would differ from run to run (clocks, key, names, seeds) is fixed here. The tables
at the end map the name of each sample to the function that builds it;
`tests/fixtures/write_landed.py` stores the results and `tests/test_landed_fixtures.py` compares
the program with what is stored. This module is the only place of the three that names modules and
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
from corkgauge.membership.datagrams import DatagramKind as letters
from corkgauge.membership.member_list import ALIVE
from corkgauge.membership.service import MembershipService
from corkgauge.peer_health.aggregation import Assessment
from corkgauge.peer_health.health_report import Fault
from corkgauge.peer_health.service import PeerHealthService
from corkgauge.recovery import attempt_log as effects
from corkgauge.recovery import attempt_records, learned_state, snapshot
from corkgauge.recovery import log_writer as writer
from corkgauge.recovery import service as keeping
from tests.harness import STATED_ON_SOCKETS, HostHarness, listing, request_frame

FOLDER = Path(__file__).parent / "fixtures" / "landed"
NOW = 17_000_000_000_000  # tenths of a millisecond of the date
BOOT_NANOSECONDS = 5_000_000_000_000  # since the machine's boot
SECRET = bytes(range(32))
PEER_INCARNATIONS = {"n2": 6_000_002, "n3": 6_000_003}
FENCE = 77
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
    """One datagram as it left an instance."""

    receiver: str
    octets: bytes


class Opened(NamedTuple):
    """What a receiver takes out of a datagram, and how its handlers counted it."""

    sender: str
    sort: int
    body: Any
    not_understood: int


# Instances.


class RecordingSociety(MembershipService):
    """The membership service of an instance whose datagrams are recorded instead of sent."""

    def _bind(self, said: MembershipConfig) -> None:
        self.sent: list[Datagram] = []
        self.sock, self.other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.setblocking(False)

    def send_datagram(self, name: str, data: bytes) -> None:
        self.sent.append(Datagram(name, data))

    def close(self) -> None:
        self.sock.close()
        self.other_end.close()


class Instance:
    """One instance with every subsystem, on a clock that stands still."""

    def __init__(self, name: str, votes_folder: str = "", met: bool = True) -> None:
        self.name = name
        rules = {**STATED_ON_SOCKETS["rules"], "coldUs": 15_000_000}
        self.premises = HostHarness(
            [listing(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})], rules=rules
        )
        self.premises.time = NOW
        self.premises.event_loop.update_now()
        self.socket_host = self.premises.socket_host
        said = {
            "name": name,
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "seed": "7",
            "settings": STATED_ON_SOCKETS,
        }
        self.post = PlatformConfig(said, "")
        self.membership = RecordingSociety(
            self.socket_host, self.post, MembershipConfig((SECRET,), ROSTER, None, SECOND // 2)
        )
        self.member_list = self.membership.member_list
        if met:
            self._meet()
        duties = (("books", "books", 5 * SECOND), ("nightly", "run", 5 * SECOND))
        self.office = LeaseService(
            self.socket_host,
            self.post,
            LeaseConfig(
                1, ("n1", "n2", "n3"), duties, 5 * SECOND, 5 * SECOND, 2_500, 0.01, votes_folder
            ),
            self.membership,
        )
        self.office.voter.silent_until = 0
        self.yard = MaintenanceService(
            self.socket_host,
            self.post,
            MaintenanceConfig((4, 0.25, 0.5, 0.5, 0.7, 1, 1), (), SECOND // 2, 5 * SECOND, SECOND),
            self.membership,
            self.office,
        )
        self.yard.plan_replica.silent_until = 0
        self.exchange = PeerHealthService(
            self.socket_host, self.post, PeerHealthConfig(2_500, 8_000), self.membership
        )
        self.exchange.byte_budget = 8_000
        self.membership.sent.clear()

    def _meet(self) -> None:
        for name, incarnation in PEER_INCARNATIONS.items():
            if name != self.name:
                self.member_list.codec.learn_incarnation(name, incarnation)
                assert self.member_list.members[name].state == ALIVE
        self.member_list.local.has_joined = True

    def receive(self, sort: int, body: Any) -> None:
        """Take a datagram of n2's."""
        pens = datagrams.DatagramCodec(
            "n2",
            PEER_INCARNATIONS["n2"],
            [sealing.Key(SECRET)],
            lambda name, start: None,
            lambda start: None,
        )
        pens.set_peers(["n1"])
        known_as = self.member_list.codec.incarnation
        self.member_list.handle_datagram(pens.encode("n1", sort, body, known_as))

    def hold(self, duty: str) -> None:
        """Let this instance hold a lease, under the fixed fencing token."""
        holder = self.office.candidates[duty]
        holder.state, holder.fencing_token, holder.ballot = CandidateState.HOLDING, FENCE, FENCE
        holder.held_until = self.office.now + 4 * SECOND

    def lead_plan(self) -> None:
        """Hold the maintenance lease with a plan that a majority has."""
        self.hold("works")
        proposer = self.yard.plan_proposer
        proposer.on_lease_gained(FENCE)
        proposer.state = ProposerState.PLAN_LOST
        proposer.replace_lost_plan(maintenance_plan())
        for name in "n2", "n3":
            proposer.on_datagram(name, [PlanMessageKind.ACCEPTED, FENCE, FENCE, 1])

    def last(self, sort: int, subject: str = "", tag: int | str | None = None) -> bytes:
        """The last datagram sent of this sort and subject."""
        for datagram in reversed(self.membership.sent):
            said = msgpack.unpackb(datagram.octets[2 : -sealing.SEAL_BYTES], strict_map_key=False)
            if said[0] != sort:
                continue
            if sort != letters.CALL:
                return datagram.octets
            named, body = said[6]
            if named == subject and (tag is None or body[0] == tag):
                return datagram.octets
        raise AssertionError(f"no datagram {sort} {subject} {tag} was sent")

    def close(self) -> None:
        self.office.durable_record.close()
        self.yard.durable_record.close()
        self.membership.close()


@contextmanager
def fixed_boot_clock() -> Iterator[None]:
    """Let the time since the machine's boot stand still."""
    with mock.patch.object(time, "clock_gettime_ns", lambda clock: BOOT_NANOSECONDS):
        yield


@contextmanager
def instance(name: str = "n1", votes_folder: str = "", met: bool = True) -> Iterator[Instance]:
    """An instance for the length of a block."""
    with fixed_boot_clock():
        made = Instance(name, votes_folder, met)
        try:
            yield made
        finally:
            made.close()


# Datagrams. Each function brings an instance to send one.


def send_hello(here: Instance) -> bytes:
    here.member_list.call("n3", "duty", [])
    return here.last(letters.HELLO)


def send_back(here: Instance) -> bytes:
    here.receive(letters.HELLO, None)
    return here.last(letters.HELLO_REPLY)


def send_ask_all(here: Instance) -> bytes:
    here.receive(letters.HELLO_REPLY, None)
    return here.last(letters.STATE_REQUEST)


def send_ask(here: Instance) -> bytes:
    here.member_list.on_period()
    return here.last(letters.PROBE)


def send_answer(here: Instance) -> bytes:
    here.receive(letters.PROBE, [5, []])
    return here.last(letters.ACK)


def send_ask_for(here: Instance) -> bytes:
    here.member_list.on_period()
    here.member_list.failure_detector.on_probe_timeout(
        here.member_list.failure_detector.last_sequence_number
    )
    return here.last(letters.INDIRECT_PROBE)


def send_deaf(here: Instance) -> bytes:
    here.receive(letters.INDIRECT_PROBE, [9, "n3", []])
    here.member_list.failure_detector.on_probe_expired(
        here.member_list.failure_detector.last_sequence_number
    )
    return here.last(letters.NACK)


def send_tell(here: Instance) -> bytes:
    here.receive(letters.STATE_REQUEST, [[["n3", 1, PEER_INCARNATIONS["n3"], 2, "n2"]]])
    return here.last(letters.GOSSIP)


def send_lease_probe(here: Instance) -> bytes:
    here.office.candidates["books"]._probe()
    return here.last(letters.CALL, "duty", MessageKind.PROBE)


def send_lease_prepare(here: Instance) -> bytes:
    here.office.candidates["books"]._prepare()
    return here.last(letters.CALL, "duty", MessageKind.PREPARE)


def send_lease_grant(here: Instance) -> bytes:
    here.office.candidates["books"]._prepare()
    here.office.candidates["books"]._begin_requesting()
    return here.last(letters.CALL, "duty", MessageKind.GRANT_REQUEST)


def send_lease_release(here: Instance) -> bytes:
    here.hold("books")
    here.office.candidates["books"].release("told")
    return here.last(letters.CALL, "duty", MessageKind.RELEASE)


def send_lease_vacant(here: Instance) -> bytes:
    here.hold("books")
    here.office.candidates["books"].release("told")
    return here.last(letters.CALL, "duty", MessageKind.VACANT)


def lease_question(here: Instance, sort: int) -> list[Any]:
    return [sort, "books", 1, here.office.configuration.fingerprint, 3, 500]


def send_lease_would(here: Instance) -> bytes:
    here.office.on_lease_datagram("n2", lease_question(here, MessageKind.PROBE))
    return here.last(letters.CALL, "duty", MessageKind.PROBE_REPLY)


def send_lease_promised(here: Instance) -> bytes:
    here.office.on_lease_datagram("n2", lease_question(here, MessageKind.PREPARE))
    return here.last(letters.CALL, "duty", MessageKind.PREPARE_REPLY)


def send_lease_granted(here: Instance) -> bytes:
    here.office.on_lease_datagram("n2", lease_question(here, MessageKind.GRANT_REQUEST))
    return here.last(letters.CALL, "duty", MessageKind.GRANT_REPLY)


def send_books_ask(here: Instance) -> bytes:
    here.hold("books")
    here.office.collectors["books"].on_lease_gained()
    return here.last(letters.CALL, "books", "ask")


def send_books_entry(here: Instance) -> bytes:
    here.hold("books")
    here.office.collectors["books"].on_lease_gained()
    here.office.collectors["books"].finish_round(FENCE)
    return here.last(letters.CALL, "books", "entry")


def send_books_account(here: Instance) -> bytes:
    here.office.on_accounts_datagram("n2", ["ask", "books", FENCE, 1])
    return here.last(letters.CALL, "books", "account")


def send_books_no(here: Instance) -> bytes:
    here.office.on_accounts_datagram("n3", ["ask", "books", FENCE + 1, 1])
    here.office.on_accounts_datagram("n2", ["ask", "books", FENCE, 1])
    return here.last(letters.CALL, "books", "no")


def send_yield(here: Instance) -> bytes:
    here.office.candidates["nightly"].known_holder = "n2"
    here.office.operator_commands.handle_request(b'{"do": "yield", "duty": "nightly"}')
    return here.last(letters.CALL, "yield")


def send_plan_promise(here: Instance) -> bytes:
    here.hold("works")
    here.yard.on_lease_gained()
    return here.last(letters.CALL, "plan", PlanMessageKind.PREPARE)


def send_plan_promised(here: Instance) -> bytes:
    here.yard.on_plan_message("n2", [PlanMessageKind.PREPARE, FENCE])
    return here.last(letters.CALL, "plan", PlanMessageKind.PROMISE)


def send_plan_step(here: Instance) -> bytes:
    here.lead_plan()
    here.yard.plan_proposer.propose(["hold", ""], ["time", 10_000])
    return here.last(letters.CALL, "plan", PlanMessageKind.ACCEPT)


def send_plan_taken(here: Instance) -> bytes:
    here.yard.plan_replica.is_blank = False
    here.yard.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCE, 0, 0, 1, PLAN_CHANGES])
    return here.last(letters.CALL, "plan", PlanMessageKind.ACCEPTED)


def send_plan_low(here: Instance) -> bytes:
    here.yard.plan_replica.promised_fence = FENCE + 1
    here.yard.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCE, 0, 0, 1, []])
    return here.last(letters.CALL, "plan", PlanMessageKind.PREEMPTED)


def send_plan_want(here: Instance) -> bytes:
    here.yard.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCE, 0, 0, 1, []])
    return here.last(letters.CALL, "plan", PlanMessageKind.FETCH)


def send_plan_piece(here: Instance) -> bytes:
    here.yard.plan_replica.is_blank, here.yard.plan_replica.plan = False, maintenance_plan()
    here.yard.on_plan_message("n2", [PlanMessageKind.FETCH, FENCE, [], [0]])
    return here.last(letters.CALL, "plan", PlanMessageKind.CHUNK)


def send_works_orders(here: Instance) -> bytes:
    here.lead_plan()
    here.yard.planner.send_all_orders()
    return here.last(letters.CALL, "works", "orders")


def send_works_tell(here: Instance) -> bytes:
    here.lead_plan()
    here.yard.planner.request_all_reports()
    return here.last(letters.CALL, "works", "tell")


def send_works_word(here: Instance) -> bytes:
    here.yard.on_message("n2", ["orders", FENCE, 1, 0, 0, 1, {"e1": UnitState.DRAINING}])
    return here.last(letters.CALL, "works", "word")


def send_works_no(here: Instance) -> bytes:
    here.yard.on_message("n3", ["orders", FENCE + 1, 1, 0, 0, 1, {}])
    here.yard.on_message("n2", ["orders", FENCE, 1, 0, 0, 1, {}])
    return here.last(letters.CALL, "works", "no")


def send_works_wish(here: Instance) -> bytes:
    here.office.candidates["works"].known_holder = "n2"
    here.yard.pending_commands.handle_http(b'{"do": "hold", "key": "k1", "owner": "ada"}')
    return here.last(letters.CALL, "works", "wish")


def send_works_answer(here: Instance) -> bytes:
    here.lead_plan()
    here.yard.on_message("n2", ["wish", "k1", '{"do": "hold"}'])
    return here.last(letters.CALL, "works", "answer")


def send_copy_want(here: Instance) -> bytes:
    here.office.candidates["works"].known_holder = "n2"
    here.yard.report_status()
    return here.last(letters.CALL, "copy", PlanMessageKind.FETCH)


def send_copy_piece(here: Instance) -> bytes:
    here.lead_plan()
    here.yard.plan_display.on_datagram("n2", [PlanMessageKind.FETCH, 0, [], [0]])
    return here.last(letters.CALL, "copy", PlanMessageKind.CHUNK)


def send_findings(here: Instance) -> bytes:
    here.exchange.reports.record_own(NOW - 300, "e1", NOW - 90_000, Fault.SILENT, 250, 6)
    here.exchange._send_status_update("n2", NOW, 2)
    return here.last(letters.CALL, "findings")


def send_repair_question(here: Instance) -> bytes:
    here.exchange.reports.record_own(NOW - 300, "e1", NOW - 90_000, Fault.SILENT, 250, 6)
    here.exchange.period_count = 5  # the comparison is due in the next period
    here.exchange.run_period()
    return here.last(letters.CALL, "repair", 0)


def send_repair_answer(here: Instance) -> bytes:
    here.exchange.reports.record_own(NOW - 300, "e1", NOW - 90_000, Fault.SILENT, 250, 6)
    here.exchange.on_reconciliation("n2", [0, {}, []])
    return here.last(letters.CALL, "repair", 1)


def send_turn(here: Instance) -> bytes:
    engine = here.socket_host.engine_pools["e1"].engine
    window = here.exchange.permits.transfers.window_ticks
    engine.incarnation = NOW - 2 * window - window // 2
    here.exchange.permits.transfers.record_demand(
        "n2", here.office.now, PEER_INCARNATIONS["n2"], 7, 3.0
    )
    here.exchange.permits.offer_unused()
    return here.last(letters.CALL, "turn")


SENDERS: dict[str, Callable[[Instance], bytes]] = {
    "hello": send_hello,
    "back": send_back,
    "ask": send_ask,
    "answer": send_answer,
    "ask-for": send_ask_for,
    "deaf": send_deaf,
    "ask-all": send_ask_all,
    "tell": send_tell,
    "duty-probe": send_lease_probe,
    "duty-would": send_lease_would,
    "duty-prepare": send_lease_prepare,
    "duty-promised": send_lease_promised,
    "duty-grant": send_lease_grant,
    "duty-granted": send_lease_granted,
    "duty-release": send_lease_release,
    "duty-vacant": send_lease_vacant,
    "books-ask": send_books_ask,
    "books-account": send_books_account,
    "books-entry": send_books_entry,
    "books-no": send_books_no,
    "yield": send_yield,
    "plan-promise": send_plan_promise,
    "plan-promised": send_plan_promised,
    "plan-step": send_plan_step,
    "plan-taken": send_plan_taken,
    "plan-low": send_plan_low,
    "plan-want": send_plan_want,
    "plan-piece": send_plan_piece,
    "works-orders": send_works_orders,
    "works-tell": send_works_tell,
    "works-word": send_works_word,
    "works-no": send_works_no,
    "works-wish": send_works_wish,
    "works-answer": send_works_answer,
    "copy-want": send_copy_want,
    "copy-piece": send_copy_piece,
    "findings": send_findings,
    "repair-question": send_repair_question,
    "repair-answer": send_repair_answer,
    "turn": send_turn,
}
BEFORE_MEETING = "hello", "ask-all"  # sent while the receiver's incarnation is not known


def datagram(name: str) -> bytes:
    """The octets of the datagram of this kind, as n1 sends it."""
    with instance(met=name not in BEFORE_MEETING) as here:
        return SENDERS[name](here)


def opened(octets: bytes) -> Opened:
    """What the instance that a datagram is for takes out of it; its handlers take it too."""
    receiver, known_as = msgpack.unpackb(octets[2 : -sealing.SEAL_BYTES], strict_map_key=False)[3:5]
    with instance(receiver) as there:
        # A sender that does not know this incarnation yet writes 0, and only HELLO may.
        there.member_list.codec.incarnation = known_as or PEER_INCARNATIONS[receiver]
        taken = there.member_list.codec.decode(octets, NOW)
        assert taken is not None, dict(there.member_list.codec.counts)
        there.member_list.codec.peers["n1"].replay_window = sealing.ReplayWindow()
        there.member_list.handle_datagram(octets)
        return Opened(*taken, there.member_list.counts["no sense"])


# Stored files.


def recovery_snapshot() -> bytes:
    """A snapshot of the learned state, in the form that the recovery service writes."""
    with instance() as here:
        gateway = here.socket_host.gateway
        take_request(here)
        gateway.price.current = 0.25
        gateway.engines[0].stats.slowness_samples.extend([1.25, 1.5, 2.0])
        moment = {"gateway": "n1", "mark": 11, "at": NOW, "boot": "boot-1", "since_boot": 5_000}
        return snapshot.encode(
            {
                **moment,
                **learned_state.encode_learned_state(learned_state.copy_learned_state(gateway)),
            }
        )


def recovery_snapshot_of_service(folder: str) -> bytes:
    """The snapshot that a recovery service leaves at its end."""
    with instance() as here:
        service = keeping.RecoveryService(
            here.socket_host, "n1", 11, RecoveryConfig(folder, SECOND, "process", 3)
        )
        service.end()
        os.close(service.lock)
        return Path(folder, "n1.recall").read_bytes()


def attempt_log() -> bytes:
    """A segment of the log of attempts that may have run, as its writer leaves it."""
    first = attempt_records.LoggedAttempt(
        1, "label-1", "once", 7, "e1", 0, 1, NOW - 50, NOW + 9 * SECOND
    )
    second = attempt_records.LoggedAttempt(
        2, "label-2", "load", 8, "e2", 1, 0, NOW - 40, NOW + 9 * SECOND
    )
    third = attempt_records.LoggedAttempt(
        3, "label-3", "load", 9, "e2", 1, 0, NOW - 30, NOW + 9 * SECOND
    )
    with tempfile.TemporaryDirectory() as folder:
        files = writer.RecoveryFiles(folder, "n1", False, 3)
        for effect in first, second, third:
            files.append_records(attempt_records.encode_sent(effect))
        files.append_records(
            attempt_records.encode_finished(1, True) + attempt_records.encode_finished(2, False)
        )
        files.disk.close(files.segment)
        return Path(folder, "n1.effects.00000001").read_bytes()


def stored_votes() -> bytes:
    """The file of a voter that promised one lease and granted another."""

    def vote(here: Instance) -> None:
        mark = here.office.configuration.fingerprint
        here.office.on_lease_datagram("n2", [MessageKind.PREPARE, "books", 1, mark, 3, 500])
        here.office.on_lease_datagram("n2", [MessageKind.GRANT_REQUEST, "books", 1, mark, 4, 500])
        here.office.on_lease_datagram("n3", [MessageKind.PREPARE, "works", 1, mark, 3, 600])

    return stored_by_helper("n1.votes", vote)


def stored_maintenance() -> bytes:
    """The file of a plan replica that took a plan, and of a participant under its orders."""

    def take(here: Instance) -> None:
        here.yard.plan_replica.is_blank = False
        here.yard.on_plan_message("n2", [PlanMessageKind.ACCEPT, FENCE, 0, 0, 1, PLAN_CHANGES])
        here.yard.on_message(
            "n2", ["orders", FENCE, 1, 0, 0, 1, {"e1": UnitState.DRAINING, "e2": UnitState.GRANTED}]
        )

    return stored_by_helper("n1.works", take)


def stored_by_helper(name: str, act: Callable[[Instance], None]) -> bytes:
    """A file as the helper leaves it, once it has answered for all that `act` had written."""
    with tempfile.TemporaryDirectory() as folder, instance(votes_folder=folder) as here:
        act(here)
        give_up_at = time.monotonic() + 10
        while here.office.durable_record.waiting or here.yard.durable_record.waiting:
            assert time.monotonic() < give_up_at, "the helper has not answered"
            here.premises.event_loop.turn(5)
        return Path(folder, name).read_bytes()


def maintenance_plan() -> Plan:
    plan = Plan()
    plan.apply(PLAN_CHANGES)
    return plan


def packed_plan() -> bytes:
    return maintenance_plan().packed()


def plan_piece_by_piece() -> list[str]:
    """A plan of more than one chunk, as hexadecimal chunks in order."""
    plan = maintenance_plan()
    plan.apply([["unit", f"engine-{n:03}", "a1", "engine", [f"engine-{n:03}"]] for n in range(30)])
    packed = plan.packed()
    count = slice_chunk(packed, 0)[0]
    return [slice_chunk(packed, index)[1].hex() for index in range(count)]


def small_ledger() -> RequestLedger:
    """Accounts of one class and one engine with a few requests."""

    class Entry:
        serial = 0

    ledger = RequestLedger(["quick"], lambda: NOW)
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
    """A checkpoint file that one run wrote and the next one took over, with both slots in use."""
    with tempfile.TemporaryDirectory() as folder:
        for epoch in "first", "second":
            kept = checkpoint_file.CheckpointFile(folder, "n1", lambda line: None)
            for at in NOW, NOW + 5:
                kept.write(
                    take_snapshot(small_ledger(), at, "n1", {"id": epoch, "started": NOW - 100})
                )
            kept.close()
        return Path(folder, "n1.figures").read_bytes()


def rolls() -> list[list[Any]]:
    """Voter configurations: version, lease, names, majority, and the mark that datagrams carry."""
    made = [
        VoterConfiguration(1, ["n1", "n2", "n3"], 50_000),
        VoterConfiguration(2, ["n3", "n1", "n2", "n4"], 50_000),
        VoterConfiguration(9, ["n1"]),
    ]
    return [
        [each.version, each.lease_ticks, list(each.names), each.majority, each.fingerprint]
        for each in made
    ]


FILES: dict[str, Callable[[], bytes]] = {
    "n1.recall": recovery_snapshot,
    "n1.effects.00000001": attempt_log,
    "n1.votes": stored_votes,
    "n1.works": stored_maintenance,
    "plan.msgpack": packed_plan,
    "n1.figures": accounts_checkpoint,
}


# What the program reads of a file, as lists in a stated order.


def snapshot_read(octets: bytes) -> Any:
    return snapshot.decode(octets, "n1", 11)


def attempt_log_read(octets: bytes) -> Any:
    """Attempts with open ones told apart, and what is wrong at the log's end."""
    known, wrong = effects.AttemptLog(), ""
    for body, _, wrong in attempt_records.read_records(octets):  # noqa: B007 (the last one counts)
        if body is not None:
            assert known.apply(body)
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
            for each in known.by_serial.values()
        ],
        wrong,
    ]


def votes_read(octets: bytes) -> Any:
    """By lease: promised ballot, granted ballot, holder and its incarnation."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n1.votes").write_bytes(octets)
        with instance(votes_folder=folder) as here:
            return {
                name: [vote.promised_ballot, vote.granted_ballot, *vote.holder]
                for name, vote in here.office.voter.votes.items()
            }


def maintenance_read(octets: bytes) -> Any:
    """Promise, stamp and plan of the replica; stamp, levels and closed of the participant."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n1.works").write_bytes(octets)
        with instance(votes_folder=folder) as here:
            replica, participant = here.yard.plan_replica, here.yard.participant
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


def plan_of_chunks(chunks: list[str]) -> Any:
    return plan_read(b"".join(map(bytes.fromhex, chunks)))


def checkpoint_read(octets: bytes) -> Any:
    """The counts that a file holds, and the earlier runs that a program takes over from it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "n1.figures")
        path.write_bytes(octets)
        body = checkpoint_file.read_checkpoint_file(str(path))
        taken_over = checkpoint_file.CheckpointFile(folder, "n1", lambda line: None)
        taken_over.close()
        return [as_plain_dict(body["cut"]), body["earlier"], taken_over.earlier_epochs]


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
    """What an operator file says, by section; key and roster files are stood in for."""
    with tempfile.TemporaryDirectory() as folder:
        key, roster, copy = (Path(folder, name) for name in ("fellows.key", "roster", path.name))
        key.write_text(SECRET.hex())
        key.chmod(0o600)
        roster.write_text("n3 10.0.0.13:7100 hall-c # a comment\n\nn4 [2001:db8::4]:7100\n")
        copy.write_text(path.read_text().replace(SECRETS_FOLDER + "/fellows.key", str(key)))
        copy.write_text(copy.read_text().replace(SECRETS_FOLDER + "/roster", str(roster)))
        said = operator.read(str(copy))
    sections = [
        figures_values(said.accounting),
        flows_values(said.flow_export),
        recall_values(said.recovery),
        fellows_values(said.membership),
        duties_values(said.leases),
        works_values(said.maintenance),
        shared_values(said.peer_health),
    ]
    return json.loads(json.dumps(sections, default=bytes.hex))


def figures_values(said: AccountingConfig | None) -> list[Any] | None:
    return said and [
        said.listen,
        said.readers,
        said.checkpoint_folder,
        said.checkpoint_interval_ticks,
        said.latency_relative_error,
    ]


def flows_values(said: operator.FlowExportConfig | None) -> list[Any] | None:
    if said is None:
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
        for each in said.collectors
    ]
    return [
        said.layout,
        said.mode,
        said.active_timeout_ticks,
        said.idle_timeout_ticks,
        said.memory_bytes,
        collectors,
    ]


def recall_values(said: RecoveryConfig | None) -> list[Any] | None:
    return said and [
        said.folder,
        said.snapshot_interval_ticks,
        said.durability,
        said.snapshots_kept,
    ]


def fellows_values(said: MembershipConfig | None) -> list[Any] | None:
    return said and [said.keys, said.members, said.listen, said.period_ticks]


def duties_values(said: LeaseConfig | None) -> list[Any] | None:
    return said and [
        said.version,
        said.voters,
        said.leases,
        said.lease_ticks,
        said.max_lease_ticks,
        said.margin_ticks,
        said.max_clock_drift,
        said.folder,
    ]


def works_values(said: MaintenanceConfig | None) -> list[Any] | None:
    return said and [
        said.bounds,
        said.machines,
        said.period_ticks,
        said.grant_ticks,
        said.startup_wait_ticks,
    ]


def shared_values(said: PeerHealthConfig | None) -> list[Any] | None:
    return said and [said.report_interval_ticks, said.max_bytes_per_second]


# The HTTP listener.

QUESTIONS: dict[str, tuple[str, str, bytes]] = {
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
    """Status, content type and shape of an answer, asked over a socket."""
    with tempfile.TemporaryDirectory() as folder, instance() as here:
        where = os.path.join(folder, "figures.sock")
        service = AccountingService(
            here.socket_host, "n1", 7, AccountingConfig(where, 4, folder, SECOND, 0.02)
        )
        give_state(here)
        try:
            head, body = asked(here, where, *QUESTIONS[name])
        finally:
            service.end()
    lines = head.decode().split("\r\n")
    kind = next(each for each in lines if each.lower().startswith("content-type"))
    return [int(lines[0].split()[1]), kind.partition(": ")[2], shape(kind, body)]


def give_state(here: Instance) -> None:
    """Give every nested part of an answer a row."""
    here.lead_plan()
    here.hold("nightly")
    here.office.on_lease_gained(here.office.candidates["nightly"])
    here.hold("books")
    here.office.collectors["books"].on_lease_gained()
    here.office.collectors["books"].finish_round(FENCE)
    here.yard.on_message("n2", ["orders", FENCE, 1, 0, 0, 1, {"e1": UnitState.DRAINING}])
    rows = [[name, 6, 1, 100, "e1", 0, Fault.SILENT.value, 250, 6] for name in PEER_INCARNATIONS]
    here.exchange.on_status_update("n2", [1, 5, 1, 20, rows])
    here.exchange.run_period()
    here.exchange.assessments["e1"] = Assessment(2.5, True, "n2 n3")
    here.socket_host.discrepancies.record_difference(
        "taken", "quick", 1, "one more", [(NOW, "entered", 1)]
    )
    take_request(here)
    here.socket_host.ledger.record_connection_opened(0)


def take_request(here: Instance) -> None:
    """Let a client ask for something, so that there is a queue, and its answer is owed."""
    here.premises.ask(here.premises.client(), request_frame())


def asked(here: Instance, where: str, method: str, path: str, body: bytes) -> tuple[bytes, bytes]:
    """Head and body of an answer; the clock goes on by a tick a turn."""
    head = f"{method} {path} HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n"
    with socket.socket(socket.AF_UNIX) as reader:
        reader.connect(where)
        reader.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        reader.setblocking(False)
        received = b""
        for _ in range(400):
            here.premises.time += 1
            here.premises.event_loop.turn(0)
            try:
                more = reader.recv(1 << 20)
            except BlockingIOError:
                continue
            if not more:
                break
            received += more
    head, _, chunked = received.partition(b"\r\n\r\n")
    return head, joined(chunked)


def joined(chunked: bytes) -> bytes:
    """The body of a message in chunks (RFC 9112, section 7.1)."""
    body = b""
    while chunked:
        size, _, chunked = chunked.partition(b"\r\n")
        length = int(size, 16)
        body, chunked = body + chunked[:length], chunked[length + 2 :]
        if not length:
            break
    return body


def shape(kind: str, body: bytes) -> Any:
    """Keys of JSON; of metrics each name with its labels; of other text the text."""
    if "json" in kind:
        return keys_of(json.loads(body))
    if "/metrics" in body.decode():
        return body.decode()
    lines = [line for line in body.decode().splitlines() if not line.startswith("#")]
    return sorted({line.rpartition(" ")[0] for line in lines if line})


def keys_of(value: Any) -> Any:
    """The nested keys of a JSON value; of a list the different shapes in it.

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
