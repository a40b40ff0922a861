"""Duties of one program: its vote, what it stands for and holds, and what is done under each.

Owns the timers, the helper that writes votes, and which command was lent a duty. Must never decide who holds
what: voter and holders do. Must never do an act under a duty without a look at `may` immediately before it.
"""

import json
from collections.abc import Callable
from typing import Any

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.eventloop.clock import boot_time
from corkgauge.eventloop.loop import SECOND
from corkgauge.leases import placement as preference
from corkgauge.leases.candidate import HOLDING, STATES, LeaseCandidate
from corkgauge.leases.durable_record import DurableRecord
from corkgauge.leases.fencing import FencingGuard
from corkgauge.leases.fleet_accounts_collector import FleetAccountsCollector
from corkgauge.leases.voter import GRANTED, PROMISED, VACANT, WOULD, Voter
from corkgauge.leases.voter_configuration import Span, UnsafeChangeError, VoterConfiguration
from corkgauge.membership.member_list import ALIVE, SUSPECTED

ANSWERS = WOULD, PROMISED, GRANTED, VACANT
LOOKS = 10  # at our own load, a lease
TOLD_VACANT = 2  # of the next in order
CHANGES = 50  # of duties that operators can look back at


class LeaseService:
    """`house` has `hub`, `log`, `ledger` and `routes`; `society` are the fellows."""

    def __init__(
        self, socket_host: Any, platform_config: PlatformConfig, said: LeaseConfig, membership: Any
    ) -> None:
        self.socket_host, self.event_loop, self.name, self.said, self.membership = (
            socket_host,
            socket_host.event_loop,
            platform_config.name,
            said,
            membership,
        )
        self.member_list = membership.member_list
        try:
            self.roll, self.span = _terms(said)
        except UnsafeChangeError as problem:
            raise ConfigurationError(f"duties: {problem}") from None
        self.told_rolls: dict[str, tuple[int, int]] = {}  # by gateway: version and mark of its list
        self.safe = DurableRecord(
            self.event_loop,
            socket_host.log,
            said.folder,
            f"{self.name}.votes",
            "duties: kept votes are torn, silent at first",
            "duties: votes are not written, no vote until a restart",
        )
        self.guard = FencingGuard()
        self.voter = Voter(self, self.name, self.roll, self.span, self.safe.kept)
        self.holders: dict[str, LeaseCandidate] = {}
        self.clerks: dict[str, FleetAccountsCollector] = {}
        self.owners: dict[str, Any] = {}  # by duty: another subsystem that acts under it
        self.lent: dict[str, tuple[str, int]] = {}  # by duty: to which command, until when
        self.asking: dict[str, int] = {}  # by duty: when a command last asked for it
        self.yielding: dict[str, str] = {}  # to be given up once no command runs under it, and why
        self.changes: list[dict[str, Any]] = []
        self.leaving = self.overloaded = self.aside = False
        self.load = preference.Load(max(self.span.each, SECOND // 10))
        for name, kind, each in said.duties:
            self._stand(name, kind, each)
        self.member_list.calls["duty"] = self.came
        self.member_list.calls["books"] = self.books_came
        self.member_list.calls["yield"] = self.yield_came
        socket_host.routes[b"GET", b"/duties"] = self.told
        socket_host.routes[b"POST", b"/duties"] = self.asked
        self._look(boot_time())

    def _stand(self, name: str, kind: str, each: int) -> None:
        """Danger: a gateway that holds a duty for commands while none waits here would keep it from those where one
        does; so it stands for such a duty while one asks."""
        self.holders[name] = LeaseCandidate(
            self, name, self.name, self.roll, self.span, kind == "books"
        )
        if kind == "books":
            self.clerks[name] = FleetAccountsCollector(self, name, each)

    def stands(self, duty: str, owner: Any) -> None:
        """This gateway stands for a duty of another subsystem's: `owner` hears `gained()` and `lost()`."""
        self.owners[duty] = owner
        self.holders[duty] = LeaseCandidate(
            self, duty, self.name, self.roll, self.span, self._wanted(duty)
        )

    def set_aside(self, aside: bool) -> None:
        """This gateway is to be taken out: it gives up what it holds, and stands for nothing until it is back."""
        if aside != self.aside:
            self.aside = aside
            for name, holder in self.holders.items():
                holder.stand(self._wanted(name))
                if aside:
                    self._give_up(name, "set aside for work")

    @property
    def free(self) -> bool:
        """Holds nothing, and stands for nothing."""
        return not any(holder.state == HOLDING or holder.wanted for holder in self.holders.values())

    def reload(self, said: LeaseConfig) -> None:
        """Another list of voters, other duties; Faulty, and nothing is changed, where that is not safe."""
        try:
            roll, span = _terms(said)
            self.roll.step_to(
                roll, {**self.told_rolls, self.name: (self.roll.version, self.roll.mark)}
            )
        except UnsafeChangeError as problem:
            raise ConfigurationError(f"duties: {problem}") from None
        if said.folder != self.said.folder:
            self.socket_host.log("operator file: duties folder changed, in force after a restart")
        if roll != self.roll:
            self.socket_host.log(
                f"duties: list {roll.version} of voters in force, {' '.join(roll.names)}"
            )
        self.roll, self.span, self.said = roll, span, said
        self.voter.renew(roll, span)
        named = {name for name, *_ in said.duties}
        for name in self.owners:
            self.holders[name].renew(roll, span)
        for name in [*self.holders]:
            if name not in named and name not in self.owners:
                self.holders[name].give_up("no longer named")
                self.holders.pop(name).stand(False)
                self.clerks.pop(name, None)
        for name, kind, each in said.duties:
            if name not in self.holders:
                self._stand(name, kind, each)
            else:
                self.holders[name].renew(roll, span)
            if name in self.clerks:
                self.clerks[name].each = each

    def leave(self) -> None:
        """A planned end: what is held is handed over at once, what a command runs under as soon as that
        ends."""
        self.leaving = True
        for name, holder in self.holders.items():
            holder.stand(False)
            self._give_up(name, "leaving")

    def end(self) -> None:
        for name, holder in self.holders.items():
            if holder.state == HOLDING and name not in self.lent:
                holder.give_up("ended")
        self.safe.close()

    # What a voter and the holders may do.

    @property
    def now(self) -> int:
        return boot_time()

    @property
    def date(self) -> int:
        return self.event_loop.date() // 10

    def send(self, name: str, body: list[Any]) -> None:
        if name == self.name:
            self.event_loop.call_later(0, self.came, name, body)
        else:
            self.member_list.call(name, "duty", body)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.event_loop.call_later(delay, method, *what)

    def chance(self, below: int) -> int:
        return self.membership.chance(max(below, 1))

    def log(self, line: str) -> None:
        self.socket_host.log(line)

    def rank(self, duty: str) -> int:
        """Danger: where all are overloaded at once, as on a machine that stood still for a moment, nobody would hold
        the duty for as long as each stays away. So one that is overloaded tries last, and still tries."""
        rank = preference.rank(duty, self.name, self._present(), self._held())
        return rank + self.span.lease // (2 * self.span.stagger) if self.overloaded else rank

    def gained(self, holder: LeaseCandidate) -> None:
        self.socket_host.log(f"duty {holder.duty} held under fence {holder.fence}")
        self._changed(holder, "held", holder.why)
        owner = self.clerks.get(holder.duty) or self.owners.get(holder.duty)
        if owner is not None:
            owner.gained()
        if self.leaving or self.aside:
            self._give_up(holder.duty, "leaving" if self.leaving else "set aside for work")

    def lost(self, holder: LeaseCandidate, why: str) -> None:
        self.socket_host.log(f"duty {holder.duty} given up under fence {holder.fence}: {why}")
        self._changed(holder, "given up", why)
        self.lent.pop(holder.duty, None)
        self.yielding.pop(holder.duty, None)
        if holder.duty in self.owners:
            self.owners[holder.duty].lost()

    def vacant(self, holder: LeaseCandidate) -> None:
        """It was given back: those that should have it are told, so that nobody waits for a lease."""
        members = [each for each in self._present() if each[0] != self.name]
        for name in preference.order(holder.duty, members, self._held())[:TOLD_VACANT]:
            self.send(name, [VACANT, holder.duty, self.roll.version, self.roll.mark, 0])

    def keep(self, record: dict[str, Any], then: Callable[..., None], *what: Any) -> None:
        self.safe.keep(record, then, *what)

    # What comes.

    def came(self, sender: str, body: Any) -> None:
        """A letter on duties, of a candidate or a voter."""
        sort, duty, version, mark = body[:4]
        self.told_rolls[sender] = version, mark
        if sort not in ANSWERS:
            letters = self.member_list.letters
            start = letters.start if sender == self.name else letters.pens[sender].start
            return self.voter.heard(sender, start, body)
        holder = self.holders.get(duty)
        if holder is not None:
            holder.heard(sender, body)

    def books_came(self, sender: str, body: Any) -> None:
        what, duty, *rest = body
        clerk = self.clerks.get(duty)
        if what == "no" and duty in self.holders:
            self.holders[duty].outbid(int(rest[0]))
        elif clerk is not None:
            clerk.heard(sender, what, rest)

    def yield_came(self, sender: str, body: Any) -> None:
        if body in self.holders:
            self._give_up(body, f"told at {sender}")

    # Our own load.

    def _look(self, due: int) -> None:
        """Danger: a gateway whose loop is late loses its duties by the clock, in the middle of what it
        does."""
        now = boot_time()
        was, self.overloaded = self.overloaded, self.load.looked(now, now - due)
        if was != self.overloaded:
            self.socket_host.log(
                f"duties: {'overloaded, standing last' if self.overloaded else 'standing again'}"
            )
            for name, holder in self.holders.items():
                holder.stand(self._wanted(name))
                if self.overloaded:  # once: whoever takes it next may be no better off
                    self._give_up(name, "overloaded")
        for name, (_, until) in [*self.lent.items()]:
            if now >= until:  # its command was killed, or does not ask any more
                self._returned(name)
        for name, asked in [*self.asking.items()]:
            if now > asked + self.span.lease and name not in self.lent:
                del self.asking[name]
                self.holders[name].stand(False)
                self._give_up(name, "no command asks")
        self.event_loop.call_later(
            self.span.lease // LOOKS, self._look, now + self.span.lease // LOOKS
        )

    def _wanted(self, duty: str) -> bool:
        return not (self.leaving or self.aside) and (
            duty in self.clerks or duty in self.owners or duty in self.asking
        )

    def _present(self) -> list[tuple[str, str]]:
        return [
            (each.name, each.zone)
            for each in self.member_list.members.values()
            if each.state in (ALIVE, SUSPECTED)
        ] + [(self.name, self.member_list.zone)]

    def _held(self) -> dict[str, str]:
        return {name: holder.other for name, holder in self.holders.items() if holder.other}

    def _give_up(self, duty: str, why: str) -> None:
        holder = self.holders[duty]
        if duty in self.lent and holder.state == HOLDING:
            # Danger: a command still runs under it. It is told when it asks next, and its time is bounded.
            self.yielding[duty] = why
        elif holder.state == HOLDING:
            holder.give_up(why, 2 * self.span.lease)

    def _returned(self, duty: str) -> None:
        """No command runs under it any more."""
        self.lent.pop(duty, None)
        if duty in self.yielding:
            self.holders[duty].give_up(self.yielding.pop(duty), 2 * self.span.lease)

    def _changed(self, holder: LeaseCandidate, what: str, why: str) -> None:
        self.changes.append(
            {
                "at": self.event_loop.now // 10,
                "duty": holder.duty,
                "what": what,
                "why": why,
                "fence": holder.fence,
            }
        )
        del self.changes[:-CHANGES]

    # What operators and commands ask at the door.

    def told(self, asked: bytes = b"") -> dict[str, Any]:
        """Spans are seconds, moments milliseconds of the system's date."""
        now = boot_time()
        return {
            "name": self.name,
            "voters": [*self.roll.names],
            "version": self.roll.version,
            "voting": self.voter.votes_now,
            "silent_for": max(self.voter.silent_until - now, 0) / SECOND,
            "overloaded": self.overloaded,
            "duties": {
                name: {
                    "state": STATES[holder.state],
                    "holder": self.name if holder.may() else holder.other,
                    "fence": holder.fence,
                    "left": max(holder.until - now, 0) / SECOND,
                    "for": (now - holder.since) / SECOND if holder.may() else None,
                    "why": holder.why,
                    "wanted": holder.wanted,
                    "lent": self.lent.get(name, ("",))[0],
                }
                for name, holder in self.holders.items()
            },
            "books": {name: clerk.told() for name, clerk in self.clerks.items()},
            "changes": self.changes,
            "fences": {**self.guard.highest},
            "counters": {**self.voter.counts, "acts refused": self.guard.refused},
        }

    def asked(self, body: bytes) -> dict[str, Any]:
        """`{"do": "hold", "duty", "by"}`, `{"do": "done", ...}`, `{"do": "yield", "duty"}`."""
        said = json.loads(body)
        duty, what, by = said["duty"], said["do"], str(said.get("by", ""))[:100]
        holder = self.holders.get(duty)
        if holder is None:
            raise ValueError(f"no duty {duty!r} here")
        if what == "hold":
            return self._lend(holder, by)
        if what == "done":
            if self.lent.get(duty, ("",))[0] == by:
                self.asking.pop(duty, None)
                holder.stand(False)
                self.yielding.setdefault(duty, "its command has ended")
                self._returned(duty)
            return {"held": False}
        if what != "yield":
            raise ValueError("expected hold, done or yield")
        if holder.state == HOLDING:
            self._give_up(duty, "told")
            return {"told": self.name, "waits_for": self.lent.get(duty, ("",))[0]}
        if (
            holder.other
            and holder.other != self.name
            and self.member_list.call(holder.other, "yield", duty)
        ):
            return {"told": holder.other, "waits_for": ""}
        raise ValueError(f"nobody is known to hold {duty!r}")

    def _lend(self, holder: LeaseCandidate, by: str) -> dict[str, Any]:
        duty = holder.duty
        if duty in self.clerks or duty in self.owners:
            raise ValueError(f"{duty!r} is the gateways' own")
        lent = self.lent.get(duty)
        self.asking[duty] = boot_time()
        if not holder.wanted and self._wanted(duty):
            holder.stand(True)
        if not holder.may() or duty in self.yielding or (lent is not None and lent[0] != by):
            return {"held": False, "holder": holder.other, "in_use": lent[0] if lent else ""}
        self.lent[duty] = by, holder.until
        return {"held": True, "fence": holder.fence, "left": (holder.until - boot_time()) / SECOND}


def _terms(said: LeaseConfig) -> tuple[VoterConfiguration, Span]:
    return (
        VoterConfiguration(said.version, said.voters, said.lease),
        Span(said.lease, said.drift, said.margin, said.longest),
    )
