"""Reserved ports: never chosen twice, whether or not a process listens on them."""

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


@pytest.mark.parametrize("socket_type", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_released_port_stays_reserved_until_its_end(monkeypatch, socket_type):
    drawn = []

    def set_draws(numbers):
        """Set the next random numbers."""
        drawn[:] = numbers
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))

    first = ReservedPort(socket_type)
    first_number = first.address[1] - MIN_PORT
    other_numbers = [n for n in range(1, 900) if n != first_number]
    first.release()  # no process listens on the port, and it is still reserved
    set_draws([first_number, *other_numbers])
    second = ReservedPort(socket_type)
    assert second.address[1] - MIN_PORT in other_numbers and drawn[0] != other_numbers[0]
    first.end()
    set_draws([first_number])
    third = ReservedPort(socket_type)
    assert third.address == first.address
    for each in second, third:
        each.end()


def test_a_port_in_use_is_not_chosen(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        drawn = [sock.getsockname()[1] - MIN_PORT, 5, 6, 7, 8]
        monkeypatch.setattr(ports.secrets, "randbelow", lambda below: drawn.pop(0))
        assert free_port() in (MIN_PORT + 5, MIN_PORT + 6, MIN_PORT + 7, MIN_PORT + 8)


@pytest.mark.parametrize(
    "port_range, expected",
    [
        ("32768\t60999\n", 32_768),
        ("16000 65535\n", 16_000),
        ("1024 65535\n", MAX_PORT),
        ("40000 60999\n", MAX_PORT),
        ("", MAX_PORT),
    ],
)
def test_ports_assigned_by_the_kernel_are_avoided_where_enough_others_exist(
    tmp_path, port_range, expected
):
    (tmp_path / "range").write_text(port_range)
    assert port_range_end(str(tmp_path / "range")) == expected
    assert port_range_end(str(tmp_path / "none")) == MAX_PORT
