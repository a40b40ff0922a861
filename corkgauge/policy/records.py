"""The records that the policy and its host share, and the enumerations in them.

Times are whole tenths of a millisecond ("ticks"). Records point to each other; identifiers stay
with the host, which keeps what it needs to find its own objects in `host_reference`.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class AttemptOutcome(IntEnum):
    """How an attempt ended. The numbers are those of the simulator's wire."""

    ERROR = 0
    SUCCEEDED = 1
    ENGINE_FULL = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    CONNECTION_RESET = 5
    CANCELLED = 6
    ABANDONED = 7  # before its first byte was sent


# Outcomes that prove that the attempt never ran.
NEVER_RAN = (
    AttemptOutcome.ENGINE_FULL,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.ABANDONED,
)


class EngineState(IntEnum):
    """An engine's state in the endpoint list. The numbers are those of the simulator's wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Repeatability(IntEnum):
    """What a repeated attempt of a request does."""

    IDEMPOTENT = 0
    KEYED = 1  # it has an idempotency key, which engines remember for a while
    NON_IDEMPOTENT = 2


class Cordon(IntEnum):
    """How far maintenance has taken an engine out of service."""

    NONE = 0
    NO_NEW_WORK = 1  # only repeats whose idempotency key is known there
    NOTHING = 2


class NoteKind(IntEnum):
    """Notes that engines send about an attempt; any note is a sign of life."""

    PROGRESS = 1  # the only kind that the policy acts on


@dataclass(eq=False, slots=True)
class RequestClass:
    """A class of requests, with the latency objective of its customers."""

    name: str
    latency_objective: int  # ticks, before the stretch
    objective_stretch: float  # the objective grows by this times the work of one thread
    time_to_deadline: int  # ticks
    priority_weight: float  # value of one answer in time
    repeatability: int = Repeatability.IDEMPOTENT
    key_scope: str = "all"  # keyed: which engines know a key: all, zone, cell
    key_ttl: int = 0  # keyed: how long they do, in ticks
    ordered: bool = False
    zones: tuple[int, ...] = ()  # the only ones it may use; none: any
    engine_kinds: tuple[int, ...] = ()
    threads: int = 1
    # The gateway's last few answers: work and memory, each true over estimated; true work.
    answer_samples: deque[tuple[float, float, float]] = field(default_factory=deque)
    typical_work: float = 0.0  # as they report it, in thread ticks
    subset_rank_limit: float = 1.0  # rank up to which engines of the subset serve this class


@dataclass(eq=False, slots=True)
class Engine:
    """An engine as the endpoint list last described it, and this gateway's state of it."""

    host_reference: Any
    hash_key: bytes  # alike at all gateways; only for the hashed order
    zone: int
    kind: int
    cell: int
    cores: float = 1.0
    max_memory: float = 0.0  # MB that one attempt is granted at most; 0: grants are not heeded
    state: int = EngineState.GONE
    incarnation: int = 0  # when its process started, in ticks; 0: unknown
    threads_in_flight: int = 0  # threads of this gateway's attempts there
    cordon: int = Cordon.NONE
    in_subset: bool = False  # in this gateway's subset of engines
    subset_rank: float = 0.0  # of this gateway among all, for this engine
    stats: Any = None  # `EngineStats`, once the list has named it
    name: str = ""  # for the log


@dataclass(eq=False, slots=True)
class EngineStats:
    """What one gateway has recently measured of one engine."""

    slow_start_usage: deque[tuple[int, float]]  # (when, typical work sent), overload window
    slowness_samples: deque[float]  # time taken over the time of the work alone
    fault_history: deque[str]  # one for each outcome; empty: a good answer
    failure_history: deque[tuple[str, int]]  # (why, when), also of faults that are not its own
    last_activity_at: int = -1  # when it last gave a sign of its own
    ejected_until: int = -1
    refused_until: int = -1
    limit_factor: float = 1.0  # of its concurrency limit, over where it starts
    reported_load: float = -1.0  # attempts that it last reported to hold
    recent_work: float = 0.0  # typical work among the gateway's last attempts
    slowness: float = 0.0  # estimate, valid until `slowness_valid_until`
    peer_slowness: float = 0.0  # as other gateways report it; 0: unknown
    peer_suspicion: int = 0  # as other gateways report it: 1: one attempt at a time, 2: none
    slowness_valid_until: int = -1
    in_flight: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class RequestQueue:
    """The requests of one tenant and class that wait for a slot."""

    request_class: RequestClass
    share_history: deque[tuple[float, float]]  # last intervals: share, inverse of the shortfall
    share: float = 0.0
    recent_arrivals: float = 0.0  # ends of the last periods, decayed
    shortfalls: list[float] = field(default_factory=list)  # latency over objective, this interval
    waiting: list["Request"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Request:
    """What a client asked for; the gateway owes it one final answer."""

    host_reference: Any
    request_class: RequestClass
    tenant: int
    table_group: float
    accepted_at: int
    time_to_deadline: int  # from its acceptance
    estimated_work: int = 0  # in thread ticks; 0: none
    estimated_memory: float = 0.0  # MB; 0: none
    order_key: int = 0  # requests of one key are sent in order; 0: none
    is_finished: bool = False
    is_queued: bool = False
    expected_work: float = 0.0
    latency_objective: float = 0.0
    queue: Any = None  # `RequestQueue`, once accepted
    attempts: list["Attempt"] = field(default_factory=list)
    # Of the same idempotency key, that may have run for an earlier request.
    earlier_attempts: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at an engine."""

    request: Request
    engine: Engine
    number: int
    sent_at: int
    expected_duration: float  # ticks of the work alone
    typical_duration: float  # ticks of the class's typical work alone
    is_in_flight: bool = True
    is_cancelled: bool = False
    outcome: int = -1
    # Answers of its engine to later attempts, since it last reported on this one.
    overtaken_count: int = 0
