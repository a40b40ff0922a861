"""Tests of who goes on, and how, while the memory for buffers is used up by others."""

from tests.harness import HostHarness, request_frame, request_id

FULL_PAGE = "a" * 5_997 + "\t\t\n"
READY_CHECK_FRAME = bytes.fromhex("05000000100a000000")


def use_up(budget):
    """Leave no memory in a budget, as if others held all of it."""
    budget.limit_bytes = budget.reserved_bytes


def answer_with_full_pages(harness, engine, number, page_count):
    """Send the result of a request as its engine does: the first page, then the others."""
    name = request_id(number)
    harness.send_engine_command(engine, name, "DONE", f"chunks={page_count}", FULL_PAGE)
    for page_number in range(1, page_count):
        harness.send_engine_command(engine, name, "MORE", f"at={page_number}", FULL_PAGE)


def test_answer_without_buffer_memory_is_passed_on_in_parts():
    """Guards against answers that waited for memory and were never sent, nor any after them."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    for number in (1, 2):
        harness.send(client, request_frame(number))
    use_up(harness.socket_host.client_ring_memory)
    answer_with_full_pages(harness, engine, 1, 4)
    answer_with_full_pages(harness, engine, 2, 1)
    harness.send(client, READY_CHECK_FRAME)
    first, second, ready = harness.receive_answers(client)
    assert first[1:] == (1, b"\1", FULL_PAGE.encode() * 4)
    assert second[1:] == (2, b"\1", FULL_PAGE.encode())
    assert ready[:2] == (32, 10)
    assert not harness.socket_host.answering and not harness.logged
