"""Three offices of duties on a clock of the test's own: loops that are late, disks that are slow."""

from heapq import heappop, heappush
from types import SimpleNamespace

import pytest

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.leases import service as offices
from corkgauge.leases.candidate import CandidateState
from corkgauge.leases.service import LeaseService
from corkgauge.membership.member_list import ALIVE
from corkgauge.testkit.seeded_random import SeededRandom

SECOND = 10_000
LEASE = 8_000
NAMES = "n1", "n2", "n3"


class Owner:
    """Of the duty, at one office; nothing is done under it but to hold it."""

    def on_lease_gained(self):
        pass

    def on_lease_lost(self):
        pass


class Member:
    """An office with all that it stands on: `late` is when its loop goes on, `disk` how long a write takes."""

    def __init__(self, rack, name, zone, disk):
        self.rack, self.name, self.disk, self.late, self.lines = rack, name, disk, 0, []
        self.waiting, self.writing = [], []
        self.event_loop = SimpleNamespace(
            now=0, call_later=self.call_later, date=lambda: 10 * rack.now
        )
        self.member_list = SimpleNamespace(
            calls={},
            zone=zone,
            codec=SimpleNamespace(
                incarnation=1, peers={n: SimpleNamespace(incarnation=1) for n in NAMES}
            ),
            members={
                n: SimpleNamespace(name=n, zone=f"hall-{n}", state=ALIVE)
                for n in NAMES
                if n != name
            },
            call=self.call,
        )
        socket_host = SimpleNamespace(event_loop=self.event_loop, log=self.lines.append, routes={})
        said = LeaseConfig(1, NAMES, (), LEASE, LEASE, 800, 0.01, "")
        self.office = LeaseService(
            socket_host,
            SimpleNamespace(name=name),
            said,
            SimpleNamespace(member_list=self.member_list, chance=rack.chance.below),
        )
        self.office.voter.silent_until = 0
        self.office.durable_record.write = self.keep
        self.office.add_candidate("works", Owner())

    def call_later(self, delay, method, *what):
        self.rack.call_later(max(delay, 1), self, method, *what)

    def call(self, name, subject, body):
        self.rack.call_later(
            5, self.rack.members[name], self.rack.hears, name, subject, self.name, body
        )
        return True

    def keep(self, record, then, *what):
        """One write after the other; what came meanwhile is written together, as the helper has it."""
        if not self.disk:
            return then(*what)
        self.waiting.append((then, what))
        if len(self.waiting) == 1 and not self.writing:
            self.write()

    def write(self):
        self.writing, self.waiting = self.waiting, []
        if self.writing:
            self.rack.call_later(self.disk, self, self.written)

    def written(self):
        safe = self.writing
        self.write()
        for then, what in safe:
            then(*what)

    def holds(self):
        return self.office.candidates["works"].state is CandidateState.HOLDING


class Rack:
    def __init__(self, monkeypatch, disk=0):
        self.now, self.serial, self.events, self.chance = SECOND, 0, [], SeededRandom(7)
        monkeypatch.setattr(offices, "ticks_since_boot", lambda: self.now)
        self.members = {}
        for name in NAMES:
            self.members[name] = Member(self, name, f"hall-{name}", disk)

    def call_later(self, delay, member, method, *what):
        self.serial += 1
        heappush(self.events, (self.now + int(delay), self.serial, member, method, what))

    def hears(self, name, subject, sender, body):
        self.members[name].member_list.calls[subject](sender, body)

    def until(self, when):
        """Go on to this moment: the longest time without a holder, and who held it."""
        vacant, since, held = 0, None, set()
        while self.events and self.events[0][0] <= when:
            at, _, member, method, what = heappop(self.events)
            if member.late > at:  # its loop stands still: what was due comes when it goes on
                self.serial += 1
                heappush(self.events, (member.late, self.serial, member, method, what))
                continue
            self.now = member.event_loop.now = max(self.now, at)
            method(*what)
            holding = [each.name for each in self.members.values() if each.holds()]
            held.update(holding)
            since = None if holding else self.now if since is None else since
            vacant = max(vacant, self.now - since) if since is not None else vacant
        self.now = when
        return vacant, held

    def stall(self, names, span):
        for name in names:
            self.members[name].late = self.now + span

    def overload(self, names):
        """Their loops stand still for a quarter of a second, twice: two late looks, and less than a lease."""
        for _ in range(2):
            self.stall(names, 2_500)
            self.until(self.now + 4_000)


def test_where_all_are_overloaded_at_once_the_duty_is_held_all_the_same(monkeypatch):
    rack = Rack(monkeypatch)
    rack.until(3 * SECOND)
    assert [each.holds() for each in rack.members.values()].count(True) == 1
    rack.overload(NAMES)
    assert all(each.office.is_overloaded for each in rack.members.values())
    vacant, held = rack.until(
        rack.now + 9 * SECOND
    )  # they call themselves overloaded for ten seconds
    assert vacant < 2 * LEASE and held
    assert all(each.office.is_overloaded for each in rack.members.values())


@pytest.mark.parametrize("many", [1, 2])
def test_a_duty_goes_to_one_that_is_not_overloaded(monkeypatch, many):
    rack = Rack(monkeypatch)
    rack.until(3 * SECOND)
    holder = next(name for name, each in rack.members.items() if each.holds())
    names = [holder, *(name for name in NAMES if name != holder)][:many]
    rack.overload(names)
    assert any("overloaded, standing last" in line for line in rack.members[holder].lines)
    assert any("given up" in line and "overloaded" in line for line in rack.members[holder].lines)
    rack.until(rack.now + LEASE)
    vacant, held = rack.until(rack.now + 7 * SECOND)
    assert vacant == 0 and len(held) == 1 and not held & {*names}
    rack.until(rack.now + 10 * SECOND)
    assert not any(each.office.is_overloaded for each in rack.members.values())


@pytest.mark.parametrize("part", [0.5, 1.3, 2.0])
def test_disks_that_take_longer_than_a_round_waits_still_give_a_holder(monkeypatch, part):
    """Parts of the span that voters have for an answer in the first round, an eighth of a lease."""
    rack = Rack(monkeypatch, disk=int(part * LEASE / 8))
    vacant, held = rack.until(rack.now + 5 * SECOND)
    assert len(held) == 1 and vacant < 4 * LEASE
    assert rack.until(rack.now + 5 * SECOND) == (0, held)
