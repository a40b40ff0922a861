"""The words of the accounts: terms, reasons beneath them, sorts of hand-offs, outcomes.

Owns the names of all series that do not come from the settings or the engine list, and which reason an end
has. Must never hold a count. A name here never changes its meaning: scrapes of years are compared by it.
"""

from corkgauge.policy.records import Request

# The terms of `taken = served + refused + failed + open`, by the codes of the clients' protocol.
TAKEN, SERVED, REFUSED, FAILED = range(4)
TERMS = "taken", "served", "refused", "failed"

# Why a submission ended as it did. Each reason lies beneath one term; reasons sum to their terms.
REASONS = (
    (SERVED, "in_time"),  # within the promised time
    (SERVED, "late"),  # after it, within the client's patience
    (REFUSED, "at_the_door"),  # no room for another one open
    (REFUSED, "unsent"),  # the gateway gave it up before any hand-off
    (REFUSED, "after_tries"),  # the gateway gave it up after a hand-off, harmless to try again
    (REFUSED, "at_expiry"),  # its last moment came
    (REFUSED, "turned_out"),  # its client was turned out, before the gateway heard of it
    (FAILED, "unusable"),  # nobody could use it; told on its stream
    (FAILED, "given_up"),  # scrapped: a repeat might do harm
    (FAILED, "withdrawn"),  # its client took it back
    (FAILED, "client_gone"),  # its client's connection ended before an answer
    (FAILED, "not_read"),  # its client did not read its answer in time, or not for our memory
    (FAILED, "cut_off"),  # the connection ended within its answer
)
(
    IN_TIME,
    LATE,
    AT_THE_DOOR,
    UNSENT,
    AFTER_TRIES,
    AT_EXPIRY,
    TURNED_OUT,
    UNUSABLE,
    GIVEN_UP,
    WITHDRAWN,
    CLIENT_GONE,
    NOT_READ,
    CUT_OFF,
) = range(len(REASONS))
TERM_OF = tuple(term for term, _ in REASONS)
REASON_NAMES = tuple(name for _, name in REASONS)

# Sorts of hand-offs: the first of a submission, another after one had ended, a second beside one that is out.
FIRST, FURTHER, COPY = range(3)
SORTS = "firsts", "further", "copies"

# Names of interface.py's outcomes, in its order.
OUTCOMES = "error", "honoured", "full", "timed_out", "unreached", "reset", "called_off", "moot"

# Sides of a connection.
CLIENT, ENGINE = range(2)
SIDES = "client", "engine"

UNUSABLE_ROW = "(unusable)"  # what names no offering of ours
DEPARTED_ROW = "(departed)"  # engines that left


def reason_of(code: int, request: Request, now: int, last_moment: int) -> int:
    """The reason of an end that the gateway gave a submission.

    `last_moment` is how long before its expiry the last moment begins, in tenths of a millisecond.

    >>> from corkgauge.policy.records import RequestClass
    >>> request = Request(None, RequestClass("quick", 10, 0.0, 500, 1.0), 0, 0.0, 1000, 500, latency_objective=100.0)
    >>> [REASON_NAMES[reason_of(SERVED, request, now, 20)] for now in (1100, 1101)]
    ['in_time', 'late']
    >>> [REASON_NAMES[reason_of(REFUSED, request, now, 20)] for now in (1100, 1480)]
    ['unsent', 'at_expiry']
    >>> REASON_NAMES[reason_of(FAILED, request, 1100, 20)]
    'given_up'
    """
    if code == SERVED:
        return IN_TIME if now - request.accepted_at <= request.latency_objective else LATE
    if code == FAILED:
        return GIVEN_UP
    if now >= request.accepted_at + request.time_to_deadline - last_moment:
        return AT_EXPIRY
    return AFTER_TRIES if request.attempts else UNSENT


def sort_of(number: int, others_out: bool) -> int:
    """Of a hand-off: its number within its submission, and whether another one of it is out.

    >>> sort_of(0, False), sort_of(1, False), sort_of(1, True)
    (0, 1, 2)
    """
    return FIRST if not number else COPY if others_out else FURTHER
