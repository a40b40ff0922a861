"""Three lease services on a simulated clock, with late event loops and slow disks."""

from dataclasses import replace
from heapq import heappop, heappush
from types import SimpleNamespace

import pytest

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.leases import service
from corkgauge.leases.candidate import CandidateState
from corkgauge.leases.service import LeaseService
from corkgauge.membership.member_list import ALIVE
from corkgauge.testkit.seeded_random import SeededRandom

SECOND = 10_000
LEASE_TICKS = 8_000
NAMES = "n1", "n2", "n3"


class Owner:
    """An owner that performs no acts under the lease."""

    def on_lease_gained(self):
        pass

    def on_lease_lost(self):
        pass


class Instance:
    """A lease service with a simulated event loop, network and disk.

    `paused_until` is the time at which the event loop resumes, `disk_write_ticks` the duration of a
    disk write.
    """

    def __init__(self, fleet, name, zone, disk_write_ticks):
        self.fleet, self.name, self.disk_write_ticks, self.paused_until, self.lines = (
            fleet,
            name,
            disk_write_ticks,
            0,
            [],
        )
        self.waiting, self.writing = [], []
        self.event_loop = SimpleNamespace(
            now=0, call_later=self.call_later, date=lambda: 10 * fleet.now
        )
        self.member_list = SimpleNamespace(
            call_handlers={},
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
        settings = LeaseConfig(1, NAMES, (), LEASE_TICKS, LEASE_TICKS, 800, 0.01, "")
        self.lease_service = LeaseService(
            socket_host,
            SimpleNamespace(name=name),
            settings,
            SimpleNamespace(member_list=self.member_list, random_below=fleet.chance.below),
        )
        self.lease_service.voter.silent_until = 0
        self.lease_service.durable_record.write = self.persist
        self.lease_service.add_candidate("works", Owner())

    def call_later(self, delay, method, *arguments):
        self.fleet.call_later(max(delay, 1), self, method, *arguments)

    def call(self, name, subject, body):
        self.fleet.call_later(
            5, self.fleet.instances[name], self.fleet.deliver, name, subject, self.name, body
        )
        return True

    def persist(self, record, callback, *arguments):
        """Queue a record; after the write in progress, all queued records are written at once."""
        if not self.disk_write_ticks:
            return callback(*arguments)
        self.waiting.append((callback, arguments))
        if len(self.waiting) == 1 and not self.writing:
            self.start_write()

    def start_write(self):
        self.writing, self.waiting = self.waiting, []
        if self.writing:
            self.fleet.call_later(self.disk_write_ticks, self, self.on_write_finished)

    def on_write_finished(self):
        durable = self.writing
        self.start_write()
        for callback, arguments in durable:
            callback(*arguments)

    def is_holding(self):
        return self.lease_service.candidates["works"].state is CandidateState.HOLDING


class SimulatedFleet:
    def __init__(self, monkeypatch, disk_write_ticks=0):
        self.now, self.serial, self.events, self.chance = SECOND, 0, [], SeededRandom(7)
        monkeypatch.setattr(service, "ticks_since_boot", lambda: self.now)
        self.instances = {}
        for name in NAMES:
            self.instances[name] = Instance(self, name, f"hall-{name}", disk_write_ticks)

    def call_later(self, delay, instance, method, *arguments):
        self.serial += 1
        heappush(self.events, (self.now + int(delay), self.serial, instance, method, arguments))

    def deliver(self, name, subject, sender, body):
        self.instances[name].member_list.call_handlers[subject](sender, body)

    def run_until(self, until):
        """Run until `until`; return the longest time without a holder, and all holders."""
        longest_vacancy, vacant_since, holders = 0, None, set()
        while self.events and self.events[0][0] <= until:
            due_at, _, instance, method, arguments = heappop(self.events)
            # Events of a paused event loop run when the loop resumes.
            if instance.paused_until > due_at:
                self.serial += 1
                heappush(
                    self.events, (instance.paused_until, self.serial, instance, method, arguments)
                )
                continue
            self.now = instance.event_loop.now = max(self.now, due_at)
            method(*arguments)
            holding = [each.name for each in self.instances.values() if each.is_holding()]
            holders.update(holding)
            vacant_since = None if holding else self.now if vacant_since is None else vacant_since
            longest_vacancy = (
                max(longest_vacancy, self.now - vacant_since)
                if vacant_since is not None
                else longest_vacancy
            )
        self.now = until
        return longest_vacancy, holders

    def pause(self, names, ticks):
        for name in names:
            self.instances[name].paused_until = self.now + ticks

    def overload(self, names):
        """Pause event loops twice for 250 ms.

        Each pause is shorter than a lease and makes one load check late. Two late checks mean
        overload.
        """
        for _ in range(2):
            self.pause(names, 2_500)
            self.run_until(self.now + 4_000)


def test_lease_is_held_although_all_instances_are_overloaded(monkeypatch):
    fleet = SimulatedFleet(monkeypatch)
    fleet.run_until(3 * SECOND)
    assert [each.is_holding() for each in fleet.instances.values()].count(True) == 1
    fleet.overload(NAMES)
    assert all(each.lease_service.is_overloaded for each in fleet.instances.values())
    # An instance stays overloaded for ten seconds.
    longest_vacancy, holders = fleet.run_until(fleet.now + 9 * SECOND)
    assert longest_vacancy < 2 * LEASE_TICKS and holders
    assert all(each.lease_service.is_overloaded for each in fleet.instances.values())


COMMAND_LEASE = "report"


def reload_leases(lease_service, *names):
    """Apply an operator file that names these leases for commands."""
    leases = tuple((name, "run", SECOND) for name in names)
    lease_service.reload(replace(lease_service.settings, leases=leases))


def request_until_held(fleet, lease_service):
    """Request the lease as a command does, until it is held; return the last reply."""
    for _ in range(20):
        candidate = lease_service.candidates[COMMAND_LEASE]
        reply = lease_service.command_loans.lend(candidate, "ada")
        if reply["held"]:
            break
        fleet.run_until(fleet.now + LEASE_TICKS // 4)
    return reply


def test_lease_removed_by_a_reload_after_a_command_asked_for_it_stops_no_load_check(monkeypatch):
    # Guards against a load check that ended by KeyError: loans never expired again.
    fleet = SimulatedFleet(monkeypatch)
    lease_service = fleet.instances["n1"].lease_service
    reload_leases(lease_service, COMMAND_LEASE)
    lease_service.command_loans.lend(lease_service.candidates[COMMAND_LEASE], "ada")
    reload_leases(lease_service)
    fleet.run_until(fleet.now + 3 * LEASE_TICKS)
    fleet.overload(["n1"])
    assert lease_service.is_overloaded
    assert COMMAND_LEASE not in lease_service.candidates


def test_lease_removed_by_a_reload_while_it_is_lent_stays_until_the_command_ends(monkeypatch):
    # Guards against two commands under one lease, at gateways with different operator files.
    fleet = SimulatedFleet(monkeypatch)
    lease_service = fleet.instances["n1"].lease_service
    reload_leases(lease_service, COMMAND_LEASE)
    assert request_until_held(fleet, lease_service)["held"]
    candidate = lease_service.candidates[COMMAND_LEASE]
    reload_leases(lease_service)
    assert candidate.may_act() and lease_service.candidates[COMMAND_LEASE] is candidate
    assert not lease_service.command_loans.lend(candidate, "ada")["held"]
    lease_service.command_loans.finish(candidate, "ada")
    fleet.run_until(fleet.now + 1)
    assert COMMAND_LEASE not in lease_service.candidates and not candidate.may_act()
    timer = candidate.timer
    fleet.run_until(fleet.now + 5 * LEASE_TICKS)
    assert candidate.timer == timer  # no round has begun


@pytest.mark.parametrize("overloaded_count", [1, 2])
def test_lease_moves_to_instance_that_is_not_overloaded(monkeypatch, overloaded_count):
    fleet = SimulatedFleet(monkeypatch)
    fleet.run_until(3 * SECOND)
    holder = next(name for name, each in fleet.instances.items() if each.is_holding())
    names = [holder, *(name for name in NAMES if name != holder)][:overloaded_count]
    fleet.overload(names)
    assert any("overloaded, standing last" in line for line in fleet.instances[holder].lines)
    assert any(
        "given up" in line and "overloaded" in line for line in fleet.instances[holder].lines
    )
    fleet.run_until(fleet.now + LEASE_TICKS)
    longest_vacancy, holders = fleet.run_until(fleet.now + 7 * SECOND)
    assert longest_vacancy == 0 and len(holders) == 1 and not holders & {*names}
    fleet.run_until(fleet.now + 10 * SECOND)
    assert not any(each.lease_service.is_overloaded for each in fleet.instances.values())


@pytest.mark.parametrize("fraction", [0.5, 1.3, 2.0])
def test_lease_is_acquired_with_slow_disks(monkeypatch, fraction):
    """A disk write takes `fraction` of the first round timeout, which is an eighth of a lease."""
    fleet = SimulatedFleet(monkeypatch, disk_write_ticks=int(fraction * LEASE_TICKS / 8))
    longest_vacancy, holders = fleet.run_until(fleet.now + 5 * SECOND)
    assert len(holders) == 1 and longest_vacancy < 4 * LEASE_TICKS
    assert fleet.run_until(fleet.now + 5 * SECOND) == (0, holders)
