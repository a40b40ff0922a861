"""Names of the accounts: terms, end reasons, attempt sorts, outcomes and connection sides.

Owns the names of all series that do not come from the settings or the engine list, and the rules
that say which reason an end has and which sort an attempt is. Holds no count. A name here never
changes its meaning: metrics scraped over years are compared by it.
"""

from enum import IntEnum

from corkgauge.policy.records import Request


class Term(IntEnum):
    """Index of a term of `taken = served + refused + failed + open`.

    All but the first are the result codes of the client protocol.
    """

    ACCEPTED = 0
    SUCCEEDED = 1
    REJECTED = 2
    FAILED = 3


class EndReason(IntEnum):
    """Index of the reason why a request ended as it did."""

    WITHIN_OBJECTIVE = 0
    """Succeeded within its latency objective."""
    AFTER_OBJECTIVE = 1
    """Succeeded after its latency objective and before its deadline."""
    NO_CAPACITY = 2
    """Rejected on arrival: as many requests are open as may be."""
    NEVER_SENT = 3
    """Rejected by the gateway before any attempt was sent."""
    AFTER_ATTEMPTS = 4
    """Rejected by the gateway after an attempt; a retry by the client would do no harm."""
    AT_DEADLINE = 5
    """Rejected because its deadline was about to pass."""
    CONNECTION_EVICTED = 6
    """Its connection was evicted before the gateway was notified of the request."""
    UNUSABLE = 7
    """Not a request that anybody could serve; answered on its stream."""
    GIVEN_UP = 8
    """Failed: a retry could do harm."""
    CANCELLED = 9
    """Its client cancelled it."""
    CLIENT_GONE = 10
    """Its client's connection ended before an answer."""
    ANSWER_NOT_READ = 11
    """Its client did not read the answer in time, or the answer had no room in our memory."""
    ANSWER_CUT_OFF = 12
    """Its client's connection ended within the answer."""


class AttemptKind(IntEnum):
    """Index of the sort of an attempt."""

    FIRST = 0
    """The first attempt of a request."""
    RETRY = 1
    """An attempt after an earlier one had ended."""
    HEDGE = 2
    """An attempt beside one that is still in flight."""


class Side(IntEnum):
    """Index of the side of the gateway that a connection is on."""

    CLIENT = 0
    ENGINE = 1


# What the enums' members are called in JSON, metrics, checkpoints and logs, by index.
TERM_NAMES = "taken", "served", "refused", "failed"
ATTEMPT_KIND_NAMES = "firsts", "further", "copies"
SIDE_NAMES = "client", "engine"
OUTCOME_NAMES = (  # of policy.records.AttemptOutcome
    "error",
    "honoured",
    "full",
    "timed_out",
    "unreached",
    "reset",
    "called_off",
    "moot",
)
# Each reason lies beneath one term; the counts of the reasons sum to those of their terms.
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
TERM_BY_REASON = tuple(int(term) for term, _ in END_REASONS)  # a plain int indexes a list fastest
REASON_NAMES = tuple(name for _, name in END_REASONS)

UNUSABLE_ROW = "(unusable)"  # the row of what names no request class of ours
REMOVED_ENGINES_ROW = "(departed)"  # the row of all engines that were removed

# A member that is looked up through its enum costs 0.1 us each time (CPython 3.11), an addition to
# a count 0.04 us. So what the path of a request needs is looked up once.
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
    """Return the reason of an end that the gateway gave a request.

    `code` is a result code of the client protocol, as in `Term`. Times are tenths of a
    millisecond; `deadline_margin_ticks` is how long before its deadline a rejection of the request
    counts as one by the deadline.

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
    """Return the sort of an attempt by its number within its request, from 0.

    >>> [int(classify_attempt(*each)) for each in ((0, False), (1, False), (1, True))]
    [0, 1, 2]
    """
    if not number:
        return _FIRST
    if has_others_in_flight:
        return _HEDGE
    return _RETRY
