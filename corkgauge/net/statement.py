"""The group of tables that a statement reads or writes.

Owns nothing; must never raise, whatever the statement, and never take time beyond its length.
"""

import re

# Strings, comments and quoted names first, so that nothing inside them counts. What never ends runs on to
# the end of the statement.
TOKEN = re.compile(rb"""
    (?P<skip> '(?:[^']|'')*(?:'|\Z) | --[^\n]* | /\*.*?(?:\*/|\Z) )
  | (?P<quoted> "(?:[^"]|"")*(?:"|\Z) | `[^`]*(?:`|\Z) )
  | (?P<word> [A-Za-z_\x80-\xff][\w$\x80-\xff]* )
  | (?P<mark> [.,()] )
  | (?P<other> [^\s] )
""", re.X | re.S)
BEFORE = {b"from", b"join", b"into", b"update", b"table", b"using", b"overwrite", b"copy", b"only"}
GROUP = re.compile(rb".*_(\d{1,9})\Z", re.S)


def tables_of(statement: bytes) -> float:
    """The number behind the underscore in a schema's name; 0.0 when there is none.

    >>> tables_of(b"SELECT 'x from sales_3.a' FROM sales_17.orders"), tables_of(b"select 1")
    (17.0, 0.0)
    """
    tokens = []
    for found in TOKEN.finditer(statement):
        if found.lastgroup == "quoted":
            tokens.append((b"name", found.group()[1:-1]))
        elif found.lastgroup != "skip":
            tokens.append((b"name" if found.lastgroup == "word" else found.group(), found.group()))
    otherwise = 0.0
    place = False       # where a table's name is due
    for n, (kind, text) in enumerate(tokens):
        if kind != b"name":
            place = place and kind in (b",", b"(")
            continue
        qualified = n + 2 < len(tokens) and tokens[n + 1][0] == b"." and tokens[n + 2][0] == b"name"
        group = GROUP.match(text)
        if qualified and group and text.lower() != b"staging":
            if place:
                return float(group[1])
            otherwise = otherwise or float(group[1])
        if not qualified or n == 0 or tokens[n - 1][0] != b".":
            place = text.lower() in BEFORE if not qualified else False
    return otherwise
