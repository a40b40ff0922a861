"""A client gives up reports early, and with each asks again on the same connection."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import Client, Engine, Feed, Gateway, has_trouble, hq_main, main

PATIENCE_MS = 25_000  # the deadline of the class in the settings
WORK_MS = 3000.0  # "2,700 to 5,500 ms of work on average"
OPEN_AT_ONCE = 5  # of the 32 open requests that a connection may carry
EVERY = 0.2  # seconds between two requests; each is given up after 1 s
REQUESTS = 60
CROSSING = 0.05  # seconds for which a request may cross the end of a connection


async def play(record, cleanup):
    """Play the client, and return the requests that were taken and never answered."""
    feed = Feed(record)
    engines = [Engine(record, f"e{number}", {}, 20.0) for number in range(1, 9)]
    for engine in engines:
        engine.work_ms = lambda run: WORK_MS
        await engine.start()
    await feed.start()
    await feed.tell(engines, full=True)
    gateway = Gateway(record, hq_main(), feed, engines)
    cleanup.append(gateway.end)
    await gateway.start()
    client = Client(record, "client")
    cleanup.append(client.close)
    await client.connect(gateway.address)

    waiting = []
    for _ in range(REQUESTS):
        if client.errors or client.closed_at:
            break
        frames = []
        if has_trouble() and len(waiting) >= OPEN_AT_ONCE:
            one = waiting.pop(0)
            frames = [] if one.answers else [client.withdrawal(one)]
        frame, one = client.frame("league-report", PATIENCE_MS, weight=WORK_MS)
        waiting.append(one)
        client.write(*frames, frame)
        await asyncio.sleep(EVERY)
    taken_back = sum(one.withdrawn_at > 0 for one in client.tries.values())
    record(f"{len(client.tries)} requests, {taken_back} taken back")
    await asyncio.sleep(PATIENCE_MS / 1000 + 1.0 if not client.closed_at else 1.0)
    return find_lost(client)


def find_lost(client):
    """Return the requests that no final answer came for, and that nothing excuses.

    Excused is what was taken back, and what was sent at the end of a connection on which no other
    request was open.
    """
    breaks = []
    for one in client.tries.values():
        others = [
            each
            for each in client.tries.values()
            if each is not one
            and each.sent_at < one.sent_at
            and not each.withdrawn_at
            and (not each.answers or each.answers[0][0] > one.sent_at)
        ]
        is_crossing = client.closed_at and one.sent_at > client.closed_at - CROSSING and not others
        if not (one.answers or one.withdrawn_at or is_crossing):
            breaks.append(
                f"stream {one.stream} {one.trace}: no final answer, while {len(others)} other "
                f"requests were open; the gateway said {client.errors} and ended the connection"
            )
        if len(one.answers) > 1:
            breaks.append(f"stream {one.stream} {one.trace}: {len(one.answers)} answers")
    return breaks


if __name__ == "__main__":
    main(pathlib.Path(__file__).parent, play)
