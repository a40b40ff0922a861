"""Records and enumerations shared by the policy and its host.

Times are whole tenths of a millisecond ("ticks"). Records reference each other directly. The host
manages identifiers, and stores in `host_reference` what it needs to find its objects.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class AttemptOutcome(IntEnum):
    """How an attempt ended. The numbers are part of the simulator's wire protocol."""

    ERROR = 0
    SUCCEEDED = 1
    ENGINE_FULL = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    CONNECTION_RESET = 5
    CANCELLED = 6
    ABANDONED = 7  # withdrawn before its first byte was sent


# Outcomes that prove that the attempt never ran.
NEVER_RAN = (
    AttemptOutcome.ENGINE_FULL,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.ABANDONED,
)


class EngineState(IntEnum):
    """State of an engine in the endpoint list, numbered as in the simulator's wire protocol."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Repeatability(IntEnum):
    """The effect of repeating an attempt of a request."""

    IDEMPOTENT = 0
    KEYED = 1  # the request has an idempotency key, which engines remember for a time
    NON_IDEMPOTENT = 2


class Cordon(IntEnum):
    """Which attempts maintenance allows on an engine."""

    OFF = 0  # no restriction
    NO_NEW_WORK = 1  # only retries whose idempotency key the engine may know
    NO_ATTEMPTS = 2  # no attempts at all


class NoteKind(IntEnum):
    """Notes that engines send about an attempt; any note shows that the engine is alive."""

    PROGRESS = 1  # the only kind that the policy acts on


@dataclass(eq=False, slots=True)
class RequestClass:
    """A class of requests with a common latency objective."""

    name: str
    latency_objective: int  # ticks, without the stretch
    objective_stretch: float  # added to the objective for each tick of work of one thread
    time_to_deadline: int  # ticks
    priority_weight: float  # value of one answer in time
    repeatability: int = Repeatability.IDEMPOTENT
    key_scope: str = "all"  # keyed: the engines that know a key: all, zone, cell
    key_ttl: int = 0  # keyed: time for which engines remember a key, in ticks
    ordered: bool = False  # requests with one order key are sent one at a time
    zones: tuple[int, ...] = ()  # allowed zones; empty: any
    engine_kinds: tuple[int, ...] = ()
    threads: int = 1  # that one attempt occupies at an engine
    # Recent answers: (work ratio, memory ratio, work), see `WorkEstimates.record_answer`.
    answer_samples: deque[tuple[float, float, float]] = field(default_factory=deque)
    # Mean work of recent answers in thread ticks; a high assumption while there are few answers.
    typical_work: float = 0.0
    subset_rank_limit: float = 1.0  # rank up to which engines of the subset serve this class


@dataclass(eq=False, slots=True)
class Engine:
    """An engine as last described by the endpoint list, with this gateway's state for it."""

    host_reference: Any
    hash_key: bytes  # the same at all gateways; used only for hashing
    zone: int
    kind: int
    cell: int
    cores: float = 1.0
    max_memory: float = 0.0  # largest grant of one attempt in MB; 0: the engine ignores grants
    state: int = EngineState.GONE
    incarnation: int = 0  # start time of its process, in ticks; 0: unknown
    threads_in_flight: int = 0  # threads of this gateway's attempts on the engine
    cordon: int = Cordon.OFF
    in_subset: bool = False  # whether this gateway's subset contains the engine
    subset_rank: float = 0.0  # `subsetting.subset_rank` of this gateway for the engine
    stats: Any = None  # `EngineStats`, after the first update of the engine
    name: str = ""  # for log lines


@dataclass(eq=False, slots=True)
class EngineStats:
    """Recent measurements of one engine by one gateway."""

    slow_start_usage: deque[tuple[int, float]]  # (when, typical work sent) in the overload window
    slowness_samples: deque[float]  # of answers: duration over the duration of the work alone
    fault_history: deque[str]  # one entry per success (empty text) or counted fault (its kind)
    # (kind, when) of failures, also those not counted as faults because other engines fail alike.
    failure_history: deque[tuple[str, int]]
    last_activity_at: int = -1  # ticks, when the engine last sent data
    ejected_until: int = -1  # ticks
    refused_until: int = -1  # no attempts until then, as the engine refused one as full
    limit_factor: float = 1.0  # concurrency limit, relative to the initial limit
    reported_load: float = -1.0  # attempts running there, as the engine last reported; -1: never
    recent_work: float = 0.0  # thread ticks, typical work of this gateway's recent attempts there
    slowness: float = 0.0  # cached estimate, valid until `slowness_valid_until`; 0: unknown
    peer_slowness: float = 0.0  # as other gateways report it; 0: unknown
    peer_suspicion: int = 0  # as other gateways report it; 1: one attempt at a time; 2: none
    slowness_valid_until: int = -1
    in_flight: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class RequestQueue:
    """The requests of one tenant and class that wait for a slot, and their share."""

    request_class: RequestClass
    # Recent feedback intervals: (share, inverse of the shortfall quantile).
    share_history: deque[tuple[float, float]]
    share: float = 0.0
    recent_finished_count: float = 0.0  # requests finished in recent feedback intervals, decayed
    # Latency over latency objective of each request finished in this interval; up to 1: in time.
    shortfalls: list[float] = field(default_factory=list)
    waiting: list["Request"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, which gets exactly one final answer."""

    host_reference: Any
    request_class: RequestClass
    tenant: int
    table_group: float
    accepted_at: int
    time_to_deadline: int  # ticks from acceptance
    estimated_work: int = 0  # thread ticks; 0: no estimate
    estimated_memory: float = 0.0  # MB; 0: no estimate
    order_key: int = 0  # requests of one key are sent in order; 0: no key
    is_finished: bool = False
    is_queued: bool = False
    expected_work: float = 0.0  # thread ticks
    latency_objective: float = 0.0  # ticks, with the stretch
    queue: Any = None  # `RequestQueue`, once accepted
    attempts: list["Attempt"] = field(default_factory=list)
    # First and last tick at which the request may have arrived whole, and the number of its
    # connection. Requests of one connection are accepted in order; 0: all requests are.
    earliest_arrival: int = 0
    latest_arrival: int = 0
    connection_number: int = 0
    # Attempts of earlier requests with the same idempotency key that may have run.
    earlier_attempts: list["Attempt"] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at an engine."""

    request: Request
    engine: Engine
    number: int  # index among the request's attempts; 0: the first
    sent_at: int  # ticks, when the policy called `Host.send_attempt`
    expected_duration: float  # ticks of the expected work alone
    typical_duration: float  # ticks of the class's typical work alone
    is_in_flight: bool = True
    is_cancelled: bool = False
    outcome: int = -1  # `AttemptOutcome`; -1: in flight
    # Answers of the engine to later attempts since its last note about this one.
    overtaken_count: int = 0
