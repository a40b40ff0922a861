"""Parses numbers in the input of clients and engines, which is not trusted."""

MAX_AMOUNT = 1e12  # in the unit of the field


def parse_amount(text: str) -> float | None:
    """Return a number from 0 to below `MAX_AMOUNT`; None if the text is no such number.

    >>> parse_amount("820.0"), parse_amount("-3"), parse_amount("nan"), parse_amount("x")
    (820.0, None, None, None)
    >>> parse_amount("1e99") is None
    True
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < MAX_AMOUNT else None


def parse_load(report: str, otherwise: float) -> float:
    """Return the number of attempts in an engine's load report, or `otherwise` if there is none.

    >>> parse_load("inflight:7;util:0.61", -1.0), parse_load("", 3.0), parse_load("inflight:x", -1.0)
    (7.0, 3.0, -1.0)
    """
    for pair in report.split(";"):
        name, _, value = pair.partition(":")
        if name == "inflight":
            found = parse_amount(value)
            return otherwise if found is None else found
    return otherwise
