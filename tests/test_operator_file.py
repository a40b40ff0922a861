"""Tests of the operator file that concern no single subsystem."""

import pytest

from corkgauge.config.operator_element import MAX_FILE_BYTES
from corkgauge.config.operator_file import read
from corkgauge.config.platform import ConfigurationError

MEMBER_LINE = "n{:06} 10.0.0.1:7100 hall-a\n"
MAX_MEMBER_LINES = MAX_FILE_BYTES // len(MEMBER_LINE.format(0))


def write_operator_file(folder, roster_text, key_text="ab" * 32):
    """Write an operator file with a roster and a key; return its path."""
    roster, key, path = folder / "roster", folder / "key", folder / "operator.xml"
    roster.write_text(roster_text)
    key.write_text(key_text)
    key.chmod(0o600)
    path.write_text(
        f'<operator version="1">\n<fellows roster="{roster}"><key file="{key}"/></fellows>'
        "</operator>"
    )
    return str(path)


def roster_of(line_count):
    """Return a roster of this many members."""
    return "".join(map(MEMBER_LINE.format, range(line_count)))


@pytest.mark.parametrize("too_long", ["roster", "key"])
def test_roster_or_key_file_over_the_limit_is_rejected(tmp_path, too_long):
    """Guards against members that are missing without a word, and against half a key."""
    texts = {
        "roster": (roster_of(MAX_MEMBER_LINES + 1),),
        "key": (roster_of(1), "ab" * MAX_FILE_BYTES),
    }
    with pytest.raises(ConfigurationError) as raised:
        read(write_operator_file(tmp_path, *texts[too_long]))
    assert f"{MAX_FILE_BYTES} bytes at most" in str(raised.value)
    assert "operator.xml:2" in str(raised.value)


def test_roster_up_to_the_limit_is_read_whole(tmp_path):
    membership = read(write_operator_file(tmp_path, roster_of(MAX_MEMBER_LINES))).membership
    assert len(membership.members) == MAX_MEMBER_LINES
