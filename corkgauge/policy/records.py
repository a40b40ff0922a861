"""What the decisions and their surroundings say to each other: the host protocol, outcomes, plain records.

Times are whole tenths of a millisecond. Records point to each other; ids stay with the host (`tag`).
The host calls the methods of `control.Gateway` that carry no underscore; the gateway calls `Host`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

# How a hand-off ended. FULL, UNREACHED and MOOT prove that it never ran.
ERROR, HONOURED, FULL, TIMED_OUT, UNREACHED, RESET, CALLED_OFF, MOOT = range(8)
NEVER_RAN = (FULL, UNREACHED, MOOT)
# States of an engine.
GONE, READY, DRAINING = range(3)
# The one sort of note that the gateway acts on; any is a sign of its engine.
PROGRESS = 1
# What a repeat does.
REDOABLE, LABELLED, IRREVERSIBLE = range(3)


@dataclass(eq=False, slots=True)
class RequestClass:
    """A kind of work, with what its customers were promised."""

    name: str
    aim: int  # the promised time before the stretch
    stretch: float  # the promised time grows by this times the work of one thread
    expiry: int
    worth: float  # earnings of one answer in time
    repeat: int = REDOABLE
    group: str = "all"  # labelled: which engines know its repeats: all, zone, cell
    remembered: int = 0  # labelled: how long they do
    ordered: bool = False
    halls: tuple[int, ...] = ()  # the only ones it may use; none: any
    kinds: tuple[int, ...] = ()
    threads: int = 1
    samples: Any = None  # the gateway's last few answers
    usual: float = 0.0  # work, as they tell it
    bar: float = 1.0  # rank up to which engines of the gateway's working set are for it


@dataclass(eq=False, slots=True)
class Engine:
    """An engine as the list last told it, and what this gateway has seen of it."""

    tag: Any
    mark: bytes  # alike at all gateways; only for the hashed order
    hall: int
    kind: int
    cell: int
    cores: float = 1.0
    most_memory: float = 0.0  # MB that one hand-off is granted at most; 0: grants are not heeded
    state: int = GONE
    started: int = 0
    threads: int = 0  # threads of this gateway's hand-offs out there
    aside: int = 0  # taken out for work: 1, nothing new goes there; 2, nothing at all
    near: bool = False  # in this gateway's working set
    rank: float = 0.0  # of this gateway among all, for this engine
    view: Any = None  # the gateway's last few measurements
    name: str = ""  # for the log


@dataclass(eq=False, slots=True)
class EngineStats:
    """The last few things that one gateway has seen of one engine."""

    spent: Any  # when, and usual work sent
    slowness: Any  # time taken over the time of the work alone
    faults: Any  # one for each outcome; empty: a good answer
    troubles: Any  # the last few, why and when, also those that are not its own
    heard: int = -1  # when it last gave a sign of its own
    rests_until: int = -1
    refused_until: int = -1
    bound: float = 1.0  # of its slots, over where they start
    load: float = -1.0  # submissions that it last reported to hold
    drawn: float = 0.0  # usual work among the gateway's last hand-offs
    slow: float = 0.0  # how slow it is, and until when that figure stands
    hint: float = 0.0  # how slow others found it; whether they doubt it: 1, 2
    doubt: int = 0
    slow_until: int = -1
    out: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class RequestQueue:
    """The submissions of one tenant and offering that wait for a slot."""

    offering: RequestClass
    model: Any  # the last few intervals: share, p
    share: float = 0.0
    asked: float = 0.0  # ends of the last periods, the older the less
    badness: list[float] = field(default_factory=list)  # latency over promised time, this interval
    waiting: list["Request"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Request:
    """What a client asked for; the gateway owes it one final answer."""

    tag: Any
    offering: RequestClass
    tenant: int
    tables: float
    taken: int
    life: int  # time until its client gives up
    estimate: int = 0  # of the whole work; 0: none
    memory: float = 0.0  # estimated MB; 0: none
    key: int = 0
    over: bool = False
    queued: bool = False
    work: float = 0.0
    aim: float = 0.0
    queue: Any = None
    handoffs: list["Attempt"] = field(default_factory=list)
    # of its label, that may have run for an earlier try
    before: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a submission at an engine."""

    submission: Request
    engine: Engine
    number: int
    sent: int
    due: float  # time of the work alone
    usual: float  # time of the usual work alone
    out: bool = True
    called_off: bool = False
    outcome: int = -1
    passed: int = 0  # answers of its engine to later ones, since it last told of this


class Host(Protocol):
    """What the gateway may do. It is handed over at start."""

    now: int
    lag: int  # that its events have to wait at present

    def hand_off(self, handoff: Attempt, allow: int) -> None: ...
    def set_terms(self, submission: Request, memory: float, priority: int) -> None: ...
    def dismiss(self, submission: Request, come_back: int) -> None: ...
    def scrap(self, submission: Request) -> None: ...
    def call_off(self, handoff: Attempt) -> None: ...
    def wake(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def log(self, line: str) -> None: ...
