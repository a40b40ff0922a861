"""Ports that rigs choose: no two the same one, whatever listens there at the moment."""

import socket

import pytest

from corkgauge.testkit.fleet import ports
from corkgauge.testkit.fleet.ports import HIGHEST, LOWEST, Reserved, free_port, highest


@pytest.mark.parametrize("sort", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_was_released_goes_to_nobody_else_until_its_end(monkeypatch, sort):
    drawn = []

    def draws(numbers):
        """The next draws, one after the other."""
        drawn[:] = numbers
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))

    one = Reserved(sort)
    number = one.address[1] - LOWEST
    others = [n for n in range(1, 900) if n != number]
    one.release()  # nobody listens there, and it is taken all the same
    draws([number, *others])
    two = Reserved(sort)
    assert two.address[1] - LOWEST in others and drawn[0] != others[0]
    one.end()
    draws([number])
    three = Reserved(sort)
    assert three.address == one.address
    for each in two, three:
        each.end()


def test_a_port_where_somebody_listens_is_not_chosen(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        drawn = [sock.getsockname()[1] - LOWEST, 5, 6, 7, 8]
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))
        assert free_port() in (LOWEST + 5, LOWEST + 6, LOWEST + 7, LOWEST + 8)


@pytest.mark.parametrize(
    "said, found",
    [
        ("32768\t60999\n", 32_768),
        ("16000 65535\n", 16_000),
        ("1024 65535\n", HIGHEST),
        ("40000 60999\n", HIGHEST),
        ("", HIGHEST),
    ],
)
def test_ports_that_the_system_hands_out_are_left_to_it_where_that_leaves_enough(
    tmp_path, said, found
):
    (tmp_path / "range").write_text(said)
    assert highest(str(tmp_path / "range")) == found
    assert highest(str(tmp_path / "none")) == HIGHEST
