"""Ports that rigs choose: no two the same one, whatever listens there at the moment."""

import socket

import pytest

from corkgauge.testkit.fleet import ports
from corkgauge.testkit.fleet.ports import (
    MAX_PORT,
    MIN_PORT,
    ReservedPort,
    free_port,
    port_range_end,
)


@pytest.mark.parametrize("sort", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_was_released_goes_to_nobody_else_until_its_end(monkeypatch, sort):
    drawn = []

    def draws(numbers):
        """The next draws, one after the other."""
        drawn[:] = numbers
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))

    one = ReservedPort(sort)
    number = one.address[1] - MIN_PORT
    others = [n for n in range(1, 900) if n != number]
    one.release()  # nobody listens there, and it is taken all the same
    draws([number, *others])
    two = ReservedPort(sort)
    assert two.address[1] - MIN_PORT in others and drawn[0] != others[0]
    one.end()
    draws([number])
    three = ReservedPort(sort)
    assert three.address == one.address
    for each in two, three:
        each.end()


def test_a_port_where_somebody_listens_is_not_chosen(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        drawn = [sock.getsockname()[1] - MIN_PORT, 5, 6, 7, 8]
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))
        assert free_port() in (MIN_PORT + 5, MIN_PORT + 6, MIN_PORT + 7, MIN_PORT + 8)


@pytest.mark.parametrize(
    "said, found",
    [
        ("32768\t60999\n", 32_768),
        ("16000 65535\n", 16_000),
        ("1024 65535\n", MAX_PORT),
        ("40000 60999\n", MAX_PORT),
        ("", MAX_PORT),
    ],
)
def test_ports_that_the_system_hands_out_are_left_to_it_where_that_leaves_enough(
    tmp_path, said, found
):
    (tmp_path / "range").write_text(said)
    assert port_range_end(str(tmp_path / "range")) == found
    assert port_range_end(str(tmp_path / "none")) == MAX_PORT
