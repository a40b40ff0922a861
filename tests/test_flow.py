"""Flow export: bytes of the RFCs, timeouts, pending records, failover, and real collectors."""

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
from corkgauge.flow_export.elements import VARIABLE, FlowDirection, FlowEndReason
from corkgauge.flow_export.endpoints import Endpoints
from corkgauge.flow_export.export_buffer import ExportBuffer
from corkgauge.flow_export.exporter import Exporter
from corkgauge.flow_export.meter import Meter
from corkgauge.flow_export.pending_records import DELTA_MEMORY_BYTES, PendingRecords
from corkgauge.flow_export.session import Session
from corkgauge.flow_export.templates import Field, LayoutKind, Template, template_set
from corkgauge.flow_export.timer_wheel import TimerWheel
from corkgauge.flow_export.tls import TlsConfigurationError, client_context
from corkgauge.testkit.emulators.collector import EmulatedCollector
from fuzz.decoder import changed, one, seeds
from tests.harness import HostHarness, endpoint_list_event, request_frame, request_id

SECOND = 10_000


def ip(text):
    return bytes(map(int, text.split(".")))


def taker_of(queue):
    """What a session asks for its next record."""
    return lambda: queue.pop(0) if queue else None


# Bytes.

FLOW = Template(
    256,
    [
        Field("sourceIPv4Address", 4),
        Field("destinationIPv4Address", 4),
        Field("ipNextHopIPv4Address", 4),
        Field("packetDeltaCount", 4),
        Field("octetDeltaCount", 4),
    ],
)
LINE = Template(
    258,
    [
        Field("lineCardId", 4),
        Field("exportedMessageTotalCount", 2),
        Field("exportedFlowRecordTotalCount", 2),
    ],
    1,
)
# RFC 7011, appendix A (and RFC 3954, section 9, which has the same flows with a template set of 0).
GOLDEN_TEMPLATE = "0002001c 01000005 00080004 000c0004 000f0004 00020004 00010004"
GOLDEN_DATA = (
    "01000040 c000020c c00002fe c0000201 00001391 00518c81"
    " c000021b c0000217 c0000202 000002ec 0005ef46"
    " c0000238 c0000241 c0000203 00000005 00001986"
)
GOLDEN_OPTIONS = "00030018 01020003 0001008d 00040029 0002002a 00020000"
GOLDEN_OPTIONS_DATA = "01020014 00000001 015927d9 00000002 02b24fb2"


def test_the_worked_examples_of_the_rfcs():
    message = Message(False, 1400)
    for template in FLOW, LINE:
        assert message.add(template_set(template, False), template.definition(False))
    for values in (
        ("192.0.2.12", "192.0.2.254", "192.0.2.1", 5009, 5344385),
        ("192.0.2.27", "192.0.2.23", "192.0.2.2", 748, 388934),
        ("192.0.2.56", "192.0.2.65", "192.0.2.3", 5, 6534),
    ):
        assert message.add(256, FLOW.record([*map(ip, values[:3]), *values[3:]]))
    for values in (1, 345, 10201), (2, 690, 20402):
        message.add(258, LINE.record(values))
    data = message.data(1_000_000, 0, 7, 9)
    assert data[16:] == bytes.fromhex(
        GOLDEN_TEMPLATE + GOLDEN_OPTIONS + GOLDEN_DATA + GOLDEN_OPTIONS_DATA
    )
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
    assert FLOW.definition(True) == bytes.fromhex(GOLDEN_TEMPLATE)[4:]
    assert LINE.definition(True)[:6] == bytes.fromhex("0102 0004 0008")  # octets, not counts


def test_strings_of_variable_length():
    template = Template(300, [Field("engineId", VARIABLE)])
    assert template.record((), [b"hello"]) == b"\5hello"
    assert template.record((), [b"x" * 1000]) == b"\xff\x03\xe8" + b"x" * 1000


def delta(
    flow=1,
    forward=100,
    reverse=50,
    reason=FlowEndReason.ENDED,
    family=4,
    side=FlowDirection.EGRESS,
    engine="e1",
    zone="hall-a",
    first=1000,
    last=2000,
):
    size = {4: 4, 6: 16, 0: 0}[family]
    return Delta(
        flow,
        side,
        family,
        b"\x7f" * size,
        4000 + flow % 999,
        b"\x0a" * size,
        9090,
        engine,
        zone,
        first,
        last,
        forward,
        reverse,
        reason,
    )


KINDS = LayoutKind.OWN, LayoutKind.STANDARD, LayoutKind.NETFLOW9
deltas = strategies.builds(
    delta,
    flow=strategies.integers(1, 10**6),
    forward=strategies.integers(0, 2**40),
    reverse=strategies.integers(0, 2**33),
    reason=strategies.integers(1, 5),
    family=strategies.sampled_from((0, 4, 6)),
    side=strategies.integers(0, 1),
    engine=strategies.text(max_size=80),
    first=strategies.integers(0, 2**41),
    last=strategies.integers(0, 2**41),
)


def octets(decoded):
    return sum(
        record["octetDeltaCount"]
        + record.get("reverseOctetDeltaCount", 0)
        + record.get("postOctetDeltaCount", 0)
        for each in decoded
        for record in each.records
    )


@settings(max_examples=120, deadline=None)
@given(
    strategies.sampled_from(KINDS),
    strategies.lists(deltas, max_size=30),
    strategies.integers(512, 3000),
)
def test_whatever_is_encoded_is_decoded_within_the_limit(kind, several, limit):
    session, decoder, queue = Session(Layout(kind, "n1"), 77, limit, 0), Decoder(), [*several]
    statistics = Counter()
    messages, exported = session.introduction(5_000, statistics), []
    while queue:
        data, some, left = session.data_message(6_000, taker_of(queue))
        assert some and data
        queue[:0] = [left] if left else []
        messages.append(data)
        exported += some
    decoded = [decoder.decode(data) for data in messages]
    assert exported == several and all(len(data) <= limit for data in messages)
    assert octets(decoded) == sum(each.octets for each in several)
    assert not any(each.missed or each.unknown for each in decoded) and all(
        each.domain == 77 for each in decoded
    )
    if kind == LayoutKind.OWN:
        assert sorted(record["engineId"] for each in decoded for record in each.records) == sorted(
            each.engine.encode()[:64].decode(errors="replace") for each in exported
        )
    if (
        kind != LayoutKind.OWN
    ):  # the standard decoder knows neither variable lengths nor enterprises
        templates = {"netflow": {}, "ipfix": {}}
        theirs = [
            flow.data for data in messages for flow in parse_packet(data.hex(), templates).flows
        ]
        names = ("octetDeltaCount",) if kind == LayoutKind.STANDARD else ("IN_BYTES", "OUT_BYTES")
        statistics_records = kind == LayoutKind.STANDARD  # it takes options for flows
        assert len(theirs) == sum(
            len(each.records) + statistics_records * len(each.options) for each in decoded
        )
        assert sum(flow.get(each, 0) for flow in theirs for each in names) == octets(decoded)


def test_both_decoders_agree_on_every_field():
    for kind in LayoutKind.STANDARD, LayoutKind.NETFLOW9:
        session, ours = Session(Layout(kind, "n1"), 77, 1400, 500), Decoder()
        templates = {"netflow": {}, "ipfix": {}}
        queue = [delta(1), delta(2, family=6, side=FlowDirection.INGRESS), delta(3, forward=2**35)]
        messages = [
            *session.introduction(5_000, Counter()),
            session.data_message(6_000, taker_of(queue))[0],
        ]
        mine = [record for data in messages for record in ours.decode(data).records]
        theirs = [
            flow.data
            for data in messages
            for flow in parse_packet(data.hex(), templates).flows
            if "observationDomainId" not in flow.data
        ]
        assert len(mine) == len(theirs) >= 3
        for ours_, other in zip(mine, theirs, strict=True):
            assert sorted(
                str(value) for key, value in ours_.items() if "Address" not in key
            ) == sorted(
                str(value)
                for key, value in other.items()
                if "ADDR" not in key and "Address" not in key
            )


def messages_of(kind=LayoutKind.OWN):
    session = Session(Layout(kind, "n1"), 77, 1400, 0)
    queue = [delta(n, family=(4, 6)[n % 2]) for n in range(9)]
    return [
        *session.introduction(5_000, Counter()),
        session.data_message(6_000, taker_of(queue))[0],
    ]


@pytest.mark.parametrize("kind", KINDS)
def test_changed_bytes_are_refused_or_read_and_nothing_grows(kind):
    chance, decoder = Random(5), Decoder()
    for _ in range(600):
        for data in messages_of(kind):
            bad = bytearray(data)
            for _ in range(chance.randint(1, 5)):
                bad[chance.randrange(len(bad))] = chance.randrange(256)
            try:
                decoder.decode(
                    bytes(bad[: chance.choice((len(bad), chance.randrange(len(bad) + 1)))])
                )
            except MalformedMessageError as problem:
                assert "\n" not in str(problem)
    assert (
        len(decoder.templates) <= 1000
        and len(decoder.elements) < 1100
        and len(decoder.expected_sequence) <= 1001
    )


@given(strategies.binary(max_size=200))
def test_any_bytes_are_no_crash(data):
    for head in (
        b"",
        b"\0\x0a",
        b"\0\x09",
        b"\0\x0a" + (len(data) + 16).to_bytes(2, "big") + bytes(12),
    ):
        with contextlib.suppress(MalformedMessageError):
            Decoder().decode(head + data)


@pytest.mark.parametrize(
    "body, wrong",
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
def test_what_does_not_fit_is_malformed(body, wrong):
    data = bytes.fromhex(body)
    with pytest.raises(MalformedMessageError, match=wrong):
        Decoder().decode(b"\0\x0a" + (16 + len(data)).to_bytes(2, "big") + bytes(12) + data)


def test_a_withdrawal_forgets_and_a_gap_is_seen():
    session, decoder = Session(Layout(LayoutKind.OWN, "n1"), 7, 1400, 0), Decoder()
    queue = [delta(n) for n in range(60)]
    introduction = session.introduction(0, Counter())
    first, (_, gone, _), third = (session.data_message(0, taker_of(queue)) for _ in range(3))
    for data in (*introduction, first[0]):
        assert decoder.decode(data).missed == 0
    assert decoder.decode(third[0]).missed == len(gone) > 0
    assert decoder.decode(session.withdraw_templates(0)).unknown == 0 and not decoder.templates
    assert decoder.decode(third[0]).unknown == 1


def test_a_stream_gives_messages_however_it_is_split():
    whole = b"".join(messages_of())
    for step in 1, 3, 700:
        stream = MessageStream()
        found = [
            each for at in range(0, len(whole), step) for each in stream.feed(whole[at : at + step])
        ]
        assert found == messages_of()
    with pytest.raises(MalformedMessageError):
        MessageStream().feed(b"\0\x09\0\x20")


# Timeouts.


@settings(max_examples=60, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.integers(1, 900)), max_size=80
    )
)
def test_the_wheel_is_a_plain_list_of_due_times(steps):
    class Entry:
        due = 0

    wheel, model, now = TimerWheel(8, 10), {}, 0
    for what, value in steps:
        if what == 0:
            entry = Entry()
            wheel.put(entry, now + value)
            model[entry] = entry.due
        elif what == 1 and model:
            entry = [*model][value % len(model)]
            wheel.remove(entry)
            wheel.remove(entry)
            del model[entry]
        else:
            now += value
            expected, due = (
                {entry for entry, when in model.items() if when // 10 <= now // 10},
                set(),
            )
            for entry in wheel.advance(now):
                due.add(entry)
                del model[entry]
                if value % 3 == 0:  # put again while others are given
                    wheel.put(entry, now + value % 7)
                    model[entry] = entry.due
            assert due >= expected and all(when // 10 > now // 10 for when in model.values())
        assert len(wheel) == len(model)


class Wire:
    bytes_received = bytes_sent = 0


def metered(active=60, idle=15):
    reported = []
    return Meter(reported.append, active * SECOND, idle * SECOND, 0), reported


ENDS = Endpoints(4, ip("127.0.0.1"), 4000, ip("127.0.0.2"), 9090)


def test_a_connection_open_all_night_is_seen_each_minute():
    meter, reported = metered()
    link = Wire()
    flow = meter.start_flow(link, FlowDirection.EGRESS, ENDS, "e1", "hall-a", 0)
    for now in range(0, 600 * SECOND, SECOND // 2):
        link.bytes_sent += 10
        link.bytes_received += 1
        meter.advance(now)
        meter.advance(now)
    meter.end_flow(flow, FlowEndReason.ENDED, 600 * SECOND)
    meter.end_flow(flow, FlowEndReason.ENDED, 600 * SECOND)
    assert [each.end_reason for each in reported] == [
        *[FlowEndReason.ACTIVE] * (len(reported) - 1),
        FlowEndReason.ENDED,
    ] and 9 <= len(reported) <= 12
    assert (
        sum(each.forward_octets for each in reported) == link.bytes_sent
        and sum(each.reverse_octets for each in reported) == link.bytes_received
    )
    assert (
        all(one.end_ms == other.start_ms for one, other in pairwise(reported))
        and len({d.flow_id for d in reported}) == 1
    )
    assert (
        meter.measured_octets == link.bytes_received + link.bytes_sent
        and not meter.flows
        and not len(meter.wheel)
    )


def test_a_quiet_connection_ends_its_flow_and_begins_another():
    meter, reported = metered()
    link = Wire()
    meter.start_flow(link, FlowDirection.INGRESS, ENDS, "", "", 0)
    link.bytes_received = 7
    for now in range(0, 100 * SECOND, SECOND):
        meter.advance(now)
        if now == 50 * SECOND:
            link.bytes_sent = 3
    assert [(each.end_reason, each.forward_octets, each.reverse_octets) for each in reported] == [
        (FlowEndReason.IDLE, 7, 0),
        (FlowEndReason.IDLE, 0, 3),
    ]
    assert reported[0].flow_id != reported[1].flow_id and meter.unreported_octets() == 0


def test_ten_thousand_due_at_once_are_looked_at_in_parts():
    meter, reported = metered()
    links = [Wire() for _ in range(10_000)]
    for link in links:
        meter.start_flow(link, FlowDirection.EGRESS, ENDS, "e1", "hall-a", 0)
        link.bytes_received = 1
    calls = 0
    for now in range(60 * SECOND, 63 * SECOND, 500):
        before = len(reported)
        meter.advance(now)
        assert len(reported) - before <= 500
        calls += len(reported) > before
    assert len(reported) == 10_000 and calls >= 20


# Pending records.


@settings(max_examples=100, deadline=None)
@given(strategies.lists(strategies.tuples(deltas, strategies.integers(0, 3)), max_size=150))
def test_nothing_of_the_totals_is_lost_within_the_bound(steps):
    held, exported_octets, under_way = PendingRecords(20 * DELTA_MEMORY_BYTES), 0, []
    for each, what in steps:
        each.flow_id %= 40
        held.add(each)
        if what == 0 and (some := held.pop_next()):
            under_way.append(some)
        elif what == 1 and under_way:
            held.put_back([under_way.pop()])
        elif what == 2 and under_way:
            exported_octets += under_way.pop().octets
        assert len(held) <= held.max_records
        recount = sum(
            d.octets
            for table in (held.ended, held.ongoing, held.aggregates)
            for d in table.values()
        )
        assert held.octets == recount
        assert (
            held.measured_octets
            == exported_octets
            + held.octets
            + sum(d.octets for d in under_way)
            + held.dropped_octets
        )


def test_beyond_the_bound_flows_merge_by_hall_and_engine_before_any_is_dropped():
    held = PendingRecords(20 * DELTA_MEMORY_BYTES)
    for n in range(500):
        held.add(delta(n, engine=f"e{n % 5}"))
    assert (
        held.dropped_octets == 0
        and held.measured_octets == held.octets
        and held.merged_flows >= 480
    )
    assert sum(each.flow_count for each in held.aggregates.values()) == held.merged_flows
    for n in range(500):
        held.add(delta(n, engine=f"other{n}", zone=f"hall{n % 40}"))
    assert len(held) <= 20 and held.dropped_octets == 0 and held.measured_octets == held.octets
    assert any(each.engine == "(others)" for each in held.aggregates.values())
    assert (
        sum(each.flow_count for each in held.aggregates.values())
        + len(held.ended)
        + len(held.ongoing)
        >= 900
    )
    held.drop_all()
    assert (
        (len(held), held.octets) == (0, 0)
        and held.measured_octets == held.dropped_octets
        and held.dropped_flows > 900
    )


# Export buffer.


class BufferHarness:
    """An export buffer on a fake clock; its collectors take everything while they are well."""

    def __init__(self, *datagrams, memory=10**6, seed=1):
        self.now, self.logged, self.sent, self.opened, self.closed = 0, [], [], [], []
        self.well = {}
        self.peers = [
            CollectorPeer(f"c{n}", each, 1400, 300 * SECOND, 1000)
            for n, each in enumerate(datagrams)
        ]
        self.well = {peer: True for peer in self.peers}
        self.full = set()
        self.held = PendingRecords(memory)
        self.export_buffer = ExportBuffer(
            self, Layout(LayoutKind.OWN, "n1"), 7, self.peers, self.held, seed, 0
        )

    def open(self, peer):
        self.opened.append((self.now, peer))

    def send(self, peer, data):
        if peer in self.full:
            return False
        self.sent.append((self.now, peer, data))
        return True

    def close(self, peer):
        self.closed.append((self.now, peer))

    def log(self, line):
        self.logged.append(line)

    def run(self, span, step=500, writes=True):
        for _ in range(span // step):
            self.now += step
            for when, peer in [*self.opened]:
                self.opened.remove((when, peer))
                if self.well[peer]:
                    self.export_buffer.on_opened(peer, self.now)
                else:
                    self.export_buffer.on_lost(peer, "refused", self.now)
            for peer in self.peers:
                if (
                    not self.well[peer]
                    and peer.state != CollectorState.DOWN
                    and peer.is_datagram
                    and peer.in_flight
                ):
                    self.export_buffer.on_lost(peer, "Connection refused", self.now)
                elif writes and not peer.is_datagram and peer.state != CollectorState.DOWN:
                    self.export_buffer.on_written(peer, peer.sent_bytes, self.now)
            self.export_buffer.on_tick(self.now)
            assert (
                self.export_buffer.unaccounted_octets() == 0
                and self.export_buffer.held_octets == self.export_buffer.recounted_octets()
            )

    def decoded(self, peer):
        """Octets by session, as a collector adds them up; templates must come first in each."""
        decoder, total = Decoder(), 0
        for _, to, data in self.sent:
            if to is peer:
                decoded = decoder.decode(data)
                assert not decoded.unknown
                total += octets([decoded])
        return total


@pytest.mark.parametrize("datagrams", [True, False])
def test_a_collector_that_is_down_for_minutes_gets_all_of_it_later(datagrams):
    harness = BufferHarness(datagrams)
    harness.well[harness.peers[0]] = False
    for n in range(1800):
        harness.export_buffer.add(delta(n % 50, reason=FlowEndReason.ACTIVE))
        harness.run(SECOND // 10, SECOND // 10)
    assert (
        harness.export_buffer.totals.exported_octets == 0
        and len(harness.held) == 50
        and harness.held.dropped_octets == 0
    )
    tries = [when for when, _ in harness.closed]
    assert (
        3 <= len(tries) <= 12 and tries[-1] - tries[-2] > 20 * SECOND
    )  # further and further apart
    assert sum("not reached" in line for line in harness.logged) == 1
    harness.well[harness.peers[0]] = True
    harness.run(90 * SECOND)
    assert (
        harness.export_buffer.totals.exported_octets == 1800 * 150 == harness.held.measured_octets
        and not len(harness.held)
    )


def test_fallback_to_the_next_and_return_to_the_first():
    harness = BufferHarness(True, False)
    first, second = harness.peers
    harness.run(SECOND)
    assert harness.export_buffer.active is first
    harness.well[first] = False
    for n in range(100):
        harness.export_buffer.add(delta(n))
        harness.run(SECOND // 2)
    assert (
        harness.export_buffer.active is second
        and second.state == CollectorState.UP
        and harness.decoded(second) > 90 * 150
    )
    harness.well[first] = True
    harness.run(80 * SECOND)
    assert harness.export_buffer.active is first and second.state == CollectorState.DOWN
    assert any("takes over" in line for line in harness.logged)
    assert harness.export_buffer.totals.exported_octets == harness.held.measured_octets
    total = harness.decoded(first) + harness.decoded(second)
    # a refused datagram is sent again, and so counted
    assert total == harness.held.measured_octets + harness.export_buffer.totals.repeated_octets


def test_a_stream_that_breaks_never_sends_a_torn_message_again():
    harness = BufferHarness(False)
    harness.run(SECOND)
    for n in range(100):
        harness.export_buffer.add(delta(n))
    harness.run(1000, writes=False)
    peer = harness.peers[0]
    sent = [data for _, _, data in harness.sent]
    ends = [sum(map(len, sent[: n + 1])) for n in range(len(sent))]
    harness.export_buffer.on_written(
        peer, ends[-3] + 10, harness.now
    )  # the last but one is torn, the last has not begun
    exported_octets, unwritten = harness.export_buffer.totals.exported_octets, peer.in_flight_octets
    assert unwritten > 0
    harness.export_buffer.on_lost(peer, "reset", harness.now, unacknowledged_bytes=11)
    assert (
        0 < harness.export_buffer.totals.uncertain_octets < exported_octets
    )  # one whole message was in the system's hands
    # the torn one and the last go into another session, as new records
    assert harness.held.octets == unwritten
    harness.run(30 * SECOND)
    assert harness.export_buffer.totals.exported_octets == harness.held.measured_octets == 100 * 150
    for _ in range(3):
        harness.export_buffer.add(delta(500))
    harness.run(SECOND)
    harness.export_buffer.on_lost(peer, "reset", harness.now, unacknowledged_bytes=10**6)
    assert (
        harness.export_buffer.totals.uncertain_octets >= 3 * 150
    )  # in the system's hands: nobody knows, so it is exported


def test_what_a_stream_still_holds_when_it_is_left_counts_as_repeated():
    harness = BufferHarness(False)
    harness.run(SECOND)
    harness.export_buffer.add(delta(1))
    harness.run(1000, writes=False)
    harness.export_buffer.reconfigure(harness.peers, harness.export_buffer.layout, harness.now)
    assert (
        harness.export_buffer.totals.repeated_octets == 150 == harness.held.octets
        and harness.export_buffer.unaccounted_octets() == 0
    )


def test_a_stream_that_takes_nothing_is_left_and_a_full_one_keeps_its_place():
    harness = BufferHarness(False)
    harness.run(SECOND)
    peer = harness.peers[0]
    harness.full.add(peer)
    harness.export_buffer.add(delta(1))
    harness.run(SECOND)
    assert harness.held.octets == 150 and harness.export_buffer.totals.exported_octets == 0
    harness.run(40 * SECOND)  # statistics came due meanwhile, and found no room either
    harness.full.clear()
    harness.run(40 * SECOND)
    assert harness.export_buffer.totals.exported_octets == 150 and harness.decoded(peer) == 150
    decoder = Decoder()
    assert not any(
        decoder.decode(data).missed for _, _, data in harness.sent
    )  # numbers of what never went
    harness.export_buffer.add(delta(2))
    harness.run(8 * SECOND, writes=False)
    assert "collector c0 lost: it takes nothing" in harness.logged


def test_templates_again_on_udp_by_time_and_by_count():
    harness = BufferHarness(True)
    harness.peers[0].refresh_ticks, harness.peers[0].refresh_messages = 20 * SECOND, 10
    for n in range(80):
        harness.export_buffer.add(delta(n))
        harness.run(SECOND)
    starts = [when for when, _, data in harness.sent if Decoder().decode(data).templates]
    assert len(starts) >= 8 and max(b - a for a, b in pairwise(starts)) <= 21 * SECOND


@pytest.mark.parametrize("datagrams", [True, False])
def test_statistics_go_each_half_minute_and_templates_of_a_stream_once(datagrams):
    harness = BufferHarness(datagrams)
    harness.run(130 * SECOND)
    decoder = Decoder()
    decoded = [decoder.decode(data) for _, _, data in harness.sent]
    assert [each.templates > 0 for each in decoded] == [
        True,
        *[False] * (len(decoded) - 1),
    ] and len(decoded) == 5
    assert all(
        option["observationDomainId"] == 7
        for each in decoded
        for option in each.options
        if "observationDomainId" in option
    ) and not any(each.missed for each in decoded)


def test_gateways_come_back_at_different_moments():
    moments = set()
    for seed in range(20):
        harness = BufferHarness(True, seed=seed)
        harness.well[harness.peers[0]] = False
        harness.run(5 * SECOND, 100)
        moments.add(harness.peers[0].retry_at)
    assert len(moments) > 10


# Real collectors, on loopback; the clock alone is a fake.


class ExportSite:
    """A host with an exporter, and collectors beside it."""

    def __init__(
        self,
        tmp_path,
        transports=("udp",),
        layout="own",
        mode="failover",
        tls="",
        contexts=None,
        memory=10**6,
        active=2,
    ):
        self.harness = HostHarness(events=[endpoint_list_event(1, {})])
        self.path, self.layout, self.mode, self.tls, self.memory, self.active = (
            tmp_path / "operator.xml",
            layout,
            mode,
            tls,
            memory,
            active,
        )
        self.messages, self.bytes = [[] for _ in transports], [[] for _ in transports]
        self.collectors = [
            EmulatedCollector(
                self.harness.event_loop, each, self.taker(n), context=(contexts or {}).get(n)
            )
            for n, each in enumerate(transports)
        ]
        self.exporter = Exporter(self.harness.socket_host, "n1", 7, self.flow_settings())
        self.client = self.engine = None
        self.tag, self.stream = "e1", 0

    def taker(self, n):
        def take(decoded, data):
            self.messages[n].append(decoded)
            self.bytes[n].append(data)

        return take

    def flow_settings(self, collectors=None):
        rows = ""
        for each in collectors or self.collectors:
            rows += (
                f'<collector address="127.0.0.1:{each.address[1]}" transport="{each.transport}">'
            )
            rows += f"{self.tls if each.transport == 'tls' else ''}</collector>"
        self.path.write_text(
            f'<operator version="1"><flows layout="{self.layout}" mode="{self.mode}" idle="1" '
            f'active="{self.active}" memory="{self.memory}">{rows}</flows></operator>'
        )
        return read_operator(str(self.path)).flow_export

    def serve(self, count):
        """Requests, one after the other, each with its answer, on connections of their own."""
        self.hang_up()
        self.client, self.engine = (
            self.harness.connect_client(),
            self.harness.connect_engine(self.tag),
        )
        for _ in range(count):
            self.stream += 1
            self.harness.send(self.client, request_frame(self.stream))
            self.harness.send_engine_command(
                self.engine, request_id(self.stream), "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n"
            )
            assert self.harness.receive_answers(self.client)[-1][2] == b"\1"
            self.harness.receive(self.engine)

    def hang_up(self):
        for sock in self.client, self.engine:
            if sock is not None:
                sock.close()
        self.harness.turn()

    def go_on(self, seconds, step=500):
        self.harness.pass_time(int(seconds * SECOND), step)

    def balanced(self):
        socket_host = self.harness.socket_host
        socket_host.auditor.run_whole_pass()
        assert not socket_host.discrepancies.by_kind_and_row, [
            each.log_line() for each in socket_host.discrepancies.by_kind_and_row.values()
        ]

    def exported_octets(self, n=0):
        return octets(self.messages[n])

    def carried(self):
        socket_host = self.harness.socket_host
        cut = take_snapshot(socket_host.ledger, socket_host.now, "n1", {"id": "x"})
        live = sum(got + sent for got, sent, _ in socket_host.records.live_bytes())
        return live + sum(row["received"] + row["sent"] for row in cut["connections"].values())


@pytest.mark.parametrize("layout", KINDS)
def test_every_record_reaches_a_collector_and_adds_up(tmp_path, layout):
    site = ExportSite(tmp_path, layout=layout)
    for _ in range(5):
        site.serve(3)
        site.go_on(1)
    site.hang_up()
    site.go_on(4)
    assert site.exported_octets() == site.carried() > 1000 and site.collectors[0].errors == []
    site.balanced()
    export_buffer = site.exporter.buffers["first"]
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.exported_octets()
        and export_buffer.totals.repeated_octets == export_buffer.totals.uncertain_octets == 0
    )
    assert not any(each.missed for each in site.messages[0])
    if layout != LayoutKind.OWN:
        templates, total = {"netflow": {}, "ipfix": {}}, 0
        for data in site.bytes[0]:
            total += sum(
                flow.data.get(key, 0)
                for flow in parse_packet(data.hex(), templates).flows
                for key in ("octetDeltaCount", "IN_BYTES", "OUT_BYTES")
            )
        assert total == site.carried()
    else:
        engines = [
            record
            for each in site.messages[0]
            for record in each.records
            if record["flowDirection"] == FlowDirection.EGRESS
        ]
        assert engines and {
            (each["engineId"], each["hallName"], each["gatewayName"]) for each in engines
        } == {("e1", "east", "n1")}
        assert {
            option["informationElementName"]
            for each in site.messages[0]
            for option in each.options
            if "informationElementName" in option
        } >= {"engineId", "hallName"}


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_a_collector_that_goes_and_comes_back(tmp_path, transport):
    site = ExportSite(tmp_path, (transport,))
    site.go_on(2)
    site.serve(4)
    site.go_on(3)
    site.collectors[0].close()
    for _ in range(30):
        site.serve(2)
        site.go_on(1)
    site.collectors[0].open()
    site.go_on(90)
    export_buffer = site.exporter.buffers["first"]
    assert site.collectors[0].errors == [] and site.collectors[0].session_count >= 2
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.carried()
        and export_buffer.pending.dropped_octets == 0
    )
    lost_or_twice = export_buffer.totals.uncertain_octets + export_buffer.totals.repeated_octets
    assert abs(site.exported_octets() - site.carried()) <= lost_or_twice < site.carried() / 5
    site.balanced()


def test_a_collector_that_accepts_and_never_reads(tmp_path):
    site = ExportSite(tmp_path, ("tcp", "udp"))
    site.collectors[0].ignores_input = True
    site.harness.socket_host.settings.idle_timeout_ticks = 10**9
    for _ in range(400):
        for n in range(250):  # more than a socket's buffers take
            site.exporter.buffers["first"].add(delta(site.stream * 10**6 + n))
        site.stream += 1
        site.go_on(0.1, 500)
    export_buffer = site.exporter.buffers["first"]
    assert (
        export_buffer.unaccounted_octets() == 0
        and export_buffer.held_octets == export_buffer.recounted_octets()
    )
    assert any("it takes nothing" in line for line in site.harness.logged)
    assert (
        export_buffer.active is export_buffer.peers[1]
        and site.exported_octets(1) > 0
        and len(export_buffer.pending) <= export_buffer.pending.max_records
    )


def test_a_collector_that_resets_at_every_template(tmp_path):
    site = ExportSite(tmp_path, ("tcp",))
    site.collectors[0].resets_on_template = True
    site.serve(3)
    site.go_on(20)
    assert 2 <= site.collectors[0].session_count <= 12  # further and further apart
    site.balanced()
    site.collectors[0].resets_on_template = False
    site.go_on(60)
    export_buffer = site.exporter.buffers["first"]
    assert (
        export_buffer.totals.exported_octets
        == export_buffer.pending.measured_octets
        == site.carried()
    )
    assert abs(site.exported_octets() - site.carried()) <= export_buffer.totals.uncertain_octets


def test_an_engine_replaced_at_its_address_and_the_end_of_the_program(tmp_path):
    site = ExportSite(tmp_path)
    site.go_on(1)
    site.serve(2)
    site.harness.socket_host.on_discovery_event(
        "2",
        __import__("json").dumps(
            endpoint_list_event(2, {"state": "DELETED"}, {"id": "e9"}, full=False)
        ),
    )
    site.tag = "e9"
    site.serve(2)
    site.exporter.end()
    site.go_on(0.1)
    site.harness.turn(20)
    names = Counter(
        record["engineId"]
        for each in site.messages[0]
        for record in each.records
        if record["flowDirection"] == FlowDirection.EGRESS
    )
    assert set(names) == {"e1", "e9"} and site.exported_octets() == site.carried()


def test_sighup_changes_collectors_without_losing_what_is_held(tmp_path):
    site = ExportSite(tmp_path, ("udp", "tcp"))
    site.collectors[0].close()
    old, new = site.collectors
    site.exporter.reload(site.flow_settings([old]))
    site.serve(5)
    site.go_on(5)
    assert site.exporter.buffers["first"].totals.exported_octets == 0
    site.exporter.reload(site.flow_settings([new]))
    site.go_on(5)
    assert site.exported_octets(1) == site.carried()
    site.layout = "standard"
    site.exporter.reload(site.flow_settings([new]))
    site.serve(2)
    site.go_on(5)
    site.balanced()
    assert (
        site.exported_octets(1) == site.carried()
        and site.exporter.buffers["first"].totals.uncertain_octets == 0
    )


def test_all_collectors_are_told_each_for_itself(tmp_path):
    site = ExportSite(tmp_path, ("udp", "tcp"), mode="all")
    site.collectors[1].close()
    site.go_on(1)
    site.serve(4)
    site.go_on(5)
    assert site.exported_octets(0) == site.carried() and site.exported_octets(1) == 0
    site.collectors[1].open()
    site.go_on(40)
    assert site.exported_octets(1) == site.carried()
    site.balanced()


def test_a_clock_that_is_set_back_by_an_hour(tmp_path):
    site = ExportSite(tmp_path)
    site.go_on(2)
    site.serve(3)
    site.go_on(2)
    site.harness.time -= 3600 * SECOND
    site.serve(3)
    site.harness.time += 3600 * SECOND
    site.go_on(3)
    times = [each.export_time_seconds for each in site.messages[0]]
    records = [record for each in site.messages[0] for record in each.records]
    assert times == sorted(times) and site.exported_octets() == site.carried()
    assert all(each["flowStartMilliseconds"] <= each["flowEndMilliseconds"] for each in records)
    site.balanced()


def test_an_operator_file_is_taken_whole_or_not_at_all(tmp_path):
    harness, path = HostHarness(), tmp_path / "operator.xml"

    def write(sock, inner=""):
        transport = "tls" if inner else "udp"
        path.write_text(
            f'<operator version="1"><figures><listen unix="{tmp_path}/{sock}"/></figures><flows>'
            f'<collector address="127.0.0.1:9" transport="{transport}">{inner}</collector>'
            "</flows></operator>"
        )

    write("one")
    beside = Subsystems(
        harness.socket_host, SimpleNamespace(name="n1", seed=7, settings_checksum=1), str(path)
    )
    write("two", f'<tls ca="{tmp_path}/nothing.crt" name="x"/>')
    beside.reload()
    assert "operator file not taken: flows:" in harness.logged[-1]
    assert (
        beside.running["accounting"].http_listener.address == f"{tmp_path}/one"
        and not (tmp_path / "two").exists()
    )
    assert beside.running["flow_export"].settings.collectors[0].transport == "udp"


def test_an_octet_that_no_record_tells_is_found(tmp_path):
    site = ExportSite(tmp_path)
    site.serve(1)
    site.exporter.meter.measured_octets -= 1
    site.harness.socket_host.auditor.run_whole_pass()
    assert (
        "books differ",
        "flows measured",
    ) in site.harness.socket_host.discrepancies.by_kind_and_row


# TLS.


def certificate(folder, label, common, issuer=None, days=30, key_mode=0o600, since=-2):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common)])
    now = datetime.now(UTC)
    built = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[1] if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + timedelta(days=since))
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(common)]), False)
        .sign(issuer[0] if issuer else key, hashes.SHA256())
    )
    paths = folder / f"{label}.crt", folder / f"{label}.key"
    paths[0].write_bytes(built.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    paths[1].chmod(key_mode)
    return key, subject, *map(str, paths)


def server(ca, own, ask=False):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(own[2], own[3])
    if ask:
        context.load_verify_locations(ca[2])
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def sealed(tmp_path, expected="collector.test", ours=True, **said):
    ca = certificate(tmp_path, "ca", "ca")
    own = certificate(tmp_path, "server", "collector.test", ca, **said)
    mine = certificate(tmp_path, "client", "n1", ca)
    files = f' certificate="{mine[2]}" key="{mine[3]}"' if ours else ""
    return ExportSite(
        tmp_path,
        ("tls",),
        tls=f'<tls ca="{ca[2]}" name="{expected}"{files}/>',
        contexts={0: server(ca, own, True)},
    ), ca


def test_records_go_under_tls_with_a_certificate_of_ours_and_a_renewed_one(tmp_path):
    site, ca = sealed(tmp_path)
    site.go_on(2)
    site.serve(3)
    site.go_on(3)
    assert site.exported_octets() == site.carried() and site.collectors[0].errors == []
    renewed = certificate(tmp_path, "client", "n1 renewed", ca)  # the same files, while it sends
    assert renewed[3].endswith("client.key")
    site.exporter.reload(site.flow_settings())
    site.serve(3)
    site.go_on(10)
    assert site.exported_octets() == site.carried() and site.collectors[0].session_count == 2
    site.balanced()


@pytest.mark.parametrize(
    "said, why",
    [
        (dict(expected="other.test"), "Hostname mismatch"),
        (dict(days=-1), "certificate has expired"),
        (dict(ours=False), "tls|closed|reset"),
    ],
)
def test_a_collector_that_is_not_who_it_should_be_is_told_nothing(tmp_path, said, why):
    import re

    site, _ = sealed(tmp_path, **said)
    site.serve(3)
    site.go_on(8)
    assert site.exported_octets() == 0 and re.search(why, " ".join(site.harness.logged))
    site.balanced()


def test_a_key_that_others_may_read_is_refused(tmp_path):
    ca = certificate(tmp_path, "ca", "ca")
    mine = certificate(tmp_path, "client", "n1", ca, key_mode=0o644)
    with pytest.raises(TlsConfigurationError, match="its owner alone may read, found 644"):
        client_context(ca[2], mine[2], mine[3])
    with pytest.raises(TlsConfigurationError, match=r"nothing\.crt"):
        client_context(str(tmp_path / "nothing.crt"), "", "")


@pytest.mark.parametrize(
    "flows, wrong",
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
def test_faulty_flows_in_the_operator_file(tmp_path, flows, wrong):
    path = tmp_path / "operator.xml"
    path.write_text(f'<operator version="1">\n{flows}</operator>')
    with pytest.raises(ConfigurationError) as said:
        read_operator(str(path))
    assert wrong in str(said.value) and "operator.xml:2" in str(said.value)


@pytest.mark.parametrize(
    "path",
    sorted((Path(__file__).parent.parent / "fuzz" / "seeds").glob("*.bin")),
    ids=lambda path: path.stem,
)
def test_seeds_of_the_fuzzer(path):
    chance, known, decoder = Random(3), seeds(), Decoder()
    one(decoder, path.read_bytes())
    for _ in range(200):
        one(decoder, changed(path.read_bytes(), known, chance))
    assert len(decoder.templates) <= 1000 and len(decoder.expected_sequence) <= 1001
