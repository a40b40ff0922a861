"""Engines on loopback: they run what they are sent, at a pace, with the troubles that a script gives them.

Owns each engine's book of what came and what became of it. The book is the stand-in's own: nothing
in it comes from what the gateway says of itself.
"""

from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.engine_protocol import command
from corkgauge.testkit.emulators.listener import Listener, linked
from corkgauge.testkit.emulators.protocols import EmulatedEngineProtocol
from corkgauge.testkit.seeded_random import SeededRandom

REMEMBERED = 20 * SECOND  # that a label is known, against repeats
# Troubles that an engine may be given, each with what its figure means.
TROUBLES = {
    "slow": "times as long",
    "silent": "nothing is answered until it ends, then all that waited",
    "full": "part refused as full",
    "error": "part answered with an error",
    "garble": "part spoilt",
    "twice": "part answered twice",
    "midway": "part broken off after the first page, with the connection",
    "lost": "part never answered",
    "reset": "connections reset, once",
    "refuse": "connections refused",
    "restart": "goes, and comes back cold when it ends",
}


@dataclass(slots=True, eq=False)
class Run:
    """One hand-off that came whole to an engine. Times are tenths of a millisecond, of the system's clock."""

    engine: str
    kind: str
    trace: str
    request_class: str
    label: str
    came: int
    work: float  # of one core
    ended: int = -1  # when its answer was written, or it was given up
    ran: bool = True  # False: refused as full, or a repeat that was dropped
    link: Any = None
    pages: int = 1


class Guest:
    """A gateway's connection."""

    def __init__(self, engine: "EmulatedEngine", sock: Any) -> None:
        self.engine, self.runs = engine, dict[str, Run]()
        self.link = linked(engine.event_loop, sock, EmulatedEngineProtocol(self), self)

    def commanded(self, parts: list[str]) -> None:
        self.engine.commanded(self, parts)

    def on_output_drained(self) -> None:
        pass

    def on_closed(self, why: str) -> None:
        self.engine.listener.left(self)
        for run in self.runs.values():
            run.ended = self.engine.event_loop.now if run.ended < 0 else run.ended
        self.engine.busy -= sum(run.ran for run in self.runs.values() if run.link is self)
        self.runs.clear()


class EmulatedEngine:
    """One engine. `mean` holds the mean work of each offering in ms of one core, `cores` how many it has."""

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        kind: str,
        zone: str,
        cores: float,
        mean: dict[str, float],
        seed: int,
        known: dict[str, int],
    ) -> None:
        self.event_loop, self.name, self.kind, self.zone, self.cores, self.mean = (
            event_loop,
            name,
            kind,
            zone,
            cores,
            mean,
        )
        self.chance, self.book = SeededRandom(seed), list[Run]()
        self.trouble, self.figure = "", 0.0
        self.started_ms, self.busy = 0, 0
        self.held: list[Run] = []  # silent: what waits
        self.known = known  # labels, and when they ran: of the group of engines that drops repeats
        self.listener = Listener(event_loop, lambda sock: Guest(self, sock))

    @property
    def address(self) -> str:
        return "%s:%d" % self.listener.address

    def begin(self, trouble: str, figure: float) -> None:
        """A trouble of the script begins."""
        self.trouble, self.figure = trouble, figure
        if trouble == "reset":
            self.listener.drop(abort=True)
        elif trouble in ("refuse", "restart"):
            self.listener.close(abort=True)

    def end(self) -> None:
        """The trouble ends; an engine that was silent says all that it kept."""
        was, self.trouble = self.trouble, ""
        if was in ("refuse", "restart"):
            if was == "restart":
                self.started_ms = self.event_loop.now // 10
            self.listener.open()
        held, self.held = self.held, []
        for run in held:
            self.finish(run)

    def commanded(self, guest: Guest, parts: list[str]) -> None:
        word, trace = parts[0], parts[1] if len(parts) > 1 else ""
        if word == "alive":
            if self.trouble != "silent":
                guest.link.send(command(trace, "FIT", "-", ""))
        elif word == "fetch":
            self.fetch(guest, trace, dict(pair.split("=", 1) for pair in parts[2].split(",")))
        elif word == "more" and trace in guest.runs:
            if self.trouble != "silent":
                self.say(
                    guest,
                    trace,
                    "MORE",
                    f"at={parts[2]}",
                    self.page(guest.runs[trace], int(parts[2])),
                )
        elif word in ("abort", "done"):
            self.over(guest.runs.pop(trace, None))

    def fetch(self, guest: Guest, trace: str, fields: dict[str, str]) -> None:
        now, request_class = self.event_loop.now, fields["sort"]
        run = Run(
            self.name,
            self.kind,
            trace,
            request_class,
            fields.get("op", ""),
            now,
            self.chance.spread(self.mean[request_class]),
            link=guest,
        )
        self.book.append(run)
        if run.label and now < self.known.get(run.label, -REMEMBERED) + REMEMBERED:
            run.ran = False  # a repeat: dropped, and answered as the first was
        elif self.struck("full"):
            run.ran, run.ended = False, now
            return self.say(guest, trace, "WAIT", "-", "")
        elif run.label:
            self.known[run.label] = now
        guest.runs[trace] = run
        self.busy += run.ran
        pace = max(1.0, self.busy / self.cores) * (self.figure if self.trouble == "slow" else 1.0)
        self.event_loop.call_later(int(10 * run.work * pace) + 5, self.finish, run)

    def struck(self, trouble: str) -> bool:
        return self.trouble == trouble and self.chance.within(self.figure)

    def finish(self, run: Run) -> None:
        """Its work is done: the answer goes, as far as its trouble lets it."""
        guest = run.link
        if guest.runs.get(run.trace) is not run or run.ended >= 0:
            return None
        if self.trouble == "silent":
            return self.held.append(run)
        run.ended = self.event_loop.now
        if self.struck("lost"):
            return None
        if self.struck("error"):
            self.over(guest.runs.pop(run.trace, None))
            return self.say(guest, run.trace, "BROKE", "-", "")
        run.pages = 1 + self.chance.below(3)
        if self.struck("midway"):
            self.say(guest, run.trace, "DONE", self.bill(run, 3), self.page(run, 0))
            return self.event_loop.call_later(20, guest.link.close, "broken off by the script")
        body = "\x00spoilt" if self.struck("garble") else self.page(run, 0)
        for _ in range(2 if self.struck("twice") else 1):
            self.say(guest, run.trace, "DONE", self.bill(run, run.pages), body)

    def bill(self, run: Run, pages: int) -> str:
        return (
            f"chunks={pages},spent={run.work:.1f},wanted=8,"
            f"l=inflight:{self.busy};util:{min(self.busy / self.cores, 1):.2f}"
        )

    def page(self, run: Run, number: int) -> str:
        return f"{run.trace}\t{number}\t{self.name}\n"

    def say(self, guest: Guest, *parts: str) -> None:
        guest.link.send(command(*parts))

    def over(self, run: Run | None) -> None:
        if run is not None:
            run.ended = self.event_loop.now if run.ended < 0 else run.ended
            self.busy -= run.ran
