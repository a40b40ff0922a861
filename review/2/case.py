"""Plays case 2: bad clients send messages without end, others send batches; see claim.txt."""

import asyncio
import os
import sys
from pathlib import Path

from settings import hq_main
from standins import Client, Engine, Feed, Gateway, Record, bad_clients, fleet, run_case

FOLDER = Path(__file__).resolve().parent
LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
BAD_CLIENT_COUNT = 30  # the disruption: clients whose message does not end
CLIENT_COUNT = 6
ROUND_COUNT = 4
CROSSING_SECONDS = 0.05  # a close this soon after the last byte excuses the workload manager
ROWS = ",".join(f"({10**8 + n})" for n in range(20_000))


class UsualClient:
    """A client that keeps a connection and opens a new one when that has ended."""

    def __init__(self, record: Record, gateway: Gateway, number: int) -> None:
        self.record, self.gateway, self.number = record, gateway, number
        self.connections: list[Client] = []

    async def connection(self) -> Client:
        """Return an open connection."""
        if not self.connections or self.connections[-1].ended_at:
            name = f"c{self.number}.{len(self.connections)}"
            self.connections.append(Client(self.record, name))
            await self.connections[-1].connect(self.gateway.address)
        return self.connections[-1]

    async def send(self) -> None:
        """Send a lookup, and a batch on the same connection once that is answered."""
        client = await self.connection()
        table = f"league_{self.number}"
        lookup = client.send("rating-lookup", f"select * from {table}.ratings", patience=6000)
        await client.wait_for_answer(lookup, 5.0)
        if not client.ended_at:
            batch = client.send(
                "result-load",
                f"insert into {table}.results values {ROWS}",
                patience=20000,
                nonce=os.urandom(16).hex(),
                entity=os.urandom(8).hex(),
            )
            await client.wait_until_written(batch)

    def lost_requests(self) -> list[str]:
        """Return a line for each request that was taken and whose connection ended without."""
        return [
            f"lost: {trace}: its last byte was written at {at:.2f}, {client.name} was ended at "
            f"{client.ended_at:.2f} with no answer to it"
            for client in self.connections
            for trace, at in client.written.items()
            if client.ended_at > at + CROSSING_SECONDS and not client.answers[trace]
        ]


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Send batches on connections that have carried a request, beside the bad clients."""
    engines = [Engine(record, f"e{n}", "c12", "hall-a") for n in range(6)]
    for engine in engines:
        engine.run_seconds = lambda _: 0.2
        await engine.start()
    feed = Feed(record, [engine.listed() for engine in engines])
    await feed.start()
    async with fleet(record, hq_main(), feed, LIMITS) as gateways:
        usual = [UsualClient(record, gateways[0], number) for number in range(CLIENT_COUNT)]
        count = BAD_CLIENT_COUNT if has_trouble else 0
        async with bad_clients(record, gateways[0].address, count):
            for _ in range(ROUND_COUNT):
                await asyncio.sleep(1.0)
                await asyncio.gather(*(client.send() for client in usual))
                await asyncio.sleep(2.0)
        await asyncio.sleep(4.0)
    return [line for client in usual for line in client.lost_requests()]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
