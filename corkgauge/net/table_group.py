"""Finds a statement's table group: the number in the name of the schema of its tables.

Never raises an exception, whatever the statement. A statement can be as large as a frame, so all
work that grows with the length is done by regular expressions and none by Python loops.
"""

import re

# Strings, comments, and quoted names that are not plain words cannot name a table group, so each is
# replaced by a space. One without a closing mark extends to the end of the statement.
IGNORED_TEXT = re.compile(
    rb"""
    '(?:[^']+|'')*+(?:'|\Z) | --[^\n]* | /\*.*?(?:\*/|\Z)
  | ("[\w$]*"(?!") | `[\w$]*`)
  | "(?:[^"]+|"")*+(?:"|\Z) | `[^`]*(?:`|\Z)
""",
    re.X | re.S,
)
# A schema's name with a number after the last underscore, and the begin of the name of its table.
# `(?!staging\b)` excludes only names in which `$` or a byte outside ASCII follows "staging", as in
# `staging$_17`. It does not exclude `staging_17`: an underscore is a word character.
SCHEMA = rb"""(?: (?!staging\b) [A-Za-z_\x80-\xff] [\w$\x80-\xff]* _ | ["`] (?!staging\b) [\w$]* _ )
            (\d{1,9}) ["`]? \s* \. \s* ["`]? [A-Za-z_\x80-\xff]"""
TABLE_REFERENCE = re.compile(
    rb"(?i) \b (?: from|join|into|update|table|using|only|overwrite|copy|exists ) \b [\s(]* "
    + SCHEMA,
    re.X,
)
MAY_HIDE_MATCH = re.compile(rb"['\"`]|--|/\*")
SCHEMA_ANYWHERE = re.compile(rb"(?i) (?<! [\w$.\x80-\xff] ) " + SCHEMA, re.X)


def group_number(statement: bytes) -> float:
    """Return the number after the last underscore of a schema's name; 0.0 if there is none.

    The result is a float because the policy's records have table groups as floats.

    >>> group_number(b"SELECT 'x from sales_3.a' FROM sales_17.orders"), group_number(b"select 1")
    (17.0, 0.0)
    """
    found = TABLE_REFERENCE.search(statement)
    # The match may be inside a comment or a string that begins before it.
    if not found or MAY_HIDE_MATCH.search(statement, 0, found.end()):
        plain = IGNORED_TEXT.sub(rb" \1", statement)
        found = TABLE_REFERENCE.search(plain) or SCHEMA_ANYWHERE.search(plain)
    return float(found[1]) if found else 0.0
