"""Plays case 1: bad clients send messages without end, others read results; see claim.txt."""

import asyncio
import sys
from pathlib import Path

from settings import hq_main
from standins import LARGE_PAGE, Client, Engine, Feed, Record, bad_clients, fleet, run_case

FOLDER = Path(__file__).resolve().parent
LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
BAD_CLIENT_COUNT = 30  # the disruption: clients whose message does not end
TROUBLE_SECONDS = 8.0
PAGE_COUNT = 4  # of each result; 24,000 bytes in all
CLIENT_COUNT = 8
REQUEST_COUNT = 16  # of each client
PATIENCE_MS = 6000
LATE_SECONDS = 0.55  # half a second, and the 50 ms of the protocol page


async def send_requests(client: Client) -> None:
    """Send a lookup every half second, on one connection."""
    for number in range(REQUEST_COUNT):
        client.send("rating-lookup", f"select * from league_{number}.ratings", patience=PATIENCE_MS)
        await asyncio.sleep(0.5)


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Send lookups beside the bad clients; wait far longer than their patience for the answers."""
    engines = [Engine(record, f"e{n}", "c12", "hall-a") for n in range(6)]
    for engine in engines:
        engine.run_seconds = lambda _: 0.1
        engine.page, engine.page_count = LARGE_PAGE, PAGE_COUNT
        await engine.start()
    feed = Feed(record, [engine.listed() for engine in engines])
    await feed.start()
    async with fleet(record, hq_main(), feed, LIMITS) as gateways:
        address = gateways[0].address
        clients = [Client(record, f"c{n}") for n in range(CLIENT_COUNT)]
        async with bad_clients(record, address, BAD_CLIENT_COUNT if has_trouble else 0):
            await asyncio.sleep(2.0)
            sending = []
            for client in clients:
                await client.connect(address)
                sending.append(asyncio.create_task(send_requests(client)))
            await asyncio.sleep(TROUBLE_SECONDS - 2.0)
        await asyncio.gather(*sending)
        await asyncio.sleep(PATIENCE_MS / 1000 + 4)
        open_at = record.add("all answers are due")

    breaks = []
    for client in clients:
        late = {
            trace: at + PATIENCE_MS / 1000 + LATE_SECONDS
            for trace, at in client.sent.items()
            if not any(
                answer <= at + PATIENCE_MS / 1000 + LATE_SECONDS
                for answer, _ in client.answers[trace]
            )
        }
        if late:
            state = "was open" if not client.ended_at or client.ended_at > open_at else "had ended"
            breaks.append(
                f"lost: {client.name}: {len(late)} of {len(client.sent)} requests got no answer, "
                f"the first due by {min(late.values()):.2f}; at {open_at:.2f} its connection "
                f"{state}"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
