"""Names the counters: terms, end reasons, attempt kinds, outcomes and connection sides.

Owns the names of all series that do not come from the settings or the engine list, and the rules
that determine the reason of a request's end and the kind of an attempt. Holds no counts. The
meaning of a name must never change, because metrics scraped over years are compared by name.
"""

from enum import IntEnum

from corkgauge.policy.records import Request


class Term(IntEnum):
    """Index of a term of the equation `taken = served + refused + failed + open`.

    All terms but the first are result codes of the client protocol.
    """

    ACCEPTED = 0
    SUCCEEDED = 1
    REJECTED = 2
    FAILED = 3


class EndReason(IntEnum):
    """Index of the reason for the end of a request."""

    WITHIN_OBJECTIVE = 0
    """Succeeded within its latency objective."""
    AFTER_OBJECTIVE = 1
    """Succeeded after its latency objective; its deadline is not checked."""
    NO_CAPACITY = 2
    """Rejected on arrival because the limit of open requests was reached."""
    NEVER_SENT = 3
    """Rejected by the gateway before any attempt was sent."""
    AFTER_ATTEMPTS = 4
    """Rejected by the gateway after an attempt; the client can retry safely."""
    AT_DEADLINE = 5
    """Rejected at most a margin before its deadline, or later."""
    CONNECTION_EVICTED = 6
    """The client's connection was evicted before the request reached `policy.gateway.Gateway`."""
    UNUSABLE = 7
    """The request cannot be served by any engine; it is answered on its stream."""
    GIVEN_UP = 8
    """Failed, because a retry could be harmful."""
    CANCELLED = 9
    """Cancelled by its client."""
    CLIENT_GONE = 10
    """The client's connection ended before the answer."""
    ANSWER_NOT_READ = 11
    """The client did not read the answer in time, or the answer did not fit in memory."""
    ANSWER_CUT_OFF = 12
    """The client's connection ended while the answer was being sent."""


class AttemptKind(IntEnum):
    """Index of the kind of an attempt."""

    FIRST = 0
    """The first attempt of a request."""
    RETRY = 1
    """An attempt that was sent after all earlier attempts of the request had ended."""
    HEDGE = 2
    """An attempt that was sent while another attempt of the request was in flight."""


class Side(IntEnum):
    """Index of the peer type of a connection: client or engine."""

    CLIENT = 0
    ENGINE = 1


# Names of the enum members in JSON, metrics, checkpoints and logs, by index.
TERM_NAMES = "taken", "served", "refused", "failed"
ATTEMPT_KIND_NAMES = "firsts", "further", "copies"
SIDE_NAMES = "client", "engine"
OUTCOME_NAMES = (  # by policy.records.AttemptOutcome
    "error",
    "honoured",
    "full",
    "timed_out",
    "unreached",
    "reset",
    "called_off",
    "moot",
)
# Each reason belongs to one term; the count of a term is the sum of the counts of its reasons.
END_REASONS = (
    (Term.SUCCEEDED, "in_time"),
    (Term.SUCCEEDED, "late"),
    (Term.REJECTED, "at_the_door"),
    (Term.REJECTED, "unsent"),
    (Term.REJECTED, "after_tries"),
    (Term.REJECTED, "at_expiry"),
    (Term.REJECTED, "turned_out"),
    (Term.FAILED, "unusable"),
    (Term.FAILED, "given_up"),
    (Term.FAILED, "withdrawn"),
    (Term.FAILED, "client_gone"),
    (Term.FAILED, "not_read"),
    (Term.FAILED, "cut_off"),
)
TERM_BY_REASON = tuple(int(term) for term, _ in END_REASONS)  # plain int: fastest list index
REASON_NAMES = tuple(name for _, name in END_REASONS)

UNUSABLE_ROW = "(unusable)"  # the row of requests without a valid request class
REMOVED_ENGINES_ROW = "(departed)"  # the row of all engines that were removed

# Module constants for the members that the path of a request needs: a lookup through the enum takes
# 0.1 us (CPython 3.11), an addition to a count only 0.04 us.
_SUCCEEDED = int(Term.SUCCEEDED)
_FAILED = int(Term.FAILED)
_WITHIN_OBJECTIVE = EndReason.WITHIN_OBJECTIVE
_AFTER_OBJECTIVE = EndReason.AFTER_OBJECTIVE
_NEVER_SENT = EndReason.NEVER_SENT
_AFTER_ATTEMPTS = EndReason.AFTER_ATTEMPTS
_AT_DEADLINE = EndReason.AT_DEADLINE
_GIVEN_UP = EndReason.GIVEN_UP
_FIRST = AttemptKind.FIRST
_RETRY = AttemptKind.RETRY
_HEDGE = AttemptKind.HEDGE


def find_end_reason(
    code: int, request: Request, now_ticks: int, deadline_margin_ticks: int
) -> EndReason:
    """Return the reason why the gateway ended a request.

    `code` is a result code of the client protocol, as in `Term`. Times are tenths of a
    millisecond. A rejection at most `deadline_margin_ticks` before the deadline of the request, or
    later, has the reason `AT_DEADLINE`.

    >>> from corkgauge.policy.records import RequestClass
    >>> quick = RequestClass("quick", 10, 0.0, 500, 1.0)
    >>> request = Request(None, quick, 0, 0.0, 1000, 500, latency_objective=100.0)
    >>> [REASON_NAMES[find_end_reason(Term.SUCCEEDED, request, now, 20)] for now in (1100, 1101)]
    ['in_time', 'late']
    >>> [REASON_NAMES[find_end_reason(Term.REJECTED, request, now, 20)] for now in (1100, 1480)]
    ['unsent', 'at_expiry']
    >>> REASON_NAMES[find_end_reason(Term.FAILED, request, 1100, 20)]
    'given_up'
    """
    if code == _SUCCEEDED:
        if now_ticks - request.accepted_at <= request.latency_objective:
            return _WITHIN_OBJECTIVE
        return _AFTER_OBJECTIVE
    if code == _FAILED:
        return _GIVEN_UP
    if now_ticks >= request.accepted_at + request.time_to_deadline - deadline_margin_ticks:
        return _AT_DEADLINE
    if request.attempts:
        return _AFTER_ATTEMPTS
    return _NEVER_SENT


def classify_attempt(number: int, has_others_in_flight: bool) -> AttemptKind:
    """Return the kind of an attempt by its number within its request, counted from 0.

    >>> [int(classify_attempt(*each)) for each in ((0, False), (1, False), (1, True))]
    [0, 1, 2]
    """
    if not number:
        return _FIRST
    if has_others_in_flight:
        return _HEDGE
    return _RETRY
