"""Tests of answers that engines send slowly, on a simulated clock."""

import pytest

from tests.harness import SECOND, HostHarness, request_frame, request_id

MILLISECOND_TICKS = 10
STEP_TICKS = 250
ROW = "a" * 57 + "\t\t\n"
PAGE = ROW * 100  # as long as a page may be


def encode(*parts):
    """Return an engine's answer as a RESP array of bulk strings."""
    return f"*{len(parts)}\r\n".encode() + b"".join(
        f"${len(part)}\r\n{part}\r\n".encode() for part in parts
    )


class SlowAnswer:
    """Lets an engine answer one request with a full page, `rate` bytes a second."""

    def __init__(self, rate):
        self.harness = HostHarness()
        self.client = self.harness.connect_client()
        self.engine = self.harness.connect_engine()
        self.harness.send(self.client, request_frame())
        assert b"fetch" in self.harness.receive(self.engine)
        self.began_at = self.harness.time
        self.unsent = encode(request_id(1), "DONE", "chunks=1", PAGE)
        self.step_bytes = rate * STEP_TICKS // SECOND

    def send_until_closed(self):
        """Send the answer, or as much as the gateway takes; return the ticks that it took."""
        while self.unsent:
            try:
                self.harness.send(self.engine, self.unsent[: self.step_bytes])
            except BrokenPipeError:
                break
            self.unsent = self.unsent[self.step_bytes :]
            self.harness.pass_time(STEP_TICKS, STEP_TICKS)
        return self.harness.time - self.began_at


# An answer that took over 0.3 s ended the connection, so a slow engine's results never arrived.
@pytest.mark.parametrize("rate", [4_000, 10_000, 100_000])
def test_long_answer_from_a_slow_engine_is_served(rate):
    answer = SlowAnswer(rate)
    answer.send_until_closed()
    ((_, _, code, body),) = answer.harness.receive_answers(answer.client)
    assert code == b"\1"
    assert body == PAGE.encode()


def test_connection_on_which_an_answer_arrives_byte_by_byte_is_closed_soon():
    answer = SlowAnswer(40)
    assert answer.send_until_closed() <= 4_000
    assert answer.unsent
