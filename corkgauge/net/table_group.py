"""The table group of a statement: the number in the name of the schema that it reads or writes.

Never raises, whatever the statement. A statement can be as large as a frame, so all work that grows
with its length is done by the regular expressions, none by a loop here.
"""

import re

# Strings, comments and quoted names that are no plain words cannot name a group, so they are
# blanked out. One that is never closed runs on to the end.
NOISE = re.compile(
    rb"""
    '(?:[^']+|'')*+(?:'|\Z) | --[^\n]* | /\*.*?(?:\*/|\Z)
  | ("[\w$]*"(?!") | `[\w$]*`)
  | "(?:[^"]+|"")*+(?:"|\Z) | `[^`]*(?:`|\Z)
""",
    re.X | re.S,
)
NAME = rb"""(?: (?!staging\b) [A-Za-z_\x80-\xff] [\w$\x80-\xff]* _ | ["`] (?!staging\b) [\w$]* _ )
            (\d{1,9}) ["`]? \s* \. \s* ["`]? [A-Za-z_\x80-\xff]"""
TABLE = re.compile(
    rb"(?i) \b (?: from|join|into|update|table|using|only|overwrite|copy|exists ) \b [\s(]* "
    + NAME,
    re.X,
)
MAY_HIDE = re.compile(rb"['\"`]|--|/\*")
ANYWHERE = re.compile(rb"(?i) (?<! [\w$.\x80-\xff] ) " + NAME, re.X)


def group_number(statement: bytes) -> float:
    """Return the number behind the underscore in a schema's name; 0.0 when there is none.

    >>> group_number(b"SELECT 'x from sales_3.a' FROM sales_17.orders"), group_number(b"select 1")
    (17.0, 0.0)
    """
    found = TABLE.search(statement)
    # What comes before the match, a comment or a string, may hide it.
    if not found or MAY_HIDE.search(statement, 0, found.end()):
        plain = NOISE.sub(rb" \1", statement)
        found = TABLE.search(plain) or ANYWHERE.search(plain)
    return float(found[1]) if found else 0.0
