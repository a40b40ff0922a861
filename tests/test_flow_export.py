"""Tests of flow export: encoding, timeouts, pending records, failover, and emulated collectors."""

import contextlib
import ssl
from collections import Counter
from datetime import UTC, datetime, timedelta
from itertools import pairwise
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, settings, strategies
from netflow import parse_packet

from corkgauge.accounting.snapshot import take_snapshot
from corkgauge.config.operator_file import read as read_operator
from corkgauge.config.platform import ConfigurationError
from corkgauge.daemon.subsystems import Subsystems
from corkgauge.flow_export.codec import Layout, Message
from corkgauge.flow_export.collector_peer import CollectorPeer, CollectorState
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.decoder import Decoder, MalformedMessageError, MessageStream
from corkgauge.flow_export.elements import VARIABLE_LENGTH, FlowDirection, FlowEndReason
from corkgauge.flow_export.endpoints import Endpoints
from corkgauge.flow_export.export_buffer import ExportBuffer
from corkgauge.flow_export.exporter import Exporter
from corkgauge.flow_export.meter import Meter
from corkgauge.flow_export.pending_records import DELTA_MEMORY_BYTES, PendingRecords
from corkgauge.flow_export.session import Session
from corkgauge.flow_export.templates import Field, LayoutKind, Template, template_set_id
from corkgauge.flow_export.timer_wheel import TimerWheel
from corkgauge.flow_export.tls import TlsConfigurationError, client_context
from corkgauge.testkit.emulators.collector import EmulatedCollector
from fuzz.decoder import is_decodable, load_seeds, mutate
from tests.harness import HostHarness, endpoint_list_event, request_frame, request_id

TICKS_PER_SECOND = 10_000


def ipv4(text):
    return bytes(map(int, text.split(".")))


def make_next_delta(queue):
    """Return a function that removes and returns the next delta of a queue, or None."""
    return lambda: queue.pop(0) if queue else None


# Encoding and decoding.

FLOW_TEMPLATE = Template(
    256,
    [
        Field("sourceIPv4Address", 4),
        Field("destinationIPv4Address", 4),
        Field("ipNextHopIPv4Address", 4),
        Field("packetDeltaCount", 4),
        Field("octetDeltaCount", 4),
    ],
)
LINE_CARD_TEMPLATE = Template(
    258,
    [
        Field("lineCardId", 4),
        Field("exportedMessageTotalCount", 2),
        Field("exportedFlowRecordTotalCount", 2),
    ],
    1,
)
# RFC 7011, appendix A; RFC 3954, section 9, has the same flows with 0 as the id of template sets.
RFC_TEMPLATE = "0002001c 01000005 00080004 000c0004 000f0004 00020004 00010004"
RFC_DATA = (
    "01000040 c000020c c00002fe c0000201 00001391 00518c81"
    " c000021b c0000217 c0000202 000002ec 0005ef46"
    " c0000238 c0000241 c0000203 00000005 00001986"
)
RFC_OPTIONS = "00030018 01020003 0001008d 00040029 0002002a 00020000"
RFC_OPTIONS_DATA = "01020014 00000001 015927d9 00000002 02b24fb2"


def test_messages_match_the_examples_of_the_rfcs():
    message = Message(False, 1400)
    for template in FLOW_TEMPLATE, LINE_CARD_TEMPLATE:
        assert message.add(template_set_id(template, False), template.encode_definition(False))
    for values in (
        ("192.0.2.12", "192.0.2.254", "192.0.2.1", 5009, 5344385),
        ("192.0.2.27", "192.0.2.23", "192.0.2.2", 748, 388934),
        ("192.0.2.56", "192.0.2.65", "192.0.2.3", 5, 6534),
    ):
        assert message.add(256, FLOW_TEMPLATE.encode_record([*map(ipv4, values[:3]), *values[3:]]))
    for values in (1, 345, 10201), (2, 690, 20402):
        message.add(258, LINE_CARD_TEMPLATE.encode_record(values))
    data = message.encode(1_000_000, 0, 7, 9)
    assert data[16:] == bytes.fromhex(RFC_TEMPLATE + RFC_OPTIONS + RFC_DATA + RFC_OPTIONS_DATA)
    decoded = Decoder().decode(data)
    assert (
        decoded.sequence,
        decoded.domain,
        decoded.export_time_seconds,
        len(decoded.records),
    ) == (
        7,
        9,
        1000,
        3,
    )
    assert decoded.records[1]["octetDeltaCount"] == 388934 and decoded.options[1]["lineCardId"] == 2
    assert FLOW_TEMPLATE.encode_definition(True) == bytes.fromhex(RFC_TEMPLATE)[4:]
    # NetFlow v9 has lengths in octets instead of counts.
    assert LINE_CARD_TEMPLATE.encode_definition(True)[:6] == bytes.fromhex("0102 0004 0008")


def test_strings_have_one_or_three_octets_of_length():
    template = Template(300, [Field("engineId", VARIABLE_LENGTH)])
    assert template.encode_record((), [b"hello"]) == b"\5hello"
    assert template.encode_record((), [b"x" * 1000]) == b"\xff\x03\xe8" + b"x" * 1000


def make_delta(
    flow_id=1,
    forward_octets=100,
    reverse_octets=50,
    end_reason=FlowEndReason.ENDED,
    family=4,
    direction=FlowDirection.EGRESS,
    engine="e1",
    zone="hall-a",
    start_ms=1000,
    end_ms=2000,
):
    size = {4: 4, 6: 16, 0: 0}[family]
    return Delta(
        flow_id,
        direction,
        family,
        b"\x7f" * size,
        4000 + flow_id % 999,
        b"\x0a" * size,
        9090,
        engine,
        zone,
        start_ms,
        end_ms,
        forward_octets,
        reverse_octets,
        end_reason,
    )


LAYOUT_KINDS = LayoutKind.OWN, LayoutKind.STANDARD, LayoutKind.NETFLOW9
deltas = strategies.builds(
    make_delta,
    flow_id=strategies.integers(1, 10**6),
    forward_octets=strategies.integers(0, 2**40),
    reverse_octets=strategies.integers(0, 2**33),
    end_reason=strategies.integers(1, 5),
    family=strategies.sampled_from((0, 4, 6)),
    direction=strategies.integers(0, 1),
    engine=strategies.text(max_size=80),
    start_ms=strategies.integers(0, 2**41),
    end_ms=strategies.integers(0, 2**41),
)


def sum_octets(messages):
    return sum(
        record["octetDeltaCount"]
        + record.get("reverseOctetDeltaCount", 0)
        + record.get("postOctetDeltaCount", 0)
        for message in messages
        for record in message.records
    )


@settings(max_examples=120, deadline=None)
@given(
    strategies.sampled_from(LAYOUT_KINDS),
    strategies.lists(deltas, max_size=30),
    strategies.integers(512, 3000),
)
def test_encoded_records_are_decoded_and_messages_respect_the_size_limit(
    kind, queued_deltas, max_message_bytes
):
    session, decoder, queue = (
        Session(Layout(kind, "n1"), 77, max_message_bytes, 0),
        Decoder(),
        [*queued_deltas],
    )
    statistics = Counter()
    messages, exported = session.make_template_messages(5_000, statistics), []
    while queue:
        data, message_deltas, rejected = session.make_data_message(6_000, make_next_delta(queue))
        assert message_deltas and data
        queue[:0] = [rejected] if rejected else []
        messages.append(data)
        exported += message_deltas
    decoded = [decoder.decode(data) for data in messages]
    assert exported == queued_deltas and all(len(data) <= max_message_bytes for data in messages)
    assert sum_octets(decoded) == sum(each.octets for each in queued_deltas)
    assert not any(each.missed_count or each.unknown_set_count for each in decoded) and all(
        each.domain == 77 for each in decoded
    )
    if kind == LayoutKind.OWN:
        assert sorted(record["engineId"] for each in decoded for record in each.records) == sorted(
            each.engine.encode()[:64].decode(errors="replace") for each in exported
        )
    # The netflow package supports neither variable lengths nor enterprise elements.
    if kind != LayoutKind.OWN:
        templates = {"netflow": {}, "ipfix": {}}
        package_flows = [
            flow.data for data in messages for flow in parse_packet(data.hex(), templates).flows
        ]
        names = ("octetDeltaCount",) if kind == LayoutKind.STANDARD else ("IN_BYTES", "OUT_BYTES")
        # In IPFIX, the package returns options records as flows.
        counts_options_as_flows = kind == LayoutKind.STANDARD
        assert len(package_flows) == sum(
            len(each.records) + counts_options_as_flows * len(each.options) for each in decoded
        )
        assert sum(flow.get(each, 0) for flow in package_flows for each in names) == sum_octets(
            decoded
        )


def test_decoder_agrees_with_the_netflow_package_on_every_field():
    for kind in LayoutKind.STANDARD, LayoutKind.NETFLOW9:
        session, decoder = Session(Layout(kind, "n1"), 77, 1400, 500), Decoder()
        templates = {"netflow": {}, "ipfix": {}}
        queue = [
            make_delta(1),
            make_delta(2, family=6, direction=FlowDirection.INGRESS),
            make_delta(3, forward_octets=2**35),
        ]
        messages = [
            *session.make_template_messages(5_000, Counter()),
            session.make_data_message(6_000, make_next_delta(queue))[0],
        ]
        records = [record for data in messages for record in decoder.decode(data).records]
        package_flows = [
            flow.data
            for data in messages
            for flow in parse_packet(data.hex(), templates).flows
            if "observationDomainId" not in flow.data
        ]
        assert len(records) == len(package_flows) >= 3
        for decoded, package_flow in zip(records, package_flows, strict=True):
            assert sorted(
                str(value) for key, value in decoded.items() if "Address" not in key
            ) == sorted(
                str(value)
                for key, value in package_flow.items()
                if "ADDR" not in key and "Address" not in key
            )


def make_messages(kind=LayoutKind.OWN):
    session = Session(Layout(kind, "n1"), 77, 1400, 0)
    queue = [make_delta(flow_id, family=(4, 6)[flow_id % 2]) for flow_id in range(9)]
    return [
        *session.make_template_messages(5_000, Counter()),
        session.make_data_message(6_000, make_next_delta(queue))[0],
    ]


@pytest.mark.parametrize("kind", LAYOUT_KINDS)
def test_corrupted_messages_raise_only_malformed_message_errors_in_bounded_memory(kind):
    random, decoder = Random(5), Decoder()
    for _ in range(600):
        for data in make_messages(kind):
            corrupted = bytearray(data)
            for _ in range(random.randint(1, 5)):
                corrupted[random.randrange(len(corrupted))] = random.randrange(256)
            try:
                decoder.decode(
                    bytes(
                        corrupted[
                            : random.choice((len(corrupted), random.randrange(len(corrupted) + 1)))
                        ]
                    )
                )
            except MalformedMessageError as error:
                assert "\n" not in str(error)
    assert (
        len(decoder.templates) <= 1000
        and len(decoder.elements) < 1100
        and len(decoder.expected_sequence) <= 1001
    )


@given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_message_errors(data):
    for header in (
        b"",
        b"\0\x0a",
        b"\0\x09",
        b"\0\x0a" + (len(data) + 16).to_bytes(2, "big") + bytes(12),
    ):
        with contextlib.suppress(MalformedMessageError):
            Decoder().decode(header + data)


@pytest.mark.parametrize(
    "body, message",
    [
        ("0002 0003", "a set of 3 octets"),
        ("0002 0040", "a set of 64"),
        ("0004 0004", "set 4"),
        ("0002 000c 00ff 0001 0001 0004", "template 255"),
        ("0002 000c 0100 0001 0001 0000", "of length 0"),
        ("0002 000c 0100 0002 0001 0004", "cut short"),
        ("0002 000c 0100 0001 8001 0004", "cut short"),
        ("0003 000e 0100 0001 0002 0001 0004", "as scope"),
        ("0002 000c 0100 0001 0001 0004 0100 0007 000001", "padding"),
        ("0002 000c 0100 0001 0052 ffff 0100 0008 0964 6464", "cut short"),
    ],
)
def test_invalid_set_is_rejected(body, message):
    data = bytes.fromhex(body)
    with pytest.raises(MalformedMessageError, match=message):
        Decoder().decode(b"\0\x0a" + (16 + len(data)).to_bytes(2, "big") + bytes(12) + data)


def test_withdrawal_removes_templates_and_sequence_gap_is_counted():
    session, decoder = Session(Layout(LayoutKind.OWN, "n1"), 7, 1400, 0), Decoder()
    queue = [make_delta(flow_id) for flow_id in range(60)]
    template_messages = session.make_template_messages(0, Counter())
    first, (_, lost_deltas, _), third = (
        session.make_data_message(0, make_next_delta(queue)) for _ in range(3)
    )
    for data in (*template_messages, first[0]):
        assert decoder.decode(data).missed_count == 0
    assert decoder.decode(third[0]).missed_count == len(lost_deltas) > 0
    assert (
        decoder.decode(session.make_withdrawal_message(0)).unknown_set_count == 0
        and not decoder.templates
    )
    assert decoder.decode(third[0]).unknown_set_count == 1


def test_message_stream_is_independent_of_how_the_bytes_are_split():
    whole = b"".join(make_messages())
    for step in 1, 3, 700:
        stream = MessageStream()
        found = [
            message
            for start in range(0, len(whole), step)
            for message in stream.feed(whole[start : start + step])
        ]
        assert found == make_messages()
    with pytest.raises(MalformedMessageError):
        MessageStream().feed(b"\0\x09\0\x20")


# Timeouts.


@settings(max_examples=60, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.integers(1, 900)), max_size=80
    )
)
def test_timer_wheel_behaves_like_a_list_of_due_times(steps):
    class Entry:
        due = 0

    wheel, model, now = TimerWheel(8, 10), {}, 0
    for action, value in steps:
        if action == 0:
            entry = Entry()
            wheel.put(entry, now + value)
            model[entry] = entry.due
        elif action == 1 and model:
            entry = [*model][value % len(model)]
            wheel.remove(entry)
            wheel.remove(entry)
            del model[entry]
        else:
            now += value
            expected, due = (
                {entry for entry, due_time in model.items() if due_time // 10 <= now // 10},
                set(),
            )
            for entry in wheel.advance(now):
                due.add(entry)
                del model[entry]
                if value % 3 == 0:  # added again while the wheel yields other entries
                    wheel.put(entry, now + value % 7)
                    model[entry] = entry.due
            assert due >= expected and all(
                due_time // 10 > now // 10 for due_time in model.values()
            )
        assert len(wheel) == len(model)


class FakeConnection:
    bytes_received = bytes_sent = 0


def make_meter(active_seconds=60, idle_seconds=15):
    """Return a meter and the list of the records that it creates."""
    reported = []
    return (
        Meter(
            reported.append, active_seconds * TICKS_PER_SECOND, idle_seconds * TICKS_PER_SECOND, 0
        ),
        reported,
    )


ENDPOINTS = Endpoints(4, ipv4("127.0.0.1"), 4000, ipv4("127.0.0.2"), 9090)


def test_long_connection_is_reported_every_minute():
    meter, reported = make_meter()
    link = FakeConnection()
    flow = meter.start_flow(link, FlowDirection.EGRESS, ENDPOINTS, "e1", "hall-a", 0)
    for now in range(0, 600 * TICKS_PER_SECOND, TICKS_PER_SECOND // 2):
        link.bytes_sent += 10
        link.bytes_received += 1
        meter.advance(now)
        meter.advance(now)
    meter.end_flow(flow, FlowEndReason.ENDED, 600 * TICKS_PER_SECOND)
    meter.end_flow(flow, FlowEndReason.ENDED, 600 * TICKS_PER_SECOND)
    assert [each.end_reason for each in reported] == [
        *[FlowEndReason.ACTIVE] * (len(reported) - 1),
        FlowEndReason.ENDED,
    ] and 9 <= len(reported) <= 12
    assert (
        sum(each.forward_octets for each in reported) == link.bytes_sent
        and sum(each.reverse_octets for each in reported) == link.bytes_received
    )
    assert (
        all(earlier.end_ms == later.start_ms for earlier, later in pairwise(reported))
        and len({delta.flow_id for delta in reported}) == 1
    )
    assert (
        meter.measured_octets == link.bytes_received + link.bytes_sent
        and not meter.flows
        and not len(meter.wheel)
    )


def test_idle_connection_ends_its_flow_and_starts_another():
    meter, reported = make_meter()
    link = FakeConnection()
    meter.start_flow(link, FlowDirection.INGRESS, ENDPOINTS, "", "", 0)
    link.bytes_received = 7
    for now in range(0, 100 * TICKS_PER_SECOND, TICKS_PER_SECOND):
        meter.advance(now)
        if now == 50 * TICKS_PER_SECOND:
            link.bytes_sent = 3
    assert [(each.end_reason, each.forward_octets, each.reverse_octets) for each in reported] == [
        (FlowEndReason.IDLE, 7, 0),
        (FlowEndReason.IDLE, 0, 3),
    ]
    assert reported[0].flow_id != reported[1].flow_id and meter.unreported_octets() == 0


def test_ten_thousand_flows_due_at_once_are_checked_in_parts():
    meter, reported = make_meter()
    links = [FakeConnection() for _ in range(10_000)]
    for link in links:
        meter.start_flow(link, FlowDirection.EGRESS, ENDPOINTS, "e1", "hall-a", 0)
        link.bytes_received = 1
    reporting_calls = 0
    for now in range(60 * TICKS_PER_SECOND, 63 * TICKS_PER_SECOND, 500):
        count_before = len(reported)
        meter.advance(now)
        assert len(reported) - count_before <= 500
        reporting_calls += len(reported) > count_before
    assert len(reported) == 10_000 and reporting_calls >= 20


# Pending records.


@settings(max_examples=100, deadline=None)
@given(strategies.lists(strategies.tuples(deltas, strategies.integers(0, 3)), max_size=150))
def test_pending_records_keep_the_totals_within_the_memory_limit(steps):
    pending, exported_octets, in_flight = PendingRecords(20 * DELTA_MEMORY_BYTES), 0, []
    for delta, action in steps:
        delta.flow_id %= 40
        pending.add(delta)
        if action == 0 and (next_delta := pending.pop_next()):
            in_flight.append(next_delta)
        elif action == 1 and in_flight:
            pending.requeue([in_flight.pop()])
        elif action == 2 and in_flight:
            exported_octets += in_flight.pop().octets
        assert len(pending) <= pending.max_records
        recount = sum(
            each.octets
            for table in (pending.ended, pending.ongoing, pending.aggregates)
            for each in table.values()
        )
        assert pending.octets == recount
        assert (
            pending.measured_octets
            == exported_octets
            + pending.octets
            + sum(each.octets for each in in_flight)
            + pending.dropped_octets
        )


def test_above_the_memory_limit_flows_merge_by_zone_and_engine_and_none_is_dropped():
    pending = PendingRecords(20 * DELTA_MEMORY_BYTES)
    for flow_id in range(500):
        pending.add(make_delta(flow_id, engine=f"e{flow_id % 5}"))
    assert (
        pending.dropped_octets == 0
        and pending.measured_octets == pending.octets
        and pending.merged_record_count >= 480
    )
    assert (
        sum(each.flow_count for each in pending.aggregates.values()) == pending.merged_record_count
    )
    for flow_id in range(500):
        pending.add(make_delta(flow_id, engine=f"other{flow_id}", zone=f"hall{flow_id % 40}"))
    assert (
        len(pending) <= 20
        and pending.dropped_octets == 0
        and pending.measured_octets == pending.octets
    )
    assert any(each.engine == "(others)" for each in pending.aggregates.values())
    assert (
        sum(each.flow_count for each in pending.aggregates.values())
        + len(pending.ended)
        + len(pending.ongoing)
        >= 900
    )
    pending.drop_all()
    assert (
        (len(pending), pending.octets) == (0, 0)
        and pending.measured_octets == pending.dropped_octets
        and pending.dropped_flows > 900
    )


# Export buffer.


class BufferHarness:
    """An export buffer on a fake clock, whose collectors accept all data while reachable."""

    def __init__(self, *datagrams, memory_bytes=10**6, seed=1):
        self.now, self.log_lines, self.sent, self.opened, self.closed = 0, [], [], [], []
        self.reachable = {}
        self.peers = [
            CollectorPeer(f"c{index}", is_datagram, 1400, 300 * TICKS_PER_SECOND, 1000)
            for index, is_datagram in enumerate(datagrams)
        ]
        self.reachable = {peer: True for peer in self.peers}
        self.full_peers = set()
        self.opening_ticks = 0  # time that a connection takes
        self.pending = PendingRecords(memory_bytes)
        self.export_buffer = ExportBuffer(
            self, Layout(LayoutKind.OWN, "n1"), 7, self.peers, self.pending, seed, 0
        )

    def open(self, peer):
        self.opened.append((self.now, peer))

    def send(self, peer, data):
        if peer in self.full_peers:
            return False
        self.sent.append((self.now, peer, data))
        return True

    def close(self, peer):
        self.closed.append((self.now, peer))
        self.opened = [each for each in self.opened if each[1] is not peer]

    def log(self, line):
        self.log_lines.append(line)

    def run(self, duration, step=500, confirms_writes=True):
        for _ in range(duration // step):
            self.now += step
            for opened_at, peer in [*self.opened]:
                if self.now < opened_at + self.opening_ticks:
                    continue
                self.opened.remove((opened_at, peer))
                if self.reachable[peer]:
                    self.export_buffer.on_opened(peer, self.now)
                else:
                    self.export_buffer.on_lost(peer, "refused", self.now)
            for peer in self.peers:
                if (
                    not self.reachable[peer]
                    and peer.state != CollectorState.DOWN
                    and peer.is_datagram
                    and peer.in_flight
                ):
                    self.export_buffer.on_lost(peer, "Connection refused", self.now)
                elif confirms_writes and not peer.is_datagram and peer.state != CollectorState.DOWN:
                    self.export_buffer.on_written(peer, peer.sent_bytes, self.now)
            self.export_buffer.on_timer(self.now)
            assert (
                self.export_buffer.unaccounted_octets() == 0
                and self.export_buffer.held_octets == self.export_buffer.recounted_octets()
            )

    def received_octets(self, peer):
        """Return the octets that a collector decodes; templates must precede their data."""
        decoder, total = Decoder(), 0
        for _, receiver, data in self.sent:
            if receiver is peer:
                message = decoder.decode(data)
                assert not message.unknown_set_count
                total += sum_octets([message])
        return total


@pytest.mark.parametrize("datagrams", [True, False])
def test_collector_down_for_minutes_receives_all_octets_later(datagrams):
    harness = BufferHarness(datagrams)
    harness.reachable[harness.peers[0]] = False
    for index in range(1800):
        harness.export_buffer.add(make_delta(index % 50, end_reason=FlowEndReason.ACTIVE))
        harness.run(TICKS_PER_SECOND // 10, TICKS_PER_SECOND // 10)
    assert (
        harness.export_buffer.totals.exported_octets == 0
        and len(harness.pending) == 50
        and harness.pending.dropped_octets == 0
    )
    # The intervals between attempts grow.
    attempts = [closed_at for closed_at, _ in harness.closed]
    assert 3 <= len(attempts) <= 12 and attempts[-1] - attempts[-2] > 20 * TICKS_PER_SECOND
    assert sum("not reached" in line for line in harness.log_lines) == 1
    harness.reachable[harness.peers[0]] = True
    harness.run(90 * TICKS_PER_SECOND)
    assert (
        harness.export_buffer.totals.exported_octets
        == 1800 * 150
        == harness.pending.measured_octets
        and not len(harness.pending)
    )


def test_failover_to_the_next_collector_and_return_to_the_first():
    harness = BufferHarness(True, False)
    first, second = harness.peers
    harness.run(TICKS_PER_SECOND)
    assert harness.export_buffer.active is first
    harness.reachable[first] = False
    for flow_id in range(100):
        harness.export_buffer.add(make_delta(flow_id))
        harness.run(TICKS_PER_SECOND // 2)
    assert (
        harness.export_buffer.active is second
        and second.state == CollectorState.UP
        and harness.received_octets(second) > 90 * 150
    )
    harness.reachable[first] = True
    harness.run(80 * TICKS_PER_SECOND)
    assert harness.export_buffer.active is first and second.state == CollectorState.DOWN
    assert any("takes over" in line for line in harness.log_lines)
    assert harness.export_buffer.totals.exported_octets == harness.pending.measured_octets
    total = harness.received_octets(first) + harness.received_octets(second)
    # A refused datagram is sent again and counted as repeated.
    assert total == harness.pending.measured_octets + harness.export_buffer.totals.repeated_octets


def test_partly_written_message_of_a_broken_stream_is_exported_as_new_records():
    harness = BufferHarness(False)
    harness.run(TICKS_PER_SECOND)
    for flow_id in range(100):
        harness.export_buffer.add(make_delta(flow_id))
    harness.run(1000, confirms_writes=False)
    peer = harness.peers[0]
    sent = [data for _, _, data in harness.sent]
    end_offsets = [sum(map(len, sent[: index + 1])) for index in range(len(sent))]
    # The last message but one is partly written, the last not at all.
    harness.export_buffer.on_written(peer, end_offsets[-3] + 10, harness.now)
    exported_octets, unwritten = harness.export_buffer.totals.exported_octets, peer.in_flight_octets
    assert unwritten > 0
    harness.export_buffer.on_lost(peer, "reset", harness.now, unacknowledged_bytes=11)
    # The operating system held one whole message.
    assert 0 < harness.export_buffer.totals.uncertain_octets < exported_octets
    # The records of the last two messages are sent in another session as new records.
    assert harness.pending.octets == unwritten
    harness.run(30 * TICKS_PER_SECOND)
    assert (
        harness.export_buffer.totals.exported_octets == harness.pending.measured_octets == 100 * 150
    )
    for _ in range(3):
        harness.export_buffer.add(make_delta(500))
    harness.run(TICKS_PER_SECOND)
    harness.export_buffer.on_lost(peer, "reset", harness.now, unacknowledged_bytes=10**6)
    # The operating system held the messages: delivery is unknown, so they count as exported.
    assert harness.export_buffer.totals.uncertain_octets >= 3 * 150


# Each attempt ended after 3 s and began anew, so a slow collector was never connected to.
@pytest.mark.parametrize("opening_seconds", [1, 4, 15])
def test_collector_whose_connections_take_long_receives_all_octets(opening_seconds):
    harness = BufferHarness(False)
    harness.opening_ticks = opening_seconds * TICKS_PER_SECOND
    harness.export_buffer.add(make_delta(1))
    harness.run(120 * TICKS_PER_SECOND)
    assert harness.export_buffer.totals.exported_octets == 150
    assert harness.received_octets(harness.peers[0]) == 150


def test_unwritten_messages_of_a_closed_stream_count_as_repeated():
    harness = BufferHarness(False)
    harness.run(TICKS_PER_SECOND)
    harness.export_buffer.add(make_delta(1))
    harness.run(1000, confirms_writes=False)
    harness.export_buffer.reconfigure(harness.peers, harness.export_buffer.layout, harness.now)
    assert (
        harness.export_buffer.totals.repeated_octets == 150 == harness.pending.octets
        and harness.export_buffer.unaccounted_octets() == 0
    )


def test_stalled_stream_is_closed_and_full_stream_skips_no_sequence_number():
    harness = BufferHarness(False)
    harness.run(TICKS_PER_SECOND)
    peer = harness.peers[0]
    harness.full_peers.add(peer)
    harness.export_buffer.add(make_delta(1))
    harness.run(TICKS_PER_SECOND)
    assert harness.pending.octets == 150 and harness.export_buffer.totals.exported_octets == 0
    harness.run(40 * TICKS_PER_SECOND)  # statistics are due, and there is no room for them either
    harness.full_peers.clear()
    harness.run(40 * TICKS_PER_SECOND)
    assert (
        harness.export_buffer.totals.exported_octets == 150 and harness.received_octets(peer) == 150
    )
    decoder = Decoder()
    # Messages that were not sent use no sequence numbers.
    assert not any(decoder.decode(data).missed_count for _, _, data in harness.sent)
    harness.export_buffer.add(make_delta(2))
    harness.run(8 * TICKS_PER_SECOND, confirms_writes=False)
    assert "collector c0 lost: collector accepts no data" in harness.log_lines


def test_templates_are_repeated_on_udp_by_time_and_by_count():
    harness = BufferHarness(True)
    harness.peers[0].refresh_ticks, harness.peers[0].refresh_messages = 20 * TICKS_PER_SECOND, 10
    for flow_id in range(80):
        harness.export_buffer.add(make_delta(flow_id))
        harness.run(TICKS_PER_SECOND)
    template_times = [
        sent_at for sent_at, _, data in harness.sent if Decoder().decode(data).template_count
    ]
    assert (
        len(template_times) >= 8
        and max(later - earlier for earlier, later in pairwise(template_times))
        <= 21 * TICKS_PER_SECOND
    )


@pytest.mark.parametrize("datagrams", [True, False])
def test_statistics_are_sent_every_half_minute_and_templates_at_the_start(datagrams):
    harness = BufferHarness(datagrams)
    harness.run(130 * TICKS_PER_SECOND)
    decoder = Decoder()
    decoded = [decoder.decode(data) for _, _, data in harness.sent]
    assert [each.template_count > 0 for each in decoded] == [
        True,
        *[False] * (len(decoded) - 1),
    ] and len(decoded) == 5
    assert all(
        option["observationDomainId"] == 7
        for each in decoded
        for option in each.options
        if "observationDomainId" in option
    ) and not any(each.missed_count for each in decoded)


def test_gateways_retry_a_collector_at_different_times():
    retry_times = set()
    for seed in range(20):
        harness = BufferHarness(True, seed=seed)
        harness.reachable[harness.peers[0]] = False
        harness.run(5 * TICKS_PER_SECOND, 100)
        retry_times.add(harness.peers[0].retry_at)
    assert len(retry_times) > 10


# Emulated collectors with real sockets on loopback and a fake clock.


class ExportSite:
    """A socket host with an exporter, and emulated collectors."""

    def __init__(
        self,
        tmp_path,
        transports=("udp",),
        layout="own",
        mode="failover",
        tls="",
        contexts=None,
        memory_bytes=10**6,
        active_seconds=2,
    ):
        self.harness = HostHarness(events=[endpoint_list_event(1, {})])
        self.path, self.layout, self.mode, self.tls, self.memory_bytes, self.active_seconds = (
            tmp_path / "operator.xml",
            layout,
            mode,
            tls,
            memory_bytes,
            active_seconds,
        )
        self.messages, self.encoded = [[] for _ in transports], [[] for _ in transports]
        self.collectors = [
            EmulatedCollector(
                self.harness.event_loop,
                transport,
                self.make_receiver(index),
                context=(contexts or {}).get(index),
            )
            for index, transport in enumerate(transports)
        ]
        self.exporter = Exporter(self.harness.socket_host, "n1", 7, self.write_settings())
        self.client = self.engine = None
        self.engine_name, self.request_number = "e1", 0

    def make_receiver(self, index):
        def receive(message, data):
            self.messages[index].append(message)
            self.encoded[index].append(data)

        return receive

    def write_settings(self, collectors=None):
        rows = ""
        for each in collectors or self.collectors:
            rows += (
                f'<collector address="127.0.0.1:{each.address[1]}" transport="{each.transport}">'
            )
            rows += f"{self.tls if each.transport == 'tls' else ''}</collector>"
        self.path.write_text(
            f'<operator version="1"><flows layout="{self.layout}" mode="{self.mode}" idle="1" '
            f'active="{self.active_seconds}" memory="{self.memory_bytes}">{rows}</flows></operator>'
        )
        return read_operator(str(self.path)).flow_export

    def serve_requests(self, count):
        """Serve requests one after another on a new client and a new engine connection."""
        self.close_connections()
        self.client, self.engine = (
            self.harness.connect_client(),
            self.harness.connect_engine(self.engine_name),
        )
        for _ in range(count):
            self.request_number += 1
            self.harness.send(self.client, request_frame(self.request_number))
            self.harness.send_engine_command(
                self.engine,
                request_id(self.request_number),
                "DONE",
                "chunks=1,spent=1,wanted=1",
                "a\t\t\n",
            )
            assert self.harness.receive_answers(self.client)[-1][2] == b"\1"
            self.harness.receive(self.engine)

    def close_connections(self):
        for sock in self.client, self.engine:
            if sock is not None:
                sock.close()
        self.harness.turn()

    def advance_seconds(self, seconds, step=500):
        self.harness.pass_time(int(seconds * TICKS_PER_SECOND), step)

    def check_balance(self):
        socket_host = self.harness.socket_host
        socket_host.auditor.run_whole_pass()
        assert not socket_host.discrepancies.by_kind_and_row, [
            each.log_line() for each in socket_host.discrepancies.by_kind_and_row.values()
        ]

    def received_octets(self, index=0):
        return sum_octets(self.messages[index])

    def carried_octets(self):
        socket_host = self.harness.socket_host
        snapshot = take_snapshot(socket_host.ledger, socket_host.now, "n1", {"id": "x"})
        live = sum(received + sent for received, sent, _ in socket_host.records.live_bytes())
        return live + sum(row["received"] + row["sent"] for row in snapshot["connections"].values())


@pytest.mark.parametrize("layout", LAYOUT_KINDS)
def test_exported_octets_equal_the_octets_of_all_connections(tmp_path, layout):
    site = ExportSite(tmp_path, layout=layout)
    for _ in range(5):
        site.serve_requests(3)
        site.advance_seconds(1)
    site.close_connections()
    site.advance_seconds(4)
    assert (
        site.received_octets() == site.carried_octets() > 1000 and site.collectors[0].errors == []
    )
    site.check_balance()
    export_buffer = site.exporter.buffers["first"]
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.received_octets()
        and export_buffer.totals.repeated_octets == export_buffer.totals.uncertain_octets == 0
    )
    assert not any(each.missed_count for each in site.messages[0])
    if layout != LayoutKind.OWN:
        templates, total = {"netflow": {}, "ipfix": {}}, 0
        for data in site.encoded[0]:
            total += sum(
                flow.data.get(key, 0)
                for flow in parse_packet(data.hex(), templates).flows
                for key in ("octetDeltaCount", "IN_BYTES", "OUT_BYTES")
            )
        assert total == site.carried_octets()
    else:
        engine_records = [
            record
            for each in site.messages[0]
            for record in each.records
            if record["flowDirection"] == FlowDirection.EGRESS
        ]
        assert engine_records and {
            (each["engineId"], each["hallName"], each["gatewayName"]) for each in engine_records
        } == {("e1", "east", "n1")}
        assert {
            option["informationElementName"]
            for each in site.messages[0]
            for option in each.options
            if "informationElementName" in option
        } >= {"engineId", "hallName"}


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_restarted_collector_receives_the_pending_records(tmp_path, transport):
    site = ExportSite(tmp_path, (transport,))
    site.advance_seconds(2)
    site.serve_requests(4)
    site.advance_seconds(3)
    site.collectors[0].close()
    for _ in range(30):
        site.serve_requests(2)
        site.advance_seconds(1)
    site.collectors[0].open()
    site.advance_seconds(90)
    export_buffer = site.exporter.buffers["first"]
    assert site.collectors[0].errors == [] and site.collectors[0].session_count >= 2
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.carried_octets()
        and export_buffer.pending.dropped_octets == 0
    )
    unsure_octets = export_buffer.totals.uncertain_octets + export_buffer.totals.repeated_octets
    assert (
        abs(site.received_octets() - site.carried_octets())
        <= unsure_octets
        < site.carried_octets() / 5
    )
    site.check_balance()


def test_collector_that_never_reads_is_replaced_by_the_next(tmp_path):
    site = ExportSite(tmp_path, ("tcp", "udp"))
    site.collectors[0].ignores_input = True
    site.harness.socket_host.settings.idle_timeout_ticks = 10**9
    export_buffer = site.exporter.buffers["first"]

    def export_for(seconds):
        for _ in range(round(10 * seconds)):
            for index in range(250):
                export_buffer.add(make_delta(site.request_number * 10**6 + index))
            site.request_number += 1
            site.advance_seconds(0.1, 500)

    def is_collector_lost():
        return any("collector accepts no data" in line for line in site.harness.logged)

    for _ in range(400):  # in total more than the socket buffers hold
        if is_collector_lost():
            break
        export_for(0.1)
    assert is_collector_lost()
    export_for(0.4)  # the first one is left alone for at least 0.375 s, then tried again
    assert (
        export_buffer.unaccounted_octets() == 0
        and export_buffer.held_octets == export_buffer.recounted_octets()
    )
    assert (
        export_buffer.active is export_buffer.peers[1]
        and site.received_octets(1) > 0
        and len(export_buffer.pending) <= export_buffer.pending.max_records
    )


def test_collector_that_resets_at_every_template_is_retried_with_growing_backoff(tmp_path):
    site = ExportSite(tmp_path, ("tcp",))
    site.collectors[0].resets_on_template = True
    site.serve_requests(3)
    site.advance_seconds(20)
    assert 2 <= site.collectors[0].session_count <= 12  # the backoff grows
    site.check_balance()
    site.collectors[0].resets_on_template = False
    site.advance_seconds(60)
    export_buffer = site.exporter.buffers["first"]
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.carried_octets()
    )
    assert (
        abs(site.received_octets() - site.carried_octets()) <= export_buffer.totals.uncertain_octets
    )


def test_engine_replaced_at_its_address_is_reported_separately_at_shutdown(tmp_path):
    site = ExportSite(tmp_path)
    site.advance_seconds(1)
    site.serve_requests(2)
    site.harness.socket_host.on_discovery_event(
        "2",
        __import__("json").dumps(
            endpoint_list_event(2, {"state": "DELETED"}, {"id": "e9"}, full=False)
        ),
    )
    site.engine_name = "e9"
    site.serve_requests(2)
    site.exporter.end()
    site.advance_seconds(0.1)
    site.harness.turn(20)
    engine_names = Counter(
        record["engineId"]
        for each in site.messages[0]
        for record in each.records
        if record["flowDirection"] == FlowDirection.EGRESS
    )
    assert set(engine_names) == {"e1", "e9"} and site.received_octets() == site.carried_octets()


def test_reload_of_collectors_keeps_pending_records(tmp_path):
    site = ExportSite(tmp_path, ("udp", "tcp"))
    site.collectors[0].close()
    previous, current = site.collectors
    site.exporter.reload(site.write_settings([previous]))
    site.serve_requests(5)
    site.advance_seconds(5)
    assert site.exporter.buffers["first"].totals.exported_octets == 0
    site.exporter.reload(site.write_settings([current]))
    site.advance_seconds(5)
    assert site.received_octets(1) == site.carried_octets()
    site.layout = "standard"
    site.exporter.reload(site.write_settings([current]))
    site.serve_requests(2)
    site.advance_seconds(5)
    site.check_balance()
    assert (
        site.received_octets(1) == site.carried_octets()
        and site.exporter.buffers["first"].totals.uncertain_octets == 0
    )


def test_mode_all_exports_to_each_collector_independently(tmp_path):
    site = ExportSite(tmp_path, ("udp", "tcp"), mode="all")
    site.collectors[1].close()
    site.advance_seconds(1)
    site.serve_requests(4)
    site.advance_seconds(5)
    assert site.received_octets(0) == site.carried_octets() and site.received_octets(1) == 0
    site.collectors[1].open()
    site.advance_seconds(40)
    assert site.received_octets(1) == site.carried_octets()
    site.check_balance()


def test_clock_set_back_by_an_hour_keeps_times_in_order(tmp_path):
    site = ExportSite(tmp_path)
    site.advance_seconds(2)
    site.serve_requests(3)
    site.advance_seconds(2)
    site.harness.time -= 3600 * TICKS_PER_SECOND
    site.serve_requests(3)
    site.harness.time += 3600 * TICKS_PER_SECOND
    site.advance_seconds(3)
    export_times = [each.export_time_seconds for each in site.messages[0]]
    records = [record for each in site.messages[0] for record in each.records]
    assert export_times == sorted(export_times) and site.received_octets() == site.carried_octets()
    assert all(each["flowStartMilliseconds"] <= each["flowEndMilliseconds"] for each in records)
    site.check_balance()


def test_operator_file_is_applied_completely_or_not_at_all(tmp_path):
    harness, path = HostHarness(), tmp_path / "operator.xml"

    def write_operator_file(socket_name, tls_element=""):
        transport = "tls" if tls_element else "udp"
        path.write_text(
            f'<operator version="1"><figures><listen unix="{tmp_path}/{socket_name}"/></figures>'
            f'<flows><collector address="127.0.0.1:9" transport="{transport}">{tls_element}'
            "</collector></flows></operator>"
        )

    write_operator_file("one")
    subsystems = Subsystems(
        harness.socket_host, SimpleNamespace(name="n1", seed=7, settings_checksum=1), str(path)
    )
    write_operator_file("two", f'<tls ca="{tmp_path}/nothing.crt" name="x"/>')
    subsystems.reload()
    assert "operator file not taken: flows:" in harness.logged[-1]
    assert (
        subsystems.running["accounting"].http_listener.address == f"{tmp_path}/one"
        and not (tmp_path / "two").exists()
    )
    assert subsystems.running["flow_export"].settings.collectors[0].transport == "udp"


def test_octet_missing_in_all_records_is_a_discrepancy(tmp_path):
    site = ExportSite(tmp_path)
    site.serve_requests(1)
    site.exporter.meter.measured_octets -= 1
    site.harness.socket_host.auditor.run_whole_pass()
    assert (
        "books differ",
        "flows measured",
    ) in site.harness.socket_host.discrepancies.by_kind_and_row


# TLS.


def make_certificate(
    folder, label, common_name, issuer=None, end_days=30, key_mode=0o600, start_days=-2
):
    """Write a certificate and its key; returns key, subject and the paths of both files.

    The validity starts and ends so many days from now.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[1] if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + timedelta(days=start_days))
        .not_valid_after(now + timedelta(days=end_days))
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(common_name)]), False)
        .sign(issuer[0] if issuer else key, hashes.SHA256())
    )
    paths = folder / f"{label}.crt", folder / f"{label}.key"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    paths[1].chmod(key_mode)
    return key, subject, *map(str, paths)


def make_server_context(ca, certificate, requires_client_certificate=False):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate[2], certificate[3])
    if requires_client_certificate:
        context.load_verify_locations(ca[2])
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_tls_site(
    tmp_path, server_name="collector.test", has_client_certificate=True, **server_options
):
    """Return a site with one TLS collector, and its certificate authority."""
    ca = make_certificate(tmp_path, "ca", "ca")
    server = make_certificate(tmp_path, "server", "collector.test", ca, **server_options)
    client = make_certificate(tmp_path, "client", "n1", ca)
    files = f' certificate="{client[2]}" key="{client[3]}"' if has_client_certificate else ""
    return ExportSite(
        tmp_path,
        ("tls",),
        tls=f'<tls ca="{ca[2]}" name="{server_name}"{files}/>',
        contexts={0: make_server_context(ca, server, True)},
    ), ca


def test_export_over_tls_with_a_client_certificate_that_is_renewed(tmp_path):
    site, ca = make_tls_site(tmp_path)
    site.advance_seconds(2)
    site.serve_requests(3)
    site.advance_seconds(3)
    assert site.received_octets() == site.carried_octets() and site.collectors[0].errors == []
    # The files are replaced while the exporter is running.
    renewed = make_certificate(tmp_path, "client", "n1 renewed", ca)
    assert renewed[3].endswith("client.key")
    site.exporter.reload(site.write_settings())
    site.serve_requests(3)
    site.advance_seconds(10)
    assert site.received_octets() == site.carried_octets() and site.collectors[0].session_count == 2
    site.check_balance()


@pytest.mark.parametrize(
    "options, log_pattern",
    [
        (dict(server_name="other.test"), "Hostname mismatch"),
        (dict(end_days=-1), "certificate has expired"),
        (dict(has_client_certificate=False), "tls|closed|reset"),
    ],
)
def test_failed_tls_authentication_exports_no_records(tmp_path, options, log_pattern):
    import re

    site, _ = make_tls_site(tmp_path, **options)
    site.serve_requests(3)
    site.advance_seconds(8)
    assert site.received_octets() == 0 and re.search(log_pattern, " ".join(site.harness.logged))
    site.check_balance()


def test_key_file_readable_by_others_is_rejected(tmp_path):
    ca = make_certificate(tmp_path, "ca", "ca")
    client = make_certificate(tmp_path, "client", "n1", ca, key_mode=0o644)
    with pytest.raises(
        TlsConfigurationError, match=r"found mode 644, expected no access by group or others"
    ):
        client_context(ca[2], client[2], client[3])
    with pytest.raises(TlsConfigurationError, match=r"nothing\.crt"):
        client_context(str(tmp_path / "nothing.crt"), "", "")


@pytest.mark.parametrize(
    "flows, message",
    [
        ("<flows/>", "collector"),
        ('<flows><collector address="1.2.3.4:1" transport="x"/></flows>', "'transport'"),
        (
            '<flows layout="netflow9"><collector address="1.2.3.4:1" transport="tcp"/></flows>',
            "transport udp",
        ),
        ('<flows><collector address="1.2.3.4:1" transport="tls"/></flows>', "an element tls"),
        ('<flows><collector address="1.2.3.400:1" transport="udp"/></flows>', "ADDRESS:PORT"),
        ('<flows><collector address="localhost:1" transport="udp"/></flows>', "'address'"),
        (
            '<flows><collector address="1.2.3.4:1" transport="udp" payload="100"/></flows>',
            "'payload'",
        ),
        (
            '<flows><collector address="1.2.3.4:1" transport="udp" payload="65535"/></flows>',
            "65507",
        ),
        (
            '<flows><collector address="1.2.3.4:1" transport="tls">'
            '<tls ca="/c" name="n" key="/k"/></collector></flows>',
            "both certificate and key, or neither",
        ),
        (
            '<flows><collector address="1.2.3.4:1" transport="udp"/>'
            '<collector address="1.2.3.4:1" transport="tcp"/></flows>',
            "different addresses",
        ),
    ],
)
def test_invalid_flows_element_of_the_operator_file_is_rejected(tmp_path, flows, message):
    path = tmp_path / "operator.xml"
    path.write_text(f'<operator version="1">\n{flows}</operator>')
    with pytest.raises(ConfigurationError) as raised:
        read_operator(str(path))
    assert message in str(raised.value) and "operator.xml:2" in str(raised.value)


@pytest.mark.parametrize(
    "path",
    sorted((Path(__file__).parent.parent / "fuzz" / "seeds").glob("*.bin")),
    ids=lambda path: path.stem,
)
def test_fuzzer_seeds_raise_only_malformed_message_errors(path):
    random, known_seeds, decoder = Random(3), load_seeds(), Decoder()
    is_decodable(decoder, path.read_bytes())
    for _ in range(200):
        is_decodable(decoder, mutate(path.read_bytes(), known_seeds, random))
    assert len(decoder.templates) <= 1000 and len(decoder.expected_sequence) <= 1001
