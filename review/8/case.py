"""The control feed answers each new watch late, and an engine begins to drain."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import Client, Engine, Feed, Gateway, has_trouble, hq_main, main

ANSWERS_AFTER = 2.0  # seconds from a request of the list to the first byte of the answer
TOLD_AFTER = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE = 0.5 + 0.05  # of the rule, and what each limit is longer on sockets


async def play(record, cleanup):
    """Let one of four engines drain, and return the queries that it was sent too late."""
    feed = Feed(record)
    feed.answers_after = ANSWERS_AFTER if has_trouble() else 0.0
    engines = [Engine(record, f"e{number}", {}, 20.0) for number in range(1, 5)]
    for engine in engines:
        await engine.start()
    await feed.start()
    await feed.tell(engines, full=True)
    gateway = Gateway(record, hq_main(), feed, engines)
    cleanup.append(gateway.end)
    await gateway.start()
    client = Client(record, "client")
    cleanup.append(client.close)
    await client.connect(gateway.address)
    sending = asyncio.ensure_future(send_lookups(client))
    cleanup.append(sending.cancel)

    await asyncio.sleep(5.0)
    drained = max(engines, key=lambda engine: len(engine.runs))
    drained.state = "DRAINING"
    drains_at = time.time()
    await feed.tell([drained])
    await asyncio.sleep(TOLD_AFTER + 8.0)
    late = [run for run in drained.runs if run.received_at > drains_at + TOLD_AFTER + GRACE]
    record(f"{drained.name} got {len(drained.runs)} queries, {len(late)} of them too late")
    if not late:
        return []
    last = late[-1].received_at - drains_at
    return [
        f"{drained.name} drains, and got {len(late)} queries later than {TOLD_AFTER + GRACE:.2f} s "
        f"after that was in the feed, the last one {last:.1f} s after"
    ]


async def send_lookups(client):
    """Send twenty short queries a second."""
    while True:
        client.write(client.frame("rating-lookup", 6000)[0])
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    main(pathlib.Path(__file__).parent, play)
